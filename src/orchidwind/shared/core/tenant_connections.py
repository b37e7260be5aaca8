"""Tracks the tenant of each server connection of a pool and of each waiting request.

An instance learns the tenant when a connection is opened, so a request runs only on a connection of
its own tenant. Requests and connections without a tenant belong to `NO_TENANT`. No I/O, no clock.

Owns: the tenants of connections and of waiting requests. `pool` decides which connections are
opened and granted.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence

# The tenant of requests from callers that need no API key, and of the proxy's own connections.
NO_TENANT = ""


class TenantConnections:
    """The tenants of the connections and waiting requests of one pool."""

    def __init__(self) -> None:
        self._connection_tenants: dict[int, str] = {}
        self._request_tenants: dict[int, str] = {}

    def connection_opening(self, connection: int, tenant: str) -> None:
        """Record that a connection is being opened for a tenant."""
        self._connection_tenants[connection] = tenant

    def connection_closed(self, connection: int) -> None:
        """Forget a closed connection."""
        self._connection_tenants.pop(connection, None)

    def tenant_of_connection(self, connection: int) -> str:
        """Return the tenant that a connection belongs to."""
        return self._connection_tenants.get(connection, NO_TENANT)

    def tenants_of(self, connections: Collection[int]) -> set[str]:
        """Return the tenants of the given connections."""
        return {self.tenant_of_connection(connection) for connection in connections}

    def last_connection_of(self, tenant: str, connections: Sequence[int]) -> int | None:
        """Return the last of the given connections that belongs to the tenant, or None."""
        for connection in reversed(connections):
            if self.tenant_of_connection(connection) == tenant:
                return connection
        return None

    def request_queued(self, ticket: int, tenant: str) -> None:
        """Record that a request of a tenant waits for a connection."""
        self._request_tenants[ticket] = tenant

    def request_ended(self, ticket: int) -> None:
        """Forget a request that no longer waits."""
        self._request_tenants.pop(ticket, None)

    def tenants_lacking_connections(self, opening: Collection[int]) -> list[str]:
        """Return the tenants of the waiting requests for which no connection is being opened.

        One entry per request, in order of arrival. `opening` are the connections being opened.
        """
        if not self._request_tenants:
            return []
        being_opened = Counter(self.tenant_of_connection(connection) for connection in opening)
        lacking = []
        for tenant in self._request_tenants.values():
            if being_opened[tenant]:
                being_opened[tenant] -= 1
            else:
                lacking.append(tenant)
        return lacking
