"""Which tenant each server connection of a pool belongs to, and which tenants wait for one.

An instance learns the tenant when a connection begins, so a request runs only on a connection of
its tenant. Requests and connections without a tenant are those of `NO_TENANT`. No I/O, no clock.

Owns: the tenants of connections and of waiting requests. Relies on: `pool`, which decides what is
opened and granted.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence

# Where callers need no API key, and for the proxy's own use.
NO_TENANT = ""


class TenantConnections:
    """The tenants in one pool."""

    def __init__(self) -> None:
        self._of_connection: dict[int, str] = {}
        self._of_request: dict[int, str] = {}

    def opening(self, connection: int, tenant: str) -> None:
        """A connection is being opened for a tenant."""
        self._of_connection[connection] = tenant

    def closed(self, connection: int) -> None:
        """A connection is gone."""
        self._of_connection.pop(connection, None)

    def of_connection(self, connection: int) -> str:
        """The tenant that a connection belongs to."""
        return self._of_connection.get(connection, NO_TENANT)

    def among(self, connections: Collection[int]) -> set[str]:
        """The tenants of some connections."""
        return {self.of_connection(connection) for connection in connections}

    def last_of(self, tenant: str, connections: Sequence[int]) -> int | None:
        """The last of some connections that belongs to a tenant."""
        for connection in reversed(connections):
            if self.of_connection(connection) == tenant:
                return connection
        return None

    def waits(self, ticket: int, tenant: str) -> None:
        """A request of a tenant waits."""
        self._of_request[ticket] = tenant

    def of_request(self, ticket: int) -> str:
        """The tenant of a request that waits."""
        return self._of_request.get(ticket, NO_TENANT)

    def ended(self, ticket: int) -> None:
        """A request waits no longer."""
        self._of_request.pop(ticket, None)

    def lacking(self, opening: Collection[int]) -> list[str]:
        """The tenant of each waiting request for which no connection is being opened.

        In the order of the requests' arrival.
        """
        if not self._of_request:
            return []
        under_way = Counter(self.of_connection(connection) for connection in opening)
        lacking = []
        for tenant in self._of_request.values():
            if under_way[tenant]:
                under_way[tenant] -= 1
            else:
                lacking.append(tenant)
        return lacking
