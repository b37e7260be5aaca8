"""The other proxies as this one knows them: members, homes of the groups, links."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from itertools import count

from orchidwind.promoted.core.homes import GroupHomes, ProxyMember, group_homes
from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.promoted.ports import Changes, Listing, MemberStore, PeerConnector
from orchidwind.shared.core.errors import PlatformError
from orchidwind.shared.core.rendezvous import first
from orchidwind.shared.logs import log_event
from orchidwind.shared.silence import OnSilent, log_silent

FORGET_SECONDS = 30.0
_RETRY_SECONDS = 0.25
# Others read the members some seconds after this proxy was written; see `ProxyBounds.members`.
_LISTED_AFTER_SECONDS = 10.0
_LOCK_READER_KEY = "promotion-lock"
# The store may turn one away and serve the others.
_LOCK_READERS = 2


@dataclass(frozen=True, slots=True)
class LockReaders:
    """Whom to ask for the promotion lock: `before` the store is read, and `after` that failed."""

    before: Sequence[PeerLink] = ()
    after: Sequence[PeerLink] = ()


LimitLookup = Callable[[str], int]
StarvedLookup = Callable[[str], bool]


class PeerNetwork:
    """Follows the members; tells where each group's commands go. `on_change` is called after."""

    def __init__(
        self,
        own: ProxyMember,
        connector: PeerConnector,
        store: MemberStore,
        limit_of: LimitLookup,
        groups: Callable[[], int],
        starved: StarvedLookup,
        on_change: Callable[[], None],
        on_silent: OnSilent = log_silent,
    ) -> None:
        """`limit_of`: connections that a group's instances take; `groups`: how many groups.

        `starved` tells whether this proxy gets no connection to a group's instances.
        """
        self._on_silent = on_silent
        self._starved = starved
        self._groups = groups
        self.known = False
        # Rises whenever members or placements may have changed.
        self.generation = 0
        self.own = own
        self._connector = connector
        self._store = store
        self._limit_of = limit_of
        self._on_change = on_change
        self._members: dict[str, ProxyMember] = {own.name: own}
        self._links: dict[str, PeerLink] = {}
        self._placed: dict[str, GroupHomes] = {}
        self._preferred: dict[str, list[ProxyMember]] = {}
        self._lock_readers: list[ProxyMember] | None = None
        self._channels = count(1)
        self._write_wanted = asyncio.Event()
        self._written_at = float("-inf")
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()

    # --- members ------------------------------------------------------------------------------

    async def write_own(self) -> bool:
        """Try to have this proxy listed; whether it is and was not before.

        It is listed before it reads the members, as others may start now.
        """
        self._write_wanted.clear()
        try:
            is_new = await self._store.write(self.own)
        except PlatformError as error:
            log_event("member_not_written", reason=str(error))
            self._write_wanted.set()
            return False
        self._written_at = self._loop.time()
        log_event("member_written", is_new=is_new)
        return is_new

    async def keep_own(self) -> None:
        """Have this proxy listed among the members, whenever it is not."""
        while True:
            await self._write_wanted.wait()
            await asyncio.sleep(_RETRY_SECONDS)
            await self.write_own()

    def _note_missing(self) -> None:
        """The members do not name this proxy: others took it off, or do not know it yet."""
        if self._loop.time() - self._written_at > _LISTED_AFTER_SECONDS:
            self._write_wanted.set()

    def listed(self, listing: Listing[ProxyMember]) -> bool:
        """All members, read freshly; whether they differ from those that were held."""
        before, first = self._members, not self.known
        self._members = {member.name: member for member in listing.items}
        if self.own.name not in self._members:
            self._note_missing()
        self._members[self.own.name] = self.own
        self.known = True
        if not first and self._members == before:
            return False
        self._changed()
        return True

    def changed(self, changes: Changes[ProxyMember]) -> None:
        """Members that came, changed or went."""
        for member in changes.changed:
            self._members[member.name] = member
        for name in changes.gone:
            self._members.pop(name, None)
        if self.own.name in changes.gone:
            # Another proxy could not reach this one for long, but it is here.
            self._write_wanted.set()
        self._members[self.own.name] = self.own
        self._changed()

    def _changed(self) -> None:
        for name, link in list(self._links.items()):
            if self._members.get(name) != link.member:
                del self._links[name]
                link.close()
        self.limits_changed()

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
            limit, groups = self._limit_of(group), self._groups()
            placed = group_homes(group, limit, self._members.values(), groups)
            self._placed[group] = placed
            log_event(
                "homes_placed",
                group=group,
                members=len(self._members),
                homes=",".join(member.name for member in placed.homes),
                connections=placed.connections,
            )
        return placed

    def is_home(self, group: str) -> bool:
        """Whether this proxy holds connections of a group."""
        return self.placement(group).includes(self.own.name)

    def home_link(self, group: str) -> PeerLink | None:
        """The link to the home that this proxy sends a group's commands to; None: this proxy.

        A home that gets no connections lets another home serve.
        """
        preferred = self._preferred.get(group)
        if preferred is None:
            preferred = self.placement(group).preferred(self.own.name, self.own.zone)
            self._preferred[group] = preferred
        for member in preferred:
            if member.name == self.own.name:
                if self._starved(group):
                    continue
                return None
            link = self.usable_link(member)
            if link is not None:
                return link
        return None

    def lock_readers(self) -> LockReaders:
        """The proxies that read the promotion lock for others."""
        if self._lock_readers is None:
            self._lock_readers = self._choose_lock_readers()
        names = [member.name for member in self._lock_readers]
        place = names.index(self.own.name) if self.own.name in names else len(names)
        chosen = self._lock_readers
        return LockReaders(self._usable_links(chosen[:place]), self._usable_links(chosen[place:]))

    def _usable_links(self, members: Iterable[ProxyMember]) -> list[PeerLink]:
        others = (member for member in members if member.name != self.own.name)
        links = (self.usable_link(member) for member in others)
        return [link for link in links if link is not None]

    def _choose_lock_readers(self) -> list[ProxyMember]:
        chosen: list[ProxyMember] = []
        candidates = list(self._members.values())
        while candidates and len(chosen) < _LOCK_READERS:
            by_name = {member.name: member for member in candidates}
            name = first(_LOCK_READER_KEY, sorted(by_name))
            if name is None:
                break
            chosen.append(by_name[name])
            candidates = [item for item in candidates if item.zone != by_name[name].zone]
        return chosen

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
        if since is None or self._loop.time() - since < FORGET_SECONDS:
            return
        link.lost_since = self._loop.time()
        task = self._loop.create_task(self._remove(link.member.name))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _remove(self, name: str) -> None:
        try:
            await self._store.remove(name)
        except PlatformError as error:
            log_event("member_not_removed", member=name, reason=str(error))
            return
        log_event("member_removed", member=name)

    def close(self) -> None:
        """Cut all links."""
        for task in self._tasks:
            task.cancel()
        for link in self._links.values():
            link.close()
