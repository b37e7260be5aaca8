"""Links between proxies: one TCP stream carries the requests of many callers.

Each answer carries its request's number, so late and reordered answers find their caller or are
dropped. A long answer is held back by credits per request: a caller that reads slowly stops only
its own answer, not the link.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import count

import msgspec
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from orchidwind.core.admission import TrafficClass
from orchidwind.core.errors import ErrorKind, PeerUnavailable, RequestError
from orchidwind.core.positions import Position
from orchidwind.core.statements import (
    ChannelKey,
    Column,
    Description,
    Floor,
    FloorMode,
    Outcome,
    RequestKind,
    SessionSetting,
    Statement,
    StatementRequest,
)
from orchidwind.network import codec
from orchidwind.network.backend import AnswerPort
from orchidwind.network.home_service import HomeService

_WINDOW_BYTES = 512 * 1024
_READ_BYTES = 256 * 1024
_GATHERED_BYTES = 32 * 1024
_SHORT_ANSWER_BYTES = 16 * 1024
_CONNECT_SECONDS = 1.0
_STREAM_BUFFER_BYTES = 128 * 1024 * 1024

AnswerPart = (
    codec.ResultColumns
    | codec.ResultRows
    | codec.ResultTag
    | codec.StillRunning
    | codec.Done
    | codec.Failed
)


class FrameStream:
    """Cuts the bytes of a link into messages; one read may bring many."""

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def next(self) -> codec.LinkMessage:
        """The next message; raises StreamClosedError at the end, DecodeError for garbage."""
        while True:
            body = self._cut()
            if body is not None:
                return codec.decode_link(body)
            self._buffer += await self._stream.read_bytes(_READ_BYTES, partial=True)

    def _cut(self) -> bytes | None:
        if len(self._buffer) < codec.LENGTH.size:
            return None
        (length,) = codec.LENGTH.unpack_from(self._buffer)
        if length > codec.MAXIMUM_FRAME_BYTES:
            raise codec.DecodeError(f"frame of {length} bytes")
        end = codec.LENGTH.size + length
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[codec.LENGTH.size : end])
        del self._buffer[:end]
        return body


# --- conversions ------------------------------------------------------------------------------


def to_execute(request: StatementRequest, now: float) -> codec.Execute:
    """A request as it goes over the link; the deadline travels as the time left."""
    statement, floor, traffic_class = request.statement, request.floor, request.traffic_class
    return codec.Execute(
        number=request.number,
        channel=request.channel.number,
        database=request.database,
        kind=request.kind.value,
        sql=statement.sql,
        simple=statement.simple,
        parameter_types=statement.parameter_types,
        parameters=statement.parameters,
        parameter_formats=statement.parameter_formats,
        result_format=statement.result_format,
        floor_mode=floor.mode.value,
        floor_term=floor.position.term,
        floor_lsn=floor.position.lsn,
        last_read_instance=floor.last_read_instance,
        class_name=traffic_class.name,
        class_weight=traffic_class.weight,
        class_deadline=traffic_class.deadline,
        class_queue_bound=traffic_class.queue_bound,
        remaining=request.expires_at - now,
        in_transaction=request.in_transaction,
        request_id=request.request_id,
        settings=tuple(codec.Setting(item.name, item.value) for item in request.settings),
    )


def from_execute(message: codec.Execute, origin: str, number: int, now: float) -> StatementRequest:
    """A request as the home takes it, under the home's own number."""
    return StatementRequest(
        number=number,
        channel=ChannelKey(origin, message.channel),
        database=message.database,
        kind=RequestKind(message.kind),
        statement=Statement(
            message.sql,
            message.simple,
            message.parameter_types,
            message.parameters,
            message.parameter_formats,
            message.result_format,
        ),
        floor=Floor(
            FloorMode(message.floor_mode),
            Position(message.floor_term, message.floor_lsn),
            message.last_read_instance,
        ),
        traffic_class=TrafficClass(
            message.class_name,
            message.class_weight,
            message.class_deadline,
            message.class_queue_bound,
        ),
        expires_at=now + message.remaining,
        in_transaction=message.in_transaction,
        request_id=message.request_id,
        settings=tuple(SessionSetting(item.name, item.value) for item in message.settings),
    )


