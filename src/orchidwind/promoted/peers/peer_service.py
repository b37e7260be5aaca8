"""The links that other proxies opened to this one as a home of groups.

For: the listeners (`peer_streams`), which accept links and receive their messages. Owns the current
link of each proxy, and the announcement on all links that this proxy is stopping. Relies on
`served_link`.
"""

from __future__ import annotations

from orchidwind.promoted.peers.home_ports import HomePorts, LinkWriter
from orchidwind.promoted.peers.long_sends import LongSendQueue
from orchidwind.promoted.peers.served_link import ServedLink
from orchidwind.shared.logs import log_event


class PeerService:
    """The links that other proxies opened to this one."""

    def __init__(self, home: HomePorts) -> None:
        self.leaving = False
        self._home = home
        self._links: set[ServedLink] = set()
        self._by_proxy: dict[str, ServedLink] = {}
        self._long_sends = LongSendQueue()

    def link(self, writer: LinkWriter) -> ServedLink:
        """Add a link that was opened; return its state."""
        served = ServedLink(
            self._home, writer, self._long_sends, lambda: self.leaving, self._greeted
        )
        self._links.add(served)
        return served

    def link_ended(self, served: ServedLink) -> None:
        """Remove a link that has ended: transactions that were open on it are rolled back."""
        self._links.discard(served)
        if self._by_proxy.get(served.proxy) is served:
            del self._by_proxy[served.proxy]
        served.end()

    def _greeted(self, served: ServedLink) -> None:
        """Replace the earlier link of a proxy that has opened a new one.

        A proxy opens a new link after it dropped the earlier one, whose connection may stay open
        and silent: transactions on it are rolled back now.
        """
        older = self._by_proxy.get(served.proxy)
        self._by_proxy[served.proxy] = served
        if older is not None and older is not served:
            log_event("peer_link_replaced", peer=served.proxy, channels=older.channels)
            older.close()

    def leave(self) -> None:
        """Announce that this proxy is stopping.

        Other proxies then send their next transactions and statements elsewhere.
        """
        self.leaving = True
        for served in self._links:
            served.announce_leaving()
