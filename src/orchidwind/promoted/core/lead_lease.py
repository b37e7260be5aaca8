"""The lead lease: for a short time, no primary of any group can be replaced. No I/O.

A change of primary begins by taking the promotion lock in the store. A proxy that read the lock
and saw it free knows that nobody had begun when it *sent* that call. Whoever takes the lock
afterwards waits, before it promotes, until every registered proxy has confirmed that it dropped
its lease, or until all leases have run out. So for `LEASE_SECONDS` after the sending no new
primary can lead, and answers of the known primary need no further proof.

One reading of the lock serves several proxies: one reads it from the store, the others ask that
one. What they get is as old as the reading, so the lease runs out at the same time.

Weighed: a status query of a replica for each such read (works without the store, and is what is
done without a lease), and leases granted by peers (needs a majority, and any number of machines
may be lost at once).

Owns: until when one proxy is covered, and the newest revision of the lock that it saw. Relies on:
`promotion_lock`, whose revision rises with every change, and steady clocks of about the same rate.
"""

from __future__ import annotations

from msgspec import Struct

from orchidwind.promoted.core.promotion_lock import LockRecord
from orchidwind.promoted.core.store_revision import StoreRevision

# Seconds from the sending of a reading for which nobody can lead anew. Longer leases mean
# fewer readings of the lock (one each 0.75 s a reader), and a longer wait of a change of primary
# for a proxy that does not confirm.
LEASE_SECONDS = 1.0
# A lease is renewed so many seconds before it runs out. Time for a few calls of the store.
RENEWAL_MARGIN_SECONDS = 0.25
# What steady clocks of two machines may differ by over a lease, in seconds. A tenth of the
# lease, far beyond any clock's drift.
_CLOCK_RATE_MARGIN_SECONDS = 0.1
# Seconds for which a change of primary waits, from when it holds the lock: all leases have run out.
REVOCATION_WAIT_SECONDS = LEASE_SECONDS + _CLOCK_RATE_MARGIN_SECONDS
# The lock is not read more often than each so many seconds. For a lease that is short
# because its reading was old when it came.
_SHORTEST_RENEWAL_SECONDS = 0.1
# Seconds between two readings while the lock is not known to be free. As often as a lease
# is renewed; the watch of the lock ends this wait when the lock is given back.
_WITHOUT_LEASE_SECONDS = LEASE_SECONDS - RENEWAL_MARGIN_SECONDS
# A reading older than this is not passed on. Half of the lease is left then.
LONGEST_RELAYED_AGE_SECONDS = LEASE_SECONDS / 2
# Seconds for which another proxy is asked for its reading. What a reading of the store by
# this proxy would lose by waiting longer.
RELAY_CALL_SECONDS = 0.1
# Seconds between two readings of the others' confirmations. A few calls of the store long
# (4 ms each with the first users); what is left of a change of primary waits for it.
CONFIRMATIONS_INTERVAL_SECONDS = 0.025

assert RELAY_CALL_SECONDS < RENEWAL_MARGIN_SECONDS < LEASE_SECONDS < REVOCATION_WAIT_SECONDS


class LockReading(Struct, frozen=True):
    """What a read of the lock showed; `sent_at` is when its call was sent, or earlier."""

    sent_at: float
    revision: StoreRevision
    free: bool

    @classmethod
    def of(cls, sent_at: float, record: LockRecord) -> LockReading:
        """The reading of a record."""
        return cls(sent_at, record.revision, record.released)

    @classmethod
    def relayed(
        cls, asked_at: float, age: float, revision: StoreRevision, free: bool
    ) -> LockReading:
        """Another proxy's reading, which was `age` seconds old when it answered.

        It answered after it was asked, so its call was sent no earlier than `age` before that.
        """
        return cls(asked_at - age, revision, free)


class LeadLease:
    """What one proxy may rely on. Times are in seconds of its steady clock.

    A reading counts only if it was sent when the proxy was registered already: whoever has taken
    the lock since waits for this proxy then. A return of the store may lose the registration.
    """

    def __init__(self) -> None:
        self._registered_at: float | None = None
        self._covered_until = float("-inf")
        self._newest_revision = StoreRevision(0)
        self._first_revision: StoreRevision | None = None
        self._free = False

    @property
    def first_revision(self) -> StoreRevision | None:
        """The lock's revision when this proxy first saw it, None before.

        Who saw it below a holder's token has run since before that holder's change of primary.
        """
        return self._first_revision

    @property
    def free_revision(self) -> StoreRevision | None:
        """The lock's revision while it is known to be free, else None.

        As long as this stays the same, nobody has begun to change a primary.
        """
        return self._newest_revision if self._free else None

    @property
    def is_registered(self) -> bool:
        """Whether a holder of the lock waits for this proxy."""
        return self._registered_at is not None

    def registered(self, at: float) -> None:
        """The registration was answered, at a time; what was read before does not count."""
        self.drop()
        self._registered_at = at

    def not_registered(self) -> None:
        """Nobody surely waits for this proxy any more."""
        self._registered_at = None
        self.drop()

    def predates_registration(self, reading: LockReading) -> bool:
        """Whether the lock must be read anew for this lease."""
        return self._registered_at is None or reading.sent_at < self._registered_at

    def covers(self, at: float) -> bool:
        """Whether no change of primary had taken effect at a time."""
        return at <= self._covered_until

    @property
    def covered_until(self) -> float:
        """Until when no change of primary can take effect."""
        return self._covered_until

    def lock_seen(self, reading: LockReading) -> None:
        """The lock was read, by this proxy or by another that passed its reading on."""
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
        """Some proxy took the lock; earlier reads of it count no longer."""
        self._note_first(revision)
        if revision >= self._newest_revision:
            self._newest_revision = revision
            self.drop()

    def _note_first(self, revision: StoreRevision) -> None:
        if self._first_revision is None:
            self._first_revision = revision

    def drop(self) -> None:
        """Rely on nothing until the lock is read again."""
        self._free = False
        self._covered_until = float("-inf")


def renewal_due_in(lease: LeadLease, now: float) -> float:
    """Seconds until the lock is to be read again, while requests want the lease."""
    if lease.free_revision is None:
        return _WITHOUT_LEASE_SECONDS
    return max(lease.covered_until - now - RENEWAL_MARGIN_SECONDS, _SHORTEST_RENEWAL_SECONDS)
