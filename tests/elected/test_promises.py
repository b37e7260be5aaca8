"""Checks the promises of the proxy for elected groups under random faults, on the simulator."""

from hypothesis import given
from hypothesis import strategies as st

from orchidwind_bench.elected.checkers import Result, check_all
from orchidwind_bench.elected.simulation.plan import SystemPlan
from orchidwind_bench.elected.simulation.system import SimulatedSystem
from orchidwind_standins.elected.replication import GroupTimings

ZONES = ["a", "b", "c"]

faults = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "kill-primary",
                "pause-primary",
                "cut-primary",
                "kill-replica",
                "cut-zone",
                "heal",
                "kill-home",
                "pause-home",
                "lag",
                "switch-over",
                "wait",
            ]
        ),
        st.integers(0, 2),
        st.floats(0.05, 2.0),
    ),
    min_size=2,
    max_size=12,
)


def inflict(system, kind, number, seconds):
    instances = list(system.database.instances)
    primary = system.database.primary()
    name = instances[number]
    home = system.proxies[number % len(system.proxies)]
    if kind == "kill-primary" and primary:
        system.database.kill(primary.name)
        system.events.after(seconds + 1.5, lambda: system.database.restart(primary.name))
    elif kind == "kill-replica":
        system.database.kill(name)
        system.events.after(seconds, lambda: system.database.restart(name))
    elif kind == "pause-primary" and primary:
        system.network.pause(primary.name)
        system.events.after(seconds + 1.0, lambda: system.network.resume(primary.name))
    elif kind == "cut-primary" and primary:
        cut_off_primary(system, primary.name)
    elif kind == "cut-zone":
        system.network.cut(ZONES[number], ZONES[(number + 1) % 3])
    elif kind == "heal":
        system.network.heal()
    elif kind == "kill-home":
        system.kill_home(home)
        system.events.after(seconds, lambda: restart_home(system, home))
    elif kind == "pause-home":
        system.network.pause(home)
        system.events.after(seconds, lambda: system.network.resume(home))
    elif kind == "lag":
        system.database.instances[name].instance.set_replay_lag(seconds * 5)
    elif kind == "switch-over":
        system.database.instances[name].switch_over()


def cut_off_primary(system, name):
    """Cuts the primary's zone off from all other zones, and so from its replicas."""
    own = system.network.zone_of[name]
    for zone in ZONES:
        if zone != own:
            system.network.cut(own, zone)


def restart_home(system, name):
    if not system.homes[name].alive:
        system.start_home(name)


def run(system, steps):
    system.events.run_until(1.0)
    for kind, number, seconds in steps:
        inflict(system, kind, number, seconds)
        system.events.run_until(system.events.now + seconds)
    system.events.run_until(system.events.now + 2.0)
    system.settle()


def violations(system):
    primary = system.database.primary()
    assert primary is not None
    logs = system.database.marks_in_logs()
    return check_all(system.history, logs[primary.name], list(logs.values()))


@given(faults, st.integers(0, 10_000), st.sampled_from([3, 5]))
def test_promises_hold_under_random_faults(steps, seed, instances):
    system = SimulatedSystem(SystemPlan(seed=seed, zones=ZONES, instances=instances))
    run(system, steps)
    assert violations(system) == []


def test_named_write_of_unknown_outcome_is_not_reported_as_not_run():
    """Guards against an answer that a write did not run although it may have run.

    The next attempt of a write of unknown outcome reached its deadline while it waited for a
    primary, and the caller was told that the write had not run.
    """
    steps = [
        ("kill-replica", 0, 0.7923119088868038),
        ("pause-home", 1, 0.8259716662211443),
        ("cut-zone", 1, 1.4988219356592283),
        ("cut-zone", 1, 0.9440367986905128),
        ("pause-home", 2, 1.7004108652050574),
        ("pause-primary", 0, 1.5495547260064233),
    ]
    system = SimulatedSystem(SystemPlan(seed=300203, zones=ZONES))
    run(system, steps)
    assert violations(system) == []


def test_quiet_system_answers_everything_and_reads_on_replicas():
    system = SimulatedSystem(SystemPlan(seed=3, zones=ZONES))
    run(system, [])
    results = {write.result for write in system.history.writes}
    assert results == {Result.OK}
    assert {read.result for read in system.history.reads} == {Result.OK}
    assert len(system.history.reads) > 50
    share = sum(read.on_replica for read in system.history.reads) / len(system.history.reads)
    assert share > 0.8
    assert violations(system) == []


def test_reads_that_hang_on_a_frozen_replica_run_elsewhere():
    system = SimulatedSystem(
        SystemPlan(seed=5, zones=ZONES, callers=9, write_share=0.1, think=0.01)
    )
    system.events.run_until(1.0)
    primary = system.database.primary().name
    replica = next(name for name in system.database.instances if name != primary)
    system.network.pause(replica)
    frozen_at = system.events.now
    system.events.run_until(frozen_at + 8.0)
    during = [read for read in system.history.reads if read.ended >= frozen_at]
    assert len(during) > 100
    assert {read.result for read in during} == {Result.OK}
    assert max(read.ended - read.started for read in during) < 3.0
    system.settle()
    assert violations(system) == []


def test_without_a_primary_writes_are_refused_and_reads_continue():
    never = GroupTimings(election_minimum=500.0, election_maximum=600.0)
    system = SimulatedSystem(
        SystemPlan(seed=11, zones=ZONES, write_share=0.5, roaming=0.0, timings=never)
    )
    system.events.run_until(1.0)
    primary = system.database.primary().name
    system.database.kill(primary)
    gone_at = system.events.now
    system.events.run_until(gone_at + 6.0)
    writes = [write for write in system.history.writes if write.started > gone_at]
    reads = [read for read in system.history.reads if read.started > gone_at]
    assert writes and {write.result for write in writes} == {Result.NOT_RUN}
    assert reads and {read.result for read in reads} == {Result.OK}
    assert {read.on_replica for read in reads} == {True}
    system.database.restart(primary)
    system.settle()
    assert violations(system) == []
