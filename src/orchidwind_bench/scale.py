"""Measures what each role costs as the system grows: hollow nodes, and real proxies beside them.

Hollow nodes run the product's membership, configuration and placement classes with a virtual
clock, many in one process, with real encoding; processor time is this process's own. Real proxies
are processes on loopback before stand-in groups.
"""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from itertools import count
from statistics import median

import msgspec

from orchidwind.core.admission import TrafficClass
from orchidwind.core.caller_session import CallerSession
from orchidwind.core.configuration import ConfigurationDocument, OperatorFile
from orchidwind.core.group_effects import Finished, GroupOptions, PollInstance, RunOnConnection
from orchidwind.core.group_view import InstanceReport
from orchidwind.core.home_group import HomeGroup
from orchidwind.core.membership import Member, Membership
from orchidwind.core.placement import Node, Placement
from orchidwind.core.pool import OpenConnection
from orchidwind.core.positions import Position
from orchidwind.core.statements import (
    ChannelKey,
    Floor,
    FloorMode,
    RequestKind,
    RunResult,
    Statement,
    StatementRequest,
)
from orchidwind_bench.simulation.hollow import HollowCluster, sample_configuration
from orchidwind_bench.simulation.network import NetworkSettings

UDP_HEADER_BYTES = 28
_JOIN_BOUND_SECONDS = 120.0
_STEADY_SECONDS = 30.0
_EVENT_BOUND_SECONDS = 60.0
_LOSS_SECONDS = 60.0


class MembershipPoint(msgspec.Struct, frozen=True):
    """A hollow cluster at one size. Rates are a node's median, per second of virtual time."""

    nodes: int
    databases: int
    join_seconds: float
    datagrams_a_second: float
    bytes_a_second: float
    processor_seconds_a_second: float
    state_bytes: int
    detect_seconds: float
    configuration_seconds: float
    configuration_bytes: int
    configuration_fetches_a_node: float
    platform_readers: int
    leave_seconds: float


class LossPoint(msgspec.Struct, frozen=True):
    """A cluster whose network loses datagrams; no member ever fails.

    `suspicions` and `declared_dead` are counted over all pairs of members in the whole time.
    """

    nodes: int
    loss: float
    seconds: float
    suspicions: int
    declared_dead: int


class PlacementPoint(msgspec.Struct, frozen=True):
    """What a change of the view or of the configuration costs one node, in processor seconds."""

    nodes: int
    databases: int
    decode_seconds: float
    placement_seconds: float
    configuration_bytes: int
    configuration_state_bytes: int
    homes: int


class HomePoint(msgspec.Struct, frozen=True):
    """A home's core without sockets: state a database, processor time a report and a request."""

    databases: int
    state_bytes_a_database: float
    report_seconds: float
    read_seconds: float
    write_seconds: float


class SessionPoint(msgspec.Struct, frozen=True):
    """The core state of callers' sessions."""

    sessions: int
    state_bytes_a_session: float


class HollowResults(msgspec.Struct):
    """All hollow measurements."""

    membership: list[MembershipPoint] = []
    loss: list[LossPoint] = []
    placement: list[PlacementPoint] = []
    homes: list[HomePoint] = []
    sessions: list[SessionPoint] = []


def target_zones(regions: int = 2, zones_a_region: int = 5) -> list[str]:
    """The zones of the target: each of the regions has this many."""
    return [
        f"region-{region}/zone-{zone}"
        for region in range(regions)
        for zone in range(zones_a_region)
    ]