def to_answer(outcome: Outcome, number: int) -> codec.Done | codec.Failed:
    """An outcome as it goes over the link."""
    error = outcome.error
    if error is not None:
        return codec.Failed(
            number,
            error.kind.value,
            error.sqlstate,
            error.message,
            error.detail,
            error.retry_after_milliseconds,
            outcome.transaction_status,
        )
    description = outcome.description or Description()
    return codec.Done(
        number=number,
        tag=outcome.tag,
        transaction_status=outcome.transaction_status,
        instance=outcome.instance,
        is_replica=outcome.is_replica,
        term=outcome.position.term,
        lsn=outcome.position.lsn,
        described=outcome.description is not None,
        parameter_types=description.parameter_types,
        columns=_to_records(description.columns),
    )


def from_answer(answer: codec.Done | codec.Failed) -> Outcome:
    """An outcome as the caller's proxy takes it."""
    if isinstance(answer, codec.Failed):
        error = RequestError(
            ErrorKind(answer.kind),
            answer.message,
            retry_after_milliseconds=answer.retry_after_milliseconds,
            sqlstate=answer.sqlstate,
            detail=answer.detail,
        )
        return Outcome(answer.number, error, transaction_status=answer.transaction_status)
    description = None
    if answer.described:
        description = Description(answer.parameter_types, from_records(answer.columns))
    return Outcome(
        number=answer.number,
        tag=answer.tag,
        transaction_status=answer.transaction_status,
        instance=answer.instance,
        is_replica=answer.is_replica,
        position=Position(answer.term, answer.lsn),
        description=description,
    )


def _to_records(columns: tuple[Column, ...]) -> tuple[codec.ColumnRecord, ...]:
    return tuple(
        codec.ColumnRecord(
            column.name,
            column.type_oid,
            column.type_size,
            column.type_modifier,
            column.table_oid,
            column.column_number,
        )
        for column in columns
    )


def from_records(records: tuple[codec.ColumnRecord, ...]) -> tuple[Column, ...]:
    """Columns as they came over the link."""
    return tuple(
        Column(
            record.name,
            record.type_oid,
            record.type_size,
            record.type_modifier,
            record.table_oid,
            record.column_number,
        )
        for record in records
    )


# --- the home's side --------------------------------------------------------------------------


