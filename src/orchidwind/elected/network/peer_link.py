"""The front proxy's side of a link: one TCP connection to a home proxy carries many requests.

Each answer carries the number of its request, so late and reordered answers reach the right caller
or are dropped.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from orchidwind.elected.network import codec
from orchidwind.elected.network.frame_stream import LINK_BUFFER_BYTES, FrameStream
from orchidwind.elected.network.link_silence import LinkActions, LinkSilenceTimer
from orchidwind.shared.core.errors import PeerUnavailable
from orchidwind.shared.silence import ConnectionKind, SilentConnection, log_silent_connection
from orchidwind.shared.sockets import configure_socket

# Equal to the time after which an open link counts as silent (`link_silence.py`).
_LINK_CONNECT_SECONDS = 1.0

AnswerPart = (
    codec.ResultColumns
    | codec.ResultRows
    | codec.ResultTag
    | codec.StillRunning
    | codec.Done
    | codec.Failed
)


class PendingAnswer:
    """The parts of one answer as they arrive."""

    def __init__(self) -> None:
        self.parts: asyncio.Queue[AnswerPart | PeerUnavailable] = asyncio.Queue()


class PeerLink:
    """A link to another proxy, connected on first use and reconnected after a loss."""

    def __init__(
        self,
        own: str,
        host: str,
        port: int,
        on_notice: Callable[[codec.ConfigurationReply | codec.LeaseReply], None],
    ) -> None:
        """`own` is the name of this proxy; `on_notice` receives messages that answer no request."""
        self._own_name = own
        self._address = (host, port)
        self._on_notice = on_notice
        self._stream: IOStream | None = None
        self._connecting: asyncio.Lock = asyncio.Lock()
        self._pending: dict[int, PendingAnswer] = {}
        self._reader: asyncio.Task[None] | None = None
        self._silence: LinkSilenceTimer | None = None

    @property
    def address(self) -> tuple[str, int]:
        """The host and port of the other proxy."""
        return self._address

    async def open(self) -> None:
        """Connect unless the link is open; raises PeerUnavailable."""
        async with self._connecting:
            if self._stream is not None and not self._stream.closed():
                return
            try:
                async with asyncio.timeout(_LINK_CONNECT_SECONDS):
                    stream = await TCPClient().connect(
                        *self._address, max_buffer_size=LINK_BUFFER_BYTES
                    )
            except (OSError, StreamClosedError, TimeoutError) as error:
                raise PeerUnavailable(str(error) or "no connection", sent=False) from error
            configure_socket(stream.socket)
            stream.write(codec.encode_frame(codec.Hello(self._own_name)))
            self._stream = stream
            self._silence = LinkSilenceTimer(self._silence_actions(stream))
            self._reader = asyncio.create_task(self._read(stream))

    async def execute(self, message: codec.Execute) -> PendingAnswer:
        """Send a request and return its pending answer; raises PeerUnavailable."""
        await self.open()
        pending = PendingAnswer()
        self._pending[message.number] = pending
        self.send(message)
        return pending

    def forget(self, number: int) -> None:
        """Stop waiting for an answer; parts that arrive later are dropped."""
        self._pending.pop(number, None)

    def send(self, message: codec.LinkMessage) -> None:
        """Send a message if the link is open; drop it otherwise."""
        if self._stream is not None and not self._stream.closed():
            self._stream.write(codec.encode_frame(message))
            if self._silence is not None:
                self._silence.message_sent()

    def _silence_actions(self, stream: IOStream) -> LinkActions:
        def probe() -> None:
            if not stream.closed():
                stream.write(codec.encode_frame(codec.LinkProbe()))

        def give_up(opened_for: float, silent_for: float) -> None:
            to = "{}:{}".format(*self._address)
            log_silent_connection(
                SilentConnection(
                    ConnectionKind.PEER_LINK,
                    to,
                    opened_for,
                    silent_for,
                    len(self._pending),
                    "it is reopened",
                )
            )
            stream.close()

        return LinkActions(probe, give_up, lambda: len(self._pending))

    def close(self) -> None:
        """Close the link; requests that wait for an answer fail with PeerUnavailable."""
        if self._stream is not None:
            self._stream.close()

    async def _read(self, stream: IOStream) -> None:
        silence = self._silence
        assert silence is not None
        frames = FrameStream(stream, silence.bytes_received)
        try:
            while True:
                self._dispatch(await frames.next())
                silence.bytes_received()
        except (StreamClosedError, codec.DecodeError) as error:
            stream.close()
            silence.close()
            pending, self._pending = self._pending, {}
            for item in pending.values():
                item.parts.put_nowait(PeerUnavailable(str(error), sent=True))

    def _dispatch(self, message: codec.LinkMessage) -> None:
        if isinstance(message, codec.ConfigurationReply | codec.LeaseReply):
            self._on_notice(message)
        elif isinstance(message, AnswerPart):
            pending = self._pending.get(message.number)
            if pending is not None:
                pending.parts.put_nowait(message)
