"""What a proxy follows from afar is never older than the promises that rest on it allow.

Incident inc1: the store took calls while it was away and never answered them.
"""

import asyncio

from support.platform_system import SERVICE, LineClient, with_system

# The bounds of the first users' smaller deployments, with a shorter one for a drain.
BOUNDS = {"config_apply_ms": 3000, "contact_ms": 4000, "drain_ms": 4000}
APPLY_SECONDS = BOUNDS["config_apply_ms"] / 1000
DRAIN_SECONDS = BOUNDS["drain_ms"] / 1000
SILENCE_SECONDS = 0.5


async def silence(store, seconds=SILENCE_SECONDS):
    """The store takes calls and answers none, for a while."""
    store.fall_silent()
    await asyncio.sleep(seconds)
    store.speak_again()


def test_a_configuration_is_in_force_in_time_though_the_store_swallowed_a_watch(tmp_path):
    async def scenario(system):
        await silence(system.store)
        system.write_configuration({"latest": "primary", "later": "primary"})
        await asyncio.sleep(APPLY_SECONDS)
        assert system.proxy._proxy.configuration.version == system.version
        assert (await LineClient.open(system.front_port, "later")).greeting == "READY I -"

    with_system(tmp_path, scenario, bounds=BOUNDS)


def test_an_instance_that_leaves_is_known_in_time_though_the_store_swallowed_a_watch(tmp_path):
    async def scenario(system):
        await silence(system.store)
        system.write_entry(system.group.instances["i-1"], state="draining")
        await asyncio.sleep(DRAIN_SECONDS)
        topology = system.proxy._proxy.groups[SERVICE].topology
        assert topology.instances["i-1"].entry.draining

    with_system(tmp_path, scenario, bounds=BOUNDS)


def test_an_entry_that_is_not_as_described_hides_no_other_and_ends_nothing(tmp_path):
    async def scenario(system):
        bad = {"service": SERVICE, "address": "no-port", "zone": "z1"}
        system.store.put("servers", "i-bad", bad)
        system.store.put("servers", "i-worse", {"service": 7})
        system.write_entry(system.group.instances["i-1"], state="draining")
        await asyncio.sleep(1.0)
        topology = system.proxy._proxy.groups[SERVICE].topology
        assert topology.instances["i-1"].entry.draining
        system.store.forget_history()
        system.write_entry(system.group.instances["i-2"], state="draining")
        await asyncio.sleep(1.0)
        assert topology.instances["i-2"].entry.draining

    with_system(tmp_path, scenario, bounds=BOUNDS)
