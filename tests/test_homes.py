"""The homes of managed groups: who holds server connections, and how many."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidwind.core.managed.homes import MOST_HOMES_A_ZONE, ProxyMember, group_homes
from orchidwind.core.rendezvous import rank_by_capacity


def members(count, zones=3, capacity=1.0):
    return [
        ProxyMember(f"proxy-{index}", f"zone-{index % zones}", "host", 1, capacity)
        for index in range(count)
    ]


@pytest.mark.parametrize(("count", "limit"), [(6, 34), (8, 32), (1, 2)])
def test_with_enough_connections_each_proxy_is_a_home(count, limit):
    placed = group_homes("ledger", limit, members(count))
    assert len(placed.homes) == count
    assert placed.preferred("proxy-0", "zone-0")[0].name == "proxy-0"


@given(st.integers(1, 300), st.integers(1, 250), st.integers(1, 6))
def test_homes_never_plan_more_connections_than_an_instance_takes(count, limit, zones):
    placed = group_homes("ledger", limit, members(count, zones))
    assert placed.homes
    assert len(placed.homes) * placed.connections <= max(limit, 2 * len(placed.homes))
    if len(placed.homes) < count:
        a_zone = Counter(member.zone for member in placed.homes)
        assert max(a_zone.values()) <= MOST_HOMES_A_ZONE


def test_each_zone_has_homes_while_the_limit_allows():
    placed = group_homes("ledger", 39, members(67))
    assert Counter(member.zone for member in placed.homes) == {f"zone-{n}": 2 for n in range(3)}
    assert placed.connections == 6


def test_a_limit_below_the_zones_still_gives_homes():
    placed = group_homes("ledger", 12, members(60, zones=5))
    assert len(placed.homes) == 2
    assert {member.name for member in placed.preferred("proxy-0", "zone-0")} == {
        member.name for member in placed.homes
    }


def test_requests_stay_in_their_zone_and_spread_over_its_homes():
    placed = group_homes("ledger", 39, members(67))
    firsts = [placed.preferred(item.name, item.zone)[0] for item in members(67)]
    assert all(home.zone == item.zone for home, item in zip(firsts, members(67), strict=True))
    assert len({home.name for home in firsts}) == 6


def test_the_loss_of_a_proxy_moves_only_its_own_place():
    known = members(67)
    before = {item.name for item in group_homes("ledger", 39, known).homes}
    lost = sorted(before)[0]
    after = group_homes("ledger", 39, [item for item in known if item.name != lost]).homes
    assert before - {item.name for item in after} == {lost}


def test_groups_do_not_share_all_their_homes():
    homes = [{item.name for item in group_homes(f"g{n}", 39, members(67)).homes} for n in range(8)]
    assert len(set().union(*homes)) > 20


def test_greater_machines_are_first_more_often():
    capacities = {"great": 4.0, **{f"small-{n}": 1.0 for n in range(4)}}
    firsts = Counter(rank_by_capacity(f"key-{n}", capacities)[0] for n in range(2000))
    assert 0.45 < firsts["great"] / 2000 < 0.55
