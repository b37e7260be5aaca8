"""Each detected silent connection is logged and counted once, and `explain` shows it."""

import asyncio
import logging

import pytest

from orchidwind.commands.explain import explain_request, read_logs
from orchidwind.platform.promotions import PromotionCall
from orchidwind.platform.store import ObjectStore
from orchidwind.promoted.callers.session_executor import SessionExecutor
from orchidwind.promoted.core.commands import Command, CommandKind
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.shared.core.errors import PlatformError, RequestError
from orchidwind.shared.logs import configure_logging, log_event
from orchidwind.shared.silence import ConnectionKind
from orchidwind_bench.promoted.simulation.callers import PromotedSystem
from orchidwind_bench.promoted.simulation.store import GROUP
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual
from orchidwind_standins.platform import object_store

HOST = "127.0.0.1"
PROXIES = tuple(f"proxy-{letter}" for letter in "abcdef")
FIELDS = ("to", "opened_for", "silent_for", "owed", "decision")


def found(caplog, kind):
    """The log records that report a silent connection of a kind."""
    lines = [record for record in caplog.records if record.message == "connection_silent"]
    assert all(hasattr(line, field) for line in lines for field in FIELDS)
    return [line for line in lines if line.connection == kind.value]


def with_front(scenario):
    async def work():
        system = PromotedSystem(1, connection_limit=12, proxies=PROXIES)
        for node in system.nodes.values():
            assert await node.wait_prepared(5.0)
        await asyncio.sleep(1.0)
        front = next(node for node in system.nodes.values() if not node.homes.is_home(GROUP))
        await scenario(system, front)

    run_virtual(work())


async def open_transaction(front):
    executor = SessionExecutor(front, "latest")
    await executor.execute(Command("-", CommandKind.BEGIN, "BEGIN"))
    await executor.execute(Command("w1", CommandKind.WRITE, "WRITE x y"))
    return executor


def counts(system):
    total = {}
    for node in system.nodes.values():
        for kind, number in node.metrics.silent_counts().items():
            total[kind] = total.get(kind, 0) + number
    return total


def test_a_silent_link_is_logged_once_with_its_unanswered_command(caplog):
    caplog.set_level("INFO", logger="orchidwind")

    async def scenario(system, front):
        executor = await open_transaction(front)
        await asyncio.sleep(0.2)
        silenced = [link for link in system.links.links if link.front == front.name]
        for link in silenced:
            link.silent = True
        with pytest.raises(RequestError):
            await executor.execute(Command("w2", CommandKind.WRITE, "WRITE x z"))
        (line,) = [line for line in found(caplog, ConnectionKind.PEER_LINK) if line.owed]
        assert line.owed == 1
        assert 0.4 <= line.silent_for < 0.5
        assert line.opened_for >= line.silent_for + 0.2
        await asyncio.sleep(2.0)
        reported = found(caplog, ConnectionKind.PEER_LINK)
        assert len(reported) == len({line.to for line in reported}) <= len(silenced)
        assert counts(system) == {"peer_link": len(reported)}

    with_front(scenario)


def test_a_connection_silent_at_rest_is_logged_once(caplog):
    caplog.set_level("INFO", logger="orchidwind")

    async def scenario(system, front):
        await open_transaction(front)
        for node in system.nodes.values():
            connections = node.groups[GROUP].connections
            for pool in map(connections.pools.of, system.group.instances):
                for number in pool.busy:
                    connections.records.links[number].silent = True
        await asyncio.sleep(2.5)
        (line,) = found(caplog, ConnectionKind.INSTANCE_RESTING)
        assert line.to == system.group.primary().name
        assert line.group == GROUP
        assert line.owed == 0
        assert 1.4 <= line.silent_for < 1.7
        assert counts(system)["instance_resting"] == 1

    with_front(scenario)


