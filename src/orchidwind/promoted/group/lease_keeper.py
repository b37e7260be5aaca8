"""Keeps this proxy's lead lease, and collects the others' confirmations before a promotion.

What for: `core/lead_lease.py` says for how long a lease covers; this reads the promotion lock while
requests want the lease, drops the lease when another proxy takes the lock, and confirms that to the
registry in the store. A proxy that promotes waits here until all others have confirmed, or until
all leases have run out.

Owns: the lease, the registration of this proxy, and up to where it acknowledged commits of each
group. Relies on: `lock_readings` for readings, a watch that calls `listed` and `changed` with the
lock's records, and a registry whose calls end in bounded time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import Protocol

from msgspec.structs import replace

from orchidwind.promoted.core.failover_steps import AcknowledgedCommits
from orchidwind.promoted.core.lead_lease import (
    CONFIRMATIONS_INTERVAL_SECONDS,
    REVOCATION_WAIT_SECONDS,
    LeadLease,
    renewal_due_in,
)
from orchidwind.promoted.core.peer_messages import LockReport
from orchidwind.promoted.core.promotion_lock import LockRecord, held_by_another
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.group.lock_readings import LockReadings
from orchidwind.promoted.peers.peer_network import LockReaders
from orchidwind.promoted.ports import (
    Changes,
    LeaseConfirmation,
    LeaseRegistry,
    Listing,
    PromotionLockStore,
)
from orchidwind.promoted.store_era import StoreEra
from orchidwind.shared.core.errors import PlatformError
from orchidwind.shared.core.positions import Position
from orchidwind.shared.logs import log_event

# Seconds until a registration or confirmation that failed is tried again. A holder waits
# 1.1 s for a confirmation, so a second and a third try still count.
_REGISTRY_RETRY_SECONDS = 0.25
# Seconds that a proxy which stops waits for its last write to the registry. A planned stop
# has used most of its grace by then.
_LEAVE_SECONDS = 0.3

assert _REGISTRY_RETRY_SECONDS * 2 < REVOCATION_WAIT_SECONDS


class LockUse(Protocol):
    """What takes and gives back the promotion lock, and knows since when it stands as it does."""

    def saw(self, record: LockRecord) -> None:
        """A watch shows the lock."""

    async def create_free(self, absent: LockRecord) -> LockRecord:
        """Create the lock of an era once no right from an earlier one can be in use.

        The record as it is then; raises PlatformError.
        """


class LeaseKeeper:
    """One proxy's lease, while requests want it."""

    def __init__(
        self,
        node: str,
        lock_store: PromotionLockStore,
        registry: LeaseRegistry,
        store_era: StoreEra,
        lock_use: LockUse,
        readers: Callable[[], LockReaders] = LockReaders,
    ) -> None:
        """`readers` returns the proxies that read the lock for others."""
        self._lock_use = lock_use
        self._store_era = store_era
        self._readings = LockReadings(lock_store, readers, store_era, lock_use.create_free)
        store_era.on_return(self._store_came_back)
        self._released = asyncio.Event()
        self.lease = LeadLease()
        self.holder = ""
        self._held_since = 0.0
        self._node = node
        self._registry = registry
        self._object_revision: StoreRevision | None = None
        self._wanted = asyncio.Event()
        self._left = False
        self._acknowledged: dict[str, Position] = {}
        self._confirmed = StoreRevision(0)
        self._to_confirm = StoreRevision(0)
        self._confirm_wanted = asyncio.Event()
        self._loop = asyncio.get_running_loop()

    def want(self) -> None:
        """A request could use the lease: have it read, or read again."""
        self._wanted.set()

    def covers(self, at: float) -> bool:
        """Whether no change of primary had taken effect at a time."""
        return self.lease.covers(at)

    @property
    def free_revision(self) -> StoreRevision | None:
        """The promotion lock's revision while it is known to be free, else None."""
        return self.lease.free_revision

    def note_acknowledged(self, group: str, position: Position) -> None:
        """A commit of a group is acknowledged, up to this end of the primary's log."""
        self._acknowledged[group] = max(position, self._acknowledged.get(group, position))

    def _store_came_back(self) -> None:
        """The registration may be lost, so no lease counts until there is another."""
        self.lease.not_registered()
        self._wanted.set()

    def _confirmation(self, revision: StoreRevision) -> LeaseConfirmation:
        # Before the lock was seen, it is not known how long this process has run.
        first = self.lease.first_revision
        first = revision if first is None else first
        return LeaseConfirmation(self._node, revision, first, dict(self._acknowledged))

    async def run(self) -> None:
        """Register with the first request, then read the lock as often as they want the lease."""
        while True:
            await self._wanted.wait()
            if self._left:
                return
            if not self.lease.is_registered and not await self._register():
                await asyncio.sleep(_REGISTRY_RETRY_SECONDS)
                continue
            self._wanted.clear()
            await self._renew()
            await self._rest()

    async def _rest(self) -> None:
        """Wait until the lease is due, or another change of primary is over."""
        self._released.clear()
        due_in = renewal_due_in(self.lease, self._loop.time())
        try:
            async with asyncio.timeout(due_in):
                await self._released.wait()
        except TimeoutError:
            return  # the usual end of this wait: the lease is due

    async def _register(self) -> bool:
        """Have others wait for this proxy from now on, so that its lease may count."""
        confirmation = self._confirmation(StoreRevision(0))
        try:
            self._object_revision = await self._registry.confirm(confirmation)
        except PlatformError as error:
            log_event("lease_not_registered", reason=str(error))
            return False
        if self._left or self._store_era.current > self._object_revision.era:
            return False
        self.lease.registered(self._loop.time())
        return True

    async def _renew(self) -> None:
        reading = await self._readings.current()
        if reading is not None and self.lease.predates_registration(reading):
            reading = await self._readings.fresh()
        if reading is not None:
            self.lease.lock_seen(reading)

    async def report(self, number: int) -> LockReport:
        """Another proxy asks what the lock is."""
        return await self._readings.report(number)

    def held_by_another(self) -> bool:
        """Whether another proxy is known to hold the promotion lock, not for too long yet."""
        held_for = self._loop.time() - self._held_since
        return held_by_another(self.holder, self._node, held_for)

    # --- revocation ---------------------------------------------------------------------------

    def listed(self, listing: Listing[LockRecord]) -> bool:
        """The lock as a fresh listing shows it."""
        for record in listing.items:
            self._take(record)
        return True

    def changed(self, changes: Changes[LockRecord]) -> None:
        """The lock changed."""
        for record in changes.changed:
            self._take(record)

    def _take(self, record: LockRecord) -> None:
        self._lock_use.saw(record)
        self.holder = "" if record.released else record.holder
        self._held_since = self._loop.time()
        if record.released:
            self._released.set()
            return
        self.lease.lock_taken(record.revision)
        if record.holder != self._node:
            self._to_confirm = max(self._to_confirm, record.revision)
            self._confirm_wanted.set()

    async def confirm_drops(self) -> None:
        """Tell each new holder of the lock that this proxy's lease is dropped."""
        while True:
            await self._confirm_wanted.wait()
            self._confirm_wanted.clear()
            revision = self._to_confirm
            if revision <= self._confirmed or not self.lease.is_registered:
                continue
            try:
                confirmation = self._confirmation(revision)
                self._object_revision = await self._registry.confirm(confirmation)
            except PlatformError as error:
                log_event("lease_drop_not_confirmed", revision=revision, reason=str(error))
                await self._confirm_again()
                continue
            self._confirmed = revision

    async def _confirm_again(self) -> None:
        """Try again while the holder may still wait for this proxy."""
        await asyncio.sleep(_REGISTRY_RETRY_SECONDS)
        if self._loop.time() - self._held_since < REVOCATION_WAIT_SECONDS:
            self._confirm_wanted.set()

    async def leave(self) -> None:
        """This proxy stops: nobody waits for it any more, but what it acknowledged stays known.

        Written over this process's own object only: a call that is late must not speak for the
        process that is started next under the same name.
        """
        self._left = True
        self.lease.not_registered()
        if self._object_revision is None:
            return
        left = replace(self._confirmation(StoreRevision(0)), left=True)
        try:
            async with asyncio.timeout(_LEAVE_SECONDS):
                await self._registry.leave(left, self._object_revision)
        except (PlatformError, TimeoutError) as error:
            log_event("lease_not_left", reason=str(error))

    async def wait_for_others(
        self, group: str, token: StoreRevision, taken_at: float
    ) -> AcknowledgedCommits | None:
        """Wait until no other proxy's lease counts; `taken_at` is when the lock's answer came.

        Up to where all proxies acknowledged commits of a group, None where one does not say.
        """
        self.lease.lock_taken(token)
        deadline = taken_at + REVOCATION_WAIT_SECONDS
        while (left := deadline - self._loop.time()) > 0:
            confirmed = await self._all_dropped(token)
            if confirmed is not None:
                own = self._confirmation(token)
                return _acknowledged_by(group, (*confirmed, own), token.era)
            await asyncio.sleep(min(CONFIRMATIONS_INTERVAL_SECONDS, left))
        return None

    async def _all_dropped(self, token: StoreRevision) -> list[LeaseConfirmation] | None:
        """What the others wrote with the drop of their leases, None until all have."""
        try:
            listing = await self._registry.confirmations()
        except PlatformError as error:
            # All leases have run out when the wait ends, whatever is confirmed.
            log_event("lease_confirmations_not_read", token=token, reason=str(error))
            return None
        if listing.revision.era != token.era:
            return None  # registrations may be lost: leases are waited out
        others = [item for item in listing.items if item.proxy != self._node]
        waiting = any(item.revision < token and not item.left for item in others)
        return None if waiting else others


def _acknowledged_by(
    group: str, confirmed: Collection[LeaseConfirmation], era: int
) -> AcknowledgedCommits:
    return AcknowledgedCommits.by_all(
        [item.acknowledged[group] for item in confirmed if group in item.acknowledged],
        [item.first_revision for item in confirmed],
        era,
    )
