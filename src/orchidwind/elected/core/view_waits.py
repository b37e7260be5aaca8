"""Answers the steps that wait for the group's view: for a primary, a route, a floor or replay.

Owns the rules for when a read's floor is known and how long to wait for a replica's replay;
`routing.py` chooses which instance serves a read. Relies on the reports that `instance_reports.py`
requests. Times are in seconds of the home proxy's monotonic clock.
"""

from __future__ import annotations

from orchidwind.elected.core.commit_barrier import Acknowledge
from orchidwind.elected.core.group_effects import GroupOptions
from orchidwind.elected.core.group_view import GroupView, PrimaryReference
from orchidwind.elected.core.polling import StatusPoller
from orchidwind.elected.core.routing import Route, choose_read_route
from orchidwind.elected.core.server_connections import ServerConnections
from orchidwind.elected.core.steps import (
    Step,
    StepResult,
    WaitForConnection,
    WaitForFloor,
    WaitForPrimary,
    WaitForReplay,
    WaitForRoute,
)
from orchidwind.shared.core.positions import Position

# The minimum time between two queries to a replica whose replay is expected to cover a read's floor
# at any moment. A shorter time queries the instance more often, a longer one delays the read.
REPLAY_CHECK_SECONDS = 0.003


class ViewWaits:
    """Answers waiting requests from the view of their group."""

    def __init__(
        self,
        view: GroupView,
        connections: ServerConnections,
        poller: StatusPoller,
        options: GroupOptions,
    ) -> None:
        self.options = options
        self._view = view
        self._connections = connections
        self._poller = poller

    def result(self, now: float, step: Step, since: float) -> StepResult:
        """The result of a step that has waited since a time; None if it must keep waiting."""
        if isinstance(step, WaitForPrimary):
            return self._primary()
        if isinstance(step, WaitForRoute):
            return self._route(now, step)
        if isinstance(step, WaitForFloor):
            return self._floor(step, since)
        if isinstance(step, WaitForReplay):
            return self._replay(now, step, since)
        return None

    def may_still_connect(self, step: WaitForConnection) -> bool:
        """Whether the wait for a connection may go on; see `WaitForConnection`."""
        if step.instance in self._view.unreachable:
            return False
        if not step.primary_term:
            return True
        return self._view.primary() == PrimaryReference(step.instance, step.primary_term)

    def _primary(self) -> PrimaryReference | None:
        primary = self._view.primary()
        return None if primary is None or primary.instance in self._view.leaving else primary

    def _route(self, now: float, step: WaitForRoute) -> Route | None:
        return choose_read_route(
            self._view,
            step.floor,
            now,
            self._connections.loads(),
            self.options.routing,
            step.preferred,
        )

    def _floor(self, step: WaitForFloor, since: float) -> Position | None:
        """The quorum's floor, once `step.include` has also reported if it is reachable."""
        included = self._view.reports.get(step.include)
        reachable = step.include and step.include not in self._view.unreachable
        if reachable and (included is None or included.asked_at < since):
            return None
        require_primary = self.options.acknowledge is Acknowledge.CONFIRMED
        return self._view.quorum_floor(since, require_primary)

    def _replay(self, now: float, step: WaitForReplay, since: float) -> bool | None:
        """Whether replay covers the floor; False if it will not in time, None to keep waiting."""
        report = self._view.reports.get(step.instance)
        if report is None or step.instance in self._view.unreachable:
            return False
        if report.replayed_covers(step.floor):
            return True
        if now - since >= self.options.routing.max_replica_wait:
            return False
        wait = self._view.expected_wait(report, step.floor, now)
        self._poller.schedule_at(step.instance, now + max(wait, REPLAY_CHECK_SECONDS))
        return None
