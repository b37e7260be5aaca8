"""Maintains this proxy's leadership lease, and awaits the other proxies' confirmations.

`core/leadership_lease.py` defines how long a lease is valid. The keeper reads the promotion lock
while requests need the lease, drops the lease when another proxy takes the lock, and confirms the
drop in the registry in the store. Before a promotion, the promoting proxy waits here until all
other proxies have confirmed, or until all leases have expired.

The keeper owns the lease, this proxy's registration, and the log position up to which this proxy
acknowledged commits of each group. It depends on `lock_readings`, on a watch that calls `listed`
and `changed` with the lock's records, and on a registry whose calls return in bounded time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import Protocol

from msgspec.structs import replace

from orchidwind.promoted.core.failover_steps import AcknowledgedCommits
from orchidwind.promoted.core.leadership_lease import (
    CONFIRMATIONS_INTERVAL_SECONDS,
    REVOCATION_WAIT_SECONDS,
    LeadershipLease,
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

# Seconds before a failed registration or confirmation is retried. The lock holder waits 1.1 s for
# a confirmation, so a second and a third attempt are still in time.
_REGISTRY_RETRY_SECONDS = 0.25
# Seconds that a stopping proxy waits for its last write to the registry. A planned stop has
# already used most of its grace period by then.
_LEAVE_SECONDS = 0.3

assert _REGISTRY_RETRY_SECONDS * 2 < REVOCATION_WAIT_SECONDS


class PromotionLock(Protocol):
    """Takes and releases the promotion lock, and tracks since when its record is unchanged."""

    def lock_observed(self, record: LockRecord) -> None:
        """Handle the lock record as delivered by a watch."""

    async def create_free(self, absent: LockRecord) -> LockRecord:
        """Create the lock of a store era once no lock or lease of an earlier era can be in use.

        Returns the resulting record. Raises PlatformError.
        """


class LeaseKeeper:
    """Maintains one proxy's leadership lease while requests need it."""

    def __init__(
        self,
        node: str,
        lock_store: PromotionLockStore,
        registry: LeaseRegistry,
        store_era: StoreEra,
        lock: PromotionLock,
        readers: Callable[[], LockReaders] = LockReaders,
    ) -> None:
        """`readers` returns the proxies that read the lock on behalf of others."""
        self._lock = lock
        self._store_era = store_era
        self._readings = LockReadings(lock_store, readers, store_era, lock.create_free)
        store_era.on_restored(self._store_came_back)
        self._released = asyncio.Event()
        self.lease = LeadershipLease()
        self.holder = ""
        self._held_since = 0.0
        self._node = node
        self._registry = registry
        self._object_revision: StoreRevision | None = None
        self._wanted = asyncio.Event()
        self._leaving = False
        self._acknowledged: dict[str, Position] = {}
        self._confirmed = StoreRevision(0)
        self._to_confirm = StoreRevision(0)
        self._confirm_wanted = asyncio.Event()
        self._loop = asyncio.get_running_loop()

    def request_renewal(self) -> None:
        """Request that the lease is acquired or renewed, as a request could use it."""
        self._wanted.set()

    def covers(self, at: float) -> bool:
        """Whether the lease rules out that a change of primary had taken effect at a time."""
        return self.lease.covers(at)

    @property
    def free_revision(self) -> StoreRevision | None:
        """The promotion lock's revision while the lock is known to be free, else None."""
        return self.lease.free_revision

    def note_acknowledged(self, group: str, position: Position) -> None:
        """Record that this proxy acknowledges a commit of a group, at this log position."""
        self._acknowledged[group] = max(position, self._acknowledged.get(group, position))

    def _store_came_back(self) -> None:
        """Drop the lease: the store may have lost the registration, so register again first."""
        self.lease.not_registered()
        self._wanted.set()

    def _confirmation(self, revision: StoreRevision) -> LeaseConfirmation:
        # `first_revision` tells lock holders since when this process has run. Until this proxy has
        # seen the lock, that is not known, and the confirmed revision is used.
        first = self.lease.first_revision
        first = revision if first is None else first
        return LeaseConfirmation(self._node, revision, first, dict(self._acknowledged))

    async def run(self) -> None:
        """Register on the first request, then read the lock for as long as requests need it."""
        while True:
            await self._wanted.wait()
            if self._leaving:
                return
            if not self.lease.is_registered and not await self._register():
                await asyncio.sleep(_REGISTRY_RETRY_SECONDS)
                continue
            self._wanted.clear()
            await self._renew()
            await self._wait_until_due()

    async def _wait_until_due(self) -> None:
        """Wait until the lease is due for renewal, or the promotion lock is released."""
        self._released.clear()
        due_in = renewal_due_in(self.lease, self._loop.time())
        try:
            async with asyncio.timeout(due_in):
                await self._released.wait()
        except TimeoutError:
            return  # the usual end of this wait: the lease is due for renewal

    async def _register(self) -> bool:
        """Register this proxy, so that a lock holder waits for it and its lease may be used.

        Returns whether the registration succeeded.
        """
        confirmation = self._confirmation(StoreRevision(0))
        try:
            self._object_revision = await self._registry.confirm(confirmation)
        except PlatformError as error:
            log_event("lease_not_registered", reason=str(error))
            return False
        if self._leaving or self._store_era.current > self._object_revision.era:
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
        """Answer another proxy's query `number` for the state of the lock."""
        return await self._readings.report(number)

    def held_by_another(self) -> bool:
        """Whether another proxy holds the promotion lock, and has not held it for too long."""
        held_for = self._loop.time() - self._held_since
        return held_by_another(self.holder, self._node, held_for)

    # --- revocation ---------------------------------------------------------------------------

    def listed(self, listing: Listing[LockRecord]) -> bool:
        """Apply a full listing of the lock's record. Always returns True."""
        for record in listing.items:
            self._apply_record(record)
        return True

    def changed(self, changes: Changes[LockRecord]) -> None:
        """Apply changes of the lock's record."""
        for record in changes.changed:
            self._apply_record(record)

    def _apply_record(self, record: LockRecord) -> None:
        self._lock.lock_observed(record)
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
        """Confirm to each new holder of the lock that this proxy dropped its lease.

        Runs until cancelled.
        """
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
                await self._schedule_retry()
                continue
            self._confirmed = revision

    async def _schedule_retry(self) -> None:
        """Schedule a retry while the holder may still wait for this proxy."""
        await asyncio.sleep(_REGISTRY_RETRY_SECONDS)
        if self._loop.time() - self._held_since < REVOCATION_WAIT_SECONDS:
            self._confirm_wanted.set()

    async def leave(self) -> None:
        """Deregister this proxy as it stops; the positions that it acknowledged stay recorded.

        Lock holders no longer wait for it. Only the object that this process wrote is overwritten:
        a late call must not affect the next process that is started under the same name.
        """
        self._leaving = True
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
        """Wait until no other proxy's lease is valid; `taken_at` is when the lock was obtained.

        Returns the positions up to which the proxies acknowledged commits of the group, or None if
        not all of them confirmed.
        """
        self.lease.lock_taken(token)
        deadline = taken_at + REVOCATION_WAIT_SECONDS
        while (left := deadline - self._loop.time()) > 0:
            confirmed = await self._confirmations_of_others(token)
            if confirmed is not None:
                own = self._confirmation(token)
                return _acknowledged_by(group, (*confirmed, own), token.era)
            await asyncio.sleep(min(CONFIRMATIONS_INTERVAL_SECONDS, left))
        return None

    async def _confirmations_of_others(
        self, token: StoreRevision
    ) -> list[LeaseConfirmation] | None:
        """The other proxies' confirmations; None until all of them have dropped their leases."""
        try:
            listing = await self._registry.confirmations()
        except PlatformError as error:
            # Not fatal: all leases have expired when the wait ends, whatever was confirmed.
            log_event("lease_confirmations_not_read", token=token, reason=str(error))
            return None
        if listing.revision.era != token.era:
            return None  # registrations may be lost: wait until the leases expire
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
