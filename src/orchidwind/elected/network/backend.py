"""One connection to a database instance: libpq, non-blocking, on the event loop.

Values pass through as the raw bytes of the result. Large results are taken in chunks, so that
memory stays flat.
"""

from __future__ import annotations

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

import psycopg
from psycopg import pq
from psycopg.pq.abc import PGconn, PGresult

from orchidwind.elected.core.statements import Column, Description, RunResult, Statement
from orchidwind.elected.postgres.wire import codec
from orchidwind.shared.core.errors import (
    BackendConnectionLost,
    BackendRefused,
    ErrorKind,
    RequestError,
)
from orchidwind.shared.sockets import (
    KEEPALIVE_IDLE_SECONDS,
    KEEPALIVE_INTERVAL_SECONDS,
    KEEPALIVE_PROBES,
    USER_TIMEOUT_MILLISECONDS,
)

# Chosen: rows of a result that libpq holds at once.
_ROWS_A_CHUNK = 256
_STATUS_BYTES = {
    pq.TransactionStatus.IDLE: b"I",
    pq.TransactionStatus.ACTIVE: b"T",
    pq.TransactionStatus.INTRANS: b"T",
    pq.TransactionStatus.INERROR: b"E",
    pq.TransactionStatus.UNKNOWN: b"E",
}
_ROW_STATUSES = (pq.ExecStatus.TUPLES_OK, pq.ExecStatus.TUPLES_CHUNK)
_COPY_STATUSES = (pq.ExecStatus.COPY_IN, pq.ExecStatus.COPY_OUT, pq.ExecStatus.COPY_BOTH)
_TOO_MANY_CONNECTIONS = "53300"
# libpq gives no SQLSTATE of a refused connection, so the server's words must do.
_LIMIT_WORDS = ("too many clients", "connection slots", "too many connections")


class AnswerPort(ABC):
    """Where the rows of an answer go while it runs."""

    @abstractmethod
    async def columns(self, columns: tuple[Column, ...]) -> None:
        """The columns of a result."""

    @abstractmethod
    async def rows(self, encoded: bytes, count: int) -> None:
        """Encoded rows; returns when more may come."""

    @abstractmethod
    async def tag(self, command_tag: str) -> None:
        """A statement before the last of a query string ended."""

    @abstractmethod
    def still_running(self) -> None:
        """The statement runs past its deadline, and is let run."""


@dataclass(frozen=True, slots=True)
class ConnectionTarget:
    """Where and as whom to connect."""

    host: str
    port: int
    database: str
    user: str
    password: str
    application_name: str

    def conninfo(self) -> bytes:
        """The connection string of libpq."""
        fields = {
            "hostaddr": self.host,
            "port": str(self.port),
            "dbname": self.database,
            "user": self.user,
            "password": self.password,
            "application_name": self.application_name,
            "sslmode": "disable",
            "gssencmode": "disable",
            "client_encoding": "UTF8",
            "keepalives": "1",
            "keepalives_idle": str(KEEPALIVE_IDLE_SECONDS),
            "keepalives_interval": str(KEEPALIVE_INTERVAL_SECONDS),
            "keepalives_count": str(KEEPALIVE_PROBES),
            "tcp_user_timeout": str(USER_TIMEOUT_MILLISECONDS),
        }
        return " ".join(f"{name}='{_escape(value)}'" for name, value in fields.items()).encode()


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace("'", "\\'")


