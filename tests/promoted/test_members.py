"""Members of a system of promoted groups: joining, leaving, links between them, cost of watches."""

import asyncio
import contextlib

import pytest

from orchidwind.promoted.callers.session_executor import SessionExecutor
from orchidwind.promoted.core.commands import Command, CommandKind
from orchidwind.promoted.core.freshness import FollowTimes
from orchidwind.promoted.core.homes import FORGET_PROXY_SECONDS, ProxyMember, group_homes
from orchidwind.promoted.core.link_silence import (
    LINK_CHECK_SECONDS,
    LINK_CONNECT_SECONDS,
    LINK_SILENT_SECONDS,
)
from orchidwind.promoted.core.peer_messages import ViewQuery, ViewReport
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.group.instance_pools import ConnectionShares
from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.promoted.ports import Changes, Listing
from orchidwind.promoted.views.collection_watch import CollectionWatch
from orchidwind.shared.core.errors import PeerUnavailable, RequestError
from orchidwind.shared.core.tenant_connections import NO_TENANT
from orchidwind_bench.promoted.simulation.callers import PromotedSystem
from orchidwind_bench.promoted.simulation.store import GROUP, STORE
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual

PROXIES = tuple(f"proxy-{letter}" for letter in "abcdef")
LARGE_FLEET = tuple(f"proxy-{letter}" for letter in "abcdefghijkl")


def with_system(scenario, limit=12, proxies=PROXIES):
    async def work():
        system = PromotedSystem(1, connection_limit=limit, proxies=proxies)
        for node in system.nodes.values():
            assert await node.wait_prepared(5.0)
        await asyncio.sleep(1.5)
        await scenario(system)

    run_virtual(work())


def test_all_proxies_compute_the_same_placement():
    async def scenario(system):
        placed = {node.homes.placement(GROUP) for node in system.nodes.values()}
        assert len(placed) == 1

    with_system(scenario)


def unreachable_home(system):
    """Return a proxy that does not run, but would be the first home for a front of its zone."""
    members = list(system.nodes["proxy-a"].homes.members)
    for number in range(100):
        name = f"proxy-gone-{number}"
        ghost = ProxyMember(name, "zone-a", name, 1, capacity=1000.0)
        placed = group_homes(GROUP, 12, [*members, ghost], 1)
        fronts = [item for item in members if item.zone == "zone-a" and item not in placed.homes]
        if fronts and placed.preferred(fronts[0].name, "zone-a")[0] == ghost:
            return ghost
    raise AssertionError("no candidate name is placed as the first home of a front")


def test_unreachable_member_is_removed_and_a_running_one_registers_again():
    async def scenario(system):
        ghost = unreachable_home(system)
        system.world.store.members[ghost.name] = ghost
        system.world.store.revision += 1
        system.world.store.note("members")
        await asyncio.sleep(4.0)
        front = system.nodes["proxy-a"]
        assert ghost in front.homes.placement(GROUP).homes
        loop = asyncio.get_running_loop()
        began = loop.time()
        while loop.time() < began + FORGET_PROXY_SECONDS + 10:
            for node in system.nodes.values():
                link = node.homes.home_link(GROUP, "")
                if link is not None and link.member.name == ghost.name:
                    with contextlib.suppress(PeerUnavailable):
                        await link.ask_lock()
            await asyncio.sleep(0.5)
        assert ghost.name not in system.world.store.members
        system.world.store.members.pop("proxy-b")
        node = system.nodes["proxy-b"]
        node.homes.changed(Changes((), ("proxy-b",), StoreRevision(1)))
        await asyncio.sleep(1.0)
        assert "proxy-b" in system.world.store.members

    with_system(scenario)


def test_proxy_that_is_no_longer_a_home_closes_its_connections():
    async def scenario(system):
        node = next(n for n in system.nodes.values() if n.homes.is_home(GROUP))
        await node.groups[GROUP].ask_status("i-0")
        node.groups[GROUP].set_home(False, ConnectionShares(2, 2, 2))
        await asyncio.sleep(0.1)
        links = {link.node for item in system.group.instances.values() for link in item.links}
        assert node.name not in links

    with_system(scenario)


