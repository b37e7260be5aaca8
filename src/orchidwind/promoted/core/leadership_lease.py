"""The leadership lease: for a short time, no primary of any group can be replaced. No I/O.

A change of primary begins by taking the promotion lock in the store. A proxy that read the lock and
saw it free knows that no change had begun when it *sent* that call. A proxy that takes the lock
afterwards waits, before it promotes, until every registered proxy has confirmed that it dropped its
lease, or until all leases have expired. So for `LEASE_SECONDS` after the call was sent no new
primary can lead, and answers of the known primary need no further proof.

One reading of the lock serves several proxies: one reads it from the store, the others ask that
proxy. The reading they get keeps its age, so their leases expire at the same time.

Alternatives considered: a status query of a replica for each such read (works without the store,
and is what is done without a lease), and leases granted by other proxies (needs a majority, and any
number of machines may be lost at once).

Owns: until when one proxy is covered, and the newest revision of the lock that it saw. Relies on:
`promotion_lock`, whose revision rises with every change, and monotonic clocks of about the same
rate.
"""

from __future__ import annotations

from msgspec import Struct

from orchidwind.promoted.core.promotion_lock import LockRecord
from orchidwind.promoted.core.store_revision import StoreRevision

# Seconds from the sending of a reading for which no new primary can lead. A longer lease means
# fewer readings of the lock (one each 0.75 s per reading proxy), but a change of primary waits
# longer for a proxy that does not confirm.
LEASE_SECONDS = 1.0
# A lease is renewed this many seconds before it expires: the time for a few calls of the store.
RENEWAL_MARGIN_SECONDS = 0.25
# Seconds by which the monotonic clocks of two machines may differ over a lease: a tenth of the
# lease, far beyond any clock's drift.
_CLOCK_RATE_MARGIN_SECONDS = 0.1
# Seconds for which a change of primary waits, from when it holds the lock: all leases have expired
# by then.
REVOCATION_WAIT_SECONDS = LEASE_SECONDS + _CLOCK_RATE_MARGIN_SECONDS
# Shortest time between two readings of the lock, in seconds. Applies to a lease that is short
# because its reading was old when it arrived.
_SHORTEST_RENEWAL_SECONDS = 0.1
# Seconds between two readings while the lock is not known to be free: as often as a lease is
# renewed. The watch of the lock ends this wait when the lock is released.
_WITHOUT_LEASE_SECONDS = LEASE_SECONDS - RENEWAL_MARGIN_SECONDS
# A reading older than this is not passed on to other proxies: less than half of the lease would be
# left.
LONGEST_RELAYED_AGE_SECONDS = LEASE_SECONDS / 2
# Time limit in seconds for asking another proxy for its reading. A longer wait would take the time
# that this proxy needs to read the store itself.
RELAY_CALL_SECONDS = 0.1
# Seconds between two readings of the other proxies' confirmations: a few calls of the store (4 ms
# each with the first users). The rest of a change of primary waits for them.
CONFIRMATIONS_INTERVAL_SECONDS = 0.025

assert RELAY_CALL_SECONDS < RENEWAL_MARGIN_SECONDS < LEASE_SECONDS < REVOCATION_WAIT_SECONDS


class LockReading(Struct, frozen=True):
    """The state of the lock in one reading; its call was sent at `sent_at`, or earlier."""

    sent_at: float
    revision: StoreRevision
    free: bool

    @classmethod
    def of(cls, sent_at: float, record: LockRecord) -> LockReading:
        """Return the reading for a record of the lock."""
        return cls(sent_at, record.revision, record.released)

    @classmethod
    def relayed(
        cls, asked_at: float, age: float, revision: StoreRevision, free: bool
    ) -> LockReading:
        """Return another proxy's reading, which was `age` seconds old when that proxy answered.

        The other proxy answered after it was asked, so the call that read the lock was sent no
        earlier than `age` before `asked_at`.
        """
        return cls(asked_at - age, revision, free)


class LeadershipLease:
    """The leadership lease of one proxy. Times are in seconds of its monotonic clock.

    A reading counts only if it was sent after the proxy was registered: a proxy that has taken the
    lock since then waits for this one. The registration may be lost when the store is restored from
    an older copy.
    """

    def __init__(self) -> None:
        self._registered_at: float | None = None
        self._covered_until = float("-inf")
        self._newest_revision = StoreRevision(0)
        self._first_revision: StoreRevision | None = None
        self._free = False

    @property
    def first_revision(self) -> StoreRevision | None:
        """The revision of the lock when this proxy first saw it, None before that.

        A proxy that saw a revision below a holder's token has run since before that holder's change
        of primary.
        """
        return self._first_revision

    @property
    def free_revision(self) -> StoreRevision | None:
        """The revision of the lock while it is known to be free, else None.

        While this value stays the same, no change of primary has begun.
        """
        return self._newest_revision if self._free else None

    @property
    def is_registered(self) -> bool:
        """Whether a holder of the lock waits for this proxy."""
        return self._registered_at is not None

    def registered(self, at: float) -> None:
        """Note that the registration was answered at a time; earlier readings no longer count."""
        self.drop()
        self._registered_at = at

    def not_registered(self) -> None:
        """Note that a holder of the lock may not wait for this proxy any more."""
        self._registered_at = None
        self.drop()

    def predates_registration(self, reading: LockReading) -> bool:
        """Whether a reading was sent before the registration, so that it gives no lease."""
        return self._registered_at is None or reading.sent_at < self._registered_at

    def covers(self, at: float) -> bool:
        """Whether no change of primary can have taken effect by a time."""
        return at <= self._covered_until

    @property
    def covered_until(self) -> float:
        """The time until which no change of primary can take effect."""
        return self._covered_until

    def lock_seen(self, reading: LockReading) -> None:
        """Note a reading of the lock, by this proxy or by another that passed it on."""
        self._note_first(reading.revision)
        if reading.revision < self._newest_revision:
            return
        self._newest_revision = reading.revision
        if not reading.free:
            self.drop()
        elif not self.predates_registration(reading):
            self._free = True
            self._covered_until = max(self._covered_until, reading.sent_at + LEASE_SECONDS)

    def lock_taken(self, revision: StoreRevision) -> None:
        """Note that a proxy took the lock; readings of earlier revisions no longer count."""
        self._note_first(revision)
        if revision >= self._newest_revision:
            self._newest_revision = revision
            self.drop()

    def _note_first(self, revision: StoreRevision) -> None:
        if self._first_revision is None:
            self._first_revision = revision

    def drop(self) -> None:
        """Give up the lease until the lock is read again."""
        self._free = False
        self._covered_until = float("-inf")


def renewal_due_in(lease: LeadershipLease, now: float) -> float:
    """Return the seconds until the next reading of the lock, while requests need the lease."""
    if lease.free_revision is None:
        return _WITHOUT_LEASE_SECONDS
    return max(lease.covered_until - now - RENEWAL_MARGIN_SECONDS, _SHORTEST_RENEWAL_SECONDS)
