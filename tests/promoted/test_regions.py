"""Proxies and instances in two regions: who serves whom, and what crosses the border.

In the laboratory, the primary and one replica are in the first region, the other replica in the
second, 20 ms away; two of six proxies are in the second region.
"""

import asyncio

import pytest
from support.regional_fleet import (
    FLEET,
    LIMIT,
    RegionalSystem,
    cut_off,
    front_of,
    home_of,
    region,
    with_fleet,
)

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.configuration import (
    DatabaseRoute,
    DirectoryEntry,
    PromotedGroupSettings,
    ReadConsistency,
)
from orchidwind.promoted.core.distances import ONE_REGION, Distances, Regions
from orchidwind.promoted.core.failover_steps import FailoverReason
from orchidwind.promoted.core.read_planning import ReadRequest, plan_read
from orchidwind.promoted.core.supervision import GroupSupervisor
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.promoted.traffic import Counterpart, Traffic
from orchidwind.shared.core.positions import Position
from orchidwind_bench.promoted.laboratory.play import (
    PROXIES,
    TWO_REGIONS,
    LoadPlan,
    play_load,
    slots,
)
from orchidwind_bench.promoted.simulation.callers import PromotedSystem
from orchidwind_bench.promoted.simulation.store import GROUP
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual

# Proxies are in zone-a, zone-b, zone-c in turn.
EAST = {PROXIES[2], PROXIES[5]}
WAVE = ((0.0, 0.33), (2.0, 0.6), (5.0, 0.33))
FROM, UNTIL = 1.0, 6.0
# The promised share of credit under a load that the instances can carry.
WITHIN_CAPACITY = 0.95


def crossing_reads(played):
    """Statements at a replica of the region that its caller is not in: only reads run there."""
    crossing = {True: "i-1", False: "i-2"}
    return sum(item.instance == crossing[item.node in EAST] for item in played.ran)


@pytest.mark.parametrize("seed", [1, 2])
def test_reads_stay_in_their_region_while_it_has_room(seed):
    """At half of the capacity no replica is late, so no read has a reason to cross.

    A read whose session has just written may still find the replica of its region behind.
    """
    played = play_load(LoadPlan(load=0.5, seed=seed, regions=True))
    assert played.broken == []
    assert played.figures(FROM, UNTIL).credit >= WITHIN_CAPACITY
    blind = play_load(LoadPlan(load=0.5, seed=seed, regions=True, known_regions=ONE_REGION))
    assert crossing_reads(played) <= 0.02 * len(played.ran)
    assert played.crossed < blind.crossed


def shares_here(played, width):
    """Of the second region's reads, the share at its replica, by periods of `width` seconds."""
    here, all_of = {}, {}
    for item in played.ran:
        if item.node in EAST and item.instance != "i-0":
            period = int(item.at / width)
            all_of[period] = all_of.get(period, 0) + 1
            here[period] = here.get(period, 0) + (item.instance == "i-2")
    return {period: here[period] / all_of[period] for period in sorted(all_of)}


@pytest.mark.parametrize("seed", [1, 2])
def test_a_wave_of_demand_is_carried_without_moving_all_reads_at_once(seed):
    """Sixty per cent of the load come to the region with a third of the slots, for 3 s."""
    played = play_load(LoadPlan(load=0.7, seed=seed, regions=True, wave=WAVE))
    assert played.broken == []
    assert played.figures(FROM, UNTIL).credit >= WITHIN_CAPACITY
    shares = shares_here(played, 0.5)
    changes = [abs(shares[at] - shares[at - 2]) for at in shares if at - 2 in shares]
    # Half within a second, and what chance does to the thirty reads of a period.
    assert max(changes) <= 0.5 + 0.2


@pytest.mark.parametrize("seed", [1, 2])
def test_reads_leave_the_only_replica_of_their_region_if_it_hangs(seed):
    """It accepts connections and answers status queries, but no statements."""

    def hang(hung):
        return lambda system: setattr(slots(system, "i-2"), "hung", hung)

    faults = ((FROM, hang(True)), (UNTIL, hang(False)))
    played = play_load(LoadPlan(load=0.5, seed=seed, regions=True, faults=faults))
    assert played.broken == []
    assert played.figures(FROM, UNTIL).credit >= WITHIN_CAPACITY


# --- who serves whom -----------------------------------------------------------------------------


def test_all_proxies_agree_on_two_homes_in_each_region():
    async def scenario(system):
        (placed,) = {node.homes.placement(GROUP) for node in system.nodes.values()}
        regions = [TWO_REGIONS.region_of(home.zone) for home in placed.homes]
        assert sorted(regions) == ["east", "east", "west", "west"]
        for node in system.nodes.values():
            assert region(system.nodes[home_of(node)]) == region(node)

    with_fleet(scenario)


async def lose_home(system, front):
    """Cut off the home that a front uses, until the front has noticed."""
    lost = home_of(front)
    cut_off(system, lost)
    for _ in range(20):
        front.homes.home_link(GROUP, "")
        link = front.homes._links.get(lost)
        if link is not None:
            link.verify()
        await asyncio.sleep(0.2)
    return lost


def test_the_second_home_of_the_region_replaces_a_lost_one():
    async def scenario(system):
        front = front_of(system, "east")
        lost = await lose_home(system, front)
        second = home_of(front)
        assert second != lost
        assert region(system.nodes[second]) == "east"

    with_fleet(scenario)


def test_a_region_without_homes_uses_those_of_the_other():
    async def scenario(system):
        front = front_of(system, "east")
        await lose_home(system, front)
        await lose_home(system, front)
        assert region(system.nodes[home_of(front)]) == "west"

    with_fleet(scenario)


