"""One session of the stand-in database, with PostgreSQL's transactions, settings and errors.

Statements run on the SQLite tables of the instance.
"""

from __future__ import annotations

import asyncio
import re
import sqlite3
from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import UTC, datetime

from pg_mimic.types import TEXT

from orchidwind.elected.core.sql_text import space_parameters, tokenize_statements
from orchidwind.elected.postgres import wire
from orchidwind.elected.postgres.executor import (
    Description,
    Executor,
    ResultSink,
    SessionParameters,
    Statement,
)
from orchidwind.elected.postgres.wire import Column, codec
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.core.positions import format_lsn
from orchidwind_standins.elected.replication import Change, Instance
from orchidwind_standins.elected.sql_store import (
    DELETE_CATALOG_TABLE,
    UPSERT_CATALOG_COLUMN,
    SqlFunction,
    SqlStore,
    changes_catalog,
)
from orchidwind_standins.elected.sql_translation import (
    NOW_MARKER,
    Translated,
    TranslationError,
)
from orchidwind_standins.elected.sql_types import (
    TYPE_SIZES,
    SqlValue,
    decode_parameter,
    encode_result,
)

_ROWS_PER_CHUNK = 500
_SLEEP = re.compile(r"^\s*select\s+pg_sleep\(\s*([\d.]+)\s*\)\s*;?\s*$", re.IGNORECASE)
_TIMESTAMP_PRECISION = "microseconds"


class SessionServer(ABC):
    """The interface of an instance to its SQL sessions."""

    instance: Instance
    store: SqlStore
    write_lock: asyncio.Lock

    @abstractmethod
    async def on_request(self, session: SqlSession) -> None:
        """Wait for network latency and partitions before a statement runs."""

    @abstractmethod
    async def on_response(self, session: SqlSession) -> None:
        """Wait for network latency and partitions before the response."""

    @abstractmethod
    def commit(self, transaction: int, changes: list[Change]) -> None:
        """Append a transaction to the log and send it to the replicas."""

    @abstractmethod
    def activity(self) -> str:
        """Return the process id and state of each session, as JSON."""

    @abstractmethod
    def session_closed(self, session: SqlSession) -> None:
        """Remove a session that was closed."""


@dataclass(frozen=True, slots=True)
class _Savepoint:
    name: str
    changes: int


def sql_error(sqlstate: str, message: str) -> RequestError:
    """Return a RequestError for an error that PostgreSQL reports with this SQLSTATE."""
    return RequestError(ErrorKind.STATEMENT_FAILED, message, sqlstate=sqlstate)


