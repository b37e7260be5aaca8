"""One caller's connection: the server side of the PostgreSQL protocol on a tornado stream.

The session reads messages, hands statements to an `Executor`, and writes the answers. It owns when
the connection ends, and relies on `login.py`, `message_reader.py` and `extended_query.py`. It knows
nothing of what is behind the executor: the proxy and the stand-in database both use it.
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

# From the connection to the end of the login; silent connections are closed after it.
_LOGIN_SECONDS = 10.0
# What a caller may take to read that the proxy stops.
_FAREWELL_SECONDS = 2.0
# The protocol's secret is a signed number of 32 bits.
_SECRET_BITS = 31


class ServerSession:
    """Drives one connection from its first byte to its end."""

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
        self._reader = MessageReader(stream, lambda: self.busy, self._on_gone)
        self._extended: ExtendedQuery | None = None
        self._out = OutputBuffer(stream)
        self._said_farewell = False
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
            pass  # how each connection ends; nobody is left to answer
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

    def _on_gone(self) -> None:
        """The caller went while its statement ran: nobody waits for it any longer."""
        if self.busy and self.executor is not None and self._closing is None:
            self._closing = asyncio.get_running_loop().create_task(self.executor.close())

    def close(self) -> None:
        """Cut the connection."""
        self._stream.close()

    def stop(self) -> None:
        """Planned stop: end now if nothing is in progress, else when it has ended."""
        self.stop_when_idle = True
        if self._may_stop() and not self._said_farewell:
            self._say_farewell()

    def _say_farewell(self) -> None:
        """Tell the caller that the proxy stops, and close only this side of the connection.

        A request may be on its way. Closing both sides would reset the connection, and the caller
        could not know whether the request ran; so it reads this message as the answer instead.
        """
        self._said_farewell = True
        self._fail(RequestError(ErrorKind.PROXY_STOPPING, "the proxy is stopping"))
        asyncio.get_running_loop().call_later(_FAREWELL_SECONDS, self._stream.close)
        with contextlib.suppress(OSError):
            self._stream.socket.shutdown(socket.SHUT_WR)

    def _may_stop(self) -> bool:
        if self.busy or (self._extended is not None and self._extended.waits_for_sync):
            return False
        return self.executor is None or self.executor.transaction_status == wire.TRANSACTION_IDLE

    def _fail(self, error: RequestError) -> None:
        self._on_error(error)
        self._out.add(encode_error(error))
        self._out.flush_now()

    async def _log_in(self) -> Executor | None:
        login = Login(self._stream, self._reader, self._host)
        # Held by the session before the greeting, so that it is closed if that fails.
        self.executor = await login.run()
        if self.executor is not None:
            await login.greet(self.process_id, self.secret)
        return self.executor

    async def _serve(self, executor: Executor, extended: ExtendedQuery) -> None:
        while True:
            if self.stop_when_idle and self._may_stop() and not self._said_farewell:
                self._say_farewell()
            tag, body = await self._reader.message()
            if self._said_farewell:
                continue
            if tag == codec.TERMINATE:
                return
            self.busy = True
            if tag in _RUNNING_TAGS:
                self._reader.watch_while_busy()
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
            await self._ready(executor, extended)
        elif tag == codec.SYNC:
            await extended.run(at_sync=True)
            await self._ready(executor, extended)
        elif tag == codec.FLUSH:
            await extended.run(at_sync=False)
            await self._out.flush()
        elif tag in EXTENDED_TAGS:
            extended.add(tag, body)
        elif tag not in (codec.COPY_DATA, codec.COPY_DONE, codec.COPY_FAIL):
            raise wire.ProtocolViolation(f"unexpected message {tag!r}")

    async def _ready(self, executor: Executor, extended: ExtendedQuery) -> None:
        extended.end()
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


_RUNNING_TAGS = frozenset((codec.QUERY, codec.SYNC, codec.FLUSH))


def encode_error(error: RequestError) -> bytes:
    """ErrorResponse of a typed error."""
    return wire.error_response(
        error.severity, error.sqlstate, error.message, error.detail, error.hint()
    )
