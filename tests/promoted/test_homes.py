"""The choice of a group's home proxies, and the number of server connections of each."""

import json
from collections import Counter
from hashlib import sha256
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidwind.promoted.core.distances import Regions
from orchidwind.promoted.core.homes import (
    GROUPS_PER_HOME,
    MAXIMUM_HOMES_PER_REGION,
    MAXIMUM_HOMES_PER_ZONE,
    ProxyMember,
    group_homes,
    substitute_readers,
    zone_readers,
)
from orchidwind.shared.core import rendezvous


def members(count, zones=3, capacity=1.0):
    return [
        ProxyMember(f"proxy-{index}", f"zone-{index % zones}", "host", 1, capacity)
        for index in range(count)
    ]


@pytest.mark.parametrize(("count", "limit", "zones"), [(6, 34, 3), (8, 32, 4), (1, 2, 1)])
def test_in_a_small_fleet_with_enough_connections_each_proxy_is_a_home(count, limit, zones):
    placed = group_homes("ledger", limit, members(count, zones), 1)
    assert len(placed.homes) == count
    assert placed.preferred("proxy-0", "zone-0")[0].name == "proxy-0"


@given(st.integers(1, 300), st.integers(1, 250), st.integers(1, 6))
def test_homes_never_exceed_the_connection_limit_of_an_instance(count, limit, zones):
    placed = group_homes("ledger", limit, members(count, zones), 4)
    assert placed.homes
    assert len(placed.homes) * placed.connections <= max(limit, 2 * len(placed.homes))
    if len(placed.homes) < count:
        per_zone = Counter(member.zone for member in placed.homes)
        assert max(per_zone.values()) <= MAXIMUM_HOMES_PER_ZONE


def test_each_zone_has_homes_while_the_limit_allows():
    placed = group_homes("ledger", 39, members(67), 4)
    assert Counter(member.zone for member in placed.homes) == {f"zone-{n}": 2 for n in range(3)}
    assert placed.connections == 6


def test_a_limit_too_low_for_a_home_in_each_zone_still_yields_homes():
    placed = group_homes("ledger", 12, members(60, zones=5), 4)
    assert len(placed.homes) == 2
    assert {member.name for member in placed.preferred("proxy-0", "zone-0")} == {
        member.name for member in placed.homes
    }


def test_requests_stay_in_their_zone_and_spread_over_its_homes():
    placed = group_homes("ledger", 39, members(67), 4)
    firsts = [placed.preferred(item.name, item.zone)[0] for item in members(67)]
    assert all(home.zone == item.zone for home, item in zip(firsts, members(67), strict=True))
    assert len({home.name for home in firsts}) == 6


def test_the_loss_of_a_home_replaces_only_that_home():
    known = members(67)
    before = {item.name for item in group_homes("ledger", 39, known, 4).homes}
    lost = sorted(before)[0]
    after = group_homes("ledger", 39, [item for item in known if item.name != lost], 4).homes
    assert before - {item.name for item in after} == {lost}


@pytest.mark.parametrize(("groups", "per_zone"), [(1, 2), (10, 2), (11, 3), (40, 8), (930, 28)])
def test_groups_share_homes_and_more_groups_use_more_of_them(groups, per_zone):
    homes = set()
    for number in range(groups):
        homes.update(group_homes(f"group-{number}", 405, members(84), groups).homes)
    assert Counter(member.zone for member in homes) == {f"zone-{n}": per_zone for n in range(3)}


def test_groups_are_spread_evenly_over_shared_homes():
    groups = 4 * GROUPS_PER_HOME
    carried = Counter(
        member.name
        for number in range(groups)
        for member in group_homes(f"group-{number}", 405, members(84), groups).homes
    )
    assert max(carried.values()) <= 2 * GROUPS_PER_HOME


def test_the_proxies_of_highest_capacity_in_a_zone_are_its_homes():
    strong = {f"proxy-{index}" for index in range(12)}
    known = [
        ProxyMember(item.name, item.zone, "host", 1, 2.15 if item.name in strong else 0.516)
        for item in members(67)
    ]
    placed = group_homes("ledger", 405, known, 10)
    assert len(placed.homes) == 6
    assert {home.name for home in placed.homes} <= strong


def test_a_fleet_of_hundreds_has_two_homes_a_zone():
    placed = group_homes("ledger", 405, members(195, zones=7), 10)
    assert Counter(member.zone for member in placed.homes) == {f"zone-{n}": 2 for n in range(7)}
    assert placed.connections == 28