TIMES = FollowTimes.unbounded(8.0)


class _Source:
    """A collection that changes continuously."""

    def __init__(self):
        self.asked = 0

    async def list(self, limit, on_arrival):
        return Listing((), StoreRevision(1))

    async def watch(self, revision, wait, limit, on_arrival):
        self.asked += 1
        await asyncio.sleep(0.01)
        return Changes((1,), (), StoreRevision(revision + 1))


class _Follower:
    def __init__(self):
        self.taken = 0

    def listed(self, listing):
        self.taken += 1
        return True

    def changed(self, changes):
        self.taken += 1


def test_frequent_changes_are_batched():
    async def work():
        source, follower = _Source(), _Follower()
        task = asyncio.create_task(CollectionWatch("x", source, follower, TIMES, 0.5).run())
        await asyncio.sleep(3.0)
        task.cancel()
        assert 4 <= source.asked <= 6
        assert follower.taken >= 5

    run_virtual(work())


def commands(executor, kind, text, number):
    return executor.execute(Command(f"q{number}", kind, text))


def test_a_home_that_gets_no_connections_lets_another_serve():
    """A restarted proxy may get no connection, as instances still count its lost connections."""

    async def scenario(system):
        others = [node for node in system.nodes.values() if node.name != "proxy-a"]
        for node in others:
            executor = SessionExecutor(node, "latest")
            await commands(executor, CommandKind.WRITE, "WRITE x y", node.name)
        instances = system.group.instances.values()
        system.restart_proxy("proxy-a")
        # No instance has room for one more.
        system.world.connection_limit = min(len(item.links) for item in instances)
        node = system.nodes["proxy-a"]
        assert await node.wait_prepared(5.0)
        await asyncio.sleep(1.0)
        executor = SessionExecutor(node, "latest")
        with contextlib.suppress(RequestError):
            await commands(executor, CommandKind.WRITE, "WRITE x y", 0)
        for number in range(1, 30):
            await commands(executor, CommandKind.WRITE, "WRITE x y", number)
            await asyncio.sleep(0.1)
        assert not any(link.node == "proxy-a" for item in instances for link in item.links)
        system.world.connection_limit = 100
        await asyncio.sleep(1.0)
        await commands(executor, CommandKind.WRITE, "WRITE x y", 99)
        assert any(link.node == "proxy-a" for item in instances for link in item.links)
        assert not node.groups[GROUP].connections.starved

    with_system(scenario, limit=24)


def test_a_planned_stop_does_not_wait_for_a_store_that_is_cut_off():
    async def scenario(system):
        node = system.nodes["proxy-a"]
        system.world.network.cut("proxy-a", STORE)
        began = system.world.now
        await node.leases.leave()
        assert system.world.now - began < 0.5

    with_system(scenario)


class _CutConnector:
    """Never completes a connection attempt, as during a network partition."""

    def __init__(self):
        self.attempts = 0

    async def connect(self, member, on_message, on_lost):
        self.attempts += 1
        await asyncio.get_running_loop().create_future()


MEMBER = ProxyMember("proxy-b", "zone-b", "proxy-b", 1)


def test_queries_with_a_short_timeout_do_not_hide_a_lost_link():
    """Queries with a short time limit must not restart the connection attempt each time.

    Otherwise the link is never found lost, and commands wait behind each attempt.
    """

    async def work():
        connector = _CutConnector()
        link = PeerLink("proxy-a", MEMBER, connector)
        for _ in range(10):
            with contextlib.suppress(PeerUnavailable, TimeoutError):
                async with asyncio.timeout(0.25):
                    await link.ask_view("configuration", 1, whole=False)
            await asyncio.sleep(0.2)
        assert not link.usable()
        assert connector.attempts <= 4

    run_virtual(work())


