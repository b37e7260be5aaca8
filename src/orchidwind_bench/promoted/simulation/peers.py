"""Links between the proxies of the simulated world."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.peer_messages import PeerMessage
from orchidwind.promoted.peers.home_ports import LinkWriter
from orchidwind.promoted.peers.peer_codec import encode_peer
from orchidwind.promoted.peers.served_link import ServedLink
from orchidwind.promoted.proxy_runtime import ProxyRuntime
from orchidwind.shared.core.errors import PeerUnavailable
from orchidwind_bench.promoted.simulation.world import World


class SimulatedLinks:
    """All links that are open; the proxies come and go."""

    def __init__(self, world: World, nodes: Mapping[str, ProxyRuntime]) -> None:
        self.world = world
        self.nodes = nodes
        self.links: set[SimulatedPeerLink] = set()
        # Messages that were sent on all links so far, by their type.
        self.sent: Counter[str] = Counter()

    def silence(self) -> None:
        """All links that are open fall silent for good; new ones work."""
        for link in self.links:
            link.silent = True

    def break_off(self, node: str) -> None:
        """A proxy has ended: its links break."""
        for link in list(self.links):
            if node in (link.front, link.home):
                link.end("the other proxy has ended")


@dataclass(frozen=True, slots=True)
class _Parcel:
    """A message that waits for a link with a rate."""

    size: int
    arrive: Callable[[], None]


class SimulatedPeerLink:
    """One link; messages arrive in order, and are swallowed by a cut."""

    def __init__(
        self,
        links: SimulatedLinks,
        front: str,
        home: str,
        on_message: Callable[[PeerMessage], None],
        on_lost: Callable[[str], None],
    ) -> None:
        self.front = front
        self.home = home
        self._links = links
        self._on_message = on_message
        self._on_lost = on_lost
        self._service = links.nodes[home].peer_service
        self.last_byte_at = asyncio.get_running_loop().time()
        self._served: ServedLink = self._service.link(
            LinkWriter(self._send_back, self._drained, self.close)
        )
        self._open = True
        # Neither end is told of this: what is sent is taken and never arrives; with a name in
        # `silent_from`, only what that end sends.
        self.silent = False
        self.silent_from = ""
        self._waiting: dict[str, asyncio.Queue[_Parcel]] = {}
        self._carrying: list[asyncio.Task[None]] = []
        links.links.add(self)

    def send(self, message: PeerMessage) -> None:
        """From the front to the home."""
        self._carry(self.front, self.home, message, lambda: self._served.handle_message(message))

    def _send_back(self, message: PeerMessage) -> None:
        self._carry(self.home, self.front, message, lambda: self._on_message(message))

    def _carry(
        self, sender: str, receiver: str, message: PeerMessage, deliver: Callable[[], None]
    ) -> None:
        self._links.sent[type(message).__name__] += 1
        network = self._links.world.network
        network.count(sender, receiver)

        def arrive() -> None:
            if not self._open or self.silent or sender == self.silent_from:
                return
            if self._links.world.network.passes(sender, receiver):
                if receiver == self.front:
                    self.last_byte_at = asyncio.get_running_loop().time()
                deliver()

        if sender not in network.rates:
            asyncio.get_running_loop().call_later(network.latency(sender, receiver), arrive)
            return
        if sender not in self._waiting:
            self._waiting[sender] = asyncio.Queue()
            carrying = asyncio.get_running_loop().create_task(self._carry_in_order(sender))
            self._carrying.append(carrying)
        self._waiting[sender].put_nowait(_Parcel(len(encode_peer(message)), arrive))

    async def _drained(self) -> None:
        """Wait until what the home sent has left."""
        waiting = self._waiting.get(self.home)
        if waiting is not None:
            await waiting.join()

    async def _carry_in_order(self, sender: str) -> None:
        """Send what waits at one end, one message after the other."""
        network = self._links.world.network
        while True:
            parcel = await self._waiting[sender].get()
            await network.carry(sender, "out", parcel.size)
            self._waiting[sender].task_done()
            receiver = self.home if sender == self.front else self.front
            latency = network.latency(sender, receiver)
            asyncio.get_running_loop().call_later(latency, parcel.arrive)

    def close(self) -> None:
        """The front gives the link up."""
        self.end("closed")

    def end(self, reason: str) -> None:
        """The link has ended for both sides."""
        if not self._open:
            return
        self._open = False
        for carrying in self._carrying:
            carrying.cancel()
        self._links.links.discard(self)
        self._service.link_ended(self._served)
        self._on_lost(reason)


class SimulatedPeerConnector:
    """Opens links of one proxy."""

    def __init__(self, links: SimulatedLinks, node: str) -> None:
        self._links = links
        self._node = node

    async def connect(
        self,
        member: ProxyMember,
        on_message: Callable[[PeerMessage], None],
        on_lost: Callable[[str], None],
    ) -> SimulatedPeerLink:
        """Open a link; hangs where the way is cut."""
        await self._links.world.network.travel(self._node, member.name)
        await self._links.world.network.travel(member.name, self._node)
        if member.name not in self._links.nodes:
            raise PeerUnavailable("no such proxy", sent=False)
        return SimulatedPeerLink(self._links, self._node, member.name, on_message, on_lost)
