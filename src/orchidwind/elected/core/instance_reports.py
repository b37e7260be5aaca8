"""Sends the status queries of a group and decides which instances count as unreachable.

Owns the poller of a group and updates its view. An instance becomes unreachable if a status query
fails or takes longer than `PollingSettings.timeout`, if a connection cannot be opened, or if it
refuses a write as a replica; its next report makes it reachable again. Times are in seconds of the
home proxy's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterator

from orchidwind.elected.core.commit_barrier import CommitBarrier
from orchidwind.elected.core.group_effects import GroupEffect, PollInstance, ResetObserver
from orchidwind.elected.core.group_view import GroupView, InstanceReport
from orchidwind.elected.core.polling import PollingSettings, StatusPoller


class InstanceReports:
    """Requests and stores the status reports of a group's instances."""

    def __init__(
        self, view: GroupView, settings: PollingSettings, effects: list[GroupEffect]
    ) -> None:
        self.poller = StatusPoller(view.instances, settings)
        self._view = view
        self._settings = settings
        self._effects = effects

    def add_report(self, report: InstanceReport) -> None:
        """Store the report of an instance that answered."""
        self.poller.answered(report.instance)
        self._view.add_report(report)

    def query_failed(self, now: float, instance: str) -> None:
        """A status query could not be sent, or its connection broke."""
        self.poller.answered(instance)
        self.poller.schedule_at(instance, now + self._settings.searching_interval)
        self.suspect(now, instance)

    def suspect(self, now: float, instance: str) -> None:
        """Mark an instance as unreachable, and search for a primary."""
        self._view.mark_unreachable(instance)
        self.poller.search(now)

    def expire_overdue(self, now: float) -> Iterator[str]:
        """Give up on overdue status queries; yields the instances, now marked as unreachable."""
        for instance in self.poller.overdue(now):
            self._effects.append(ResetObserver(instance))
            self.suspect(now, instance)
            yield instance

    def send_due_queries(self, now: float, barrier: CommitBarrier) -> None:
        """Send the queries that are due; earlier if no primary is known or commits wait."""
        if self._view.primary() is None:
            self.poller.search(now)
        oldest = barrier.oldest_committed_at
        if oldest is not None:
            self.poller.schedule(now, oldest)
        for instance in self.poller.take_due(now):
            self._effects.append(PollInstance(instance, now))
