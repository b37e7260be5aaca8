"""Forwarding to home proxies when an instance has fewer connections than proxies need."""

import asyncio

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from orchidwind.promoted.callers.session_executor import SessionExecutor
from orchidwind.promoted.core.commands import Command, CommandKind
from orchidwind.promoted.core.home_choice import HomeNews
from orchidwind.promoted.core.peer_loss import after_lost_home
from orchidwind.promoted.core.session import OpenTransaction, Session
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind_bench.promoted.simulation.callers import PromotedSystem
from orchidwind_bench.promoted.simulation.store import GROUP
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual

PROXIES = tuple(f"proxy-{letter}" for letter in "abcdef")
LIMIT = 12


def play(seed, faults, seconds=6.0, callers_a_node=3):
    async def work():
        system = PromotedSystem(seed, connection_limit=LIMIT, proxies=PROXIES)
        loop = asyncio.get_running_loop()
        for at, fault in faults:
            loop.call_later(at, fault, system)
        await system.run(seconds, callers_a_node)
        return system

    return run_virtual(work())


def homes(system):
    views = [node.homes.placement(GROUP) for node in system.nodes.values() if node.homes.known]
    placed = max(views, key=lambda view: len(view.homes))
    return [member.name for member in placed.homes]


def front_of(system):
    return next(name for name in PROXIES if name not in homes(system))


def test_all_requests_succeed_through_few_homes_without_faults():
    system = play(1, [])
    assert system.world.history.broken == []
    assert len(homes(system)) == 2
    refused = [a for a in system.tally.attempts if a.error and a.error.value != "transaction_lost"]
    assert refused == []
    assert system.tally.reads_failed == 0
    assert len(system.tally.attempts) > 200


def test_instances_have_connections_from_homes_only():
    system = play(2, [])
    for instance in system.group.instances.values():
        assert {link.node for link in instance.links} <= set(homes(system))


def kill_a_home(system):
    system.restart_proxy(homes(system)[0])


def test_killed_home_is_replaced_by_another():
    system = play(3, [(2.0, kill_a_home), (3.0, kill_a_home)])
    assert system.world.history.broken == []
    times = [time for time in system.tally.write_times if time > 2.05]
    assert times[0] < 2.6


def cut_fronts_from_one_home(system):
    home = homes(system)[0]
    for name in PROXIES:
        if name != home:
            system.world.network.cut(name, home)


def test_a_home_that_goes_silent_is_left():
    system = play(4, [(2.0, cut_fronts_from_one_home)], 8.0, callers_a_node=1)
    assert system.world.history.broken == []
    later = [a for a in system.tally.attempts if a.ended_at > 3.0]
    failed = [a for a in later if a.error and a.error is not ErrorKind.TRANSACTION_LOST]
    assert failed == []
    assert len(later) > 100


def test_homes_replace_a_crashed_primary():
    system = play(5, [(2.0, lambda system: system.group.primary().crash())])
    assert system.world.history.broken == []
    assert len(system.world.history.promotions) == 1


def test_proxy_serves_requests_itself_without_reachable_homes():
    def cut_off(system):
        front = front_of(system)
        for home in homes(system):
            system.world.network.cut(front, home)

    system = play(6, [(2.0, cut_off)], 8.0)
    assert system.world.history.broken == []
    front = front_of(system)
    assert any(
        link.node == front for item in system.group.instances.values() for link in item.links
    )


def with_front(scenario):
    async def work():
        system = PromotedSystem(7, connection_limit=LIMIT, proxies=PROXIES)
        shipping = asyncio.get_running_loop().create_task(system.group.keep_shipping())
        for node in system.nodes.values():
            assert await node.wait_prepared(5.0)
        await asyncio.sleep(1.0)
        node = system.nodes[front_of(system)]
        executor = SessionExecutor(node, "latest")
        await executor.execute(command(CommandKind.READ, "READ x", "first"))
        await scenario(system, executor)
        shipping.cancel()

    run_virtual(work())


def command(kind, text, request_id="q1", **more):
    return Command(request_id, kind, text, **more)


def test_settings_prepared_statements_and_floors_are_forwarded():
    async def scenario(system, executor):
        await executor.execute(command(CommandKind.SET, "SET a 1", name="a", argument="1"))
        prepare = command(
            CommandKind.PREPARE, "PREPARE s WRITE q", name="s", writes=True, shape="q"
        )
        await executor.execute(prepare)
        execute = command(CommandKind.EXECUTE, "EXECUTE s x y", "w1", name="s", argument="x y")
        result = await executor.execute(execute)
        assert result.signature.endswith("-w1")
        assert executor.session.floor == system.group.primary().position

    with_front(scenario)


async def outcomes_without_instances_at_home(system, executor, kind):
    """Cut the front's home off from all instances; return how 60 commands of 3 s ended."""
    front = system.nodes[front_of(system)]
    home = front.homes.home_link(GROUP, "").member.name
    for instance in system.group.instances:
        system.world.network.cut(home, instance)
    await asyncio.sleep(1.0)
    ended = []
    for number in range(60):
        try:
            await executor.execute(command(kind, f"{kind.value.upper()} x y", f"q{number}"))
            ended.append(None)
        except RequestError as error:
            ended.append(error.kind)
        await asyncio.sleep(0.05)
    return ended