def state_bytes(make: Callable[[], object]) -> int:
    """Memory that an object keeps, by Python's allocator."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return used


# --- membership -------------------------------------------------------------------------------


def measure_membership(nodes: int, databases: int, seed: int) -> MembershipPoint:
    """Join, run quietly, kill one, change the configuration, let one leave."""
    zones = target_zones()
    cluster = HollowCluster(zones, seed=seed)
    cluster.platform.document = sample_configuration(1, zones, databases)
    cluster.add_nodes(nodes)
    join = _until(cluster, lambda: _all_see_all(cluster), _JOIN_BOUND_SECONDS)
    _until(cluster, lambda: cluster.everyone_has(1), _EVENT_BOUND_SECONDS)
    cluster.events.run_until(cluster.events.now + 5.0)
    rates = _steady_rates(cluster)
    victim = cluster.live()[-1].name
    cluster.kill(victim)
    detect = _until(cluster, lambda: _nobody_uses(cluster, victim), _EVENT_BOUND_SECONDS)
    changed = _configuration_change(cluster, databases)
    leaver = cluster.live()[-1].name
    cluster.nodes[leaver].leave()
    leave = _until(cluster, lambda: _nobody_uses(cluster, leaver), _EVENT_BOUND_SECONDS)
    assert cluster.platform.document is not None
    return MembershipPoint(
        nodes=nodes,
        databases=databases,
        join_seconds=join,
        datagrams_a_second=rates[0],
        bytes_a_second=rates[1],
        processor_seconds_a_second=rates[2],
        state_bytes=state_bytes(lambda: _full_membership(nodes)),
        detect_seconds=detect,
        configuration_seconds=changed[0],
        configuration_bytes=len(msgspec.json.encode(cluster.platform.document.content)),
        configuration_fetches_a_node=changed[1],
        platform_readers=len(cluster.platform.readers),
        leave_seconds=leave,
    )


def measure_loss(nodes: int, loss: float, seconds: float, seed: int) -> LossPoint:
    """Wrong suspicions and wrong declarations of death under loss."""
    cluster = HollowCluster(target_zones(), seed=seed, network=NetworkSettings(loss=loss))
    cluster.platform.document = sample_configuration(1, cluster.zones, 5)
    cluster.add_nodes(nodes)
    _until(cluster, lambda: _all_see_all(cluster), _JOIN_BOUND_SECONDS)
    before = sum(node.membership.suspicions for node in cluster.live())
    changes = sum(node.costs.view_changes for node in cluster.live())
    cluster.events.run_until(cluster.events.now + seconds)
    return LossPoint(
        nodes=nodes,
        loss=loss,
        seconds=seconds,
        suspicions=sum(node.membership.suspicions for node in cluster.live()) - before,
        declared_dead=sum(node.costs.view_changes for node in cluster.live()) - changes,
    )


def _until(cluster: HollowCluster, condition: Callable[[], bool], bound: float) -> float:
    """Seconds until a condition holds, looked at every tenth of a second; inf past the bound."""
    started = cluster.events.now
    while not condition():
        if cluster.events.now - started > bound:
            return float("inf")
        cluster.events.run_until(cluster.events.now + 0.1)
    return cluster.events.now - started


def _all_see_all(cluster: HollowCluster) -> bool:
    count_live = len(cluster.live())
    return all(len(node.membership.usable()) == count_live for node in cluster.live())


def _nobody_uses(cluster: HollowCluster, name: str) -> bool:
    return not any(
        member.name == name
        for node in cluster.live()
        if node.name != name
        for member in node.membership.usable()
    )


def _steady_rates(cluster: HollowCluster) -> tuple[float, float, float]:
    before = {node.name: _totals(node.costs) for node in cluster.live()}
    cluster.events.run_until(cluster.events.now + _STEADY_SECONDS)
    spent = [
        tuple(
            (after - earlier) / _STEADY_SECONDS
            for after, earlier in zip(_totals(node.costs), before[node.name], strict=True)
        )
        for node in cluster.live()
    ]
    datagrams, sent, processor = (median(values) for values in zip(*spent, strict=True))
    return datagrams, sent, processor


def _totals(costs: object) -> tuple[float, float, float]:
    datagrams = costs.datagrams_sent  # type: ignore[attr-defined]
    carried = costs.bytes_sent + costs.bytes_received  # type: ignore[attr-defined]
    headers = 2 * UDP_HEADER_BYTES * datagrams
    return datagrams, carried + headers, costs.processor_seconds  # type: ignore[attr-defined]


def _configuration_change(cluster: HollowCluster, databases: int) -> tuple[float, float]:
    fetched = sum(node.costs.configuration_fetches for node in cluster.live())
    cluster.platform.readers.clear()
    cluster.platform.document = sample_configuration(2, cluster.zones, databases)
    seconds = _until(cluster, lambda: cluster.everyone_has(2), _EVENT_BOUND_SECONDS)
    fetches = sum(node.costs.configuration_fetches for node in cluster.live()) - fetched
    return seconds, fetches / len(cluster.live())


def _full_membership(nodes: int) -> Membership:
    membership = Membership(_member(0), [], random.Random(1))
    membership.members = {f"node-{number}": _member(number) for number in range(nodes)}
    return membership


def _member(number: int) -> Member:
    return Member(f"node-{number}", f"zone-{number % 10}", f"10.0.0.{number}", 6433, 6434)


# --- placement and configuration --------------------------------------------------------------


def measure_placement(nodes: int, databases: int) -> PlacementPoint:
    """Decode a configuration, and work out all roles of one node."""
    zones = target_zones()
    document = sample_configuration(1, zones, databases)
    encoded = msgspec.json.encode(document.content)
    decode = _best(lambda: msgspec.json.decode(encoded, type=OperatorFile))
    members = [Node(f"node-{number}", zones[number % len(zones)]) for number in range(nodes)]

    def place() -> int:
        placement = Placement(members, document.content.zones)
        return sum(
            1 for item in document.content.databases if placement.shares_of(item, members[0]) > 0
        )

    return PlacementPoint(
        nodes=nodes,
        databases=databases,
        decode_seconds=decode,
        placement_seconds=_best(place),
        configuration_bytes=len(encoded),
        configuration_state_bytes=state_bytes(
            lambda: ConfigurationDocument(1, msgspec.json.decode(encoded, type=OperatorFile))
        ),
        homes=place(),
    )


def _best(work: Callable[[], object], repeats: int = 5) -> float:
    """Median processor time of a few runs."""
    times = []
    for _ in range(repeats):
        started = time.process_time()
        work()
        times.append(time.process_time() - started)
    return median(times)


# --- homes and sessions -----------------------------------------------------------------------


class _InstantBackend:
    """Answers a HomeGroup's effects at once, so that only the core's own time is measured."""

    def __init__(self) -> None:
        self.group = HomeGroup(dict.fromkeys(("a", "b", "c"), 5), GroupOptions())
        self.now = 1.0
        self.lsn = 100
        self.outcomes = 0
        self._numbers = count(1)

    def settle(self, effects: list) -> None:
        """Carry out effects until none is left, but for polls."""
        waiting = list(effects)
        while waiting:
            effect = waiting.pop(0)
            if isinstance(effect, OpenConnection):
                waiting.extend(self.group.connection_opened(self.now, effect.connection))
            elif isinstance(effect, RunOnConnection):
                result = RunResult(tag="SELECT 1")
                waiting.extend(self.group.run_finished(self.now, effect.connection, result))
            elif isinstance(effect, PollInstance):
                self.now += 0.0005
                waiting.extend(self.group.report(self.now, self.report_of(effect)))
            elif isinstance(effect, Finished):
                self.outcomes += 1

    def report_of(self, effect: PollInstance) -> InstanceReport:
        """A report of an instance that is up to date."""
        replica = effect.instance != "a"
        position = Position(1, self.lsn)
        return InstanceReport(
            effect.instance, effect.asked_at, self.now, replica, 1, position, self.lsn
        )

    def request(self, kind: RequestKind) -> None:
        """One request from its arrival to its outcome."""
        self.now += 0.001
        if kind is RequestKind.WRITE:
            self.lsn += 100
        request = StatementRequest(
            number=next(self._numbers),
            channel=ChannelKey("link", 1),
            database="d",
            kind=kind,
            statement=Statement("SELECT 1"),
            floor=Floor(FloorMode.KNOWN, Position(1, 100)),
            traffic_class=TrafficClass("default"),
            expires_at=self.now + 5.0,
        )
        self.settle(self.group.submit(self.now, request))


def measure_home(databases: int, requests: int = 3000) -> HomePoint:
    """State a database, and processor time a report, a read and a write, of the core alone."""

    def make() -> list[_InstantBackend]:
        backends = [_InstantBackend() for _ in range(databases)]
        for backend in backends:
            backend.settle(backend.group.tick(backend.now))
        return backends

    used = state_bytes(make)
    backend = make()[0]
    return HomePoint(
        databases=databases,
        state_bytes_a_database=used / databases,
        report_seconds=_a_piece(lambda: _report(backend), requests),
        read_seconds=_a_piece(lambda: backend.request(RequestKind.READ), requests),
        write_seconds=_a_piece(lambda: backend.request(RequestKind.WRITE), requests),
    )


def _report(backend: _InstantBackend) -> None:
    backend.now += 1.0
    backend.settle(backend.group.tick(backend.now))


def _a_piece(work: Callable[[], None], pieces: int) -> float:
    started = time.process_time()
    for _ in range(pieces):
        work()
    return (time.process_time() - started) / pieces


def measure_sessions(sessions: int) -> SessionPoint:
    """State of callers' sessions, without their sockets."""
    used = state_bytes(lambda: [CallerSession({}) for _ in range(sessions)])
    return SessionPoint(sessions, used / sessions)


def measure_small(nodes: list[int], databases: list[int], results: HollowResults) -> None:
    """What takes no cluster: placement, homes, sessions."""
    for held in databases:
        results.placement.append(measure_placement(nodes[-1], held))
    for size in nodes[:-1]:
        results.placement.append(measure_placement(size, databases[-1]))
    for held in (5, 12, 25):
        results.homes.append(measure_home(held))
    for sessions in (1000, 5000):
        results.sessions.append(measure_sessions(sessions))
