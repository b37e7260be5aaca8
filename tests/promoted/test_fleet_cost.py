"""How many store calls and server connections the proxies of a large fleet need. Virtual time."""

import asyncio
from itertools import count

from msgspec.structs import replace

from orchidwind.promoted.callers.session_executor import SessionExecutor
from orchidwind.promoted.core.commands import Command, CommandKind
from orchidwind.promoted.core.homes import zone_readers
from orchidwind.promoted.views.followed_views import ProxyBounds
from orchidwind.promoted.views.peer_views import CONFIGURATION, MEMBERS
from orchidwind.shared.core.admission import TrafficClass
from orchidwind.shared.core.pool import MAX_OPENING, Grant, InstancePool, OpenConnection
from orchidwind_bench.promoted.simulation.callers import PromotedSystem
from orchidwind_bench.promoted.simulation.store import GROUP
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual

FLEET = tuple(f"proxy-{number:02}" for number in range(60))
SETTLED_SECONDS = 3.0
CALM_SECONDS = 50.0
CLASS = TrafficClass("any")


def with_fleet(scenario):
    async def work():
        system = PromotedSystem(1, proxies=FLEET)
        for node in system.nodes.values():
            assert await node.wait_prepared(5.0)
        await asyncio.sleep(SETTLED_SECONDS)
        await scenario(system)

    run_virtual(work())


def proxies_without_role(system):
    """The proxies that are neither a home proxy nor the zone reader of a view."""
    node = next(iter(system.nodes.values()))
    busy = {member.name for member in node.homes.placement(GROUP).homes}
    for view in (CONFIGURATION, MEMBERS):
        busy |= {member.name for member in zone_readers(view, node.homes.members).values()}
    return [name for name in FLEET if name not in busy]


def test_a_proxy_without_a_role_calls_the_store_only_at_its_start():
    async def scenario(system):
        calls = system.world.store.calls
        at_start = {name: calls[name] for name in proxies_without_role(system)}
        # One call each to list itself, to read the members and to read the configuration.
        assert set(at_start.values()) == {3}
        await asyncio.sleep(CALM_SECONDS)
        assert {name: calls[name] for name in at_start} == at_start

    with_fleet(scenario)


def test_a_configuration_change_costs_store_calls_of_readers_only():
    async def scenario(system):
        store = system.world.store
        others = proxies_without_role(system)
        before = {name: store.calls[name] for name in others}
        changed = replace(store.configuration, version=store.configuration.version + 1)
        store.put_configuration(changed)
        await asyncio.sleep(ProxyBounds().configuration)
        versions = {system.nodes[name].configuration.version for name in FLEET}
        assert versions == {changed.version}
        assert {name: store.calls[name] for name in others} == before

    with_fleet(scenario)


def test_in_a_store_outage_other_proxies_call_less_often_than_readers():
    async def scenario(system):
        store = system.world.store
        others = proxies_without_role(system)
        members = system.nodes[FLEET[0]].homes.members
        readers = [reader.name for reader in zone_readers(CONFIGURATION, members).values()]
        store.down = True
        await asyncio.sleep(5.0)
        before = dict(store.calls)
        await asyncio.sleep(10.0)
        spent = {name: store.calls[name] - before[name] for name in FLEET}
        # One read of the configuration per 0.3 of its bound; reads of members with doubling pauses.
        assert max(spent[name] for name in others) <= 10.0 / (0.3 * ProxyBounds().configuration) + 7
        assert min(spent[name] for name in readers) >= 2 * max(spent[name] for name in others)
        store.down = False
        version = store.configuration.version + 1
        store.put_configuration(replace(store.configuration, version=version))
        await asyncio.sleep(ProxyBounds().configuration)
        assert {node.configuration.version for node in system.nodes.values()} == {version}

    with_fleet(scenario)


def test_a_new_proxy_becomes_known_without_store_calls_of_other_proxies():
    async def scenario(system):
        others = proxies_without_role(system)
        before = {name: system.world.store.calls[name] for name in others}
        system.add_proxy("proxy-new")
        await asyncio.sleep(ProxyBounds().members)
        for node in system.nodes.values():
            assert "proxy-new" in {member.name for member in node.homes.members}
        assert {name: system.world.store.calls[name] for name in others} == before

    with_fleet(scenario)


def test_a_restarted_listed_proxy_does_not_wait_for_other_proxies_to_start():
    async def scenario(system):
        name = proxies_without_role(system)[0]
        began = system.world.now
        system.restart_proxy(name)
        assert await system.nodes[name].wait_prepared(5.0)
        assert system.world.now - began < 0.1

    with_fleet(scenario)


def waiting_pool(share=20):
    pool = InstancePool("i-0", share, count(1), eager=False)
    return pool, [
        effect for ticket in range(10) for effect in pool.acquire(ticket, CLASS, 0.0, 5.0)
    ]


def test_waiting_requests_open_few_connections_at_a_time():
    pool, effects = waiting_pool()
    assert len(effects) == MAX_OPENING
    opened = pool.opened(effects[0].connection, 0.03)
    assert sum(isinstance(effect, OpenConnection) for effect in opened) == 1
    assert sum(isinstance(effect, Grant) for effect in opened) == 1


def test_an_idle_home_proxy_reuses_one_connection_to_each_instance():
    async def scenario(system):
        instances = system.group.instances.values()
        homes = system.nodes["proxy-00"].homes.placement(GROUP).homes

        def held():
            return sorted(link.node for item in instances for link in item.links)

        assert held() == sorted(home.name for home in homes for _ in instances)
        executor = SessionExecutor(system.nodes[homes[0].name], "latest")
        await executor.execute(Command("q1", CommandKind.READ, "READ x"))
        assert held() == sorted(home.name for home in homes for _ in instances)

    with_fleet(scenario)
