"""Readings of the promotion lock: from the store, or from another proxy that read it.

What for: one reading of the lock serves the lead leases of several proxies. A few read it from the
store, the others ask those; a reading that is passed on is as old as its call.

Owns: this proxy's last own reading, and whether the store answers. Relies on: a lock store whose
calls end in bounded time, and links to the proxies that read before or after this one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from orchidwind.promoted.core.lead_lease import (
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
    """Reads the lock for this proxy, and for others that ask it."""

    def __init__(
        self,
        lock_store: PromotionLockStore,
        readers: Callable[[], LockReaders],
        store_era: StoreEra,
        create_lock: CreateLock,
    ) -> None:
        """`readers` returns the proxies that read the lock for others.

        `create_lock` gets a record that is absent, though rights of earlier eras may have run out;
        it returns the record as it is then.
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
        """A reading for this proxy's lease, None where neither the store nor a proxy has one."""
        readers = self._readers()
        first_asked = readers.before if self._readable else (*readers.before, *readers.after)
        reading = await self._relayed(first_asked) or await self._recent()
        return reading or await self._relayed(readers.after)

    async def fresh(self) -> LockReading | None:
        """A reading that is sent to the store now, None where it does not answer."""
        async with self._one_at_a_time:
            return await self._read_store()

    async def report(self, number: int) -> LockReport:
        """Another proxy asks what the lock is: one reading serves all that ask meanwhile."""
        reading = await self._recent()
        if reading is None:
            return LockReport(number, known=False, age=0.0, revision=0, free=False)
        age = self._loop.time() - reading.sent_at
        revision = int(reading.revision)
        return LockReport(number, known=True, age=age, revision=revision, free=reading.free)

    async def _recent(self) -> LockReading | None:
        """This proxy's last reading, or a new one where that is old."""
        async with self._one_at_a_time:
            reading = self._last
            if reading is None or self._loop.time() - reading.sent_at > LONGEST_RELAYED_AGE_SECONDS:
                reading = await self._read_store()
            return reading

    async def _read_store(self) -> LockReading | None:
        """Read the lock from the store, None where it does not answer."""
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
        """Log when the lock can be read no more, or again; without it there is no lease."""
        if readable != self._readable:
            self._readable = readable
            log_event(
                "promotion_lock_readable" if readable else "promotion_lock_lost", reason=reason
            )

    async def _relayed(self, sources: Sequence[PeerLink]) -> LockReading | None:
        """The first reading of use that another proxy has, None where none has one."""
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
            return None  # it does not know yet that the store came back
        return LockReading.relayed(asked_at, report.age, revision, report.free)
