"""Takes and releases the promotion lock in the store.

The lock ensures that one proxy at a time changes primaries. `core/promotion_lock.py` decides
whether the lock may be taken and how long it is valid; the client reads and writes its record.

The client owns this proxy's observations of the lock and its last promotion call. It depends on a
lock store that writes by compare-and-put and returns in bounded time, and on the rosters, which
record the fencing tokens of the promotions that were called.
"""

from __future__ import annotations

import asyncio
import secrets

from orchidwind.promoted.core.promotion_lock import (
    LOCK_READ_BACK_SECONDS,
    LOCK_READ_BACKS,
    HeldLock,
    LockDecision,
    LockObserver,
    LockRecord,
    held_lock,
    usable_seconds,
    would_alternate,
)
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.group.roster_keeper import RosterKeeper
from orchidwind.promoted.ports import PromotionLockStore
from orchidwind.promoted.store_era import StoreEra
from orchidwind.shared.core.errors import (
    PlatformConflict,
    PlatformError,
    PlatformUncertain,
)
from orchidwind.shared.logs import log_event


class PromotionLockClient:
    """Takes and releases the promotion lock.

    `in_use` is held during a change of primary, so that this proxy runs one at a time.
    """

    def __init__(
        self, node: str, store: PromotionLockStore, rosters: RosterKeeper, store_era: StoreEra
    ) -> None:
        """`rosters` record the promotions that were called, with their fencing tokens."""
        self._node = node
        self._store = store
        self._store_era = store_era
        self._rosters = rosters
        self._last_call_at = float("-inf")
        self._last_call_token = StoreRevision(0)
        self._observer = LockObserver(node)
        self._loop = asyncio.get_running_loop()
        self.in_use = asyncio.Lock()

    def lock_observed(self, record: LockRecord) -> None:
        """Handle the lock record from a watch: the holder's time limit runs from now.

        Otherwise it would run only from this proxy's first attempt to take the lock, and a takeover
        could need twice the time.
        """
        self._observer.saw(self._loop.time(), record.revision)

    def note_called(self, token: StoreRevision) -> None:
        """Record that this proxy called a promotion under a fencing token."""
        self._last_call_at = self._loop.time()
        self._last_call_token = token

    def _would_alternate(self) -> bool:
        """Whether another proxy has promoted since this one did so shortly before."""
        since_call = self._loop.time() - self._last_call_at
        return would_alternate(since_call, self._last_call_token, self._rosters.newest_token())

    async def take(self) -> HeldLock | None:
        """Take the lock; None if another proxy holds it or the store does not answer."""
        if self._would_alternate():
            log_event("promotion_lock_left", reason="another proxy has promoted since")
            return None
        try:
            record = await self._store.read()
            if self._decide(record) is LockDecision.WAIT:
                return None
            return await self._write(record)
        except PlatformError as error:
            log_event("promotion_lock_unavailable", reason=str(error))
            return None

    def _decide(self, record: LockRecord) -> LockDecision:
        if not record.exists:
            # Any holder of an earlier store era's lock took it before the new era was seen.
            self._observer.saw(self._store_era.since, record.revision)
        called = self._rosters.promotion_called(record.revision)
        return self._observer.decide(self._loop.time(), record, called)

    async def create_free(self, absent: LockRecord) -> LockRecord:
        """Create a store era's lock, released, once no earlier era's lock or lease can be in use.

        Returns the resulting record. Raises PlatformError. Without a lock record no leadership
        lease is valid.
        """
        if self._decide(absent) is LockDecision.WAIT:
            return absent
        free = LockRecord("", "", released=True, revision=absent.revision)
        try:
            created = await self._store.write(free, create=True)
        except PlatformConflict:
            return await self._store.read()  # another proxy was faster
        log_event("promotion_lock_created", revision=created.revision)
        return created

    def usable_seconds(self, held: HeldLock | None) -> float | None:
        """Seconds for which calls may still be started under the lock; None if no longer."""
        return usable_seconds(held, self._loop.time(), self._store_era.current)

    async def _write(self, record: LockRecord) -> HeldLock | None:
        attempt = secrets.token_hex(8)
        wanted = LockRecord(self._node, attempt, released=False, revision=record.revision)
        sent_at = self._loop.time()
        try:
            written = await self._store.write(wanted, create=not record.exists)
        except PlatformConflict:
            # Another proxy was faster and logs that it holds the lock. The failover runner logs
            # that this proxy does not.
            return None
        except PlatformUncertain:
            return await self._read_back(sent_at, attempt)
        return held_lock(sent_at, written, attempt)

    async def _read_back(self, sent_at: float, attempt: str) -> HeldLock | None:
        """Find out by reading the record whether a write whose answer was lost succeeded."""
        for _ in range(LOCK_READ_BACKS):
            try:
                record = await self._store.read()
            except PlatformError as error:
                log_event("promotion_lock_not_read_back", attempt=attempt, reason=str(error))
            else:
                if record.attempt == attempt:
                    return held_lock(sent_at, record, attempt)
            await asyncio.sleep(LOCK_READ_BACK_SECONDS)
        return None

    async def release(self, held: HeldLock) -> None:
        """Release the lock; if that fails, others take it over once it has expired."""
        record = LockRecord(self._node, "", released=True, revision=held.token)
        try:
            await self._store.write(record, create=False)
        except PlatformError as error:
            log_event("promotion_lock_not_released", reason=str(error))
