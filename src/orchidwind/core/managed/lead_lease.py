"""The lead lease: for a short time, no primary of any group can be replaced. No I/O.

A change of primary begins by taking the promotion lock in the store. A proxy that read the lock
and saw it free knows that nobody had begun when it *sent* that call. Whoever takes the lock
afterwards waits, before it promotes, until every registered proxy has confirmed that it dropped
its lease, or until all leases have run out. So for `LEASE_SECONDS` after the sending no new
primary can lead, and answers of the known primary need no further proof.

Weighed: a status query of a replica for each such read (works without the store, and is what is
done without a lease), and leases granted by peers (needs a majority, and any number of machines
may be lost at once).
"""

from __future__ import annotations

from orchidwind.core.managed.promotion_lock import LockRecord

LEASE_SECONDS = 1.0
REFRESH_SECONDS = 0.75
# Steady clocks of two machines run at slightly different rates.
REVOCATION_WAIT_SECONDS = 1.1


class LeadLease:
    """What one proxy may rely on. Times are in seconds of its steady clock."""

    def __init__(self) -> None:
        self._covered_until = float("-inf")
        self._newest_revision = 0
        self._free = False

    @property
    def free_revision(self) -> int | None:
        """The lock's revision while it is known to be free, else None.

        As long as this stays the same, nobody has begun to change a primary.
        """
        return self._newest_revision if self._free else None

    def covers(self, at: float) -> bool:
        """Whether no change of primary had taken effect at a time."""
        return at <= self._covered_until

    def lock_read(self, sent_at: float, record: LockRecord | None) -> None:
        """The lock was read by a call that was sent at a time."""
        revision = 0 if record is None else record.revision
        if revision < self._newest_revision:
            return
        self._newest_revision = revision
        if record is None or record.released:
            self._free = True
            self._covered_until = max(self._covered_until, sent_at + LEASE_SECONDS)
        else:
            self.drop()

    def lock_taken(self, revision: int) -> None:
        """Some proxy took the lock; earlier reads of it count no longer."""
        if revision >= self._newest_revision:
            self._newest_revision = revision
            self.drop()

    def drop(self) -> None:
        """Rely on nothing until the lock is read again."""
        self._free = False
        self._covered_until = float("-inf")
