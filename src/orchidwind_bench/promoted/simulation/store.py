"""The simulated store: what it holds, who hears of changes, and its troubles.

It may come back from an older copy. Operators and instances then write again what was lost.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import count

from msgspec.structs import replace

from orchidwind.promoted.core.call_limits import ANSWER_STALL_SECONDS
from orchidwind.promoted.core.configuration import (
    DatabaseRoute,
    DirectoryEntry,
    PromotedConfiguration,
    PromotedGroupSettings,
    ReadConsistency,
)
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.promotion_lock import LockRecord
from orchidwind.promoted.core.quota_shares import QuotaShares
from orchidwind.promoted.core.roster import Roster
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.ports import LeaseConfirmation
from orchidwind.promoted.store_era import StoreEra
from orchidwind.shared.core.errors import PlatformError, PlatformVersionGone
from orchidwind_bench.promoted.simulation.network import Network

STORE = "store"
STORE_SECONDS = 0.004
CALL_SECONDS = 1.0
# A database in the store's configuration: 497 KB for 2,854 of them (journal 764f09d2).
DATABASE_BYTES = 174
_REQUEST_BYTES = 200
LOCK_EVENT = "promotion lock"
ROSTER_EVENT = "rosters"
MEMBER_EVENT = "members"
QUOTA_EVENT = "quota shares"
CONFIGURATION_EVENT = "configuration"
OWN_EVENTS = (LOCK_EVENT, ROSTER_EVENT, MEMBER_EVENT, QUOTA_EVENT, CONFIGURATION_EVENT)
GROUP = "ledger"


@dataclass(frozen=True, slots=True)
class StoreEvents:
    """Names of what changed, up to a revision."""

    names: tuple[str, ...]
    revision: StoreRevision


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What the store held at some time."""

    revision: int
    entries: dict[str, DirectoryEntry]
    leases: dict[str, LeaseConfirmation]
    lease_revisions: dict[str, StoreRevision]
    rosters: dict[str, Roster]
    members: dict[str, ProxyMember]
    quota_shares: QuotaShares | None
    configuration: PromotedConfiguration


