"""Views in a fleet of two regions: who reads the store, and how old views get without it."""

import asyncio

import pytest
from support.regional_fleet import FLEET, LIMIT, cut_off, east_of, region, with_fleet
from support.virtual_proxies import apply_configuration, versions

from orchidwind.promoted.views.followed_views import ProxyBounds
from orchidwind.promoted.views.peer_views import CONFIGURATION
from orchidwind_bench.promoted.simulation.callers import PromotedSystem
from orchidwind_bench.promoted.simulation.store import STORE
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual

BOUND = ProxyBounds().configuration


def readers(system):
    """The proxies that watch the configuration in the store, by region."""
    found = {"east": set(), "west": set()}
    for node in system.nodes.values():
        if node.watch(CONFIGURATION)._peer_source.is_reader():
            found[region(node)].add(node.name)
    return found


async def greatest_age(system, names, seconds):
    """The greatest age of the configuration at these proxies in the next seconds."""
    greatest = 0.0
    for _ in range(int(seconds * 50)):
        await asyncio.sleep(0.02)
        ages = [system.nodes[name].watch(CONFIGURATION).age for name in names]
        greatest = max(greatest, *ages)
    return greatest


def test_one_proxy_of_each_region_reads_the_store():
    async def scenario(system):
        found = readers(system)
        assert {name: len(names) for name, names in found.items()} == {"east": 1, "west": 1}
        assert await greatest_age(system, system.nodes, 10.0) < BOUND

    with_fleet(scenario)


def test_the_substitute_reads_while_the_reader_of_its_region_is_lost(caplog):
    caplog.set_level("INFO", logger="orchidwind")

    async def scenario(system):
        (lost,) = readers(system)["east"]
        cut_off(system, lost)
        system.world.network.cut(lost, STORE)
        left = east_of(system) - {lost}
        assert await greatest_age(system, left, 10.0) < BOUND
        assert len(readers(system)["east"] - {lost}) == 1
        version = apply_configuration(system)
        await asyncio.sleep(BOUND)
        assert {versions(system)[name] for name in left} == {version}
        system.world.network.heal()
        await asyncio.sleep(5.0)

    with_fleet(scenario)
    lines = [item for item in caplog.records if item.message.startswith("substitute_")]
    of_view = [item.message for item in lines if item.collection == CONFIGURATION]
    assert of_view == ["substitute_reads", "substitute_stops"]


def test_a_region_that_the_store_does_not_serve_learns_from_the_other():
    async def scenario(system):
        system.world.store.silent_to.update(east_of(system))
        await asyncio.sleep(5.0)
        version = apply_configuration(system)
        await asyncio.sleep(BOUND)
        assert set(versions(system).values()) == {version}

    with_fleet(scenario)


def test_after_a_cut_between_the_regions_the_view_is_current_within_its_bound():
    """The region without the store keeps serving by its view, whose age grows until the end."""

    async def scenario(system):
        east, west = east_of(system), set(system.nodes) - east_of(system)
        for name in east:
            system.world.network.cut(name, STORE)
            for other in west:
                system.world.network.cut(name, other)
        await asyncio.sleep(6.0)
        version = apply_configuration(system)
        await asyncio.sleep(BOUND)
        assert {versions(system)[name] for name in west} == {version}
        assert version not in {versions(system)[name] for name in east}
        system.world.network.heal()
        await asyncio.sleep(BOUND)
        assert set(versions(system).values()) == {version}

    with_fleet(scenario)


def cut_off_reader(system, lost):
    """Lose a proxy: neither another one nor the store is reached."""
    cut_off(system, lost)
    system.world.network.cut(lost, STORE)


def cut_regions(system):
    """Part the proxies of the regions; the store serves both."""
    east = east_of(system)
    for name in east:
        for other in set(system.nodes) - east:
            system.world.network.cut(name, other)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("schedule", ["all+lost", "reader+lost", "reader+cut", "all+reader"])
def test_views_stay_within_their_bound_where_the_store_is_silent_and_more_fails(schedule, seed):
    """The store is silent to the second region, or to its reader; and a second fault."""

    async def scenario(system):
        (east,), (west,) = readers(system)["east"], readers(system)["west"]
        silent, second = schedule.split("+")
        system.world.store.silent_to.update(east_of(system) if silent == "all" else {east})
        asked = set(system.nodes)
        if second == "lost":
            cut_off_reader(system, west)
            asked -= {west}
        elif second == "cut":
            cut_regions(system)
        else:
            system.world.store.silent_to.add(west)
        assert await greatest_age(system, asked, 48.0) < BOUND

    with_fleet(scenario, seed)


def test_with_one_region_a_proxy_asks_its_zones_reader_and_then_the_others_in_rotation():
    async def work():
        system = PromotedSystem(1, connection_limit=LIMIT, proxies=FLEET)
        await asyncio.sleep(2.0)
        for node in system.nodes.values():
            source = node.watch(CONFIGURATION)._peer_source
            reader_of = dict(source._readers())
            own = reader_of.pop(node.zone)
            others = [reader_of[zone] for zone in sorted(reader_of)]
            assert len(others) == 2
            for _ in range(4):
                turn = (source._queries_sent + 1) % len(others)
                expected = [own, *others[turn:], *others[:turn]]
                links = [link.member.name for link in source._links()]
                assert links == [item.name for item in expected if item.name != node.name]

    run_virtual(work())