@pytest.mark.parametrize("kind", [CommandKind.WRITE, CommandKind.READ])
def test_commands_go_over_another_home_if_their_own_reaches_no_instance(kind):
    """Another home that reaches the primary serves what their own refuses."""

    async def scenario(system, executor):
        ended = await outcomes_without_instances_at_home(system, executor, kind)
        assert ended.count(None) >= 58, ended

    with_front(scenario)


def test_a_home_that_reaches_no_instance_sends_its_own_callers_to_another():
    async def scenario(system, _):
        home = homes(system)[0]
        executor = SessionExecutor(system.nodes[home], "latest")
        await executor.execute(command(CommandKind.WRITE, "WRITE x y", "first"))
        for instance in system.group.instances:
            system.world.network.cut(home, instance)
        await asyncio.sleep(1.0)
        failed = 0
        for number in range(40):
            try:
                await executor.execute(command(CommandKind.WRITE, "WRITE x y", f"w{number}"))
            except RequestError:
                failed += 1
            await asyncio.sleep(0.05)
        assert failed <= 2

    with_front(scenario)


def test_with_an_able_home_a_command_waits_only_briefly_at_one_that_may_lack_a_primary():
    async def scenario(system, executor):
        await outcomes_without_instances_at_home(system, executor, CommandKind.WRITE)
        loop = asyncio.get_running_loop()
        for number in range(40):
            began = loop.time()
            await executor.execute(command(CommandKind.WRITE, "WRITE x y", f"later{number}"))
            assert loop.time() - began < 0.15
            await asyncio.sleep(0.05)

    with_front(scenario)


def test_only_writes_and_commits_of_writes_show_that_a_home_serves_writes(monkeypatch):
    shown = []
    served = HomeNews.served

    def recorded(news, demand, home, now):
        if demand.reads is None:
            shown.append(home)
        served(news, demand, home, now)

    monkeypatch.setattr(HomeNews, "served", recorded)

    async def scenario(_, executor):
        for kind, text, expected in (
            (CommandKind.BEGIN, "BEGIN", 0),
            (CommandKind.READ, "READ x", 0),
            (CommandKind.COMMIT, "COMMIT", 0),
            (CommandKind.BEGIN, "BEGIN", 0),
            (CommandKind.WRITE, "WRITE x y", 1),
            (CommandKind.COMMIT, "COMMIT", 2),
        ):
            await executor.execute(command(kind, text, f"r-{text}"))
            assert len(shown) == expected, text

    with_front(scenario)


def test_transactions_are_not_used_as_probes_of_a_home_that_may_lack_a_primary():
    """Their first statement could not be tried again at another home."""

    async def scenario(system, executor):
        await outcomes_without_instances_at_home(system, executor, CommandKind.WRITE)
        for number in range(40):
            await executor.execute(command(CommandKind.BEGIN, "BEGIN", f"b{number}"))
            await executor.execute(command(CommandKind.WRITE, "WRITE x y", f"t{number}"))
            await executor.execute(command(CommandKind.COMMIT, "COMMIT", f"c{number}"))
            # Keeps what is known of the home, as other callers would.
            await executor.execute(command(CommandKind.WRITE, "WRITE x y", f"s{number}"))
            await asyncio.sleep(0.05)

    with_front(scenario)


def test_a_transaction_whose_home_is_lost_is_told_so():
    async def scenario(system, executor):
        await executor.execute(command(CommandKind.BEGIN, "BEGIN"))
        await executor.execute(command(CommandKind.WRITE, "WRITE x y", "w1"))
        holder = next(name for name in PROXIES if system.nodes[name].registry.sessions)
        assert holder in homes(system)
        system.restart_proxy(holder)
        with pytest.raises(RequestError) as caught:
            await executor.execute(command(CommandKind.WRITE, "WRITE x z", "w2"))
        assert caught.value.kind is ErrorKind.TRANSACTION_LOST
        await executor.execute(command(CommandKind.ROLLBACK, "ROLLBACK"))
        assert system.group.primary().log == []

    with_front(scenario)


def test_transaction_of_a_disconnected_caller_is_rolled_back_at_the_home():
    async def scenario(system, executor):
        await executor.execute(command(CommandKind.BEGIN, "BEGIN"))
        await executor.execute(command(CommandKind.WRITE, "WRITE x y", "w1"))
        executor.close()
        await asyncio.sleep(0.1)
        busy = [node.groups[GROUP].connections.pools.busy for node in system.nodes.values()]
        assert sum(busy) == 0
        assert all(not node.registry.sessions for node in system.nodes.values())

    with_front(scenario)


