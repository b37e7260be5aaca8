"""Keeps this proxy's lead lease, and collects the others' confirmations before a promotion."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from orchidwind.promoted.core.failover_steps import AcknowledgedCommits
from orchidwind.promoted.core.lead_lease import (
    RENEWAL_MARGIN_SECONDS,
    REVOCATION_WAIT_SECONDS,
    LeadLease,
    LockReading,
)
from orchidwind.promoted.core.peer_messages import LockReport
from orchidwind.promoted.core.promotion_lock import TAKE_OVER_SECONDS, LockRecord
from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.promoted.peers.peer_network import LockReaders
from orchidwind.promoted.ports import (
    Changes,
    LeaseConfirmation,
    LeaseRegistry,
    Listing,
    PromotionLockStore,
)
from orchidwind.shared.core.errors import PeerUnavailable, PlatformError
from orchidwind.shared.core.positions import Position
from orchidwind.shared.logs import log_event

_RETRY_SECONDS = 0.25
_ASK_AGAIN_SECONDS = 0.025
_SHORTEST_RENEWAL_SECONDS = 0.1
_WITHOUT_LEASE_SECONDS = 0.75
# A reading older than this is not passed on: too little of the lease is left.
_OLDEST_REPORT_SECONDS = 0.5
_REPORT_SECONDS = 0.1
# A planned stop has used most of its grace by then.
_LEAVE_SECONDS = 0.3


class LeaseKeeper:
    """One proxy's lease, while requests want it."""

    def __init__(
        self,
        node: str,
        lock_store: PromotionLockStore,
        registry: LeaseRegistry,
        readers: Callable[[], LockReaders] = LockReaders,
        on_lock_seen: Callable[[LockRecord], None] = lambda record: None,
    ) -> None:
        """`readers` tells which proxies read the lock for others."""
        self._on_lock_seen = on_lock_seen
        self._readers = readers
        self._reading: LockReading | None = None
        self._readable = True
        self._read_again = asyncio.Lock()
        self._released = asyncio.Event()
        self.lease = LeadLease()
        self.holder = ""
        self._held_since = 0.0
        self._node = node
        self._lock_store = lock_store
        self._registry = registry
        self._registered = False
        self._wanted = asyncio.Event()
        self._acknowledged: dict[str, Position] = {}
        self._object_revision: int | None = None
        self._confirmed = 0
        self._to_confirm = 0
        self._confirm_wanted = asyncio.Event()
        self._loop = asyncio.get_running_loop()

    def want(self) -> None:
        """A request could use the lease: have it read, or read again."""
        self._wanted.set()

    def covers(self, at: float) -> bool:
        """Whether no change of primary had taken effect at a time."""
        return self._registered and self.lease.covers(at)

    @property
    def free_revision(self) -> int | None:
        """The promotion lock's revision while it is known to be free, else None."""
        return self.lease.free_revision

    def note_acknowledged(self, group: str, position: Position) -> None:
        """A commit of a group is told to its caller, up to this end of the primary's log."""
        self._acknowledged[group] = max(position, self._acknowledged.get(group, position))

    def _confirmation(self, revision: int) -> LeaseConfirmation:
        # Before the lock was seen, nobody can tell how long this process has run.
        first = self.lease.first_revision
        first = revision if first is None else first
        return LeaseConfirmation(self._node, revision, first, dict(self._acknowledged))

    async def run(self) -> None:
        """Register with the first request, then read the lock as often as they want the lease."""
        await self._wanted.wait()
        while not await self._register():
            await asyncio.sleep(_RETRY_SECONDS)
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            await self._renew()
            await self._rest()

    async def _rest(self) -> None:
        """Wait until the lease is due, or another change of primary is over."""
        self._released.clear()
        left = self.lease.covered_until - self._loop.time() - RENEWAL_MARGIN_SECONDS
        due = max(left, _SHORTEST_RENEWAL_SECONDS)
        try:
            async with asyncio.timeout(
                due if self.lease.free_revision is not None else _WITHOUT_LEASE_SECONDS
            ):
                await self._released.wait()
        except TimeoutError:
            return

    async def _register(self) -> bool:
        """Others wait for this proxy from now on, so its lease may count."""
        try:
            self._object_revision = await self._registry.confirm(self._confirmation(0))
        except PlatformError as error:
            log_event("lease_not_registered", reason=str(error))
            return False
        self._registered = True
        return True

    async def _renew(self) -> None:
        readers = self._readers()
        sources = readers.before if self._readable else (*readers.before, *readers.after)
        reading = await self._relayed_reading(sources) or await self._recent_reading()
        reading = reading or await self._relayed_reading(readers.after)
        if reading is not None:
            self.lease.lock_seen(reading)

    async def _relayed_reading(self, sources: Sequence[PeerLink]) -> LockReading | None:
        """What other proxies tell of the lock, None where none tells anything of use."""
        for link in sources:
            reading = await self._ask_for_reading(link)
            if reading is not None:
                return reading
        return None

    async def _ask_for_reading(self, link: PeerLink) -> LockReading | None:
        asked_at = self._loop.time()
        try:
            async with asyncio.timeout(_REPORT_SECONDS):
                report = await link.ask_lock()
        except (PeerUnavailable, TimeoutError) as error:
            log_event("lock_reading_not_received", peer=link.member.name, reason=repr(error))
            return None
        if not report.known or report.age > _OLDEST_REPORT_SECONDS:
            return None
        return LockReading.relayed(asked_at, report.age, report.revision, report.free)

    async def _own_reading(self) -> LockReading | None:
        """Read the lock from the store, None where it does not answer."""
        sent_at = self._loop.time()
        try:
            record = await self._lock_store.read()
        except PlatformError as error:
            self._note_readable(False, str(error))
            return None
        self._note_readable(True, "")
        self._reading = LockReading.of(sent_at, record)
        return self._reading

    def _note_readable(self, readable: bool, reason: str) -> None:
        """Log when the lock can be read no more, or again; without it there is no lease."""
        if readable != self._readable:
            self._readable = readable
            log_event(
                "promotion_lock_readable" if readable else "promotion_lock_lost", reason=reason
            )

    async def _recent_reading(self) -> LockReading | None:
        """This proxy's last reading, or a new one where that is old."""
        async with self._read_again:
            reading = self._reading
            if reading is None or self._loop.time() - reading.sent_at > _OLDEST_REPORT_SECONDS:
                reading = await self._own_reading()
            return reading

    async def report(self, number: int) -> LockReport:
        """Another proxy asks what the lock is: one reading serves all that ask meanwhile."""
        reading = await self._recent_reading()
        if reading is None:
            return LockReport(number, known=False, age=0.0, revision=0, free=False)
        age = self._loop.time() - reading.sent_at
        return LockReport(number, known=True, age=age, revision=reading.revision, free=reading.free)

    def held_by_another(self) -> bool:
        """Whether another proxy is known to hold the promotion lock, not for too long yet."""
        if self.holder in ("", self._node):
            return False
        return self._loop.time() - self._held_since < TAKE_OVER_SECONDS

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
        self._on_lock_seen(record)
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
            if revision <= self._confirmed or not self._registered:
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
        await asyncio.sleep(_RETRY_SECONDS)
        if self._loop.time() - self._held_since < REVOCATION_WAIT_SECONDS:
            self._confirm_wanted.set()

    async def leave(self) -> None:
        """This proxy stops: nobody waits for it any more, but what it has told stays known.

        Written over this process's own object only: a call that is late must not speak for the
        process that is started next under the same name.
        """
        self._registered = False
        self.lease.drop()
        if self._object_revision is None:
            return
        left = replace(self._confirmation(0), left=True)
        try:
            async with asyncio.timeout(_LEAVE_SECONDS):
                await self._registry.leave(left, self._object_revision)
        except (PlatformError, TimeoutError) as error:
            log_event("lease_not_left", reason=str(error))

    async def wait_for_others(
        self, group: str, token: int, taken_at: float
    ) -> AcknowledgedCommits | None:
        """Wait until no other proxy's lease counts; `taken_at` is when the lock's answer came.

        What all proxies have told of a group, None where one of them does not say.
        """
        self.lease.lock_taken(token)
        deadline = taken_at + REVOCATION_WAIT_SECONDS
        while (left := deadline - self._loop.time()) > 0:
            confirmed = await self._all_dropped(token)
            if confirmed is not None:
                return _acknowledged_by(group, (*confirmed, self._confirmation(token)))
            await asyncio.sleep(min(_ASK_AGAIN_SECONDS, left))
        return None

    async def _all_dropped(self, token: int) -> list[LeaseConfirmation] | None:
        """What the others wrote with the drop of their leases, None until all have."""
        try:
            confirmed = await self._registry.confirmations()
        except PlatformError as error:
            # All leases have run out when the wait ends, whatever is confirmed.
            log_event("lease_confirmations_not_read", token=token, reason=str(error))
            return None
        others = [item for item in confirmed if item.proxy != self._node]
        waiting = any(item.revision < token and not item.left for item in others)
        return None if waiting else others


def _acknowledged_by(group: str, confirmed: Iterable[LeaseConfirmation]) -> AcknowledgedCommits:
    ends = [item.acknowledged[group] for item in confirmed if group in item.acknowledged]
    known_since = max(item.first_revision for item in confirmed)
    return AcknowledgedCommits(max(ends, default=Position(0, 0)), known_since)
