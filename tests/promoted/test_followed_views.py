"""Followed views of a proxy never exceed the maximum age that the configured bounds allow.

Guards against a store that accepts calls during an outage and never answers them: a proxy that
waited for such a call would keep a stale view after the store is back.
"""

import asyncio

from support.platform_system import SERVICE, LineClient, with_system

# The bounds of the first users' smaller deployments, with a shorter bound for a drain.
BOUNDS = {"config_apply_ms": 3000, "contact_ms": 4000, "drain_ms": 4000}
APPLY_SECONDS = BOUNDS["config_apply_ms"] / 1000
DRAIN_SECONDS = BOUNDS["drain_ms"] / 1000
SILENCE_SECONDS = 0.5


async def silence(store, seconds=SILENCE_SECONDS):
    """Let the store accept calls without answering them for some seconds."""
    store.stop_answering()
    await asyncio.sleep(seconds)
    store.resume_answering()


def test_configuration_applies_in_time_after_the_store_lost_a_watch(tmp_path):
    async def scenario(system):
        await silence(system.store)
        system.write_configuration({"latest": "primary", "later": "primary"})
        await asyncio.sleep(APPLY_SECONDS)
        assert system.proxy._proxy.configuration.version == system.version
        assert (await LineClient.open(system.front_port, "later")).greeting == "READY I -"

    with_system(tmp_path, scenario, bounds=BOUNDS)


def test_draining_instance_is_known_in_time_after_the_store_lost_a_watch(tmp_path):
    async def scenario(system):
        await silence(system.store)
        system.write_entry(system.group.instances["i-1"], state="draining")
        await asyncio.sleep(DRAIN_SECONDS)
        topology = system.proxy._proxy.groups[SERVICE].topology
        assert topology.instances["i-1"].entry.draining

    with_system(tmp_path, scenario, bounds=BOUNDS)


def test_malformed_entries_do_not_hide_others_or_end_the_watch(tmp_path):
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
