"""One managed group at this proxy: server connections, waiting requests, proofs of the lead."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from itertools import count
from typing import Any, TypeVar

from orchidwind.core.admission import Refusal, TrafficClass
from orchidwind.core.errors import (
    BackendConnectionLost,
    BackendRefused,
    ErrorKind,
    RequestError,
)
from orchidwind.core.managed.commands import InstanceMessage, InstanceStatus
from orchidwind.core.managed.configuration import (
    DirectoryEntry,
    ManagedDatabase,
    ManagedGroupSettings,
)
from orchidwind.core.managed.group import GroupState
from orchidwind.core.managed.steps import ExchangeResult
from orchidwind.core.managed.topology import PrimaryView, ReadPlan, knows_no_later_term
from orchidwind.core.pool import CloseConnection, Grant, InstancePool, OpenConnection, PoolEffect
from orchidwind.core.positions import Position
from orchidwind.logs import log_event
from orchidwind.managed.lead_lease import LeaseKeeper
from orchidwind.managed.metrics import ManagedMetrics
from orchidwind.managed.ports import InstanceConnector, InstanceLink

CONNECT_SECONDS = 0.6
ASK_SECONDS = 0.2
ASK_UNREACHABLE_SECONDS = 0.1
SILENCE_SECONDS = 0.25
_SHARE_OF_CONNECTIONS = 0.15
_FEWEST_CONNECTIONS = 2
CONNECTION_LIMIT_MET = "53300"
INSTANCE_BUSY = "53000"

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class PoolUsage:
    """The connections to one instance, and the requests that wait for one."""

    connections: int
    queued: int


class GroupService:
    """Drives the core classes of one group; calls `on_wake` when its supervisor should look."""

    def __init__(
        self,
        settings: ManagedGroupSettings,
        zone: str,
        connector: InstanceConnector,
        on_wake: Callable[[], None],
        metrics: ManagedMetrics,
        leases: LeaseKeeper,
        entry_outlives: float,
    ) -> None:
        self._leases = leases
        self._known_leader: tuple[str, int] | None = None
        self.settings = settings
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._on_wake = on_wake
        self._connector = connector
        self.state = GroupState(settings, zone, self._loop.time, self.changed, entry_outlives)
        self.topology = self.state.topology
        self._numbers = count(1)
        self._tickets = count(1)
        self._pools: dict[str, InstancePool] = {}
        self._links: dict[int, InstanceLink] = {}
        self._instance_of: dict[int, str] = {}
        self._grants: dict[int, tuple[str, asyncio.Future[int]]] = {}
        self._waiters: set[asyncio.Future[None]] = set()
        self._control: dict[str, InstanceLink] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._running: dict[int, tuple[str, float]] = {}
        self._writing: set[int] = set()
        self._suspects: set[str] = set()
        self._heard: dict[str, float] = {}
        self._proof: asyncio.Task[InstanceStatus | None] | None = None
        self._next_proof: asyncio.Task[InstanceStatus | None] | None = None
        self._closed = False

    # --- changes of the view ------------------------------------------------------------------

    def changed(self) -> None:
        """The view changed: let waiting requests and the supervisor look again."""
        self._wake_waiters()
        self._on_wake()

    def _wake_waiters(self) -> None:
        waiters, self._waiters = self._waiters, set()
        for waiter in waiters:
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

    def entry_gone(self, instance: str) -> None:
        """The directory no longer lists an instance."""
        self.topology.entry_gone(instance, self._loop.time())
        log_event("instance_gone", group=self.settings.name, instance=instance)
        self.changed()

    def trim(self) -> None:
        """Close connections that were not needed lately."""
        for pool in self._pools.values():
            self._pool_effects(pool.trim())

    def forget_old(self) -> None:
        """Drop what belongs to instances that left long ago."""
        for instance in self.topology.forget_old(self._loop.time()):
            self._drop_idle(instance)
            self._pools.pop(instance, None)

    def take_status(self, status: InstanceStatus) -> None:
        """An instance told its status."""
        now = self._loop.time()
        before = self.topology.primary(now)
        self.topology.take_status(status)
        after = self.topology.primary(now)
        if before != after:
            log_event(
                "primary_changed",
                group=self.settings.name,
                instance=after.instance if after else "",
                term=after.term if after else 0,
                told_by=status.instance,
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
        self._drop_idle(instance)
        self._break_off(instance)
        self.changed()

    def _break_off(self, instance: str) -> None:
        """End what may run elsewhere; a write that has left may still be answered."""
        for connection, (name, _) in list(self._running.items()):
            if name == instance and connection not in self._writing:
                self._links[connection].close()

    def _drop_idle(self, instance: str) -> None:
        pool = self._pools.get(instance)
        if pool is not None:
            for connection in list(pool.idle):
                self._close_link(connection)
                self._pool_effects(pool.lost(connection, self._loop.time()))
            self._turn_away(pool)
            self._retry_open(pool)
        control = self._control.pop(instance, None)
        if control is not None:
            control.close()

    # --- waiting ------------------------------------------------------------------------------

    async def _wait_for(self, look: Callable[[], T | None], deadline: float, kind: ErrorKind) -> T:
        while True:
            found = look()
            if found is not None:
                return found
            waiter: asyncio.Future[None] = self._loop.create_future()
            self._waiters.add(waiter)
            self._on_wake()
            try:
                async with asyncio.timeout_at(deadline):
                    await waiter
            except TimeoutError as error:
                raise RequestError(kind, kind.value) from error
            finally:
                self._waiters.discard(waiter)

    async def need_primary(self, deadline: float) -> PrimaryView:
        """Wait for a primary; raises RequestError."""
        return await self._wait_for(
            lambda: self.topology.primary(self._loop.time()), deadline, ErrorKind.NO_PRIMARY
        )

    async def need_read_plan(
        self,
        database: ManagedDatabase,
        session_floor: Position | None,
        arrived_at: float,
        excluded: frozenset[str],
        deadline: float,
    ) -> ReadPlan:
        """Wait for an instance that may serve a read; raises RequestError."""

        def look() -> ReadPlan | None:
            now = self._loop.time()
            return self.topology.plan_read(database, session_floor, arrived_at, now, excluded)

        return await self._wait_for(look, deadline, ErrorKind.NO_REPLICA)

    # --- connections --------------------------------------------------------------------------

    def _pool(self, instance: str) -> InstancePool:
        pool = self._pools.get(instance)
        if pool is None:
            limit = int(self.settings.maximum_connections * _SHARE_OF_CONNECTIONS)
            share = max(limit, _FEWEST_CONNECTIONS)
            pool = InstancePool(instance, share, self._numbers, eager=False)
            self._pools[instance] = pool
        return pool

    def pool_usage(self, instance: str) -> PoolUsage:
        """How many connections to an instance are open, and how many requests wait."""
        pool = self._pools.get(instance)
        return PoolUsage(pool.size, len(pool.queue)) if pool else PoolUsage(0, 0)

    async def need_connection(
        self, instance: str, traffic_class: TrafficClass, deadline: float
    ) -> int:
        """Wait for a server connection; raises RequestError, BackendConnectionLost."""
        pool = self._pool(instance)
        ticket = next(self._tickets)
        granted: asyncio.Future[int] = self._loop.create_future()
        self._grants[ticket] = (instance, granted)
        now = self._loop.time()
        self._pool_effects(pool.acquire(ticket, traffic_class, now, deadline))
        try:
            async with asyncio.timeout_at(deadline):
                return await granted
        except TimeoutError as error:
            pool.cancel(ticket)
            raise RequestError(
                ErrorKind.DEADLINE_PASSED, f"no connection to {instance} was free in time"
            ) from error
        finally:
            self._grants.pop(ticket, None)
            if granted.cancelled():
                pool.cancel(ticket)

    def _pool_effects(self, effects: Iterable[PoolEffect]) -> None:
        for effect in effects:
            if isinstance(effect, Grant):
                self._grant(effect)
            elif isinstance(effect, OpenConnection):
                self._spawn(self._open(effect))
            elif isinstance(effect, CloseConnection):
                self._close_link(effect.connection)
            else:
                self._refuse(effect)

    def _grant(self, grant: Grant) -> None:
        _, waiting = self._grants.get(grant.ticket, ("", None))
        if waiting is not None and not waiting.done():
            waiting.set_result(grant.connection)
        else:
            self._loop.call_soon(self.release, grant.connection, True)

    def _refuse(self, refusal: Refusal) -> None:
        _, waiting = self._grants.get(refusal.ticket, ("", None))
        if waiting is not None and not waiting.done():
            error = RequestError(
                ErrorKind.OVERLOADED,
                "too many requests wait",
                retry_after_milliseconds=int(refusal.retry_after * 1000),
            )
            waiting.set_exception(error)

    def _turn_away(self, pool: InstancePool) -> None:
        """Requests that wait for an instance that does not answer may go elsewhere."""
        for ticket, (instance, waiting) in list(self._grants.items()):
            if instance == pool.instance and not waiting.done():
                pool.cancel(ticket)
                waiting.set_exception(BackendConnectionLost("no answer", sent=False))

    async def _open(self, effect: OpenConnection) -> None:
        number, instance = effect.connection, effect.instance
        pool = self._pool(instance)
        try:
            link = await self._connect(instance, lambda: self._idle_lost(number))
        except BackendRefused as refused:
            limit_met = refused.sqlstate == CONNECTION_LIMIT_MET
            log_event("connection_refused", instance=instance, reason=str(refused))
            self._pool_effects(pool.open_failed(number, self._loop.time(), limit_met))
            self._retry_open(pool)
            return
        except BackendConnectionLost as lost:
            log_event("connection_failed", instance=instance, reason=str(lost))
            self.mark_unreachable(instance)
            self._pool_effects(pool.open_failed(number, self._loop.time(), limit_met=False))
            self._retry_open(pool)
            return
        self._links[number] = link
        self._instance_of[number] = instance
        self.state.connection_opened(number)
        self.topology.answered(instance, self._loop.time())
        self._heard[instance] = self._loop.time()
        self._pool_effects(pool.opened(number, self._loop.time()))

    def _retry_open(self, pool: InstancePool) -> None:
        due = pool.deadline()
        if due is not None and not self._closed:
            wait = max(due, self._loop.time() + 0.01)
            self._loop.call_at(wait, lambda: self._pool_effects(pool.tick(self._loop.time())))

    async def _connect(self, instance: str, on_lost: Callable[[], None]) -> InstanceLink:
        view = self.topology.instances.get(instance)
        if view is None:
            raise BackendConnectionLost("the instance is unknown", sent=False)
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                return await self._connector.connect(view.entry, on_lost)
        except TimeoutError as error:
            raise BackendConnectionLost("no answer to a new connection", sent=False) from error

    def _idle_lost(self, connection: int) -> None:
        """A connection ended outside an exchange."""
        instance = self._instance_of.get(connection)
        if instance is None or connection in self._running:
            return
        self._close_link(connection)
        pool = self._pool(instance)
        self._pool_effects(pool.lost(connection, self._loop.time()))
        self._retry_open(pool)
        self._suspect(instance)

    def _close_link(self, connection: int) -> None:
        link = self._links.pop(connection, None)
        self._instance_of.pop(connection, None)
        self.state.connection_closed(connection)
        if link is not None:
            link.close()

    def release(self, connection: int, reusable: bool) -> None:
        """Give a connection back."""
        instance = self._instance_of.get(connection)
        if instance is None:
            return
        view = self.topology.instances.get(instance)
        keep = reusable and view is not None and view.unreachable_since is None
        self._pool_effects(self._pool(instance).release(connection, self._loop.time(), keep))

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
        link = self._links.get(connection)
        if link is None:
            raise BackendConnectionLost("the connection is closed", sent=False)
        instance = self._instance_of[connection]
        self._running[connection] = (instance, self._loop.time())
        if writes:
            self._writing.add(connection)
        leased = proof_of_term > 0 and self._leased(instance, arrived_at)
        proof = self._join_proof() if proof_of_term and not leased else None
        lock_revision = self._leases.free_revision
        sent_at = self._loop.time()
        for message in messages:
            self._metrics.message(message.kind.value)
        try:
            replies = await link.exchange(messages)
        except BackendConnectionLost:
            self._suspect(instance)
            raise
        finally:
            self._running.pop(connection, None)
            self._writing.discard(connection)
        self._heard[instance] = self._loop.time()
        self.topology.answered(instance, self._loop.time())
        if leased:
            return ExchangeResult(replies, arrived_at)
        if proof is None or not await self._proves(proof, proof_of_term):
            return ExchangeResult(replies)
        if lock_revision is not None:
            self._known_leader = (instance, lock_revision)
        return ExchangeResult(replies, sent_at)

    def _leased(self, instance: str, arrived_at: float) -> bool:
        """Whether the lead lease spares the proof for a request that came at a time.

        It does where the lead was proven once since the promotion lock was last given back.
        """
        covered = self._leases.covers(arrived_at)
        return covered and self._known_leader == (instance, self._leases.free_revision)

    async def _proves(self, proof: asyncio.Task[InstanceStatus | None], term: int) -> bool:
        status = await asyncio.shield(proof)
        proven = status is not None and knows_no_later_term(status, term)
        if not proven:
            self._on_wake()
        return proven

    async def prove_lead(self, term: int, deadline: float) -> bool:
        """Ask a replica, now, whether it knows of no term after `term`."""
        try:
            async with asyncio.timeout_at(deadline):
                return await self._proves(self._join_proof(), term)
        except TimeoutError:
            return False

    def _suspect(self, instance: str) -> None:
        """A connection broke: ask the instance at once whether it is still there."""
        self._suspects.add(instance)
        self._on_wake()

    def suspects(self) -> list[str]:
        """Instances whose connections broke, or that have owed an answer for a while."""
        now = self._loop.time()
        silent, self._suspects = self._suspects, set()
        for instance, since in self._running.values():
            heard = max(self._heard.get(instance, 0.0), since)
            if now - heard > SILENCE_SECONDS:
                silent.add(instance)
        return sorted(silent)

    def oldest_write(self) -> float:
        """How long the oldest write at the present primary has waited, in seconds."""
        now = self._loop.time()
        primary = self.topology.primary(now)
        if primary is None:
            return 0.0
        ages = [
            now - since
            for connection, (name, since) in self._running.items()
            if name == primary.instance and connection in self._writing
        ]
        return max(ages, default=0.0)

    def ask_soon(self, instance: str) -> None:
        """Ask an instance for its status, in the background."""
        self._spawn(self.ask(instance, lambda link: link.status()))

    # --- proofs of the lead -------------------------------------------------------------------

    def _join_proof(self) -> asyncio.Task[InstanceStatus | None]:
        """A status query of a replica that is sent after now; one serves all that wait."""
        if self._proof is None or self._proof.done():
            self._proof = self._spawn(self._query_replica(None))
            return self._proof
        if self._next_proof is None or self._next_proof.done():
            self._next_proof = self._spawn(self._query_replica(self._proof))
        return self._next_proof

    async def _query_replica(
        self, earlier: asyncio.Task[InstanceStatus | None] | None
    ) -> InstanceStatus | None:
        if earlier is not None:
            await asyncio.wait([earlier])
            self._proof, self._next_proof = self._next_proof, None
        for replica in self.topology.replicas(self._loop.time()):
            if self.topology.instances[replica].unreachable_since is not None:
                continue
            status = await self.ask(replica, lambda link: link.status())
            if status is not None:
                return status
        return None

    # --- status and control -------------------------------------------------------------------

    async def ask(
        self,
        instance: str,
        call: Callable[[InstanceLink], Coroutine[Any, Any, InstanceStatus]],
    ) -> InstanceStatus | None:
        """Make a status or control call; None where no status came in time.

        One that is not expected to answer is given less time, as a change of primary waits for it.
        """
        asked_at = self._loop.time()
        view = self.topology.instances.get(instance)
        reachable = view is None or view.unreachable_since is None
        seconds = ASK_SECONDS if reachable else ASK_UNREACHABLE_SECONDS
        self._metrics.message("status_or_control")
        try:
            async with asyncio.timeout(seconds):
                status = await self._ask_on_some_link(instance, call)
        except BackendRefused:
            self.topology.answered(instance, self._loop.time())
            return None
        except (BackendConnectionLost, TimeoutError) as error:
            self._drop_control(instance)
            log_event("status_failed", instance=instance, reason=repr(error))
            self.mark_unreachable(instance)
            return None
        self._heard[instance] = self._loop.time()
        told = InstanceStatus(
            instance,
            status.role,
            status.term,
            status.received,
            status.fence_term,
            status.replay_delay_ms,
            asked_at,
        )
        self.take_status(told)
        return told

    async def _ask_on_some_link(
        self,
        instance: str,
        call: Callable[[InstanceLink], Coroutine[Any, Any, InstanceStatus]],
    ) -> InstanceStatus:
        """Use an idle connection where there is one, else one kept for status alone."""
        borrowed = self._pool(instance).borrow_idle(self._loop.time())
        if borrowed is not None:
            self._running[borrowed] = (instance, self._loop.time())
            answered = False
            try:
                status = await call(self._links[borrowed])
                answered = True
                return status
            except BackendRefused:
                answered = True
                raise
            except BackendConnectionLost:
                pass
            finally:
                self._running.pop(borrowed, None)
                self.release(borrowed, answered)
        link = self._control.get(instance)
        if link is not None:
            try:
                return await call(link)
            except BackendConnectionLost:
                self._drop_control(instance)
        link = await self._connect(instance, lambda: None)
        self._drop_control(instance)
        self._control[instance] = link
        return await call(link)

    def _drop_control(self, instance: str) -> None:
        link = self._control.pop(instance, None)
        if link is not None:
            link.close()

    # --- tasks --------------------------------------------------------------------------------

    def _spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def close(self) -> None:
        """Close every connection."""
        self._closed = True
        for task in self._tasks:
            task.cancel()
        for connection in list(self._links):
            self._close_link(connection)
        for instance in list(self._control):
            self._drop_control(instance)
