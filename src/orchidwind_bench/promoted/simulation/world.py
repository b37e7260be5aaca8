"""The simulated world: what happened in it, and the ports that the proxies reach it by."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from msgspec.structs import replace

from orchidwind.promoted.core.configuration import (
    DirectoryEntry,
    PromotedConfiguration,
    ReadConsistency,
)
from orchidwind.promoted.core.failover_steps import PromotionAnswer
from orchidwind.promoted.core.promotion_lock import LockRecord
from orchidwind.promoted.core.quota_shares import QuotaShares
from orchidwind.promoted.core.roster import Roster
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.ports import Changes, LeaseConfirmation, Listing
from orchidwind.shared.core.errors import PlatformConflict, PlatformError, PlatformUncertain
from orchidwind.shared.core.positions import Position
from orchidwind.shared.core.tenant_connections import NO_TENANT
from orchidwind_bench.promoted.simulation.network import Network
from orchidwind_bench.promoted.simulation.store import (
    CALL_SECONDS,
    CONFIGURATION_EVENT,
    LOCK_EVENT,
    OWN_EVENTS,
    QUOTA_EVENT,
    ROSTER_EVENT,
    STORE_SECONDS,
    SimulatedStore,
    configuration_bytes,
)

CONNECTION_LIMIT = 32
OnArrival = Callable[[], None]
Item = TypeVar("Item")


@dataclass(frozen=True, slots=True)
class AcknowledgedCommit:
    """A commit that a caller was told of, and when."""

    at: float
    position: Position
    request_id: str


@dataclass(frozen=True, slots=True)
class ConfirmedCommit:
    """A commit that its instance answered as done; `too_late` says what that breaks once told."""

    position: Position
    too_late: str


@dataclass(frozen=True, slots=True)
class ExpectedRequest:
    """What a caller asked: the checks compare with it what instances run."""

    arrived_at: float
    consistency: ReadConsistency
    staleness: float
    session: int
    settings: tuple[tuple[str, str], ...]
    session_commits: tuple[str, ...]
    tenant: str = NO_TENANT


@dataclass(frozen=True, slots=True)
class RanStatement:
    """A statement that an instance ran, when, and for which tenant."""

    at: float
    request_id: str
    tenant: str


@dataclass(slots=True)
class History:
    """What happened, and which promises were broken."""

    confirmed: dict[str, ConfirmedCommit] = field(default_factory=dict)
    acknowledged: list[AcknowledgedCommit] = field(default_factory=list)
    expected: dict[str, ExpectedRequest] = field(default_factory=dict)
    ran: list[RanStatement] = field(default_factory=list)
    stale: dict[str, str] = field(default_factory=dict)
    rolled_back: set[str] = field(default_factory=set)
    broken: list[str] = field(default_factory=list)
    promotions: list[tuple[float, str, int]] = field(default_factory=list)
    greatest_token: int = 0

    def acknowledge(self, at: float, request_id: str) -> None:
        """A caller is told that a request of its was committed."""
        commit = self.confirmed[request_id]
        self.acknowledged.append(AcknowledgedCommit(at, commit.position, request_id))
        if commit.too_late:
            self.blame(at, commit.too_late)
        elif request_id in self.rolled_back:
            self.blame(at, f"LOST: {request_id} was told as done after a promotion without it")

    def roll_back(self, at: float, leader: str, held: set[str]) -> None:
        """An instance begins to lead with these commits: the others are rolled back."""
        for commit in self.acknowledged:
            if commit.request_id not in held and commit.request_id not in self.rolled_back:
                self.blame(at, f"LOST: {leader} leads without {commit}")
        self.rolled_back.update(self.confirmed.keys() - held)

    def blame(self, at: float, what: str) -> None:
        """A promise was broken."""
        self.broken.append(f"{at:.3f}: {what}")


class World:
    """Everything outside the proxies."""

    def __init__(self, seed: int, connection_limit: int = CONNECTION_LIMIT) -> None:
        """`connection_limit` is how many connections an instance takes."""
        self.connection_limit = connection_limit
        self.random = random.Random(seed)
        self.network = Network()
        self.history = History()
        self.store = SimulatedStore(self.network, connection_limit)

    @property
    def now(self) -> float:
        """Virtual seconds."""
        return asyncio.get_running_loop().time()


class SimulatedDirectory:
    """The directory as one proxy sees it."""

    def __init__(self, world: World, node: str) -> None:
        self._store = world.store
        self._node = node

    async def list(self, limit: float, on_arrival: OnArrival) -> Listing[DirectoryEntry]:
        """All entries."""
        await self._store.call(self._node, limit)
        return Listing(tuple(self._store.entries.values()), self._store.at)

    async def watch(
        self, revision: StoreRevision, wait: float, limit: float, on_arrival: OnArrival
    ) -> Changes[DirectoryEntry]:
        """Changes after a revision."""
        events = await self._store.wait_event(self._node, revision, wait, limit)
        if self._store.directory_watches_silent:
            await asyncio.sleep(limit)
            raise PlatformError("no answer in time")
        entries = self._store.entries
        changed = tuple(entries[name] for name in events.names if name in entries)
        gone = tuple(
            name for name in events.names if name not in entries and name not in OWN_EVENTS
        )
        return Changes(changed, gone, events.revision)


class SimulatedConfiguration:
    """The configuration as one proxy sees it."""

    def __init__(self, world: World, node: str) -> None:
        self._store = world.store
        self._node = node

    async def list(self, limit: float, on_arrival: OnArrival) -> Listing[PromotedConfiguration]:
        """The configuration."""
        await self._store.call(self._node, limit)
        held = Listing((self._store.configuration,), self._store.at)
        size = configuration_bytes(held.items[0])
        await self._store.answer(self._node, limit, size, on_arrival)
        return held

    async def watch(
        self, revision: StoreRevision, wait: float, limit: float, on_arrival: OnArrival
    ) -> Changes[PromotedConfiguration]:
        """The configuration, when something has changed."""
        events = await self._store.wait_event(self._node, revision, wait, limit)
        items = (self._store.configuration,) if CONFIGURATION_EVENT in events.names else ()
        changes = Changes(items, (), events.revision)
        if items:
            size = configuration_bytes(items[0])
            await self._store.answer(self._node, limit - wait, size, on_arrival)
        return changes


class SimulatedLockStore:
    """The promotion lock's object as one proxy sees it."""

    def __init__(self, world: World, node: str) -> None:
        self._world = world
        self._store = world.store
        self._node = node

    async def read(self) -> LockRecord:
        """The record."""
        reads = self._store.lock_reads
        reads[self._node] = reads.get(self._node, 0) + 1
        await self._store.call(self._node)
        return self._store.lock_now

    async def write(self, record: LockRecord, create: bool) -> LockRecord:
        """Compare and put; the answer may be lost, and the change may come late."""
        await self._store.call(self._node)
        if self._world.random.random() < self._store.lose_answers:
            delay = self._store.late_seconds * self._world.random.random()
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._apply_quietly, record, create)
            await asyncio.sleep(CALL_SECONDS)
            raise PlatformUncertain("the answer was lost")
        return self._apply(record, create)

    def _apply_quietly(self, record: LockRecord, create: bool) -> None:
        try:
            self._apply(record, create)
        except PlatformConflict:
            return

    def _apply(self, record: LockRecord, create: bool) -> LockRecord:
        held = self._store.lock_now
        if create == held.exists or record.revision != held.revision:
            raise PlatformConflict("the lock has changed")
        self._store.revision += 1
        written = replace(record, revision=self._store.at)
        self._store.lock = written
        self._store.note(LOCK_EVENT)
        return written


