"""The requests of one group that wait for a server connection.

Owns: their tickets, and what each is answered: a connection, a refusal, or that its instance is
gone. Their order and the times of refusals are the pool's (`shared/core/pool`).
"""

from __future__ import annotations

import asyncio
from itertools import count

from msgspec import Struct

from orchidwind.shared.core.admission import Refusal
from orchidwind.shared.core.errors import BackendConnectionLost, ErrorKind, RequestError
from orchidwind.shared.core.pool import Grant, InstancePool


class WaitingGrant(Struct, frozen=True):
    """A request that waits for a connection to an instance; `granted` gets its number."""

    ticket: int
    instance: str
    granted: asyncio.Future[int]


class WaitingGrants:
    """The requests by ticket, in the order of their arrival."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._tickets = count(1)
        self._waiting: dict[int, WaitingGrant] = {}

    def add(self, instance: str) -> WaitingGrant:
        """A request begins to wait."""
        waiting = WaitingGrant(next(self._tickets), instance, self._loop.create_future())
        self._waiting[waiting.ticket] = waiting
        return waiting

    def remove(self, ticket: int) -> None:
        """A request waits no longer."""
        self._waiting.pop(ticket, None)

    def grant(self, grant: Grant) -> bool:
        """Give a request its connection; whether it still waits for one."""
        waiting = self._still_waiting(grant.ticket)
        if waiting is None:
            return False
        waiting.granted.set_result(grant.connection)
        return True

    def refuse(self, refusal: Refusal) -> None:
        """End a wait by RequestError."""
        waiting = self._still_waiting(refusal.ticket)
        if waiting is not None:
            error = RequestError(
                ErrorKind.OVERLOADED,
                "too many requests wait",
                retry_after_milliseconds=int(refusal.retry_after * 1000),
            )
            waiting.granted.set_exception(error)

    def turn_away(self, pool: InstancePool) -> None:
        """End all waits at a pool, whose instance does not answer, by BackendConnectionLost."""
        for ticket, waiting in list(self._waiting.items()):
            if waiting.instance == pool.instance and not waiting.granted.done():
                pool.cancel(ticket)
                waiting.granted.set_exception(BackendConnectionLost("no answer", sent=False))

    def _still_waiting(self, ticket: int) -> WaitingGrant | None:
        waiting = self._waiting.get(ticket)
        return None if waiting is None or waiting.granted.done() else waiting
