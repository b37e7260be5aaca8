"""Runs one database at its home proxy: drives `core/home_group.py` with sockets and a timer.

Owns the answer ports of the running requests and the timer of the group. Carries out the effects of
the group with `instance_connections.py`, `status_queries.py` and `slot_lending.py`, and passes
their events back to it.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable

from orchidwind.elected.core.configuration import DatabaseSettings
from orchidwind.elected.core.group_effects import (
    AbandonConnection,
    CancelConnection,
    Finished,
    GroupEffect,
    GroupOptions,
    PollInstance,
    ResetObserver,
    RunOnConnection,
    StillRunning,
)
from orchidwind.elected.core.group_view import InstanceReport
from orchidwind.elected.core.home_group import HomeGroup
from orchidwind.elected.core.routing import RoutingSettings
from orchidwind.elected.core.slot_leases import LeaseAnswer, SlotLeases
from orchidwind.elected.core.statements import ChannelKey, Outcome, RunResult, StatementRequest
from orchidwind.elected.network.answer_port import AnswerPort
from orchidwind.elected.network.instance_connections import InstanceConnections
from orchidwind.elected.network.instance_targets import InstanceTargets
from orchidwind.elected.network.slot_lending import LeasePort, SlotLending
from orchidwind.elected.network.status_queries import StatusQueries
from orchidwind.shared.core.errors import BackendConnectionLost
from orchidwind.shared.core.pool import CloseConnection, OpenConnection
from orchidwind.shared.task_set import TaskSet

# The minimum delay of a timer, so that other tasks run before an expired deadline is handled.
_MINIMUM_TIMER_SECONDS = 0.0005

OnFinished = Callable[[Outcome], None]


def group_options(database: DatabaseSettings) -> GroupOptions:
    """Return the options of a group from the settings of its database."""
    routing = RoutingSettings(max_replica_wait=database.replica_wait_ms / 1000.0)
    return GroupOptions(acknowledge=database.acknowledge, routing=routing)


class GroupRunner:
    """Connects the `HomeGroup` of one database to its sockets and its timer."""

    def __init__(
        self, database: DatabaseSettings, share: int, zone: str, leases: LeasePort
    ) -> None:
        self.database = database
        # Lease numbers rise across restarts: they start at the wall clock in milliseconds, and
        # leases are granted less often than once a millisecond.
        self.leases = SlotLeases(share, first_number=time.time_ns() // 1_000_000)
        self._lending = SlotLending(self.leases, leases, self)
        shares = {instance.name: share for instance in database.instances}
        self.group = HomeGroup(shares, group_options(database))
        self._loop = asyncio.get_running_loop()
        self._targets = InstanceTargets(database, zone)
        self._tasks = TaskSet()
        self._connections = InstanceConnections(self._targets, self._tasks, self)
        self._status = StatusQueries(self._targets, self._tasks, self)
        self._ports: dict[int, tuple[AnswerPort, OnFinished]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = float("inf")
        self._closed = False
        self.reconfigure(database)
        self._perform(self.group.tick(self._loop.time()))

    # --- requests, shares, configuration ------------------------------------------------------

    def submit(self, request: StatementRequest, port: AnswerPort, on_finished: OnFinished) -> None:
        """Submit a request; `on_finished` is called once with its outcome."""
        self._ports[request.number] = (port, on_finished)
        self._perform(self.group.submit(self._loop.time(), request))

    def cancel(self, channel: ChannelKey) -> None:
        """Cancel the request that runs on a channel."""
        self._perform(self.group.cancel(self._loop.time(), channel))

    def close_channel(self, channel: ChannelKey) -> None:
        """Release the state of a channel whose caller has disconnected."""
        self._perform(self.group.close_channel(self._loop.time(), channel))

    def set_share(self, share: int) -> None:
        """Set the share that the placement assigns to this home; leases add to it or reduce it."""
        self.leases.base_share = share
        self.apply_share()

    def lend(self, borrower: str, wanted: int) -> LeaseAnswer:
        """Answer a lease request of another home."""
        return self._lending.lend(borrower, wanted)

    def on_lease_answer(self, lender: str, answer: LeaseAnswer) -> None:
        """Apply the answer of another home to a lease request."""
        self._lending.on_lease_answer(lender, answer)

    def reconfigure(self, database: DatabaseSettings) -> None:
        """Apply the settings that may change while the group runs: options, leaving instances."""
        self.database = database
        self._targets.database = database
        leaving = {instance.name for instance in database.instances if instance.leaving}
        now = self._loop.time()
        self._perform(self.group.reconfigure(now, group_options(database), leaving))

    def close(self) -> None:
        """Stop the timers and tasks, and close every connection."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._lending.close()
        self._tasks.cancel()
        self._connections.close_all()
        self._status.close()

    # --- LendingHome --------------------------------------------------------------------------

    def apply_share(self) -> None:
        """Set the limit of open connections to the share that the leases allow now."""
        now = self._loop.time()
        shares = dict.fromkeys(self.group.connections.pools, self.leases.share(now))
        self._perform(self.group.set_shares(now, shares))

    def queued_requests(self) -> int:
        """Return the number of requests that wait for a connection."""
        return self.group.connections.queued

    def spare_slots(self) -> int:
        """Return the number of unused slots for each instance."""
        return self.group.connections.spare

    # --- events (ConnectionEvents, StatusEvents) ----------------------------------------------

    def connection_opened(self, number: int) -> None:
        """A connection has been opened."""
        self._perform(self.group.connection_opened(self._loop.time(), number))

    def connection_failed(self, number: int, limit_met: bool) -> None:
        """A connection could not be opened.

        `limit_met` is True if the instance has reached its connection limit.
        """
        self._perform(self.group.connection_failed(self._loop.time(), number, limit_met))

    def connection_lost(self, number: int, lost: BackendConnectionLost) -> None:
        """A connection broke or was given up."""
        self._perform(self.group.connection_lost(self._loop.time(), number, lost))

    def run_finished(self, number: int, result: RunResult) -> None:
        """A statement ended."""
        self._perform(self.group.run_finished(self._loop.time(), number, result))

    def answer_port(self, request: int | None) -> AnswerPort | None:
        """Return the port that receives the rows of a request, or None if none does."""
        if request is None or request not in self._ports:
            return None
        return self._ports[request][0]

    def idle_connections(self, instance: str) -> list[int]:
        """Return the numbers of the idle connections to an instance."""
        return list(self.group.connections.pools[instance].idle)

    def report(self, report: InstanceReport) -> None:
        """An instance answered a status query."""
        self._perform(self.group.report(self._loop.time(), report))

    def poll_failed(self, instance: str) -> None:
        """A status query failed."""
        if not self._closed:
            self._perform(self.group.poll_failed(self._loop.time(), instance))

    # --- effects ------------------------------------------------------------------------------

    def _perform(self, effects: Iterable[GroupEffect]) -> None:
        for effect in effects:
            self._perform_one(effect)
        self._set_timer()
        if self.group.connections.queued > 0:
            self._lending.on_requests_queued()

    def _perform_one(self, effect: GroupEffect) -> None:
        match effect:
            case RunOnConnection():
                self._connections.run(effect)
            case Finished():
                _, on_finished = self._ports.pop(effect.request.number)
                on_finished(effect.outcome)
            case PollInstance():
                self._status.ask(effect)
            case ResetObserver():
                self._status.reset(effect.instance)
            case StillRunning():
                self._on_still_running(effect)
            case OpenConnection():
                self._connections.open(effect)
            case CloseConnection():
                self._connections.close(effect.connection)
            case AbandonConnection():
                self._connections.abandon(effect.connection)
            case CancelConnection():
                self._connections.cancel(effect.connection)

    def _on_still_running(self, effect: StillRunning) -> None:
        port = self.answer_port(effect.number)
        if port is not None:
            port.still_running()
        instance = self.group.connections.instance_of(effect.connection)
        self._connections.check_backend(effect.connection, instance)

    def _set_timer(self) -> None:
        """Set the timer unless it already expires earlier; `_on_timer` computes the next time."""
        due = self.group.deadline()
        if self._closed or due >= self._timer_due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due = max(due, self._loop.time() + _MINIMUM_TIMER_SECONDS)
        self._timer = self._loop.call_at(self._timer_due, self._on_timer)

    def _on_timer(self) -> None:
        self._timer_due = float("inf")
        self._perform(self.group.tick(self._loop.time()))
