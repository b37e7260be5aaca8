"""One proxy on real sockets, between callers and stand-ins for instances, store and promotions."""

import asyncio
import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from support.platform_system import (
    HOST,
    ROUTES,
    SERVICE,
    LineClient,
    PlatformSystem,
    with_system,
)
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from orchidwind.platform.main import PlatformProxy
from orchidwind_bench.processes import free_ports

ROOT = Path(__file__).parents[2]


@pytest.mark.parametrize("database", list(ROUTES))
def test_each_kind_of_route_serves_reads_and_writes(tmp_path, database):
    async def scenario(system):
        client = await LineClient.open(system.front_port, database)
        assert client.greeting == "READY I -"
        assert await client.ask("WRITE t1 some data", "w1") == ["COMPLETE signed-w1", "READY I -"]
        assert await client.ask("READ t1", "r1") == [
            "DATAROW some data",
            "COMPLETE signed-r1",
            "READY I -",
        ]
        assert system.runs("w1") == [("i-0", "WRITE t1 some data")]

    with_system(tmp_path, scenario)


def test_reads_allowed_on_replicas_run_there(tmp_path):
    async def scenario(system):
        client = await LineClient.open(system.front_port, "own")
        await client.ask("WRITE t1 x", "w1")
        for number in range(5):
            await client.ask("READ t1", f"r{number}")
        ran_on = {name for number in range(5) for name, _ in system.runs(f"r{number}")}
        assert "i-0" not in ran_on

    with_system(tmp_path, scenario)


def test_a_transaction_from_begin_to_commit(tmp_path):
    async def scenario(system):
        client = await LineClient.open(system.front_port)
        assert await client.ask("BEGIN", "b1") == ["COMPLETE -", "READY T -"]
        assert (await client.ask("WRITE t1 x", "w1"))[-1] == "READY T -"
        assert await client.ask("COMMIT", "c1") == ["COMPLETE signed-c1", "READY I -"]
        assert (await client.ask("READ t1", "r1"))[0] == "DATAROW x"
        await client.ask("BEGIN")
        await client.ask("WRITE t1 y", "w2")
        assert await client.ask("ROLLBACK") == ["COMPLETE -", "READY I -"]
        assert (await client.ask("READ t1", "r2"))[0] == "DATAROW x"
        assert await client.ask("BEGIN READ") == ["COMPLETE -", "READY T -"]
        assert (await client.ask("READ t1", "r3"))[0] == "DATAROW x"
        assert await client.ask("COMMIT", "c3") == ["COMPLETE signed-c3", "READY I -"]
        assert await client.ask("BEGIN") == ["COMPLETE -", "READY T -"]
        assert await client.ask("COMMIT", "c4") == ["COMPLETE signed-c4", "READY I -"]

    with_system(tmp_path, scenario)


def test_a_failed_transaction_takes_only_its_end(tmp_path):
    async def scenario(system):
        client = await LineClient.open(system.front_port)
        await client.ask("BEGIN")
        await client.ask("WRITE t1 x", "w1")
        system.group.instances["i-0"].next_error_code = "FAILED"
        lines = await client.ask("READ t1", "r1")
        assert lines[0].startswith("ERROR FAILED")
        assert lines[-1] == "READY E -"
        assert (await client.ask("SET a 1"))[0].startswith("ERROR MALFORMED")
        lines = await client.ask("COMMIT", "c1")
        assert lines[0].startswith("ERROR ABORTED")
        assert lines[-1] == "READY I -"
        assert (await client.ask("READ t1", "r2"))[0] == "DATAROW none"

    with_system(tmp_path, scenario)


def test_a_transaction_that_rests_too_long_is_rolled_back(tmp_path):
    async def scenario(system):
        client = await LineClient.open(system.front_port)
        await client.ask("BEGIN")
        await client.ask("WRITE t1 x", "w1")
        await asyncio.sleep(0.5)
        assert (await client.ask("READ t1", "r1"))[0].startswith("ERROR MALFORMED")
        assert (await client.ask("ROLLBACK"))[-1] == "READY I -"
        assert (await client.ask("READ t1", "r2"))[0] == "DATAROW none"

    with_system(tmp_path, scenario, idle_ms=300)


