"""Takes and gives back the promotion lock in the store.

What for: one proxy at a time changes primaries. `core/promotion_lock.py` decides whether the lock
may be taken and how long it counts; this reads and writes its record.

Owns: what this proxy saw of the lock, and its last promotion call. Relies on: a lock store that
writes by compare-and-put and whose calls end in bounded time, and the rosters for which promotions
were called under which tokens.
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
    """Takes and gives back the promotion lock; one change of primary at a time uses it."""

    def __init__(
        self, node: str, store: PromotionLockStore, rosters: RosterKeeper, store_era: StoreEra
    ) -> None:
        """`rosters` name the promotions that were called, with their tokens."""
        self._node = node
        self._store = store
        self._store_era = store_era
        self._rosters = rosters
        self._called_at = float("-inf")
        self._called_with = StoreRevision(0)
        self._observer = LockObserver(node)
        self._loop = asyncio.get_running_loop()
        self.in_use = asyncio.Lock()

    def saw(self, record: LockRecord) -> None:
        """A watch shows the lock: from now on its holder's time runs.

        Gains the same time once more, which would begin with the first attempt to take it.
        """
        self._observer.saw(self._loop.time(), record.revision)

    def note_called(self, token: StoreRevision) -> None:
        """A promotion was called under a token of this proxy."""
        self._called_at = self._loop.time()
        self._called_with = token

    def _would_alternate(self) -> bool:
        """Whether another holder has promoted since this one did, a moment ago."""
        since_call = self._loop.time() - self._called_at
        return would_alternate(since_call, self._called_with, self._rosters.newest_token())

    async def take(self) -> HeldLock | None:
        """The lock, None where another holds it or the store does not answer."""
        if self._would_alternate():
            log_event("promotion_lock_left", reason="another has promoted since this proxy did")
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
            # Whoever held the lock of an earlier era took it before this one was seen.
            self._observer.saw(self._store_era.since, record.revision)
        called = self._rosters.promotion_called(record.revision)
        return self._observer.decide(self._loop.time(), record, called)

    async def create_free(self, absent: LockRecord) -> LockRecord:
        """Create the lock of an era, free, once no right from an earlier era can be in use.

        The record as it is then; raises PlatformError. Without it no lead lease counts.
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
        """For how many seconds calls may be begun under the lock; None: no longer."""
        return usable_seconds(held, self._loop.time(), self._store_era.current)

    async def _write(self, record: LockRecord) -> HeldLock | None:
        attempt = secrets.token_hex(8)
        wanted = LockRecord(self._node, attempt, released=False, revision=record.revision)
        sent_at = self._loop.time()
        try:
            written = await self._store.write(wanted, create=not record.exists)
        except PlatformConflict:
            # Another proxy was faster, and logs that it holds the lock; the caller logs that this
            # one does not.
            return None
        except PlatformUncertain:
            return await self._read_back(sent_at, attempt)
        return held_lock(sent_at, written, attempt)

    async def _read_back(self, sent_at: float, attempt: str) -> HeldLock | None:
        """The answer was lost: the record itself shows whether the call was carried out."""
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
        """Give the lock back; if that fails, others take it over when its time has passed."""
        record = LockRecord(self._node, "", released=True, revision=held.token)
        try:
            await self._store.write(record, create=False)
        except PlatformError as error:
            log_event("promotion_lock_not_released", reason=str(error))
