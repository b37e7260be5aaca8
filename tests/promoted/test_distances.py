"""The model of regions and distances, and reads that stay on their side of a region's border."""

from collections import deque

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.configuration import (
    DatabaseRoute,
    DirectoryEntry,
    PromotedGroupSettings,
    ReadConsistency,
)
from orchidwind.promoted.core.distances import (
    MEASURE_AGAIN_SECONDS,
    MEASURED_WITHIN_SECONDS,
    Distances,
    Nearness,
    Regions,
)
from orchidwind.promoted.core.read_planning import ReadRequest, plan_read
from orchidwind.promoted.core.region_spill import (
    SPILL_CHANGE_PER_SECOND,
    RegionSpill,
    SideAnswers,
)
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.shared.core.positions import Position

REGIONS = Regions({"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "b3": "b"})
ONE_TABLE = Regions({"a1": "a", "a2": "a"})
OTHER_ZONE_SECONDS = 0.004


@pytest.mark.parametrize("regions", [Regions(), ONE_TABLE])
def test_with_one_region_distances_are_constants(regions):
    distances = Distances("a1", regions)
    distances.measured("a2", 0.1, 5.0)
    distances.measured("a1", 0.1, 5.0)
    assert distances.round_trip("a1", 5.0) == 0.0
    assert distances.round_trip("a2", 5.0) == OTHER_ZONE_SECONDS
    assert distances.round_trip("unknown", 5.0) == OTHER_ZONE_SECONDS
    assert not distances.crosses_region("unknown")
    assert not distances.due("a2", 100.0)
    assert distances.known(5.0) == []


def test_zones_are_ordered_by_region():
    distances = Distances("a1", REGIONS)
    order = [distances.nearness(zone) for zone in ("a1", "a2", "b1", "not in the table")]
    assert order == [
        Nearness.SAME_ZONE,
        Nearness.SAME_REGION,
        Nearness.OTHER_REGION,
        Nearness.OTHER_REGION,
    ]
    assert [distances.crosses_region(zone) for zone in ("a1", "a2", "b1")] == [False, False, True]


def test_the_distance_is_the_shortest_round_trip_of_a_while():
    distances = Distances("a1", REGIONS)
    assert distances.round_trip("b1", 0.0) == 0.04
    assert distances.age("b1", 0.0) is None
    distances.measured("b1", 0.061, 1.0)
    distances.measured("b1", 0.055, 2.0)
    distances.measured("b1", 0.3, 3.0)
    assert distances.round_trip("b1", 3.0) == 0.055
    assert distances.age("b1", 4.5) == 1.5
    assert not distances.due("b1", 3.0 + MEASURE_AGAIN_SECONDS - 0.1)
    assert distances.due("b1", 3.0 + MEASURE_AGAIN_SECONDS)
    assert distances.round_trip("b1", 2.1 + MEASURED_WITHIN_SECONDS) == 0.3
    assert distances.round_trip("b1", 3.1 + MEASURED_WITHIN_SECONDS) == 0.04
    assert distances.age("b1", 3.1 + MEASURED_WITHIN_SECONDS) is None


def test_slow_answers_alone_do_not_make_a_zone_unusable():
    distances = Distances("a1", REGIONS)
    for zone in ("a1", "a2", "b1"):
        distances.measured(zone, 30.0, 1.0)
    assert [distances.round_trip(zone, 1.0) for zone in ("a1", "a2", "b1")] == [0.004, 0.04, 0.4]


@given(st.lists(st.tuples(st.floats(0.0, 40.0), st.floats(0.0001, 0.39)), max_size=40))
def test_no_recent_round_trip_is_shorter_than_the_distance(steps):
    distances, now, seen = Distances("a1", REGIONS), 0.0, deque()
    for pause, seconds in steps:
        now += pause
        distances.measured("b1", seconds, now)
        seen.append((now, seconds))
        recent = [took for at, took in seen if now - at <= MEASURED_WITHIN_SECONDS]
        assert distances.round_trip("b1", now) == min(recent)


def test_instances_of_a_zone_take_turns_to_be_measured_and_a_failed_try_waits():
    """The first one named may be full: the zone would never be measured, and asked each second."""
    view = topology({"p": "a1", "full": "b1", "free": "b1", "other": "b2"})
    for name in ("a1", "b2"):
        view.distances.measured(name, 0.01, 100.0)
    asked = {second: view.to_measure(float(second)) for second in range(100, 110)}
    assert asked == {100: ["full"], **{second: [] for second in range(101, 110)}}
    assert "free" in view.to_measure(110.0)
    view.distances.measured("b1", 0.04, 110.1)
    assert view.to_measure(119.0) == []
    assert "full" in view.to_measure(120.2)


# --- reads --------------------------------------------------------------------------------------

READ = DatabaseRoute("d", "g", ReadConsistency.SESSION, 2.5, 0.8, 0.2, 1)


def topology(zones, zone="a1", regions=REGIONS):
    """A group of a primary `p` and replicas, each in a zone; all answer and have a floor."""
    distances = Distances(zone, regions)
    built = GroupTopology(PromotedGroupSettings("g", 32, 1), zone, distances=distances)
    for number, (name, at) in enumerate(zones.items()):
        leads = name == "p"
        built.entry_changed(DirectoryEntry(name, "g", "h", number, at, leads, False, 3, number))
        role = InstanceRole.PRIMARY if leads else InstanceRole.REPLICA
        built.take_status(InstanceStatus(name, role, 1, Position(1, 5), 0, 0))
    built.floors.prove(9.0, Position(1, 4))
    return built


def chosen(view, expected, now=10.0, excluded=(), waited=0.0):
    request = ReadRequest(READ, None, now - waited, excluded)
    return plan_read(view, request, now, expected.__getitem__).instance


def shares_over(view, expected, seconds, per_second=100, began=10.0):
    """The instances that run reads at a constant rate, in order."""
    instances = []
    for number in range(int(seconds * per_second)):
        now = began + number / per_second
        view.floors.prove(now - 0.5, Position(1, 4))
        instances.append(chosen(view, expected, now))
    return instances


def test_a_read_does_not_cross_to_save_a_few_milliseconds():
    """The penalty of another zone alone, 4 ms, sent it there and back for 40 ms."""
    view = topology({"p": "a2", "near": "a2", "far": "b1"})
    assert chosen(view, {"p": 0.03, "near": 0.03, "far": 0.01}) == "near"
    assert chosen(view, {"p": 0.06, "near": 0.06, "far": 0.001}) == "near"


def test_the_primary_runs_no_read_because_the_way_to_an_idle_replica_is_long():
    """The replica 40 ms away answers in 45 ms, the primary in 15: it saves less than 50 ms."""
    view = topology({"p": "a2", "far": "b1"})
    view.distances.measured("b1", 0.04, 9.0)
    assert chosen(view, {"p": 0.015, "far": 0.045}) == "far"


def test_requests_in_flight_do_not_multiply_the_way_in_the_cost_of_a_replica():
    """Both are 40 ms away. One works for 5 ms and has three requests; the other works for 40."""
    view = topology({"p": "a2", "busy": "b1", "slow": "b2"})
    for zone in ("b1", "b2"):
        view.distances.measured(zone, 0.04, 9.0)
    answers = {"p": 0.1, "busy": 0.045 * 4, "slow": 0.08}
    work = {"p": 0.1, "busy": 0.005 * 4, "slow": 0.04}
    request = ReadRequest(READ, None, 10.0)
    plan = plan_read(view, request, 10.0, answers.__getitem__, work.__getitem__)
    assert plan.instance == "busy"


def test_a_read_crosses_at_once_if_no_replica_here_may_run_it():
    view = topology({"p": "a2", "near": "a2", "far": "b1"})
    expected = {"p": 0.02, "near": 0.01, "far": 0.01}
    assert chosen(view, expected, excluded=("near",)) == "far"
    view.unreachable("near", 10.0)
    assert chosen(view, expected, 10.1) == "far"


def test_the_primary_of_another_region_runs_no_read_that_a_replica_here_keeps():
    view = topology({"p": "b1", "near": "a2", "far": "b1"})
    assert chosen(view, {"p": 0.001, "near": 0.08, "far": 0.2}) == "near"


def test_a_replica_here_keeps_reads_within_the_crossing_and_the_reserve_of_their_target():
    """0.04 s for the crossing, and a quarter of the target of 0.2 s."""
    view = topology({"p": "b1", "near": "a1", "far": "b1"})
    assert set(shares_over(view, {"p": 0.01, "near": 0.089, "far": 0.01}, 3.0)) == {"near"}
    late = shares_over(view, {"p": 0.01, "near": 0.2, "far": 0.01}, 4.0, began=20.0)
    assert late[0] == "near"
    assert set(late[-50:]) == {"far"}
    slower = {"p": 0.4, "near": 0.2, "far": 0.4}
    back = shares_over(view, slower, 4.0, began=24.0)
    assert set(back[-50:]) == {"near"}, "it would not gain anything"


def test_a_replica_that_may_not_answer_in_time_at_all_is_left_at_once():
    """The statement has 0.8 s; beyond that, the replica here hangs or never gets to the read."""
    view = topology({"p": "b1", "near": "a1", "far": "b1"})
    assert chosen(view, {"p": 0.01, "near": 0.79, "far": 0.01}) == "near"
    assert chosen(view, {"p": 0.01, "near": 0.81, "far": 0.01}) == "far"
    assert chosen(view, {"p": 0.01, "near": 0.81, "far": 0.01}, waited=0.5) == "far"
    assert chosen(view, {"p": 0.9, "near": 0.81, "far": 0.9}) == "near", "nor would the far one"


def test_between_the_two_bounds_the_share_stays():
    spill = RegionSpill()
    for number in range(100):
        spill.crosses(SideAnswers(near=0.2, far=0.05, longest=0.14), number / 100)
    held = spill.share
    assert 0.4 < held < 0.6
    for number in range(100, 300):
        spill.crosses(SideAnswers(near=0.1, far=0.05, longest=0.14), number / 100)
    assert spill.share == held
    for number in range(300, 500):
        spill.crosses(SideAnswers(near=0.05, far=0.045, longest=0.14), number / 100)
    assert spill.share == 0.0


@given(
    st.lists(
        st.tuples(st.floats(0.0, 0.4), st.floats(0.04, 0.4)),
        min_size=1,
        max_size=12,
    )
)
def test_no_wave_moves_more_than_half_of_the_reads_within_a_second(waves):
    """Whatever the expected answers, in any order, each for half a second of 100 reads a second."""
    spill = RegionSpill()
    crossed = []
    for number in range(50 * len(waves)):
        near, far = waves[number // 50]
        crossed.append(spill.crosses(SideAnswers(near, far, 0.14), number / 100))
    shares = [sum(crossed[at : at + 10]) / 10 for at in range(len(crossed) - 9)]
    for at in range(len(shares)):
        within = shares[at : at + 91]
        # Each share is counted over 10 reads, so it may be off by a whole read at either end.
        assert max(within) - min(within) <= SPILL_CHANGE_PER_SECOND + 0.2


@given(
    st.dictionaries(
        st.sampled_from("abcdef"), st.sampled_from(["a1", "a2", "b1"]), min_size=1, max_size=6
    ),
    st.data(),
)
def test_with_one_region_reads_go_where_they_went(zones, data):
    """The shortest expected answer, plus 4 ms in another zone; the first by preference if equal."""
    regions = data.draw(st.sampled_from([Regions(), ONE_TABLE]))
    view = topology({"p": "a1", **zones}, regions=regions)
    seconds = st.sampled_from([0.01, 0.012, 0.014, 0.016, 0.02, 0.024])
    expected = {name: data.draw(seconds) for name in view.instances}

    def cost(name):
        return expected[name] + (0.0 if view.instances[name].entry.zone == "a1" else 0.004)

    assert chosen(view, expected) == min(view.replicas(10.0), key=cost)
