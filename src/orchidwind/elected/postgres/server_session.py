"""One caller's connection: the server side of the PostgreSQL protocol on a tornado stream.

The session reads messages, hands statements to an `Executor`, and writes the answers. It knows
nothing of what stands behind the executor: the proxy and the stand-in database both use it.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import secrets
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

from orchidwind.elected.postgres import wire
from orchidwind.elected.postgres.executor import (
    Description,
    Executor,
    NullSink,
    SessionParameters,
    Statement,
)
from orchidwind.elected.postgres.output import OutputBuffer, PortalSink, StreamSink
from orchidwind.elected.postgres.portals import Portal, PortalTable
from orchidwind.elected.postgres.scram import MECHANISM, ScramExchange, ScramVerifier
from orchidwind.elected.postgres.startup import session_parameters
from orchidwind.elected.postgres.wire import codec
from orchidwind.shared.core.errors import ErrorKind, RequestError

# Chosen: one read of the socket.
_READ_BYTES = 64 * 1024
# Chosen: from the connection to the end of the login; silent connections are closed after it.
_LOGIN_SECONDS = 10.0
# Chosen: read while a statement runs, to notice a caller that goes; bounds memory.
_READ_AHEAD_BYTES = 256 * 1024
# Chosen: what a caller may take to read that the proxy stops.
_FAREWELL_SECONDS = 2.0
# Chosen: messages without Sync; bounds memory.
_MAXIMUM_BATCH_MESSAGES = 20_000
# The protocol's secret is a signed number of 32 bits.
_SECRET_BITS = 31
_FIXED_PARAMETERS = {
    "server_version": "15.8",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "IntervalStyle": "postgres",
    "TimeZone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
}


class SessionHost(ABC):
    """What a listener gives to its sessions."""

    @abstractmethod
    def verifier(self, user: str) -> ScramVerifier | None:
        """The password verifier of a user; None lets the user in without a password."""

    @abstractmethod
    def knows_user(self, user: str) -> bool:
        """Whether the user may log in at all."""

    @abstractmethod
    async def open(self, parameters: SessionParameters) -> Executor:
        """Open a session; raises RequestError where it is refused."""

    @abstractmethod
    def cancel(self, process_id: int, secret: int) -> None:
        """Take a cancel request from another connection."""


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
        self._reader = wire.FrameReader()
        self._portals = PortalTable()
        self._batch: list[tuple[bytes, bytes]] = []
        self._out = OutputBuffer(stream)
        self._skip_until_sync = False
        self._said_farewell = False
        self._closing: asyncio.Task[None] | None = None
        self._reading: asyncio.Future[bytes] | None = None

    async def run(self) -> None:
        """Serve the connection; returns when it is closed."""
        try:
            async with asyncio.timeout(_LOGIN_SECONDS):
                logged_in = await self._log_in()
            if logged_in:
                await self._serve()
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
        if self.busy or self._batch:
            return False
        return self.executor is None or self.executor.transaction_status == wire.TRANSACTION_IDLE

    def _fail(self, error: RequestError) -> None:
        self._on_error(error)
        self._out.add(encode_error(error))
        self._out.flush_now()

    async def _fill(self) -> None:
        reading = self._reading or self._start_reading()
        data = await reading
        self._reading = None
        self._reader.feed(data)

    def _start_reading(self) -> asyncio.Future[bytes]:
        self._reading = asyncio.ensure_future(self._stream.read_bytes(_READ_BYTES, partial=True))
        return self._reading

    def _watch_while_busy(self) -> None:
        """Read on while a statement runs, so that a caller that goes is noticed.

        A driver that closes sends Terminate first. Were nothing read, those bytes would hide the
        end of the connection behind them.
        """
        reading = self._reading or self._start_reading()
        reading.add_done_callback(self._on_read_while_busy)

    def _on_read_while_busy(self, reading: asyncio.Future[bytes]) -> None:
        if reading.cancelled():
            return
        if reading.exception() is not None:
            self._on_gone()
        elif self.busy and reading is self._reading:
            self._reading = None
            self._reader.feed(reading.result())
            if self._reader.ends:
                self._on_gone()
            elif self._reader.held < _READ_AHEAD_BYTES:
                self._watch_while_busy()

    async def _startup_packet(self) -> wire.StartupPacket:
        while (packet := self._reader.startup_packet()) is None:
            await self._fill()
        return packet

    async def _message(self) -> tuple[bytes, bytes]:
        while (message := self._reader.message()) is None:
            await self._fill()
        return message

    async def _log_in(self) -> bool:
        packet = await self._startup_packet()
        while packet.code in (codec.SSL_REQUEST_CODE, codec.GSSENC_REQUEST_CODE):
            await self._stream.write(b"N")
            packet = await self._startup_packet()
        if packet.code == codec.CANCEL_REQUEST_CODE:
            if len(packet.body) == 8:
                self._host.cancel(*codec.parse_cancel_request(packet.body))
            return False
        if packet.code >> 16 != wire.PROTOCOL_VERSION_3 >> 16:
            raise wire.ProtocolViolation(f"protocol version {packet.code >> 16} is not supported")
        parameters = session_parameters(packet.parameters())
        await self._authenticate(parameters.user)
        self.executor = await self._host.open(parameters)
        self._reader.maximum_bytes = wire.MAXIMUM_MESSAGE_BYTES
        greeting = bytearray(codec.make_authentication_ok())
        for name, value in _FIXED_PARAMETERS.items():
            greeting += codec.make_parameter_status(name, value)
        greeting += codec.make_backend_key_data(self.process_id, self.secret)
        greeting += codec.make_ready_for_query(wire.TRANSACTION_IDLE)
        await self._stream.write(bytes(greeting))
        return True

    async def _authenticate(self, user: str) -> None:
        verifier = self._host.verifier(user)
        if verifier is None and self._host.knows_user(user):
            return
        exchange = ScramExchange(verifier or ScramVerifier(secrets.token_hex()))
        await self._stream.write(codec.make_authentication_sasl([MECHANISM]))
        body = await self._password_message()
        try:
            mechanism, client_first = codec.parse_sasl_initial_response(body)
            text = client_first.decode()
        except (ValueError, IndexError) as error:
            raise wire.ProtocolViolation("malformed SASL response") from error
        answer = exchange.first(text) if mechanism == MECHANISM else None
        if answer is None:
            raise self._wrong_password(user)
        await self._stream.write(codec.make_authentication_sasl_continue(answer.encode()))
        proof = (await self._password_message()).decode(errors="replace")
        answer = exchange.final(proof)
        if answer is None:
            raise self._wrong_password(user)
        self._stream.write(codec.make_authentication_sasl_final(answer.encode()))

    async def _password_message(self) -> bytes:
        tag, body = await self._message()
        if tag != codec.PASSWORD:
            raise wire.ProtocolViolation("expected a password message")
        return body

    def _wrong_password(self, user: str) -> RequestError:
        message = f'password authentication failed for user "{user}"'
        return RequestError(ErrorKind.AUTHENTICATION_FAILED, message)

    async def _serve(self) -> None:
        while True:
            if self.stop_when_idle and self._may_stop() and not self._said_farewell:
                self._say_farewell()
            tag, body = await self._message()
            if self._said_farewell:
                continue
            if tag == codec.TERMINATE:
                return
            self.busy = True
            if tag in _RUNNING_TAGS:
                self._watch_while_busy()
            try:
                await self._dispatch(tag, body)
            except (ValueError, IndexError) as error:
                raise wire.ProtocolViolation("malformed message") from error
            finally:
                self.busy = False

    async def _dispatch(self, tag: bytes, body: bytes) -> None:
        if tag == codec.QUERY:
            await self._simple_query(body)
        elif tag == codec.SYNC:
            await self._run_batch(at_sync=True)
            await self._ready()
        elif tag == codec.FLUSH:
            await self._run_batch(at_sync=False)
            await self._out.flush()
        elif tag in _EXTENDED_TAGS:
            self._batch.append((tag, body))
            if len(self._batch) > _MAXIMUM_BATCH_MESSAGES:
                raise wire.ProtocolViolation("too many messages without Sync")
        elif tag not in (codec.COPY_DATA, codec.COPY_DONE, codec.COPY_FAIL):
            raise wire.ProtocolViolation(f"unexpected message {tag!r}")

    @property
    def _status(self) -> bytes:
        assert self.executor is not None
        return self.executor.transaction_status

    async def _ready(self) -> None:
        self._skip_until_sync = False
        if self._status == wire.TRANSACTION_IDLE:
            self._portals.end_transaction()
        self._out.add(codec.make_ready_for_query(self._status))
        await self._out.flush()

    async def _simple_query(self, body: bytes) -> None:
        assert self.executor is not None
        statement = Statement(codec.parse_query(body), simple=True)
        sink = StreamSink(self._out, (), describe=True)
        try:
            await self.executor.execute(statement, sink)
        except RequestError as error:
            self._answer_error(error)
        await self._ready()

    def _answer_error(self, error: RequestError) -> None:
        assert self.executor is not None
        self._on_error(error)
        self.executor.mark_failed()
        self._out.add(encode_error(error))

    async def _run_batch(self, at_sync: bool) -> None:
        """Run the messages up to a Sync or Flush.

        Several Execute messages before one Sync form one implicit transaction (PostgreSQL manual,
        "Extended Query"), so they are wrapped in an explicit one.
        """
        batch, self._batch = self._batch, []
        if self._skip_until_sync:
            return
        executions = sum(1 for tag, _ in batch if tag == codec.EXECUTE)
        implicit = at_sync and executions > 1 and self._status == wire.TRANSACTION_IDLE
        try:
            if implicit:
                await self._control("BEGIN")
            for index, (tag, body) in enumerate(batch):
                following = batch[index + 1] if index + 1 < len(batch) else None
                await self._extended(tag, body, following)
            if implicit:
                await self._control("COMMIT")
        except RequestError as error:
            self._skip_until_sync = not at_sync
            self._answer_error(error)
            if implicit and self._status != wire.TRANSACTION_IDLE:
                await self._control("ROLLBACK")

    async def _control(self, sql: str) -> None:
        assert self.executor is not None
        await self.executor.execute(Statement(sql, simple=True), NullSink())

    async def _extended(
        self, tag: bytes, body: bytes, following: tuple[bytes, bytes] | None
    ) -> None:
        if tag == codec.PARSE:
            self._portals.parse(body)
            self._out.add(codec.make_parse_complete())
        elif tag == codec.BIND:
            self._portals.bind(body)
            self._out.add(codec.make_bind_complete())
        elif tag == codec.DESCRIBE:
            if not self._describe_with_execute(body, following):
                await self._describe(body)
        elif tag == codec.EXECUTE:
            await self._execute(body)
        else:
            self._portals.close(body)
            self._out.add(codec.make_close_complete())

    def _describe_with_execute(self, body: bytes, following: tuple[bytes, bytes] | None) -> bool:
        """A portal that is executed next is described by its own result, without a round trip."""
        target = codec.parse_describe(body)
        if target.kind != codec.TARGET_PORTAL or following is None:
            return False
        tag, execute = following
        if tag != codec.EXECUTE or codec.parse_execute(execute).portal_name != target.name:
            return False
        portal = self._portals.portal(target.name)
        if portal.started or codec.parse_execute(execute).max_rows > 0:
            return False
        portal.describe_next = True
        return True

    async def _describe(self, body: bytes) -> None:
        target = codec.parse_describe(body)
        is_statement = target.kind == codec.TARGET_STATEMENT
        formats: tuple[int, ...] = ()
        if is_statement:
            prepared = self._portals.statement(target.name)
        else:
            portal = self._portals.portal(target.name)
            prepared, formats = portal.prepared, portal.result_formats
        if prepared.description is None:
            assert self.executor is not None
            prepared.description = await self.executor.describe(
                prepared.sql, prepared.parameter_types
            )
        self._out.add(_encode_description(prepared.description, is_statement, formats))

    async def _execute(self, body: bytes) -> None:
        assert self.executor is not None
        execute = codec.parse_execute(body)
        portal = self._portals.portal(execute.portal_name)
        if execute.max_rows > 0 or portal.started:
            await self._execute_limited(portal, execute.max_rows)
            return
        describe, portal.describe_next = portal.describe_next, False
        sink = StreamSink(self._out, portal.result_formats, describe, no_data=describe)
        await self.executor.execute(portal.statement, sink)

    async def _execute_limited(self, portal: Portal, limit: int) -> None:
        assert self.executor is not None
        if not portal.started:
            portal.started = True
            await self.executor.execute(portal.statement, PortalSink(portal))
        count = limit if limit > 0 else len(portal.rest)
        part, portal.rest = portal.rest[:count], portal.rest[count:]
        self._out.add(b"".join(part))
        await self._out.make_room()
        if portal.rest:
            self._out.add(codec.make_portal_suspended())
        elif portal.command_tag:
            self._out.add(codec.make_command_complete(portal.command_tag))
        else:
            self._out.add(codec.make_empty_query_response())


_RUNNING_TAGS = frozenset((codec.QUERY, codec.SYNC, codec.FLUSH))
_EXTENDED_TAGS = frozenset(
    (codec.PARSE, codec.BIND, codec.DESCRIBE, codec.EXECUTE, codec.CLOSE),
)


def encode_error(error: RequestError) -> bytes:
    """ErrorResponse of a typed error."""
    return wire.error_response(
        error.severity, error.sqlstate, error.message, error.detail, error.hint()
    )


def _encode_description(
    description: Description, is_statement: bool, formats: tuple[int, ...]
) -> bytes:
    encoded = b""
    if is_statement:
        encoded = codec.make_parameter_description(list(description.parameter_types))
    if description.columns:
        return encoded + wire.row_description(description.columns, formats)
    return encoded + codec.make_no_data()
