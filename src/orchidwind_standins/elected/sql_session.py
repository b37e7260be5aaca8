"""One session of the stand-in database, with PostgreSQL's transactions, settings and errors.

Statements run on the SQLite tables of the instance.
"""

from __future__ import annotations

import asyncio
import re
import sqlite3
from dataclasses import dataclass
from datetime import UTC, datetime

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
from orchidwind_standins.elected.replication import Change
from orchidwind_standins.elected.session_server import SessionServer
from orchidwind_standins.elected.sql_errors import sql_error, sqlite_error
from orchidwind_standins.elected.sql_functions import SessionFunctions
from orchidwind_standins.elected.sql_results import (
    command_tag,
    decode_parameters,
    encode_row,
    text_oid,
    wire_columns,
)
from orchidwind_standins.elected.sql_store import (
    DELETE_CATALOG_TABLE,
    UPSERT_CATALOG_COLUMN,
    changes_catalog,
)
from orchidwind_standins.elected.sql_text import first_word, split_statements
from orchidwind_standins.elected.sql_translation import (
    NOW_MARKER,
    Translated,
    TranslationError,
)
from orchidwind_standins.elected.sql_types import SqlValue

_ROWS_PER_CHUNK = 500
_SLEEP = re.compile(r"^\s*select\s+pg_sleep\(\s*([\d.]+)\s*\)\s*;?\s*$", re.IGNORECASE)
_TIMESTAMP_PRECISION = "microseconds"


@dataclass(frozen=True, slots=True)
class _Savepoint:
    name: str
    changes: int


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
        self._functions = SessionFunctions(server, parameters)
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
            texts = split_statements(statement.sql)
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
                    implicit_transaction and first_word(text) not in _TRANSACTION_COMMANDS
                )
        except RequestError:
            if implicit_transaction:
                self._rollback()
            raise
        if implicit_transaction and self.transaction_status == wire.TRANSACTION_OPEN:
            self._commit()

    async def _run(self, text: str, statement: Statement, sink: ResultSink) -> None:
        word = first_word(text)
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
            values = decode_parameters(translated, statement)
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
        return command_tag(translated, affected)

    async def _sleep_for(self, seconds: float) -> None:
        self._sleep = asyncio.get_running_loop().create_future()
        try:
            await asyncio.wait_for(self._sleep, seconds)
        except TimeoutError:
            return
        finally:
            self._sleep = None
        raise sql_error("57014", "canceling statement due to user request")

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
            raise sqlite_error(error) from error
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
        await sink.columns(wire_columns(translated))
        oids = [column.oid for column in translated.columns]
        for start in range(0, len(rows), _ROWS_PER_CHUNK):
            chunk = rows[start : start + _ROWS_PER_CHUNK]
            try:
                encoded = b"".join(encode_row(oids, result_format, row) for row in chunk)
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
                transaction = self._functions.transaction_id()
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
        self._functions.transaction_ended()
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
        if first_word(sql) == "SHOW":
            return Description(columns=(Column(sql[4:].strip(), text_oid()),))
        if first_word(sql) in _COMMANDS_WITHOUT_RESULT or _SLEEP.match(sql):
            return Description()
        try:
            translated = self._server.store.translator.translate(sql, parameter_types)
        except TranslationError as error:
            raise self._fail_transaction(sql_error("42601", str(error))) from error
        self._check_names(translated)
        return Description(translated.parameter_types, wire_columns(translated))

    def _check_names(self, translated: Translated) -> None:
        """Check table and column names in SQLite, as PostgreSQL does when it parses a statement."""
        try:
            values = [None] * len(translated.parameter_types)
            self._sqlite().execute(f"EXPLAIN {translated.sql}", values)
        except sqlite3.Error as error:
            raise self._fail_transaction(sqlite_error(error)) from error

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
            self._connection = self._server.store.open(self._functions.all())
        return self._connection


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
