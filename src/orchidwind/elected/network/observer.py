"""Queries one database instance for its role, term and log positions.

Used by `status_queries.py`. Owns: one connection as the status user. Relies on: a user that may use
reserved connections and read `pg_stat_wal_receiver` (docs/OPERATIONS.md).
"""

from __future__ import annotations

from dataclasses import dataclass

from orchidwind.elected.network.backend import BackendConnection
from orchidwind.elected.network.connection_target import ConnectionTarget
from orchidwind.shared.core.errors import BackendRefused
from orchidwind.shared.core.positions import Position, parse_lsn

STATUS_QUERY = (
    "SELECT pg_is_in_recovery() AS r,"
    " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn()"
    " ELSE pg_current_wal_lsn() END AS w,"
    " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn()"
    " ELSE pg_current_wal_lsn() END AS p,"
    " (SELECT timeline_id FROM pg_control_checkpoint()) AS t,"
    " (SELECT received_tli FROM pg_stat_wal_receiver) AS g"
)
_PREPARED_NAME = b"s"
_TRUE_TEXTS = ("t", "true", "1")


@dataclass(frozen=True, slots=True)
class InstanceStatusRow:
    """The parsed answer to the status query."""

    in_recovery: bool
    term: int
    received: Position
    replayed_lsn: int


class Observer:
    """A status connection; the status query is prepared once, since it is repeated continually."""

    def __init__(self, connection: BackendConnection) -> None:
        self._connection = connection

    @classmethod
    async def open(cls, target: ConnectionTarget) -> Observer:
        """Connect and prepare the query; raises BackendRefused or BackendConnectionLost."""
        connection = await BackendConnection.open(target, lambda: None)
        try:
            await connection.prepare(_PREPARED_NAME, STATUS_QUERY)
        except BaseException:
            connection.close()
            raise
        return cls(connection)

    @property
    def broken(self) -> bool:
        """Whether the connection is down."""
        return self._connection.broken

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    async def read_status(self) -> InstanceStatusRow:
        """Run the status query; raises BackendConnectionLost or BackendRefused."""
        result = await self._connection.run_prepared(_PREPARED_NAME)
        if result.error is not None:
            raise BackendRefused(result.error.message, result.error.sqlstate)
        try:
            return _read_row(result.first_row)
        except (ValueError, IndexError) as error:
            raise BackendRefused(f"status row not understood: {error}", "XX000") from error


def _read_row(row: tuple[bytes | None, ...]) -> InstanceStatusRow:
    in_recovery, received, replayed, term, received_term = (
        (value or b"").decode() for value in row
    )
    is_replica = in_recovery in _TRUE_TEXTS
    known_term = int(term)
    log_term = int(received_term) if is_replica and received_term else known_term
    return InstanceStatusRow(
        in_recovery=is_replica,
        term=known_term,
        received=Position(log_term, parse_lsn(received)),
        replayed_lsn=parse_lsn(replayed or "0/0"),
    )
