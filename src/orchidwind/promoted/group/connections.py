"""The server connections of one promoted group, and the requests that wait for one.

Owns: the tasks that open connections. It carries out what the pools decide (`shared/core/pool`):
grants, openings, closings and refusals. Relies on `InstancePools` for the pools, on
`ConnectionRecords` for what is known of each connection, on `ConnectionOpener` for new ones and on
`WaitingGrants` for the requests that wait.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from orchidwind.promoted.core.group_state import GroupState
from orchidwind.promoted.group.background_tasks import BackgroundTasks
from orchidwind.promoted.group.connection_opener import CONNECTION_LIMIT_MET, ConnectionOpener
from orchidwind.promoted.group.connection_records import ConnectionRecords
from orchidwind.promoted.group.instance_pools import InstancePools
from orchidwind.promoted.group.waiting_grants import WaitingGrants
from orchidwind.promoted.ports import InstanceConnector
from orchidwind.shared.core.admission import TrafficClass
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

# Shortest pause before a pool is looked at again, seconds. Chosen: bounds the wake-ups.
_SHORTEST_RETRY_SECONDS = 0.01
# Seconds after which a connection is tried again where the instance had no room. Requests go
# elsewhere meanwhile. Chosen: an attempt that is turned away costs the instance nothing.
_OPEN_AGAIN_SECONDS = 0.25


class GroupConnections:
    """`on_suspect` gets instances whose connections broke, `on_unreachable` those without answer.

    Times are in seconds of the loop's clock.
    """

    def __init__(
        self,
        state: GroupState,
        connector: InstanceConnector,
        on_suspect: Callable[[str], None],
        on_unreachable: Callable[[str], None],
    ) -> None:
        self.records = ConnectionRecords()
        self.pools = InstancePools()
        self.opener = ConnectionOpener(state.topology, connector)
        self._state = state
        self._topology = state.topology
        self._on_suspect = on_suspect
        self._on_unreachable = on_unreachable
        self._loop = asyncio.get_running_loop()
        self._waiting = WaitingGrants()
        self._tasks = BackgroundTasks()

    # --- requests -----------------------------------------------------------------------------

    async def acquire(self, instance: str, traffic_class: TrafficClass, deadline: float) -> int:
        """Wait for a server connection; raises RequestError, BackendConnectionLost."""
        if self.opener.closed:
            raise RequestError(ErrorKind.PROXY_STOPPING, "this proxy has stopped")
        pool = self.pools.of(instance)
        waiting = self._waiting.add(instance)
        self._perform(pool.acquire(waiting.ticket, traffic_class, self._loop.time(), deadline))
        try:
            async with asyncio.timeout_at(deadline):
                return await waiting.granted
        except TimeoutError as error:
            pool.cancel(waiting.ticket)
            raise RequestError(
                ErrorKind.DEADLINE_PASSED, f"no connection to {instance} was free in time"
            ) from error
        finally:
            self._waiting.remove(waiting.ticket)
            if waiting.granted.cancelled():
                pool.cancel(waiting.ticket)

    def release(self, connection: int, reusable: bool) -> None:
        """Give a connection back."""
        instance = self.records.instance_of.get(connection)
        if instance is None:
            return
        view = self._topology.instances.get(instance)
        reusable = reusable and view is not None and view.unreachable_since is None
        pool = self.pools.known(instance)
        if pool is None:
            # The instance was forgotten while a request held the connection.
            self._close(connection)
            return
        self._perform(pool.release(connection, self._loop.time(), reusable))

    def exchange_began(self, connection: int) -> None:
        """Messages are sent on a connection."""
        self.records.exchange_began_at[connection] = self._loop.time()
        pool = self._pool_of(connection)
        if pool is not None:
            pool.exchange_began(connection)

    def exchange_ended(self, connection: int, rejected: bool | None) -> None:
        """They were answered, `rejected` where the instance had no room; None: they were not."""
        began = self.records.exchange_began_at.pop(connection)
        if rejected is not None:
            self.records.note_delivered(connection)
        pool = self._pool_of(connection)
        if pool is not None:
            now = self._loop.time()
            self._perform(pool.exchange_ended(connection, now - began, rejected, now))

    def _pool_of(self, connection: int) -> InstancePool | None:
        """The pool of an open connection; None once its instance is forgotten."""
        return self.pools.known(self.records.instance_of.get(connection, ""))

    # --- the proxy's own use ------------------------------------------------------------------

    def borrow_idle(self, instance: str) -> int | None:
        """Take an idle connection, None where there is none."""
        return self.pools.of(instance).borrow_idle(self._loop.time())

    def borrow_idle_silent(self, instance: str, since: float) -> list[int]:
        """Take the idle connections that have delivered nothing since a time."""
        pool = self.pools.of(instance)
        silent = [item for item in pool.idle if self.records.silent_since(item, since)]
        return [item for item in silent if pool.take_idle(item, self._loop.time())]

    def resting_silent(self, instance: str, since: float) -> list[int]:
        """Connections that requests hold, with nothing running, silent since a time.

        Those of transactions whose callers think, mostly.
        """
        pool = self.pools.known(instance)
        held = pool.busy if pool is not None else {}
        records = self.records
        return [
            item
            for item in held
            if item not in records.exchange_began_at and records.silent_since(item, since)
        ]

    def close_resting(self, connection: int) -> None:
        """Close a connection that a request may hold; its place is free.

        Who holds it finds it closed at its next message. A message that left meanwhile stays with
        its own time limit, as it may have run.
        """
        instance = self.records.instance_of.get(connection)
        if instance is None or connection in self.records.exchange_began_at:
            return
        pool = self._pool_of(connection)
        self._close(connection)
        if pool is not None:
            self._perform(pool.lost(connection, self._loop.time()))
            self._retry_open(pool)

    @property
    def starved(self) -> bool:
        """Whether an instance had no room lately, and requests wait here for want of connections.

        After the loss of all proxies an instance counts their old connections for some seconds:
        the first that return take what is left, and the others have none.
        """
        return self.pools.lacks_connections(self.opener.without_room())

    # --- upkeep -------------------------------------------------------------------------------

    def set_share(self, share: int) -> None:
        """Hold at most this many connections to each instance; fewer close idle ones."""
        if share == self.pools.share:
            return
        self.pools.share = share
        for pool in self.pools:
            self._perform(pool.set_share(share, self._loop.time()))

    def trim(self) -> None:
        """Close connections that were not used lately."""
        for pool in self.pools:
            self._perform(pool.trim())

    def close_idle(self) -> None:
        """Close every connection that no request holds."""
        for pool in self.pools:
            self._close_idle_of(pool)

    def drop_idle(self, instance: str) -> None:
        """Close idle connections to an instance that does not answer; who waits goes elsewhere."""
        pool = self.pools.known(instance)
        if pool is None:
            return
        self._close_idle_of(pool)
        self._waiting.turn_away(pool)
        self._retry_open(pool)

    def _close_idle_of(self, pool: InstancePool) -> None:
        for connection in list(pool.idle):
            self._close(connection)
            self._perform(pool.lost(connection, self._loop.time()))

    def forget(self, instance: str) -> None:
        """An instance left long ago."""
        self.drop_idle(instance)
        self.pools.forget(instance)
        self.opener.forget(instance)

    # --- what the pools decide ----------------------------------------------------------------

    def _perform(self, effects: Iterable[PoolEffect]) -> None:
        for effect in effects:
            if isinstance(effect, Grant):
                self._grant(effect)
            elif isinstance(effect, OpenConnection):
                self._tasks.start(self._open(effect))
            elif isinstance(effect, CloseConnection):
                self._close(effect.connection)
            else:
                self._waiting.refuse(effect)

    def _grant(self, grant: Grant) -> None:
        if not self._waiting.grant(grant):
            self._loop.call_soon(self.release, grant.connection, True)

    async def open_first(self, instance: str) -> None:
        """Open a connection to an instance where there is none, and wait for it.

        Raises BackendRefused, BackendConnectionLost. Who stops waiting leaves it to be opened.
        """
        for effect in self.pools.of(instance).open_one():
            error = await asyncio.shield(self._tasks.start(self._open(effect)))
            if error is not None:
                raise error

    async def _open(self, effect: OpenConnection) -> BackendRefused | BackendConnectionLost | None:
        """Open a connection for a pool; why there is none, as it was logged."""
        number, instance = effect.connection, effect.instance
        pool = self.pools.of(instance)
        try:
            link = await self.opener.open(instance, lambda: self._lost_outside_exchange(number))
        except BackendRefused as refused:
            log_event("connection_refused", instance=instance, reason=str(refused))
            limit_met = refused.sqlstate == CONNECTION_LIMIT_MET
            if limit_met:
                self.opener.note_no_room(instance)
                self._loop.call_later(_OPEN_AGAIN_SECONDS, self._open_again, pool)
            self._open_failed(pool, number, limit_met)
            return refused
        except BackendConnectionLost as lost:
            log_event("connection_failed", instance=instance, reason=str(lost))
            self._on_unreachable(instance)
            self._open_failed(pool, number, limit_met=False)
            return lost
        self.records.opened(number, instance, link)
        self._state.connection_opened(number)
        self._topology.answered(instance, self._loop.time())
        self._perform(pool.opened(number, self._loop.time()))
        return None

    def _open_failed(self, pool: InstancePool, connection: int, limit_met: bool) -> None:
        self._perform(pool.open_failed(connection, self._loop.time(), limit_met))
        self._retry_open(pool)

    def _open_again(self, pool: InstancePool) -> None:
        """Requests go elsewhere meanwhile, so nobody waits here: open one all the same."""
        if not self.opener.closed and self.pools.known(pool.instance) is pool:
            self._perform(pool.open_one())

    def _retry_open(self, pool: InstancePool) -> None:
        due = pool.deadline()
        if due is not None and not self.opener.closed:
            wait = max(due, self._loop.time() + _SHORTEST_RETRY_SECONDS)
            self._loop.call_at(wait, lambda: self._perform(pool.tick(self._loop.time())))

    def _lost_outside_exchange(self, connection: int) -> None:
        instance = self.records.instance_of.get(connection)
        if instance is None or connection in self.records.exchange_began_at:
            return
        self.close_resting(connection)
        self._on_suspect(instance)

    def _close(self, connection: int) -> None:
        self._state.connection_closed(connection)
        self.records.close(connection)

    def close(self) -> None:
        """Close every connection."""
        self.opener.close()
        self._tasks.cancel()
        for connection in list(self.records.links):
            self._close(connection)
        self.pools.clear()
