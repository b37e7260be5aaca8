"""One caller's connection: the server side of the PostgreSQL protocol on a tornado stream.

The session reads messages, passes statements to an `Executor`, writes the responses, and decides
when the connection ends. It does not depend on the implementation of the executor: the proxy and
the stand-in database both use it.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import secrets
import socket
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

from orchidwind.elected.postgres import wire
from orchidwind.elected.postgres.executor import Executor, Statement
from orchidwind.elected.postgres.extended_query import EXTENDED_TAGS, ExtendedQuery
from orchidwind.elected.postgres.login import Login
from orchidwind.elected.postgres.message_reader import MessageReader
from orchidwind.elected.postgres.output import OutputBuffer, StreamSink
from orchidwind.elected.postgres.session_host import SessionHost
from orchidwind.elected.postgres.wire import codec
from orchidwind.shared.core.errors import ErrorKind, RequestError

# Time limit from the connection to the end of the login; it also closes silent connections.
_LOGIN_SECONDS = 10.0
# Time for a caller to read the shutdown message before the connection is closed.
_SHUTDOWN_NOTICE_SECONDS = 2.0
# The secret is a signed 32-bit integer in the protocol.
_SECRET_BITS = 31


class ServerSession:
    """Serves one connection from the start-up packet until it closes."""

    def __init__(
        self,
        stream: IOStream,
        host: SessionHost,
        process_id: int,
        on_error: Callable[[RequestError], None],
    ) -> None:
        self.process_id = process_id
        self.secret = secrets.randbits(_SECRET_BITS)
        self.executor: Executor | None = None
        self.busy = False
        self.stop_when_idle = False
        self._stream = stream
        self._host = host
        self._on_error = on_error
        self._reader = MessageReader(stream, lambda: self.busy, self._on_disconnect)
        self._extended: ExtendedQuery | None = None
        self._out = OutputBuffer(stream)
        self._shutdown_announced = False
        self._closing: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Serve the connection; returns when it is closed."""
        try:
            async with asyncio.timeout(_LOGIN_SECONDS):
                executor = await self._log_in()
            if executor is not None:
                self._extended = ExtendedQuery(executor, self._out, self._answer_error)
                await self._serve(executor, self._extended)
        except StreamClosedError:
            pass  # the connection is closed, so no response can be sent
        except TimeoutError:
            self._fail(RequestError(ErrorKind.PROTOCOL_VIOLATION, "the login took too long"))
        except wire.ProtocolViolation as violation:
            self._fail(RequestError(ErrorKind.PROTOCOL_VIOLATION, str(violation)))
        except RequestError as error:
            self._fail(error)
        except Exception:
            logging.getLogger("orchidwind").exception("session_failed")
            self._fail(RequestError(ErrorKind.INTERNAL, "internal error of the proxy"))
        finally:
            self._stream.close()
            if self.executor is not None:
                await self.executor.close()

    def _on_disconnect(self) -> None:
        """Close the executor after the caller disconnected during a statement."""
        if self.busy and self.executor is not None and self._closing is None:
            self._closing = asyncio.get_running_loop().create_task(self.executor.close())

    def close(self) -> None:
        """Close the connection at once."""
        self._stream.close()

    def stop(self) -> None:
        """Stop the session as soon as no request or transaction is in progress."""
        self.stop_when_idle = True
        if self._is_idle() and not self._shutdown_announced:
            self._announce_shutdown()

    def _announce_shutdown(self) -> None:
        """Tell the caller that the proxy stops, and close only the sending side of the connection.

        A request may be in transit. Closing both sides would reset the connection, and the caller
        could not tell whether that request ran; with the receiving side open, the caller reads this
        message as the response.
        """
        self._shutdown_announced = True
        self._fail(RequestError(ErrorKind.PROXY_STOPPING, "the proxy is stopping"))
        asyncio.get_running_loop().call_later(_SHUTDOWN_NOTICE_SECONDS, self._stream.close)
        with contextlib.suppress(OSError):
            self._stream.socket.shutdown(socket.SHUT_WR)

    def _is_idle(self) -> bool:
        if self.busy or (self._extended is not None and self._extended.has_pending_messages):
            return False
        return self.executor is None or self.executor.transaction_status == wire.TRANSACTION_IDLE

    def _fail(self, error: RequestError) -> None:
        self._on_error(error)
        self._out.add(encode_error(error))
        self._out.flush_now()

    async def _log_in(self) -> Executor | None:
        login = Login(self._stream, self._reader, self._host)
        # Stored before the greeting, so that the executor is closed if the greeting fails.
        self.executor = await login.run()
        if self.executor is not None:
            await login.greet(self.process_id, self.secret)
        return self.executor

    async def _serve(self, executor: Executor, extended: ExtendedQuery) -> None:
        while True:
            if self.stop_when_idle and self._is_idle() and not self._shutdown_announced:
                self._announce_shutdown()
            tag, body = await self._reader.message()
            if self._shutdown_announced:
                continue
            if tag == codec.TERMINATE:
                return
            self.busy = True
            if tag in _EXECUTING_TAGS:
                self._reader.read_while_busy()
            try:
                await self._dispatch(executor, extended, tag, body)
            except (ValueError, IndexError) as error:
                raise wire.ProtocolViolation("malformed message") from error
            finally:
                self.busy = False

    async def _dispatch(
        self, executor: Executor, extended: ExtendedQuery, tag: bytes, body: bytes
    ) -> None:
        if tag == codec.QUERY:
            await self._simple_query(executor, body)
            await self._send_ready(executor, extended)
        elif tag == codec.SYNC:
            await extended.run(at_sync=True)
            await self._send_ready(executor, extended)
        elif tag == codec.FLUSH:
            await extended.run(at_sync=False)
            await self._out.flush()
        elif tag in EXTENDED_TAGS:
            extended.add(tag, body)
        elif tag not in (codec.COPY_DATA, codec.COPY_DONE, codec.COPY_FAIL):
            raise wire.ProtocolViolation(f"unexpected message {tag!r}")

    async def _send_ready(self, executor: Executor, extended: ExtendedQuery) -> None:
        extended.on_ready_for_query()
        self._out.add(codec.make_ready_for_query(executor.transaction_status))
        await self._out.flush()

    async def _simple_query(self, executor: Executor, body: bytes) -> None:
        statement = Statement(codec.parse_query(body), simple=True)
        try:
            await executor.execute(statement, StreamSink(self._out, (), describe=True))
        except RequestError as error:
            self._answer_error(error)

    def _answer_error(self, error: RequestError) -> None:
        self._on_error(error)
        assert self.executor is not None
        self.executor.mark_failed()
        self._out.add(encode_error(error))


_EXECUTING_TAGS = frozenset((codec.QUERY, codec.SYNC, codec.FLUSH))


def encode_error(error: RequestError) -> bytes:
    """Encode a RequestError as an ErrorResponse message."""
    return wire.error_response(
        error.severity, error.sqlstate, error.message, error.detail, error.hint()
    )
