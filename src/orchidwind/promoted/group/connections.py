"""The server connections of one promoted group, and the requests that wait for one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from itertools import count
from typing import Any, TypeVar

from orchidwind.promoted.core.group_state import GroupState
from orchidwind.promoted.ports import InstanceConnector, InstanceLink
from orchidwind.shared.core.admission import Refusal, TrafficClass
from orchidwind.shared.core.concurrency_window import ConcurrencyWindow
from orchidwind.shared.core.errors import (
    BackendConnectionLost,
    BackendRefused,
    ErrorKind,
    RequestError,
)
from orchidwind.shared.core.pool import (
    CloseConnection,
    Grant,
    InstancePool,
    OpenConnection,
    PoolEffect,
)
from orchidwind.shared.logs import log_event

CONNECT_SECONDS = 0.6
CONNECTION_LIMIT_MET = "53300"
# Another instance answers at the address: the one that was named has ended.
OTHER_INSTANCE = "08001"
_SHORTEST_RETRY_SECONDS = 0.01
_FEWEST_CONNECTIONS = 2
# An instance that had no room is taken to have none for so long, unless a connection opens.
_REFUSED_SECONDS = 1.0
_TRY_AGAIN_SECONDS = 0.25

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class PoolUsage:
    """The connections to one instance, and the requests that wait for one."""

    connections: int
    queued: int


class GroupConnections:
    """Pools and links. `on_suspect` is told of instances whose connections broke."""

    def __init__(
        self,
        state: GroupState,
        connector: InstanceConnector,
        on_suspect: Callable[[str], None],
        on_unreachable: Callable[[str], None],
    ) -> None:
        self.links: dict[int, InstanceLink] = {}
        self.instance_of: dict[int, str] = {}
        self.in_exchange: dict[int, float] = {}
        self._heard_at: dict[int, float] = {}
        self._opened_at: dict[int, float] = {}
        self._state = state
        self._topology = state.topology
        self._connector = connector
        self._on_suspect = on_suspect
        self._on_unreachable = on_unreachable
        self._loop = asyncio.get_running_loop()
        self._numbers = count(1)
        self._tickets = count(1)
        self._pools: dict[str, InstancePool] = {}
        self._grants: dict[int, tuple[str, asyncio.Future[int]]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._refused_until: dict[str, float] = {}
        self._share = _FEWEST_CONNECTIONS
        self._closed = False

    # --- requests -----------------------------------------------------------------------------

    async def need(self, instance: str, traffic_class: TrafficClass, deadline: float) -> int:
        """Wait for a server connection; raises RequestError, BackendConnectionLost."""
        if self._closed:
            raise RequestError(ErrorKind.PROXY_STOPPING, "this proxy has stopped")
        pool = self.pool(instance)
        ticket = next(self._tickets)
        granted: asyncio.Future[int] = self._loop.create_future()
        self._grants[ticket] = (instance, granted)
        self._perform(pool.acquire(ticket, traffic_class, self._loop.time(), deadline))
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

    def release(self, connection: int, reusable: bool) -> None:
        """Give a connection back."""
        instance = self.instance_of.get(connection)
        if instance is None:
            return
        view = self._topology.instances.get(instance)
        keep = reusable and view is not None and view.unreachable_since is None
        self._perform(self.pool(instance).release(connection, self._loop.time(), keep))

    def exchange_began(self, connection: int) -> None:
        """Messages are sent on a connection."""
        self.in_exchange[connection] = self._loop.time()
        instance = self.instance_of.get(connection)
        if instance is not None:
            self.pool(instance).exchange_began(connection)

    def exchange_ended(self, connection: int, rejected: bool | None) -> None:
        """They were answered, `rejected` where the instance had no room; None: they were not."""
        began = self.in_exchange.pop(connection)
        instance = self.instance_of.get(connection)
        if instance is not None:
            now = self._loop.time()
            if rejected is not None:
                self._heard_at[connection] = now
            pool = self.pool(instance)
            self._perform(pool.exchange_ended(connection, now - began, rejected, now))

    def borrow_idle(self, instance: str) -> int | None:
        """Take an idle connection for the proxy's own use, None where there is none."""
        return self.pool(instance).borrow_idle(self._loop.time())

    def take_unheard(self, instance: str, since: float) -> list[int]:
        """Take idle connections that have said nothing since a time, for the proxy's own use."""
        pool = self.pool(instance)
        unheard = [item for item in pool.idle if self._heard_at.get(item, since) <= since]
        return [item for item in unheard if pool.take_idle(item, self._loop.time())]

    def resting(self, instance: str, since: float) -> list[int]:
        """Connections that requests hold, but use for nothing, and unheard since a time.

        Those of transactions whose callers think, mostly.
        """
        pool = self._pools.get(instance)
        held = pool.busy if pool is not None else {}
        return [
            item
            for item in held
            if item not in self.in_exchange and self._heard_at.get(item, since) <= since
        ]

    def note_heard(self, connection: int) -> None:
        """An instance spoke on a connection."""
        if connection in self.links:
            self._heard_at[connection] = self._loop.time()

    def ages(self, connection: int) -> tuple[float | None, float | None]:
        """For how long a connection has been open, and unheard; seconds, None where unknown."""
        now = self._loop.time()
        opened_at = self._opened_at.get(connection)
        heard_at = self._heard_at.get(connection)
        return (
            None if opened_at is None else now - opened_at,
            None if heard_at is None else now - heard_at,
        )

    def lose_resting(self, connection: int) -> None:
        """A connection that a request holds is silent: it is closed, and its place is free.

        Who holds it finds it closed at its next message. A message that left meanwhile stays with
        its own time limit, as it may have run.
        """
        instance = self.instance_of.get(connection)
        if instance is None or connection in self.in_exchange:
            return
        self._close(connection)
        pool = self.pool(instance)
        self._perform(pool.lost(connection, self._loop.time()))
        self._retry_open(pool)

    def usage(self, instance: str) -> PoolUsage:
        """How many connections to an instance are open, and how many requests wait."""
        pool = self._pools.get(instance)
        return PoolUsage(pool.size, len(pool.queue)) if pool else PoolUsage(0, 0)

    @property
    def holding(self) -> list[str]:
        """Instances to which a request holds a connection, in the order of their first use."""
        return [name for name, pool in self._pools.items() if pool.busy]

    @property
    def opened(self) -> set[str]:
        """Instances to which a connection is open."""
        return set(self.instance_of.values())

    @property
    def busy(self) -> int:
        """Connections that requests or transactions hold."""
        return sum(len(pool.busy) for pool in self._pools.values())

    @property
    def starved(self) -> bool:
        """Whether an instance had no room lately, and requests wait here for want of connections.

        After the loss of all proxies an instance counts their old connections for some seconds:
        the first that return take what is left, and the others have none.
        """
        now = self._loop.time()
        return any(
            now < until and self._lacks_connections(instance)
            for instance, until in self._refused_until.items()
        )

    def _lacks_connections(self, instance: str) -> bool:
        pool = self._pools.get(instance)
        if pool is None or not (pool.idle or pool.busy):
            return True
        return len(pool.queue) > len(pool.busy)

    # --- upkeep -------------------------------------------------------------------------------

    def pool(self, instance: str) -> InstancePool:
        """The pool of an instance."""
        pool = self._pools.get(instance)
        if pool is None:
            window = ConcurrencyWindow()
            pool = InstancePool(instance, self._share, self._numbers, eager=False, window=window)
            self._pools[instance] = pool
        return pool

    def set_share(self, share: int) -> None:
        """Hold at most this many connections to each instance; fewer close idle ones."""
        if share == self._share:
            return
        self._share = share
        for pool in self._pools.values():
            self._perform(pool.set_share(share, self._loop.time()))

    def trim(self) -> None:
        """Close connections that were not needed lately."""
        for pool in self._pools.values():
            self._perform(pool.trim())

    def close_idle(self) -> None:
        """Close every connection that no request holds."""
        for pool in self._pools.values():
            self._close_idle_of(pool)

    def drop_idle(self, instance: str) -> None:
        """Close idle connections to an instance that does not answer; who waits goes elsewhere."""
        pool = self._pools.get(instance)
        if pool is None:
            return
        self._close_idle_of(pool)
        self._turn_away(pool)
        self._retry_open(pool)

    def _close_idle_of(self, pool: InstancePool) -> None:
        for connection in list(pool.idle):
            self._close(connection)
            self._perform(pool.lost(connection, self._loop.time()))

    def forget(self, instance: str) -> None:
        """An instance left long ago."""
        self.drop_idle(instance)
        self._pools.pop(instance, None)
        self._refused_until.pop(instance, None)

    def _perform(self, effects: Iterable[PoolEffect]) -> None:
        for effect in effects:
            if isinstance(effect, Grant):
                self._grant(effect)
            elif isinstance(effect, OpenConnection):
                self._spawn(self._open(effect))
            elif isinstance(effect, CloseConnection):
                self._close(effect.connection)
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
        for ticket, (instance, waiting) in list(self._grants.items()):
            if instance == pool.instance and not waiting.done():
                pool.cancel(ticket)
                waiting.set_exception(BackendConnectionLost("no answer", sent=False))

    # --- links --------------------------------------------------------------------------------

    async def connect(self, instance: str, on_lost: Callable[[], None]) -> InstanceLink:
        """Open a connection; raises BackendRefused, BackendConnectionLost."""
        if self._closed:
            raise BackendConnectionLost("this proxy has stopped", sent=False)
        view = self._topology.instances.get(instance)
        if view is None:
            raise BackendConnectionLost("the instance is unknown", sent=False)
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                return await self._connector.connect(view.entry, on_lost)
        except TimeoutError as error:
            raise BackendConnectionLost("no answer to a new connection", sent=False) from error

    async def open_first(self, instance: str) -> None:
        """Open a connection to an instance where there is none, and wait for it.

        Raises BackendRefused, BackendConnectionLost. Who stops waiting leaves it to be opened.
        """
        for effect in self.pool(instance).open_one():
            error = await asyncio.shield(self._spawn(self._open(effect)))
            if error is not None:
                raise error

    async def _open(self, effect: OpenConnection) -> BackendRefused | BackendConnectionLost | None:
        """Open a connection for a pool; why there is none, as it was logged."""
        number, instance = effect.connection, effect.instance
        pool = self.pool(instance)
        try:
            link = await self.connect(instance, lambda: self._lost_outside_exchange(number))
        except BackendRefused as refused:
            limit_met = refused.sqlstate == CONNECTION_LIMIT_MET
            log_event("connection_refused", instance=instance, reason=str(refused))
            if limit_met:
                self.note_no_room(instance)
                self._loop.call_later(_TRY_AGAIN_SECONDS, self._try_again, pool)
            self._perform(pool.open_failed(number, self._loop.time(), limit_met))
            self._retry_open(pool)
            return refused
        except BackendConnectionLost as lost:
            log_event("connection_failed", instance=instance, reason=str(lost))
            self._on_unreachable(instance)
            self._perform(pool.open_failed(number, self._loop.time(), limit_met=False))
            self._retry_open(pool)
            return lost
        self.links[number] = link
        self.instance_of[number] = instance
        self._heard_at[number] = self._opened_at[number] = self._loop.time()
        self._state.connection_opened(number)
        self._topology.answered(instance, self._loop.time())
        self._perform(pool.opened(number, self._loop.time()))
        return None

    def note_no_room(self, instance: str) -> None:
        """An instance takes no more connections."""
        self._refused_until[instance] = self._loop.time() + _REFUSED_SECONDS

    def _try_again(self, pool: InstancePool) -> None:
        """Requests go elsewhere meanwhile, so nobody waits here: open one all the same."""
        if not self._closed and self._pools.get(pool.instance) is pool:
            self._perform(pool.open_one())

    def _retry_open(self, pool: InstancePool) -> None:
        due = pool.deadline()
        if due is not None and not self._closed:
            wait = max(due, self._loop.time() + _SHORTEST_RETRY_SECONDS)
            self._loop.call_at(wait, lambda: self._perform(pool.tick(self._loop.time())))

    def _lost_outside_exchange(self, connection: int) -> None:
        instance = self.instance_of.get(connection)
        if instance is None or connection in self.in_exchange:
            return
        self.lose_resting(connection)
        self._on_suspect(instance)

    def _close(self, connection: int) -> None:
        link = self.links.pop(connection, None)
        self.instance_of.pop(connection, None)
        self._heard_at.pop(connection, None)
        self._opened_at.pop(connection, None)
        self._state.connection_closed(connection)
        if link is not None:
            link.close()

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
        for connection in list(self.links):
            self._close(connection)
        self._pools.clear()
