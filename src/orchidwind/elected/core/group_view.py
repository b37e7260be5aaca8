"""What a home proxy knows of one database group: the reports of its instances.

Owns which instance counts as primary, and how far each replica is behind. Relies on reports that
`instance_reports.py` asks for. Times are in seconds of the home's monotonic clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from orchidwind.shared.core.positions import ORIGIN, Position

# Three times the idle interval of status queries (`polling.py`): a replica whose report is
# older, after two lost queries, gets no reads.
STALE_AFTER_SECONDS = 6.0
# Positions of the log remembered, one for each report that showed a new one; a position
# before them has no time, and a replica that far behind counts as having no delay.
_LOG_SAMPLES = 512


@dataclass(frozen=True, slots=True)
class InstanceReport:
    """One instance's answer to a status query.

    `asked_at` is when the query left, `answered_at` when its answer came, in seconds of the
    observer's monotonic clock. `term` is the highest term that the instance knows; `received` is
    the end of the log it holds, with the term of its last record.
    """

    instance: str
    asked_at: float
    answered_at: float
    in_recovery: bool
    term: int
    received: Position
    replayed_lsn: int

    def replayed_covers(self, floor: Position) -> bool:
        """Whether reads on this instance see everything up to `floor`.

        The log of a later term continues the log of the earlier one from a point that no
        acknowledged write lies behind; so a replica of the same or a later term covers the floor
        once its replay has passed the floor's log sequence number.
        """
        return self.received.term >= floor.term and self.replayed_lsn >= floor.lsn


@dataclass(frozen=True, slots=True)
class PrimaryReference:
    """The primary of a term."""

    instance: str
    term: int


class LogClock:
    """Remembers when the log reached each position, to estimate how far replicas lag in time."""

    def __init__(self) -> None:
        self._samples: deque[tuple[int, float]] = deque(maxlen=_LOG_SAMPLES)

    def note(self, lsn: int, at: float) -> None:
        """The log was seen to reach `lsn` at a time."""
        if not self._samples or lsn > self._samples[-1][0]:
            self._samples.append((lsn, at))

    def reached_at(self, lsn: int) -> float | None:
        """When the log reached `lsn`, None where that was before the first sample."""
        found = None
        for sample_lsn, at in reversed(self._samples):
            if sample_lsn < lsn:
                break
            found = at
        return found

    @property
    def end(self) -> int:
        """The greatest position seen."""
        return self._samples[-1][0] if self._samples else 0


class GroupView:
    """The last report of each instance, and what follows from them."""

    def __init__(self, instances: Sequence[str]) -> None:
        self.instances = tuple(instances)
        self.majority = len(instances) // 2 + 1
        self.reports: dict[str, InstanceReport] = {}
        self.unreachable: set[str] = set()
        self.leaving: set[str] = set()
        self.highest_term = 0
        self.log_clock = LogClock()

    def take(self, report: InstanceReport) -> None:
        """Store a report; an older one than the one held is ignored."""
        held = self.reports.get(report.instance)
        if held is not None and held.asked_at > report.asked_at:
            return
        self.reports[report.instance] = report
        self.unreachable.discard(report.instance)
        self.highest_term = max(self.highest_term, report.term)
        self.log_clock.note(report.received.lsn, report.answered_at)

    def lose(self, instance: str) -> None:
        """The instance did not answer, or its connection broke."""
        self.unreachable.add(instance)

    def primary(self) -> PrimaryReference | None:
        """The reachable primary of the highest term known."""
        for name, report in self.reports.items():
            usable = name not in self.unreachable and not report.in_recovery
            if usable and report.term == self.highest_term:
                return PrimaryReference(name, report.term)
        return None

    def replicas(self, now: float) -> list[InstanceReport]:
        """Replicas that follow the highest term and have reported lately."""
        return [
            report
            for name, report in self.reports.items()
            if report.in_recovery
            and name not in self.unreachable
            and name not in self.leaving
            and report.received.term == self.highest_term
            and now - report.answered_at <= STALE_AFTER_SECONDS
        ]

    def replay_delay(self, report: InstanceReport) -> float:
        """Seconds by which the replay of a replica lies behind the log, zero where unknown."""
        if report.replayed_lsn >= self.log_clock.end:
            return 0.0
        reached = self.log_clock.reached_at(report.replayed_lsn)
        return 0.0 if reached is None else max(0.0, report.answered_at - reached)

    def expected_wait(self, report: InstanceReport, floor: Position, now: float) -> float:
        """Seconds until the replay of a replica is expected to cover `floor`."""
        if report.replayed_covers(floor):
            return 0.0
        reached = self.log_clock.reached_at(floor.lsn)
        delay = self.replay_delay(report)
        return delay if reached is None else max(0.0, reached + delay - now)

    def fresh_reports(self, since: float) -> list[InstanceReport]:
        """Reports that were asked for at or after a time."""
        return [report for report in self.reports.values() if report.asked_at >= since]

    def quorum_floor(self, since: float, require_primary: bool) -> Position | None:
        """The greatest received position of any majority asked after `since`.

        It is never below an acknowledged write: that write was received by a majority, and two
        majorities share an instance. With `require_primary` the primary must be among them, which
        the mode that acknowledges without replication needs.
        """
        fresh = self.fresh_reports(since)
        if len(fresh) < self.majority:
            return None
        if require_primary:
            newest = max(report.term for report in fresh)
            if not any(not r.in_recovery and r.term == newest for r in fresh):
                return None
        return max((report.received for report in fresh), default=ORIGIN)
