"""A home proxy's view of one database group, built from the status reports of its instances.

Owns which instance counts as the primary and how far each replica lags. Relies on the reports that
`instance_reports.py` requests. Times are in seconds of the home proxy's monotonic clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from orchidwind.shared.core.positions import ORIGIN, Position

# Three times the idle interval of status queries (`polling.py`): after two lost queries the report
# of a replica is older than this, and the replica gets no reads.
STALE_AFTER_SECONDS = 6.0
# Number of log positions kept, one per report that showed a new position. For an older position
# the time of the oldest sample is used, so a replica's delay is underestimated that far behind.
_MAX_LOG_SAMPLES = 512


@dataclass(frozen=True, slots=True)
class InstanceReport:
    """One instance's answer to a status query.

    `asked_at` is when the query was sent and `answered_at` when its answer arrived, in seconds of
    the home proxy's monotonic clock. `term` is the highest term that the instance knows; `received`
    is the end of the log it holds, with the term of its last record.
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

        The log of a later term continues that of the earlier term from a point after the last
        acknowledged write. So a replica of the same or a later term covers the floor once its
        replay has reached the floor's log sequence number.
        """
        return self.received.term >= floor.term and self.replayed_lsn >= floor.lsn


@dataclass(frozen=True, slots=True)
class PrimaryReference:
    """The instance that is the primary of a term."""

    instance: str
    term: int


class LogTimes:
    """Records when the log reached each position, to estimate the replay delay of replicas."""

    def __init__(self) -> None:
        self._samples: deque[tuple[int, float]] = deque(maxlen=_MAX_LOG_SAMPLES)

    def record(self, lsn: int, at: float) -> None:
        """Record that the log had reached `lsn` at a time."""
        if not self._samples or lsn > self._samples[-1][0]:
            self._samples.append((lsn, at))

    def reached_at(self, lsn: int) -> float | None:
        """When the log reached `lsn`, None if no sample has reached it."""
        found = None
        for sample_lsn, at in reversed(self._samples):
            if sample_lsn < lsn:
                break
            found = at
        return found

    @property
    def end(self) -> int:
        """The highest log sequence number seen, 0 if there is none."""
        return self._samples[-1][0] if self._samples else 0


class GroupView:
    """The latest report of each instance, and what follows from these reports."""

    def __init__(self, instances: Sequence[str]) -> None:
        self.instances = tuple(instances)
        self.majority = len(instances) // 2 + 1
        self.reports: dict[str, InstanceReport] = {}
        self.unreachable: set[str] = set()
        self.leaving: set[str] = set()
        self.highest_term = 0
        self.log_times = LogTimes()

    def add_report(self, report: InstanceReport) -> None:
        """Store a report, unless a report requested later is already stored."""
        held = self.reports.get(report.instance)
        if held is not None and held.asked_at > report.asked_at:
            return
        self.reports[report.instance] = report
        self.unreachable.discard(report.instance)
        self.highest_term = max(self.highest_term, report.term)
        self.log_times.record(report.received.lsn, report.answered_at)

    def mark_unreachable(self, instance: str) -> None:
        """Mark an instance as unreachable until its next report."""
        self.unreachable.add(instance)

    def primary(self) -> PrimaryReference | None:
        """The reachable primary of the highest known term, None if there is none."""
        for name, report in self.reports.items():
            usable = name not in self.unreachable and not report.in_recovery
            if usable and report.term == self.highest_term:
                return PrimaryReference(name, report.term)
        return None

    def replicas(self, now: float) -> list[InstanceReport]:
        """Reports of reachable replicas that follow the highest term and are recent enough."""
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
        """Seconds by which a replica's replay lags behind the log, zero if unknown."""
        if report.replayed_lsn >= self.log_times.end:
            return 0.0
        reached = self.log_times.reached_at(report.replayed_lsn)
        return 0.0 if reached is None else max(0.0, report.answered_at - reached)

    def expected_wait(self, report: InstanceReport, floor: Position, now: float) -> float:
        """Seconds until a replica's replay is expected to cover `floor`."""
        if report.replayed_covers(floor):
            return 0.0
        reached = self.log_times.reached_at(floor.lsn)
        delay = self.replay_delay(report)
        return delay if reached is None else max(0.0, reached + delay - now)

    def fresh_reports(self, since: float) -> list[InstanceReport]:
        """Reports that were requested at or after a time."""
        return [report for report in self.reports.values() if report.asked_at >= since]

    def quorum_floor(self, since: float, require_primary: bool) -> Position | None:
        """The highest log position received by any instance of a majority, None without one.

        Only reports requested at or after `since` count. The result is never below a write
        acknowledged before: a majority received that write, and two majorities share an instance.
        With `require_primary` the reports must include the primary's, which is needed if commits
        are acknowledged without replication.
        """
        fresh = self.fresh_reports(since)
        if len(fresh) < self.majority:
            return None
        if require_primary:
            newest = max(report.term for report in fresh)
            if not any(not r.in_recovery and r.term == newest for r in fresh):
                return None
        return max((report.received for report in fresh), default=ORIGIN)