# --- tenants --------------------------------------------------------------------------------------


def preferred_homes(placed, tenant, large, zone):
    return [member.name for member in placed.preferred_of_tenant(tenant, large, zone)]


def test_a_small_tenant_has_one_home_for_all_zones_and_groups():
    """If each of six homes served all of 84 tenants on eight connections to an instance, it opened
    17,472 new connections for 26,242 requests."""
    homes = {
        preferred_homes(group_homes(group, 53, members(84), 4, True), "tern", False, zone)[0]
        for group in ("ledger", "stock")
        for zone in ("zone-0", "zone-1", "zone-2")
    }
    assert len(homes) == 1


def test_large_tenants_have_a_home_in_each_zone_and_spread_over_its_homes():
    placed = group_homes("ledger", 53, members(84), 4, True)
    zones = {member.name: member.zone for member in placed.homes}
    firsts = set()
    for number in range(40):
        for zone in ("zone-0", "zone-1", "zone-2"):
            first = preferred_homes(placed, f"tenant-{number}", True, zone)[0]
            assert zones[first] == zone
            firsts.add(first)
    assert firsts == set(zones)


@pytest.mark.parametrize("count", [6, 8, 68, 84, 195])
@pytest.mark.parametrize("limit", [12, 32, 53, 405])
def test_connections_of_all_homes_stay_within_the_limit_of_an_instance(count, limit):
    """Homes in the zone of an instance may hold more connections to it than other homes."""
    placed = group_homes("ledger", limit, members(count), 4, True)
    homes = len(placed.homes)
    near = max(
        sum(member.zone == zone for member in placed.homes)
        for zone in {m.zone for m in placed.homes}
    )
    if limit >= 2 * homes:
        assert homes * placed.connections <= limit
        assert near * placed.near_connections + (homes - near) * placed.far_connections <= limit


# --- regions --------------------------------------------------------------------------------------

# Two regions of three zones.
TWO_REGIONS = Regions({f"zone-{number}": f"region-{number // 3}" for number in range(6)})
RECORDED = json.loads((Path(__file__).parent / "recorded_homes.json").read_text())


def by_region(homes):
    return Counter(TWO_REGIONS.region_of(home.zone) for home in homes)


@pytest.mark.parametrize("regions", [Regions(), Regions({f"zone-{n}": "r" for n in range(6)})])
def test_with_one_region_homes_and_their_order_are_the_recorded_ones(regions):
    """The file holds a digest for each fleet, written by the code before it knew regions."""
    for key, digest in RECORDED.items():
        count, limit, zones, groups, tenants = map(int, key.split("/"))
        fleet = [
            ProxyMember(f"proxy-{n}", f"zone-{n % zones}", "host", 1, 1.0 + (n % 5 == 0))
            for n in range(count)
        ]
        placed = group_homes("ledger", limit, fleet, groups, bool(tenants), regions)
        orders = [placed.preferred(item.name, item.zone, regions) for item in fleet[:8]]
        orders += [
            placed.preferred_of_tenant(tenant, large, item.zone, regions)
            for item in fleet[:6]
            for tenant in ("tern", "gull")
            for large in (False, True)
        ]
        names = [[item.name for item in order] for order in orders]
        shares = (placed.connections, placed.near_connections, placed.far_connections)
        told = json.dumps([[item.name for item in placed.homes], *shares, names])
        assert sha256(told.encode()).hexdigest()[:12] == digest, key


@pytest.mark.parametrize("regions", [Regions(), Regions({f"zone-{n}": "r" for n in range(6)})])
def test_with_one_region_each_zone_has_the_reader_it_had_and_no_substitute(regions):
    for count in (1, 6, 13, 78):
        fleet = members(count, 6)
        for view in ("configuration", "directory"):
            expected = {
                zone: rendezvous.first(view, [item.name for item in fleet if item.zone == zone])
                for zone in {item.zone for item in fleet}
            }
            found = zone_readers(view, fleet, regions)
            assert {zone: reader.name for zone, reader in found.items()} == expected
            assert substitute_readers(view, fleet, regions) == {}


def test_each_region_has_two_homes_in_different_zones():
    for number in range(8):
        placed = group_homes(f"group-{number}", 46, members(78, 6), 4, regions=TWO_REGIONS)
        assert by_region(placed.homes) == {"region-0": 2, "region-1": 2}
        assert len({home.zone for home in placed.homes}) == 4
        assert placed.connections == 11


