"""One proxy on real sockets whose open connections to instances fall silent for good."""

import asyncio

from support.platform_system import SERVICE, LineClient, with_system

# A second and more at rest, then 0.4 s without an answer.
RESTS_SECONDS = 2.0
SERVED_SECONDS = 0.3


async def open_several(system, count):
    """Callers whose transactions have opened a connection each; they rest."""
    callers = [await LineClient.open(system.front_port) for _ in range(count)]
    for number, caller in enumerate(callers):
        await caller.ask("BEGIN")
        assert (await caller.ask(f"WRITE t{number} x", f"w{number}"))[0].startswith("COMPLETE")
    return callers


def silence(system):
    for instance in system.group.instances.values():
        instance.silence_open()


def silent_counts(system):
    return system.proxy._proxy.metrics.silent_counts()


def test_transactions_that_fell_silent_at_rest_are_told_lost_at_once_and_others_go_on(tmp_path):
    async def scenario(system):
        silent = await open_several(system, 2)
        silence(system)
        (healthy,) = await open_several(system, 1)
        await asyncio.sleep(RESTS_SECONDS)
        assert silent_counts(system)["instance_resting"] == len(silent)
        assert system.proxy._proxy.groups[SERVICE].connections.pools.busy == 1
        for caller, ending in zip(silent, ("READ t0", "COMMIT"), strict=True):
            async with asyncio.timeout(SERVED_SECONDS):
                assert (await caller.ask(ending, "r1"))[0].startswith("ERROR ABORTED")
        assert (await healthy.ask("COMMIT", "c1"))[0].startswith("COMPLETE")
        assert (await healthy.ask("READ t0", "r2"))[0] == "DATAROW x"
        assert (await healthy.ask("READ t1", "r3"))[0] == "DATAROW none"

    with_system(tmp_path, scenario)


def test_reads_and_writes_go_on_though_all_connections_fell_silent(tmp_path):
    async def scenario(system):
        callers = await open_several(system, 4)
        for caller in callers:
            await caller.ask("ROLLBACK")
        silence(system)
        paid = 0
        for number in range(20):
            kind = "WRITE t9 y" if number % 2 else "READ t9"
            answer = await callers[number % 4].ask(kind, f"p{number}")
            paid += answer[0].startswith("ERROR")
        assert paid <= 1
        assert system.store.promotions == []

    with_system(tmp_path, scenario, timeout_ms=800)
