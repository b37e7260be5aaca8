"""Callers' connections: the line protocol on a socket, in front of a `SessionExecutor`.

For: `main`, which starts the listener. Owns the callers' sockets. The next message of a caller is
processed only after the answer to the previous one was written to the socket. Relies on
`SessionExecutor` for every command and on `caller_lines` for the encoding.
"""

from __future__ import annotations

import logging

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from orchidwind.platform import caller_lines, line_format
from orchidwind.promoted.callers.session_executor import SessionExecutor
from orchidwind.promoted.core.call_limits import FIRST_CONFIGURATION_SECONDS
from orchidwind.promoted.core.commands import Command, TransactionState
from orchidwind.promoted.proxy_runtime import ProxyRuntime
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.logs import log_event
from orchidwind.shared.sockets import configure_socket

# Bytes per read of a socket: one TCP window. Longer messages take several reads.
_READ_BYTES = 65536
_MALFORMED = RequestError(ErrorKind.PROTOCOL_VIOLATION, "the message is not of this protocol")
_TOO_LARGE = RequestError(ErrorKind.MESSAGE_TOO_LARGE, "the message is too long")


class CallerListener(TCPServer):
    """Accepts the connections of callers."""

    def __init__(self, proxy: ProxyRuntime) -> None:
        super().__init__()
        self._proxy = proxy
        self._registry = proxy.registry

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve one caller until its session ends."""
        configure_socket(stream.socket)
        connection = CallerConnection(stream, self._proxy)
        self._registry.sessions.add(connection)
        self._proxy.metrics.sessions.set(len(self._registry.sessions))
        try:
            await connection.serve()
        except StreamClosedError:
            # The caller closed its connection: the usual end of a session.
            pass
        except Exception as error:  # an unexpected error ends one session, not the process
            log_event("session_failed_unexpectedly", level=logging.ERROR, reason=repr(error))
        finally:
            self._registry.sessions.discard(connection)
            self._proxy.metrics.sessions.set(len(self._registry.sessions))
            connection.close()


class CallerConnection:
    """One connection of a caller, from startup to close."""

    def __init__(self, stream: IOStream, proxy: ProxyRuntime) -> None:
        self._stream = stream
        self._proxy = proxy
        self._lines = line_format.LineReader()
        self._executor: SessionExecutor | None = None
        self._busy = False
        stream.set_close_callback(self._on_closed)

    @property
    def idle(self) -> bool:
        """Whether no command of the caller is in progress."""
        return not self._busy

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open, including one that failed and wasn't ended yet."""
        executor = self._executor
        return executor is not None and executor.state is not TransactionState.IDLE

    def close(self) -> None:
        """End the session; an open transaction is rolled back."""
        executor, self._executor = self._executor, None
        if executor is not None:
            executor.close()
        self._stream.close()

    def _on_closed(self) -> None:
        if self._executor is not None:
            self._executor.caller_left()

    async def serve(self) -> None:
        """Answer messages until the session ends; an invalid message ends it with an error."""
        try:
            if not await self._start():
                return
            while await self._answer_next():
                pass
        except line_format.MessageTooLarge:
            await self._stream.write(caller_lines.error_line(_TOO_LARGE))
        except line_format.WireError:
            await self._stream.write(caller_lines.error_line(_MALFORMED))

    async def _next_message(self) -> caller_lines.CallerMessage:
        while (line := self._lines.next_line()) is None:
            self._busy = False
            self._lines.feed(await self._stream.read_bytes(_READ_BYTES, partial=True))
        self._busy = True
        return caller_lines.parse_caller_line(line)

    async def _start(self) -> bool:
        message = await self._next_message()
        if not isinstance(message, caller_lines.Startup):
            raise line_format.WireError("the first message is not STARTUP")
        error = await self._refusal(message)
        if error is not None:
            configuration = self._proxy.configuration
            log_event(
                "session_refused",
                database=message.database,
                reason=error.kind.value,
                configuration=configuration.version if configuration else 0,
                configuration_age_ms=self._proxy.views.configuration_age_ms,
            )
            await self._stream.write(caller_lines.error_line(error))
            return False
        self._executor = SessionExecutor(self._proxy, message.database, message.key_digest)
        await self._stream.write(caller_lines.ready_line(TransactionState.IDLE))
        return True

    async def _refusal(self, message: caller_lines.Startup) -> RequestError | None:
        if not await self._proxy.wait_prepared(FIRST_CONFIGURATION_SECONDS):
            return RequestError(ErrorKind.NO_HOME, "no configuration is known yet")
        if self._proxy.database(message.database) is None:
            return RequestError(ErrorKind.UNKNOWN_DATABASE, message.database)
        try:
            self._proxy.tenant_of(message.database, message.key_digest)
        except RequestError as error:
            return error
        return None

    async def _answer_next(self) -> bool:
        message = await self._next_message()
        if isinstance(message, caller_lines.Terminate):
            return False
        if not isinstance(message, Command) or self._executor is None:
            raise line_format.WireError("second STARTUP in a session")
        executor = self._executor
        try:
            answer = caller_lines.result_lines(await executor.execute(message))
        except RequestError as error:
            answer = caller_lines.error_line(error)
        await self._stream.write(answer + caller_lines.ready_line(executor.state))
        return True
