"""Carries out the steps of requests at a home proxy through the components of its group.

Owns no state. Relies on the components in `GroupComponents`, which `home_group.py` creates.
"""

from __future__ import annotations

from dataclasses import dataclass

from orchidwind.elected.core import steps
from orchidwind.elected.core.commit_barrier import CONFIRM_SECONDS, CommitBarrier, PendingCommit
from orchidwind.elected.core.flow_driver import StepDone
from orchidwind.elected.core.instance_reports import InstanceReports
from orchidwind.elected.core.open_transactions import OpenTransactions
from orchidwind.elected.core.request_errors import commit_superseded, home_moved
from orchidwind.elected.core.retries import RetryBudget
from orchidwind.elected.core.running_requests import RunningRequest
from orchidwind.elected.core.server_connections import ServerConnections
from orchidwind.elected.core.steps import Step
from orchidwind.elected.core.view_waits import ViewWaits

# The steps in which a request waits before any of it is sent to an instance.
WAITS_BEFORE_SENDING = (steps.WaitForPrimary, steps.WaitForRoute, steps.WaitForConnection)


@dataclass(frozen=True, slots=True)
class GroupComponents:
    """The components of a group that steps use."""

    barrier: CommitBarrier
    connections: ServerConnections
    transactions: OpenTransactions
    status: InstanceReports
    waits: ViewWaits
    retries: RetryBudget


class RequestSteps:
    """Starts each step; a step that is not done at once is completed by a later event."""

    def __init__(self, components: GroupComponents) -> None:
        self._components = components

    def perform(self, now: float, running: RunningRequest, step: Step) -> StepDone | None:
        """Carry out a step, or start it and return None; raises RequestError."""
        if isinstance(step, WAITS_BEFORE_SENDING) and not self._components.connections.has_share:
            raise home_moved()
        if isinstance(step, steps.WaitForConnection):
            return self._connect(now, running, step)
        if isinstance(step, steps.Run):
            self._components.connections.run(running.request.number, step)
            return None
        if isinstance(step, steps.WaitForConfirmation):
            self._confirm(now, running, step)
            return None
        at_once = self._perform_at_once(now, running, step)
        return at_once or self._wait_for_view(now, step)

    def forget_wait(self, running: RunningRequest) -> None:
        """Cancel the wait for the step `running.waits_for`."""
        number = running.request.number
        if isinstance(running.waits_for, steps.WaitForConnection):
            self._components.connections.stop_waiting(number, running.waits_for.instance)
        self._components.barrier.drop(number)

    def _perform_at_once(self, now: float, running: RunningRequest, step: Step) -> StepDone | None:
        """Carry out a step that never waits; returns None for any other step."""
        components = self._components
        channel = running.request.channel
        match step:
            case steps.Release():
                components.connections.release(now, step.connection, step.reusable)
            case steps.ApplySettings():
                return StepDone(
                    components.connections.apply_settings(step.connection, step.settings)
                )
            case steps.Suspect():
                components.status.suspect(now, step.instance)
                components.status.poller.schedule(now, now, [step.instance])
            case steps.TakeRetry():
                return StepDone(components.retries.try_take())
            case steps.BindTransaction():
                components.transactions.bind(now, channel, step)
            case steps.EndTransaction():
                components.transactions.end(channel)
            case _:
                return None
        return StepDone()

    def _connect(
        self, now: float, running: RunningRequest, step: steps.WaitForConnection
    ) -> StepDone | None:
        running.waits_for = step
        connection = self._components.connections.acquire(now, running.request, step.instance)
        return None if connection is None else StepDone(connection)

    def _confirm(
        self, now: float, running: RunningRequest, step: steps.WaitForConfirmation
    ) -> None:
        running.expires_at = max(running.expires_at, now + CONFIRM_SECONDS)
        commit = PendingCommit(running.request.number, step.instance, step.term, now)
        if self._components.barrier.add(commit):
            raise commit_superseded()
        self._components.status.poller.schedule(now, now)

    def _wait_for_view(self, now: float, step: Step) -> StepDone | None:
        result = self._components.waits.result(now, step, since=now)
        if result is not None:
            return StepDone(result)
        if isinstance(step, steps.WaitForFloor):
            self._components.status.poller.schedule(now, now)
        return None