def test_idle_and_running_connections_are_logged_with_their_kinds(caplog):
    caplog.set_level("INFO", logger="orchidwind")

    async def scenario(system, front):
        node = next(node for node in system.nodes.values() if node.homes.is_home(GROUP))
        executors = [SessionExecutor(node, "latest") for _ in range(2)]
        for number, executor in enumerate(executors):
            await executor.execute(Command("-", CommandKind.BEGIN, "BEGIN"))
            await executor.execute(Command(f"t{number}", CommandKind.READ, "READ x"))
        for executor in executors:
            await executor.execute(Command("-", CommandKind.ROLLBACK, "ROLLBACK"))
        system.group.silence([system.group.primary().name])
        await SessionExecutor(node, "latest").execute(Command("r1", CommandKind.READ, "READ x"))
        (running,) = found(caplog, ConnectionKind.INSTANCE_RUNNING)
        assert running.owed == 1
        assert found(caplog, ConnectionKind.INSTANCE_IDLE)
        reported = counts(system)
        assert reported["instance_running"] == 1
        assert reported["instance_idle"] == len(found(caplog, ConnectionKind.INSTANCE_IDLE))

    with_front(scenario)


def test_an_unanswered_call_is_logged_and_counted(caplog):
    caplog.set_level("INFO", logger="orchidwind")

    async def work():
        state = object_store.StoreState()
        server = object_store.listen(state, HOST, 0)
        address = (HOST, next(iter(server._sockets.values())).getsockname()[1])
        metrics = ProxyMetrics()
        state.stop_answering()
        store = ObjectStore(address, metrics.store_call, metrics.silent)
        with pytest.raises(PlatformError):
            await store.read("/orchidwind/objects/proxies?watch=1&wait_ms=1", 0.05)
        await PromotionCall(address, "proxy-a", metrics.silent).promote("ledger", "i-1", 1, 0.05)
        server.stop()
        assert metrics.silent_counts() == {"store": 1, "promotion": 1}

    asyncio.run(work())
    (line,) = found(caplog, ConnectionKind.STORE)
    assert line.to == "store/GET/proxies"
    (line,) = found(caplog, ConnectionKind.PROMOTION)
    assert (line.to, line.group) == ("i-1", "ledger")


def test_a_refused_call_is_not_a_silent_connection():
    async def work():
        state = object_store.StoreState(refuse_with=503)
        server = object_store.listen(state, HOST, 0)
        address = (HOST, next(iter(server._sockets.values())).getsockname()[1])
        metrics = ProxyMetrics()
        store = ObjectStore(address, metrics.store_call, metrics.silent)
        with pytest.raises(PlatformError):
            await store.read("/orchidwind/objects/proxies", 0.5)
        server.stop()
        assert metrics.silent_counts() == {}

    asyncio.run(work())


def write_log(path, node, events):
    root = logging.getLogger()
    before = (root.handlers, root.level)
    with path.open("wb") as log:
        configure_logging("INFO", node, log.fileno())
        try:
            for name, fields in events:
                log_event(name, **fields)
        finally:
            root.handlers, root.level = before


def silent(kind, to, group=""):
    return ("connection_silent", {"connection": kind, "to": to, "group": group})


def test_explain_shows_what_was_silent_at_the_requests_proxy_and_at_its_home(tmp_path):
    home, front = tmp_path / "home.log", tmp_path / "front.log"
    in_time = [silent("instance_running", "i-1", "g"), silent("instance_idle", "i-9", "other")]
    write_log(home, "front-2", [*in_time, ("home_lost", {"home": "front-7"})])
    failed = {
        "request_id": "a1",
        "group": "g",
        "reason": "statement_timeout",
        "attempts": "1: front-2:home:i-1:connection_lost",
        "milliseconds": 800,
    }
    other = [silent("peer_link", "front-2")]
    write_log(front, "front-1", [*other, ("request_failed", failed)])
    reported = explain_request(read_logs([home, front]), "a1")
    assert [line.split()[0] for line in reported] == ["before:", "before:", "request:"]
    assert "connection=instance_running" in reported[0]
    assert "connection=peer_link" in reported[1]


def test_explain_looks_back_as_far_as_a_transaction_may_be_idle(tmp_path):
    path = tmp_path / "proxy.log"
    lines = []
    for second, text in (
        (0, "event=connection_silent connection=instance_idle to=i-1 group=g"),
        (1, "event=connection_silent connection=instance_resting to=i-1 group=g"),
        (20, "event=request_failed request_id=a1 group=g reason=transaction_lost"),
    ):
        at = f"2026-01-01T00:00:{second:02}.000000+00:00"
        lines.append(f"at={at} level=INFO node=front-1 {text}\n")
    path.write_text("".join(lines))
    reported = explain_request(read_logs([path]), "a1")
    assert len(reported) == 2
    assert "connection=instance_resting" in reported[0]