def test_prepared_names_of_two_sessions_do_not_clash(tmp_path):
    async def scenario(system):
        first = await LineClient.open(system.front_port)
        second = await LineClient.open(system.front_port)
        await first.ask("PREPARE s1 WRITE q1")
        await second.ask("PREPARE s1 READ q2")
        assert (await first.ask("EXECUTE s1 t1 x", "w1"))[0] == "COMPLETE signed-w1"
        assert (await second.ask("EXECUTE s1 t1", "r1"))[0] == "DATAROW x"
        assert (await second.ask("EXECUTE s2 t1", "r2"))[0].startswith("ERROR NOSTMT")
        assert await second.ask("DEALLOC s1") == ["COMPLETE -", "READY I -"]
        assert (await second.ask("EXECUTE s1 t1", "r3"))[0].startswith("ERROR NOSTMT")

    with_system(tmp_path, scenario)


def test_settings_of_sessions_on_shared_connections_do_not_mix(tmp_path):
    async def scenario(system):
        first = await LineClient.open(system.front_port)
        second = await LineClient.open(system.front_port)
        assert await first.ask("SET a 1") == ["COMPLETE -", "READY I -"]
        await first.ask("READ t1", "r1")
        await second.ask("READ t1", "r2")
        group = system.proxy._proxy.groups[SERVICE]
        carried = [item.settings for item in group.state._connection_states.values()]
        assert {} in carried
        assert {"a": "2"} not in carried

    with_system(tmp_path, scenario)


def test_unknown_databases_and_routes_that_go(tmp_path):
    async def scenario(system):
        rejected = await LineClient.open(system.front_port, "nowhere")
        assert rejected.greeting.startswith("ERROR NODB")
        assert await rejected.closed()
        client = await LineClient.open(system.front_port, "own")
        await client.ask("BEGIN")
        await client.ask("READ t1", "r1")
        system.write_configuration({"latest": "primary"})
        while system.proxy._proxy.configuration.version < system.version:
            await asyncio.sleep(0.01)
        assert (await client.ask("READ t1", "r2"))[-1] == "READY T -"
        assert (await client.ask("COMMIT", "c1"))[-1] == "READY I -"
        assert (await client.ask("READ t1", "r3"))[0].startswith("ERROR NODB")
        assert system.runs("r3") == []

    with_system(tmp_path, scenario)


@pytest.mark.parametrize(
    "data", [b"HELLO\r\n", b"QUERY\r\n", b"STARTUP latest x\n", b"STARTUP\r\n", b"\r\n"]
)
def test_bad_first_messages_end_the_session(tmp_path, data):
    async def scenario(system):
        stream = await TCPClient().connect(HOST, system.front_port)
        await stream.write(data)
        async with asyncio.timeout(5):
            answer = await stream.read_until_close()
        assert answer.startswith(b"ERROR MALFORMED")

    with_system(tmp_path, scenario)


def test_bad_messages_leave_no_connection_in_use(tmp_path):
    async def scenario(system):
        for data in (
            b"QUERY x NONSENSE\r\n",
            b"NONSENSE\r\n",
            b"QUERY x READ a\n",
            b"\xff\xfe\r\n",
        ):
            client = await LineClient.open(system.front_port)
            await client.ask("BEGIN")
            await client.ask("WRITE t1 x", "w1")
            await client.stream.write(data)
            assert "ERROR MALFORMED" in await client.line()
            client.stream.close()
        await asyncio.sleep(0.2)
        group = system.proxy._proxy.groups[SERVICE]
        assert group.connections.pools.busy == 0
        fresh = await LineClient.open(system.front_port)
        assert (await fresh.ask("READ t1", "r1"))[0] == "DATAROW none"

    with_system(tmp_path, scenario)


