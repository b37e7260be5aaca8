"""The lock that makes one proxy at a time the one that promotes. No I/O.

The lock is one object in the store, changed by compare-and-put only. Its revision in the store is
the fencing token: it rises with every change, so also with every holder, and across returns of the
store from an older copy (`store_revision`). A holder uses the lock for a fixed time after it *sent*
the call that took it. Others take it over only after they have seen it unchanged for longer than
that, by their own steady clocks; the difference covers a promotion call that is still under way. So
does the holder itself, and a process that was started anew under its name, once a promotion was
written down under this hold: the call may take effect yet, and whoever finds the old primary
leading would free the replicas for it.

Each era of the store has a lock of its own. A return may lose the record of a holder that still
acts, and a late call of its could hit a record that was given the same revision again. So the lock
of a later era is not there at first, which counts as if an unknown proxy had taken it when the era
was first seen: it is created when all rights from earlier eras have run out.

Owns: since when the lock was seen at its revision (`LockObserver`). Relies on: a store whose
compare-and-put gives each change a higher revision. Times are in seconds of the steady clock.
"""

from __future__ import annotations

from enum import Enum, unique

from msgspec import Struct

from orchidwind.promoted.core.call_limits import PROMOTION_CALL_SECONDS
from orchidwind.promoted.core.store_revision import FIRST_ERA, NOTHING_HELD, StoreRevision

# Seconds from the sending of the call that took the lock for which its holder uses it. The
# wait for leases, and twelve attempts to find a candidate (`failover`), fit in.
HOLD_SECONDS = 3.0
# Seconds that a promotion call may still be under way when its caller's hold has ended: the call's
# limit, and some tenths for it to take effect.
_LATE_PROMOTION_SECONDS = 1.3
# Seconds after which others take over a lock that has not changed.
TAKE_OVER_SECONDS = HOLD_SECONDS + _LATE_PROMOTION_SECONDS
# No call is begun in so many last seconds of the hold. As long as a call of an instance
# may take.
CALL_MARGIN_SECONDS = 0.2
# Seconds after its promotion for which a proxy leaves the lock to others, where another has
# promoted since: the other may hold it so long, and half a second is for what is on its way.
ALTERNATION_SECONDS = HOLD_SECONDS + 0.5
# How often, and each how many seconds, a lock is read whose write was not answered. 0.9 s
# and the calls; a lock that is known to be held later has hardly any time left.
LOCK_READ_BACKS = 6
LOCK_READ_BACK_SECONDS = 0.15

assert PROMOTION_CALL_SECONDS < _LATE_PROMOTION_SECONDS
assert ALTERNATION_SECONDS < TAKE_OVER_SECONDS


class LockRecord(Struct, frozen=True):
    """The lock as the store holds it. `attempt` is another for each call of one holder."""

    holder: str
    attempt: str
    released: bool
    revision: StoreRevision

    @classmethod
    def absent(cls, era: int) -> LockRecord:
        """No record in an era of the store; only in the first one nobody ever held the lock."""
        return cls("", "", era == FIRST_ERA, StoreRevision.of(era, 0))

    @property
    def exists(self) -> bool:
        """Whether the store has the record."""
        return self.revision.in_era > 0


class HeldLock(Struct, frozen=True):
    """The lock in this proxy's hands, until `valid_until` of its steady clock."""

    token: StoreRevision
    valid_until: float


@unique
class LockDecision(Enum):
    """What a proxy that wants the lock does."""

    CREATE = "create"
    REPLACE = "replace"
    WAIT = "wait"


class LockObserver:
    """Decides whether the lock may be taken, from what the store showed so far."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._seen_revision = NOTHING_HELD
        self._seen_at = 0.0

    def saw(self, now: float, revision: StoreRevision) -> None:
        """The lock was seen at a revision, in a call or by a watch."""
        if revision != self._seen_revision:
            self._seen_revision = revision
            self._seen_at = now

    def decide(
        self, now: float, record: LockRecord, promotion_called: bool = False
    ) -> LockDecision:
        """What to do about a record that was just read.

        `promotion_called`: a promotion may have been called under this very hold.
        """
        take = LockDecision.REPLACE if record.exists else LockDecision.CREATE
        if record.released:
            return take
        if record.holder == self._node and not promotion_called:
            return take
        self.saw(now, record.revision)
        return take if now - self._seen_at >= TAKE_OVER_SECONDS else LockDecision.WAIT


def held_lock(sent_at: float, record: LockRecord, attempt: str) -> HeldLock | None:
    """The lock, if the record shows this attempt's own call; it counts from the call's sending."""
    if record.attempt != attempt or record.released:
        return None
    return HeldLock(record.revision, sent_at + HOLD_SECONDS)


def usable_seconds(held: HeldLock | None, now: float, era: int) -> float | None:
    """For how many seconds the lock is surely held; None where no call may be begun any more.

    A lock ends with its era, once its holder knows of a later one (`era` is the one that it knows):
    what it would read and write then is not what it knew.
    """
    if held is None or held.token.era < era:
        return None
    left = held.valid_until - now
    return left if left > CALL_MARGIN_SECONDS else None


def would_alternate(
    since_call: float, called_with: StoreRevision, newest_token: StoreRevision
) -> bool:
    """Whether a proxy must leave the lock to others: two holders must not take turns.

    `since_call`: seconds since its own last promotion call, under the token `called_with`;
    `newest_token`: that of the last promotion of any group. A third proxy may go on, or this one
    after a while.
    """
    return since_call < ALTERNATION_SECONDS and newest_token > called_with


def held_by_another(holder: str, node: str, held_for: float) -> bool:
    """Whether a proxy need not try to take the lock: another holds it, and not for too long yet.

    `holder` is empty where the lock is free; `held_for`: seconds since its record last changed.
    """
    return holder not in ("", node) and held_for < TAKE_OVER_SECONDS
