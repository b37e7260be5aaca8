"""The promotion lock: only its holder may promote an instance. No I/O.

The lock is one object in the store, changed by compare-and-put only. Its revision in the store is
the fencing token: it rises with every change, so also with every holder, and it keeps rising when
the store is restored from an older copy (`store_revision`). A holder uses the lock for a fixed time
after it *sent* the call that took it. Other proxies take the lock over only after they have seen it
unchanged for longer than that, by their own monotonic clocks; the difference covers a promotion
call that is still in progress. Once a promotion was recorded while the lock was held, the same wait
also applies to the holder itself and to a process that was restarted under its name: the promotion
call may still take effect, and a proxy that found the old primary leading would unfence the
replicas for it.

Each era of the store has a lock of its own. A restore of the store may lose the record of a holder
that still acts, and a late call by that holder could hit a record that was given the same revision
again. So the lock of a later era does not exist at first. It is treated as if an unknown proxy had
taken it when the era was first seen, and is created once all rights from earlier eras have expired.

Owns: since when the lock was seen at its revision (`LockObserver`). Relies on: a store whose
compare-and-put gives each change a higher revision. Times are in seconds of the monotonic clock.
"""

from __future__ import annotations

from enum import Enum, unique

from msgspec import Struct

from orchidwind.promoted.core.call_limits import PROMOTION_CALL_SECONDS
from orchidwind.promoted.core.store_revision import FIRST_ERA, NOTHING_HELD, StoreRevision

# Seconds for which a holder uses the lock, from the sending of the call that took it. The wait for
# leases and twelve attempts to find a candidate (`failover`) fit in.
HOLD_SECONDS = 3.0
# Seconds for which a promotion call may still be in progress when its sender's holding time is
# over: the limit of the call, and some tenths of a second to take effect.
_LATE_PROMOTION_SECONDS = 1.3
# Seconds after which other proxies take over a lock that has not changed.
TAKE_OVER_SECONDS = HOLD_SECONDS + _LATE_PROMOTION_SECONDS
# No call is begun in the last seconds of the holding time: as long as a call to an instance may
# take.
CALL_MARGIN_SECONDS = 0.2
# Seconds after its own promotion call for which a proxy leaves the lock to others if another proxy
# has promoted since: the other one may hold the lock for that long, and half a second is for
# messages in transit.
ALTERNATION_SECONDS = HOLD_SECONDS + 0.5
# How often, and at which interval in seconds, the lock is read back if its write was not answered:
# 0.9 s and the time of the calls. A lock that is known to be held only later has hardly any time
# left.
LOCK_READ_BACKS = 6
LOCK_READ_BACK_SECONDS = 0.15

assert PROMOTION_CALL_SECONDS < _LATE_PROMOTION_SECONDS
assert ALTERNATION_SECONDS < TAKE_OVER_SECONDS


class LockRecord(Struct, frozen=True):
    """The lock as the store holds it. `attempt` differs for each call by the same holder."""

    holder: str
    attempt: str
    released: bool
    revision: StoreRevision

    @classmethod
    def absent(cls, era: int) -> LockRecord:
        """Return the record for an era without one.

        It counts as free in the first era only, as the lock was never held there.
        """
        return cls("", "", era == FIRST_ERA, StoreRevision.of(era, 0))

    @property
    def exists(self) -> bool:
        """Whether the store has the record."""
        return self.revision.in_era > 0


class HeldLock(Struct, frozen=True):
    """The lock as held by this proxy, until `valid_until` of its monotonic clock."""

    token: StoreRevision
    valid_until: float


@unique
class LockDecision(Enum):
    """What a proxy that wants the lock does next."""

    CREATE = "create"
    REPLACE = "replace"
    WAIT = "wait"


class LockObserver:
    """Decides whether the lock may be taken, from the revisions seen so far."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._seen_revision = NOTHING_HELD
        self._seen_at = 0.0

    def saw(self, now: float, revision: StoreRevision) -> None:
        """Note the revision at which the lock was seen, in a call or by a watch."""
        if revision != self._seen_revision:
            self._seen_revision = revision
            self._seen_at = now

    def decide(
        self, now: float, record: LockRecord, promotion_called: bool = False
    ) -> LockDecision:
        """Decide what to do about a record that was just read.

        `promotion_called`: a promotion may have been called under this same hold.
        """
        take = LockDecision.REPLACE if record.exists else LockDecision.CREATE
        if record.released:
            return take
        if record.holder == self._node and not promotion_called:
            return take
        self.saw(now, record.revision)
        return take if now - self._seen_at >= TAKE_OVER_SECONDS else LockDecision.WAIT


def held_lock(sent_at: float, record: LockRecord, attempt: str) -> HeldLock | None:
    """Return the held lock if the record shows this attempt's own call, else None.

    The holding time counts from the sending of the call.
    """
    if record.attempt != attempt or record.released:
        return None
    return HeldLock(record.revision, sent_at + HOLD_SECONDS)


def usable_seconds(held: HeldLock | None, now: float, era: int) -> float | None:
    """Return for how many seconds the lock is certainly held, None if no call may be begun.

    A lock ends with its era: once the holder knows of a later era (`era` is the newest that it
    knows), what it reads and writes may differ from what it knew.
    """
    if held is None or held.token.era < era:
        return None
    left = held.valid_until - now
    return left if left > CALL_MARGIN_SECONDS else None


def would_alternate(
    since_call: float, called_with: StoreRevision, newest_token: StoreRevision
) -> bool:
    """Whether a proxy must leave the lock to others, so that two holders do not take turns.

    `since_call`: seconds since its own last promotion call, made under the token `called_with`.
    `newest_token`: the token of the last promotion of any group. A third proxy may take the lock
    meanwhile, and this one again after `ALTERNATION_SECONDS`.
    """
    return since_call < ALTERNATION_SECONDS and newest_token > called_with


def held_by_another(holder: str, node: str, held_for: float) -> bool:
    """Whether another proxy holds the lock and may not be replaced yet, so that trying is useless.

    `holder` is empty if the lock is free. `held_for`: seconds since the record last changed.
    """
    return holder not in ("", node) and held_for < TAKE_OVER_SECONDS
