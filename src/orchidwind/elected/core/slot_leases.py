"""Lends unused server connections between the home proxies of a database, on short fenced leases.

Placement gives each home proxy a fixed share of the connections. A home that needs more asks the
homes of other zones; a home with spare connections lends them for a few seconds. Safety rests on
three rules:

- the lender gives up its connections before it answers, and reclaims them only after the lease plus
  a margin for clocks that run at different speeds;
- the borrower counts the lease from the time of its request, on its own monotonic clock, and checks
  that clock before each use, so that a borrower that was paused finds its lease expired;
- lease numbers only increase; an answer whose number is not higher than the last is dropped.

The database's own connection limit holds in any case.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# The duration of a lease. A lender that needs its connections back waits this long, and a borrower
# renews about as often. What leases gain: docs/DECISIONS.md, "Slots are lent between homes".
SLOT_LEASE_SECONDS = 3.0
# The lender waits longer than the lease by this fraction of it, which bounds how much faster its
# clock may run. Without it the homes hold more connections than the database has, as a test shows.
_CLOCK_MARGIN = 0.2
# The minimum time between two requests to a lender, so also the delay after a refusal.
_REQUEST_INTERVAL_SECONDS = 0.5
# Leaves time to repeat one lost renewal before the lease ends.
_RENEW_BEFORE_SECONDS = 1.0
# A home without connections would refuse its callers until the lease ends, which is later than
# their deadlines.
_MIN_OWN_CONNECTIONS = 1


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Ask the home `lender` for `wanted` connections to each instance."""

    lender: str
    wanted: int


@dataclass(frozen=True, slots=True)
class LeaseAnswer:
    """Connections to each instance lent for `duration` seconds; a refusal has 0 slots."""

    slots: int
    number: int
    duration: float


@dataclass(slots=True)
class _Lease:
    slots: int
    number: int
    expires_at: float


class SlotLeases:
    """The leases of one database at one home proxy, as lender and as borrower."""

    def __init__(self, base_share: int, first_number: int = 0) -> None:
        """`first_number` must exceed all lease numbers that this home issued before a restart."""
        self.base_share = base_share
        self._number = first_number
        self._lent: dict[str, _Lease] = {}
        self._borrowed: dict[str, _Lease] = {}
        self._highest_seen: dict[str, int] = {}
        self._requested_at: dict[str, float] = {}

    def share(self, now: float) -> int:
        """The connections to each instance that this home may hold now.

        At least one while it is a home: placement may lower the base share below what is lent, and
        a home without connections would refuse its callers until the lease ends.
        """
        self._drop_expired(now)
        lent = sum(lease.slots for lease in self._lent.values())
        borrowed = sum(lease.slots for lease in self._borrowed.values())
        if self.base_share == 0:
            return 0
        return max(self.base_share - lent, _MIN_OWN_CONNECTIONS) + borrowed

    def deadline(self) -> float:
        """When the next lease ends, infinity if there is none."""
        leases = [*self._lent.values(), *self._borrowed.values()]
        return min((lease.expires_at for lease in leases), default=float("inf"))

    # --- lender -------------------------------------------------------------------------------

    def on_lease_request(self, now: float, borrower: str, wanted: int, spare: int) -> LeaseAnswer:
        """Lend spare connections, keeping at least one for this home's own callers.

        A request from a borrower that holds a lease is a renewal. A renewal never shrinks the
        lease, since its answer may be lost: if there is less to lend, the renewal is refused and
        the lease expires.
        """
        self._drop_expired(now)
        former = self._lent.get(borrower)
        former_slots = former.slots if former is not None else 0
        free = min(spare, self.base_share - self._lent_slots() - _MIN_OWN_CONNECTIONS)
        if self._borrowed:
            free = 0  # a sublease would outlive the lease it draws on
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

    def lease_requests(self, now: float, lenders: Sequence[str], wanted: int) -> list[LeaseRequest]:
        """The requests that a home in need of connections sends now, at most one per lender."""
        self._drop_expired(now)
        asked = []
        for lender in lenders:
            held = self._borrowed.get(lender)
            if held is not None and held.expires_at - now > _RENEW_BEFORE_SECONDS:
                continue
            if now - self._requested_at.get(lender, float("-inf")) < _REQUEST_INTERVAL_SECONDS:
                continue
            self._requested_at[lender] = now
            asked.append(LeaseRequest(lender, wanted))
        return asked

    def on_answer(self, now: float, lender: str, answer: LeaseAnswer) -> None:
        """Accept a lease, which counts from the time of the request; drops an outdated answer."""
        if answer.number <= self._highest_seen.get(lender, 0):
            return
        self._highest_seen[lender] = answer.number
        self._borrowed.pop(lender, None)
        expires_at = self._requested_at.get(lender, now - answer.duration) + answer.duration
        if answer.slots > 0 and expires_at > now:
            self._borrowed[lender] = _Lease(answer.slots, answer.number, expires_at)

    def _drop_expired(self, now: float) -> None:
        for held in (self._lent, self._borrowed):
            for name, lease in list(held.items()):
                if lease.expires_at <= now:
                    del held[name]
