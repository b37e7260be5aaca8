"""A configuration with thousands of databases on links of 10 Mbit/s, on virtual time.

Guards against zone readers that send the whole configuration to every other proxy again and again,
until their links carry nothing else.
"""

import asyncio

import pytest
from msgspec.structs import replace

from orchidwind.promoted.callers.session_registry import SessionRegistry
from orchidwind.promoted.core.homes import zone_readers
from orchidwind.promoted.core.peer_messages import ViewQuery, ViewReport
from orchidwind.promoted.peers.home_ports import HomePorts, LinkWriter
from orchidwind.promoted.peers.peer_service import PeerService
from orchidwind.promoted.views.followed_views import ProxyBounds
from orchidwind.promoted.views.peer_views import CONFIGURATION
from orchidwind_bench.promoted.simulation.callers import PromotedSystem
from orchidwind_bench.promoted.simulation.store import STORE
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual

FLEET = tuple(f"proxy-{number:02}" for number in range(60))
BOUND = ProxyBounds().configuration
SETTLED_SECONDS = 3.0
# Bytes a second of a link of 10 Mbit/s, as most machines of the first users' larger sites have.
LINK_RATE = 1_250_000.0
# Bytes a second of the slowest link of these sites, 5 Mbit/s.
SLOWEST_RATE = 625_000.0
DATABASES = 2_800


def limit_links(system, rate=LINK_RATE):
    system.world.network.rates = dict.fromkeys(FLEET, rate)


def with_fleet(scenario, rate=LINK_RATE):
    async def work():
        system = PromotedSystem(1, proxies=FLEET)
        for node in system.nodes.values():
            assert await node.wait_prepared(5.0)
        await asyncio.sleep(SETTLED_SECONDS)
        limit_links(system, rate)
        await scenario(system)

    run_virtual(work())


def apply_databases(system, number):
    """Add this number of databases to the configuration; returns the new version."""
    store = system.world.store
    current = store.configuration
    pattern = next(iter(current.databases.values()))
    names = [f"database-{index:04}" for index in range(number)]
    more = {name: replace(pattern, name=name) for name in names}
    wanted = replace(current, version=current.version + 1, databases={**current.databases, **more})
    store.put_configuration(wanted)
    return wanted.version


def apply_idle_time(system):
    """Change the configuration but none of its databases; returns the new version."""
    store = system.world.store
    current = store.configuration
    store.put_configuration(replace(current, version=current.version + 1, transaction_idle=2.0))
    return store.configuration.version


def outdated_proxies(system, version):
    """The proxies whose configuration is older than a version."""
    return [name for name, node in system.nodes.items() if node.configuration.version < version]


def readers(system):
    """The zone readers of the configuration, which the other proxies of their zones ask."""
    members = system.nodes[FLEET[0]].homes.members
    return [reader.name for reader in zone_readers(CONFIGURATION, members).values()]


def sent(system):
    """The number of bytes that each proxy has sent."""
    carried = system.world.network.carried
    return {name: carried.get((name, "out"), 0) for name in FLEET}


def test_a_large_configuration_is_in_force_on_all_proxies_within_the_bound():
    async def scenario(system):
        apply_databases(system, DATABASES)
        await asyncio.sleep(BOUND / 2)
        version = apply_idle_time(system)
        await asyncio.sleep(BOUND)
        assert outdated_proxies(system, version) == []

    with_fleet(scenario)


def test_sending_a_large_configuration_leaves_bandwidth_for_callers():
    async def scenario(system):
        before = sent(system)
        apply_databases(system, DATABASES)
        await asyncio.sleep(2 * BOUND)
        after = sent(system)
        assert max(after[name] - before[name] for name in FLEET) < 0.2 * LINK_RATE * 2 * BOUND

    with_fleet(scenario)


def test_a_refresh_without_changes_is_not_sent_to_other_proxies():
    async def scenario(system):
        system.world.network.rates = {}
        apply_databases(system, DATABASES)
        await asyncio.sleep(2 * BOUND)
        limit_links(system)
        # An object of another kind changes: the store's revision rises, the configuration stays.
        system.world.store.revision += 1
        for reader in readers(system):
            assert await system.nodes[reader].watch(CONFIGURATION).refresh()
        before = sent(system)
        await asyncio.sleep(BOUND)
        after = sent(system)
        assert max(after[name] - before[name] for name in FLEET) < 0.05 * LINK_RATE * BOUND

    with_fleet(scenario)


def test_a_large_configuration_is_in_force_within_the_bound_on_the_slowest_links():
    async def scenario(system):
        version = apply_databases(system, DATABASES)
        await asyncio.sleep(BOUND)
        assert outdated_proxies(system, version) == []

    with_fleet(scenario, SLOWEST_RATE)


@pytest.mark.parametrize("readers_too", [False, True])
def test_proxies_refused_by_the_store_get_the_configuration_from_other_proxies(readers_too):
    """The store refuses all proxies of a zone, without or with the zone reader."""

    async def scenario(system):
        zone = system.nodes[FLEET[0]].zone
        refused = {name for name, node in system.nodes.items() if node.zone == zone}
        if not readers_too:
            refused -= set(readers(system))
        for name in refused:
            system.world.network.cut(name, STORE)
        await asyncio.sleep(BOUND)
        version = apply_databases(system, DATABASES)
        await asyncio.sleep(2 * BOUND)
        assert outdated_proxies(system, version) == []

    with_fleet(scenario)


def test_proxies_that_start_together_hold_the_configuration_within_the_bound():
    async def scenario(system):
        system.world.network.rates = {}
        version = apply_databases(system, DATABASES)
        await asyncio.sleep(2 * BOUND)
        limit_links(system)
        system.start_proxies()
        await asyncio.sleep(BOUND)
        current = [node.configuration for node in system.nodes.values()]
        assert {item.version if item else 0 for item in current} == {version}

    with_fleet(scenario)


def test_large_content_is_sent_once_on_a_link_however_often_it_is_requested():
    async def work():
        sent, gate = [], asyncio.Event()

        def report_view(query):
            report = ViewReport(query.number, known=True, age=0.0, revision=9)
            return replace(report, omitted=not query.whole)

        async def no_lock(number):
            raise AssertionError("the promotion lock must not be read")

        home = HomePorts(lambda group: None, SessionRegistry(), no_lock, lambda: 3.0, report_view)
        link = PeerService(home).link(LinkWriter(sent.append, gate.wait, sent.clear))
        for number in range(3):
            link.handle_message(ViewQuery(number, CONFIGURATION, 1, whole=True))
            await asyncio.sleep(0.1)
        assert [report.omitted for report in sent] == [False, True, True]
        gate.set()
        await asyncio.sleep(0.1)
        link.handle_message(ViewQuery(4, CONFIGURATION, 1, whole=True))
        await asyncio.sleep(0.1)
        assert not sent[-1].omitted

    run_virtual(work())
