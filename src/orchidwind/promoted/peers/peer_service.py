"""All links that other proxies opened to this one as the home of their groups.

For: the listeners (`peer_streams`), which bring links and their messages. Owns which link is the
current one of each proxy, and that this proxy announces its stop on all. Relies on `served_link`.
"""

from __future__ import annotations

from orchidwind.promoted.peers.home_ports import HomePorts, LinkWriter
from orchidwind.promoted.peers.long_sends import LongSends
from orchidwind.promoted.peers.served_link import ServedLink
from orchidwind.shared.logs import log_event


class PeerService:
    """All links that other proxies opened to this one."""

    def __init__(self, home: HomePorts) -> None:
        self.leaving = False
        self._home = home
        self._links: set[ServedLink] = set()
        self._by_proxy: dict[str, ServedLink] = {}
        self._long_sends = LongSends()

    def link(self, writer: LinkWriter) -> ServedLink:
        """A link was opened."""
        served = ServedLink(
            self._home, writer, self._long_sends, lambda: self.leaving, self._greeted
        )
        self._links.add(served)
        return served

    def ended(self, served: ServedLink) -> None:
        """A link has gone: what was open on it is rolled back."""
        self._links.discard(served)
        if self._by_proxy.get(served.proxy) is served:
            del self._by_proxy[served.proxy]
        served.end()

    def _greeted(self, served: ServedLink) -> None:
        """A proxy opens a link anew once it has given the last one up.

        That one may be silent for good, without an end: what is open on it is rolled back now.
        """
        older = self._by_proxy.get(served.proxy)
        self._by_proxy[served.proxy] = served
        if older is not None and older is not served:
            log_event("peer_link_replaced", peer=served.proxy, channels=older.channels)
            older.close()

    def leave(self) -> None:
        """This proxy stops: others send their next transactions and statements elsewhere."""
        self.leaving = True
        for served in self._links:
            served.announce_leaving()