class BackendConnection:
    """An open connection; runs one statement at a time."""

    def __init__(self, connection: PGconn, on_lost: Callable[[], None]) -> None:
        self._connection = connection
        self._on_lost = on_lost
        self._loop = asyncio.get_running_loop()
        self._socket = connection.socket
        self._readable: asyncio.Future[None] | None = None
        self._closed = False
        # When the socket was last readable, and opened; steady clock, seconds.
        self.opened_at = self.heard_at = self._loop.time()
        self._loop.add_reader(self._socket, self._on_readable)

    @classmethod
    async def open(cls, target: ConnectionTarget, on_lost: Callable[[], None]) -> BackendConnection:
        """Connect; raises BackendRefused. `on_lost` is called if it breaks while idle."""
        connection = pq.PGconn.connect_start(target.conninfo())
        try:
            await _poll_until_done(connection)
        except BaseException:
            connection.finish()
            raise
        connection.nonblocking = 1
        return cls(connection, on_lost)

    @property
    def broken(self) -> bool:
        """Whether libpq knows that the connection is down."""
        return self._closed or self._connection.status == pq.ConnStatus.BAD

    @property
    def backend(self) -> int:
        """The id of the process that serves the connection in the database."""
        return self._connection.backend_pid

    def close(self) -> None:
        """Close the socket; the database rolls back what was open."""
        if self._closed:
            return
        self._closed = True
        self._loop.remove_reader(self._socket)
        if self._readable is not None and not self._readable.done():
            self._readable.set_exception(BackendConnectionLost("closed", sent=True))
        self._connection.finish()

    async def run(self, statement: Statement, port: AnswerPort | None) -> RunResult:
        """Run a statement and pass its rows on; raises BackendConnectionLost."""
        self._send(statement)
        result = RunResult()
        try:
            while (part := await self._next_result()) is not None:
                await self._take_part(part, result, port)
                part.clear()
        except BackendConnectionLost as lost:
            lost.delivered = result.delivered
            raise
        result.transaction_status = _STATUS_BYTES[
            pq.TransactionStatus(self._connection.transaction_status)
        ]
        return result

    async def prepare(self, name: bytes, sql: str) -> None:
        """Prepare a statement under a name; raises BackendRefused where it is wrong."""
        self._start(lambda: self._connection.send_prepare(name, sql.encode()))
        while (part := await self._next_result()) is not None:
            error = self._error(part)
            if error is not None:
                raise BackendRefused(error.message, error.sqlstate)

    async def run_prepared(self, name: bytes) -> RunResult:
        """Run a prepared statement without parameters and keep its first row."""
        self._start(lambda: self._connection.send_query_prepared(name, None))
        result = RunResult()
        while (part := await self._next_result()) is not None:
            await self._take_part(part, result, None)
        return result

    async def describe(self, statement: Statement) -> RunResult:
        """Tell the types of a statement, by the unnamed prepared statement."""
        result = RunResult()
        self._start(
            lambda: self._connection.send_prepare(
                b"", statement.sql.encode(), list(statement.parameter_types)
            )
        )
        while (part := await self._next_result()) is not None:
            result.error = result.error or self._error(part)
        if result.error is None:
            self._start(lambda: self._connection.send_describe_prepared(b""))
            while (part := await self._next_result()) is not None:
                result.error = result.error or self._error(part)
                result.description = _description(part)
        result.transaction_status = _STATUS_BYTES[
            pq.TransactionStatus(self._connection.transaction_status)
        ]
        return result

    async def cancel(self) -> None:
        """Ask the database to cancel what runs; returns when the request has been taken."""
        request = self._connection.cancel_conn()
        try:
            request.start()
            while (state := request.poll()) != pq.PollingStatus.OK:
                if state == pq.PollingStatus.FAILED:
                    return  # as below
                await _wait_socket(request.socket, writable=state == pq.PollingStatus.WRITING)
        except psycopg.Error:
            return  # a cancel promises nothing: the statement's own connection tells how it ends
        finally:
            request.finish()

    def _send(self, statement: Statement) -> None:
        sql = statement.sql.encode()
        if statement.simple:
            self._start(lambda: self._connection.send_query(sql))
        else:
            self._start(lambda: self._send_parameters(sql, statement))
        self._connection.set_chunked_rows_mode(_ROWS_A_CHUNK)

    def _send_parameters(self, sql: bytes, statement: Statement) -> None:
        count = len(statement.parameters)
        formats = statement.parameter_formats
        if len(formats) == 1:
            formats = formats * count
        types = statement.parameter_types[:count]
        self._connection.send_query_params(
            sql,
            list(statement.parameters),
            param_types=list(types) + [0] * (count - len(types)) if types else None,
            param_formats=[pq.Format(code) for code in formats] if formats else None,
            result_format=statement.result_format,
        )

    def _start(self, send: Callable[[], None]) -> None:
        """Send; `sent` is False only where the connection was known to be down before."""
        if self.broken:
            raise BackendConnectionLost("the connection is down", sent=False)
        try:
            send()
            self._connection.flush()
        except psycopg.Error as error:
            raise BackendConnectionLost(str(error), sent=True) from error

    async def _next_result(self) -> PGresult | None:
        try:
            while self._connection.is_busy():
                if self._connection.flush():
                    await _wait_socket(self._socket, writable=True)
                await self._wait_readable()
                self._connection.consume_input()
            part = self._connection.get_result()
        except psycopg.Error as error:
            raise BackendConnectionLost(str(error), sent=True) from error
        if part is not None and self._connection.status == pq.ConnStatus.BAD:
            raise BackendConnectionLost(part.error_message.decode(errors="replace"), sent=True)
        return part

    async def _wait_readable(self) -> None:
        if self._closed:
            raise BackendConnectionLost("closed", sent=True)
        self._readable = self._loop.create_future()
        try:
            await self._readable
        finally:
            self._readable = None

    def _on_readable(self) -> None:
        self.heard_at = self._loop.time()
        if self._readable is not None:
            if not self._readable.done():
                self._readable.set_result(None)
            return
        if self._connection.transaction_status == pq.TransactionStatus.ACTIVE:
            return
        self._check_idle()

    def _check_idle(self) -> None:
        """Input without a statement: a notice, or the end of the connection."""
        with contextlib.suppress(psycopg.Error):
            self._connection.consume_input()
        if self._connection.status == pq.ConnStatus.BAD and not self._closed:
            self.close()
            self._on_lost()

    async def _take_part(self, part: PGresult, result: RunResult, port: AnswerPort | None) -> None:
        if part.status in _COPY_STATUSES:
            self.close()
            raise BackendConnectionLost("COPY is not supported", sent=True)
        error = self._error(part)
        if error is not None:
            result.error = result.error or error
            return
        if part.status in _ROW_STATUSES:
            await self._take_rows(part, result, port)
        # libpq puts the tag on whichever part it had in hand when CommandComplete came.
        tag = (part.command_status or b"").decode()
        if part.status == pq.ExecStatus.TUPLES_CHUNK:
            result.chunk_tag = tag or result.chunk_tag
            return
        await self._take_tag(tag or result.chunk_tag, result, port)
        result.chunk_tag = ""

    async def _take_tag(self, tag: str, result: RunResult, port: AnswerPort | None) -> None:
        """Hold the newest tag back: the caller sees the last one only once the outcome is known."""
        await self._pass_held_tag(result, port)
        result.tag = tag
        result.tag_held = True

    async def _pass_held_tag(self, result: RunResult, port: AnswerPort | None) -> None:
        if result.tag_held and port is not None:
            result.delivered = True
            await port.tag(result.tag)
        result.tag_held = False

    async def _take_rows(self, part: PGresult, result: RunResult, port: AnswerPort | None) -> None:
        if port is None:
            if part.ntuples and not result.first_row:
                result.first_row = tuple(_row_values(part, 0))
            return
        result.delivered = True
        if not result.columns_sent:
            await self._pass_held_tag(result, port)
            await port.columns(_columns(part))
        result.columns_sent = part.status == pq.ExecStatus.TUPLES_CHUNK
        if part.ntuples:
            rows = (codec.make_data_row(_row_values(part, row)) for row in range(part.ntuples))
            await port.rows(b"".join(rows), part.ntuples)

    def _error(self, part: PGresult) -> RequestError | None:
        if part.status not in (pq.ExecStatus.FATAL_ERROR, pq.ExecStatus.BAD_RESPONSE):
            return None
        return _request_error(part)