class SimulatedStore:
    """The store: directory, configuration and promotion lock, with outages and lost answers."""

    def __init__(self, network: Network, connection_limit: int) -> None:
        self._network = network
        self.down = False
        # These proxies' calls are taken and never answered, also after the silence has ended.
        self.silent_to: set[str] = set()
        # These proxies' calls are refused at once.
        self.refused: set[str] = set()
        # Watches that wait, and those of them whose connections have fallen silent for good.
        self.waiting: dict[int, str] = {}
        self.swallowed: set[int] = set()
        self._numbers = count(1)
        # Watches of the directory are never answered while this is set; reads are.
        self.directory_watches_silent = False
        self.calls: dict[str, int] = {}
        self.lose_answers = 0.0
        self.late_seconds = 0.0
        self.revision = 1
        self.era = 0
        # What each proxy knows of the era.
        self.known_eras: dict[str, StoreEra] = {}
        self.entries: dict[str, DirectoryEntry] = {}
        self.lock: LockRecord | None = None
        self.lock_reads: dict[str, int] = {}
        self.leases: dict[str, LeaseConfirmation] = {}
        self.lease_revisions: dict[str, StoreRevision] = {}
        self.rosters: dict[str, Roster] = {}
        self.members: dict[str, ProxyMember] = {}
        self.quota_shares: QuotaShares | None = None
        self.configuration = simulated_configuration((GROUP,), connection_limit)
        self._events: list[tuple[int, str]] = []
        self._changed = asyncio.Event()

    @property
    def at(self) -> StoreRevision:
        """The present place in the store's history."""
        return StoreRevision.of(self.era, self.revision)

    @property
    def lock_now(self) -> LockRecord:
        """The promotion lock of the present era."""
        return self.lock or LockRecord.absent(self.era)

    def copy(self) -> StoreCopy:
        """What the store holds now."""
        return StoreCopy(
            self.revision,
            dict(self.entries),
            dict(self.leases),
            dict(self.lease_revisions),
            dict(self.rosters),
            dict(self.members),
            self.quota_shares,
            self.configuration,
        )

    def restore_from(self, copy: StoreCopy, again_after: Callable[[], float]) -> None:
        """Hold what a copy held; waiting watches are cut, and the lock of the new era is free.

        Operators and instances write again what was lost, each after so many seconds.
        """
        entries, configuration = self.entries, self.configuration
        self.era += 1
        self.revision = copy.revision
        self.entries = dict(copy.entries)
        self.leases = dict(copy.leases)
        self.lease_revisions = {
            name: self._again(revision) for name, revision in copy.lease_revisions.items()
        }
        self.rosters = {
            name: replace(roster, revision=self._again(roster.revision))
            for name, roster in copy.rosters.items()
        }
        self.members = dict(copy.members)
        shares = copy.quota_shares
        if shares is not None:
            shares = replace(shares, revision=self._again(shares.revision))
        self.quota_shares = shares
        self.configuration = copy.configuration
        self.lock = None
        self._events = [item for item in self._events if item[0] <= copy.revision]
        self._changed.set()
        self._changed = asyncio.Event()
        loop = asyncio.get_running_loop()
        for name in entries.keys() | copy.entries.keys():
            if entries.get(name) != copy.entries.get(name):
                loop.call_later(again_after(), self._write_again, name, entries.get(name))
        if configuration != copy.configuration:
            loop.call_later(again_after(), self._configure_again, configuration)

    def _again(self, revision: StoreRevision) -> StoreRevision:
        return StoreRevision.of(self.era, revision.in_era)

    def _write_again(self, name: str, lost: DirectoryEntry | None) -> None:
        if lost is None:
            self.drop_entry(name)
        elif name not in self.entries or self.entries[name].revision <= lost.revision:
            self.put_entry(lost)

    def _configure_again(self, lost: PromotedConfiguration) -> None:
        if lost.version > self.configuration.version:
            self.put_configuration(lost)

    def put_entry(self, entry: DirectoryEntry) -> None:
        """An instance writes its entry."""
        self.revision += 1
        self.entries[entry.instance] = entry
        self.note(entry.instance)

    def drop_entry(self, instance: str) -> None:
        """An instance's entry goes."""
        if self.entries.pop(instance, None) is not None:
            self.revision += 1
            self.note(instance)

    def note(self, instance: str) -> None:
        """Something of this name has changed, at the present revision."""
        self._events.append((self.revision, instance))
        self._changed.set()
        self._changed = asyncio.Event()

    def put_configuration(self, configuration: PromotedConfiguration) -> None:
        """An operator writes the configuration."""
        self.revision += 1
        self.configuration = configuration
        self.note(CONFIGURATION_EVENT)

    async def call(self, node: str, limit: float = CALL_SECONDS) -> None:
        """The way to the store and back; raises PlatformError where that does not work.

        `limit` is after how many seconds the proxy gives a call up that is not answered.
        """
        self.calls[node] = self.calls.get(node, 0) + 1
        try:
            async with asyncio.timeout(limit):
                await self._ask(node)
        except TimeoutError as error:
            raise PlatformError("no answer in time") from error
        await self._way(node, limit)
        self._name_era(node)

    def _name_era(self, node: str) -> None:
        if node in self.known_eras:
            self.known_eras[node].saw(self.era, "store")

    async def _ask(self, node: str) -> None:
        """A connection and a request, which wait behind what else the proxy sends."""
        for _ in range(2):
            await self._network.carry(node, "out", _REQUEST_BYTES)

    async def _way(self, node: str, limit: float) -> None:
        await asyncio.sleep(STORE_SECONDS)
        if node in self.silent_to:
            await asyncio.sleep(limit)
            raise PlatformError("no answer in time")
        network = self._network
        if not network.passes(node, STORE) or not network.passes(STORE, node):
            await asyncio.sleep(CALL_SECONDS)
            raise PlatformError("cut off")
        if self.down or node in self.refused:
            raise PlatformError("down")

    async def answer(
        self, node: str, limit: float, size: int, on_arrival: Callable[[], None]
    ) -> None:
        """The bytes of an answer on the proxy's link; raises PlatformError where they stop."""
        loop = asyncio.get_running_loop()

        def arrived() -> None:
            on_arrival()
            patience.reschedule(max(patience.when() or 0.0, loop.time() + ANSWER_STALL_SECONDS))

        try:
            async with asyncio.timeout(limit) as patience:
                await self._network.carry(node, "in", size, arrived)
        except TimeoutError as error:
            raise PlatformError("the answer was not whole in time") from error

    async def wait_event(
        self, node: str, revision: StoreRevision, wait: float, limit: float
    ) -> StoreEvents:
        """A proxy's watch: what changed after a revision, until its answer leaves the store."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limit
        await self.call(node, limit)
        era = self.era
        if revision.era != era or revision.in_era > self.revision:
            raise PlatformVersionGone("the store does not have that revision")
        number = next(self._numbers)
        self.waiting[number] = node
        try:
            if not self._events_after(revision).names:
                try:
                    async with asyncio.timeout(wait):
                        await self._changed.wait()
                except TimeoutError:
                    pass
            if number in self.swallowed:
                await asyncio.sleep(deadline - loop.time())
                raise PlatformError("no answer in time")
        finally:
            self.waiting.pop(number)
            self.swallowed.discard(number)
        if self.era != era:
            raise PlatformError("the store came back from a copy")
        events = self._events_after(revision)
        await self._way(node, limit - wait)
        return events

    def _events_after(self, revision: StoreRevision) -> StoreEvents:
        names = tuple(name for at, name in self._events if at > revision.in_era)
        return StoreEvents(names, self.at)


def configuration_bytes(configuration: PromotedConfiguration) -> int:
    """How long a configuration is as the first users' store writes it."""
    return len(configuration.databases) * DATABASE_BYTES


def simulated_configuration(names: tuple[str, ...], connection_limit: int) -> PromotedConfiguration:
    """A first configuration with some groups; where there are several, databases name theirs."""
    databases: dict[str, DatabaseRoute] = {}
    for name in names:
        databases |= _databases(ReadConsistency, name, f"-{name}" if len(names) > 1 else "")
    groups = {name: PromotedGroupSettings(name, connection_limit, 1) for name in names}
    return PromotedConfiguration(1, databases, groups, transaction_idle=3.0)


def _databases(
    kinds: Iterable[ReadConsistency], group: str, suffix: str
) -> dict[str, DatabaseRoute]:
    return {
        kind.value + suffix: DatabaseRoute(
            name=kind.value + suffix,
            group=group,
            consistency=kind,
            staleness=1.5,
            statement_timeout=0.8,
            target_latency=0.2,
            priority=1,
        )
        for kind in kinds
    }
