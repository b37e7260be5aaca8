"""The server connections of a home proxy to all instances of a group.

Owns a pool for each instance, which request runs on which connection, and the session settings
applied to each connection. Relies on `shared/core/pool.py` for which request is granted a
connection and when connections are opened or closed. Work for the driver is appended to the group's
effects.
"""

from __future__ import annotations

from collections.abc import Mapping
from itertools import count
from typing import Protocol

from orchidwind.elected.core.group_effects import GroupEffect, RunOnConnection
from orchidwind.elected.core.request_errors import no_connection
from orchidwind.elected.core.statements import SessionSetting, Statement, StatementRequest
from orchidwind.elected.core.steps import Run
from orchidwind.shared.core.admission import Refusal
from orchidwind.shared.core.pool import (
    CloseConnection,
    Grant,
    InstancePool,
    OpenConnection,
    PoolEffect,
)


class ConnectionWaiters(Protocol):
    """The requests that wait for a connection."""

    def granted(self, now: float, number: int, connection: int) -> bool:
        """Pass a connection to a request; returns False if the request has ended."""

    def refused(self, now: float, refusal: Refusal) -> None:
        """Fail the request with the refusal's ticket, which gets no connection."""


class ServerConnections:
    """Pools by instance, and the use of each connection."""

    def __init__(
        self, shares: Mapping[str, int], effects: list[GroupEffect], waiters: ConnectionWaiters
    ) -> None:
        """`shares` gives the number of server connections to each instance."""
        numbers = count(1)
        self.pools = {
            instance: InstancePool(instance, share, numbers) for instance, share in shares.items()
        }
        self._effects = effects
        self._waiters = waiters
        self._instance_of: dict[int, str] = {}
        self._request_on: dict[int, int] = {}
        self._settings_of: dict[int, tuple[SessionSetting, ...]] = {}

    # --- state --------------------------------------------------------------------------------

    @property
    def has_share(self) -> bool:
        """Whether this home proxy may hold a connection to any instance."""
        return any(pool.share > 0 for pool in self.pools.values())

    @property
    def queued(self) -> int:
        """The number of requests that wait for a connection."""
        return sum(len(pool.queue) for pool in self.pools.values())

    @property
    def spare(self) -> int:
        """The number of unused connections, at the instance with the fewest."""
        return min(pool.share - len(pool.busy) - len(pool.queue) for pool in self.pools.values())

    def loads(self) -> dict[str, float]:
        """Running and waiting requests per connection, by instance with a share."""
        return {name: pool.load for name, pool in self.pools.items() if pool.share > 0}

    def instance_of(self, connection: int) -> str | None:
        """The instance that a connection goes to, None if it is closed."""
        return self._instance_of.get(connection)

    def deadline(self) -> float:
        """When `tick` is next needed, infinity if it is not."""
        times = (pool.deadline() for pool in self.pools.values())
        return min((time for time in times if time is not None), default=float("inf"))

    # --- use by requests ----------------------------------------------------------------------

    def acquire(self, now: float, request: StatementRequest, instance: str) -> int | None:
        """A connection, or None if the request must wait; raises RequestError if it is refused."""
        effects = self.pools[instance].acquire(
            request.number, request.traffic_class, now, request.expires_at
        )
        for effect in effects:
            if isinstance(effect, Refusal) and effect.ticket == request.number:
                raise no_connection(effect)
            if isinstance(effect, Grant) and effect.ticket == request.number:
                effects.remove(effect)
                self._apply(now, effects)
                return effect.connection
        self._apply(now, effects)
        return None

    def stop_waiting(self, number: int, instance: str) -> None:
        """Cancel a request's wait for a connection to an instance."""
        self.pools[instance].cancel(number)

    def run(self, number: int, step: Run) -> None:
        """Run a statement of a request."""
        self._request_on[step.connection] = number
        deliver_to = number if step.deliver else None
        self._effects.append(
            RunOnConnection(step.connection, step.statement, deliver_to, step.describe)
        )

    def run_ended(self, connection: int) -> int | None:
        """Record the end of a statement; returns its request's number, None if there is none."""
        return self._request_on.pop(connection, None)

    def release(self, now: float, connection: int, reusable: bool) -> None:
        """Return a connection to its pool; one that is not `reusable` is closed."""
        self._request_on.pop(connection, None)
        instance = self._instance_of.get(connection)
        if instance is not None:
            self._apply(now, self.pools[instance].release(connection, now, reusable))

    def apply_settings(
        self, connection: int, settings: tuple[SessionSetting, ...]
    ) -> Statement | None:
        """The statement that applies settings to a connection, None if it already has them."""
        if self._settings_of.get(connection, ()) == settings:
            return None
        self._settings_of[connection] = settings
        assignments = "".join(f"; SET {item.name} = {item.value}" for item in settings)
        return Statement(f"RESET ALL{assignments}", simple=True)

    # --- events -------------------------------------------------------------------------------

    def opened(self, now: float, connection: int) -> None:
        """A connection is ready."""
        pool = self.pools[self._instance_of[connection]]
        self._apply(now, pool.opened(connection, now))

    def open_failed(self, now: float, connection: int, limit_met: bool) -> None:
        """A connection could not be opened; `limit_met` stands for SQLSTATE 53300."""
        pool = self.pools[self._instance_of[connection]]
        self._apply(now, pool.open_failed(connection, now, limit_met))

    def lost(self, now: float, connection: int) -> None:
        """A connection broke."""
        self._request_on.pop(connection, None)
        self._settings_of.pop(connection, None)
        instance = self._instance_of.pop(connection, None)
        if instance is not None:
            self._apply(now, self.pools[instance].lost(connection, now))

    def set_shares(self, now: float, shares: Mapping[str, int]) -> None:
        """The number of connections that this home may hold has changed."""
        for instance, share in shares.items():
            if instance in self.pools:
                self._apply(now, self.pools[instance].set_share(share, now))

    def tick(self, now: float) -> None:
        """Refuse requests that waited too long, and open missing connections."""
        for pool in self.pools.values():
            self._apply(now, pool.tick(now))

    def _apply(self, now: float, effects: list[PoolEffect]) -> None:
        for effect in effects:
            if isinstance(effect, OpenConnection):
                self._instance_of[effect.connection] = effect.instance
                self._effects.append(effect)
            elif isinstance(effect, CloseConnection):
                self._instance_of.pop(effect.connection, None)
                self._settings_of.pop(effect.connection, None)
                self._effects.append(effect)
            elif isinstance(effect, Refusal):
                self._waiters.refused(now, effect)
            elif not self._waiters.granted(now, effect.ticket, effect.connection):
                self.release(now, effect.connection, reusable=True)
