"""What the steps that wait for the group's view get from it: a primary, a route, a floor, replay.

Owns the rules of when a read's floor counts as known and how long a replica's replay is waited for;
which instance serves a read is chosen by `routing.py`. Relies on reports that `instance_reports.py`
asks for. Times are in seconds of the home's monotonic clock.
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

# The least time between two queries about a replica that is expected to have replayed what
# a read needs at any moment. Shorter asks the instance more often, longer delays the read.
REPLAY_CHECK_SECONDS = 0.003


class ViewWaits:
    """Answers the waits of requests from the view of their group."""

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
        """What the view says now to a step that waits since a time; None to wait on."""
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
        """Whether a connection to this instance is still worth waiting for."""
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
        """The quorum's floor, with the report of one more instance where that can be reached."""
        included = self._view.reports.get(step.include)
        reachable = step.include and step.include not in self._view.unreachable
        if reachable and (included is None or included.asked_at < since):
            return None
        require_primary = self.options.acknowledge is Acknowledge.CONFIRMED
        return self._view.quorum_floor(since, require_primary)

    def _replay(self, now: float, step: WaitForReplay, since: float) -> bool | None:
        """Whether the replica covers the floor; False where it is away or the wait too long."""
        report = self._view.reports.get(step.instance)
        if report is None or step.instance in self._view.unreachable:
            return False
        if report.replayed_covers(step.floor):
            return True
        if now - since >= self.options.routing.longest_replica_wait:
            return False
        wait = self._view.expected_wait(report, step.floor, now)
        self._poller.want_at(step.instance, now + max(wait, REPLAY_CHECK_SECONDS))
        return None
