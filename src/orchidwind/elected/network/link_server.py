"""The home proxy's side of links: accepts one link from each other proxy.

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
    """Accepts links from other proxies."""

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
        """Serve one link until it closes."""
        configure_socket(stream.socket)
        self._streams.add(stream)
        session = LinkSession(
            stream, self._homes, self._configuration, next(self._serials), self._on_hello
        )
        try:
            await session.run()
        except StreamClosedError:
            pass  # the normal end of a link; the other proxy logs the requests that were pending
        except (codec.DecodeError, ValueError) as error:
            log_event("peer_link_refused", peer=session.peer, reason=repr(error))
            stream.close()
        finally:
            self._streams.discard(stream)
            if self._by_peer.get(session.peer) is session:
                del self._by_peer[session.peer]
            session.end()

    def _on_hello(self, session: LinkSession) -> None:
        """Register the link of a proxy and close its previous link.

        A proxy holds one link to each other proxy, so a new link shows that the previous one is no
        longer in use. That one may be silent and never close by itself; closing it rolls back its
        open transactions now.
        """
        previous = self._by_peer.get(session.peer)
        self._by_peer[session.peer] = session
        if previous is not None:
            log_event("peer_link_replaced", peer=session.peer, channels=previous.channels)
            previous.close()

    def close_links(self) -> None:
        """Close all links."""
        for stream in list(self._streams):
            stream.close()