def test_homes_measure_the_distance_to_each_zone_of_their_instances():
    async def scenario(system):
        await asyncio.sleep(15.0)
        home = next(
            n for n in system.nodes.values() if n.homes.is_home(GROUP) and n.zone == "zone-a"
        )
        now = asyncio.get_running_loop().time()
        assert 0.04 <= round(home.distances.round_trip("zone-c", now), 6) <= 0.06
        assert home.distances.round_trip("zone-b", now) <= 0.004
        assert all(item.age is not None and item.age <= 12.0 for item in home.distances.known(now))

    with_fleet(scenario)


@pytest.mark.parametrize(("kind", "expected"), [(RegionalSystem, 0.005), (PromotedSystem, 0.045)])
def test_a_home_expects_an_answer_without_the_way_that_planning_adds(kind, expected):
    """The replica of the other region answers in 45 ms, of which 40 are the way."""

    async def scenario(system):
        home = next(
            n for n in system.nodes.values() if n.homes.is_home(GROUP) and n.zone == "zone-a"
        )
        service, now = home.groups[GROUP], asyncio.get_running_loop().time()
        service.topology.distances.measured("zone-c", 0.04, now)
        times = service.connections.pools.of("i-2").answer_times
        for _ in range(50):
            times.began(-1, now - 0.045)
            times.ended(-1, now, answered=True)
        assert service._read_plans._expected_work("i-2") == pytest.approx(expected, abs=0.001)

    with_fleet(scenario, kind=kind)


def test_without_regions_no_distance_is_measured():
    async def work():
        system = PromotedSystem(1, connection_limit=LIMIT, proxies=FLEET)
        await asyncio.sleep(15.0)
        now = asyncio.get_running_loop().time()
        for node in system.nodes.values():
            assert node.distances.known(now) == []
            for group in node.groups.values():
                assert group.topology.to_measure(now) == []

    run_virtual(work())


# --- what operators see ---------------------------------------------------------------------------


def test_the_status_shows_regions_distances_and_homes():
    async def scenario(system):
        await asyncio.sleep(15.0)
        node = next(node for node in system.nodes.values() if node.homes.is_home(GROUP))
        shown = node.status()
        assert shown.region == region(node)
        assert [item.zone for item in shown.distances] == ["zone-a", "zone-b", "zone-c"]
        assert all(item.age_ms >= 0 for item in shown.distances)
        assert len(shown.groups[0].homes) == 4
        assert shown.groups[0].crossing_share == 0.0

    with_fleet(scenario)


def test_the_grounds_of_a_read_name_both_sides():
    distances = Distances("zone-a", TWO_REGIONS)
    view = GroupTopology(PromotedGroupSettings("g", 32, 1), "zone-a", distances=distances)
    for number, (name, zone) in enumerate([("p", "zone-a"), ("a", "zone-b"), ("b", "zone-c")]):
        view.entry_changed(DirectoryEntry(name, "g", "h", 1, zone, name == "p", False, 3, number))
        role = InstanceRole.PRIMARY if name == "p" else InstanceRole.REPLICA
        view.take_status(InstanceStatus(name, role, 1, Position(1, 5), 0, 0))
    view.floors.prove(9.0, Position(1, 4))
    route = DatabaseRoute("d", "g", ReadConsistency.SESSION, 2.5, 0.8, 0.2, 1)
    request = ReadRequest(route, None, 10.0)
    found = plan_read(view, request, 10.0, {"p": 0.01, "a": 0.02, "b": 0.01}.__getitem__)
    assert (found.instance, found.grounds) == ("a", ":here=0.024:there=0.050:crosses=False")


def test_traffic_is_counted_by_region_and_zone():
    metrics, traffic = ProxyMetrics(), Traffic()
    metrics.traffic(traffic, TWO_REGIONS)
    traffic.of(Counterpart.INSTANCE, "zone-c").sent(100, messages=2)
    traffic.of(Counterpart.INSTANCE, "zone-c").received(40)
    traffic.of(Counterpart.PROXY, "zone-b").sent(7)
    page = metrics.render().decode()
    instance = 'counterpart="instance",'
    east, west = 'region="east",zone="zone-c"}', 'region="west",zone="zone-b"}'
    assert f"orchidwind_traffic_messages_total{{{instance}{east} 2.0" in page
    assert f'orchidwind_traffic_messages_total{{counterpart="proxy",{west} 1.0' in page
    bytes_of = f"orchidwind_traffic_bytes_total{{{instance}direction="
    assert f'{bytes_of}"received",{east} 40.0' in page
    assert f'{bytes_of}"sent",{east} 100.0' in page


# --- the successor of a primary -------------------------------------------------------------------


@pytest.mark.parametrize(("regions", "near"), [(TWO_REGIONS, {"p", "a"}), (Regions(), set())])
def test_a_plan_names_the_instances_in_the_old_primarys_region(regions, near):
    distances = Distances("zone-c", regions)
    view = GroupTopology(PromotedGroupSettings("g", 32, 1), "zone-c", distances=distances)
    for number, (name, zone) in enumerate([("p", "zone-a"), ("a", "zone-b"), ("b", "zone-c")]):
        view.entry_changed(DirectoryEntry(name, "g", "h", 1, zone, name == "p", False, 3, number))
        role = InstanceRole.PRIMARY if name == "p" else InstanceRole.REPLICA
        view.take_status(InstanceStatus(name, role, 1, Position(1, 5), 0, 0))
    supervisor = GroupSupervisor(view)
    supervisor.decide(1.0, [], 0.0, 0.0, True)
    planned = supervisor.plan(1.0, FailoverReason.UNREACHABLE, True)
    assert planned.near_old_primary == near
