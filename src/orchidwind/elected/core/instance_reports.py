"""When the instances of a group are asked for their status, and which of them count as away.

Owns the poller of a group and changes its view. An instance is away after a status query that
failed or took longer than `PollingSettings.timeout`, a connection that could not be opened, or a
write that it refused as a replica; the next report of it ends that. Times are in seconds of the
home's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterator

from orchidwind.elected.core.commit_barrier import CommitBarrier
from orchidwind.elected.core.group_effects import GroupEffect, PollInstance, ResetObserver
from orchidwind.elected.core.group_view import GroupView, InstanceReport
from orchidwind.elected.core.polling import PollingSettings, StatusPoller


class InstanceReports:
    """The reports of a group's instances, asked for in time."""

    def __init__(
        self, view: GroupView, settings: PollingSettings, effects: list[GroupEffect]
    ) -> None:
        self.poller = StatusPoller(view.instances, settings)
        self._view = view
        self._settings = settings
        self._effects = effects

    def take(self, report: InstanceReport) -> None:
        """An instance answered."""
        self.poller.answered(report.instance)
        self._view.take(report)

    def query_failed(self, now: float, instance: str) -> None:
        """A status query could not be sent, or its connection broke."""
        self.poller.answered(instance)
        self.poller.want_at(instance, now + self._settings.searching_interval)
        self.suspect(now, instance)

    def suspect(self, now: float, instance: str) -> None:
        """The instance seems to be away: route round it, and search for its successor."""
        self._view.lose(instance)
        self.poller.search(now)

    def give_up_overdue(self, now: float) -> Iterator[str]:
        """Instances that did not answer in time; their status connections are closed."""
        for instance in self.poller.overdue(now):
            self._effects.append(ResetObserver(instance))
            self.suspect(now, instance)
            yield instance

    def ask_due(self, now: float, barrier: CommitBarrier) -> None:
        """Send the queries that are due, sooner where a primary is sought or commits wait."""
        if self._view.primary() is None:
            self.poller.search(now)
        oldest = barrier.oldest
        if oldest is not None:
            self.poller.want(now, oldest)
        for instance in self.poller.due(now):
            self._effects.append(PollInstance(instance, now))
