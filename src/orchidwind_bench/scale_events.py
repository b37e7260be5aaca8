"""The target's events on hollow nodes: failures, restarts, a rack, a zone, parted regions."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from statistics import median

import msgspec

from orchidwind_bench.checkers import History, Result
from orchidwind_bench.scale import target_zones
from orchidwind_bench.simulation.hollow import HollowCluster, sample_configuration
from orchidwind_bench.simulation.system import SimulatedSystem

_BOUND_SECONDS = 300.0
_RACK_NODES = 10
_DAY_FAILURES = 4
_DAY_RESTARTS = 120


class EventPoint(msgspec.Struct, frozen=True):
    """One event: time until every node's view and configuration are right again.

    `reverted` counts nodes whose configuration ever went to a lower version.
    """

    event: str
    nodes: int
    settle_seconds: float
    datagrams_a_node: float
    bytes_a_node: float
    processor_seconds_a_node: float
    reverted: int
    remark: str = ""


class PrimaryChangePoint(msgspec.Struct, frozen=True):
    """Changes of primary on the simulator: gaps in seconds, and what happened meanwhile."""

    changes: int
    median_gap: float
    worst_gap: float
    median_promotion: float
    worst_added: float
    median_added: float
    writes_refused: int
    writes_unknown: int
    reads_during: int
    reads_answered_during: int


class EventResults(msgspec.Struct):
    """All simulated events."""

    events: list[EventPoint] = []
    primary_changes: PrimaryChangePoint | None = None


class _Scene:
    """A settled cluster at the target's size, and the measurement of one event on it."""

    def __init__(self, nodes: int, databases: int, seed: int) -> None:
        self.cluster = HollowCluster(target_zones(), seed=seed)
        self.version = 1
        self.databases = databases
        self.cluster.platform.document = sample_configuration(1, self.cluster.zones, databases)
        self.cluster.add_nodes(nodes)
        self.wait()

    def wait(self) -> float:
        """Run until every live node sees exactly the live ones and has the newest version."""
        cluster = self.cluster
        started = cluster.events.now
        while not self._settled():
            if cluster.events.now - started > _BOUND_SECONDS:
                return float("inf")
            cluster.events.run_until(cluster.events.now + 0.5)
        return cluster.events.now - started

    def _settled(self) -> bool:
        live = self.cluster.live()
        names = {node.name for node in live}
        if not self.cluster.everyone_has(self.version):
            return False
        return all(
            len(usable := node.membership.usable()) == len(names)
            and {member.name for member in usable} == names
            for node in live
        )

    def change_configuration(self) -> None:
        """A new version at the platform."""
        self.version += 1
        self.cluster.platform.document = sample_configuration(
            self.version, self.cluster.zones, self.databases
        )

    def measure(self, event: str, act: Callable[[], str | None]) -> EventPoint:
        """Perform an event and wait until all is settled."""
        before = self._totals()
        remark = act() or ""
        settle = self.wait()
        after = self._totals()
        count = len(self.cluster.live())
        spent = [(late - early) / count for late, early in zip(after, before, strict=True)]
        return EventPoint(
            event=event,
            nodes=count,
            settle_seconds=settle,
            datagrams_a_node=spent[0],
            bytes_a_node=spent[1],
            processor_seconds_a_node=spent[2],
            reverted=self.reverted(),
            remark=remark,
        )

    def _totals(self) -> tuple[float, float, float]:
        nodes = self.cluster.nodes.values()
        return (
            sum(node.costs.datagrams_sent for node in nodes),
            sum(node.costs.bytes_sent + node.costs.bytes_received for node in nodes),
            sum(node.costs.processor_seconds for node in nodes),
        )

    def reverted(self) -> int:
        """Nodes whose versions were ever not strictly rising."""
        return sum(
            1
            for node in self.cluster.nodes.values()
            if [v for _, v in node.adopted] != sorted({v for _, v in node.adopted})
        )


def _kill_zone(scene: _Scene, zone: str) -> str:
    victims = [node.name for node in scene.cluster.live() if node.zone == zone]
    for name in victims:
        scene.cluster.kill(name)
    return f"{len(victims)} nodes gone at once"


def _kill_rack(scene: _Scene) -> str:
    zone = scene.cluster.zones[0]
    victims = [node.name for node in scene.cluster.live() if node.zone == zone][:_RACK_NODES]
    for name in victims:
        scene.cluster.kill(name)
    return f"{len(victims)} nodes of one zone gone at once"


def _bring_back(scene: _Scene) -> str:
    down = [node for node in scene.cluster.nodes.values() if not node.alive]
    for node in down:
        scene.cluster.start_node(node.name, node.zone)
    return f"{len(down)} nodes started without memory"


def _part_regions(scene: _Scene, seconds: float) -> str:
    """Cut the regions, change the configuration meanwhile on one side, and heal."""
    cluster = scene.cluster
    first = [zone for zone in cluster.zones if zone.startswith("region-0")]
    second = [zone for zone in cluster.zones if zone.startswith("region-1")]
    for zone in first:
        for other in second:
            cluster.network.cut(zone, other)
    for zone in second:
        cluster.network.cut(zone, "platform-zone")
    cluster.events.run_until(cluster.events.now + seconds / 2)
    scene.change_configuration()
    cluster.events.run_until(cluster.events.now + seconds / 2)
    behind = sum(1 for node in cluster.live() if node.history.version < scene.version)
    cluster.network.heal()
    return (
        f"parted for {seconds:.0f} s, the platform with one region; {behind} nodes kept the"
        " former version meanwhile; time counts from the heal"
    )


