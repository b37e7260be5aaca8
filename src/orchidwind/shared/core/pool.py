"""The server connections that a home holds to one instance.

The pool opens connections ahead of need up to its share, grants them to waiting requests in the
order of the admission queue, and closes those whose state is uncertain. When the database says
that its limit is met (SQLSTATE 53300), the database has the last word: the usable share shrinks,
and grows again step by step.

A connection belongs to one tenant. A request whose tenant has none that is idle gets a new one, in
the place of the one that was idle for longest where there is no other place.

Owns: which connections are open, idle, held and being opened, and when to open the next. Relies on
`admission` for the order of requests, on `concurrency_window` for how many may run and on
`tenant_connections` for whose a connection is; its user carries out the effects and reports what
came of them. Times are in seconds of one steady clock.
"""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct

from orchidwind.shared.core.admission import NO_TARGET, AdmissionQueue, Refusal, TrafficClass
from orchidwind.shared.core.answer_times import AnswerTimes
from orchidwind.shared.core.concurrency_window import ConcurrencyWindow
from orchidwind.shared.core.tenant_connections import NO_TENANT, TenantConnections

# Seconds until a connection that could not be opened is tried again, doubled up to the longest.
# The first bounds the pause after a lost instance, the second the attempts at a dead one.
_REOPEN_SECONDS = 0.1
_LONGEST_REOPEN_SECONDS = 2.0
# Seconds after which an eager pool tries one connection more than the limit it met. Each
# attempt costs the database a login.
_GROW_AGAIN_SECONDS = 2.0
# The same, in seconds, where connections are opened for requests that wait: after a restart of
# proxies an instance counts their old connections for up to 3 s, and an attempt that it turns away
# costs it nothing. With the longer time a restarted home would serve on one connection for seconds.
_TRY_LIMIT_SECONDS = 0.25
# Connections of a proxy and of its life before that an instance counts at the same time.
_GENERATIONS = 2
# Connections opened at once for requests that wait. Each new one holds a slot of the instance for
# longer than a request does (12 to 32 ms, docs/DECISIONS.md, "Homes for promoted groups"): opened
# all at once, they hold up the requests that they were opened for.
MOST_OPENING = 2


class Grant(Struct, frozen=True):
    """A waiting request got a connection."""

    ticket: int
    connection: int


class OpenConnection(Struct, frozen=True):
    """Open a connection of a tenant to an instance under this number."""

    instance: str
    connection: int
    tenant: str = NO_TENANT


class CloseConnection(Struct, frozen=True):
    """Close a connection."""

    connection: int


PoolEffect = Grant | OpenConnection | CloseConnection | Refusal


