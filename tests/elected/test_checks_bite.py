"""Each checker must fail on a variant of a product class from which one guard was removed.

Guards against a checker that passes on every run. The variants are defined only in this file.
"""

from dataclasses import replace

from orchidwind.elected.core import flows, routing, steps, view_waits
from orchidwind.elected.core.configuration_history import Adopt, ConfigurationHistory
from orchidwind.elected.core.flow_driver import StepDone
from orchidwind.elected.core.home_group import HomeGroup
from orchidwind.elected.core.statements import Floor, FloorMode, RequestKind
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.core.positions import ORIGIN, Position
from orchidwind_bench.elected.checkers import (
    History,
    ReadEvent,
    Result,
    WriteEvent,
    check_all,
    check_at_most_once,
    check_monotonic_reads,
    check_not_run,
    check_read_your_writes,
)
from orchidwind_bench.elected.simulation.members import sample_configuration
from orchidwind_bench.elected.simulation.plan import SystemPlan
from orchidwind_bench.elected.simulation.system import SimulatedSystem
from orchidwind_standins.elected.replication import GroupTimings

ZONES = ["a", "b", "c"]


def promises_broken(system):
    primary = system.database.primary()
    logs = system.database.marks_in_logs()
    found = check_all(system.history, logs[primary.name], list(logs.values()))
    return {violation.promise for violation in found}


class UnconfirmedCommitGroup(HomeGroup):
    """A home proxy that acknowledges commits without waiting for their confirmation."""

    def perform(self, now, running, step):
        if isinstance(step, steps.WaitForConfirmation):
            return StepDone(Position(step.term, 1))
        return super().perform(now, running, step)


def cut_primary_under_load(group_class):
    """Cuts the primary off from its replicas but not from its callers until another is elected.

    Returns the names of the broken promises.
    """
    system = SimulatedSystem(
        SystemPlan(
            seed=4,
            zones=ZONES,
            write_share=1.0,
            named=False,
            roaming=0.0,
            group_class=group_class,
        )
    )
    system.events.run_until(1.0)
    primary = system.database.primary()
    for name in system.database.instances:
        if name != primary.name:
            own, other = system.network.zone_of[primary.name], system.network.zone_of[name]
            system.network.cut(own, other)
    system.events.run_until(4.0)
    system.settle()
    return promises_broken(system)


def test_acknowledged_writes_are_lost_without_the_barrier():
    broken = cut_primary_under_load(UnconfirmedCommitGroup)
    assert {"acknowledged-writes-last", "replaced-primary"} <= broken
    assert cut_primary_under_load(HomeGroup) == set()


class FloorlessGroup(HomeGroup):
    """A home proxy that ignores the floor of each read."""

    def submit(self, now, request):
        return super().submit(now, replace(request, floor=Floor(FloorMode.KNOWN, ORIGIN)))


def read_with_lag(group_class):
    system = SimulatedSystem(
        SystemPlan(
            seed=2,
            zones=ZONES,
            timings=GroupTimings(replay_lag=0.2),
            think=0.02,
            group_class=group_class,
        )
    )
    system.database.instances["db-c"].instance.set_replay_lag(0.8)
    system.events.run_until(6.0)
    system.settle()
    return promises_broken(system)


def test_reads_miss_writes_without_the_floor():
    broken = read_with_lag(FloorlessGroup)
    assert {"read-your-writes", "monotonic-reads"} <= broken
    assert read_with_lag(HomeGroup) == set()


def test_reads_are_too_early_when_an_estimate_counts_as_covered(monkeypatch):
    chosen = routing.choose_read_route

    def without_wait(*arguments, **options):
        route = chosen(*arguments, **options)
        return None if route is None else replace(route, must_wait=False)

    monkeypatch.setattr(view_waits, "choose_read_route", without_wait)
    system = SimulatedSystem(SystemPlan(seed=2, zones=ZONES, timings=GroupTimings(replay_lag=0.03)))
    system.events.run_until(6.0)
    system.settle()
    assert "read-your-writes" in promises_broken(system)


class RepeatingGroup(HomeGroup):
    """A home proxy that sends a write again when its connection breaks."""

    def _flow_for(self, now, request):
        if request.kind is RequestKind.WRITE and not request.request_id:
            return self._again(request)
        return super()._flow_for(now, request)

    def _again(self, request):
        while True:
            try:
                return (yield from flows.write_flow(request))
            except RequestError as error:
                if error.kind is not ErrorKind.OUTCOME_UNKNOWN:
                    raise


def writes_through_failovers(group_class):
    system = SimulatedSystem(
        SystemPlan(
            seed=9,
            zones=ZONES,
            callers=14,
            write_share=1.0,
            think=0.005,
            named=False,
            group_class=group_class,
        )
    )
    for _ in range(4):
        system.events.run_until(system.events.now + 1.5)
        primary = system.database.primary()
        if primary is not None:
            system.database.instances[primary.name].drop_sessions()
            other = next(name for name in system.database.instances if name != primary.name)
            system.database.instances[other].switch_over()
    system.settle()
    return promises_broken(system)


def test_writes_run_twice_when_they_are_sent_again():
    assert "at-most-once" in writes_through_failovers(RepeatingGroup)
    assert writes_through_failovers(HomeGroup) == set()


class ForgetfulHistory(ConfigurationHistory):
    """Adopts every document, even an older one."""

    def _adopt(self, document):
        self.current = document
        return [Adopt(document)]


def test_a_history_without_its_guard_goes_back():
    newer, older = sample_configuration(2, ZONES, 1), sample_configuration(1, ZONES, 1)
    for history, version in ((ForgetfulHistory(), 1), (ConfigurationHistory(), 2)):
        history.on_platform(newer)
        history.on_peer_document("peer", older, 1)
        assert history.version == version


def test_checkers_see_broken_histories():
    write = WriteEvent("s", "k", 1, 0.0, 1.0, Result.OK)
    blind = ReadEvent("s", "k", 2.0, 3.0, Result.OK, frozenset())
    seeing = ReadEvent("s", "k", 1.5, 1.8, Result.OK, frozenset({1}))
    assert check_read_your_writes(History([write], [blind]))
    assert not check_read_your_writes(History([write], [seeing]))
    other = replace(write, session="t")
    assert check_monotonic_reads(History([other], [seeing, blind]))
    refused = replace(write, result=Result.NOT_RUN)
    assert check_not_run(History([refused], []), [{1: 1}])
    assert check_at_most_once({1: 2})
