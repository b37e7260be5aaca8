"""The server connections of one promoted group, and the requests that wait for one.

This is the interface to the connections for requests, silence checks and upkeep. It has no state of
its own: the pools decide (`shared/core/pool`), and `pool_driver` carries out their decisions.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec import Struct

from orchidwind.promoted.core.group_state import GroupState
from orchidwind.promoted.core.opening_cost import opening_cost
from orchidwind.promoted.group.instance_pools import ConnectionShares
from orchidwind.promoted.group.pool_driver import PoolDriver
from orchidwind.promoted.ports import InstanceConnector
from orchidwind.shared.core.admission import EQUAL_WEIGHT, NO_TARGET, RefusalReason, TrafficClass
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.core.pool import InstancePool
from orchidwind.shared.core.tenant_connections import NO_TENANT


class ConnectionWait(Struct, frozen=True):
    """How a request waits for a server connection.

    The wait ends at `deadline`; an answer after `target_at` is late. The connection belongs to
    `tenant`, whose share of the slots follows `tenant_weight`. Times are in seconds of the loop's
    clock.
    """

    traffic_class: TrafficClass
    deadline: float
    target_at: float = NO_TARGET
    tenant: str = NO_TENANT
    tenant_weight: float = EQUAL_WEIGHT


class GroupConnections:
    """The connections of one group. Times are in seconds of the loop's clock.

    `on_suspect` is called with an instance whose connection broke, `on_unreachable` with one to
    which no connection can be opened, `on_refused` with the reason why the queue refused a request.
    """

    def __init__(
        self,
        state: GroupState,
        connector: InstanceConnector,
        on_suspect: Callable[[str], None],
        on_unreachable: Callable[[str], None],
        on_refused: Callable[[RefusalReason], None] = lambda reason: None,
    ) -> None:
        self._driver = PoolDriver(state, connector, on_suspect, on_unreachable)
        self.records = self._driver.records
        self.pools = self._driver.pools
        self.opener = self._driver.opener
        self._waiting = self._driver.waiting
        self._waiting.on_refused = on_refused
        self._loop = asyncio.get_running_loop()

    # --- requests -----------------------------------------------------------------------------

    async def acquire(self, instance: str, wait: ConnectionWait) -> int:
        """Wait for a server connection; returns its number.

        Raises RequestError, BackendConnectionLost.
        """
        if self.opener.closed:
            raise RequestError(ErrorKind.PROXY_STOPPING, "this proxy has stopped")
        pool = self.pools.of(instance)
        waiting = self._waiting.add(instance, wait.tenant)
        self._driver.perform(
            pool.acquire(
                waiting.ticket,
                wait.traffic_class,
                self._loop.time(),
                wait.deadline,
                wait.target_at,
                wait.tenant,
                wait.tenant_weight,
            )
        )
        try:
            if not waiting.granted.done():
                self._driver.schedule_tick(pool)
            async with asyncio.timeout_at(wait.deadline):
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

    def refused(self, instance: str) -> dict[str, int]:
        """Return how many requests for an instance were refused, by the names of the reasons."""
        return self._waiting.refused(instance)

    def release(self, connection: int, reusable: bool) -> None:
        """Return a connection to its pool."""
        self._driver.release(connection, reusable)

    def exchange_began(self, connection: int) -> None:
        """Record that an exchange starts on a connection."""
        self.records.exchange_began_at[connection] = self._loop.time()
        pool = self._driver.pool_of(connection)
        if pool is not None:
            pool.exchange_began(connection, self._loop.time())

    def exchange_ended(self, connection: int, rejected: bool | None) -> None:
        """Record that an exchange ended.

        `rejected` says whether the instance rejected it as busy; None if there was no answer.
        """
        began = self.records.exchange_began_at.pop(connection)
        if rejected is not None:
            self.records.note_delivered(connection)
        pool = self._driver.pool_of(connection)
        if pool is not None:
            now = self._loop.time()
            self._driver.perform(pool.exchange_ended(connection, now - began, rejected, now))

    def expected_answer(self, instance: str, way: float = 0.0) -> float:
        """Expected seconds until an instance would answer another request, less the `way`."""
        return self.pools.of(instance).expected_answer(self._loop.time(), way)

    def opening_cost(self, instance: str, tenant: str) -> float:
        """What a tenant's read costs more at an instance for an opening, in seconds."""
        pool = self.pools.of(instance)
        return opening_cost(tenant, pool.tenants, pool.idle)

    # --- status queries and silence checks ----------------------------------------------------

    def take_any_idle(self, instance: str) -> int | None:
        """Take an idle connection from its pool; None if there is none."""
        return self.pools.of(instance).take_any_idle(self._loop.time())

    def borrow_idle_silent(self, instance: str, since: float) -> list[int]:
        """Take the idle connections that have delivered nothing since a time from their pool."""
        pool = self.pools.of(instance)
        silent = [item for item in pool.idle if self.records.silent_since(item, since)]
        return [item for item in silent if pool.take_idle(item, self._loop.time())]

    def resting_silent(self, instance: str, since: float) -> list[int]:
        """Held connections at rest (no exchange runs) that have delivered nothing since a time.

        Most belong to open transactions whose callers have not sent their next statement.
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
        """Close a connection that a request may hold but on which no exchange runs."""
        self._driver.close_resting(connection)

    async def open_first(self, instance: str) -> None:
        """Open a connection to an instance that has none, and wait for it.

        Raises BackendRefused, BackendConnectionLost.
        """
        await self._driver.open_first(instance)

    @property
    def starved(self) -> bool:
        """Whether this proxy lacks connections to an instance that was full recently.

        After the loss of all proxies an instance still counts their old connections for some
        seconds: the first proxies that return take the remaining slots, and the others get none.
        """
        return self.pools.lacks_connections(self.opener.full_instances())

    # --- upkeep -------------------------------------------------------------------------------

    def set_shares(self, shares: ConnectionShares, homes: int) -> None:
        """Set the limits of connections to each instance, and the number of homes.

        Idle connections in excess of a lower limit are closed.
        """
        if homes != self._driver.homes:
            self._driver.homes = homes
            self.pools.update_windows(self._loop.time())
        self.pools.shares = shares
        self._apply_shares()

    def _apply_shares(self) -> None:
        for pool in self.pools:
            share = self.pools.share_of(pool.instance)
            if share != pool.share:
                self._driver.perform(pool.set_share(share, self._loop.time()))

    def trim(self) -> None:
        """Close connections that were not used recently or that exceed the current share.

        The share of an instance changes when it becomes or stops being the primary.
        """
        self._apply_shares()
        for pool in self.pools:
            self._driver.perform(pool.trim())

    def close_idle(self) -> None:
        """Close every connection that no request holds."""
        for pool in self.pools:
            self._close_idle_of(pool)

    def drop_idle(self, instance: str) -> None:
        """Close the idle connections to an unreachable instance and end the waits for it.

        Requests that waited continue at other instances.
        """
        pool = self.pools.known(instance)
        if pool is None:
            return
        self._close_idle_of(pool)
        self._waiting.end_waits(pool)
        self._driver.schedule_tick(pool)

    def _close_idle_of(self, pool: InstancePool) -> None:
        for connection in list(pool.idle):
            self._driver.close_connection(connection)
            self._driver.perform(pool.lost(connection, self._loop.time()))

    def forget(self, instance: str) -> None:
        """Drop the state of an instance that left long ago."""
        self.drop_idle(instance)
        self.pools.forget(instance)
        self._waiting.forget(instance)
        self.opener.forget(instance)

    def close(self) -> None:
        """Close every connection."""
        self._driver.close()