def _row_values(part: PGresult, row: int) -> list[bytes | None]:
    return [part.get_value(row, column) for column in range(part.nfields)]


def _columns(part: PGresult) -> tuple[Column, ...]:
    return tuple(
        Column(
            (part.fname(index) or b"").decode(),
            part.ftype(index),
            part.fsize(index),
            part.fmod(index),
            part.ftable(index),
            part.ftablecol(index),
        )
        for index in range(part.nfields)
    )


def _description(part: PGresult) -> Description:
    types = tuple(part.param_type(index) for index in range(part.nparams))
    return Description(types, _columns(part))


def _request_error(part: PGresult) -> RequestError:
    def read(name: pq.DiagnosticField) -> str:
        return (part.error_field(name) or b"").decode(errors="replace")

    return RequestError(
        ErrorKind.STATEMENT_FAILED,
        read(pq.DiagnosticField.MESSAGE_PRIMARY) or part.error_message.decode(errors="replace"),
        sqlstate=read(pq.DiagnosticField.SQLSTATE) or None,
        detail=read(pq.DiagnosticField.MESSAGE_DETAIL),
    )


async def _poll_until_done(connection: PGconn) -> None:
    while True:
        state = connection.connect_poll()
        if state == pq.PollingStatus.OK:
            return
        if state == pq.PollingStatus.FAILED:
            message = connection.get_error_message()
            met = any(words in message for words in _LIMIT_WORDS)
            raise BackendRefused(message, _TOO_MANY_CONNECTIONS if met else "08001")
        await _wait_socket(connection.socket, writable=state == pq.PollingStatus.WRITING)


async def _wait_socket(number: int, *, writable: bool) -> None:
    """Wait until a socket may be read or written."""
    loop = asyncio.get_running_loop()
    ready: asyncio.Future[None] = loop.create_future()

    def wake() -> None:
        if not ready.done():
            ready.set_result(None)

    if writable:
        loop.add_writer(number, wake)
    else:
        loop.add_reader(number, wake)
    try:
        await ready
    finally:
        if writable:
            loop.remove_writer(number)
        else:
            loop.remove_reader(number)
