"""A simulated fleet of two regions: twelve proxies in three zones, one of them in the second."""

import asyncio

from orchidwind_bench.promoted.laboratory.play import TWO_REGIONS
from orchidwind_bench.promoted.simulation.callers import PromotedSystem
from orchidwind_bench.promoted.simulation.store import GROUP
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual

FLEET = tuple(f"proxy-{letter}" for letter in "abcdefghijkl")
LIMIT = 24


class RegionalSystem(PromotedSystem):
    """Twelve proxies in three zones of two regions; two homes in each region."""

    regions = TWO_REGIONS


def put_border(system):
    """Messages between the regions take 20 ms from now on."""
    network = system.world.network
    network.border_seconds = 0.02
    for name, node in system.nodes.items():
        network.region_of[name] = region(node)
    for name, instance in system.group.instances.items():
        network.region_of[name] = TWO_REGIONS.region_of(instance.zone)


def with_fleet(scenario, seed=1, kind=RegionalSystem):
    async def work():
        system = kind(seed, connection_limit=LIMIT, proxies=FLEET)
        put_border(system)
        for node in system.nodes.values():
            assert await node.wait_prepared(5.0)
        await asyncio.sleep(1.5)
        await scenario(system)

    run_virtual(work())


def region(node):
    return TWO_REGIONS.region_of(node.zone)


def home_of(node):
    link = node.homes.home_link(GROUP, "")
    return node.name if link is None else link.member.name


def cut_off(system, lost):
    for name in system.nodes:
        if name != lost:
            system.world.network.cut(name, lost)


def front_of(system, name):
    """A proxy of a region that is no home."""
    nodes = system.nodes.values()
    return next(n for n in nodes if region(n) == name and not n.homes.is_home(GROUP))


def east_of(system):
    return {name for name, node in system.nodes.items() if region(node) == "east"}
