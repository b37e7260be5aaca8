"""The circuit breakers of requests: the rule by itself, and in a simulation on virtual time."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from orchidwind.promoted.callers.session_executor import SessionExecutor
from orchidwind.promoted.core.circuit_breaker import (
    NOT_PROVEN_SECONDS,
    OPEN_AFTER_SECONDS,
    PROBE_SECONDS,
    CircuitBreaker,
    Dependency,
    RequestBreakers,
)
from orchidwind.promoted.core.commands import Command, CommandKind
from orchidwind.shared.core.errors import ANSWERS, ErrorKind, Ran, RequestError
from orchidwind_bench.promoted.simulation.callers import PromotedSystem
from orchidwind_bench.promoted.simulation.store import STORE
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual


def test_breaker_opens_after_lasting_failures_and_closes_on_success():
    breaker = CircuitBreaker(0.5)
    assert not breaker.refuses(0.0)
    breaker.failed(1.0)
    breaker.failed(1.4)
    assert not breaker.refuses(1.4)
    assert breaker.is_open(1.5)
    assert not breaker.refuses(1.5), "the first request is a probe"
    assert breaker.refuses(1.5 + PROBE_SECONDS / 2)
    breaker.succeeded(1.7)
    assert not breaker.refuses(1.7)


def test_a_failure_that_began_before_a_success_counts_from_the_success():
    breaker = CircuitBreaker(0.5)
    breaker.succeeded(3.0)
    breaker.failed(1.0)
    assert not breaker.is_open(3.4)
    assert breaker.is_open(3.5)


@given(st.lists(st.floats(0.0, 0.1), min_size=1, max_size=200))
def test_open_breaker_spaces_its_probes(gaps):
    breaker = CircuitBreaker(0.0)
    breaker.failed(0.0)
    now, passed = 0.0, []
    for gap in gaps:
        now += gap
        if not breaker.refuses(now):
            passed.append(now)
    assert all(b - a >= PROBE_SECONDS for a, b in zip(passed, passed[1:], strict=False))


def test_a_request_is_refused_only_for_its_own_dependencies():
    for dependency, open_after in OPEN_AFTER_SECONDS.items():
        breakers = RequestBreakers()
        breakers.failed(dependency, 0.0)
        now = open_after
        # The first request of each kind is let through as the probe.
        assert breakers.refuse_without_instance(ErrorKind.NO_REPLICA, now) is None
        assert breakers.refuse_without_instance(ErrorKind.NO_PRIMARY, now) is None
        assert breakers.refuse_at_primary(False, 0.0, now) is None
        before_next_probe = now + PROBE_SECONDS / 2
        read = breakers.refuse_without_instance(ErrorKind.NO_REPLICA, before_next_probe)
        without_primary = breakers.refuse_without_instance(ErrorKind.NO_PRIMARY, before_next_probe)
        write = breakers.refuse_at_primary(False, 0.0, before_next_probe)
        assert (read is not None) == (dependency is Dependency.INSTANCE)
        assert (without_primary is not None) == (dependency is Dependency.PRIMARY)
        at_primary = (Dependency.LEAD_PROOF, Dependency.COMMIT)
        assert (write is not None) == (dependency in at_primary)
        assert breakers.refuse_at_primary(False, None, before_next_probe) is None


def test_a_request_that_needs_a_proof_for_two_reasons_may_be_the_probe():
    breakers = RequestBreakers()
    breakers.failed(Dependency.LEAD_PROOF, 0.0)
    assert breakers.refuse_at_primary(True, 0.0, NOT_PROVEN_SECONDS) is None
    refusal = breakers.refuse_at_primary(True, 0.0, NOT_PROVEN_SECONDS)
    assert refusal is not None
    assert refusal.missing is Dependency.LEAD_PROOF


def test_a_write_that_waits_too_long_opens_the_commit_breaker():
    breakers = RequestBreakers()
    open_after = OPEN_AFTER_SECONDS[Dependency.COMMIT]
    assert breakers.refuse_at_primary(False, open_after + 0.01, 1.0) is None
    refusal = breakers.refuse_at_primary(False, open_after + 0.02, 1.01)
    assert refusal is not None
    assert refusal.missing is Dependency.COMMIT


PROXIES = ("proxy-a", "proxy-b", "proxy-c")


async def run_command(system, name, kind, number):
    """Runs a command; returns its duration, and what its error says about execution, if any."""
    executor = SessionExecutor(system.nodes[name], "latest")
    began = system.world.now
    try:
        await executor.execute(Command(f"{name}-{number}", kind, f"{kind.value.upper()} x y"))
    except RequestError as error:
        return system.world.now - began, ANSWERS[error.kind].ran
    return system.world.now - began, None


def run_scenario(scenario):
    async def run():
        system = PromotedSystem(1, proxies=PROXIES)
        for node in system.nodes.values():
            assert await node.wait_prepared(5.0)
        await asyncio.sleep(1.0)
        shipping = asyncio.get_running_loop().create_task(system.group.keep_shipping())
        await run_command(system, "proxy-a", CommandKind.WRITE, "first")
        await scenario(system)
        shipping.cancel()

    run_virtual(run())


def isolate_with_primary(system, name):
    """Cuts a proxy off from everything but the primary."""
    network = system.world.network
    for other in (STORE, "i-1", "i-2", *PROXIES):
        if other != name:
            network.cut(name, other)


def test_reads_without_an_obtainable_proof_are_refused_at_once():
    """On a proxy that reaches only the primary, reads waited until their callers gave up."""

    async def scenario(system):
        isolate_with_primary(system, "proxy-a")
        await asyncio.sleep(2.0)
        await run_command(system, "proxy-a", CommandKind.READ, "opens")
        times = []
        for number in range(40):
            times.append(await run_command(system, "proxy-a", CommandKind.READ, number))
            await asyncio.sleep(0.05)
        assert all(ran is Ran.NO for _, ran in times)
        assert sum(seconds > 0.05 for seconds, _ in times) <= 4
        system.world.network.heal()
        await asyncio.sleep(1.5)
        assert (await run_command(system, "proxy-a", CommandKind.READ, "healed"))[1] is None

    run_scenario(scenario)


def test_writes_that_no_replica_confirms_are_refused_before_they_are_sent():
    """The outcome of a write that is sent and not confirmed is unknown, so only few may be sent."""

    async def scenario(system):
        for other in ("i-1", "i-2"):
            system.world.network.cut("i-0", other)
        # Without the store, no proxy can change the primary.
        for name in PROXIES:
            system.world.network.cut(name, STORE)
        await asyncio.sleep(0.5)
        tasks = []
        for number in range(60):
            tasks.append(
                asyncio.create_task(run_command(system, "proxy-a", CommandKind.WRITE, f"w{number}"))
            )
            await asyncio.sleep(0.05)
        outcomes = [await task for task in tasks]
        late = outcomes[30:]
        assert sum(ran is Ran.UNKNOWN for _, ran in late) <= 8
        assert sum(ran is Ran.NO and seconds < 0.05 for seconds, ran in late) >= 22
        system.world.network.heal()
        await asyncio.sleep(2.0)
        assert (await run_command(system, "proxy-a", CommandKind.WRITE, "healed"))[1] is None

    run_scenario(scenario)


async def write_in_transaction(system, name, number):
    """Writes in a new transaction; returns None, or what its error says about execution."""
    executor = SessionExecutor(system.nodes[name], "latest")
    await executor.execute(Command("-", CommandKind.BEGIN, "BEGIN"))
    try:
        await executor.execute(Command(f"{name}-t{number}", CommandKind.WRITE, "WRITE x y"))
    except RequestError as error:
        return ANSWERS[error.kind].ran
    finally:
        await executor.execute(Command("-", CommandKind.ROLLBACK, "ROLLBACK"))
    return None


def test_after_an_outage_a_transaction_is_let_through_as_a_probe():
    """A transaction needs the proof of leadership twice, for its begin and for its commit.

    If that consulted the breaker twice, the second call would refuse the probe.
    """

    async def scenario(system):
        isolate_with_primary(system, "proxy-a")
        for number in range(40):
            await run_command(system, "proxy-a", CommandKind.READ, number)
            await asyncio.sleep(0.05)
        assert await write_in_transaction(system, "proxy-a", "apart") is Ran.NO
        system.world.network.heal()
        outcomes = []
        for number in range(20):
            await asyncio.sleep(0.1)
            outcomes.append(await write_in_transaction(system, "proxy-a", number))
        assert None in outcomes

    run_scenario(scenario)