class SqlSession(Executor):
    """Runs statements on the SQLite tables of one instance."""

    def __init__(self, server: SessionServer, parameters: SessionParameters) -> None:
        self.parameters = parameters
        self.zone = parameters.application_name.partition("/")[2]
        self.statements = 0
        self._server = server
        self._connection: sqlite3.Connection | None = None
        self._settings: dict[str, str] = {}
        self._changes: list[Change] = []
        self._transaction = 0
        self._sqlite_transaction_open = False
        self._holds_lock = False
        self._savepoints: list[_Savepoint] = []
        self._read_only = False
        self._sleep: asyncio.Future[None] | None = None

    async def execute(self, statement: Statement, sink: ResultSink) -> None:
        """Run one statement, or each statement of a simple query string."""
        await self._server.on_request(self)
        try:
            await self._execute(statement, sink)
        finally:
            await self._server.on_response(self)

    async def _execute(self, statement: Statement, sink: ResultSink) -> None:
        try:
            texts = _split_statements(statement.sql)
        except ValueError as error:
            raise self._fail_transaction(sql_error("42601", str(error))) from error
        if not texts:
            await sink.complete("")
            return
        if len(texts) == 1:
            await self._run(texts[0], statement, sink)
            return
        if not statement.simple:
            raise self._fail_transaction(
                sql_error("42601", "several commands in a prepared statement")
            )
        await self._run_several(texts, statement, sink)

    async def _run_several(self, texts: list[str], statement: Statement, sink: ResultSink) -> None:
        implicit_transaction = self.transaction_status == wire.TRANSACTION_IDLE
        if implicit_transaction:
            self.transaction_status = wire.TRANSACTION_OPEN
        try:
            for text in texts:
                await self._run(text, statement, sink)
                implicit_transaction = (
                    implicit_transaction and _first_word(text) not in _TRANSACTION_COMMANDS
                )
        except RequestError:
            if implicit_transaction:
                self._rollback()
            raise
        if implicit_transaction and self.transaction_status == wire.TRANSACTION_OPEN:
            self._commit()

    async def _run(self, text: str, statement: Statement, sink: ResultSink) -> None:
        word = _first_word(text)
        if self.transaction_status == wire.TRANSACTION_FAILED and word not in _TRANSACTION_ENDS:
            message = "current transaction is aborted, commands ignored until end of transaction"
            raise sql_error("25P02", message)
        try:
            tag = await self._run_control_command(word, text, sink)
            if tag is None:
                tag = await self._run_statement(text, statement, sink)
        except RequestError as error:
            raise self._fail_transaction(error) from error
        await sink.complete(tag)

    def _fail_transaction(self, error: RequestError) -> RequestError:
        if self.transaction_status == wire.TRANSACTION_OPEN:
            self.transaction_status = wire.TRANSACTION_FAILED
            if not self._savepoints:
                self._discard_changes()
        elif self.transaction_status == wire.TRANSACTION_IDLE:
            self._discard_changes()
        return error

    async def _run_control_command(self, word: str, text: str, sink: ResultSink) -> str | None:
        """Run a transaction control or settings command.

        Returns the command tag, or None if the statement is another one.
        """
        if word in ("BEGIN", "START"):
            self.transaction_status = wire.TRANSACTION_OPEN
            self._read_only = "READ ONLY" in text.upper()
            return "BEGIN"
        if word in ("COMMIT", "END"):
            failed = self.transaction_status == wire.TRANSACTION_FAILED
            if failed:
                self._rollback()
                return "ROLLBACK"
            self._commit()
            return "COMMIT"
        if word in ("ROLLBACK", "ABORT") and " TO " not in f" {text.upper()} ":
            self._rollback()
            return "ROLLBACK"
        if word in ("SAVEPOINT", "RELEASE", "ROLLBACK"):
            return await self._run_savepoint_command(word, text)
        return await self._run_setting_command(word, text, sink)

    async def _run_setting_command(self, word: str, text: str, sink: ResultSink) -> str | None:
        if word == "SET":
            name, _, value = text[3:].replace("=", " ").strip().partition(" ")
            value = re.sub(r"^\s*to\s+", "", value.strip(), flags=re.IGNORECASE)
            self._settings[name.lower()] = value.strip().strip("'")
            return "SET"
        if word in ("RESET", "DISCARD", "DEALLOCATE", "UNLISTEN", "CLOSE"):
            if text.upper().endswith("ALL"):
                self._settings.clear()
            return f"{word} ALL" if word in ("DISCARD", "DEALLOCATE") else word
        if word == "SHOW":
            name = text[4:].strip().lower()
            value = self._settings.get(name, _DEFAULT_SETTINGS.get(name, ""))
            await sink.columns((Column(name.replace(" ", "_"), text_oid()),))
            await sink.rows(codec.make_data_row([value.encode()]), 1)
            return "SHOW"
        if word == "COPY":
            raise RequestError(ErrorKind.NOT_SUPPORTED, "COPY is not supported")
        return None

    async def _run_savepoint_command(self, word: str, text: str) -> str:
        if self.transaction_status == wire.TRANSACTION_IDLE:
            raise sql_error("25P01", f"{word} can only be used in transaction blocks")
        name = text.split()[-1]
        if word == "SAVEPOINT":
            await self._begin_write()
            self._savepoints.append(_Savepoint(name, len(self._changes)))
            self._sqlite().execute(f"SAVEPOINT {name}")
            return "SAVEPOINT"
        matching = [index for index, point in enumerate(self._savepoints) if point.name == name]
        if not matching:
            raise sql_error("3B001", f'savepoint "{name}" does not exist')
        index = matching[-1]
        if word == "RELEASE":
            del self._savepoints[index:]
            self._sqlite().execute(f"RELEASE {name}")
            return "RELEASE"
        del self._changes[self._savepoints[index].changes :]
        del self._savepoints[index + 1 :]
        self._sqlite().execute(f"ROLLBACK TO {name}")
        self.transaction_status = wire.TRANSACTION_OPEN
        return "ROLLBACK"

    async def _run_statement(self, text: str, statement: Statement, sink: ResultSink) -> str:
        sleep = _SLEEP.match(text)
        if sleep:
            await self._sleep_for(float(sleep.group(1)))
            return "SELECT 1"
        try:
            translated = self._server.store.translator.translate(text, statement.parameter_types)
            values = _decode_parameters(translated, statement)
        except TranslationError as error:
            raise sql_error("42601", str(error)) from error
        except (ValueError, ArithmeticError) as error:
            raise sql_error("22P02", f"invalid input value: {error}") from error
        if translated.writes:
            await self._begin_write()
        rows, affected = self._run_on_sqlite(translated, values)
        if translated.columns:
            await self._send_rows(translated, rows, statement.result_format, sink)
        if translated.writes and self.transaction_status == wire.TRANSACTION_IDLE:
            self._commit()
        return _command_tag(translated, affected)

    async def _sleep_for(self, seconds: float) -> None:
        self._sleep = asyncio.get_running_loop().create_future()
        try:
            await asyncio.wait_for(self._sleep, seconds)
        except TimeoutError:
            return
        finally:
            self._sleep = None
        raise RequestError(
            ErrorKind.STATEMENT_FAILED,
            "canceling statement due to user request",
            sqlstate="57014",
        )

    async def _begin_write(self) -> None:
        if self._sqlite_transaction_open:
            return
        if self._read_only:
            raise sql_error("25006", "cannot execute this in a read-only transaction")
        if not self._server.instance.is_primary:
            raise sql_error("25006", "cannot execute this during recovery")
        await self._server.write_lock.acquire()
        self._holds_lock = True
        if not self._server.instance.is_primary:
            self._release_lock()
            raise sql_error("57P01", "the instance is no longer the primary")
        self._sqlite().execute("BEGIN IMMEDIATE")
        self._sqlite_transaction_open = True

    def _run_on_sqlite(
        self, translated: Translated, values: list[SqlValue]
    ) -> tuple[list[tuple[SqlValue, ...]], int]:
        sql = translated.sql
        if NOW_MARKER in sql:
            timestamp = datetime.now(UTC).isoformat(sep=" ", timespec=_TIMESTAMP_PRECISION)
            sql = sql.replace(NOW_MARKER, f"'{timestamp}'")
        try:
            cursor = self._sqlite().execute(sql, values)
            rows = cursor.fetchall()
        except sqlite3.Error as error:
            raise _sqlite_error(error) from error
        if translated.writes:
            self._record(Change(sql, tuple(values)), translated)
        return rows, len(rows) if translated.columns else max(cursor.rowcount, 0)

    def _record(self, change: Change, translated: Translated) -> None:
        self._changes.append(change)
        for declared in translated.catalog:
            self._change_catalog(Change(UPSERT_CATALOG_COLUMN, declared))
        if translated.dropped:
            self._change_catalog(Change(DELETE_CATALOG_TABLE, (translated.dropped,)))

    def _change_catalog(self, change: Change) -> None:
        self._sqlite().execute(change.statement, change.parameters)
        self._changes.append(change)

    async def _send_rows(
        self,
        translated: Translated,
        rows: list[tuple[SqlValue, ...]],
        result_format: int,
        sink: ResultSink,
    ) -> None:
        await sink.columns(_wire_columns(translated))
        oids = [column.oid for column in translated.columns]
        for start in range(0, len(rows), _ROWS_PER_CHUNK):
            chunk = rows[start : start + _ROWS_PER_CHUNK]
            try:
                encoded = b"".join(_encode_row(oids, result_format, row) for row in chunk)
            except (ValueError, TypeError) as error:
                raise sql_error("22P03", f"cannot encode a value: {error}") from error
            await sink.rows(encoded, len(chunk))
            # Yields to the event loop, so that heartbeats and status queries are not delayed by a
            # long result. In PostgreSQL, a process per session ensures that.
            await asyncio.sleep(0)

    def _commit(self) -> None:
        if self._sqlite_transaction_open:
            self._sqlite().execute("COMMIT")
            self._sqlite_transaction_open = False
            if self._changes:
                transaction = self._transaction or self._server.instance.next_transaction()
                changes, self._changes = self._changes, []
                self._server.commit(transaction, changes)
                if changes_catalog(changes):
                    self._server.store.reload_catalog()
        self._end_transaction()

    def _rollback(self) -> None:
        self._discard_changes()
        self._end_transaction()

    def _discard_changes(self) -> None:
        if self._sqlite_transaction_open:
            self._sqlite().execute("ROLLBACK")
            self._sqlite_transaction_open = False
        self._changes.clear()
        self._release_lock()

    def _end_transaction(self) -> None:
        self.transaction_status = wire.TRANSACTION_IDLE
        self._savepoints.clear()
        self._transaction = 0
        self._read_only = False
        self._release_lock()

    def _release_lock(self) -> None:
        if self._holds_lock:
            self._holds_lock = False
            self._server.write_lock.release()

    async def describe(self, sql: str, parameter_types: tuple[int, ...]) -> Description:
        """Return the parameter and column types of a statement; raises RequestError."""
        await self._server.on_request(self)
        try:
            return self._description(sql, parameter_types)
        finally:
            await self._server.on_response(self)

    def _description(self, sql: str, parameter_types: tuple[int, ...]) -> Description:
        if _first_word(sql) == "SHOW":
            return Description(columns=(Column(sql[4:].strip(), text_oid()),))
        if _first_word(sql) in _COMMANDS_WITHOUT_RESULT or _SLEEP.match(sql):
            return Description()
        try:
            translated = self._server.store.translator.translate(sql, parameter_types)
        except TranslationError as error:
            raise self._fail_transaction(sql_error("42601", str(error))) from error
        self._check_names(translated)
        return Description(translated.parameter_types, _wire_columns(translated))

    def _check_names(self, translated: Translated) -> None:
        """Check table and column names in SQLite, as PostgreSQL does when it parses a statement."""
        try:
            values = [None] * len(translated.parameter_types)
            self._sqlite().execute(f"EXPLAIN {translated.sql}", values)
        except sqlite3.Error as error:
            raise self._fail_transaction(_sqlite_error(error)) from error

    def cancel(self) -> None:
        """Interrupt a running `pg_sleep`; other statements end by themselves."""
        if self._sleep is not None and not self._sleep.done():
            self._sleep.set_result(None)

    def mark_failed(self) -> None:
        """Mark an open transaction as failed after an error of the protocol layer."""
        if self.transaction_status == wire.TRANSACTION_OPEN:
            self.transaction_status = wire.TRANSACTION_FAILED

    async def close(self) -> None:
        """Roll back an open transaction and close the SQLite connection."""
        self._discard_changes()
        if self._connection is not None:
            self._connection.close()
            self._connection = None
        self._server.session_closed(self)

    def _sqlite(self) -> sqlite3.Connection:
        if self._connection is None:
            self._connection = self._server.store.open(self._functions())
        return self._connection

    def _functions(self) -> list[SqlFunction]:
        instance = self._server.instance
        return [
            ("pg_is_in_recovery", 0, lambda: int(not instance.is_primary)),
            ("pg_current_wal_lsn", 0, self._current_lsn),
            ("pg_last_wal_receive_lsn", 0, lambda: format_lsn(instance.received.lsn)),
            ("pg_last_wal_replay_lsn", 0, lambda: format_lsn(instance.replayed.lsn)),
            ("standin_activity", 0, self._server.activity),
            ("standin_timeline", 0, lambda: instance.term),
            ("standin_received_timeline", 0, lambda: instance.received.term),
            ("pg_current_xact_id", 0, self._current_xact_id),
            ("pg_xact_status", 1, self._xact_status),
            ("pg_backend_pid", 0, lambda: id(self) & 0x7FFFFFFF),
            ("version", 0, lambda: "PostgreSQL 15.8 (stand-in)"),
            ("current_schema", 0, lambda: "public"),
            ("current_database", 0, lambda: self.parameters.database),
            ("to_regtype", 1, lambda name: None),
            ("standin_bool", 1, _to_bool),
            ("standin_bytea", 1, _to_bytea),
        ]

    def _current_lsn(self) -> str:
        return format_lsn(self._server.instance.received.lsn)

    def _current_xact_id(self) -> str:
        if not self._transaction:
            self._transaction = self._server.instance.next_transaction()
        return str(self._transaction)

    def _xact_status(self, identifier: str) -> str:
        committed = self._server.instance.committed_transactions
        return "committed" if int(identifier) in committed else "aborted"