class _LinkAnswerPort(AnswerPort):
    """Sends an answer over a link, a window at a time.

    A short answer is held back and travels in the last message, so that most requests cost one
    message each way.
    """

    def __init__(self, stream: IOStream, number: int) -> None:
        self._stream = stream
        self._number = number
        self._outstanding = 0
        self._held_columns: tuple[Column, ...] | None = None
        self._held_rows = bytearray()
        self._held_count = 0
        self._gathered = bytearray()
        self._ended = False
        self._room = asyncio.Event()

    async def columns(self, columns: tuple[Column, ...]) -> None:
        """Hold the columns; those of an earlier result leave first."""
        self._release_held()
        self._held_columns = columns

    async def rows(self, encoded: bytes, count: int) -> None:
        """Hold or send rows; wait while the window is full."""
        self._held_rows += encoded
        self._held_count += count
        if len(self._held_rows) < _SHORT_ANSWER_BYTES:
            return
        self._outstanding += len(self._held_rows)
        self._release_held()
        if self._outstanding > _WINDOW_BYTES:
            self._flush()
        while self._outstanding > _WINDOW_BYTES and not self._ended:
            self._room.clear()
            await self._room.wait()

    async def tag(self, command_tag: str) -> None:
        """Send a tag."""
        self._release_held()
        self._write(codec.ResultTag(self._number, command_tag))

    def still_running(self) -> None:
        """Tell the caller's proxy to wait on."""
        self._write(codec.StillRunning(self._number))
        self._flush()

    def credit(self, count: int) -> None:
        """The caller took bytes."""
        self._outstanding -= count
        self._room.set()

    def release(self) -> None:
        """The request is over or the link is gone: let the answer run out."""
        self._ended = True
        self._room.set()

    def finish(self, answer: codec.Done | codec.Failed) -> None:
        """Send the last message of the answer, with what was held."""
        if isinstance(answer, codec.Failed) or self._gathered:
            self._release_held()
        elif self._held_columns is not None:
            answer = msgspec.structs.replace(
                answer,
                columns=_to_records(self._held_columns),
                has_rows=True,
                encoded=bytes(self._held_rows),
                count=self._held_count,
            )
        elif self._held_rows:
            self._release_held()
        self._write(answer)
        self._flush()
        self.release()

    def _release_held(self) -> None:
        if self._held_columns is not None:
            self._write(codec.ResultColumns(self._number, _to_records(self._held_columns)))
            self._held_columns = None
        if self._held_rows:
            rows = codec.ResultRows(self._number, bytes(self._held_rows), self._held_count)
            self._write(rows)
            self._held_rows = bytearray()
            self._held_count = 0

    def _write(self, message: codec.LinkMessage) -> None:
        if self._ended:
            return
        self._gathered += codec.encode_frame(message)
        if len(self._gathered) >= _GATHERED_BYTES:
            self._flush()

    def _flush(self) -> None:
        data, self._gathered = bytes(self._gathered), bytearray()
        if data and not self._stream.closed():
            self._stream.write(data)


