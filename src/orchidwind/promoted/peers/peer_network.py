"""The other proxies as this one knows them: members, homes of the groups, links.

For: callers' sessions (where does a command go), views (whom to ask), the lead lease (who reads the
lock). Owns the list of proxies as this one holds it, and one link to each. Relies on `core.homes`
for every choice among proxies and on `peer_link` for who can be reached.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence
from itertools import count

from msgspec import Struct

from orchidwind.promoted.core.homes import (
    FORGET_PROXY_SECONDS,
    RELISTING_SECONDS,
    GroupHomes,
    ProxyMember,
    group_homes,
    lock_readers,
)
from orchidwind.promoted.peers.own_entry import OwnEntry
from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.promoted.ports import Changes, Listing, MemberStore, PeerConnector
from orchidwind.shared.core.tenant_connections import NO_TENANT
from orchidwind.shared.logs import log_event
from orchidwind.shared.silence import OnSilent, log_silent


class LockReaders(Struct, frozen=True):
    """Whom to ask for the promotion lock: `before` the store is read, and `after` that failed."""

    before: Sequence[PeerLink] = ()
    after: Sequence[PeerLink] = ()


class GroupFacts(Struct, frozen=True):
    """What the placement of groups needs to know of them.

    `connection_limit`: how many connections an instance of a group takes, over all proxies.
    `count`: how many groups there are. `starved`: whether this proxy gets no connection to a
    group's instances. `large_tenant`: whether a tenant is a large one.
    `has_tenants`: whether callers have tenants at all.
    """

    connection_limit: Callable[[str], int]
    count: Callable[[], int]
    starved: Callable[[str], bool]
    large_tenant: Callable[[str], bool]
    has_tenants: Callable[[], bool]


class PeerNetwork:
    """Follows the members; tells where each group's commands go. `on_change` is called after."""

    def __init__(
        self,
        own: ProxyMember,
        connector: PeerConnector,
        store: MemberStore,
        groups: GroupFacts,
        on_change: Callable[[], None],
        on_silent: OnSilent = log_silent,
    ) -> None:
        self.own = own
        self.own_entry = OwnEntry(own, store)
        # Whether the members were read since the start.
        self.known = False
        # Rises whenever members or placements may have changed.
        self.generation = 0
        self._connector = connector
        self._groups = groups
        self._on_change = on_change
        self._on_silent = on_silent
        self._listed: dict[str, ProxyMember] = {}
        # Missing in the copy that the store came back from, and kept until they list themselves.
        self._kept: dict[str, ProxyMember] = {}
        self._members: dict[str, ProxyMember] = {own.name: own}
        self._era = 0
        self._links: dict[str, PeerLink] = {}
        self._placed: dict[str, GroupHomes] = {}
        # By group and tenant.
        self._preferred: dict[tuple[str, str], list[ProxyMember]] = {}
        self._lock_readers: list[ProxyMember] | None = None
        self._channels = count(1)
        self._loop = asyncio.get_running_loop()

    # --- members ------------------------------------------------------------------------------

    def listed(self, listing: Listing[ProxyMember]) -> bool:
        """All members, read freshly; whether they differ from those that were held."""
        before, first = self._members, not self.known
        self._listed = {member.name: member for member in listing.items}
        if self.own.name not in self._listed:
            self.own_entry.missing()
        if not first and listing.revision.era > self._era:
            self._keep(before)
        self._era = listing.revision.era
        self._merge()
        self.known = True
        if not first and self._members == before:
            return False
        self._changed()
        return True

    def changed(self, changes: Changes[ProxyMember]) -> None:
        """Members that came, changed or went."""
        before = self._members
        for member in changes.changed:
            self._listed[member.name] = member
        for name in changes.gone:
            self._listed.pop(name, None)
            self._kept.pop(name, None)
        if self.own.name in changes.gone:
            self.own_entry.removed()
        self._merge()
        if self._members != before:
            self._changed()

    def _merge(self) -> None:
        self._kept = {name: item for name, item in self._kept.items() if name not in self._listed}
        self._members = {**self._listed, **self._kept, self.own.name: self.own}

    def _keep(self, before: Mapping[str, ProxyMember]) -> None:
        """The store came back from a copy, in which proxies may be missing that run.

        They list themselves again. Gains that groups do not change their homes twice meanwhile.
        """
        self._kept = dict(before)
        self._loop.call_later(RELISTING_SECONDS, self._drop_kept)

    def _drop_kept(self) -> None:
        """Who was missing in the copy and has not listed itself again is gone."""
        if not self._kept:
            return
        log_event("members_not_listed_again", members=",".join(sorted(self._kept)))
        self._kept.clear()
        self._merge()
        self._changed()

    def _changed(self) -> None:
        for name, link in list(self._links.items()):
            if self._members.get(name) != link.member:
                del self._links[name]
                link.close()
        self.limits_changed()

    def tenants_changed(self) -> None:
        """Other tenants may be large ones."""
        self._preferred.clear()

    def limits_changed(self) -> None:
        """The configuration may give other connection limits: place the groups anew."""
        self.generation += 1
        self._lock_readers = None
        self._placed.clear()
        self._preferred.clear()
        self._on_change()

    # --- homes --------------------------------------------------------------------------------

    def placement(self, group: str) -> GroupHomes:
        """The homes of a group."""
        placed = self._placed.get(group)
        if placed is None:
            limit, groups = self._groups.connection_limit(group), self._groups.count()
            placed = group_homes(
                group, limit, self._members.values(), groups, self._groups.has_tenants()
            )
            self._placed[group] = placed
            log_event(
                "homes_placed",
                group=group,
                members=len(self._members),
                homes=",".join(member.name for member in placed.homes),
                connections=placed.connections,
                near_connections=placed.near_connections,
            )
        return placed

    def is_home(self, group: str) -> bool:
        """Whether this proxy holds connections of a group."""
        return self.placement(group).includes(self.own.name)

    def _preferred_homes(self, group: str, tenant: str) -> list[ProxyMember]:
        preferred = self._preferred.get((group, tenant))
        if preferred is None:
            placed = self.placement(group)
            if tenant == NO_TENANT:
                preferred = placed.preferred(self.own.name, self.own.zone)
            else:
                large = self._groups.large_tenant(tenant)
                preferred = placed.preferred_of_tenant(tenant, large, self.own.zone)
            self._preferred[group, tenant] = preferred
        return preferred

    def home_link(self, group: str, tenant: str) -> PeerLink | None:
        """The link to the home that this proxy sends a tenant's commands to; None: this proxy.

        A home that gets no connections lets another home serve.
        """
        for member in self._preferred_homes(group, tenant):
            if member.name == self.own.name:
                if self._groups.starved(group):
                    continue
                return None
            link = self.usable_link(member)
            if link is not None:
                return link
        return None

    def lock_readers(self) -> LockReaders:
        """The proxies that read the promotion lock for others."""
        if self._lock_readers is None:
            self._lock_readers = lock_readers(self._members.values())
        names = [member.name for member in self._lock_readers]
        place = names.index(self.own.name) if self.own.name in names else len(names)
        chosen = self._lock_readers
        return LockReaders(self._usable_links(chosen[:place]), self._usable_links(chosen[place:]))

    def _usable_links(self, members: Iterable[ProxyMember]) -> list[PeerLink]:
        others = (member for member in members if member.name != self.own.name)
        links = (self.usable_link(member) for member in others)
        return [link for link in links if link is not None]

    @property
    def listed_members(self) -> Iterable[ProxyMember]:
        """The proxies that the list names, and this one."""
        return {**self._listed, self.own.name: self.own}.values()

    @property
    def members(self) -> Iterable[ProxyMember]:
        """All proxies that are known, this one among them."""
        return self._members.values()

    def usable_link(self, member: ProxyMember) -> PeerLink | None:
        """The link to a proxy, None while that does not answer or stops."""
        link = self._link(member)
        if link.usable():
            return link
        self._forget_if_gone(link)
        return None

    def next_channel(self) -> int:
        """A number for a session at a home, not used before."""
        return next(self._channels)

    def _link(self, member: ProxyMember) -> PeerLink:
        link = self._links.get(member.name)
        if link is None:
            link = PeerLink(self.own.name, member, self._connector, self._on_silent)
            self._links[member.name] = link
        return link

    def _forget_if_gone(self, link: PeerLink) -> None:
        """Take a member off the list that has not been reached for long; it may list itself."""
        since = link.lost_since
        if since is None or self._loop.time() - since < FORGET_PROXY_SECONDS:
            return
        # Counted anew, so that a removal that failed is tried again.
        link.lost_since = self._loop.time()
        self.own_entry.remove_other(link.member.name)

    def close(self) -> None:
        """Cut all links."""
        self.own_entry.close()
        for link in self._links.values():
            link.close()