_TRANSACTION_COMMANDS = frozenset(("BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT"))
_TRANSACTION_ENDS = frozenset(("COMMIT", "END", "ROLLBACK", "ABORT"))
_COMMANDS_WITHOUT_RESULT = _TRANSACTION_COMMANDS | frozenset(
    ("SAVEPOINT", "RELEASE", "SET", "RESET", "DISCARD", "DEALLOCATE", "UNLISTEN", "CLOSE", "")
)
_DEFAULT_SETTINGS = {
    "transaction isolation level": "read committed",
    "transaction_isolation": "read committed",
    "standard_conforming_strings": "on",
    "server_version": "15.8",
    "timezone": "UTC",
    "search_path": '"$user", public',
}


def text_oid() -> int:
    """Return the type OID of text."""
    return int(TEXT)


def _first_word(text: str) -> str:
    stripped = text.lstrip()
    match = re.match(r"[A-Za-z]+", stripped)
    return match.group().upper() if match else ""


def _decode_parameters(translated: Translated, statement: Statement) -> list[SqlValue]:
    if len(statement.parameters) != len(translated.parameter_types):
        raise sql_error(
            "08P01",
            f"bind message supplies {len(statement.parameters)} parameters, but the statement"
            f" requires {len(translated.parameter_types)}",
        )
    return [
        decode_parameter(oid, wire.format_code(statement.parameter_formats, index), data)
        for index, (oid, data) in enumerate(
            zip(translated.parameter_types, statement.parameters, strict=True)
        )
    ]


