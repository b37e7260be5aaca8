"""Reads the promotion lock from the store, or obtains a reading from another proxy.

One reading of the lock serves the leadership leases of several proxies: a few read it from the
store, and the others ask those. The age of a relayed reading counts from its call of the store.

This module owns this proxy's last own reading, and whether the store answers. It depends on a lock
store whose calls return in bounded time, and on links to the proxies that read the lock before or
after this one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from orchidwind.promoted.core.leadership_lease import (
    LONGEST_RELAYED_AGE_SECONDS,
    RELAY_CALL_SECONDS,
    LockReading,
)
from orchidwind.promoted.core.peer_messages import LockReport
from orchidwind.promoted.core.promotion_lock import LockRecord
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.promoted.peers.peer_network import LockReaders
from orchidwind.promoted.ports import PromotionLockStore
from orchidwind.promoted.store_era import StoreEra
from orchidwind.shared.core.errors import PeerUnavailable, PlatformError
from orchidwind.shared.logs import log_event

CreateLock = Callable[[LockRecord], Awaitable[LockRecord]]


class LockReadings:
    """Reads the lock for this proxy, and for other proxies on request."""

    def __init__(
        self,
        lock_store: PromotionLockStore,
        readers: Callable[[], LockReaders],
        store_era: StoreEra,
        create_lock: CreateLock,
    ) -> None:
        """`readers` returns the proxies that read the lock on behalf of others.

        `create_lock` is called with a record that does not exist in the store. It may create the
        lock if no lock or lease of an earlier store era can be in use, and returns the resulting
        record.
        """
        self._store_era = store_era
        self._create_lock = create_lock
        self._lock_store = lock_store
        self._readers = readers
        self._last: LockReading | None = None
        self._readable = True
        self._one_at_a_time = asyncio.Lock()
        self._loop = asyncio.get_running_loop()

    async def current(self) -> LockReading | None:
        """A reading for this proxy's lease; None if neither the store nor a proxy provides one."""
        readers = self._readers()
        first_asked = readers.before if self._readable else (*readers.before, *readers.after)
        reading = await self._relayed(first_asked) or await self._recent()
        return reading or await self._relayed(readers.after)

    async def fresh(self) -> LockReading | None:
        """Read the lock from the store now; None if the store does not answer."""
        async with self._one_at_a_time:
            return await self._read_store()

    async def report(self, number: int) -> LockReport:
        """Answer another proxy's query `number`; concurrent queries share one reading."""
        reading = await self._recent()
        if reading is None:
            return LockReport(number, known=False, age=0.0, revision=0, free=False)
        age = self._loop.time() - reading.sent_at
        revision = int(reading.revision)
        return LockReport(number, known=True, age=age, revision=revision, free=reading.free)

    async def _recent(self) -> LockReading | None:
        """This proxy's last reading, or a new one if that is too old to relay."""
        async with self._one_at_a_time:
            reading = self._last
            if reading is None or self._loop.time() - reading.sent_at > LONGEST_RELAYED_AGE_SECONDS:
                reading = await self._read_store()
            return reading

    async def _read_store(self) -> LockReading | None:
        """Read the lock from the store; None if the store does not answer."""
        sent_at = self._loop.time()
        try:
            record = await self._lock_store.read()
            if not record.exists and not record.released:
                record = await self._create_lock(record)
        except PlatformError as error:
            self._note_readable(False, str(error))
            return None
        self._note_readable(True, "")
        self._last = LockReading.of(sent_at, record)
        return self._last

    def _note_readable(self, readable: bool, reason: str) -> None:
        """Log when the lock becomes unreadable or readable; without readings there is no lease."""
        if readable != self._readable:
            self._readable = readable
            log_event(
                "promotion_lock_readable" if readable else "promotion_lock_lost", reason=reason
            )

    async def _relayed(self, sources: Sequence[PeerLink]) -> LockReading | None:
        """The first usable reading that one of the proxies has; None if there is none."""
        for link in sources:
            reading = await self._ask(link)
            if reading is not None:
                return reading
        return None

    async def _ask(self, link: PeerLink) -> LockReading | None:
        asked_at = self._loop.time()
        try:
            async with asyncio.timeout(RELAY_CALL_SECONDS):
                report = await link.ask_lock()
        except (PeerUnavailable, TimeoutError) as error:
            log_event("lock_reading_not_received", peer=link.member.name, reason=repr(error))
            return None
        if not report.known or report.age > LONGEST_RELAYED_AGE_SECONDS:
            return None
        revision = StoreRevision(report.revision)
        if not self._store_era.saw(revision.era, link.member.name):
            return None  # the other proxy does not know yet that the store was restored
        return LockReading.relayed(asked_at, report.age, revision, report.free)
