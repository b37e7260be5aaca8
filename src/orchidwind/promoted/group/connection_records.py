"""Records of the open server connections of one group.

For each connection: its link, its instance, the start of a running exchange, and when it last
delivered data. Connections have numbers that are never reused. Times are in seconds of the loop's
clock. The pools (`connections`) track whether a connection is idle or held.
"""

from __future__ import annotations

import asyncio

from msgspec import Struct

from orchidwind.promoted.ports import InstanceLink


class ConnectionAges(Struct, frozen=True):
    """Seconds for which a connection has been open and silent; None if unknown."""

    opened_for: float | None = None
    silent_for: float | None = None


class ConnectionRecords:
    """The connections by number, in the order in which they were opened."""

    def __init__(self) -> None:
        self.links: dict[int, InstanceLink] = {}
        self.instance_of: dict[int, str] = {}
        # In the order of their start. An exchange may outlast its connection.
        self.exchange_began_at: dict[int, float] = {}
        self._opened_at: dict[int, float] = {}
        self._delivered_at: dict[int, float] = {}
        self._loop = asyncio.get_running_loop()

    def opened(self, connection: int, instance: str, link: InstanceLink) -> None:
        """Add a connection that was opened."""
        self.links[connection] = link
        self.instance_of[connection] = instance
        self._delivered_at[connection] = self._opened_at[connection] = self._loop.time()

    def close(self, connection: int) -> None:
        """Close a connection and remove its records."""
        link = self.links.pop(connection, None)
        self.instance_of.pop(connection, None)
        self._delivered_at.pop(connection, None)
        self._opened_at.pop(connection, None)
        if link is not None:
            link.close()

    def note_delivered(self, connection: int) -> None:
        """Record that an instance delivered data on a connection."""
        if connection in self.links:
            self._delivered_at[connection] = self._loop.time()

    def silent_since(self, connection: int, since: float) -> bool:
        """Whether a connection, as far as recorded, has delivered nothing since a time."""
        return self._delivered_at.get(connection, since) <= since

    def ages(self, connection: int | None) -> ConnectionAges:
        """The ages of a connection; both None without a connection."""
        if connection is None:
            return ConnectionAges()
        return ConnectionAges(
            self._seconds_since(self._opened_at.get(connection)),
            self._seconds_since(self._delivered_at.get(connection)),
        )

    def _seconds_since(self, at: float | None) -> float | None:
        return None if at is None else self._loop.time() - at

    @property
    def connected_instances(self) -> set[str]:
        """Instances with at least one open connection."""
        return set(self.instance_of.values())