def _wire_columns(translated: Translated) -> tuple[Column, ...]:
    return tuple(
        Column(column.name, column.oid, TYPE_SIZES.get(column.oid, -1))
        for column in translated.columns
    )


def _encode_row(oids: list[int], result_format: int, row: tuple[SqlValue, ...]) -> bytes:
    values = [encode_result(oid, result_format, v) for oid, v in zip(oids, row, strict=True)]
    return bytes(codec.make_data_row(values))


def _command_tag(translated: Translated, affected: int) -> str:
    if translated.command == "INSERT":
        return f"INSERT 0 {affected}"
    if translated.command in ("SELECT", "UPDATE", "DELETE"):
        return f"{translated.command} {affected}"
    return translated.command


def _sqlite_error(error: sqlite3.Error) -> RequestError:
    text = str(error)
    if "UNIQUE constraint" in text:
        return sql_error("23505", f"duplicate key value violates unique constraint ({text})")
    if "NOT NULL constraint" in text:
        return sql_error("23502", f"null value violates not-null constraint ({text})")
    if "constraint" in text:
        return sql_error("23514", text)
    if "no such table" in text:
        return sql_error("42P01", f'relation "{text.rpartition(" ")[2]}" does not exist')
    if "already exists" in text:
        return sql_error("42P07", text)
    if "no such column" in text or "has no column named" in text:
        return sql_error("42703", text)
    if "no such function" in text:
        return sql_error("42883", text)
    return sql_error("42601", text)


def _to_bool(value: object) -> int | None:
    if value is None:
        return None
    return int(str(value).strip().lower() in ("t", "true", "1", "yes", "on"))


def _to_bytea(value: object) -> bytes | None:
    if value is None or isinstance(value, bytes):
        return value
    text = str(value)
    return bytes.fromhex(text[2:]) if text.startswith("\\x") else text.encode()


def _split_statements(sql: str) -> list[str]:
    """Split a query string into statements; raises ValueError if it cannot be tokenized."""
    spaced = space_parameters(sql)
    statements = tokenize_statements(spaced)
    return [spaced[statement[0].start : statement[-1].end + 1] for statement in statements]