def test_stopping_home_gets_no_new_work_and_finishes_open_transactions():
    async def scenario(system, executor):
        await executor.execute(command(CommandKind.BEGIN, "BEGIN"))
        await executor.execute(command(CommandKind.WRITE, "WRITE x y", "w1"))
        holder = next(name for name in homes(system) if system.nodes[name].registry.sessions)
        system.nodes[holder].peer_service.leave()
        await asyncio.sleep(0.05)
        await executor.execute(command(CommandKind.COMMIT, "COMMIT", "c1"))
        await executor.execute(command(CommandKind.WRITE, "WRITE x z", "w2"))
        link = executor._services.homes.home_link(GROUP, "")
        assert link is None or link.member.name != holder
        assert len(system.group.primary().log) == 2

    with_front(scenario)


@pytest.mark.parametrize(
    ("kind", "in_transaction", "wrote", "opened", "sent", "expected"),
    [
        (CommandKind.READ, False, False, False, True, None),
        (CommandKind.WRITE, False, False, False, False, None),
        (CommandKind.WRITE, False, False, False, True, ErrorKind.OUTCOME_UNKNOWN),
        (CommandKind.WRITE, True, True, False, False, None),
        (CommandKind.WRITE, True, True, False, True, ErrorKind.TRANSACTION_LOST),
        (CommandKind.READ, True, True, True, False, ErrorKind.TRANSACTION_LOST),
        (CommandKind.COMMIT, True, True, True, False, ErrorKind.TRANSACTION_LOST),
        (CommandKind.COMMIT, True, True, True, True, ErrorKind.OUTCOME_UNKNOWN),
        (CommandKind.COMMIT, True, False, True, True, ErrorKind.READ_INTERRUPTED),
    ],
)
def test_what_a_lost_home_means(kind, in_transaction, wrote, opened, sent, expected):
    session = Session()
    if in_transaction:
        session.transaction = OpenTransaction(None, False, wrote=wrote)
    error = after_lost_home(session, command(kind, ""), opened, sent)
    assert (error.kind if error else None) is expected


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("READ x", ErrorKind.STATEMENT_TIMEOUT),
        ("WRITE x y", ErrorKind.OUTCOME_UNKNOWN),
        ("COMMIT", ErrorKind.OUTCOME_UNKNOWN),
        ("WRITE in transaction", ErrorKind.TRANSACTION_LOST),
    ],
)
def test_front_waits_until_the_deadline_for_a_home_that_is_alive_but_does_not_answer(
    text, expected
):
    async def scenario(system, executor):
        kind = CommandKind[text.split(" ")[0]]
        if kind is CommandKind.COMMIT or text.endswith("transaction"):
            await executor.execute(command(CommandKind.BEGIN, "BEGIN"))
            await executor.execute(command(CommandKind.WRITE, "WRITE x y", "w1"))
        for node in system.nodes.values():
            for served in node.peer_service._links:
                served._run = lambda message: None
        began = system.world.now
        with pytest.raises(RequestError) as caught:
            await executor.execute(command(kind, text, "q2"))
        assert caught.value.kind is expected
        assert 0.7 < system.world.now - began < 1.0
        if executor.session.failed:
            await executor.execute(command(CommandKind.ROLLBACK, "ROLLBACK"))
        assert executor.session.transaction is None

    with_front(scenario)


FAULTS = {
    "kill_home": kill_a_home,
    "kill_any": lambda system: system.restart_proxy(system.world.random.choice(PROXIES)),
    "cut": lambda system: system.world.network.cut(*system.world.random.sample(PROXIES, 2)),
    "crash_primary": lambda system: system.group.primary().crash(),
    "restart": lambda system: [
        item.restart() for item in system.group.instances.values() if not item.alive
    ],
    "heal": lambda system: system.world.network.heal(),
}
schedules = st.lists(
    st.tuples(st.floats(0.8, 5.0), st.sampled_from(sorted(FAULTS))), min_size=1, max_size=6
)


@settings(max_examples=10, phases=[Phase.generate])
@given(st.integers(0, 10**6), schedules)
def test_promises_hold_through_homes_under_random_faults(seed, schedule):
    faults = [(at, FAULTS[name]) for at, name in schedule]
    faults += [(5.2, FAULTS["heal"]), (5.2, FAULTS["restart"])]
    system = play(seed, faults, 7.0)
    assert system.world.history.broken == []


@pytest.mark.parametrize("text", ["READ x", "WRITE x y"])
def test_stopped_proxy_refuses_late_commands(text):
    async def work():
        system = PromotedSystem(8)
        node = system.nodes["proxy-a"]
        assert await node.wait_prepared(5.0)
        await asyncio.sleep(1.0)
        executor = SessionExecutor(node, "latest")
        kind = CommandKind.READ if text.startswith("READ") else CommandKind.WRITE
        await executor.execute(command(kind, text, "q1"))
        node.close()
        with pytest.raises(RequestError) as caught:
            await executor.execute(command(kind, text, "q2"))
        assert caught.value.kind is ErrorKind.PROXY_STOPPING

    run_virtual(work())
