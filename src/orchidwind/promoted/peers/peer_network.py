"""This proxy's knowledge of the other proxies: the members, the homes of the groups, the links.

For: callers' sessions (which proxy runs a command), views (which proxies to ask), the leadership
lease (which proxies read the promotion lock). Owns this proxy's copy of the list of proxies, and
one link to each of them. Relies on `core.homes` for every choice among proxies and on `peer_link`
for which proxies are reachable.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping, Sequence
from itertools import count

from msgspec import Struct

from orchidwind.promoted.core.distances import Distances
from orchidwind.promoted.core.homes import (
    FORGET_PROXY_SECONDS,
    RELISTING_SECONDS,
    GroupHomes,
    ProxyMember,
    group_homes,
    lock_readers,
)
from orchidwind.promoted.peers.member_registration import MemberRegistration
from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.promoted.ports import Changes, Listing, MemberStore, PeerConnector
from orchidwind.shared.core.tenant_connections import NO_TENANT
from orchidwind.shared.logs import log_event
from orchidwind.shared.silence import OnSilent, log_silent_connection


class LockReaders(Struct, frozen=True):
    """Links to the proxies to ask for the promotion lock.

    `before`: asked before this proxy reads the store. `after`: asked if that read failed.
    """

    before: Sequence[PeerLink] = ()
    after: Sequence[PeerLink] = ()


class PlacementInputs(Struct, frozen=True):
    """The facts about groups and tenants on which the placement of groups depends.

    `connection_limit`: how many connections from all proxies an instance of a group accepts.
    `count`: the number of groups. `starved`: whether this proxy gets no connection to a group's
    instances. `large_tenant`: whether a tenant counts as large.
    `has_tenants`: whether callers have tenants at all.
    """

    connection_limit: Callable[[str], int]
    count: Callable[[], int]
    starved: Callable[[str], bool]
    large_tenant: Callable[[str], bool]
    has_tenants: Callable[[], bool]


class PeerNetwork:
    """Follows the list of proxies and selects the home for each group's commands.

    `on_change` is called after members or placements may have changed.
    """

    def __init__(
        self,
        own: ProxyMember,
        connector: PeerConnector,
        store: MemberStore,
        groups: PlacementInputs,
        on_change: Callable[[], None],
        on_silent: OnSilent = log_silent_connection,
        distances: Distances | None = None,
    ) -> None:
        """`distances` are those from `own`; without them, all zones are in one region."""
        self.own = own
        self.regions = (distances or Distances(own.zone)).regions
        self.member_registration = MemberRegistration(own, store)
        # Whether the members were read since the start.
        self.known = False
        # Increases whenever members or placements may have changed.
        self.generation = 0
        self._connector = connector
        self._groups = groups
        self._on_change = on_change
        self._on_silent = on_silent
        self._listed: dict[str, ProxyMember] = {}
        # Members missing in the copy from which the store was restored; they count as members until
        # they register again or `RELISTING_SECONDS` have passed.
        self._retained: dict[str, ProxyMember] = {}
        self._retained_timer: asyncio.TimerHandle | None = None
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
        """Replace the members by a full list; return whether they differ from those held before."""
        before, first = self._members, not self.known
        self._listed = {member.name: member for member in listing.items}
        if self.own.name not in self._listed:
            self.member_registration.on_missing()
        if not first and listing.revision.era > self._era:
            self._retain(before)
        self._era = listing.revision.era
        self._merge()
        self.known = True
        if not first and self._members == before:
            return False
        self._members_changed()
        return True

    def changed(self, changes: Changes[ProxyMember]) -> None:
        """Apply members that were added, changed or removed."""
        before = self._members
        for member in changes.changed:
            self._listed[member.name] = member
        for name in changes.gone:
            self._listed.pop(name, None)
            self._retained.pop(name, None)
        if self.own.name in changes.gone:
            self.member_registration.on_removed()
        self._merge()
        if self._members != before:
            self._members_changed()

    def _merge(self) -> None:
        self._retained = {
            name: item for name, item in self._retained.items() if name not in self._listed
        }
        self._members = {**self._listed, **self._retained, self.own.name: self.own}

    def _retain(self, before: Mapping[str, ProxyMember]) -> None:
        """Retain the members from before a restore of the store.

        The older copy may lack proxies that are running, which register again. Retaining them
        keeps groups from changing their homes twice in the meantime.
        """
        self._retained = dict(before)
        if self._retained_timer is not None:
            self._retained_timer.cancel()
        self._retained_timer = self._loop.call_later(RELISTING_SECONDS, self._drop_retained)

    def _drop_retained(self) -> None:
        """Drop the retained members that have not registered again: they are gone."""
        if not self._retained:
            return
        log_event("members_not_listed_again", members=",".join(sorted(self._retained)))
        self._retained.clear()
        self._merge()
        self._members_changed()

    def _members_changed(self) -> None:
        for name, link in list(self._links.items()):
            if self._members.get(name) != link.member:
                del self._links[name]
                link.close()
        self.limits_changed()

    def tenants_changed(self) -> None:
        """Discard the chosen homes, as the set of large tenants may have changed."""
        self._preferred.clear()

    def limits_changed(self) -> None:
        """Discard the placement of all groups: members or connection limits may have changed."""
        self.generation += 1
        self._lock_readers = None
        self._placed.clear()
        self._preferred.clear()
        self._on_change()

    # --- homes --------------------------------------------------------------------------------

    def placement(self, group: str) -> GroupHomes:
        """Return the homes of a group and their numbers of connections."""
        placed = self._placed.get(group)
        if placed is None:
            limit, groups = self._groups.connection_limit(group), self._groups.count()
            placed = group_homes(
                group,
                limit,
                self._members.values(),
                groups,
                self._groups.has_tenants(),
                self.regions,
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

    def home_names(self, group: str) -> list[str]:
        """Return the names of a group's homes; none while the members are not known."""
        return [home.name for home in self.placement(group).homes] if self.known else []

    def is_home(self, group: str) -> bool:
        """Whether this proxy is a home of a group."""
        return self.placement(group).includes(self.own.name)

    def _preferred_homes(self, group: str, tenant: str) -> list[ProxyMember]:
        preferred = self._preferred.get((group, tenant))
        if preferred is None:
            placed = self.placement(group)
            if tenant == NO_TENANT:
                preferred = placed.preferred(self.own.name, self.own.zone, self.regions)
            else:
                large = self._groups.large_tenant(tenant)
                preferred = placed.preferred_of_tenant(tenant, large, self.own.zone, self.regions)
            self._preferred[group, tenant] = preferred
        return preferred

    def home_link(self, group: str, tenant: str) -> PeerLink | None:
        """Return the link to the home that runs a tenant's commands; None: this proxy runs them.

        If this proxy is the preferred home but gets no connections, another home is used.
        """
        name = next(self.usable_homes(group, tenant), self.own.name)
        return self.link_of(name)

    def usable_homes(self, group: str, tenant: str) -> Iterator[str]:
        """Yield the homes that may get a tenant's commands now, in the order of preference.

        A link to a home is opened when the home is yielded, not before.
        """
        for member in self._preferred_homes(group, tenant):
            if member.name == self.own.name:
                usable = not self._groups.starved(group)
            else:
                usable = self.usable_link(member) is not None
            if usable:
                yield member.name

    def link_of(self, home: str) -> PeerLink | None:
        """Return the link to a home that `usable_homes` has yielded; None for this proxy."""
        return None if home == self.own.name else self._link(self._members[home])

    def has_answered(self, home: str, seconds: float) -> bool:
        """Return whether a home answered within the last `seconds`; ask it whether it does if not.

        This proxy counts as answering.
        """
        link = self.link_of(home)
        if link is None or link.heard_since(self._loop.time() - seconds):
            return True
        link.verify()
        return False

    def has_one_home(self, tenant: str) -> bool:
        """Whether a tenant has connections at one home only."""
        return tenant != NO_TENANT and not self._groups.large_tenant(tenant)

    def lock_readers(self) -> LockReaders:
        """Return links to the usable proxies that read the promotion lock for others."""
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
        """The proxies in the stored list, and this one."""
        return {**self._listed, self.own.name: self.own}.values()

    @property
    def members(self) -> Iterable[ProxyMember]:
        """All known proxies, including this one."""
        return self._members.values()

    def _verify_homes(self) -> None:
        """Find out which homes still answer, as the link to one proxy was lost.

        Many may be lost at once. Commands that tried one after the other would wait for each.
        """
        homes = {home.name: home for placed in self._placed.values() for home in placed.homes}
        for name, home in homes.items():
            if name != self.own.name:
                self._link(home).verify()

    def known_members(self, names: Collection[str]) -> list[ProxyMember]:
        """Return those of these proxies that are members."""
        return [self._members[name] for name in sorted(names) if name in self._members]

    def usable_link(self, member: ProxyMember) -> PeerLink | None:
        """Return the link to a proxy, None while the proxy does not answer or is stopping."""
        link = self._link(member)
        if link.usable():
            return link
        self._remove_if_unreachable(link)
        return None

    def unreachable(self, names: Iterable[str]) -> set[str]:
        """Return which of these proxies do not answer or are no longer members.

        While there are any, the links to the others are verified: an idle link does not show that
        its other side is gone.
        """
        links: list[PeerLink] = []
        missing: set[str] = set()
        for name in set(names) - {self.own.name}:
            member = self._members.get(name)
            if member is None:
                missing.add(name)
            else:
                links.append(self._link(member))
        lost = {link.member.name for link in links if link.lost_since is not None}
        if lost or missing:
            for link in links:
                link.verify()
        return lost | missing

    def next_channel(self) -> int:
        """Return a new number for a session at a home."""
        return next(self._channels)

    def _link(self, member: ProxyMember) -> PeerLink:
        link = self._links.get(member.name)
        if link is None:
            link = PeerLink(
                self.own.name, member, self._connector, self._on_silent, self._verify_homes
            )
            self._links[member.name] = link
        return link

    def _remove_if_unreachable(self, link: PeerLink) -> None:
        """Remove from the stored list a member that has been unreachable for too long.

        A member that is running after all registers again.
        """
        since = link.lost_since
        if since is None or self._loop.time() - since < FORGET_PROXY_SECONDS:
            return
        # Restart the wait, so that a removal that failed is tried again.
        link.lost_since = self._loop.time()
        self.member_registration.remove_other(link.member.name)

    def close(self) -> None:
        """Close all links."""
        self.member_registration.close()
        if self._retained_timer is not None:
            self._retained_timer.cancel()
        for link in self._links.values():
            link.close()
