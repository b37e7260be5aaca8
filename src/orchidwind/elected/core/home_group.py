"""Serves the requests for one database at its home proxy.

Has no I/O and no clock: events come in with the time, in seconds of the home proxy's monotonic
clock, and effects are returned. The daemon and the simulator drive this same class. Owns the order
in which an event reaches the components, each of which has a module of its own:

- `flows.py` defines the steps of each kind of request, `flow_driver.py` resumes the flows, and
  `request_steps.py` carries out the steps;
- `view_waits.py` and `routing.py` decide where a read runs, `commit_barrier.py` when a commit may
  be acknowledged, and `request_deadlines.py` what happens at a deadline;
- `server_connections.py`, `open_transactions.py` and `running_requests.py` track what is in use;
- `instance_reports.py` keeps the view in `group_view.py` up to date.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from orchidwind.elected.core import flows, steps
from orchidwind.elected.core.commit_barrier import BarrierDecision, CommitBarrier, Confirmed
from orchidwind.elected.core.flow_driver import FlowDriver, StepDone
from orchidwind.elected.core.group_effects import CancelConnection, GroupEffect, GroupOptions
from orchidwind.elected.core.group_view import GroupView, InstanceReport
from orchidwind.elected.core.instance_reports import InstanceReports
from orchidwind.elected.core.open_transactions import OpenTransactions
from orchidwind.elected.core.request_deadlines import RequestDeadlines
from orchidwind.elected.core.request_errors import (
    cancelled,
    commit_superseded,
    deadline_passed,
    home_moved,
    transaction_gone,
)
from orchidwind.elected.core.request_steps import (
    WAITS_BEFORE_SENDING,
    GroupComponents,
    RequestSteps,
)
from orchidwind.elected.core.retries import RetryBudget
from orchidwind.elected.core.running_requests import RunningRequest, RunningRequests
from orchidwind.elected.core.server_connections import ServerConnections
from orchidwind.elected.core.sql_text import may_commit
from orchidwind.elected.core.statements import (
    ChannelKey,
    RequestKind,
    RunResult,
    StatementRequest,
)
from orchidwind.elected.core.steps import Flow, Step
from orchidwind.elected.core.view_waits import ViewWaits
from orchidwind.shared.core.errors import BackendConnectionLost, RequestError
from orchidwind.shared.core.pool import CloseConnection


class HomeGroup:
    """One database and its group, at its home proxy."""

    def __init__(self, shares: Mapping[str, int], options: GroupOptions) -> None:
        """`shares` gives the number of server connections to each instance."""
        self._effects: list[GroupEffect] = []
        self.view = GroupView(tuple(shares))
        self.barrier = CommitBarrier(self.view, options.acknowledge)
        self.requests = RunningRequests()
        self.transactions = OpenTransactions(options.transaction_idle_seconds)
        self._driver = FlowDriver(self, self.requests, self.transactions, self._effects)
        self.connections = ServerConnections(shares, self._effects, self._driver)
        self._status = InstanceReports(self.view, options.polling, self._effects)
        self._waits = ViewWaits(self.view, self.connections, self._status.poller, options)
        self._deadlines = RequestDeadlines(
            self.view, self.requests, self.connections, self.transactions, self._effects
        )
        self._retries = RetryBudget()
        self._steps = RequestSteps(
            GroupComponents(
                self.barrier,
                self.connections,
                self.transactions,
                self._status,
                self._waits,
                self._retries,
            )
        )

    # --- requests -----------------------------------------------------------------------------

    def submit(self, now: float, request: StatementRequest) -> list[GroupEffect]:
        """Start the flow of a request."""
        self._retries.earn()
        flow = self._flow_for(now, request)
        running = RunningRequest(request, flow, request.expires_at, waits_since=now)
        self.requests.add(running)
        if request.expires_at <= now:
            return self._apply_change(
                now, lambda: self._driver.throw(now, running, deadline_passed(None))
            )
        return self._apply_change(now, lambda: self._driver.advance(now, running, None))

    def cancel(self, now: float, channel: ChannelKey) -> list[GroupEffect]:
        """Cancel a session's running request; a commit that was sent is not undone."""
        running = self.requests.on_channel(channel)
        if running is None:
            return []
        if isinstance(running.waits_for, steps.Run):
            return [CancelConnection(running.waits_for.connection)]
        if isinstance(running.waits_for, steps.WaitForConfirmation):
            return []
        error = cancelled("canceling statement due to user request")
        return self._apply_change(now, lambda: self._driver.throw(now, running, error))

    def close_channel(self, now: float, channel: ChannelKey) -> list[GroupEffect]:
        """Abandon the request and roll back the transaction of a caller that has disconnected."""
        return self._apply_change(now, lambda: self._close_channel(now, channel))

    @property
    def idle(self) -> bool:
        """Whether no request and no transaction is in progress."""
        return not self.requests and not self.transactions

    def _flow_for(self, now: float, request: StatementRequest) -> Flow:
        transaction = self.transactions.use(now, request.channel)
        if transaction is not None:
            return flows.transaction_flow(request, transaction, may_commit(request.statement.sql))
        if request.in_transaction:
            return _refuse(transaction_gone())
        if not self.connections.has_share:
            return _refuse(home_moved())
        if request.kind is RequestKind.WRITE:
            return flows.write_flow(request)
        if request.kind in (RequestKind.BEGIN, RequestKind.BEGIN_READ_ONLY):
            return flows.begin_flow(request)
        if request.kind is RequestKind.TOKEN:
            return flows.token_flow(request)
        return flows.read_flow(request)

    def _close_channel(self, now: float, channel: ChannelKey) -> None:
        running = self.requests.on_channel(channel)
        if running is not None:
            self._driver.throw(now, running, cancelled("the caller has gone"))
        transaction = self.transactions.end(channel)
        if transaction is not None:
            self.connections.release(now, transaction.connection, reusable=False)

    # --- steps (StepHandler) ------------------------------------------------------------------

    def perform(self, now: float, running: RunningRequest, step: Step) -> StepDone | None:
        """Carry out a step, or start it and return None; raises RequestError."""
        return self._steps.perform(now, running, step)

    def forget_wait(self, running: RunningRequest) -> None:
        """Cancel the wait for the step `running.waits_for`."""
        self._steps.forget_wait(running)

    # --- server connections -------------------------------------------------------------------

    def connection_opened(self, now: float, connection: int) -> list[GroupEffect]:
        """A server connection is ready."""
        if self.connections.instance_of(connection) is None:
            return [CloseConnection(connection)]
        return self._apply_change(now, lambda: self.connections.opened(now, connection))

    def connection_failed(self, now: float, connection: int, limit_met: bool) -> list[GroupEffect]:
        """A server connection could not be opened; `limit_met` stands for SQLSTATE 53300."""
        instance = self.connections.instance_of(connection)
        if instance is None:
            return [CloseConnection(connection)]

        def fail() -> None:
            if not limit_met:
                self._status.suspect(now, instance)
            self.connections.open_failed(now, connection, limit_met)

        return self._apply_change(now, fail)

    def connection_lost(
        self, now: float, connection: int, lost: BackendConnectionLost
    ) -> list[GroupEffect]:
        """A server connection broke, while idle or during a statement."""
        return self._apply_change(now, lambda: self._lose(now, connection, lost))

    def run_finished(self, now: float, connection: int, result: RunResult) -> list[GroupEffect]:
        """A statement ended."""
        running = self.requests.get(self.connections.run_ended(connection))
        if running is None:
            return []
        return self._apply_change(now, lambda: self._driver.advance(now, running, result))

    def set_shares(self, now: float, shares: Mapping[str, int]) -> list[GroupEffect]:
        """The number of connections that this home may hold has changed."""

        def change() -> None:
            self.connections.set_shares(now, shares)
            if not self.connections.has_share:
                self._return_unsent(now)

        return self._apply_change(now, change)

    def _return_unsent(self, now: float) -> None:
        """End requests not yet sent to an instance, so that they go to the new home proxy."""
        for running in self.requests:
            if isinstance(running.waits_for, WAITS_BEFORE_SENDING):
                self._driver.throw(now, running, home_moved())

    def _lose(self, now: float, connection: int, lost: BackendConnectionLost) -> None:
        running = self.requests.get(self.connections.run_ended(connection))
        instance = self.connections.instance_of(connection)
        if instance is not None:
            self._status.poller.schedule(now, now, [instance])
            self.connections.lost(now, connection)
        if running is not None and running.request.number in self.requests:
            self._driver.throw(now, running, lost)
        else:
            self.transactions.connection_lost(connection)

    # --- instances ----------------------------------------------------------------------------

    def report(self, now: float, report: InstanceReport) -> list[GroupEffect]:
        """An instance answered a status query."""

        def store() -> None:
            self._status.add_report(report)
            self._apply_decisions(now, self.barrier.on_report(report))
            self._resume_waiting(now)

        return self._apply_change(now, store)

    def poll_failed(self, now: float, instance: str) -> list[GroupEffect]:
        """A status query failed."""

        def fail() -> None:
            self._status.query_failed(now, instance)
            self._resume_waiting(now)

        return self._apply_change(now, fail)

    def reconfigure(
        self, now: float, options: GroupOptions, leaving: set[str]
    ) -> list[GroupEffect]:
        """Apply new options; `leaving` instances get no new requests and finish running ones."""
        self._waits.options = options
        self.view.leaving = leaving
        return self._apply_change(now, lambda: None)

    def _apply_decisions(self, now: float, decisions: list[BarrierDecision]) -> None:
        for decision in decisions:
            running = self.requests.get(decision.ticket)
            if running is None:
                continue
            if isinstance(decision, Confirmed):
                self._driver.advance(now, running, decision.position)
            else:
                self._driver.throw(now, running, commit_superseded())

    def _resume_waiting(self, now: float) -> None:
        """Resume the flows whose wait the current view can answer."""
        for running in self.requests:
            step = running.waits_for
            if step is None or running.request.number not in self.requests:
                continue
            if isinstance(step, steps.WaitForConnection):
                if not self._waits.may_still_connect(step):
                    gone = BackendConnectionLost("the instance is unreachable", sent=False)
                    self._driver.throw(now, running, gone)
                continue
            result = self._waits.result(now, step, running.waits_since)
            if result is not None:
                self._driver.advance(now, running, result)
            elif isinstance(step, steps.WaitForFloor):
                self._status.poller.schedule(now, running.waits_since)

    # --- time ---------------------------------------------------------------------------------

    def tick(self, now: float) -> list[GroupEffect]:
        """Process everything that is due at `now`."""
        return self._apply_change(now, lambda: self._tick(now))

    def deadline(self) -> float:
        """When `tick` is next needed."""
        return min(
            self._status.poller.deadline(),
            self.requests.deadline(),
            self.connections.deadline(),
            self.transactions.deadline(),
        )

    def _tick(self, now: float) -> None:
        for instance in self._status.expire_overdue(now):
            self._deadlines.abandon_reads(instance)
        for running in self._deadlines.expired(now):
            if not self._deadlines.extend(now, running):
                self._driver.throw(now, running, deadline_passed(running.waits_for))
        self.connections.tick(now)
        for channel in self.transactions.idle(now):
            if self.requests.on_channel(channel) is None:
                self._close_channel(now, channel)
        self._resume_waiting(now)

    def _apply_change(self, now: float, change: Callable[[], None]) -> list[GroupEffect]:
        """Apply a change, send the status queries that are due, and return all effects."""
        change()
        self._status.send_due_queries(now, self.barrier)
        effects = list(self._effects)
        self._effects.clear()
        return effects


def _refuse(error: RequestError) -> Flow:
    raise error
    yield  # makes this function a generator
