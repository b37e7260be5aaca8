"""Divides the requests that one instance can run among the home proxies by their demand. No I/O.

Each home proxy of a group has a base part of an instance's requests: an equal part for each home. A
home with little demand lends some of its base part to homes that have reported more demand than
their own base parts can serve, in proportion to what they lack. The parts then follow the demand,
with a least part for each home. A home lends only what its own demand leaves free.

A loan needs no confirmation and cannot be counted twice, whatever message is lost, late or
reordered:

- the lender stops using what it lends before it answers, and counts each loan until `LOAN_SECONDS`
  after its answer;
- the borrower uses a loan until `LOAN_SECONDS` after it sent its request, which is earlier;
- a borrower uses at most one loan of each lender, so of several loans to one borrower the lender
  counts the largest.

The parts in use never add up to more than the base parts of the homes. Where homes are not yet
agreed on (a home joined, left or restarted), that sum is what it would be without loans, with the
base parts counted for `LOAN_SECONDS` after they ended. Without news from a home, the loans expire
and each home has its base part again.

Owns: the loans of one proxy at one instance. Relies on a driver that samples the demand and
exchanges the reports. Times are in seconds of the monotonic clock of the proxy; the clocks of two
proxies are never compared. Parts and demands are numbers of requests.
"""

from __future__ import annotations

from math import exp

from msgspec import Struct

# Validity of a loan, seconds. A home whose demand returns has its whole base part again after this
# time at the latest. Twice the interval at which loans are renewed, and time for the answer.
LOAN_SECONDS = 0.5
# Time constant of the average of a home's demand, seconds: several statements, and much shorter
# than a loan.
_DEMAND_SECONDS = 0.15
# Part of its base part that a home never lends.
LEAST_PART = 0.25
# A home keeps this many times its own demand of its base part: demand varies from moment to moment.
_RESERVE = 1.5
# A home asks for loans from this demand on, as a fraction of its base part. Without loans its
# window may grow to twice the base part.
_ASK_FROM = 1.5
# A demand below this counts as none, in requests.
_NO_DEMAND = 0.01
# Smallest loan, in requests.
_SMALLEST_LOAN = 0.05


class _Loan(Struct, frozen=True):
    """An amount of requests that may be used until a time."""

    amount: float
    until: float


class _ReportedDemand(Struct, frozen=True):
    """The demand of another home, and the time until which the report is used."""

    demand: float
    until: float


class DemandShares:
    """The part of one proxy at one instance: its base part, less what it lent, plus its loans."""

    def __init__(self, base: float) -> None:
        self.base = base
        self.demand = 0.0
        self._sampled_at: float | None = None
        # By home.
        self._lent: dict[str, list[_Loan]] = {}
        self._borrowed: dict[str, _Loan] = {}
        self._reported: dict[str, _ReportedDemand] = {}

    def sample(self, requests: int, now: float) -> bool:
        """Record the number of running and waiting requests at this proxy.

        Returns whether there is any demand or loan; if not, the part is the base part.
        """
        if not (requests or self._lent or self._borrowed) and self.demand < _NO_DEMAND:
            self.demand, self._sampled_at = 0.0, now
            return False
        elapsed = 0.0 if self._sampled_at is None else now - self._sampled_at
        self._sampled_at = now
        self.demand += (requests - self.demand) * (1 - exp(-elapsed / _DEMAND_SECONDS))
        return True

    def needs_loans(self) -> bool:
        """Whether the demand is so high that this proxy asks other homes for loans."""
        return self.demand >= self.base * _ASK_FROM

    def part(self, now: float) -> float:
        """How many requests this proxy may have in progress at the instance."""
        own = max(self.base - self.lent(now), 0.0)
        return own + self.borrowed(now)

    def lent(self, now: float) -> float:
        """How many requests of the base part other homes may be using."""
        return sum(self._lent_to(home, now) for home in list(self._lent))

    def borrowed(self, now: float) -> float:
        """How many requests this proxy may use in addition to its base part."""
        if not self._borrowed:
            return 0.0
        self._borrowed = {
            lender: loan for lender, loan in self._borrowed.items() if loan.until > now
        }
        return sum(loan.amount for loan in self._borrowed.values())

    def first_loan_end(self, now: float) -> float:
        """When the part next becomes smaller because a loan to this proxy ends; may be infinite."""
        ends = (loan.until for loan in self._borrowed.values() if loan.until > now)
        return min(ends, default=float("inf"))

    def lend(self, borrower: str, demand: float, now: float) -> float:
        """Lend to a home that reports its demand; return the amount.

        It replaces earlier loans to the same home.
        """
        self._reported[borrower] = _ReportedDemand(demand, now + LOAN_SECONDS)
        others = sum(self._lent_to(home, now) for home in list(self._lent) if home != borrower)
        free = max(self.base - self._kept(now) - others, 0.0)
        amount = min(self._due_to(borrower, now), free)
        if amount < _SMALLEST_LOAN:
            return 0.0
        self._lent.setdefault(borrower, []).append(_Loan(amount, now + LOAN_SECONDS))
        return amount

    def borrow(self, lender: str, amount: float, asked_at: float) -> None:
        """Use what a home lent in answer to a request sent at a time; replaces its earlier loan.

        An answer to an earlier request than that of the current loan is ignored.
        """
        until = asked_at + LOAN_SECONDS
        current = self._borrowed.get(lender)
        if current is None or until >= current.until:
            self._borrowed[lender] = _Loan(max(amount, 0.0), until)

    def _lent_to(self, home: str, now: float) -> float:
        """The largest unexpired loan to a home; forgets the expired ones."""
        loans = [loan for loan in self._lent[home] if loan.until > now]
        if not loans:
            del self._lent[home]
            return 0.0
        self._lent[home] = loans
        return max(loan.amount for loan in loans)

    def _kept(self, now: float) -> float:
        """How much of the base part this proxy needs for itself."""
        needed = max(self._part_by_demand(self.demand, now), self.demand * _RESERVE)
        return min(self.base, needed)

    def _due_to(self, borrower: str, now: float) -> float:
        """The borrower's part of what this proxy can spare, by what each reporting home lacks."""
        lacks = {
            home: max(self._part_by_demand(report.demand, now) - self.base, 0.0)
            for home, report in self._reports(now).items()
        }
        total = sum(lacks.values())
        spare = self.base - self._kept(now)
        return spare * lacks[borrower] / total if total > 0 else 0.0

    def _part_by_demand(self, demand: float, now: float) -> float:
        """The part of a home with this demand if all reporting homes share by demand."""
        reports = self._reports(now).values()
        total = self.demand + sum(report.demand for report in reports)
        fraction = demand / total if total > 0 else 0.0
        return max(self.base * (1 + len(reports)) * fraction, self.base * LEAST_PART)

    def _reports(self, now: float) -> dict[str, _ReportedDemand]:
        """The demands that other homes reported lately; forgets older ones."""
        self._reported = {
            home: report for home, report in self._reported.items() if report.until > now
        }
        return self._reported
