"""One promoted group at this proxy: its view, the requests that wait, exchanges with instances."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, TypeVar

from orchidwind.promoted.core.circuit_breaker import CircuitBreaker
from orchidwind.promoted.core.commands import (
    InstanceMessage,
    InstanceStatus,
    MessageKind,
    Reply,
    ReplyCode,
)
from orchidwind.promoted.core.configuration import (
    DatabaseRoute,
    DirectoryEntry,
    PromotedGroupSettings,
)
from orchidwind.promoted.core.group_state import GroupState
from orchidwind.promoted.core.read_planning import ReadPlan, ReadRequest, plan_read
from orchidwind.promoted.core.steps import ExchangeResult
from orchidwind.promoted.core.supervision import NOT_CONFIRMING_SECONDS
from orchidwind.promoted.core.topology import PrimaryView
from orchidwind.promoted.group.commit_guard import CommitGuard
from orchidwind.promoted.group.connections import GroupConnections
from orchidwind.promoted.group.lead_prover import LeadProver, StatusTask
from orchidwind.promoted.group.lease_keeper import LeaseKeeper
from orchidwind.promoted.group.resting_connections import RestingConnections
from orchidwind.promoted.group.status_calls import StatusCall, StatusCalls
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.promoted.ports import InstanceConnector
from orchidwind.shared.core.admission import TrafficClass
from orchidwind.shared.core.errors import BackendConnectionLost, ErrorKind, RequestError
from orchidwind.shared.core.positions import Position
from orchidwind.shared.logs import log_event
from orchidwind.shared.silence import ConnectionKind, SilentConnection

SILENCE_SECONDS = 0.25
_SHORTEST_LOOK_SECONDS = 0.01
# A check for silent connections asks each idle one; a full instance is not asked more often.
_CHECK_AGAIN_SECONDS = 1.0
_SUPERVISED_AFTER_USE_SECONDS = 5.0
# Commits that were held back for longer are logged: a proof by a replica takes some milliseconds.
_HELD_LOGGED_SECONDS = 0.1
# Some 3 s of a busy group's commits at one proxy: what a change of primary could leave out.
_ACKNOWLEDGED_COMMITS_KEPT = 64
# What a proxy takes that is no home, while no home can be reached.
_CONNECTIONS_WITHOUT_HOME = 1
# A lead that could not be proven for so long is not proven here soon: reading the lock takes some
# milliseconds, a query of a replica as long as a statement.
NOT_PROVEN_SECONDS = 0.4
# Changes of primary take about a second (docs/PLATFORM.md); one that takes longer waits for what
# this proxy does not reach.
NOT_FOUND_SECONDS = 1.5

T = TypeVar("T")


class GroupService:
    """Drives the core classes of one group; calls `on_wake` when its supervisor should look."""

    def __init__(
        self,
        settings: PromotedGroupSettings,
        zone: str,
        connector: InstanceConnector,
        on_wake: Callable[[], None],
        metrics: ProxyMetrics,
        leases: LeaseKeeper,
        entry_outlives: float,
        on_used: Callable[[], None],
    ) -> None:
        """`on_used` is called when requests are served here."""
        self._on_used = on_used
        self._leases = leases
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._on_wake = on_wake
        self.state = GroupState(settings, zone, self._loop.time, self.changed, entry_outlives)
        self.topology = self.state.topology
        self.connections = GroupConnections(
            self.state, connector, self._suspect, self.mark_unreachable
        )
        self._calls = StatusCalls(
            self.topology, self.connections, self.mark_unreachable, metrics.silent
        )
        self._resting = RestingConnections(self.connections, self._calls.close_resting)
        self.prover = LeadProver(self.topology, leases, self.ask_status)
        self._guard = CommitGuard(self.topology, self.prover, self.ask_status)
        # By arrival: a request that was woken in vain waits on in its place.
        self._waiters: dict[object, asyncio.Future[None]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._writing: set[int] = set()
        self._suspects: set[str] = set()
        self._checked_at: dict[str, float] = {}
        self._silence_timer: asyncio.TimerHandle | None = None
        self._committed_at: dict[str, float] = {}
        self._home = False
        self._used_at = float("-inf")
        self._finding = CircuitBreaker("instance found", NOT_FOUND_SECONDS)
        self._proving = CircuitBreaker("lead proven", NOT_PROVEN_SECONDS)
        self._committing = CircuitBreaker("commit confirmed", NOT_CONFIRMING_SECONDS)
        self._logged_open: set[str] = set()
        self._acknowledged_commits: deque[tuple[str, Position]] = deque(
            maxlen=_ACKNOWLEDGED_COMMITS_KEPT
        )

    @property
    def supervised(self) -> bool:
        """Whether this proxy watches over the group: as a home, or while it serves it anyway."""
        return self._home or self._loop.time() - self._used_at < _SUPERVISED_AFTER_USE_SECONDS

    def _note_used(self) -> None:
        self._used_at = self._loop.time()
        self._on_used()

    def set_home(self, home: bool, connections: int) -> None:
        """Whether this proxy is a home, and how many connections a home may hold an instance."""
        if self._home and not home:
            self._calls.close()
            self.connections.close_idle()
        self._home = home
        self.connections.set_share(connections if home else _CONNECTIONS_WITHOUT_HOME)
        self._on_wake()

    @property
    def settings(self) -> PromotedGroupSettings:
        """The group's settings in force."""
        return self.topology.settings

    # --- changes of the view ------------------------------------------------------------------

    def changed(self) -> None:
        """The view changed: let waiting requests and the supervisor look again."""
        self._wake_waiters()
        self._on_wake()

    def _wake_waiters(self) -> None:
        for waiter in self._waiters.values():
            if not waiter.done():
                waiter.set_result(None)

    def entry_changed(self, entry: DirectoryEntry) -> None:
        """The directory lists an instance."""
        known = self.topology.instances.get(entry.instance)
        claims = self.topology.entry_changed(entry)
        if claims or known is None or known.entry.draining != entry.draining:
            log_event(
                "instance_listed",
                group=self.settings.name,
                instance=entry.instance,
                claims_primary=entry.claims_primary,
                draining=entry.draining,
                revision=entry.revision,
            )
        self.changed()

    def entry_gone(self, instance: str, removal_unseen: bool = False) -> None:
        """The directory no longer lists an instance; `removal_unseen`: it may come back."""
        self.topology.entry_gone(instance, self._loop.time(), removal_unseen)
        log_event(
            "instance_gone", group=self.settings.name, instance=instance, lapsed=removal_unseen
        )
        self.changed()

    def trim(self) -> None:
        """Close connections that were not needed lately; a home keeps one to each instance."""
        if self.supervised:
            self.connections.trim()
        else:
            self._calls.close()
            self.connections.close_idle()

    async def forget_old(self) -> None:
        """Drop what belongs to instances that left long ago, if others have their logs."""
        if self.supervised and self.topology.confirming.some_due(self._loop.time()):
            # The primary first: what it has by then, the others must have afterwards.
            views = self.topology.instances.items()
            listed = [name for name, view in views if view.listed]
            for name in sorted(listed, key=lambda name: not self.topology.primary_term(name)):
                await self.ask_status(name)
        for instance in self.topology.confirming.drop_old(self._loop.time(), self.settings):
            self._calls.drop(instance)
            self.connections.forget(instance)

    def take_status(self, status: InstanceStatus) -> None:
        """An instance told its status."""
        now = self._loop.time()
        before = self.topology.primary(now)
        self.topology.take_status(status)
        after = self.topology.primary(now)
        if before != after:
            self._succeeded(self._proving)
            self._succeeded(self._committing)
            if after is not None:
                self._log_acknowledged_commits(after.term)
            log_event(
                "primary_changed",
                group=self.settings.name,
                instance=after.instance if after else "",
                term=after.term if after else 0,
                reported_by=status.instance,
            )
            self.changed()

    def mark_unreachable(self, instance: str) -> None:
        """An instance does not answer: its idle connections are of no use, reads go elsewhere."""
        view = self.topology.instances.get(instance)
        if view is None:
            return
        if view.unreachable_since is None:
            log_event("instance_unreachable", group=self.settings.name, instance=instance)
        self.topology.unreachable(instance, self._loop.time())
        self._calls.drop(instance)
        self.connections.drop_idle(instance)
        self._break_off(instance)
        self.changed()

    def _break_off(self, instance: str, older_than: float = 0.0) -> None:
        """End what may run elsewhere, if it has run for so many seconds.

        A write that has left may still be answered.
        """
        for connection in self._running_at(instance, older_than):
            self.connections.links[connection].close()

    def _running_at(self, instance: str, older_than: float) -> list[int]:
        connections = self.connections
        began_before = self._loop.time() - older_than
        return [
            connection
            for connection, began in connections.in_exchange.items()
            if connection not in self._writing
            and began <= began_before
            and connections.instance_of[connection] == instance
        ]

    # --- waiting ------------------------------------------------------------------------------

    async def _wait_for(self, look: Callable[[], T | None], deadline: float, kind: ErrorKind) -> T:
        request = object()
        try:
            return await self._wait_in_order(request, look, deadline, kind)
        finally:
            self._waiters.pop(request, None)

    async def _wait_in_order(
        self, request: object, look: Callable[[], T | None], deadline: float, kind: ErrorKind
    ) -> T:
        began = self._loop.time()
        while True:
            found = look()
            if found is not None:
                self._succeeded(self._finding)
                return found
            self._refuse_if(self._finding, kind, "no instance has served for long")
            waiter: asyncio.Future[None] = self._loop.create_future()
            self._waiters[request] = waiter
            self._note_used()
            self._on_wake()
            try:
                async with asyncio.timeout_at(deadline):
                    await waiter
            except TimeoutError as error:
                self._finding.failed(began)
                raise RequestError(kind, kind.value) from error

    def _refuse_if(self, breaker: CircuitBreaker, kind: ErrorKind, reason: str) -> None:
        """Raise RequestError where something that a request needs is known to fail here."""
        if not breaker.refuses(self._loop.time()):
            return
        if breaker.name not in self._logged_open:
            self._logged_open.add(breaker.name)
            log_event(
                "circuit_opened", group=self.settings.name, missing=breaker.name, reason=reason
            )
        raise RequestError(kind, reason)

    def _succeeded(self, breaker: CircuitBreaker) -> None:
        breaker.succeeded(self._loop.time())
        if breaker.name in self._logged_open:
            self._logged_open.discard(breaker.name)
            log_event("circuit_closed", group=self.settings.name, found=breaker.name)

    async def wait_for_primary(
        self, deadline: float, lead_proof: bool, commit: bool
    ) -> PrimaryView:
        """Wait for a primary; raises RequestError, at once where what it needs is known to fail."""
        if lead_proof or commit:
            # Asked once: a probe that the first question lets through is refused by a second.
            missing = "its lead" if lead_proof else "its commits"
            reason = f"{missing} cannot be proven here"
            self._refuse_if(self._proving, ErrorKind.NO_PRIMARY, reason)
        if commit:
            self._note_waited(self.oldest_write())
            self._refuse_if(self._committing, ErrorKind.NO_PRIMARY, "it confirms no commits")
        return await self._wait_for(
            lambda: self.topology.primary(self._loop.time()), deadline, ErrorKind.NO_PRIMARY
        )

    def _waited_since(self, instance: str, sent_at: float) -> float:
        """Since when an instance has acknowledged no write, told by one that was sent then."""
        return max(sent_at, self._committed_at.get(instance, float("-inf")))

    def _note_waited(self, waited: float) -> None:
        """A write waits, or has waited, for its acknowledgement."""
        if waited > NOT_CONFIRMING_SECONDS:
            self._committing.failed(self._loop.time() - waited)

    async def wait_for_read_plan(
        self,
        database: DatabaseRoute,
        session_floor: Position | None,
        arrived_at: float,
        excluded: frozenset[str],
        deadline: float,
    ) -> ReadPlan:
        """Wait for an instance that may serve a read; raises RequestError."""

        request = ReadRequest(database, session_floor, arrived_at, excluded)

        def look() -> ReadPlan | None:
            return plan_read(self.topology, request, self._loop.time())

        plan = await self._wait_for(look, deadline, ErrorKind.NO_REPLICA)
        if plan.proof_of_term:
            self._refuse_if(self._proving, ErrorKind.NO_PRIMARY, "its lead cannot be proven here")
        return plan

    async def wait_for_connection(
        self, instance: str, traffic_class: TrafficClass, deadline: float
    ) -> int:
        """Wait for a server connection; raises RequestError, BackendConnectionLost."""
        self._note_used()
        self._resting.watch()
        return await self.connections.need(instance, traffic_class, deadline)

    def release(self, connection: int, reusable: bool) -> None:
        """Give a connection back."""
        self.connections.release(connection, reusable)

    # --- exchanges ----------------------------------------------------------------------------

    async def exchange(
        self,
        connection: int,
        messages: tuple[InstanceMessage, ...],
        proof_of_term: int,
        writes: bool,
        arrived_at: float,
    ) -> ExchangeResult:
        """Send and wait; raises BackendConnectionLost."""
        link = self.connections.links.get(connection)
        if link is None:
            raise BackendConnectionLost("the connection is closed", sent=False)
        instance = self.connections.instance_of[connection]
        sent_at = self._loop.time()
        self.connections.exchange_began(connection)
        self._expect_silence()
        rejected: bool | None = None
        if writes:
            self._writing.add(connection)
            self.prover.want_lease()
        leased = proof_of_term > 0 and self.prover.leased(instance, arrived_at)
        query = self.prover.join() if proof_of_term and not leased else None
        lock_revision = self.prover.lock_revision
        for message in messages:
            self._metrics.message(message.kind.value)
        try:
            replies = await link.exchange(messages)
            rejected = replies[-1].code is ReplyCode.BUSY
        except BackendConnectionLost:
            self._suspect(instance)
            raise
        finally:
            self.connections.exchange_ended(connection, rejected)
            self._writing.discard(connection)
            if writes:
                self._note_waited(self._loop.time() - self._waited_since(instance, sent_at))
        if writes and replies[-1].done:
            self._committed_at[instance] = self._loop.time()
            self._succeeded(self._committing)
            await self._hold_back(instance, messages[-1], replies[-1])
        self._count_attempt(instance, messages[-1], replies[-1], proof_of_term > 0, writes)
        self.topology.answered(instance, self._loop.time())
        if leased:
            self._succeeded(self._proving)
            return ExchangeResult(replies, arrived_at)
        if query is None:
            return ExchangeResult(replies)
        if not await self._proves(query, proof_of_term, sent_at):
            return ExchangeResult(replies)
        self.prover.proven_under(instance, lock_revision)
        return ExchangeResult(replies, sent_at)

    async def _hold_back(self, instance: str, asked: InstanceMessage, reply: Reply) -> None:
        """Return when a commit may be told; raises BackendConnectionLost where it is left out."""
        position = reply.position or Position(self.topology.primary_term(instance), 0)
        if self._guard.leased(instance):
            self._note_acknowledged(asked.request_id, position)
            return
        held_at = self._loop.time()
        outcome = "out_of_time"
        try:
            proven = await self._guard.may_acknowledge(
                instance, position, lambda: self._proving.failed(held_at)
            )
            outcome = "acknowledged" if proven else "left_out"
        finally:
            seconds = self._loop.time() - held_at
            if outcome != "acknowledged" or seconds > _HELD_LOGGED_SECONDS:
                log_event(
                    "commit_held",
                    request_id=asked.request_id,
                    group=self.settings.name,
                    instance=instance,
                    position=f"{position.term}.{position.lsn}",
                    outcome=outcome,
                    milliseconds=int(seconds * 1000),
                )
        if outcome != "acknowledged":
            raise BackendConnectionLost("a change of primary has left the commit out", sent=True)
        self._note_acknowledged(asked.request_id, position)

    def _note_acknowledged(self, request_id: str, position: Position) -> None:
        self._leases.note_acknowledged(self.settings.name, position)
        self._acknowledged_commits.append((request_id, position))
        self._succeeded(self._proving)

    def _log_acknowledged_commits(self, term: int) -> None:
        """Name the last commits before a new primary: whether one was lost can be traced by it."""
        acknowledged, self._acknowledged_commits = (
            self._acknowledged_commits,
            deque(maxlen=_ACKNOWLEDGED_COMMITS_KEPT),
        )
        older = [(name, end) for name, end in acknowledged if end.term < term]
        if older:
            log_event(
                "commits_acknowledged",
                group=self.settings.name,
                before_term=term,
                commits=" ".join(f"{name}@{end.term}.{end.lsn}" for name, end in older),
            )

    def _count_attempt(
        self, instance: str, asked: InstanceMessage, reply: Reply, latest: bool, writes: bool
    ) -> None:
        leads = self.topology.primary_term(instance) > 0
        kind = "write" if writes else "latest" if latest else "read"
        if asked.kind in (MessageKind.BEGIN, MessageKind.BEGIN_READ_ONLY):
            kind = "begin"
        self._metrics.attempt(kind, "primary" if leads else "replica", reply.code.value)

    async def prove_lead(self, term: int, deadline: float) -> bool:
        """Ask a replica, now, whether it knows of no term after `term`."""
        try:
            async with asyncio.timeout_at(deadline):
                return await self._proves(self.prover.join(), term, self._loop.time())
        except TimeoutError:
            return False

    async def _proves(self, query: StatusTask, term: int, since: float) -> bool:
        proven = await self.prover.proves(query, term)
        if proven:
            self._succeeded(self._proving)
        else:
            self._proving.failed(since)
            self._on_wake()
        return proven

    # --- what the supervisor looks at ---------------------------------------------------------

    def _suspect(self, instance: str) -> None:
        """A connection broke: ask the instance at once whether it is still there."""
        self._suspects.add(instance)
        self._on_wake()

    def _expect_silence(self) -> None:
        """Have the supervisor look when an exchange has stayed without an answer for a while."""
        if self._silence_timer is None:
            self._silence_timer = self._loop.call_later(SILENCE_SECONDS, self._look_at_silence)

    def _look_at_silence(self) -> None:
        self._silence_timer = None
        exchanges = self.connections.in_exchange
        if not exchanges:
            return
        now = self._loop.time()
        due_in = min(exchanges.values()) + SILENCE_SECONDS - now
        if due_in <= 0.0:
            self._on_wake()
            due_in = SILENCE_SECONDS
        wait = max(due_in, _SHORTEST_LOOK_SECONDS)
        self._silence_timer = self._loop.call_later(wait, self._look_at_silence)

    def _check_connections(self, instance: str, since: float) -> None:
        """An exchange has stayed without an answer: its connection may not be the only one."""
        now = self._loop.time()
        if now - self._checked_at.get(instance, float("-inf")) < _CHECK_AGAIN_SECONDS:
            return
        self._checked_at[instance] = now
        self._resting.check(instance, since)
        task = self._loop.create_task(self._close_silent(instance, since))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _close_silent(self, instance: str, since: float) -> None:
        if not await self._calls.close_silent(instance, since):
            return
        kind = ConnectionKind.INSTANCE_RUNNING
        for connection in self._running_at(instance, SILENCE_SECONDS):
            opened_for, silent_for = self.connections.ages(connection)
            decision = "its read goes elsewhere, its transaction is lost"
            group = self.settings.name
            self._metrics.silent(
                SilentConnection(kind, instance, opened_for, silent_for, 1, decision, group)
            )
        self._break_off(instance, older_than=SILENCE_SECONDS)

    def suspects(self) -> list[str]:
        """Instances whose connections broke, or that have owed an answer for a while."""
        now = self._loop.time()
        found, self._suspects = self._suspects, set()
        for connection, since in self.connections.in_exchange.items():
            instance = self.connections.instance_of[connection]
            view = self.topology.instances.get(instance)
            heard_at = view.last_answer_at if view is not None else since
            if now - since >= SILENCE_SECONDS:
                self._check_connections(instance, since)
            if now - max(heard_at, since) > SILENCE_SECONDS:
                found.add(instance)
        return sorted(found)

    def oldest_write(self) -> float:
        """How long the oldest write at the present primary has waited, in seconds."""
        now = self._loop.time()
        primary = self.topology.primary(now)
        if primary is None:
            return 0.0
        connections = self.connections
        # A primary that has acknowledged a later one confirms; that connection is at fault.
        committed_at = self._committed_at.get(primary.instance, float("-inf"))
        ages = [
            now - max(since, committed_at)
            for connection, since in connections.in_exchange.items()
            if connection in self._writing
            and connections.instance_of[connection] == primary.instance
        ]
        return max(ages, default=0.0)

    # --- status and control -------------------------------------------------------------------

    async def ask(
        self,
        instance: str,
        call: StatusCall,
        hurried: bool = False,
        repeatable: bool = False,
    ) -> InstanceStatus | None:
        """Make a status or control call; None where no status came in time."""
        self._metrics.message("status_or_control")
        status = await self._calls.ask(instance, call, hurried, repeatable)
        if status is not None:
            self.take_status(status)
        return status

    async def ask_status(self, instance: str) -> InstanceStatus | None:
        """Ask an instance for its status; None where it did not come in time."""
        return await self.ask(instance, lambda link: link.status(), repeatable=True)

    def ask_soon(self, instance: str) -> None:
        """Ask an instance for its status, in the background."""
        task = self._loop.create_task(self.ask_status(instance))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Close every connection."""
        for task in self._tasks:
            task.cancel()
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        self._resting.close()
        self.prover.close()
        self._guard.close()
        self.connections.close()
        self._calls.close()
