"""Links between proxies for promoted groups on TCP: the port `PeerConnector`, and the listener.

For: `peer_link` on the asking side, `peer_service` on the answering side. Owns the sockets. Relies
on `peer_codec` for the messages.

A side that gives a link up resets it: what the network still holds must not arrive later, as its
sender has answered its caller by then.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from types import ModuleType

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.peer_messages import PeerMessage
from orchidwind.promoted.peers.home_ports import LinkWriter
from orchidwind.promoted.peers.peer_service import PeerService
from orchidwind.shared.core.errors import PeerUnavailable
from orchidwind.shared.sockets import client_socket, watchful

# One read of a socket, bytes. A window of TCP; longer messages take several reads.
_READ_BYTES = 65536
# Linger for zero seconds: closing resets the connection and drops what was not sent.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def _codec() -> ModuleType:
    """The codec; imported with the first link, as a small system needs none."""
    from orchidwind.promoted.peers import peer_codec

    return peer_codec


class PeerStream:
    """One end of a link."""

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._reader: asyncio.Task[None] | None = None
        self._written: asyncio.Future[None] | None = None
        self._loop = asyncio.get_running_loop()
        self.last_byte_at = self._loop.time()

    def send(self, message: PeerMessage) -> None:
        """Send a message; nothing happens where the connection is gone."""
        if not self._stream.closed():
            self._written = self._stream.write(_codec().encode_peer(message))

    async def drained(self) -> None:
        """Wait until the network has taken what was sent, or the connection is gone."""
        if self._written is not None:
            # A connection that is gone is found by its reader.
            with contextlib.suppress(StreamClosedError):
                await self._written

    async def receive(self, on_message: Callable[[PeerMessage], None]) -> str:
        """Take messages until the connection ends; returns the reason."""
        codec = _codec()
        frames = codec.FrameCutter(codec.MAXIMUM_PEER_FRAME_BYTES)
        try:
            while True:
                frames.feed(await self._stream.read_bytes(_READ_BYTES, partial=True))
                self.last_byte_at = self._loop.time()
                if self._given_up():
                    self.close()
                    return "given up by the other side"
                while (body := frames.next_body()) is not None:
                    on_message(codec.decode_peer(body))
        except StreamClosedError:
            # The usual end of a link; whoever waits for it logs the reason.
            return "closed"
        except codec.DecodeError as error:
            self.close()
            return str(error)

    def _given_up(self) -> bool:
        """Whether the other side has ended the link after what was just read.

        After a freeze of this process, what it reads may be long out of date.
        """
        if self._stream.socket is None:
            return True
        try:
            return self._stream.socket.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            # Open, and nothing more to read.
            return False
        except OSError:
            # Reset: the other side has given it up, which is what is asked here.
            return True

    def close(self) -> None:
        """Reset the connection."""
        if self._reader is not None:
            self._reader.cancel()
        if not self._stream.closed():
            self._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            self._stream.close()

    def start(
        self, on_message: Callable[[PeerMessage], None], on_lost: Callable[[str], None]
    ) -> None:
        """Take messages in the background; `on_lost` is called with the reason of the end."""

        async def run() -> None:
            on_lost(await self.receive(on_message))

        self._reader = asyncio.get_running_loop().create_task(run())


class PeerStreamConnector:
    """Opens links."""

    async def connect(
        self,
        member: ProxyMember,
        on_message: Callable[[PeerMessage], None],
        on_lost: Callable[[str], None],
    ) -> PeerStream:
        """Open a connection; raises PeerUnavailable."""
        stream = IOStream(client_socket())
        try:
            await stream.connect((member.host, member.port))
        except (StreamClosedError, OSError) as error:
            stream.close()
            raise PeerUnavailable(str(error), sent=False) from error
        except asyncio.CancelledError:
            stream.close()
            raise
        opened = PeerStream(stream)
        opened.start(on_message, on_lost)
        return opened


class PeerListener(TCPServer):
    """Accepts links."""

    def __init__(self, service: PeerService) -> None:
        super().__init__()
        self._service = service
        self._streams: set[PeerStream] = set()

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve one link to its end."""
        watchful(stream.socket)
        opened = PeerStream(stream)
        self._streams.add(opened)
        served = self._service.link(LinkWriter(opened.send, opened.drained, opened.close))
        try:
            await opened.receive(served.take)
        finally:
            self._streams.discard(opened)
            self._service.ended(served)

    def close_links(self) -> None:
        """Cut all links."""
        for opened in list(self._streams):
            opened.close()
