"""Links between proxies for promoted groups over TCP: the `PeerConnector` port and the listener.

For: `peer_link` on the requesting side, `peer_service` on the answering side. Owns the sockets.
Relies on `peer_codec` for the messages.

A side that drops a link resets the connection: data still in transit must not be delivered later,
as the sender has answered its caller by then.
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
from orchidwind.promoted.traffic import Counterpart, Traffic, ZoneTraffic
from orchidwind.shared.core.errors import PeerUnavailable
from orchidwind.shared.sockets import client_socket, configure_socket

# The maximum size of one read of a socket, bytes: a TCP window. Longer messages take several reads.
_READ_BYTES = 65536
# Linger for zero seconds: closing resets the connection and discards unsent data.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def _codec() -> ModuleType:
    """Return the codec module, imported on first use: a system without links does not need it."""
    from orchidwind.promoted.peers import peer_codec

    return peer_codec


class PeerStream:
    """One end of a link."""

    def __init__(self, stream: IOStream, traffic: ZoneTraffic | None = None) -> None:
        """`traffic` counts what is exchanged; None if the other side counts it."""
        self._stream = stream
        self._traffic = traffic
        self._reader: asyncio.Task[None] | None = None
        self._written: asyncio.Future[None] | None = None
        self._loop = asyncio.get_running_loop()
        self.last_byte_at = self._loop.time()

    def send(self, message: PeerMessage) -> None:
        """Send a message; does nothing if the connection is closed."""
        if not self._stream.closed():
            frame = _codec().encode_peer(message)
            if self._traffic is not None:
                self._traffic.sent(len(frame))
            self._written = self._stream.write(frame)

    async def drained(self) -> None:
        """Wait until all sent messages are written to the socket, or the connection is closed."""
        if self._written is not None:
            # The reader of a closed connection reports the end.
            with contextlib.suppress(StreamClosedError):
                await self._written

    async def receive(self, on_message: Callable[[PeerMessage], None]) -> str:
        """Pass messages to `on_message` until the connection ends; return the reason."""
        codec = _codec()
        frames = codec.FrameCutter(codec.MAXIMUM_PEER_FRAME_BYTES)
        try:
            while True:
                data = await self._stream.read_bytes(_READ_BYTES, partial=True)
                if self._traffic is not None:
                    self._traffic.received(len(data))
                frames.feed(data)
                self.last_byte_at = self._loop.time()
                if self._given_up():
                    self.close()
                    return "dropped by the other side"
                while (body := frames.next_body()) is not None:
                    on_message(codec.decode_peer(body))
        except StreamClosedError:
            # The usual end of a link; the caller logs the reason.
            return "closed"
        except codec.DecodeError as error:
            self.close()
            return str(error)

    def _given_up(self) -> bool:
        """Whether the other side has closed the connection after the data that was just read.

        After a freeze of this process, the data that it reads may be long out of date.
        """
        if self._stream.socket is None:
            return True
        try:
            return self._stream.socket.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            # The connection is open and has no more data.
            return False
        except OSError:
            # The other side has reset the connection.
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
        """Receive messages in the background; `on_lost` gets the reason when the link ends."""

        async def run() -> None:
            on_lost(await self.receive(on_message))

        self._reader = asyncio.get_running_loop().create_task(run())


class PeerStreamConnector:
    """Opens links to other proxies over TCP."""

    def __init__(self, traffic: Traffic | None = None) -> None:
        """`traffic` counts what is exchanged on the links."""
        self._traffic = traffic or Traffic()

    async def connect(
        self,
        member: ProxyMember,
        on_message: Callable[[PeerMessage], None],
        on_lost: Callable[[str], None],
    ) -> PeerStream:
        """Open a connection and start receiving; raises PeerUnavailable."""
        stream = IOStream(client_socket())
        try:
            await stream.connect((member.host, member.port))
        except (StreamClosedError, OSError) as error:
            stream.close()
            raise PeerUnavailable(str(error), sent=False) from error
        except asyncio.CancelledError:
            stream.close()
            raise
        opened = PeerStream(stream, self._traffic.of(Counterpart.PROXY, member.zone))
        opened.start(on_message, on_lost)
        return opened


class PeerListener(TCPServer):
    """Accepts links from other proxies over TCP."""

    def __init__(self, service: PeerService) -> None:
        super().__init__()
        self._service = service
        self._streams: set[PeerStream] = set()

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve one link until its connection ends."""
        configure_socket(stream.socket)
        opened = PeerStream(stream)
        self._streams.add(opened)
        served = self._service.link(LinkWriter(opened.send, opened.drained, opened.close))
        try:
            await opened.receive(served.handle_message)
        finally:
            self._streams.discard(opened)
            self._service.link_ended(served)

    def close_links(self) -> None:
        """Reset the connections of all links."""
        for opened in list(self._streams):
            opened.close()
