"""A home proxy's part in one database: routing, connections, floors and the commit barrier.

No I/O: events come in with the time, effects go out. The daemon and the simulator drive this same
class. Requests run as flows (see `flows`); this class gives them what they wait for.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from itertools import count

from orchidwind.elected.core import flows, steps
from orchidwind.elected.core.commit_barrier import (
    Acknowledge,
    BarrierDecision,
    CommitBarrier,
    Confirmed,
    PendingCommit,
)
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
from orchidwind.elected.core.group_view import GroupView, InstanceReport, PrimaryReference
from orchidwind.elected.core.link_loss import may_commit
from orchidwind.elected.core.polling import StatusPoller
from orchidwind.elected.core.retry_budget import RetryBudget
from orchidwind.elected.core.routing import choose_read_route
from orchidwind.elected.core.statements import (
    TRANSACTION_FAILED,
    TRANSACTION_IDLE,
    ChannelKey,
    Outcome,
    RequestKind,
    RunResult,
    SessionSetting,
    Statement,
    StatementRequest,
)
from orchidwind.elected.core.steps import Flow, OpenTransaction, Step, StepResult
from orchidwind.shared.core.admission import Refusal
from orchidwind.shared.core.errors import (
    BackendConnectionLost,
    ErrorKind,
    OrchidwindError,
    RequestError,
)
from orchidwind.shared.core.pool import (
    CloseConnection,
    Grant,
    InstancePool,
    OpenConnection,
    PoolEffect,
)
from orchidwind.shared.core.positions import Position

_REPLAY_CHECK_SECONDS = 0.003
_CONFIRM_SECONDS = 2.0
STILL_RUNNING_SECONDS = 2.0


# What a request waits for before anything of it was sent.
_FIRST_WAITS = (steps.WaitForPrimary, steps.WaitForRoute, steps.WaitForConnection)


@dataclass(slots=True)
class _Running:
    request: StatementRequest
    flow: Flow
    expires_at: float
    waits_for: Step | None = None
    since: float = 0.0


class HomeGroup:
    """One database at its home proxy."""

    def __init__(self, shares: Mapping[str, int], options: GroupOptions) -> None:
        """`shares` gives the number of server connections to each instance."""
        self.options = options
        self.view = GroupView(tuple(shares))
        self.barrier = CommitBarrier(self.view, options.acknowledge)
        self._numbers = count(1)
        self.pools = {
            instance: InstancePool(instance, share, self._numbers)
            for instance, share in shares.items()
        }
        self.transactions: dict[ChannelKey, OpenTransaction] = {}
        self.retries = RetryBudget()
        self._poller = StatusPoller(tuple(shares), options.polling)
        self._running: dict[int, _Running] = {}
        self._by_channel: dict[ChannelKey, int] = {}
        self._on_connection: dict[int, int] = {}
        self._instance_of: dict[int, str] = {}
        self._settings_of: dict[int, tuple[SessionSetting, ...]] = {}
        self._effects: list[GroupEffect] = []

    # --- events -----------------------------------------------------------------------------

    def submit(self, now: float, request: StatementRequest) -> list[GroupEffect]:
        """A request came."""
        self.retries.earn()
        flow = self._flow_for(now, request)
        running = _Running(request, flow, request.expires_at, since=now)
        self._running[request.number] = running
        self._by_channel[request.channel] = request.number
        if request.expires_at <= now:
            return self._after(now, lambda: self._throw(now, running, _expired(None)))
        return self._after(now, lambda: self._advance(now, running, None))

    def connection_opened(self, now: float, connection: int) -> list[GroupEffect]:
        """A server connection is ready."""
        return self._pool_event(now, connection, lambda pool: pool.opened(connection, now))

    def connection_failed(self, now: float, connection: int, limit_met: bool) -> list[GroupEffect]:
        """A server connection could not be opened; `limit_met` is SQLSTATE 53300."""

        def fail(pool: InstancePool) -> list[PoolEffect]:
            if not limit_met:
                self._suspect(now, pool.instance)
            return pool.open_failed(connection, now, limit_met)

        return self._pool_event(now, connection, fail)

    def connection_lost(
        self, now: float, connection: int, lost: BackendConnectionLost
    ) -> list[GroupEffect]:
        """A server connection broke, idle or under a statement."""
        return self._after(now, lambda: self._lose(now, connection, lost))

    def run_finished(self, now: float, connection: int, result: RunResult) -> list[GroupEffect]:
        """A statement ended."""
        number = self._on_connection.pop(connection, None)
        running = self._running.get(number) if number is not None else None
        if running is None:
            return []
        return self._after(now, lambda: self._advance(now, running, result))

    def report(self, now: float, report: InstanceReport) -> list[GroupEffect]:
        """An instance told its status."""
        return self._after(now, lambda: self._take_report(now, report))

    def poll_failed(self, now: float, instance: str) -> list[GroupEffect]:
        """A status query failed."""
        return self._after(now, lambda: self._poll_lost(now, instance))

    def cancel(self, now: float, channel: ChannelKey) -> list[GroupEffect]:
        """The caller asked to cancel its running statement."""
        running = self._running_on(channel)
        if running is None:
            return []
        if isinstance(running.waits_for, steps.Run):
            return [CancelConnection(running.waits_for.connection)]
        if isinstance(running.waits_for, steps.WaitForConfirmation):
            return []
        error = RequestError(ErrorKind.CANCELLED, "canceling statement due to user request")
        return self._after(now, lambda: self._throw(now, running, error))

    def close_channel(self, now: float, channel: ChannelKey) -> list[GroupEffect]:
        """The caller is gone: give up its request and roll back its transaction."""
        return self._after(now, lambda: self._close_channel(now, channel))

    def set_shares(self, now: float, shares: Mapping[str, int]) -> list[GroupEffect]:
        """The number of connections that this home may hold has changed."""

        def change() -> None:
            for instance, share in shares.items():
                if instance in self.pools:
                    self._pool_effects(now, self.pools[instance].set_share(share, now))
            if not self.is_home:
                self._hand_back(now)

        return self._after(now, change)

    def instance_of(self, connection: int) -> str | None:
        """The instance that a server connection goes to."""
        return self._instance_of.get(connection)

    @property
    def is_home(self) -> bool:
        """Whether this node still holds a share of the connections."""
        return any(pool.share > 0 for pool in self.pools.values())

    def _hand_back(self, now: float) -> None:
        """The role has moved: requests that have not begun go back to be sent to the new home."""
        for running in list(self._running.values()):
            if isinstance(running.waits_for, _FIRST_WAITS):
                self._throw(now, running, _moved())

    def set_leaving(self, now: float, instances: set[str]) -> list[GroupEffect]:
        """These instances get no new work; what runs there ends."""
        self.view.leaving = instances
        return self._after(now, lambda: None)

    def tick(self, now: float) -> list[GroupEffect]:
        """Time has passed."""
        return self._after(now, lambda: self._tick(now))

    def deadline(self) -> float:
        """When `tick` has something to do."""
        times = [self._poller.deadline()]
        times.extend(running.expires_at for running in self._running.values())
        for pool in self.pools.values():
            due = pool.deadline()
            if due is not None:
                times.append(due)
        idle = self.options.transaction_idle_seconds
        times.extend(item.last_used + idle for item in self.transactions.values())
        return min(times)

    @property
    def queued(self) -> int:
        """Requests that wait for a server connection."""
        return sum(len(pool.queue) for pool in self.pools.values())

    @property
    def spare(self) -> int:
        """Connections to each instance that nobody uses now."""
        return min(pool.share - len(pool.busy) - len(pool.queue) for pool in self.pools.values())

    @property
    def idle(self) -> bool:
        """Whether no request and no transaction is in progress."""
        return not self._running and not self.transactions

    # --- flows ------------------------------------------------------------------------------

    def _flow_for(self, now: float, request: StatementRequest) -> Flow:
        transaction = self.transactions.get(request.channel)
        if transaction is not None:
            transaction.last_used = now
            return flows.transaction_flow(request, transaction, may_commit(request.statement.sql))
        if request.in_transaction:
            return _refusing(_transaction_gone())
        if not self.is_home:
            return _refusing(_moved())
        if request.kind is RequestKind.WRITE:
            return flows.write_flow(request)
        if request.kind in (RequestKind.BEGIN, RequestKind.BEGIN_READ_ONLY):
            return flows.begin_flow(request)
        if request.kind is RequestKind.TOKEN:
            return flows.token_flow(request)
        return flows.read_flow(request)

    def _advance(self, now: float, running: _Running, result: StepResult) -> None:
        self._drive(now, running, lambda: running.flow.send(result))

    def _throw(self, now: float, running: _Running, error: OrchidwindError) -> None:
        self._forget_wait(running)
        self._drive(now, running, lambda: running.flow.throw(error))

    def _drive(self, now: float, running: _Running, resume: Callable[[], Step]) -> None:
        """Resume a flow until it waits or ends."""
        while True:
            running.waits_for = None
            try:
                step = resume()
            except StopIteration as ended:
                self._finish(running, ended.value)
                return
            except RequestError as error:
                self._finish(running, self._failed(running.request, error))
                return
            try:
                done, result = self._perform(now, running, step)
            except RequestError as error:
                self._forget_wait(running)
                resume = _resume_with_error(running.flow, error)
                continue
            if not done:
                running.waits_for = step
                running.since = now
                return
            resume = _resume(running.flow, result)

    def _failed(self, request: StatementRequest, error: RequestError) -> Outcome:
        open_transaction = request.channel in self.transactions
        lost = request.in_transaction and error.kind is ErrorKind.TRANSACTION_LOST
        status = TRANSACTION_FAILED if open_transaction or lost else TRANSACTION_IDLE
        return Outcome(request.number, error=error, transaction_status=status)

    def _finish(self, running: _Running, outcome: Outcome) -> None:
        request = running.request
        self._running.pop(request.number, None)
        if self._by_channel.get(request.channel) == request.number:
            del self._by_channel[request.channel]
        self._effects.append(Finished(request, outcome))

    def _perform(self, now: float, running: _Running, step: Step) -> tuple[bool, StepResult]:
        """Carry out a step: whether it is done at once, and its result."""
        if isinstance(step, _FIRST_WAITS) and not self.is_home:
            raise _moved()
        if isinstance(step, steps.WaitForConnection):
            return self._need_connection(now, running, step)
        if isinstance(step, steps.Run):
            self._start_run(running, step)
            return False, None
        if isinstance(step, steps.Release):
            self._release(now, step)
            return True, None
        if isinstance(step, steps.ApplySettings):
            return True, self._settings_statement(step)
        if isinstance(step, steps.Suspect):
            self._suspect(now, step.instance)
            self._poller.want(now, now, [step.instance])
            return True, None
        if isinstance(step, steps.TakeRetry):
            return True, self.retries.take()
        if isinstance(step, steps.BindTransaction):
            self._bind(now, running.request.channel, step)
            return True, None
        if isinstance(step, steps.EndTransaction):
            self.transactions.pop(running.request.channel, None)
            return True, None
        return self._wait_for_view(now, running, step)

    def _wait_for_view(self, now: float, running: _Running, step: Step) -> tuple[bool, StepResult]:
        result = self._view_result(now, step, now)
        if result is not None:
            return True, result
        if isinstance(step, steps.WaitForConfirmation):
            running.expires_at = max(running.expires_at, now + _CONFIRM_SECONDS)
            commit = PendingCommit(running.request.number, step.instance, step.term, now)
            decisions = self.barrier.add(commit)
            running.waits_for = step
            if decisions:
                raise RequestError(ErrorKind.OUTCOME_UNKNOWN, "a later term has begun")
            self._poller.want(now, now)
        elif isinstance(step, steps.WaitForFloor):
            self._poller.want(now, now)
        return False, None

    def _view_result(self, now: float, step: Step, since: float) -> StepResult:
        """What the view can answer now, None to wait."""
        if isinstance(step, steps.WaitForPrimary):
            primary = self.view.primary()
            return None if primary is None or primary.instance in self.view.leaving else primary
        if isinstance(step, steps.WaitForRoute):
            return self._route(now, step)
        if isinstance(step, steps.WaitForFloor):
            return self._fresh_floor(step, since)
        if isinstance(step, steps.WaitForReplay):
            return self._replay_result(now, step, since)
        return None

    def _route(self, now: float, step: steps.WaitForRoute) -> StepResult:
        load = {name: pool.load for name, pool in self.pools.items() if pool.share > 0}
        routing = self.options.routing
        return choose_read_route(self.view, step.floor, now, load, routing, step.preferred)

    def _fresh_floor(self, step: steps.WaitForFloor, since: float) -> Position | None:
        included = self.view.reports.get(step.include)
        reachable = step.include and step.include not in self.view.unreachable
        if reachable and (included is None or included.asked_at < since):
            return None
        require_primary = self.options.acknowledge is Acknowledge.CONFIRMED
        return self.view.quorum_floor(since, require_primary)

    def _replay_result(self, now: float, step: steps.WaitForReplay, since: float) -> bool | None:
        report = self.view.reports.get(step.instance)
        if report is None or step.instance in self.view.unreachable:
            return False
        if report.replayed_covers(step.floor):
            return True
        if now - since >= self.options.routing.longest_replica_wait:
            return False
        wait = self.view.expected_wait(report, step.floor, now)
        self._poller.want_at(step.instance, now + max(wait, _REPLAY_CHECK_SECONDS))
        return None

    def _need_connection(
        self, now: float, running: _Running, step: steps.WaitForConnection
    ) -> tuple[bool, StepResult]:
        request = running.request
        running.waits_for = step
        effects = self.pools[step.instance].acquire(
            request.number, request.traffic_class, now, request.expires_at
        )
        for effect in effects:
            if isinstance(effect, Refusal) and effect.ticket == request.number:
                raise _refused(effect)
            if isinstance(effect, Grant) and effect.ticket == request.number:
                effects.remove(effect)
                self._pool_effects(now, effects)
                return True, effect.connection
        self._pool_effects(now, effects)
        return False, None

    def _start_run(self, running: _Running, step: steps.Run) -> None:
        self._on_connection[step.connection] = running.request.number
        deliver_to = running.request.number if step.deliver else None
        self._effects.append(
            RunOnConnection(step.connection, step.statement, deliver_to, step.describe)
        )

    def _release(self, now: float, step: steps.Release) -> None:
        self._on_connection.pop(step.connection, None)
        instance = self._instance_of.get(step.connection)
        if instance is not None:
            pool = self.pools[instance]
            self._pool_effects(now, pool.release(step.connection, now, step.reusable))

    def _settings_statement(self, step: steps.ApplySettings) -> Statement | None:
        if self._settings_of.get(step.connection, ()) == step.settings:
            return None
        self._settings_of[step.connection] = step.settings
        assignments = "".join(f"; SET {item.name} = {item.value}" for item in step.settings)
        return Statement(f"RESET ALL{assignments}", simple=True)

    def _bind(self, now: float, channel: ChannelKey, step: steps.BindTransaction) -> None:
        self.transactions[channel] = OpenTransaction(
            step.connection, step.instance, step.term, step.read_only, last_used=now
        )

    # --- what events change -------------------------------------------------------------------

    def _after(self, now: float, change: Callable[[], None]) -> list[GroupEffect]:
        """Apply a change, ask what is due, and hand out the effects."""
        change()
        if self.view.primary() is None:
            self._poller.search(now)
        if self.barrier.pending:
            oldest = min(commit.committed_at for commit in self.barrier.pending.values())
            self._poller.want(now, oldest)
        for instance in self._poller.due(now):
            self._effects.append(PollInstance(instance, now))
        effects, self._effects = self._effects, []
        return effects

    def _take_report(self, now: float, report: InstanceReport) -> None:
        self._poller.answered(report.instance)
        self.view.take(report)
        self._apply_decisions(now, self.barrier.on_report(report))
        self._recheck(now)

    def _apply_decisions(self, now: float, decisions: list[BarrierDecision]) -> None:
        for decision in decisions:
            running = self._running.get(decision.ticket)
            if running is None:
                continue
            if isinstance(decision, Confirmed):
                self._advance(now, running, decision.position)
            else:
                error = RequestError(ErrorKind.OUTCOME_UNKNOWN, "a later term has begun")
                self._throw(now, running, error)

    def _recheck(self, now: float) -> None:
        """Give the flows that wait for the view what it can answer now."""
        for running in list(self._running.values()):
            step = running.waits_for
            if step is None or running.request.number not in self._running:
                continue
            if isinstance(step, steps.WaitForConnection):
                if not self._worth_waiting(step):
                    gone = BackendConnectionLost("the instance is away", sent=False)
                    self._throw(now, running, gone)
                continue
            result = self._view_result(now, step, running.since)
            if result is not None:
                self._advance(now, running, result)
            elif isinstance(step, steps.WaitForFloor):
                self._poller.want(now, running.since)

    def _worth_waiting(self, step: steps.WaitForConnection) -> bool:
        """Whether a queued request should still wait for this instance."""
        if step.instance in self.view.unreachable:
            return False
        if not step.primary_term:
            return True
        return self.view.primary() == PrimaryReference(step.instance, step.primary_term)

    def _poll_lost(self, now: float, instance: str) -> None:
        self._poller.answered(instance)
        self._poller.want_at(instance, now + self.options.polling.searching_interval)
        self._suspect(now, instance)
        self._recheck(now)

    def _suspect(self, now: float, instance: str) -> None:
        """The instance seems to be away: route round it, and look for its successor."""
        self.view.lose(instance)
        self._poller.search(now)

    def _lose(self, now: float, connection: int, lost: BackendConnectionLost) -> None:
        number = self._on_connection.pop(connection, None)
        instance = self._instance_of.pop(connection, None)
        self._settings_of.pop(connection, None)
        if instance is not None:
            self._poller.want(now, now, [instance])
            self._pool_effects(now, self.pools[instance].lost(connection, now))
        running = self._running.get(number) if number is not None else None
        if running is not None:
            self._throw(now, running, lost)
            return
        for channel, transaction in list(self.transactions.items()):
            if transaction.connection == connection:
                del self.transactions[channel]

    def _close_channel(self, now: float, channel: ChannelKey) -> None:
        running = self._running_on(channel)
        if running is not None:
            error = RequestError(ErrorKind.CANCELLED, "the caller has gone")
            self._throw(now, running, error)
        transaction = self.transactions.pop(channel, None)
        if transaction is not None:
            self._release(now, steps.Release(transaction.connection, reusable=False))

    def _running_on(self, channel: ChannelKey) -> _Running | None:
        number = self._by_channel.get(channel)
        return self._running.get(number) if number is not None else None

    def _tick(self, now: float) -> None:
        for instance in self._poller.overdue(now):
            self._effects.append(ResetObserver(instance))
            self._suspect(now, instance)
            self._abandon_reads(instance)
        for running in list(self._running.values()):
            if running.expires_at <= now and not self._may_run_on(now, running):
                self._throw(now, running, _expired(running.waits_for))
        for pool in self.pools.values():
            self._pool_effects(now, pool.tick(now))
        self._end_idle_transactions(now)
        self._recheck(now)

    def _abandon_reads(self, instance: str) -> None:
        """Reads that hang on an instance that does not answer are run elsewhere."""
        for running in self._running.values():
            step = running.waits_for
            if not isinstance(step, steps.Run) or running.request.channel in self.transactions:
                continue
            if running.request.kind not in (RequestKind.READ, RequestKind.DESCRIBE):
                continue
            if self._instance_of.get(step.connection) == instance:
                self._effects.append(AbandonConnection(step.connection))

    def _may_run_on(self, now: float, running: _Running) -> bool:
        """The deadline bounds what comes before the statement; a statement that runs on an
        instance that answers is let run."""
        step = running.waits_for
        if not isinstance(step, steps.Run):
            return False
        instance = self._instance_of.get(step.connection)
        if instance is None or instance in self.view.unreachable:
            return False
        running.expires_at = now + STILL_RUNNING_SECONDS
        self._effects.append(StillRunning(running.request.number, step.connection))
        return True

    def _end_idle_transactions(self, now: float) -> None:
        limit = self.options.transaction_idle_seconds
        for channel, transaction in list(self.transactions.items()):
            if now >= transaction.last_used + limit and self._running_on(channel) is None:
                self._close_channel(now, channel)

    def _forget_wait(self, running: _Running) -> None:
        number = running.request.number
        if isinstance(running.waits_for, steps.WaitForConnection):
            self.pools[running.waits_for.instance].cancel(number)
        self.barrier.drop(number)

    # --- pools --------------------------------------------------------------------------------

    def _pool_event(
        self, now: float, connection: int, event: Callable[[InstancePool], list[PoolEffect]]
    ) -> list[GroupEffect]:
        instance = self._instance_of.get(connection)
        if instance is None:
            return [CloseConnection(connection)]
        pool = self.pools[instance]
        return self._after(now, lambda: self._pool_effects(now, event(pool)))

    def _pool_effects(self, now: float, effects: list[PoolEffect]) -> None:
        for effect in effects:
            if isinstance(effect, OpenConnection):
                self._instance_of[effect.connection] = effect.instance
                self._effects.append(effect)
            elif isinstance(effect, CloseConnection):
                self._instance_of.pop(effect.connection, None)
                self._settings_of.pop(effect.connection, None)
                self._effects.append(effect)
            elif isinstance(effect, Grant):
                running = self._running.get(effect.ticket)
                if running is None:
                    self._release(now, steps.Release(effect.connection, reusable=True))
                else:
                    self._advance(now, running, effect.connection)
            else:
                running = self._running.get(effect.ticket)
                if running is not None:
                    self._throw(now, running, _refused(effect))


def _resume(flow: Flow, result: StepResult) -> Callable[[], Step]:
    return lambda: flow.send(result)


def _resume_with_error(flow: Flow, error: RequestError) -> Callable[[], Step]:
    return lambda: flow.throw(error)


def _refusing(error: RequestError) -> Flow:
    raise error
    yield  # makes this function a generator


def _transaction_gone() -> RequestError:
    return RequestError(ErrorKind.TRANSACTION_LOST, "the transaction has ended; nothing of it ran")


def _moved() -> RequestError:
    return RequestError(ErrorKind.NO_HOME, "another proxy serves this database now")


def _expired(step: Step | None) -> RequestError:
    """The deadline passed; what the request waited for tells why."""
    if isinstance(step, steps.WaitForPrimary):
        return RequestError(ErrorKind.NO_PRIMARY, "the group has no primary that can be reached")
    if isinstance(step, steps.WaitForRoute | steps.WaitForFloor):
        return RequestError(ErrorKind.NO_REPLICA, "no instance can serve the read in time")
    return RequestError(ErrorKind.DEADLINE_PASSED, "the deadline passed before the request ran")


def _refused(refusal: Refusal) -> RequestError:
    kind = ErrorKind.DEADLINE_PASSED if refusal.expired else ErrorKind.OVERLOADED
    return RequestError(
        kind,
        "no server connection was free in time",
        retry_after_milliseconds=int(refusal.retry_after * 1000),
    )
