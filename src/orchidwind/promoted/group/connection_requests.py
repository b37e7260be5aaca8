"""The requests of one group that wait for a server connection.

Assigns their tickets and ends each wait with a connection, a refusal, or an error if the instance
does not answer. The pool (`shared/core/pool`) decides their order and when to refuse.
"""

from __future__ import annotations

import asyncio
from itertools import count

from msgspec import Struct

from orchidwind.shared.core.admission import Refusal
from orchidwind.shared.core.errors import BackendConnectionLost, ErrorKind, RequestError
from orchidwind.shared.core.pool import Grant, InstancePool


class ConnectionRequest(Struct, frozen=True):
    """A request for a connection to an instance; `granted` is set to the connection's number."""

    ticket: int
    instance: str
    granted: asyncio.Future[int]


class ConnectionRequests:
    """The waiting requests by ticket, in the order of their arrival."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._tickets = count(1)
        self._waiting: dict[int, ConnectionRequest] = {}

    def add(self, instance: str) -> ConnectionRequest:
        """Add a request that starts to wait."""
        waiting = ConnectionRequest(next(self._tickets), instance, self._loop.create_future())
        self._waiting[waiting.ticket] = waiting
        return waiting

    def remove(self, ticket: int) -> None:
        """Remove a request that no longer waits."""
        self._waiting.pop(ticket, None)

    def grant(self, grant: Grant) -> bool:
        """Grant a request its connection; returns whether it was still waiting."""
        waiting = self._still_waiting(grant.ticket)
        if waiting is None:
            return False
        waiting.granted.set_result(grant.connection)
        return True

    def refuse(self, refusal: Refusal) -> None:
        """End a wait with RequestError."""
        waiting = self._still_waiting(refusal.ticket)
        if waiting is not None:
            error = RequestError(
                ErrorKind.OVERLOADED,
                "too many requests wait",
                retry_after_milliseconds=int(refusal.retry_after * 1000),
            )
            waiting.granted.set_exception(error)

    def end_waits(self, pool: InstancePool) -> None:
        """End all waits for a pool whose instance does not answer with BackendConnectionLost."""
        for ticket, waiting in list(self._waiting.items()):
            if waiting.instance == pool.instance and not waiting.granted.done():
                pool.cancel(ticket)
                waiting.granted.set_exception(
                    BackendConnectionLost("the instance does not answer", sent=False)
                )

    def _still_waiting(self, ticket: int) -> ConnectionRequest | None:
        waiting = self._waiting.get(ticket)
        return None if waiting is None or waiting.granted.done() else waiting
