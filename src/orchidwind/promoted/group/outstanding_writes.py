"""The writes of one group that were sent to an instance and are not confirmed yet.

Tracks which server connections carry a write, and when each instance last confirmed one. The start
times of exchanges come from the connections' records. Times are in seconds of the loop's clock.
"""

from __future__ import annotations

from orchidwind.promoted.group.connection_records import ConnectionRecords


class OutstandingWrites:
    """Tracks writes. A write that was sent may be confirmed until its own time limit ends it."""

    def __init__(self, records: ConnectionRecords) -> None:
        self._records = records
        self._connections: set[int] = set()
        self._confirmed_at: dict[str, float] = {}

    def began(self, connection: int) -> None:
        """Record that a write is sent on a connection."""
        self._connections.add(connection)

    def ended(self, connection: int) -> None:
        """Record that the exchange on a connection, a write or not, has ended."""
        self._connections.discard(connection)

    def confirmed(self, instance: str, now: float) -> None:
        """Record that an instance confirmed a write, though it may not be acknowledged yet."""
        self._confirmed_at[instance] = now

    def forget(self, instance: str) -> None:
        """Drop the state of an instance that left long ago."""
        self._confirmed_at.pop(instance, None)

    def waited(self, instance: str, sent_at: float, now: float) -> float:
        """Seconds for which an instance has confirmed no write, since one was sent at `sent_at`.

        If it confirmed a write since, the instance works and the connection is at fault, so the
        time counts from that confirmation.
        """
        return now - max(sent_at, self._confirmed_at.get(instance, float("-inf")))

    def longest_wait(self, instance: str, now: float) -> float:
        """The longest wait, as in `waited`, of a pending write at an instance; 0 without any."""
        records = self._records
        waits = [
            self.waited(instance, since, now)
            for connection, since in records.exchange_began_at.items()
            if connection in self._connections and records.instance_of[connection] == instance
        ]
        return max(waits, default=0.0)

    def reads_at(self, instance: str, began_before: float) -> list[int]:
        """Connections to an instance with an exchange that is no write and began by a time."""
        records = self._records
        return [
            connection
            for connection, began in records.exchange_began_at.items()
            if connection not in self._connections
            and began <= began_before
            and records.instance_of[connection] == instance
        ]
