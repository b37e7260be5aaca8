"""Limits on what half-open callers, or callers that read nothing, can hold on real sockets."""

import asyncio

from support.platform_system import SERVICE, LineClient, with_system
from support.relay import Relay

from orchidwind.platform.line_format import MAXIMUM_MESSAGE_BYTES

IDLE_MS = 300
# Allowance beyond the idle limit of a transaction, for a busy machine.
SLACK_SECONDS = 0.7


def held(system):
    """The number of connections to instances in use by requests or transactions."""
    return system.proxy._proxy.groups[SERVICE].connections.pools.busy


async def half_open(system):
    """A caller behind a relay that can drop everything that either side sends."""
    relay = Relay(system.front_port)
    return relay, await LineClient.open(await relay.start())


def test_half_open_callers_lose_their_transaction_after_the_idle_limit(tmp_path):
    async def scenario(system):
        relay, idle = await half_open(system)
        waiting = await LineClient.open(relay.port)
        for thing, caller in (("t1", idle), ("t2", waiting)):
            await caller.ask("BEGIN")
            await caller.ask(f"WRITE {thing} x", f"w-{thing}")
        assert held(system) == 2
        await waiting.stream.write(b"QUERY w3 WRITE t2 y\r\n")
        relay.silence()
        await asyncio.sleep(IDLE_MS / 1000 + SLACK_SECONDS)
        assert held(system) == 0
        other = await LineClient.open(system.front_port)
        for thing in ("t1", "t2"):
            assert (await other.ask(f"READ {thing}", f"r-{thing}"))[0] == "DATAROW none"
        relay.stop()

    with_system(tmp_path, scenario, idle_ms=IDLE_MS)


def test_a_caller_that_reads_nothing_holds_no_connection_and_one_answer_at_most(tmp_path):
    async def scenario(system):
        client = await LineClient.open(system.front_port)
        await client.ask("WRITE t1 " + "x" * 500_000, "w1")
        await client.ask("BEGIN")
        await client.ask("READ t1", "r1")
        assert held(system) == 1
        (session,) = system.proxy._proxy.registry.sessions
        flood = b"".join(b"QUERY r%d READ t1\r\n" % number for number in range(20_000))
        writing = asyncio.ensure_future(client.stream.write(flood))
        await asyncio.sleep(IDLE_MS / 1000 + SLACK_SECONDS)
        assert held(system) == 0
        assert 0 < len(session._stream._write_buffer) <= MAXIMUM_MESSAGE_BYTES
        assert session._stream._read_buffer_size <= MAXIMUM_MESSAGE_BYTES
        assert len(session._lines._buffer) <= MAXIMUM_MESSAGE_BYTES
        client.stream.close()
        await asyncio.gather(writing, return_exceptions=True)

    with_system(tmp_path, scenario, idle_ms=IDLE_MS)
