"""The list of proxies in the simulated store, as one proxy follows and writes it."""

from __future__ import annotations

from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.ports import Changes, Listing
from orchidwind_bench.promoted.simulation.store import MEMBER_EVENT
from orchidwind_bench.promoted.simulation.world import FollowedObjects, OnArrival, World


class SimulatedMembers(FollowedObjects[ProxyMember]):
    """The proxies that list themselves, as one proxy follows and writes them."""

    event = MEMBER_EVENT

    def __init__(self, world: World, node: str) -> None:
        super().__init__(world, node)
        # The names in the last answer, so that the next one tells which of them have gone.
        self._told: set[str] = set()

    def _items(self) -> tuple[ProxyMember, ...]:
        return tuple(self._store.members.values())

    async def list(self, limit: float, on_arrival: OnArrival) -> Listing[ProxyMember]:
        """All of them."""
        listing = await super().list(limit, on_arrival)
        self._told = {member.name for member in listing.items}
        return listing

    async def watch(
        self, revision: StoreRevision, wait: float, limit: float, on_arrival: OnArrival
    ) -> Changes[ProxyMember]:
        """All of them and the names of those that have gone, when something has changed."""
        changes = await super().watch(revision, wait, limit, on_arrival)
        if not changes.changed:
            return changes
        names = {member.name for member in changes.changed}
        gone, self._told = self._told - names, names
        return Changes(changes.changed, tuple(sorted(gone)), changes.revision)

    async def write(self, member: ProxyMember) -> bool:
        """Write a proxy's object."""
        await self._store.call(self._node)
        held = self._store.members.get(member.name)
        if held != member:
            self._store.revision += 1
            self._store.members[member.name] = member
            self._store.note(MEMBER_EVENT)
        return held is None

    async def remove(self, name: str) -> None:
        """Delete a proxy's object."""
        await self._store.call(self._node)
        if self._store.members.pop(name, None) is not None:
            self._store.revision += 1
            self._store.note(MEMBER_EVENT)