def test_a_region_with_one_zone_left_has_both_homes_there():
    left = [item for item in members(78, 6) if item.zone not in ("zone-1", "zone-2")]
    placed = group_homes("ledger", 46, left, 4, regions=TWO_REGIONS)
    assert Counter(home.zone for home in placed.homes)["zone-0"] == 2


def test_a_front_uses_homes_of_its_region_before_any_other():
    fleet = members(78, 6)
    placed = group_homes("ledger", 46, fleet, 4, regions=TWO_REGIONS)
    for front in fleet:
        own = TWO_REGIONS.region_of(front.zone)
        order = placed.preferred(front.name, front.zone, TWO_REGIONS)
        assert [TWO_REGIONS.region_of(home.zone) == own for home in order] == [
            True,
            True,
            False,
            False,
        ]
        in_zone = [home.zone == front.zone for home in order]
        assert in_zone == sorted(in_zone, reverse=True)


def test_fronts_of_a_region_spread_over_its_homes():
    fleet = members(78, 6)
    placed = group_homes("ledger", 46, fleet, 4, regions=TWO_REGIONS)
    firsts = Counter(placed.preferred(item.name, item.zone, TWO_REGIONS)[0].name for item in fleet)
    assert len(firsts) == 4


@pytest.mark.parametrize("large", [False, True])
def test_a_tenant_has_a_home_in_its_callers_region(large):
    fleet = members(78, 6)
    placed = group_homes("ledger", 46, fleet, 4, True, TWO_REGIONS)
    for tenant in ("tern", "gull", "teal"):
        for front in fleet[:6]:
            first = placed.preferred_of_tenant(tenant, large, front.zone, TWO_REGIONS)[0]
            assert TWO_REGIONS.region_of(first.zone) == TWO_REGIONS.region_of(front.zone)


def test_the_loss_of_a_region_does_not_move_the_homes_of_the_other():
    fleet = members(78, 6)
    before = set(group_homes("ledger", 46, fleet, 4, regions=TWO_REGIONS).homes)
    left = [item for item in fleet if TWO_REGIONS.region_of(item.zone) == "region-0"]
    after = set(group_homes("ledger", 46, left, 4, regions=TWO_REGIONS).homes)
    assert after == {home for home in before if TWO_REGIONS.region_of(home.zone) == "region-0"}


def test_the_loss_of_a_home_replaces_it_in_its_region():
    fleet = members(78, 6)
    before = set(group_homes("ledger", 46, fleet, 4, regions=TWO_REGIONS).homes)
    for lost in before:
        left = [item for item in fleet if item != lost]
        after = set(group_homes("ledger", 46, left, 4, regions=TWO_REGIONS).homes)
        assert before - after == {lost}
        (new,) = after - before
        assert TWO_REGIONS.region_of(new.zone) == TWO_REGIONS.region_of(lost.zone)


@given(st.integers(1, 120), st.integers(1, 250), st.integers(1, 6), st.booleans())
def test_homes_of_several_regions_stay_within_the_limit_of_an_instance(
    count, limit, zones, has_tenants
):
    placed = group_homes("ledger", limit, members(count, zones), 4, has_tenants, TWO_REGIONS)
    homes = len(placed.homes)
    assert homes
    # A home has at least two connections, so one home may pass a limit of 1. Nothing else does.
    allowed = max(limit, 2)
    assert homes * placed.connections <= allowed
    if homes < count:
        assert max(by_region(placed.homes).values()) <= max(MAXIMUM_HOMES_PER_REGION, 1)
    near = max(Counter(home.zone for home in placed.homes).values())
    total = near * placed.near_connections + (homes - near) * placed.far_connections
    assert total <= allowed


@pytest.mark.parametrize(("limit", "homes"), [(1, 1), (2, 1), (3, 1), (4, 2), (7, 3), (8, 4)])
@pytest.mark.parametrize("has_tenants", [False, True])
def test_a_limit_too_small_for_all_regions_leaves_some_without_homes(limit, homes, has_tenants):
    regions = Regions({f"zone-{number}": f"region-{number}" for number in range(4)})
    placed = group_homes("ledger", limit, members(40, 4), 4, has_tenants, regions)
    assert len(placed.homes) == homes
    near = placed.near_connections + (homes - 1) * placed.far_connections
    assert max(homes * placed.connections, near) <= max(limit, 2)