def test_a_message_beyond_the_limit_is_refused(tmp_path):
    async def scenario(system):
        client = await LineClient.open(system.front_port)
        with pytest.raises(StreamClosedError):
            for _ in range(40):
                await client.stream.write(b"x" * 65536)
            await client.stream.read_until_close()
            raise StreamClosedError

    with_system(tmp_path, scenario)


def test_a_lost_answer_to_a_write_makes_no_promise(tmp_path):
    async def scenario(system):
        client = await LineClient.open(system.front_port)
        await client.ask("READ t1", "r0")
        system.group.instances["i-0"].answers_enabled.clear()
        lines = await client.ask("WRITE t1 x", "w1")
        assert re.match("ERROR (TIMEOUT|INDOUBT)", lines[0])
        assert len(system.runs("w1")) == 1

    with_system(tmp_path, scenario, timeout_ms=800)


def test_a_crashed_primary_is_replaced_through_the_store(tmp_path):
    async def scenario(system):
        client = await LineClient.open(system.front_port)
        await client.ask("WRITE t1 x", "w1")
        system.crash("i-0")
        deadline = asyncio.get_running_loop().time() + 6
        while asyncio.get_running_loop().time() < deadline:
            lines = await client.ask("WRITE t1 y", f"w{deadline}")
            if lines[0].startswith("COMPLETE"):
                break
        assert lines[0].startswith("COMPLETE")
        assert len(system.store.promotions) == 1
        service, name, holder, token = system.store.promotions[0]
        assert (service, holder) == (SERVICE, "front-1")
        assert name in ("i-1", "i-2")
        assert token > 0
        assert (await client.ask("READ t1", "r1"))[0] == "DATAROW y"

    with_system(tmp_path, scenario)


def test_proxy_survives_refused_calls_and_lost_history(tmp_path):
    async def scenario(system):
        client = await LineClient.open(system.front_port)
        system.store.refuse_with = 503
        await asyncio.sleep(0.3)
        assert (await client.ask("WRITE t1 x", "w1"))[0].startswith("COMPLETE")
        system.write_configuration({"latest": "primary", "later": "primary"})
        system.store.forget_history()
        system.store.refuse_with = 0
        async with asyncio.timeout(3):
            while system.proxy._proxy.configuration.version < system.version:
                await asyncio.sleep(0.05)
        assert (await LineClient.open(system.front_port, "later")).greeting == "READY I -"

    with_system(tmp_path, scenario)


def test_the_rosters_of_groups_are_kept_in_the_store(tmp_path):
    async def scenario(system):
        async with asyncio.timeout(8):
            while ("group-members", SERVICE) not in system.store.objects:
                await asyncio.sleep(0.05)
            await system.listen_instance(system.group.add("i-3"), free_ports(1)[0])
            system.write_entry(system.group.instances["i-3"])
            while "i-3" not in system.store.objects[("group-members", SERVICE)].spec["members"]:
                await asyncio.sleep(0.05)
        system.store.remove("servers", "i-3")
        members = system.store.objects[("group-members", SERVICE)].spec["members"]
        assert members == ["i-0", "i-1", "i-2", "i-3"], "it may still hold commits"

    with_system(tmp_path, scenario)


def test_ready_and_metrics_addresses(tmp_path):
    async def scenario(system):
        client = await LineClient.open(system.front_port)
        await client.ask("READ t1", "r1")
        ready = await system.status_of("/orchidwind/ready", system.ports[1])
        assert ready.status == 200
        metrics = await system.status_of("/metrics", system.ports[2])
        assert b"orchidwind_requests_total" in metrics.body
        assert (await system.status_of("/else", system.ports[1])).status == 404

    with_system(tmp_path, scenario)


