"""Simulated members: the real membership, configuration and placement classes in one process.

Datagrams are encoded and decoded as on a real node; only the sockets are missing.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from orchidwind.elected.core.configuration import (
    ConfigurationDocument,
    DatabaseSettings,
    InstanceAddress,
    OperatorFile,
    UserSettings,
    ZoneSettings,
)
from orchidwind.elected.core.configuration_history import Adopt, ConfigurationHistory, HistoryEffect
from orchidwind.elected.core.member_table import Member, MemberState
from orchidwind.elected.core.membership import Membership
from orchidwind.elected.core.membership_messages import MembershipEffect, SendDatagram, ViewChanged
from orchidwind.elected.core.membership_settings import MembershipSettings
from orchidwind.elected.core.placement import Node, Placement
from orchidwind.elected.network import codec
from orchidwind_bench.elected.simulation.events import EventQueue, Timer
from orchidwind_bench.elected.simulation.network import Network, NetworkSettings

_GOSSIP_PORT = 1
_WATCH_POLL_SECONDS = 0.5
_PLATFORM = "platform"
WATCHERS_PER_ZONE = 2


class SimulatedPlatform:
    """Holds the configuration; answers are slow, or none, while it is down. Counts readers."""

    def __init__(self) -> None:
        self.document: ConfigurationDocument | None = None
        self.down = False
        self.reads = 0
        self.readers: set[str] = set()

    def read(self, reader: str) -> ConfigurationDocument | None:
        """One read or watch poll."""
        if self.down:
            return None
        self.reads += 1
        self.readers.add(reader)
        return self.document


class MemberNode:
    """One proxy without callers."""

    def __init__(self, cluster: MemberCluster, name: str, zone: str, seeds: Iterable[str]) -> None:
        self.name = name
        self.zone = zone
        self.cluster = cluster
        self.view_changes = 0
        self.history = ConfigurationHistory()
        self.adopted: list[tuple[float, int]] = []
        own = Member(name, zone, name, _GOSSIP_PORT, _GOSSIP_PORT)
        self.membership = Membership(
            own,
            [(seed, _GOSSIP_PORT) for seed in seeds if seed != name],
            random.Random(f"{cluster.seed}/{name}/{cluster.events.now}"),
            cluster.membership_settings,
        )
        self.alive = True
        self._placement: Placement | None = None
        self._timer = Timer(cluster.events, lambda: cluster.network.on_host(name, self._tick))

    def start(self) -> None:
        """Join, and begin to follow the platform."""
        self._perform(self.membership.start(self.cluster.events.now))
        self.cluster.events.after(1.0, self._watch)

    def stop(self) -> None:
        """The process is killed."""
        self.alive = False
        self._timer.stopped = True

    def leave(self) -> None:
        """Planned stop."""
        self._perform(self.membership.leave())

    def receive(self, body: bytes) -> None:
        """A datagram came."""
        if not self.alive:
            return
        now = self.cluster.events.now
        self._perform(self.membership.receive(now, codec.decode_datagram(body)))

    def _tick(self) -> None:
        if self.alive:
            self._perform(self.membership.tick(self.cluster.events.now))

    def _perform(self, effects: list[MembershipEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendDatagram):
                body = codec.encode_datagram(effect.message)
                self.cluster.deliver(self.name, effect.host, body)
            elif isinstance(effect, ViewChanged):
                self.view_changes += 1
                self._placement = None
            else:
                peers = len(self.membership.reachable()) - 1
                self._take(self.history.on_peer_version(effect.peer, effect.version, peers))
        self._timer.set(self.membership.deadline())

    def _take(self, effects: list[HistoryEffect]) -> None:
        for effect in effects:
            if isinstance(effect, Adopt):
                self._adopt(effect.document)
            else:
                self.cluster.fetch_configuration(self, effect.peer)

    def _adopt(self, document: ConfigurationDocument) -> None:
        self.adopted.append((self.cluster.events.now, document.version))
        self._placement = None
        self._perform(self.membership.set_configuration_version(document.version))

    def on_peer_document(self, peer: str, document: ConfigurationDocument) -> None:
        """A peer sent its configuration."""
        if self.alive:
            peers = len(self.membership.reachable()) - 1
            self._take(self.history.on_peer_document(peer, document, peers))

    @property
    def placement(self) -> Placement:
        """The roles by this node's view."""
        if self._placement is None:
            nodes = [Node(item.name, item.zone) for item in self.membership.usable()]
            content = self.history.current.content if self.history.current else None
            self._placement = Placement(nodes, content.zones if content else [])
        return self._placement

    def _watch(self) -> None:
        if not self.alive:
            return
        self.cluster.events.after(_WATCH_POLL_SECONDS, self._watch)
        self.cluster.network.on_host(self.name, self._watch_now)

    def _watch_now(self) -> None:
        watches = self.name in self.placement.watchers(self.zone, WATCHERS_PER_ZONE)
        if self.history.current is not None and not watches:
            return
        if not self.cluster.network.connected(self.name, _PLATFORM):
            return
        document = self.cluster.platform.read(self.name)
        if document is not None:
            self._take(self.history.on_platform(document))


