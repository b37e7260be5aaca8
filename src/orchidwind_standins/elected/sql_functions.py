"""The SQL functions of PostgreSQL, and of the stand-in itself, that a session can call."""

from __future__ import annotations

from orchidwind.elected.postgres.executor import SessionParameters
from orchidwind.shared.core.positions import format_lsn
from orchidwind_standins.elected.session_server import SessionServer
from orchidwind_standins.elected.sql_store import SqlFunction


class SessionFunctions:
    """The functions of one session, and the number of its transaction once it has one."""

    def __init__(self, server: SessionServer, parameters: SessionParameters) -> None:
        self._server = server
        self._parameters = parameters
        self._transaction = 0

    def transaction_id(self) -> int:
        """Return the number of the open transaction; it gets one with the first call."""
        if not self._transaction:
            self._transaction = self._server.instance.next_transaction()
        return self._transaction

    def transaction_ended(self) -> None:
        """Forget the number of the transaction that has ended."""
        self._transaction = 0

    def all(self) -> list[SqlFunction]:
        """Return the functions by name, with the number of their arguments."""
        instance = self._server.instance
        return [
            ("pg_is_in_recovery", 0, lambda: int(not instance.is_primary)),
            ("pg_current_wal_lsn", 0, lambda: format_lsn(instance.received.lsn)),
            ("pg_last_wal_receive_lsn", 0, lambda: format_lsn(instance.received.lsn)),
            ("pg_last_wal_replay_lsn", 0, lambda: format_lsn(instance.replayed.lsn)),
            ("standin_activity", 0, self._server.activity),
            ("standin_timeline", 0, lambda: instance.term),
            ("standin_received_timeline", 0, lambda: instance.received.term),
            ("pg_current_xact_id", 0, lambda: str(self.transaction_id())),
            ("pg_xact_status", 1, self._transaction_status),
            ("pg_backend_pid", 0, lambda: id(self) & 0x7FFFFFFF),
            ("version", 0, lambda: "PostgreSQL 15.8 (stand-in)"),
            ("current_schema", 0, lambda: "public"),
            ("current_database", 0, lambda: self._parameters.database),
            ("to_regtype", 1, lambda name: None),
            ("standin_bool", 1, _to_bool),
            ("standin_bytea", 1, _to_bytea),
        ]

    def _transaction_status(self, identifier: str) -> str:
        committed = self._server.instance.committed_transactions
        return "committed" if int(identifier) in committed else "aborted"


def _to_bool(value: object) -> int | None:
    if value is None:
        return None
    return int(str(value).strip().lower() in ("t", "true", "1", "yes", "on"))


def _to_bytea(value: object) -> bytes | None:
    if value is None or isinstance(value, bytes):
        return value
    text = str(value)
    return bytes.fromhex(text[2:]) if text.startswith("\\x") else text.encode()