class LinkServer(TCPServer):
    """Takes links of other proxies."""

    def __init__(
        self,
        homes: HomeService,
        configuration: Callable[[], codec.ConfigurationReply | None],
    ) -> None:
        super().__init__(max_buffer_size=_STREAM_BUFFER_BYTES)
        self._homes = homes
        self._configuration = configuration
        self._serials = count(1)
        self._streams: set[IOStream] = set()

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve one link to its end."""
        stream.set_nodelay(True)
        self._streams.add(stream)
        session = _LinkSession(stream, self._homes, self._configuration, next(self._serials))
        try:
            await session.run()
        except (StreamClosedError, codec.DecodeError, ValueError):
            stream.close()
        finally:
            self._streams.discard(stream)
            session.end()

    def close_links(self) -> None:
        """Cut all links."""
        for stream in list(self._streams):
            stream.close()


class _LinkSession:
    """The state of one link at the home's side."""

    def __init__(
        self,
        stream: IOStream,
        homes: HomeService,
        configuration: Callable[[], codec.ConfigurationReply | None],
        serial: int,
    ) -> None:
        self._stream = stream
        self._homes = homes
        self._configuration = configuration
        self._origin = f"link-{serial}"
        self._peer = ""
        self._channels: set[int] = set()
        self._ports: dict[int, _LinkAnswerPort] = {}
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Read messages until the link ends."""
        frames = FrameStream(self._stream)
        hello = await frames.next()
        if not isinstance(hello, codec.Hello):
            raise codec.DecodeError("a link begins with Hello")
        self._peer = hello.node
        self._origin = f"{hello.node}/{self._origin}"
        while True:
            self._take(await frames.next())

    def end(self) -> None:
        """The link is gone, and so are its callers."""
        for port in self._ports.values():
            port.release()
        for channel in self._channels:
            self._homes.close_channel(ChannelKey(self._origin, channel))

    def _take(self, message: codec.LinkMessage) -> None:
        if isinstance(message, codec.Execute):
            self._execute(message)
        elif isinstance(message, codec.Credit):
            port = self._ports.get(message.number)
            if port is not None:
                port.credit(message.count)
        elif isinstance(message, codec.Cancel):
            self._homes.cancel(ChannelKey(self._origin, message.channel))
        elif isinstance(message, codec.CloseChannel):
            self._channels.discard(message.channel)
            self._homes.close_channel(ChannelKey(self._origin, message.channel))
        elif isinstance(message, codec.LeaseAsk):
            self._lend(message)
        elif isinstance(message, codec.ConfigurationRequest):
            reply = self._configuration()
            if reply is not None and reply.version > message.version:
                self._stream.write(codec.encode_frame(reply))

    def _lend(self, message: codec.LeaseAsk) -> None:
        answer = self._homes.lend(message.database, self._peer, message.wanted)
        if answer is not None:
            reply = codec.LeaseReply(message.database, answer.slots, answer.number, answer.duration)
            self._stream.write(codec.encode_frame(reply))

    def _execute(self, message: codec.Execute) -> None:
        self._channels.add(message.channel)
        port = _LinkAnswerPort(self._stream, message.number)
        self._ports[message.number] = port
        number = next(self._homes.numbers)
        request = from_execute(message, self._origin, number, self._loop.time())

        def finished(outcome: Outcome) -> None:
            self._ports.pop(message.number, None)
            port.finish(to_answer(outcome, message.number))

        self._homes.submit(request, port, finished)


# --- the caller's side ------------------------------------------------------------------------


class PendingAnswer:
    """The parts of one answer as they arrive."""

    def __init__(self) -> None:
        self.parts: asyncio.Queue[AnswerPart | PeerUnavailable] = asyncio.Queue()


class PeerLink:
    """One link to another proxy, opened when it is first needed."""

    def __init__(
        self,
        own: str,
        host: str,
        port: int,
        on_notice: Callable[[codec.ConfigurationReply | codec.LeaseReply], None],
    ) -> None:
        """`on_notice` takes what is no part of a request's answer."""
        self._own = own
        self._address = (host, port)
        self._on_notice = on_notice
        self._stream: IOStream | None = None
        self._connecting: asyncio.Lock = asyncio.Lock()
        self._pending: dict[int, PendingAnswer] = {}
        self._reader: asyncio.Task[None] | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Where the link goes."""
        return self._address

    async def open(self) -> None:
        """Connect if need be; raises PeerUnavailable."""
        async with self._connecting:
            if self._stream is not None and not self._stream.closed():
                return
            try:
                async with asyncio.timeout(_CONNECT_SECONDS):
                    stream = await TCPClient().connect(
                        *self._address, max_buffer_size=_STREAM_BUFFER_BYTES
                    )
            except (OSError, StreamClosedError, TimeoutError) as error:
                raise PeerUnavailable(str(error) or "no connection", sent=False) from error
            stream.set_nodelay(True)
            stream.write(codec.encode_frame(codec.Hello(self._own)))
            self._stream = stream
            self._reader = asyncio.create_task(self._read(stream))

    async def execute(self, message: codec.Execute) -> PendingAnswer:
        """Send a request; raises PeerUnavailable."""
        await self.open()
        pending = PendingAnswer()
        self._pending[message.number] = pending
        self.send(message)
        return pending

    def forget(self, number: int) -> None:
        """Nobody waits for this answer any longer; late parts are dropped."""
        self._pending.pop(number, None)

    def send(self, message: codec.LinkMessage) -> None:
        """Send a message if the link is up."""
        if self._stream is not None and not self._stream.closed():
            self._stream.write(codec.encode_frame(message))

    def close(self) -> None:
        """Cut the link; what waits is told."""
        if self._stream is not None:
            self._stream.close()

    async def _read(self, stream: IOStream) -> None:
        frames = FrameStream(stream)
        try:
            while True:
                self._take(await frames.next())
        except (StreamClosedError, codec.DecodeError) as error:
            stream.close()
            pending, self._pending = self._pending, {}
            for item in pending.values():
                item.parts.put_nowait(PeerUnavailable(str(error), sent=True))

    def _take(self, message: codec.LinkMessage) -> None:
        if isinstance(message, codec.ConfigurationReply | codec.LeaseReply):
            self._on_notice(message)
        elif isinstance(message, AnswerPart):
            pending = self._pending.get(message.number)
            if pending is not None:
                pending.parts.put_nowait(message)
