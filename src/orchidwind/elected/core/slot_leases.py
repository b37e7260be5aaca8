"""Lends unused server connections between the homes of one database, on short fenced leases.

Placement gives each home a fixed share of the connections. A home that is short asks the homes of
other zones; one that has spare shares lends them for a few seconds. Safety rests on three things:

- the lender gives its connections up before it answers, and takes them back only after the lease
  and a margin for clocks that run at different speeds;
- the borrower counts the lease from the moment it asked, on its own monotonic clock, and looks at
  that clock before each use, so a borrower that was paused finds the lease over when it wakes;
- each lease carries a number that only rises; an answer with a lower one is dropped.

The database's own connection limit has the last word in any case.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# How long connections are lent for. A lender that gets callers of its own waits that long
# for them, a borrower asks anew that often. What leases gain: docs/DECISIONS.md,
# "Slots are lent between homes".
SLOT_LEASE_SECONDS = 3.0
# The lender waits this share of the lease longer. Bounds how much faster its clock may run;
# without it the homes hold more connections than the database has (a test shows that).
_CLOCK_MARGIN = 0.2
# A lender that had nothing to spare is asked again after this time.
_ASK_LENDER_AGAIN_SECONDS = 0.5
# One renewal may be lost, and repeated, before the lease ends.
_RENEW_BEFORE_SECONDS = 1.0
# A home without any connection refuses its callers until the lease ends, which outlasts deadlines.
_CONNECTIONS_NEVER_LENT = 1


@dataclass(frozen=True, slots=True)
class AskLease:
    """Ask a home for connections to each instance."""

    lender: str
    wanted: int


@dataclass(frozen=True, slots=True)
class LeaseAnswer:
    """What a home lends: connections to each instance, for a time in seconds; 0 slots is a no."""

    slots: int
    number: int
    duration: float


@dataclass(slots=True)
class _Lease:
    slots: int
    number: int
    expires_at: float


class SlotLeases:
    """The leases of one database at one home, as lender and as borrower."""

    def __init__(self, base_share: int, first_number: int = 0) -> None:
        """`first_number` must be above all that this home gave before a restart."""
        self.base_share = base_share
        self._number = first_number
        self._lent: dict[str, _Lease] = {}
        self._borrowed: dict[str, _Lease] = {}
        self._highest_seen: dict[str, int] = {}
        self._asked_at: dict[str, float] = {}

    def share(self, now: float) -> int:
        """Connections to each instance that this home may hold now.

        At least one while it is home: placement may lower the base below what is lent, and a home
        without any would refuse its callers until the lease ends.
        """
        self._drop_expired(now)
        lent = sum(lease.slots for lease in self._lent.values())
        borrowed = sum(lease.slots for lease in self._borrowed.values())
        if self.base_share == 0:
            return 0
        return max(self.base_share - lent, _CONNECTIONS_NEVER_LENT) + borrowed

    def deadline(self) -> float:
        """When the next lease ends."""
        leases = [*self._lent.values(), *self._borrowed.values()]
        return min((lease.expires_at for lease in leases), default=float("inf"))

    # --- lender -------------------------------------------------------------------------------

    def on_ask(self, now: float, borrower: str, wanted: int, spare: int) -> LeaseAnswer:
        """Lend what is spare, but keep one connection for callers of the own zone.

        A borrower that asks again renews. A renewal never shrinks a lease, since its answer may be
        lost: where there is less to lend, the renewal is refused and the lease runs out.
        """
        self._drop_expired(now)
        former = self._lent.get(borrower)
        former_slots = former.slots if former is not None else 0
        free = min(spare, self.base_share - self._lent_slots() - _CONNECTIONS_NEVER_LENT)
        if self._borrowed:
            free = 0  # lending on what is borrowed would outlive the first lease
        slots = max(min(wanted, free + former_slots), 0)
        self._number += 1
        if slots == 0 or slots < former_slots:
            return LeaseAnswer(0, self._number, SLOT_LEASE_SECONDS)
        bound = now + SLOT_LEASE_SECONDS * (1 + _CLOCK_MARGIN)
        self._lent[borrower] = _Lease(slots, self._number, bound)
        return LeaseAnswer(slots, self._number, SLOT_LEASE_SECONDS)

    def _lent_slots(self) -> int:
        return sum(lease.slots for lease in self._lent.values())

    # --- borrower -----------------------------------------------------------------------------

    def asks(self, now: float, lenders: Sequence[str], wanted: int) -> list[AskLease]:
        """Whom a home that is short asks now."""
        self._drop_expired(now)
        asked = []
        for lender in lenders:
            held = self._borrowed.get(lender)
            if held is not None and held.expires_at - now > _RENEW_BEFORE_SECONDS:
                continue
            if now - self._asked_at.get(lender, float("-inf")) < _ASK_LENDER_AGAIN_SECONDS:
                continue
            self._asked_at[lender] = now
            asked.append(AskLease(lender, wanted))
        return asked

    def on_answer(self, now: float, lender: str, answer: LeaseAnswer) -> None:
        """Take a lease; it counts from the moment of asking, and only with a higher number."""
        if answer.number <= self._highest_seen.get(lender, 0):
            return
        self._highest_seen[lender] = answer.number
        self._borrowed.pop(lender, None)
        expires_at = self._asked_at.get(lender, now - answer.duration) + answer.duration
        if answer.slots > 0 and expires_at > now:
            self._borrowed[lender] = _Lease(answer.slots, answer.number, expires_at)

    def _drop_expired(self, now: float) -> None:
        for held in (self._lent, self._borrowed):
            for name, lease in list(held.items()):
                if lease.expires_at <= now:
                    del held[name]
