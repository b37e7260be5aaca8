"""The lead lease: for a short time, no primary of any group can be replaced. No I/O.

A change of primary begins by taking the promotion lock in the store. A proxy that read the lock
and saw it free knows that nobody had begun when it *sent* that call. Whoever takes the lock
afterwards waits, before it promotes, until every registered proxy has confirmed that it dropped
its lease, or until all leases have run out. So for `LEASE_SECONDS` after the sending no new
primary can lead, and answers of the known primary need no further proof.

One reading of the lock serves several proxies: one reads it from the store, the others ask that
one. What they are told is as old as the reading, so the lease runs out at the same time.

Weighed: a status query of a replica for each such read (works without the store, and is what is
done without a lease), and leases granted by peers (needs a majority, and any number of machines
may be lost at once).
"""

from __future__ import annotations

from dataclasses import dataclass

from orchidwind.promoted.core.promotion_lock import LockRecord

LEASE_SECONDS = 1.0
# A lease is renewed this long before it runs out.
RENEWAL_MARGIN_SECONDS = 0.25
# Steady clocks of two machines run at slightly different rates.
REVOCATION_WAIT_SECONDS = 1.1


@dataclass(frozen=True, slots=True)
class LockReading:
    """What a read of the lock showed; `sent_at` is when its call was sent, or earlier."""

    sent_at: float
    revision: int
    free: bool

    @classmethod
    def of(cls, sent_at: float, record: LockRecord | None) -> LockReading:
        """The reading of a record; without one the lock was never taken."""
        if record is None:
            return cls(sent_at, 0, free=True)
        return cls(sent_at, record.revision, record.released)

    @classmethod
    def relayed(cls, asked_at: float, age: float, revision: int, free: bool) -> LockReading:
        """Another proxy's reading, which was `age` seconds old when it answered.

        It answered after it was asked, so its call was sent no earlier than `age` before that.
        """
        return cls(asked_at - age, revision, free)


class LeadLease:
    """What one proxy may rely on. Times are in seconds of its steady clock."""

    def __init__(self) -> None:
        self._covered_until = float("-inf")
        self._newest_revision = 0
        self._first_revision: int | None = None
        self._free = False

    @property
    def first_revision(self) -> int | None:
        """The lock's revision when this proxy first saw it, None before.

        Who saw it below a holder's token has run since before that holder's change of primary.
        """
        return self._first_revision

    @property
    def free_revision(self) -> int | None:
        """The lock's revision while it is known to be free, else None.

        As long as this stays the same, nobody has begun to change a primary.
        """
        return self._newest_revision if self._free else None

    def covers(self, at: float) -> bool:
        """Whether no change of primary had taken effect at a time."""
        return at <= self._covered_until

    @property
    def covered_until(self) -> float:
        """Until when no change of primary can take effect."""
        return self._covered_until

    def lock_read(self, sent_at: float, record: LockRecord | None) -> None:
        """The lock was read by a call that was sent at a time."""
        self.lock_seen(LockReading.of(sent_at, record))

    def lock_seen(self, reading: LockReading) -> None:
        """The lock was read, by this proxy or by another that told of it."""
        self._note_first(reading.revision)
        if reading.revision < self._newest_revision:
            return
        self._newest_revision = reading.revision
        if reading.free:
            self._free = True
            self._covered_until = max(self._covered_until, reading.sent_at + LEASE_SECONDS)
        else:
            self.drop()

    def lock_taken(self, revision: int) -> None:
        """Some proxy took the lock; earlier reads of it count no longer."""
        self._note_first(revision)
        if revision >= self._newest_revision:
            self._newest_revision = revision
            self.drop()

    def _note_first(self, revision: int) -> None:
        if self._first_revision is None:
            self._first_revision = revision

    def drop(self) -> None:
        """Rely on nothing until the lock is read again."""
        self._free = False
        self._covered_until = float("-inf")