def _compressed_day(scene: _Scene, seconds: float) -> str:
    """A day's failures and restarts, pressed into a shorter time."""
    cluster = scene.cluster
    generator = cluster.random
    total = _DAY_FAILURES + _DAY_RESTARTS
    for number in range(total):
        live = cluster.live()
        node = live[generator.randrange(len(live))]
        if number % (total // _DAY_FAILURES) == 0:
            cluster.kill(node.name)
            cluster.events.after(5.0, partial(cluster.start_node, node.name, node.zone))
        else:
            node.leave()
            cluster.events.after(1.0, partial(cluster.kill, node.name))
            cluster.events.after(3.0, partial(cluster.start_node, node.name, node.zone))
        cluster.events.run_until(cluster.events.now + seconds / total)
    cluster.events.run_until(cluster.events.now + 6.0)
    return f"{_DAY_FAILURES} failures and {_DAY_RESTARTS} restarts within {seconds:.0f} s"


_Steps = list[tuple[str, Callable[[], str | None]]]


def _machine_steps(scene: _Scene) -> _Steps:
    return [
        ("configuration change", scene.change_configuration),
        ("one machine fails", lambda: _kill_one(scene)),
        ("a rack or switch goes", lambda: _kill_rack(scene)),
        ("the rack is replaced", lambda: _bring_back(scene)),
        ("a zone goes", lambda: _kill_zone(scene, scene.cluster.zones[2])),
        ("the zone is replaced", lambda: _bring_back(scene)),
    ]


def measure_machine_events(nodes: int, databases: int, seed: int) -> list[EventPoint]:
    """Machines, a rack and a zone go and come back."""
    scene = _Scene(nodes, databases, seed)
    return [scene.measure(name, act) for name, act in _machine_steps(scene)]


def measure_day(nodes: int, databases: int, seed: int, seconds: float) -> list[EventPoint]:
    """A day's failures and restarts in a shorter time."""
    scene = _Scene(nodes, databases, seed)
    name = "a day's failures and restarts"
    return [scene.measure(name, lambda: _compressed_day(scene, seconds))]


def measure_parting(nodes: int, databases: int, seed: int, seconds: float) -> list[EventPoint]:
    """The regions lose each other."""
    scene = _Scene(nodes, databases, seed)
    name = "regions parted and healed"
    return [scene.measure(name, lambda: _part_regions(scene, seconds))]


def _kill_one(scene: _Scene) -> None:
    scene.cluster.kill(scene.cluster.live()[-1].name)


class _PrimaryChanges:
    """Sums over many separate changes of primary."""

    def __init__(self) -> None:
        self.gaps: list[float] = []
        self.promotions: list[float] = []
        self.added: list[float] = []
        self.refused = 0
        self.unknown = 0
        self.reads = 0
        self.answered = 0

    def one(self, seed: int) -> None:
        """Kill the primary of a loaded system and look at what callers saw."""
        system = SimulatedSystem(seed=seed, zones=["a", "b", "c"], callers=12, think=0.02)
        system.events.run_until(3.0 + seed * 0.037)
        primary = system.database.primary()
        assert primary is not None
        killed_at = system.events.now
        system.database.kill(primary.name)
        system.events.run_while(lambda: system.database.primary() is None, killed_at + 10)
        promoted_at = system.events.now
        system.events.run_until(killed_at + 5.0)
        self._take(system.history, killed_at, promoted_at)

    def _take(self, history: History, killed_at: float, promoted_at: float) -> None:
        first = min(
            write.ended
            for write in history.writes
            if write.result is Result.OK and write.ended > promoted_at
        )
        self.gaps.append(first - killed_at)
        self.promotions.append(promoted_at - killed_at)
        self.added.append(first - promoted_at)
        during = [write for write in history.writes if killed_at <= write.started < first]
        self.refused += sum(write.result is Result.NOT_RUN for write in during)
        self.unknown += sum(write.result is Result.UNKNOWN for write in during)
        reads = [read for read in history.reads if killed_at <= read.started < promoted_at]
        self.reads += len(reads)
        self.answered += sum(
            read.result is Result.OK and read.ended < promoted_at + 0.05 for read in reads
        )


def measure_primary_changes(changes: int) -> PrimaryChangePoint:
    """Kill the primary under load, in as many separate systems."""
    sums = _PrimaryChanges()
    for seed in range(changes):
        sums.one(seed)
    return PrimaryChangePoint(
        changes=changes,
        median_gap=median(sums.gaps),
        worst_gap=max(sums.gaps),
        median_promotion=median(sums.promotions),
        worst_added=max(sums.added),
        median_added=median(sums.added),
        writes_refused=sums.refused,
        writes_unknown=sums.unknown,
        reads_during=sums.reads,
        reads_answered_during=sums.answered,
    )
