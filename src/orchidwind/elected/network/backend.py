"""One connection to a database instance: non-blocking libpq on the event loop.

Owns the socket and the order of sending and reading; `backend_answer.py` reads the parts of an
answer. Values are passed through as the raw bytes of the result. Large results are read in chunks,
so that memory use stays bounded.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import psycopg
from psycopg import pq
from psycopg.pq.abc import PGconn, PGresult

from orchidwind.elected.core.statements import RunResult, Statement
from orchidwind.elected.network.answer_port import AnswerPort
from orchidwind.elected.network.backend_answer import AnswerReader, description_of, error_of
from orchidwind.elected.network.connection_target import ConnectionTarget
from orchidwind.shared.core.errors import BackendConnectionLost, BackendRefused

# The maximum number of rows of a result that libpq holds at once.
_ROWS_PER_CHUNK = 256
_STATUS_BYTES = {
    pq.TransactionStatus.IDLE: b"I",
    pq.TransactionStatus.ACTIVE: b"T",
    pq.TransactionStatus.INTRANS: b"T",
    pq.TransactionStatus.INERROR: b"E",
    pq.TransactionStatus.UNKNOWN: b"E",
}
_COPY_STATUSES = (pq.ExecStatus.COPY_IN, pq.ExecStatus.COPY_OUT, pq.ExecStatus.COPY_BOTH)
_TOO_MANY_CONNECTIONS = "53300"
# libpq reports no SQLSTATE for a refused connection, so the server's message is matched instead.
_LIMIT_MESSAGES = ("too many clients", "connection slots", "too many connections")


class BackendConnection:
    """An open connection to an instance; runs one statement at a time."""

    def __init__(self, connection: PGconn, on_lost: Callable[[], None]) -> None:
        self._connection = connection
        self._on_lost = on_lost
        self._loop = asyncio.get_running_loop()
        self._socket = connection.socket
        self._readable: asyncio.Future[None] | None = None
        self._closed = False
        # When the connection was opened and when its socket was last readable: seconds of the
        # monotonic clock.
        self.opened_at = self.last_bytes_at = self._loop.time()
        self._loop.add_reader(self._socket, self._on_readable)

    @classmethod
    async def open(cls, target: ConnectionTarget, on_lost: Callable[[], None]) -> BackendConnection:
        """Connect to an instance; raises BackendRefused.

        `on_lost` is called if the connection breaks while idle.
        """
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
        """Whether the connection was closed or libpq has detected that it is down."""
        return self._closed or self._connection.status == pq.ConnStatus.BAD

    @property
    def backend_pid(self) -> int:
        """The id of the database process that serves the connection."""
        return self._connection.backend_pid

    def close(self) -> None:
        """Close the socket; the database rolls back an open transaction."""
        if self._closed:
            return
        self._closed = True
        self._loop.remove_reader(self._socket)
        if self._readable is not None and not self._readable.done():
            self._readable.set_exception(BackendConnectionLost("closed", sent=True))
        self._connection.finish()

    async def run(self, statement: Statement, port: AnswerPort | None) -> RunResult:
        """Run a statement and send its rows to `port`; raises BackendConnectionLost."""
        self._send(statement)
        answer = AnswerReader(port)
        try:
            while (part := await self._next_result()) is not None:
                self._refuse_copy(part)
                await answer.add_part(part)
                part.clear()
        except BackendConnectionLost as lost:
            lost.delivered = answer.result.delivered
            raise
        answer.result.transaction_status = self._transaction_status()
        return answer.result

    async def prepare(self, name: bytes, sql: str) -> None:
        """Prepare a named statement.

        Raises BackendRefused if the database rejects the statement, BackendConnectionLost if the
        connection breaks.
        """
        self._start(lambda: self._connection.send_prepare(name, sql.encode()))
        while (part := await self._next_result()) is not None:
            error = error_of(part)
            if error is not None:
                raise BackendRefused(error.message, error.sqlstate)

    async def run_prepared(self, name: bytes) -> RunResult:
        """Run a prepared statement without parameters; the result holds only its first row."""
        self._start(lambda: self._connection.send_query_prepared(name, None))
        answer = AnswerReader(None)
        while (part := await self._next_result()) is not None:
            self._refuse_copy(part)
            await answer.add_part(part)
        return answer.result

    async def describe(self, statement: Statement) -> RunResult:
        """Return the types of a statement, determined with the unnamed prepared statement."""
        result = RunResult()
        self._start(
            lambda: self._connection.send_prepare(
                b"", statement.sql.encode(), list(statement.parameter_types)
            )
        )
        while (part := await self._next_result()) is not None:
            result.error = result.error or error_of(part)
        if result.error is None:
            self._start(lambda: self._connection.send_describe_prepared(b""))
            while (part := await self._next_result()) is not None:
                result.error = result.error or error_of(part)
                result.description = description_of(part)
        result.transaction_status = self._transaction_status()
        return result

    async def cancel(self) -> None:
        """Request cancellation of the running statement; returns once the database accepted it."""
        request = self._connection.cancel_conn()
        try:
            request.start()
            while (state := request.poll()) != pq.PollingStatus.OK:
                if state == pq.PollingStatus.FAILED:
                    return  # ignored, as is psycopg.Error below
                await _wait_socket(request.socket, writable=state == pq.PollingStatus.WRITING)
        except psycopg.Error:
            # Cancelling is best effort: the outcome arrives on the statement's own connection.
            return
        finally:
            request.finish()

    def _transaction_status(self) -> bytes:
        return _STATUS_BYTES[pq.TransactionStatus(self._connection.transaction_status)]

    def _refuse_copy(self, part: PGresult) -> None:
        """Close the connection if it entered COPY mode, from which it can't return to idle."""
        if part.status in _COPY_STATUSES:
            self.close()
            raise BackendConnectionLost("COPY is not supported", sent=True)

    def _send(self, statement: Statement) -> None:
        sql = statement.sql.encode()
        if statement.simple:
            self._start(lambda: self._connection.send_query(sql))
        else:
            self._start(lambda: self._send_parameters(sql, statement))
        self._connection.set_chunked_rows_mode(_ROWS_PER_CHUNK)

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
        """Send a command; raises BackendConnectionLost.

        Its `sent` is False only if the connection was known to be down before sending.
        """
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
        self.last_bytes_at = self._loop.time()
        if self._readable is not None:
            if not self._readable.done():
                self._readable.set_result(None)
            return
        if self._connection.transaction_status == pq.TransactionStatus.ACTIVE:
            return
        self._check_idle()

    def _check_idle(self) -> None:
        """Read input that arrives without a running statement: a notice or the connection's end."""
        with contextlib.suppress(psycopg.Error):
            self._connection.consume_input()
        if self._connection.status == pq.ConnStatus.BAD and not self._closed:
            self.close()
            self._on_lost()


async def _poll_until_done(connection: PGconn) -> None:
    while True:
        state = connection.connect_poll()
        if state == pq.PollingStatus.OK:
            return
        if state == pq.PollingStatus.FAILED:
            message = connection.get_error_message()
            limit_reached = any(words in message for words in _LIMIT_MESSAGES)
            raise BackendRefused(message, _TOO_MANY_CONNECTIONS if limit_reached else "08001")
        await _wait_socket(connection.socket, writable=state == pq.PollingStatus.WRITING)


async def _wait_socket(number: int, *, writable: bool) -> None:
    """Wait until a socket is readable, or writable if `writable` is True."""
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
