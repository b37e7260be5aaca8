"""One proxy on real sockets whose open connections to instances become silent for good."""

import asyncio

from support.platform_system import SERVICE, LineClient, with_system

# Longer than the idle time of a second before a probe plus 0.4 s without an answer.
IDLE_SECONDS = 2.0
SERVED_SECONDS = 0.3


async def open_several(system, count):
    """Open callers with an idle transaction each, on a connection of its own."""
    callers = [await LineClient.open(system.front_port) for _ in range(count)]
    for number, caller in enumerate(callers):
        await caller.ask("BEGIN")
        assert (await caller.ask(f"WRITE t{number} x", f"w{number}"))[0].startswith("COMPLETE")
    return callers


def silence_connections(system):
    for instance in system.group.instances.values():
        instance.silence_connections()


def silent_counts(system):
    return system.proxy._proxy.metrics.silent_counts()


def test_idle_transactions_on_silent_connections_are_aborted_and_others_continue(tmp_path):
    async def scenario(system):
        silent = await open_several(system, 2)
        silence_connections(system)
        (healthy,) = await open_several(system, 1)
        await asyncio.sleep(IDLE_SECONDS)
        assert silent_counts(system)["instance_resting"] == len(silent)
        assert system.proxy._proxy.groups[SERVICE].connections.pools.busy == 1
        for caller, ending in zip(silent, ("READ t0", "COMMIT"), strict=True):
            async with asyncio.timeout(SERVED_SECONDS):
                assert (await caller.ask(ending, "r1"))[0].startswith("ERROR ABORTED")
        assert (await healthy.ask("COMMIT", "c1"))[0].startswith("COMPLETE")
        assert (await healthy.ask("READ t0", "r2"))[0] == "DATAROW x"
        assert (await healthy.ask("READ t1", "r3"))[0] == "DATAROW none"

    with_system(tmp_path, scenario)


def test_reads_and_writes_continue_after_all_connections_become_silent(tmp_path):
    async def scenario(system):
        callers = await open_several(system, 4)
        for caller in callers:
            await caller.ask("ROLLBACK")
        silence_connections(system)
        error_count = 0
        for number in range(20):
            kind = "WRITE t9 y" if number % 2 else "READ t9"
            answer = await callers[number % 4].ask(kind, f"p{number}")
            error_count += answer[0].startswith("ERROR")
        assert error_count <= 1
        assert system.store.promotions == []

    with_system(tmp_path, scenario, timeout_ms=800)