def test_the_process_drains_on_a_signal(tmp_path):
    """After SIGTERM: not ready at once, new sessions are served, transactions end, then exit."""

    async def work():
        system = PlatformSystem(tmp_path)
        await system.start()
        environment = {**os.environ, "ORCHIDWIND_SETTINGS": str(system.settings_path)}
        process = subprocess.Popen(
            [sys.executable, "deploy/node.py"],
            cwd=ROOT,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        try:
            await until_ready(system)
            client = await LineClient.open(system.front_port)
            idle = await LineClient.open(system.front_port)
            await client.ask("BEGIN")
            await client.ask("WRITE t1 x", "w1")
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            ready = await system.status_of("/orchidwind/ready", system.ports[1])
            assert ready.status == 503
            late = await LineClient.open(system.front_port)
            assert (await late.ask("READ t1", "r1"))[0] == "DATAROW none"
            assert (await client.ask("COMMIT", "c1"))[0] == "COMPLETE signed-c1"
            assert await idle.closed()
            output, _ = await asyncio.to_thread(process.communicate, None, 10)
        finally:
            process.kill()
            system.stop()
        assert process.returncode == 0
        assert b"event=started" in output
        assert b"event=drain_started" in output
        assert b"event=stopped" in output

    asyncio.run(work())


async def until_ready(system):
    async with asyncio.timeout(10):
        while True:
            try:
                answer = await system.status_of("/orchidwind/ready", system.ports[1])
                if answer.status == 200:
                    return
            except Exception:  # not listening yet
                pass
            await asyncio.sleep(0.05)


def test_platform_terms_occur_only_in_its_adapters():
    words = re.compile(
        r"DATAROW|READONLY|LAGGING|INDOUBT|WRONGNODE|TOOMANYCON|NOSTMT|db_role|"
        r"bounded_staleness|read_own_writes|max_staleness_ms|cloud_api|Duty-Holder|Fencing-Token|"
        r"/promotions|orchidwind/objects|internal_port_range"
    )
    source = ROOT / "src"
    translators = (
        source / "orchidwind/platform",
        source / "orchidwind_standins/platform",
        source / "orchidwind_bench/platform/soak",
    )
    assert all(folder.is_dir() for folder in translators)
    for path in source.rglob("*.py"):
        if any(folder in path.parents for folder in translators):
            continue
        assert not words.search(path.read_text()), path


def test_the_standard_library_keeps_its_module():
    code = "import sys; sys.path.insert(0, 'src'); import platform; print(platform.__file__)"
    run = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert "orchidwind" not in run.stdout
    assert run.stdout.strip().endswith("platform.py")


def test_a_proxy_without_connections_forwards_to_the_home(tmp_path):
    """Two proxies, server connections for only one: the other forwards reads and writes to it."""

    async def work():
        system = PlatformSystem(tmp_path)
        system.maximum_connections = 6
        await system.start()
        second = system.second_settings()
        proxies = [PlatformProxy(system.settings_path), PlatformProxy(second)]
        tasks = [asyncio.create_task(proxy.run()) for proxy in proxies]
        async with asyncio.timeout(5):
            while not all(len(p._proxy.homes._members) == 2 for p in proxies):
                await asyncio.sleep(0.01)
        front = next(p for p in proxies if not p._proxy.homes.is_home(SERVICE))
        port = int(front._settings.listen.callers.rpartition(":")[2])
        client = await LineClient.open(port, "own")
        await client.ask("SET a 1")
        await client.ask("PREPARE s1 WRITE q1")
        assert (await client.ask("EXECUTE s1 t1 x", "w1"))[0] == "COMPLETE signed-w1"
        assert (await client.ask("READ t1", "r1"))[0] == "DATAROW x"
        assert await client.ask("BEGIN") == ["COMPLETE -", "READY T -"]
        assert (await client.ask("WRITE t1 y", "w2"))[-1] == "READY T -"
        assert (await client.ask("COMMIT", "c1"))[0] == "COMPLETE signed-c1"
        assert len(system.runs("w2")) == 1
        assert front._proxy.groups[SERVICE].connections.records.links == {}
        for proxy in proxies:
            proxy._stop.set()
        async with asyncio.timeout(8):
            await asyncio.gather(*tasks)
        system.stop()

    asyncio.run(work())
