"""Established connections to instances become permanently silent while new ones work.

The tests run in virtual time.
"""

import asyncio

import pytest

from orchidwind.promoted.callers.session_executor import SessionExecutor
from orchidwind.promoted.core.commands import Command, CommandKind
from orchidwind.promoted.core.configuration import ReadConsistency
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind_bench.promoted.simulation.callers import PromotedSystem
from orchidwind_bench.promoted.simulation.store import GROUP
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual
from orchidwind_bench.promoted.simulation.world import ExpectedRequest

INSTANCES = ("i-0", "i-1", "i-2")
# Silence is detected after 0.25 s, and writes continue within another 0.3 s. The remaining 0.1 s
# covers the interval between two writes.
LONGEST_GAP_SECONDS = 0.25 + 0.3 + 0.1
WRITE_INTERVAL_SECONDS = 0.05
WRITING_SECONDS = 4.0
SILENT_AFTER = 1.0
# Less than the idle time-out of transactions in the simulated configuration (3 s).
AT_REST_SECONDS = 2.0


async def write(system, node, name, outcomes):
    """Run one write in its own session; append its start, its end and its error to `outcomes`."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    system.world.history.expected[name] = ExpectedRequest(
        began, ReadConsistency.LATEST, 0.0, session=0, settings=(), session_commits=()
    )
    try:
        await SessionExecutor(node, "latest").execute(Command(name, CommandKind.WRITE, "WRITE x y"))
        outcomes.append((began, loop.time(), None))
    except RequestError as error:
        outcomes.append((began, loop.time(), error.kind))


async def keep_writing(system, node, outcomes):
    """Start a write every WRITE_INTERVAL_SECONDS without waiting for the earlier ones."""
    tasks = []
    for number in range(int(WRITING_SECONDS / WRITE_INTERVAL_SECONDS)):
        work = write(system, node, f"{node.name}-{number}", outcomes)
        tasks.append(asyncio.create_task(work))
        await asyncio.sleep(WRITE_INTERVAL_SECONDS)
    await asyncio.gather(*tasks)


@pytest.mark.parametrize("deaf", [False, True])
@pytest.mark.parametrize("which", ["all instances", "the primary"])
def test_writes_continue_soon_without_a_change_of_primary(which, deaf, caplog):
    """With `deaf`, messages that are sent are executed but not answered."""
    caplog.set_level("INFO", logger="orchidwind")

    async def work():
        system = PromotedSystem(1)
        shipping = asyncio.create_task(system.group.keep_shipping())
        for node in system.nodes.values():
            assert await node.wait_prepared(5.0)
        await asyncio.sleep(1.0)
        outcomes = []
        nodes = system.nodes.values()
        writing = [asyncio.create_task(keep_writing(system, node, outcomes)) for node in nodes]
        await asyncio.sleep(SILENT_AFTER)
        silent_at = system.world.now
        names = [system.group.primary().name] if which == "the primary" else INSTANCES
        system.group.silence(names, deaf)
        await asyncio.gather(*writing)
        shipping.cancel()
        return system, outcomes, silent_at

    system, outcomes, silent_at = run_virtual(work())
    assert system.world.history.broken == []
    assert "failover_started" not in [record.message for record in caplog.records]
    done = sorted(ended for _, ended, error in outcomes if error is None)
    assert max(later - at for at, later in zip(done, done[1:], strict=False)) <= LONGEST_GAP_SECONDS
    later = [error for began, _, error in outcomes if began >= silent_at + LONGEST_GAP_SECONDS]
    assert len(later) > 20
    assert set(later) == {None}


@pytest.mark.parametrize("deaf", [False, True])
@pytest.mark.parametrize("which", ["all instances", "the primary"])
def test_silent_connections_to_instances_cause_no_change_of_primary(which, deaf):
    """Callers that wait for each answer are served again within two seconds."""

    async def work():
        system = PromotedSystem(1)
        group = system.group

        def silence():
            names = [group.primary().name] if which == "the primary" else list(group.instances)
            group.silence(names, deaf)

        asyncio.get_running_loop().call_later(3.0, silence)
        await system.run(8.0)
        return system

    system = run_virtual(work())
    assert system.world.history.broken == []
    assert system.world.history.promotions == []
    after = [attempt for attempt in system.tally.attempts if attempt.ended_at > 5.0]
    assert after and all(attempt.acknowledged or not attempt.request_ids for attempt in after)


def with_home(scenario):
    async def work():
        system = PromotedSystem(1, proxies=("proxy-a",))
        node = system.nodes["proxy-a"]
        assert await node.wait_prepared(5.0)
        await asyncio.sleep(1.0)
        await scenario(system, node)

    run_virtual(work())


async def open_connections(system, node):
    """Open several connections to the primary and leave them idle; returns its name."""
    executors = [SessionExecutor(node, "latest") for _ in range(6)]
    for number, executor in enumerate(executors):
        await executor.execute(Command("-", CommandKind.BEGIN, "BEGIN"))
        await executor.execute(Command(f"t{number}", CommandKind.READ, "READ x"))
    for executor in executors:
        await executor.execute(Command("-", CommandKind.ROLLBACK, "ROLLBACK"))
    primary = system.group.primary().name
    assert len(system.group.instances[primary].links) >= 6
    return primary


def silence_half(system, node, instance):
    """Silence half of a proxy's connections to an instance: those that it will use next."""
    connections = node.groups[GROUP].connections
    numbers = sorted(n for n, name in connections.records.instance_of.items() if name == instance)
    assert len(numbers) >= 6
    for number in numbers[-(len(numbers) // 2) :]:
        connections.records.links[number].silent = True


def silence_all(system, node, instance):
    """Silence all connections to an instance, including those for status queries."""
    system.group.silence([instance])


async def read(node, number):
    """Read the latest state; returns whether the read was served."""
    try:
        command = Command(f"q{number}", CommandKind.READ, "READ x")
        await SessionExecutor(node, "latest").execute(command)
    except RequestError:
        return False
    return True


@pytest.mark.parametrize("silence", [silence_half, silence_all])
def test_at_most_one_request_fails_due_to_silent_connections_to_an_instance(silence):
    async def scenario(system, node):
        primary = await open_connections(system, node)
        silence(system, node, primary)
        served = []
        for number in range(40):
            served.append(await read(node, number))
            await asyncio.sleep(0.02)
        assert served.count(False) <= 1

    with_home(scenario)


def test_a_silent_connection_does_not_make_its_instance_unreachable(caplog):
    caplog.set_level("INFO", logger="orchidwind")

    async def scenario(system, node):
        await open_connections(system, node)
        system.group.silence(INSTANCES)
        for name in INSTANCES:
            assert await node.groups[GROUP].ask_status(name) is not None
        assert "instance_unreachable" not in [record.message for record in caplog.records]

    with_home(scenario)


async def rest(system, node, text="READ x"):
    """Open a transaction that stays at rest after its first statement; returns its executor."""
    executor = SessionExecutor(node, "latest")
    await executor.execute(Command("-", CommandKind.BEGIN, "BEGIN"))
    kind = CommandKind.WRITE if text.startswith("WRITE") else CommandKind.READ
    await executor.execute(Command("t1", kind, text))
    return executor


async def unanswered():
    """A status query on a connection that delivers no answer."""
    await asyncio.get_running_loop().create_future()


def silence_held(system, deaf):
    """Silence only the connections that transactions hold."""
    silenced = 0
    for node in system.nodes.values():
        connections = node.groups[GROUP].connections
        for pool in map(connections.pools.of, INSTANCES):
            for number in pool.busy:
                connections.records.links[number].silent = not deaf
                connections.records.links[number].deaf = deaf
                connections.records.links[number].status = unanswered
                silenced += 1
    assert silenced


@pytest.mark.parametrize("deaf", [False, True])
@pytest.mark.parametrize("ending", [CommandKind.READ, CommandKind.COMMIT])
def test_a_transaction_silent_at_rest_is_reported_lost_when_its_caller_returns(deaf, ending):
    async def scenario(system, node):
        executor = await rest(system, node, "WRITE x y")
        silence_held(system, deaf)
        await asyncio.sleep(AT_REST_SECONDS)
        assert node.groups[GROUP].connections.pools.busy == 0
        returned_at = system.world.now
        with pytest.raises(RequestError) as raised:
            await executor.execute(Command("t2", ending, ending.name))
        assert raised.value.kind is ErrorKind.TRANSACTION_LOST
        assert system.world.now - returned_at < 0.05
        assert system.group.primary().log == []

    with_home(scenario)


def test_a_transaction_at_rest_on_a_healthy_connection_is_kept_through_checks():
    async def scenario(system, node):
        executor = await rest(system, node, "WRITE x y")
        held = set(node.groups[GROUP].connections.pools.of(system.group.primary().name).busy)
        for number, link in node.groups[GROUP].connections.records.links.items():
            link.silent = number not in held
        await read(node, 7)
        await asyncio.sleep(AT_REST_SECONDS)
        shipping = asyncio.create_task(system.group.keep_shipping())
        await executor.execute(Command("t2", CommandKind.COMMIT, "COMMIT"))
        shipping.cancel()
        assert len(system.group.primary().log) == 1

    with_home(scenario)


def test_silent_connections_are_closed_even_at_the_connection_limit():
    async def scenario(system, node):
        primary = await open_connections(system, node)
        silence_all(system, node, primary)
        system.world.connection_limit = len(system.group.instances[primary].links)
        served = [await read(node, number) for number in range(10)]
        assert served.count(False) <= 1

    with_home(scenario)


def test_a_transaction_silent_at_its_home_is_reported_lost_when_its_caller_returns():
    async def work():
        system = PromotedSystem(1, connection_limit=12, proxies=tuple("abcdef"))
        for node in system.nodes.values():
            assert await node.wait_prepared(5.0)
        await asyncio.sleep(1.0)
        front = next(node for node in system.nodes.values() if not node.homes.is_home(GROUP))
        executor = await rest(system, front, "WRITE x y")
        silence_held(system, deaf=False)
        await asyncio.sleep(AT_REST_SECONDS)
        returned_at = system.world.now
        with pytest.raises(RequestError) as raised:
            await executor.execute(Command("t2", CommandKind.READ, "READ x"))
        assert raised.value.kind is ErrorKind.TRANSACTION_LOST
        assert system.world.now - returned_at < 0.05

    run_virtual(work())
