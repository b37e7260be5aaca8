"""Runs six proxies of one simulated group on virtual time, and applies configurations."""

import asyncio

from msgspec.structs import replace

from orchidwind_bench.promoted.simulation.callers import PromotedSystem
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual

PROXIES = tuple(f"proxy-{letter}" for letter in "abcdef")


def with_proxies(scenario, proxies=PROXIES, seed=1):
    """Runs a scenario on a system whose proxies are prepared and have run for 3 s."""

    async def work():
        system = PromotedSystem(seed, proxies=proxies)
        for node in system.nodes.values():
            assert await node.wait_prepared(5.0)
        await asyncio.sleep(3.0)
        await scenario(system)

    run_virtual(work())


def apply_configuration(system):
    """Stores the configuration under the next version, as an operator would, and returns it."""
    store = system.world.store
    store.put_configuration(replace(store.configuration, version=store.configuration.version + 1))
    return store.configuration.version


def versions(system):
    """Returns the configuration version in force at each proxy, by proxy name."""
    return {name: node.configuration.version for name, node in system.nodes.items()}
