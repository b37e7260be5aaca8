"""The requests of one group that wait for a server connection.

Assigns their tickets and ends each wait with a connection, a refusal, or an error if the instance
does not answer. The pool (`shared/core/pool`) decides their order and when to refuse. Owns the
counts of refusals by instance and reason.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from itertools import count

from msgspec import Struct

from orchidwind.shared.core.admission import Refusal, RefusalReason
from orchidwind.shared.core.errors import BackendConnectionLost, ErrorKind, RequestError
from orchidwind.shared.core.pool import Grant, InstancePool
from orchidwind.shared.core.tenant_connections import NO_TENANT
from orchidwind.shared.logs import is_power_of_two, log_event


class ConnectionRequest(Struct, frozen=True):
    """A request for a connection to an instance; `granted` is set to the connection's number."""

    ticket: int
    instance: str
    granted: asyncio.Future[int]
    tenant: str = NO_TENANT


class ConnectionRequests:
    """The waiting requests by ticket, in the order of their arrival."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._tickets = count(1)
        self._waiting: dict[int, ConnectionRequest] = {}
        self._refused: dict[str, Counter[RefusalReason]] = {}
        # Called with the reason of each refusal.
        self.on_refused: Callable[[RefusalReason], None] = lambda reason: None

    def add(self, instance: str, tenant: str = NO_TENANT) -> ConnectionRequest:
        """Add a request of a tenant that starts to wait."""
        granted = self._loop.create_future()
        waiting = ConnectionRequest(next(self._tickets), instance, granted, tenant)
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
            self._count(waiting, refusal)
            error = RequestError(
                ErrorKind.OVERLOADED,
                f"too many requests wait: {refusal.reason.value}",
                retry_after_milliseconds=int(refusal.retry_after * 1000),
            )
            waiting.granted.set_exception(error)

    def _count(self, waiting: ConnectionRequest, refusal: Refusal) -> None:
        """Count a refusal by its reason, and log one of ever more."""
        refused = self._refused.setdefault(waiting.instance, Counter())
        refused[refusal.reason] += 1
        self.on_refused(refusal.reason)
        if is_power_of_two(refused[refusal.reason]):
            log_event(
                "request_refused",
                instance=waiting.instance,
                reason=refusal.reason.value,
                tenant=waiting.tenant,
                refused=refused[refusal.reason],
                queued=refusal.expired,
                retry_after=round(refusal.retry_after, 3),
            )

    def refused(self, instance: str) -> dict[str, int]:
        """Return how many requests for an instance were refused, by the names of the reasons."""
        counts = self._refused.get(instance, Counter())
        return {reason.value: number for reason, number in counts.items()}

    def forget(self, instance: str) -> None:
        """Drop the counts of an instance that left long ago."""
        self._refused.pop(instance, None)

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