class MemberCluster:
    """Members in zones, joined by a simulated network."""

    def __init__(
        self,
        zones: list[str],
        *,
        seed: int,
        network: NetworkSettings | None = None,
        membership: MembershipSettings | None = None,
    ) -> None:
        self.seed = seed
        self.zones = zones
        self.events = EventQueue()
        self.random = random.Random(seed)
        self.network = Network(self.events, random.Random(f"network/{seed}"), network)
        self.network.zone_of[_PLATFORM] = "platform-zone"
        self.membership_settings = membership
        self.platform = SimulatedPlatform()
        self.nodes: dict[str, MemberNode] = {}
        self._seeds: list[str] = []

    def add_nodes(self, count: int) -> None:
        """Start nodes, spread over the zones; the first three are everyone's seeds."""
        names = [f"node-{len(self.nodes) + index}" for index in range(count)]
        self._seeds = self._seeds or names[:3]
        for index, name in enumerate(names):
            self.start_node(name, self.zones[index % len(self.zones)])

    def start_node(self, name: str, zone: str) -> MemberNode:
        """Start a node, or start it again without memory."""
        self.network.zone_of[name] = zone
        self.network.down.discard(name)
        self.network.resume(name)
        node = MemberNode(self, name, zone, self._seeds)
        self.nodes[name] = node
        self.events.after(self.random.uniform(0, 1.0), node.start)
        return node

    def kill(self, name: str) -> None:
        """A node's machine is gone."""
        self.nodes[name].stop()
        self.network.down.add(name)

    def deliver(self, source: str, target: str, body: bytes) -> None:
        """Carry a datagram."""
        node = self.nodes.get(target)
        if node is not None:
            self.network.send(source, target, lambda: node.receive(body))

    def fetch_configuration(self, node: MemberNode, peer: str) -> None:
        """Carry a request for the configuration and its answer."""
        other = self.nodes.get(peer)
        if other is None:
            return

        def answer() -> None:
            document = other.history.current
            if document is not None and other.alive:
                self.network.send(
                    peer, node.name, lambda: node.on_peer_document(peer, document), reliable=True
                )

        self.network.send(node.name, peer, answer, reliable=True)

    def live(self) -> list[MemberNode]:
        """Nodes that run."""
        return [node for node in self.nodes.values() if node.alive]

    def everyone_sees(self, names: set[str]) -> bool:
        """Whether every live node's usable members are exactly these."""
        return all({m.name for m in node.membership.usable()} == names for node in self.live())

    def everyone_has(self, version: int) -> bool:
        """Whether a version is in force at every live node."""
        return all(node.history.version >= version for node in self.live())

    def suspicions(self) -> int:
        """How many (node, live member) pairs are wrongly suspected or declared dead now."""
        live = {node.name for node in self.live()}
        return sum(
            1
            for node in self.live()
            for member in node.membership.members.values()
            if member.name in live and member.state != MemberState.ALIVE
        )


def sample_configuration(
    version: int, zones: list[str], databases: int, slots: int = 5, instances: int = 3
) -> ConfigurationDocument:
    """A configuration of the target's shape."""
    content = OperatorFile(
        zones=[ZoneSettings(zone, zone.partition("/")[0]) for zone in zones],
        databases=[
            DatabaseSettings(
                name=f"database-{number}",
                slots=slots,
                instances=[
                    InstanceAddress(
                        f"database-{number}-{index}",
                        f"10.0.{number % 250}.{index}",
                        5432,
                        zones[(number + index) % len(zones)],
                    )
                    for index in range(instances)
                ],
                server_user="server",
                server_password="server-password",
            )
            for number in range(databases)
        ],
        users=[UserSettings("app", "app-password")],
    )
    return ConfigurationDocument(version, content)