class FollowedObjects(Generic[Item]):
    """Objects of the store as one proxy follows them: all that are there, when one has changed."""

    event: str

    def __init__(self, world: World, node: str) -> None:
        self._store = world.store
        self._node = node

    def _items(self) -> tuple[Item, ...]:
        """All that are there."""
        raise NotImplementedError

    async def list(self, limit: float, on_arrival: OnArrival) -> Listing[Item]:
        """All of them."""
        await self._store.call(self._node, limit)
        return Listing(self._items(), self._store.at)

    async def watch(
        self, revision: StoreRevision, wait: float, limit: float, on_arrival: OnArrival
    ) -> Changes[Item]:
        """All of them, when something has changed."""
        events = await self._store.wait_event(self._node, revision, wait, limit)
        items = self._items() if self.event in events.names else ()
        return Changes(items, (), events.revision)


class SimulatedLockSource(FollowedObjects[LockRecord]):
    """The promotion lock as a collection that one proxy follows."""

    event = LOCK_EVENT

    def _items(self) -> tuple[LockRecord, ...]:
        return () if self._store.lock is None else (self._store.lock,)


class SimulatedRosters(FollowedObjects[Roster]):
    """The rosters as one proxy follows and writes them."""

    event = ROSTER_EVENT

    def _items(self) -> tuple[Roster, ...]:
        return tuple(self._store.rosters.values())

    async def write(self, roster: Roster, create: bool) -> Roster:
        """Compare and put."""
        await self._store.call(self._node)
        held = self._store.rosters.get(roster.group)
        if create != (held is None) or (held is not None and held.revision != roster.revision):
            raise PlatformConflict("the roster has changed")
        self._store.revision += 1
        written = replace(roster, revision=self._store.at)
        self._store.rosters[roster.group] = written
        self._store.note(ROSTER_EVENT)
        return written


