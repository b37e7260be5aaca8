"""The pool of server connections from a home proxy to one instance.

The pool grants connections to waiting requests in the order of the admission queue and closes
connections whose state is uncertain. An eager pool opens connections in advance, up to its share.
If the instance rejects a connection because its connection limit is reached (SQLSTATE 53300), the
pool lowers its own limit to the connections that it has, and raises it again step by step.

Each connection belongs to one tenant. A request whose tenant has no idle connection gets a new one.
If the pool is full, the connection that has been idle for longest is closed to make room.

Owns: which connections are idle, busy or being opened, and when to open the next one.
`admission` decides the order of requests, `concurrency_window` how many may run at once, and
`tenant_connections` records the tenant of each connection. The code that uses the pool carries out
the returned effects and reports their results. Times are in seconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct

from orchidwind.shared.core.admission import (
    EQUAL_WEIGHT,
    NO_TARGET,
    AdmissionQueue,
    Refusal,
    TrafficClass,
)
from orchidwind.shared.core.admitted_requests import AdmittedRequests
from orchidwind.shared.core.answer_times import AnswerTimes
from orchidwind.shared.core.concurrency_window import ConcurrencyWindow
from orchidwind.shared.core.tenant_connections import NO_TENANT, TenantConnections

# Delay before the next attempt after a connection could not be opened, in seconds; it is doubled
# with each failure up to the longest. The first bounds the pause after an instance was lost, the
# second the rate of attempts at an instance that stays down.
_REOPEN_SECONDS = 0.1
_LONGEST_REOPEN_SECONDS = 2.0
# Seconds after which an eager pool raises its lowered limit by one connection. Each attempt costs
# the database a login.
_EAGER_GROW_SECONDS = 2.0
# The same for a pool that opens connections on demand, in seconds. After proxies restart, an
# instance counts their old connections for up to 3 s, and an attempt that it rejects costs it
# nothing. With the longer delay, a restarted home proxy would serve on one connection for seconds.
_ON_DEMAND_GROW_SECONDS = 0.25
# Number of incarnations of a proxy, the current and the previous one, whose connections an instance
# may count at the same time.
_COUNTED_INCARNATIONS = 2
# Maximum number of connections without a tenant that are opened at once for waiting requests. A new
# connection holds a slot of the instance for longer than a request does (12 to 32 ms,
# docs/DECISIONS.md, "Homes for promoted groups"): if all were opened at once, they would delay the
# requests that they were opened for.
MAX_OPENING = 2


class Grant(Struct, frozen=True):
    """Effect: the request with this ticket may use this connection."""

    ticket: int
    connection: int


class OpenConnection(Struct, frozen=True):
    """Effect: open a connection to an instance for a tenant; `connection` is its number."""

    instance: str
    connection: int
    tenant: str = NO_TENANT


class CloseConnection(Struct, frozen=True):
    """Effect: close a connection."""

    connection: int


PoolEffect = Grant | OpenConnection | CloseConnection | Refusal


class InstancePool:
    """The connections to one instance and the requests that wait for them.

    Most methods return the effects that the user of the pool has to carry out.
    """

    def __init__(
        self,
        instance: str,
        share: int,
        numbers: Iterator[int],
        eager: bool = True,
        window: ConcurrencyWindow | None = None,
    ) -> None:
        """Create an empty pool that holds at most `share` connections.

        `numbers` yields the numbers of new connections. Unless `eager`, connections are opened only
        for waiting requests. With a `window`, requests are granted connections only while the
        window has room, and the user of the pool must report the begin and end of each exchange. A
        connection whose transaction is idle takes no room in the window.
        """
        self._eager = eager
        self.window = window
        self.running: set[int] = set()
        self.instance = instance
        self.share = share
        self.queue = AdmissionQueue()
        self.answer_times = AnswerTimes()
        self.idle: list[int] = []
        self.busy: dict[int, float] = {}
        self.opening: set[int] = set()
        self._admitted = AdmittedRequests(self.queue)
        self.tenants = TenantConnections()
        self._numbers = numbers
        self._limit = share
        self._reopen_at = 0.0
        self._reopen_delay = _REOPEN_SECONDS
        self._grow_at = 0.0
        self._peak_demand = 0

    @property
    def size(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self.idle) + len(self.busy) + len(self.opening)

    @property
    def usable(self) -> int:
        """Number of connections that the pool may hold at present."""
        return min(self.share, self._limit)

    @property
    def load(self) -> float:
        """Number of running and waiting requests per usable connection."""
        return (len(self.queue) + len(self.busy)) / max(self.usable, 1)

    def expected_answer(self, now: float, way: float = 0.0) -> float:
        """Return the estimated seconds until one more request would be answered, less `way`."""
        return self.answer_times.expected(len(self.running) + len(self.queue), now, way)

    def set_share(self, share: int, now: float) -> list[PoolEffect]:
        """Set the maximum number of connections; surplus idle connections are closed at once."""
        self.share = share
        self._limit = share
        return self._rebalance(now)

    def acquire(
        self,
        ticket: int,
        traffic_class: TrafficClass,
        now: float,
        expires_at: float,
        target_at: float = NO_TARGET,
        tenant: str = NO_TENANT,
        tenant_weight: float = EQUAL_WEIGHT,
    ) -> list[PoolEffect]:
        """Request a connection for a tenant: it is granted at once, queued or refused."""
        slots = self.usable if self.window is None else min(self.usable, self.window.size)
        refusal = self.queue.enqueue(
            ticket,
            traffic_class,
            now,
            expires_at,
            max(slots, 1),
            target_at,
            tenant,
            tenant_weight,
        )
        if refusal is not None:
            return [refusal]
        self.tenants.request_queued(ticket, tenant)
        return self._rebalance(now)

    def opened(self, connection: int, now: float) -> list[PoolEffect]:
        """Record that a connection has been opened."""
        if connection not in self.opening:
            return [CloseConnection(connection)]
        self.opening.discard(connection)
        self.idle.append(connection)
        self._reopen_delay = _REOPEN_SECONDS
        return self._rebalance(now)

    def open_failed(self, connection: int, now: float, limit_met: bool) -> list[PoolEffect]:
        """Record a failed attempt to open a connection and schedule the next one.

        If the instance's connection limit was reached (`limit_met`), the pool's limit is lowered.
        """
        self.opening.discard(connection)
        self.tenants.connection_closed(connection)
        if limit_met:
            self._limit = max(self.size, 1)
            self._grow_at = now + self._grow_seconds
        if limit_met and not self._eager:
            self._reopen_at = now + _ON_DEMAND_GROW_SECONDS
            return self._rebalance(now)
        self._reopen_at = now + self._reopen_delay
        self._reopen_delay = min(self._reopen_delay * 2, _LONGEST_REOPEN_SECONDS)
        return self._rebalance(now)

    def release(self, connection: int, now: float, reusable: bool) -> list[PoolEffect]:
        """Return a granted connection to the pool; it is closed unless `reusable`."""
        granted_at = self.busy.pop(connection, None)
        effects: list[PoolEffect] = []
        if granted_at is None:
            return effects
        if self.window is None:
            self._admitted.ran(connection, now - granted_at)
        self._admitted.ended(connection)
        self.running.discard(connection)
        if reusable:
            self.idle.append(connection)
        else:
            effects.append(self._close(connection))
        return effects + self._rebalance(now)

    def lost(self, connection: int, now: float) -> list[PoolEffect]:
        """Record that a connection broke."""
        self.busy.pop(connection, None)
        self._admitted.ended(connection)
        self.running.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self.opening.discard(connection)
        self.tenants.connection_closed(connection)
        self._reopen_at = max(self._reopen_at, now + self._reopen_delay)
        return self._rebalance(now)

    def exchange_began(self, connection: int, now: float) -> None:
        """Record that a request was sent on a granted connection."""
        self.running.add(connection)
        self.answer_times.began(connection, now)

    def exchange_ended(
        self, connection: int, seconds: float, rejected: bool | None, now: float
    ) -> list[PoolEffect]:
        """Record the end of a request that took this many seconds.

        `rejected` is true if the instance rejected the request for lack of room, false if the
        request was answered, and None if no answer came.
        """
        if rejected:
            self.answer_times.rejected(connection)
        else:
            self.answer_times.ended(connection, now, answered=rejected is False)
        if self.window is not None and rejected:
            self.window.rejected(now)
        elif self.window is not None and rejected is False:
            queueing = self.answer_times.is_queueing(now)
            self.window.answered(len(self.running), queueing, now)
            self._admitted.ran(connection, seconds)
        self.running.discard(connection)
        return self._rebalance(now)

    def cancel(self, ticket: int) -> None:
        """Remove a waiting request that was abandoned."""
        self.queue.remove(ticket)
        self.tenants.request_ended(ticket)

    def tick(self, now: float) -> list[PoolEffect]:
        """Refuse expired requests and open the connections that are needed."""
        if self._grow_at and now >= self._grow_at and self._limit < self.share:
            self._limit += 1 if self._eager else max(1, self._limit // 2)
            self._grow_at = now + self._grow_seconds
        expired = self.queue.expire(now)
        for refusal in expired:
            self.tenants.request_ended(refusal.ticket)
        return [*expired, *self._rebalance(now)]

    def deadline(self, now: float = float("-inf")) -> float | None:
        """Return when `tick` must be called next, or None.

        With a window, only answers that become overdue after `now` are considered.
        """
        times = [self.queue.deadline()]
        if self._needs_connection(now):
            times.append(self._reopen_at)
        if self._limit < self.share:
            times.append(self._grow_at)
        if self.window is not None and len(self.queue):
            times.extend(at for at in self.answer_times.overdue_times() if at > now)
        return min((time for time in times if time is not None), default=None)

    def trim(self) -> list[PoolEffect]:
        """Close idle connections beyond the peak demand since the last call.

        At least one connection is kept. Holding few connections leaves room for the new connections
        of proxies that lost power, because an instance counts their old ones for some seconds more.
        If idle connections belong to tenants, more are kept, since another tenant's connection
        cannot replace them: the usable number divided by `_COUNTED_INCARNATIONS`, which still
        leaves room for the connections of one earlier incarnation.
        """
        of_tenants = self.tenants.tenants_of(self.idle) - {NO_TENANT}
        kept = self.usable // _COUNTED_INCARNATIONS if of_tenants else 1
        surplus = self.size - max(self._peak_demand, kept)
        self._peak_demand = len(self.busy) + len(self.queue)
        effects: list[PoolEffect] = []
        while surplus > 0 and self.idle:
            # The list is ordered by the time of release: the first has been idle for longest.
            effects.append(self._close(self.idle.pop(0)))
            surplus -= 1
        return effects

    def take_any_idle(self, now: float) -> int | None:
        """Take an idle connection for the proxy's own use; None if there is none."""
        if not self.idle:
            return None
        connection = self.idle.pop()
        self.busy[connection] = now
        return connection

    def take_idle(self, connection: int, now: float) -> bool:
        """Take this connection for the proxy's own use; return False if it is not idle."""
        if connection not in self.idle:
            return False
        self.idle.remove(connection)
        self.busy[connection] = now
        return True

    def open_if_empty(self) -> list[OpenConnection]:
        """Open a connection without a waiting request if the pool has none."""
        return [] if self.size else [self._open(NO_TENANT)]

    def _open(self, tenant: str) -> OpenConnection:
        connection = next(self._numbers)
        self.opening.add(connection)
        self.tenants.connection_opening(connection, tenant)
        return OpenConnection(self.instance, connection, tenant)

    def _close(self, connection: int) -> CloseConnection:
        self.tenants.connection_closed(connection)
        return CloseConnection(connection)

    def _needs_connection(self, now: float) -> bool:
        return self._next_to_open(now) is not None

    def _next_to_open(self, now: float) -> str | None:
        """Return the tenant for which to open the next connection, or None if none is needed."""
        if self._eager:
            wanted = self.size < self.usable and self._has_room(now)
            return NO_TENANT if wanted else None
        if not len(self.queue) or (self.size >= self.usable and not self.idle):
            return None
        if not self._has_room(now):
            return None
        idle = self.tenants.tenants_of(self.idle)
        lacking = set(self.tenants.tenants_lacking_connections(self.opening)) - idle
        tenant = self.queue.first_tenant(lacking)
        if tenant == NO_TENANT:
            return tenant if len(self.opening) < MAX_OPENING else None
        return tenant if self._has_room(now, len(self.opening)) else None

    @property
    def _grow_seconds(self) -> float:
        return _EAGER_GROW_SECONDS if self._eager else _ON_DEMAND_GROW_SECONDS

    def _has_room(self, now: float, opening: int = 0) -> bool:
        """Return whether the window has room for one more request.

        Requests with overdue answers, which may be lost, do not block others. `opening` is the
        number of connections being opened that count as well, as each holds a slot of the instance
        like a request.
        """
        in_progress = len(self.running) + opening
        if self.window is None or in_progress < self.window.size:
            return True
        return in_progress - self.answer_times.overdue(now) < self.window.size

    def _rebalance(self, now: float) -> list[PoolEffect]:
        """Close surplus connections, grant idle ones and open those that are needed."""
        if self.window is not None:
            self.window.end_share(now)
        self._peak_demand = max(self._peak_demand, len(self.busy) + len(self.queue))
        effects: list[PoolEffect] = []
        while self.idle and self.size > self.usable:
            effects.append(self._close(self.idle.pop()))
        effects.extend(self._grant(now))
        if now >= self._reopen_at:
            effects.extend(self._open_needed(now))
        return effects

    def _grant(self, now: float) -> Iterator[Grant]:
        """Grant idle connections to waiting requests of the same tenant, in queue order."""
        while self.idle and len(self.queue) and self._has_room(now):
            idle_tenants = self.tenants.tenants_of(self.idle)
            admitted = self.queue.take(now, idle_tenants.__contains__)
            if admitted is None:
                return
            connection = self.tenants.last_connection_of(admitted.tenant, self.idle)
            assert connection is not None
            self.tenants.request_ended(admitted.ticket)
            self.idle.remove(connection)
            self.busy[connection] = now
            self._admitted.granted(connection, admitted)
            self.running.add(connection)
            yield Grant(admitted.ticket, connection)

    def _open_needed(self, now: float) -> Iterator[PoolEffect]:
        """Open needed connections; if the pool is full, close the longest idle ones for them."""
        while (tenant := self._next_to_open(now)) is not None:
            if self.size >= self.usable:
                yield self._close(self.idle.pop(0))
            yield self._open(tenant)
