"""Overload and scarce connections in the simulator: goodput, weights, refusals, recovery."""

from statistics import median

from orchidwind.shared.core.admission import TrafficClass
from orchidwind_bench.elected.checkers import Result
from orchidwind_bench.elected.simulation.plan import SystemPlan
from orchidwind_bench.elected.simulation.system import SimulatedSystem

ZONES = ["a", "b", "c"]
INGEST = TrafficClass("ingest", weight=8.0, deadline=1.0, queue_bound=40)
DASHBOARD = TrafficClass("dashboard", weight=2.0, deadline=1.0, queue_bound=40)
IMMEDIATE_SECONDS = 0.05


def system_under_load(callers, **options):
    return SimulatedSystem(
        SystemPlan(
            seed=7,
            zones=ZONES,
            share=1,
            callers=callers,
            think=0.02,
            roaming=0.0,
            write_share=1.0,
            named=False,
            classes=(INGEST, DASHBOARD),
            **options,
        )
    )


def between(events, start, end):
    return [event for event in events if start <= event.ended < end]


def goodput(system, start, end):
    done = [event for event in between(system.history.writes, start, end)]
    return sum(event.result is Result.OK for event in done) / (end - start)


def of_class(events, number):
    return [event for event in events if int(event.session.partition("-")[2]) % 2 == number]


def test_goodput_holds_at_ten_times_the_load():
    full = system_under_load(24)
    full.events.run_until(8.0)
    over = system_under_load(240)
    over.events.run_until(8.0)
    assert goodput(over, 3.0, 8.0) > 0.9 * goodput(full, 3.0, 8.0)


def test_weights_hold_under_overload():
    system = system_under_load(240)
    system.events.run_until(10.0)
    done = [
        event for event in between(system.history.writes, 4.0, 10.0) if event.result is Result.OK
    ]
    ingest, dashboard = len(of_class(done, 0)), len(of_class(done, 1))
    assert dashboard > 0, "a light class must not starve"
    assert 2.5 < ingest / dashboard < 5.5


def test_refusals_are_immediate():
    system = system_under_load(240)
    system.events.run_until(8.0)
    refused = [
        event
        for event in between(system.history.writes, 2.0, 8.0)
        if event.result is Result.NOT_RUN
    ]
    immediate = [event for event in refused if event.ended - event.started < IMMEDIATE_SECONDS]
    assert len(refused) > 100
    assert len(immediate) > 0.95 * len(refused)


def test_immediate_retries_of_refused_callers_do_not_lower_the_goodput():
    full = system_under_load(24)
    full.events.run_until(6.0)
    storm = system_under_load(200)
    storm.think = 0.003
    storm.events.run_until(5.0)
    assert goodput(storm, 3.0, 5.0) > 0.9 * goodput(full, 3.0, 6.0)


def test_latency_recovers_after_the_load_falls():
    system = system_under_load(12)
    system.events.run_until(4.0)
    unloaded = median(e.ended - e.started for e in between(system.history.writes, 1.0, 4.0))
    system.add_callers(228)
    system.events.run_until(10.0)
    system.remove_callers(12)
    system.events.run_until(16.0)
    after = [event for event in between(system.history.writes, 11.5, 16.0) if event.started > 11.0]
    assert after and {event.result for event in after} == {Result.OK}
    assert median(event.ended - event.started for event in after) < 1.5 * unloaded


def test_requests_succeed_with_half_of_the_connections():
    system = SimulatedSystem(
        SystemPlan(seed=3, zones=ZONES, share=4, callers=30, think=0.01, write_share=0.5)
    )
    system.events.run_until(3.0)
    for instance in system.database.instances.values():
        instance.connection_limit = 6
        instance.drop_sessions()
    system.events.run_until(12.0)
    late = between([*system.history.writes, *system.history.reads], 5.0, 12.0)
    assert sum(event.result is Result.OK for event in late) > 0.99 * len(late)
    assert all(len(item.sessions) <= 6 for item in system.database.instances.values())
