"""Idle transactions are ended after the configured time, as they hold scarce connections."""

import asyncio

import pytest

from orchidwind.promoted.callers.session_executor import SessionExecutor
from orchidwind.promoted.core.commands import Command, CommandKind, TransactionState
from orchidwind.shared.core.errors import RequestError
from orchidwind_bench.promoted.simulation.callers import PromotedSystem
from orchidwind_bench.promoted.simulation.store import GROUP
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual

PROXIES = tuple(f"proxy-{letter}" for letter in "abcdef")
IDLE_SECONDS = 3.0  # the value in the simulated configuration


def command(kind, text, request_id="q1"):
    return Command(request_id, kind, text)


def with_system(scenario, limit):
    async def work():
        system = PromotedSystem(9, connection_limit=limit, proxies=PROXIES)
        shipping = asyncio.get_running_loop().create_task(system.group.keep_shipping())
        for node in system.nodes.values():
            assert await node.wait_prepared(5.0)
        await asyncio.sleep(1.0)
        await scenario(system)
        shipping.cancel()

    run_virtual(work())


async def rest(node):
    executor = SessionExecutor(node, "latest")
    await executor.execute(command(CommandKind.BEGIN, "BEGIN"))
    await executor.execute(command(CommandKind.WRITE, "WRITE x y", "w1"))
    return executor


def held(system):
    return sum(node.groups[GROUP].connections.pools.busy for node in system.nodes.values())


@pytest.mark.parametrize("limit", [32, 12])
def test_an_idle_transaction_releases_its_connection(limit):
    async def scenario(system):
        resting = [await rest(node) for node in system.nodes.values()]
        assert held(system) == len(PROXIES)
        await asyncio.sleep(IDLE_SECONDS + 0.2)
        assert held(system) == 0
        for executor in resting:
            assert executor.state is TransactionState.FAILED
            await executor.execute(command(CommandKind.ROLLBACK, "ROLLBACK"))
            assert executor.state is TransactionState.IDLE
        assert system.group.primary().log == []

    with_system(scenario, limit)


@pytest.mark.parametrize("limit", [32, 12])
def test_a_transaction_that_continues_in_time_is_kept(limit):
    async def scenario(system):
        executor = await rest(system.nodes["proxy-a"])
        for _ in range(4):
            await asyncio.sleep(IDLE_SECONDS - 0.3)
            await executor.execute(command(CommandKind.READ, "READ x", "r1"))
        await executor.execute(command(CommandKind.COMMIT, "COMMIT", "c1"))
        assert len(system.group.primary().log) == 1

    with_system(scenario, limit)


def test_a_home_ends_the_transaction_of_an_unresponsive_front():
    async def scenario(system):
        front = next(n for n in system.nodes.values() if not n.homes.is_home(GROUP))
        executor = await rest(front)
        executor._forwarder.give_up = lambda: None  # the front is unresponsive
        executor._idle_timer.cancel()
        await asyncio.sleep(IDLE_SECONDS + 2.0)
        assert held(system) == 0
        with pytest.raises(RequestError):
            await executor.execute(command(CommandKind.WRITE, "WRITE x z", "w2"))

    with_system(scenario, 12)
