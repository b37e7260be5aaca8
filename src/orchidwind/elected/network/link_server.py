"""The home's side of links: takes requests of other proxies and sends their answers.

A long answer is held back by credits for each request, so that a caller that reads slowly stops
only its own answer, not the link.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import count

import msgspec
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from orchidwind.elected.core.statements import ChannelKey, Column, Outcome
from orchidwind.elected.network import codec
from orchidwind.elected.network.answer_port import AnswerPort
from orchidwind.elected.network.frame_stream import LINK_BUFFER_BYTES, FrameStream
from orchidwind.elected.network.home_service import HomeService
from orchidwind.elected.network.link_messages import from_execute, to_answer, to_records
from orchidwind.shared.logs import log_event
from orchidwind.shared.sockets import watchful

# Chosen: bytes of one answer that may be under way; bounds memory at the caller's proxy.
_WINDOW_BYTES = 512 * 1024
# Chosen: messages gathered into one write of the socket.
_GATHERED_BYTES = 32 * 1024
# Chosen: an answer up to this size travels in one message (docs/DECISIONS.md, "One record a link
# message"); a longer one leaves in pieces of it.
_SHORT_ANSWER_BYTES = 16 * 1024


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
                columns=to_records(self._held_columns),
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
            self._write(codec.ResultColumns(self._number, to_records(self._held_columns)))
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
        super().__init__(max_buffer_size=LINK_BUFFER_BYTES)
        self._homes = homes
        self._configuration = configuration
        self._serials = count(1)
        self._streams: set[IOStream] = set()
        self._by_peer: dict[str, _LinkSession] = {}

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve one link to its end."""
        watchful(stream.socket)
        self._streams.add(stream)
        session = _LinkSession(
            stream, self._homes, self._configuration, next(self._serials), self._greeted
        )
        try:
            await session.run()
        except StreamClosedError:
            pass  # how each link ends; the other proxy logs what it had under way
        except (codec.DecodeError, ValueError) as error:
            log_event("peer_link_refused", peer=session.peer, reason=repr(error))
            stream.close()
        finally:
            self._streams.discard(stream)
            if self._by_peer.get(session.peer) is session:
                del self._by_peer[session.peer]
            session.end()

    def _greeted(self, session: _LinkSession) -> None:
        """A proxy holds one link to each other: a new one tells that the last one is gone.

        That one may be silent for good, without an end: what is open on it is rolled back now.
        """
        older = self._by_peer.get(session.peer)
        self._by_peer[session.peer] = session
        if older is not None:
            log_event("peer_link_replaced", peer=session.peer, channels=older.channels)
            older.cut()

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
        on_greeting: Callable[[_LinkSession], None],
    ) -> None:
        self.peer = ""
        self._on_greeting = on_greeting
        self._stream = stream
        self._homes = homes
        self._configuration = configuration
        self._origin = f"link-{serial}"
        self._channels: set[int] = set()
        self._ports: dict[int, _LinkAnswerPort] = {}
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Read messages until the link ends."""
        frames = FrameStream(self._stream)
        hello = await frames.next()
        if not isinstance(hello, codec.Hello):
            raise codec.DecodeError("a link begins with Hello")
        self.peer = hello.node
        self._origin = f"{hello.node}/{self._origin}"
        self._on_greeting(self)
        while True:
            self._take(await frames.next())

    @property
    def channels(self) -> int:
        """How many callers have had work here."""
        return len(self._channels)

    def cut(self) -> None:
        """End the link from here."""
        self._stream.close()

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
        elif isinstance(message, codec.LinkProbe):
            self._stream.write(codec.encode_frame(codec.LinkAlive()))
        elif isinstance(message, codec.LeaseAsk):
            self._lend(message)
        elif isinstance(message, codec.ConfigurationRequest):
            reply = self._configuration()
            if reply is not None and reply.version > message.version:
                self._stream.write(codec.encode_frame(reply))

    def _lend(self, message: codec.LeaseAsk) -> None:
        answer = self._homes.lend(message.database, self.peer, message.wanted)
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
