"""Carries out the decisions of one group's connection pools.

`shared/core/pool` decides without I/O when to grant, open, close and refuse connections. The driver
opens and closes the connections, answers the waiting requests, and reports the results to the
pools.

It owns the records of open connections, the pools, the waiting requests and the tasks that open
connections. It depends on the connector's protocol (`connection_opener`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from orchidwind.promoted.core.group_state import GroupState
from orchidwind.promoted.group.connection_opener import TOO_MANY_CONNECTIONS, ConnectionOpener
from orchidwind.promoted.group.connection_records import ConnectionRecords
from orchidwind.promoted.group.connection_requests import ConnectionRequests
from orchidwind.promoted.group.instance_pools import InstancePools
from orchidwind.promoted.ports import InstanceConnector
from orchidwind.shared.core.concurrency_window import INITIAL_WINDOW, fair_share
from orchidwind.shared.core.errors import BackendConnectionLost, BackendRefused
from orchidwind.shared.core.pool import (
    CloseConnection,
    Grant,
    InstancePool,
    OpenConnection,
    PoolEffect,
)
from orchidwind.shared.logs import log_event
from orchidwind.shared.task_set import TaskSet

# Shortest pause before a pool is checked again, seconds. Bounds the number of wake-ups.
_SHORTEST_RETRY_SECONDS = 0.01
# Seconds before another attempt to connect to an instance that was full. Requests use other
# instances meanwhile. A refused attempt costs the instance nothing.
_OPEN_RETRY_SECONDS = 0.25


class PoolDriver:
    """Drives the connection pools of one group. Times are in seconds of the loop's clock.

    `on_suspect` is called with an instance whose connection broke, `on_unreachable` with one to
    which no connection can be opened.
    """

    def __init__(
        self,
        state: GroupState,
        connector: InstanceConnector,
        on_suspect: Callable[[str], None],
        on_unreachable: Callable[[str], None],
    ) -> None:
        self.records = ConnectionRecords()
        self.homes = 1
        self.pools = InstancePools(
            self._fair_window,
            self._is_near,
            lambda instance: state.topology.primary_term(instance) > 0,
        )
        self.opener = ConnectionOpener(state.topology, connector)
        self.waiting = ConnectionRequests()
        self._state = state
        self._topology = state.topology
        self._on_suspect = on_suspect
        self._on_unreachable = on_unreachable
        self._loop = asyncio.get_running_loop()
        self._tasks = TaskSet()
        # The timer of each pool's next check, by instance.
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def _fair_window(self, instance: str) -> float:
        view = self._topology.instances.get(instance)
        return INITIAL_WINDOW if view is None else fair_share(view.entry.slots, self.homes)

    def _is_near(self, instance: str) -> bool:
        return instance in self._topology.instances and self._topology.is_near(instance)

    def pool_of(self, connection: int) -> InstancePool | None:
        """The pool of an open connection; None if it is closed or its instance was forgotten."""
        return self.pools.known(self.records.instance_of.get(connection, ""))

    def release(self, connection: int, reusable: bool) -> None:
        """Return a connection to its pool."""
        instance = self.records.instance_of.get(connection)
        if instance is None:
            return
        view = self._topology.instances.get(instance)
        reusable = reusable and view is not None and view.unreachable_since is None
        pool = self.pools.known(instance)
        if pool is None:
            # The instance was forgotten while a request held the connection.
            self.close_connection(connection)
            return
        self.perform(pool.release(connection, self._loop.time(), reusable))

    def close_resting(self, connection: int) -> None:
        """Close a connection at rest, which a request may hold, and free its place in the pool.

        The holder finds it closed at its next message. If a message was sent meanwhile, the
        connection stays open until that message's own time limit, as the message may have run.
        """
        instance = self.records.instance_of.get(connection)
        if instance is None or connection in self.records.exchange_began_at:
            return
        pool = self.pool_of(connection)
        self.close_connection(connection)
        if pool is not None:
            self.perform(pool.lost(connection, self._loop.time()))
            self.schedule_tick(pool)

    def perform(self, effects: Iterable[PoolEffect]) -> None:
        """Carry out a pool's decisions."""
        for effect in effects:
            if isinstance(effect, Grant):
                self._grant(effect)
            elif isinstance(effect, OpenConnection):
                self._tasks.start(self._open(effect))
            elif isinstance(effect, CloseConnection):
                self.close_connection(effect.connection)
            else:
                self.waiting.refuse(effect)

    def _grant(self, grant: Grant) -> None:
        if not self.waiting.grant(grant):
            self._loop.call_soon(self.release, grant.connection, True)

    async def open_first(self, instance: str) -> None:
        """Open a connection to an instance that has none, and wait for it.

        Raises BackendRefused, BackendConnectionLost. If the wait is cancelled, the connection is
        still opened.
        """
        for effect in self.pools.of(instance).open_if_empty():
            error = await asyncio.shield(self._tasks.start(self._open(effect)))
            if error is not None:
                raise error

    async def _open(self, effect: OpenConnection) -> BackendRefused | BackendConnectionLost | None:
        """Open a connection for a pool; returns the error, already logged, if that fails."""
        number, instance = effect.connection, effect.instance
        pool = self.pools.of(instance)
        try:
            link = await self.opener.open(
                instance, lambda: self._lost_outside_exchange(number), effect.tenant
            )
        except BackendRefused as refused:
            log_event("connection_refused", instance=instance, reason=str(refused))
            limit_met = refused.sqlstate == TOO_MANY_CONNECTIONS
            if limit_met:
                self.opener.note_full(instance)
                self._loop.call_later(_OPEN_RETRY_SECONDS, self._retry_open, pool)
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
        self.perform(pool.opened(number, self._loop.time()))
        return None

    def _open_failed(self, pool: InstancePool, connection: int, limit_met: bool) -> None:
        self.perform(pool.open_failed(connection, self._loop.time(), limit_met))
        self.schedule_tick(pool)

    def _retry_open(self, pool: InstancePool) -> None:
        """Open a connection though no request waits: requests use other instances meanwhile."""
        if not self.opener.closed and self.pools.known(pool.instance) is pool:
            self.perform(pool.open_if_empty())

    def schedule_tick(self, pool: InstancePool) -> None:
        """Schedule a pool's next decision for its deadline."""
        due = pool.deadline(self._loop.time())
        if due is None or self.opener.closed:
            return
        at = max(due, self._loop.time() + _SHORTEST_RETRY_SECONDS)
        timer = self._timers.get(pool.instance)
        if timer is not None and not timer.cancelled() and self._loop.time() < timer.when() <= at:
            return
        if timer is not None:
            timer.cancel()
        self._timers[pool.instance] = self._loop.call_at(at, self._tick, pool)

    def _tick(self, pool: InstancePool) -> None:
        self._timers.pop(pool.instance, None)
        self.perform(pool.tick(self._loop.time()))
        if pool.queue:
            self.schedule_tick(pool)

    def _lost_outside_exchange(self, connection: int) -> None:
        instance = self.records.instance_of.get(connection)
        if instance is None or connection in self.records.exchange_began_at:
            return
        self.close_resting(connection)
        self._on_suspect(instance)

    def close_connection(self, connection: int) -> None:
        """Close a connection without informing its pool."""
        self._state.connection_closed(connection)
        self.records.close(connection)

    def close(self) -> None:
        """Close every connection and cancel the tasks that open them."""
        self.opener.close()
        self._tasks.cancel()
        for connection in list(self.records.links):
            self.close_connection(connection)
        self.pools.clear()