class _SlowConnector:
    """Opens a connection whose answer takes two seconds; with `dribbles` bytes arrive meanwhile."""

    def __init__(self, dribbles):
        self._dribbles = dribbles

    async def connect(self, member, on_message, on_lost):
        self._on_message = on_message
        return self

    @property
    def last_byte_at(self):
        return asyncio.get_running_loop().time() if self._dribbles else 0.0

    def send(self, message):
        if isinstance(message, ViewQuery):
            report = ViewReport(message.number, known=True, age=0.0, revision=1)
            asyncio.get_running_loop().call_later(2.0, self._on_message, report)

    def close(self):
        pass


@pytest.mark.parametrize("dribbles", [True, False])
def test_link_on_which_a_long_answer_is_arriving_is_not_silent(dribbles):
    async def work():
        link = PeerLink("proxy-a", MEMBER, _SlowConnector(dribbles))
        asking = asyncio.create_task(link.ask_view("configuration", 1, whole=True))
        await asyncio.wait({asking}, timeout=3.0)
        assert (asking.exception() is None) == dribbles

    run_virtual(work())


def test_requests_waiting_for_a_link_fail_when_it_is_closed():
    async def work():
        link = PeerLink("proxy-a", MEMBER, _CutConnector())
        waiting = asyncio.create_task(link.ask_lock())
        leaving = asyncio.create_task(link.ask_lock())
        await asyncio.sleep(0.1)
        leaving.cancel()
        link.close()
        with pytest.raises(PeerUnavailable):
            await waiting
        with pytest.raises(asyncio.CancelledError):
            await leaving

    run_virtual(work())


def test_commands_do_not_wait_for_connection_attempts_to_an_unreachable_home():
    """During a network partition a pause between attempts must not end with a waiting request.

    Requests once waited 0.4 s, the time limit of a connection attempt, after every pause.
    """

    async def scenario(system):
        node = next(n for n in system.nodes.values() if not n.homes.is_home(GROUP))
        executor = SessionExecutor(node, "latest")
        await commands(executor, CommandKind.WRITE, "WRITE x y", 0)
        cut_off = node.homes.home_link(GROUP, "").member.name
        system.world.network.cut(node.name, cut_off)
        slow = 0
        for number in range(1, 100):
            began = system.world.now
            with contextlib.suppress(RequestError):
                await commands(executor, CommandKind.WRITE, "WRITE x y", number)
            slow += system.world.now - began > 0.2
            await asyncio.sleep(0.05)
        assert slow <= 1
        assert node.homes.home_link(GROUP, "").member.name != cut_off
        system.world.network.heal()
        await asyncio.sleep(1.5)
        assert node.homes.home_link(GROUP, "").member.name == cut_off

    with_system(scenario)


def test_many_lost_homes_delay_a_command_no_longer_than_two():
    """Guards against commands that wait for each lost home in turn.

    With six of twelve proxies lost, the first commands of the others waited 2.1 s for the links to
    six homes, and reached their time limits.
    """

    async def scenario(system):
        homes = [home.name for home in system.nodes["proxy-a"].homes.placement(GROUP).homes]
        assert len(homes) >= 5
        front = next(name for name in system.nodes if name not in homes)
        for home in homes:
            for other in (STORE, *system.nodes):
                if other != home:
                    system.world.network.cut(home, other)
        node, began = system.nodes[front], system.world.now
        executor = SessionExecutor(node, "bounded")
        command = executor.execute(Command("-1", CommandKind.READ, "READ x"))
        running = asyncio.create_task(command)
        silent = LINK_SILENT_SECONDS + LINK_CHECK_SECONDS
        longest = silent + LINK_CONNECT_SECONDS + LINK_CHECK_SECONDS
        while node.homes.home_link(GROUP, NO_TENANT) is not None:
            assert system.world.now - began <= longest
            await asyncio.sleep(0.01)
        with contextlib.suppress(RequestError):
            await running

    with_system(scenario, limit=36, proxies=LARGE_FLEET)