class InstancePool:
    """Connections, and the requests that wait for them."""

    def __init__(
        self,
        instance: str,
        share: int,
        numbers: Iterator[int],
        eager: bool = True,
        window: ConcurrencyWindow | None = None,
    ) -> None:
        """Without `eager`, connections are opened only for requests that wait.

        With a `window`, requests are granted connections only while it has room; the user of the
        pool then reports each exchange. A connection whose transaction rests takes no room.
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
        self.tenants = TenantConnections()
        self._numbers = numbers
        self._limit = share
        self._reopen_at = 0.0
        self._reopen_delay = _REOPEN_SECONDS
        self._grow_at = 0.0
        self._most_needed = 0

    @property
    def size(self) -> int:
        """Connections that are open or being opened."""
        return len(self.idle) + len(self.busy) + len(self.opening)

    @property
    def usable(self) -> int:
        """How many connections the pool may hold now."""
        return min(self.share, self._limit)

    @property
    def load(self) -> float:
        """Requests that run or wait, for each connection that may be held."""
        return (len(self.queue) + len(self.busy)) / max(self.usable, 1)

    def expected_answer(self, now: float) -> float:
        """Seconds until one more request would be answered, as far as is known here."""
        return self.answer_times.expected(len(self.running) + len(self.queue), now)

    def set_share(self, share: int, now: float) -> list[PoolEffect]:
        """Hold this many connections; a lower share closes idle ones at once."""
        self.share = share
        self._limit = share
        return self._settle(now)

    def acquire(
        self,
        ticket: int,
        traffic_class: TrafficClass,
        now: float,
        expires_at: float,
        target_at: float = NO_TARGET,
        tenant: str = NO_TENANT,
    ) -> list[PoolEffect]:
        """Ask for a connection of a tenant: granted now, queued, or refused."""
        slots = self.usable if self.window is None else min(self.usable, self.window.size)
        refusal = self.queue.enter(ticket, traffic_class, now, expires_at, max(slots, 1), target_at)
        if refusal is not None:
            return [refusal]
        self.tenants.waits(ticket, tenant)
        return self._settle(now)

    def opened(self, connection: int, now: float) -> list[PoolEffect]:
        """A connection is ready."""
        if connection not in self.opening:
            return [CloseConnection(connection)]
        self.opening.discard(connection)
        self.idle.append(connection)
        self._reopen_delay = _REOPEN_SECONDS
        return self._settle(now)

    def open_failed(self, connection: int, now: float, limit_met: bool) -> list[PoolEffect]:
        """A connection could not be opened; try again later, with fewer if the limit is met."""
        self.opening.discard(connection)
        self.tenants.closed(connection)
        if limit_met:
            self._limit = max(self.size, 1)
            self._grow_at = now + self._grow_seconds
        if limit_met and not self._eager:
            self._reopen_at = now + _TRY_LIMIT_SECONDS
            return self._settle(now)
        self._reopen_at = now + self._reopen_delay
        self._reopen_delay = min(self._reopen_delay * 2, _LONGEST_REOPEN_SECONDS)
        return self._settle(now)

    def release(self, connection: int, now: float, reusable: bool) -> list[PoolEffect]:
        """A request gave its connection back."""
        granted_at = self.busy.pop(connection, None)
        effects: list[PoolEffect] = []
        if granted_at is None:
            return effects
        if self.window is None:
            self.queue.note_service(now - granted_at)
        self.running.discard(connection)
        if reusable:
            self.idle.append(connection)
        else:
            effects.append(self._close(connection))
        return effects + self._settle(now)

    def lost(self, connection: int, now: float) -> list[PoolEffect]:
        """A connection broke by itself."""
        self.busy.pop(connection, None)
        self.running.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self.opening.discard(connection)
        self.tenants.closed(connection)
        self._reopen_at = max(self._reopen_at, now + self._reopen_delay)
        return self._settle(now)

    def exchange_began(self, connection: int, now: float) -> None:
        """A request runs on a connection that it was granted."""
        self.running.add(connection)
        self.answer_times.began(connection, now)

    def exchange_ended(
        self, connection: int, seconds: float, rejected: bool | None, now: float
    ) -> list[PoolEffect]:
        """It ended after so many seconds; `rejected`: the instance had no room for it.

        None: it was not answered.
        """
        if rejected:
            self.answer_times.rejected(connection)
        else:
            self.answer_times.ended(connection, now, answered=rejected is False)
        if self.window is not None and rejected:
            self.window.rejected(now)
        elif self.window is not None and rejected is False:
            queues = self.answer_times.queues(now)
            self.window.answered(len(self.running), queues, now)
            self.queue.note_service(seconds)
        self.running.discard(connection)
        return self._settle(now)

    def cancel(self, ticket: int) -> None:
        """A waiting request gave up."""
        self.queue.leave(ticket)
        self.tenants.ended(ticket)

    def tick(self, now: float) -> list[PoolEffect]:
        """Refuse what expired and open what is missing."""
        if self._grow_at and now >= self._grow_at and self._limit < self.share:
            self._limit += 1 if self._eager else max(1, self._limit // 2)
            self._grow_at = now + self._grow_seconds
        expired = self.queue.expire(now)
        for refusal in expired:
            self.tenants.ended(refusal.ticket)
        return [*expired, *self._settle(now)]

    def deadline(self, now: float = float("-inf")) -> float | None:
        """When `tick` has something to do; with a window, `now` tells what is overdue already."""
        times = [self.queue.deadline()]
        if self._wants_another(now):
            times.append(self._reopen_at)
        if self._limit < self.share:
            times.append(self._grow_at)
        if self.window is not None and len(self.queue):
            times.extend(at for at in self.answer_times.overdue_times() if at > now)
        return min((time for time in times if time is not None), default=None)

    def trim(self) -> list[PoolEffect]:
        """Close idle connections beyond the most that were needed at once since the last trim.

        One stays. Fewer connections leave room for the new ones of proxies that lost power: an
        instance counts their old ones for some seconds more. Of those of tenants so many stay as
        leave that room, since another tenant's cannot be used in their place.
        """
        of_tenants = self.tenants.among(self.idle) - {NO_TENANT}
        kept = self.usable // _GENERATIONS if of_tenants else 1
        spare = self.size - max(self._most_needed, kept)
        self._most_needed = len(self.busy) + len(self.queue)
        effects: list[PoolEffect] = []
        while spare > 0 and self.idle:
            # The connection that has been idle for longest is the first.
            effects.append(self._close(self.idle.pop(0)))
            spare -= 1
        return effects

    def borrow_idle(self, now: float) -> int | None:
        """Take an idle connection for the proxy's own use, None where there is none."""
        if not self.idle:
            return None
        connection = self.idle.pop()
        self.busy[connection] = now
        return connection

    def take_idle(self, connection: int, now: float) -> bool:
        """Take one idle connection for the proxy's own use; whether it is idle."""
        if connection not in self.idle:
            return False
        self.idle.remove(connection)
        self.busy[connection] = now
        return True

    def open_one(self) -> list[OpenConnection]:
        """Open a connection though nobody waits, if there is none."""
        return [] if self.size else [self._open(NO_TENANT)]

    def _open(self, tenant: str) -> OpenConnection:
        connection = next(self._numbers)
        self.opening.add(connection)
        self.tenants.opening(connection, tenant)
        return OpenConnection(self.instance, connection, tenant)

    def _close(self, connection: int) -> CloseConnection:
        self.tenants.closed(connection)
        return CloseConnection(connection)

    def _wants_another(self, now: float) -> bool:
        return self._next_to_open(now) is not None

    def _next_to_open(self, now: float) -> str | None:
        """For which tenant a connection is to be opened next; None where none is."""
        if self._eager:
            wanted = self.size < self.usable and self._has_room(now)
            return NO_TENANT if wanted else None
        if not len(self.queue) or (self.size >= self.usable and not self.idle):
            return None
        if not self._has_room(now):
            return None
        idle = self.tenants.among(self.idle)
        lacking = (tenant for tenant in self.tenants.lacking(self.opening) if tenant not in idle)
        tenant = next(lacking, None)
        if tenant == NO_TENANT:
            return tenant if len(self.opening) < MOST_OPENING else None
        return tenant if self._has_room(now, len(self.opening)) else None

    @property
    def _grow_seconds(self) -> float:
        return _GROW_AGAIN_SECONDS if self._eager else _TRY_LIMIT_SECONDS

    def _has_room(self, now: float, opening: int = 0) -> bool:
        """Whether one more may run; a request whose answer may be lost holds up no others.

        `opening`: so many connections take room, too, as each holds a slot like a request.
        """
        under_way = len(self.running) + opening
        if self.window is None or under_way < self.window.size:
            return True
        return under_way - self.answer_times.overdue(now) < self.window.size

    def _settle(self, now: float) -> list[PoolEffect]:
        self._most_needed = max(self._most_needed, len(self.busy) + len(self.queue))
        effects: list[PoolEffect] = []
        while self.idle and self.size > self.usable:
            effects.append(self._close(self.idle.pop()))
        effects.extend(self._grant(now))
        if now >= self._reopen_at:
            effects.extend(self._open_wanted(now))
        return effects

    def _grant(self, now: float) -> Iterator[Grant]:
        """Give idle connections to requests of their tenants, in the order of the queue."""
        while self.idle and len(self.queue) and self._has_room(now):
            ticket = self.queue.next(now, self._has_idle)
            if ticket is None:
                return
            connection = self.tenants.last_of(self.tenants.of_request(ticket), self.idle)
            assert connection is not None
            self.tenants.ended(ticket)
            self.idle.remove(connection)
            self.busy[connection] = now
            self.running.add(connection)
            yield Grant(ticket, connection)

    def _has_idle(self, ticket: int) -> bool:
        """Whether a connection of a request's tenant is idle."""
        return self.tenants.last_of(self.tenants.of_request(ticket), self.idle) is not None

    def _open_wanted(self, now: float) -> Iterator[PoolEffect]:
        """Open connections; the one that was idle for longest makes place where there is none."""
        while (tenant := self._next_to_open(now)) is not None:
            if self.size >= self.usable:
                yield self._close(self.idle.pop(0))
            yield self._open(tenant)
