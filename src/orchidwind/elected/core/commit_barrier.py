"""Delays the acknowledgement of a commit until a majority of the group is known to hold it.

A commit on instance P in term t that ends at log position p is confirmed when status reports
requested after the commit show that P is still the primary of term t, that a majority including P
holds the log of term t up to p, and that no instance knows a higher term. The group elects the
instance that has the most advanced log among a majority, so the log of every later primary contains
the commit. The outcome of an unconfirmed commit is unknown; it is never reported as failed.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from orchidwind.elected.core.group_view import GroupView, InstanceReport
from orchidwind.shared.core.positions import Position

# How long a commit may wait for confirmation, even past its request's deadline, before its outcome
# is reported as unknown. Spans several status rounds (`polling.py`), so that one slow instance
# does not put a durable commit in doubt.
CONFIRM_SECONDS = 2.0


@unique
class Acknowledge(Enum):
    """When a commit is acknowledged.

    REPLICATED waits until a majority holds the commit. CONFIRMED waits only until a majority
    reports no higher term: this saves one round trip, but a later change of primary may lose the
    write.
    """

    REPLICATED = "replicated"
    CONFIRMED = "confirmed"


@dataclass(slots=True)
class PendingCommit:
    """A commit waiting for confirmation; `committed_at` is when the instance answered it."""

    ticket: int
    instance: str
    term: int
    committed_at: float
    position: Position | None = None


@dataclass(frozen=True, slots=True)
class Confirmed:
    """The commit may be acknowledged; every later primary holds `position`."""

    ticket: int
    position: Position


@dataclass(frozen=True, slots=True)
class Superseded:
    """The primary was replaced or demoted: whether the commit survives is unknown."""

    ticket: int


BarrierDecision = Confirmed | Superseded


class CommitBarrier:
    """The commits of one group that wait for confirmation."""

    def __init__(self, view: GroupView, acknowledge: Acknowledge) -> None:
        self.pending: dict[int, PendingCommit] = {}
        self._view = view
        self._acknowledge = acknowledge

    @property
    def oldest_committed_at(self) -> float | None:
        """`committed_at` of the longest-waiting commit, None if no commit waits."""
        return min((commit.committed_at for commit in self.pending.values()), default=None)

    def add(self, commit: PendingCommit) -> list[BarrierDecision]:
        """Add a commit; returns `Superseded` at once if a higher term is already known."""
        if self._view.highest_term > commit.term:
            return [Superseded(commit.ticket)]
        self.pending[commit.ticket] = commit
        return []

    def drop(self, ticket: int) -> None:
        """Stop waiting for a commit, if it is pending."""
        self.pending.pop(ticket, None)

    def on_report(self, report: InstanceReport) -> list[BarrierDecision]:
        """Return the decisions that follow from a report, which the group's view already holds."""
        decisions: list[BarrierDecision] = []
        for commit in list(self.pending.values()):
            decision = self._decide(commit)
            if decision is not None:
                del self.pending[commit.ticket]
                decisions.append(decision)
        return decisions

    def _decide(self, commit: PendingCommit) -> BarrierDecision | None:
        if self._view.highest_term > commit.term:
            return Superseded(commit.ticket)
        own = self._view.reports.get(commit.instance)
        if own is None or own.asked_at < commit.committed_at:
            return None
        if own.in_recovery or own.term != commit.term:
            return Superseded(commit.ticket)
        if commit.position is None:
            commit.position = own.received
        if self._count_supporting(commit, commit.position) < self._view.majority:
            return None
        return Confirmed(commit.ticket, commit.position)

    def _count_supporting(self, commit: PendingCommit, position: Position) -> int:
        return sum(
            1
            for report in self._view.fresh_reports(commit.committed_at)
            if self._supports(report, position)
        )

    def _supports(self, report: InstanceReport, position: Position) -> bool:
        if report.term != position.term and self._acknowledge is Acknowledge.REPLICATED:
            return False
        if self._acknowledge is Acknowledge.CONFIRMED:
            return report.term <= position.term
        return report.received.term == position.term and report.received >= position
