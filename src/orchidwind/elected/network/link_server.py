"""The home's side of links: takes the links of other proxies, one from each.

Owns the open links; `link_session.py` serves each of them.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import count

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from orchidwind.elected.network import codec
from orchidwind.elected.network.frame_stream import LINK_BUFFER_BYTES
from orchidwind.elected.network.home_service import HomeService
from orchidwind.elected.network.link_session import LinkSession
from orchidwind.shared.logs import log_event
from orchidwind.shared.sockets import configure_socket


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
        self._by_peer: dict[str, LinkSession] = {}

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve one link to its end."""
        configure_socket(stream.socket)
        self._streams.add(stream)
        session = LinkSession(
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

    def _greeted(self, session: LinkSession) -> None:
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
