"""Open links between proxies that stay silent without a reset, while new connections work."""

import asyncio
import contextlib

import pytest

from orchidwind.promoted.callers.session_executor import SessionExecutor
from orchidwind.promoted.core.commands import Command, CommandKind
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.link_silence import LINK_IDLE_PROBE_SECONDS, LINK_SILENT_SECONDS
from orchidwind.promoted.core.peer_messages import Alive, Probe, ViewQuery, ViewReport
from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.promoted.views.followed_views import ProxyBounds
from orchidwind.promoted.views.peer_views import CONFIGURATION
from orchidwind.shared.core.errors import ErrorKind, PeerUnavailable, RequestError
from orchidwind_bench.promoted.simulation.callers import PromotedSystem
from orchidwind_bench.promoted.simulation.store import GROUP
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual

MEMBER = ProxyMember("proxy-b", "zone-b", "proxy-b", 1)
PROXIES = tuple(f"proxy-{letter}" for letter in "abcdefghi")


class Connector:
    """Opens connections that answer until they are silenced; connections opened later answer."""

    def __init__(self):
        self.opened = []
        self.probes = 0

    async def connect(self, member, on_message, on_lost):
        connection = Connection(self, on_message)
        self.opened.append(connection)
        return connection

    def silence(self):
        for connection in self.opened:
            connection.silent = True


class Connection:
    last_byte_at = 0.0

    def __init__(self, connector, on_message):
        self._connector = connector
        self._on_message = on_message
        self.silent = False

    def send(self, message):
        self._connector.probes += isinstance(message, Probe)
        if self.silent:
            return
        if isinstance(message, Probe):
            asyncio.get_running_loop().call_soon(self._on_message, Alive(False))
        if isinstance(message, ViewQuery):
            report = ViewReport(message.number, known=True, age=0.0, revision=1)
            asyncio.get_running_loop().call_soon(self._on_message, report)

    def close(self):
        self.silent = True


async def ask_with_short_timeout(link):
    with contextlib.suppress(PeerUnavailable, TimeoutError):
        async with asyncio.timeout(0.25):
            await link.ask_view(CONFIGURATION, 1, whole=False)


def test_silent_link_is_detected_though_each_query_is_cancelled():
    async def work():
        connector = Connector()
        link = PeerLink("proxy-a", MEMBER, connector)
        await ask_with_short_timeout(link)
        connector.silence()
        for _ in range(3):
            await ask_with_short_timeout(link)
            await asyncio.sleep(0.05)
        assert not link.usable()
        await asyncio.sleep(0.5)
        assert link.usable()

    run_virtual(work())


def test_idle_silent_link_is_detected_before_a_request_uses_it():
    async def work():
        connector = Connector()
        link = PeerLink("proxy-a", MEMBER, connector)
        await ask_with_short_timeout(link)
        connector.silence()
        await asyncio.sleep(LINK_IDLE_PROBE_SECONDS + LINK_SILENT_SECONDS + 0.1)
        assert not link.usable()
        await asyncio.sleep(1.0)
        assert link.usable()
        assert len(connector.opened) == 2

    run_virtual(work())


def test_unused_link_is_not_probed():
    async def work():
        connector = Connector()
        link = PeerLink("proxy-a", MEMBER, connector)
        await ask_with_short_timeout(link)
        await asyncio.sleep(10.0)
        probes = connector.probes
        await asyncio.sleep(60.0)
        assert connector.probes == probes

    run_virtual(work())


def with_system(scenario):
    async def work():
        system = PromotedSystem(1, connection_limit=12, proxies=PROXIES)
        for node in system.nodes.values():
            assert await node.wait_prepared(5.0)
        await asyncio.sleep(2.0)
        await scenario(system)

    run_virtual(work())


def command(kind, text, number):
    return Command(f"q{number}", kind, text)


def front_of(system):
    return next(node for node in system.nodes.values() if not node.homes.is_home(GROUP))


def test_a_link_that_was_closed_while_it_opened_takes_no_commands():
    """Guards against a command that tries a closed link again and again without ever waiting."""

    class NeverOpens:
        async def connect(self, member, on_message, on_lost):
            await asyncio.get_running_loop().create_future()

    async def work():
        link = PeerLink("proxy-a", MEMBER, NeverOpens())
        link.verify()
        await asyncio.sleep(0.1)
        link.close()
        assert not link.usable()

    run_virtual(work())


async def keep_reading(node, number, seconds, outcomes):
    executor = SessionExecutor(node, "session")
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    count = 0
    while loop.time() < until:
        count += 1
        began = loop.time()
        try:
            await executor.execute(command(CommandKind.READ, "READ x", f"{number}-{count}"))
            outcomes.append((began, True))
        except RequestError:
            outcomes.append((began, False))
        await asyncio.sleep(0.05)


def test_requests_succeed_after_all_links_became_silent():
    async def scenario(system):
        outcomes = []
        fronts = [node for node in system.nodes.values() if not node.homes.is_home(GROUP)]
        reading = [
            asyncio.create_task(keep_reading(node, number, 6.0, outcomes))
            for number, node in enumerate(fronts)
        ]
        await asyncio.sleep(2.0)
        silenced_at = system.world.now
        system.links.silence()
        await asyncio.gather(*reading)
        soon = [ok for began, ok in outcomes if 0 <= began - silenced_at < 2.0]
        later = [ok for began, ok in outcomes if began - silenced_at >= 2.0]
        # The request in progress on each silent link is lost; later requests are not.
        assert soon.count(True) >= 0.95 * len(soon)
        assert later.count(True) == len(later)

    with_system(scenario)


def test_read_on_a_silent_link_is_served_by_another_home_within_its_deadline():
    async def scenario(system):
        front = front_of(system)
        executor = SessionExecutor(front, "latest")
        await executor.execute(command(CommandKind.READ, "READ x", 1))
        home = front.homes.home_link(GROUP, "").member.name
        for link in system.links.links:
            link.silent = (link.front, link.home) == (front.name, home)
        began = system.world.now
        await executor.execute(command(CommandKind.READ, "READ x", 2))
        assert LINK_SILENT_SECONDS < system.world.now - began < 0.8

    with_system(scenario)


def test_transaction_on_a_silent_link_is_rolled_back_when_the_link_is_reopened():
    async def scenario(system):
        front = front_of(system)
        executor = SessionExecutor(front, "latest")
        await executor.execute(Command("-", CommandKind.BEGIN, "BEGIN"))
        await executor.execute(command(CommandKind.WRITE, "WRITE x y", 1))
        system.links.silence()
        with pytest.raises(RequestError) as caught:
            await executor.execute(command(CommandKind.WRITE, "WRITE x z", 2))
        assert caught.value.kind is ErrorKind.TRANSACTION_LOST
        await asyncio.sleep(1.0)
        held = sum(node.groups[GROUP].connections.pools.busy for node in system.nodes.values())
        assert held == 0

    with_system(scenario)


def test_configuration_applies_in_time_after_all_links_became_silent():
    async def scenario(system):
        store = system.world.store
        system.links.silence()
        held = store.configuration
        store.put_configuration(type(held)(held.version + 1, held.databases, held.groups))
        await asyncio.sleep(ProxyBounds().configuration)
        versions = {node.configuration.version for node in system.nodes.values()}
        assert versions == {held.version + 1}

    with_system(scenario)
