"""Half of all open connections fall silent at once, in fleets with several groups.

A silent connection accepts bytes and delivers none. Runs on virtual time.
"""

import asyncio
import random

import pytest
from msgspec.structs import replace

from orchidwind.promoted.core import freshness, instance_silence, link_silence
from orchidwind.promoted.views.followed_views import ProxyBounds
from orchidwind_bench.promoted.simulation.fleet import FleetSystem
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual

PROXIES = 200
GROUPS = 10
CONNECTION_LIMIT = 32
SETTLED_SECONDS = 3.0
SILENT_AFTER = 2.0
SOON_SECONDS = 2.0
SERVED_SOON = 0.95
SERVED_LATER = 0.99
MOST_PROBES = 0.02
HALF = 0.5


def fleet(proxies, groups, seed=1):
    random.seed(seed)  # seeds the jitter of the proxies
    return FleetSystem(
        seed,
        tuple(f"proxy-{number:03}" for number in range(proxies)),
        tuple(f"group-{number}" for number in range(groups)),
        CONNECTION_LIMIT,
    )


async def settle_fleet(system):
    await system.settle()
    await asyncio.sleep(SETTLED_SECONDS)


def schedule_silence(system, one_way=False):
    """Schedule half of all connections to fall silent. Returns the time at which they do."""
    loop = asyncio.get_running_loop()
    at = loop.time() + SILENT_AFTER
    loop.call_at(at, system.silence, HALF, one_way)
    return at


def check_ages(system):
    bounds = ProxyBounds()
    assert system.greatest_ages["configuration"] <= bounds.configuration
    assert system.greatest_ages["directory"] <= bounds.directory
    assert system.greatest_ages["members"] <= bounds.members


@pytest.mark.parametrize(("one_way", "callers"), [(False, 2), (True, 1)])
def test_a_large_fleet_keeps_serving_after_half_of_its_connections_fall_silent(one_way, callers):
    async def work():
        system = fleet(PROXIES, GROUPS)
        await settle_fleet(system)
        silent_at = schedule_silence(system, one_way)
        await system.ask(6.0, callers)
        assert system.broken == []
        assert system.promotions == 0
        check_ages(system)
        assert system.served_share(silent_at, silent_at + SOON_SECONDS) >= SERVED_SOON
        assert system.served_share(silent_at + SOON_SECONDS) >= SERVED_LATER

    run_virtual(work())


def test_idle_probes_cost_few_messages_and_no_store_calls(monkeypatch):
    def run_and_count():
        async def work():
            system = fleet(PROXIES, GROUPS)
            await settle_fleet(system)
            system.links.sent.clear()
            before = sum(system.world.store.calls.values())
            await system.ask(4.0)
            return system.links.sent, sum(system.world.store.calls.values()) - before

        return run_virtual(work())

    sent, calls = run_and_count()
    probes = sent["Probe"] + sent["Alive"]
    assert probes <= MOST_PROBES * (sent.total() - probes)
    monkeypatch.setattr(link_silence, "LINK_IDLE_PROBE_SECONDS", float("inf"))
    monkeypatch.setattr(instance_silence, "HELD_REST_PROBE_SECONDS", float("inf"))
    _, calls_without = run_and_count()
    assert calls <= calls_without


# --- Together with another fault -----------------------------------------------------------------

SMALL = 30
SMALL_GROUPS = 2
FAULT_SECONDS = 4.0


async def refuse_some(system):
    """The store refuses every third proxy for a while."""
    refused = system.world.store.refused
    refused.update(list(system.nodes)[::3])
    await asyncio.sleep(FAULT_SECONDS)
    refused.clear()


async def crash(system):
    """A primary crashes, resets its connections and comes back as a replica."""
    instance = system.sides["group-0"].group.primary()
    instance.crash()
    await asyncio.sleep(FAULT_SECONDS)
    instance.restart()


async def freeze(system):
    """A primary becomes unreachable without a reset of its connections."""
    system.sides["group-0"].group.resets = False
    await crash(system)


async def restart_in_turn(system):
    """Restart every proxy, one after the other."""
    for name in list(system.nodes):
        system.restart_proxy(name)
        await asyncio.sleep(FAULT_SECONDS / SMALL)


async def change_configuration(system):
    """Apply ten new versions of the configuration."""
    store = system.world.store
    for _ in range(10):
        store.put_configuration(
            replace(store.configuration, version=store.configuration.version + 1)
        )
        await asyncio.sleep(FAULT_SECONDS / 10)


async def restart_a_third(system):
    """Restart a third of all proxies at once."""
    for name in list(system.nodes)[::3]:
        system.restart_proxy(name)


FAULTS = [refuse_some, crash, freeze, restart_in_turn, change_configuration, restart_a_third]
CHANGES_PRIMARY = (crash, freeze)


@pytest.mark.parametrize("one_way", [False, True])
@pytest.mark.parametrize("fault", FAULTS)
def test_promises_hold_when_half_fall_silent_during_another_fault(fault, one_way):
    async def work():
        system = fleet(SMALL, SMALL_GROUPS)
        await settle_fleet(system)
        silent_at = schedule_silence(system, one_way)

        async def inject_fault():
            await asyncio.sleep(SILENT_AFTER - 0.1)
            await fault(system)

        injecting = asyncio.create_task(inject_fault())
        await system.ask(SILENT_AFTER + FAULT_SECONDS + 4.0, callers_a_node=2)
        await injecting
        assert system.broken == []
        assert system.promotions == (1 if fault in CHANGES_PRIMARY else 0)
        version = system.world.store.configuration.version
        assert {node.configuration.version for node in system.nodes.values()} == {version}
        over_at = silent_at + FAULT_SECONDS + 1.5
        assert system.served_share(over_at) >= SERVED_LATER

    run_virtual(work())


# --- Checks of the checks: they fail where the protection is turned off ---------------------------


def run_smaller_fleet():
    async def work():
        system = fleet(60, 4)
        await settle_fleet(system)
        silent_at = schedule_silence(system)
        await system.ask(7.0, callers_a_node=2)
        return system, silent_at

    return run_virtual(work())


def test_the_served_shares_drop_if_silent_links_are_not_detected(monkeypatch):
    monkeypatch.setattr(link_silence, "LINK_SILENT_SECONDS", float("inf"))
    system, silent_at = run_smaller_fleet()
    assert system.served_share(silent_at, silent_at + SOON_SECONDS) < SERVED_SOON
    assert system.served_share(silent_at + SOON_SECONDS) < SERVED_LATER


def test_the_age_check_fails_if_silent_watches_are_not_given_up(monkeypatch):
    monkeypatch.setattr(freshness, "_ANSWER_SLACK_SHARE", 10.0)
    monkeypatch.setattr(freshness, "_READ_SHARE", 10.0)
    system, _ = run_smaller_fleet()
    with pytest.raises(AssertionError):
        check_ages(system)