class SimulatedQuotaShares(FollowedObjects[QuotaShares]):
    """Who holds shares of the quotas, as one proxy follows and writes it."""

    event = QUOTA_EVENT

    def _items(self) -> tuple[QuotaShares, ...]:
        return () if self._store.quota_shares is None else (self._store.quota_shares,)

    async def write(self, shares: QuotaShares, create: bool) -> QuotaShares:
        """Compare and put."""
        await self._store.call(self._node)
        held = self._store.quota_shares
        if create != (held is None) or (held is not None and held.revision != shares.revision):
            raise PlatformConflict("the quota shares have changed")
        self._store.revision += 1
        written = replace(shares, revision=self._store.at)
        self._store.quota_shares = written
        self._store.note(QUOTA_EVENT)
        return written


class SimulatedLeases:
    """The registered proxies, as one proxy sees and writes them."""

    def __init__(self, world: World, node: str) -> None:
        self._store = world.store
        self._node = node

    async def confirm(self, confirmation: LeaseConfirmation) -> StoreRevision:
        """Write the proxy's object."""
        await self._store.call(self._node)
        return self._write(confirmation)

    def _write(self, confirmation: LeaseConfirmation) -> StoreRevision:
        store = self._store
        store.revision += 1
        store.leases[confirmation.proxy] = confirmation
        store.lease_revisions[confirmation.proxy] = store.at
        return store.at

    async def confirmations(self) -> Listing[LeaseConfirmation]:
        """All objects."""
        await self._store.call(self._node)
        return Listing(tuple(self._store.leases.values()), self._store.at)

    async def leave(self, confirmation: LeaseConfirmation, revision: StoreRevision) -> None:
        """Write over the proxy's object at a revision."""
        await self._store.call(self._node)
        if self._store.lease_revisions.get(confirmation.proxy) != revision:
            raise PlatformConflict("another process has written since")
        self._write(confirmation)


class SimulatedPromotions:
    """The promotion service as one proxy sees it.

    `promote` is given the names of a group and of an instance in it, begins to make that instance
    the primary, and returns whether the instance runs.
    """

    def __init__(self, world: World, node: str, promote: Callable[[str, str], bool]) -> None:
        self._world = world
        self._node = node
        self._promote = promote

    async def promote(
        self, group: str, instance: str, token: int, seconds: float
    ) -> PromotionAnswer:
        """Take one promotion."""
        await asyncio.sleep(STORE_SECONDS)
        history = self._world.history
        if token < history.greatest_token:
            history.blame(self._world.now, f"{self._node} promotes with an older token")
        history.greatest_token = max(history.greatest_token, token)
        if not self._promote(group, instance):
            return PromotionAnswer.REFUSED
        return PromotionAnswer.ACCEPTED
