"""One run of the soak: starts a system, callers and a schedule of faults, and checks the result.

`SoakSystem` has the processes, `FaultPlayer` the faults, and `promises` the checks. A run writes
its plan, the list of its faults, to its folder.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from orchidwind_bench.platform.soak.callers import Caller, Record
from orchidwind_bench.platform.soak.configuration import ConfigurationProber
from orchidwind_bench.platform.soak.faults import FaultPlayer, draw_schedule
from orchidwind_bench.platform.soak.instance_state import InstanceTimes
from orchidwind_bench.platform.soak.planned_fault import PlannedFault
from orchidwind_bench.platform.soak.promises import GroupHistory, check_group, check_tokens
from orchidwind_bench.platform.soak.promotions import draw_promotions
from orchidwind_bench.platform.soak.system import DATABASES, SoakSizes, SoakSystem
from orchidwind_bench.platform.soak.traces import trace

# The file in the folder of a run that lists its faults as JSON.
PLAN_FILE = "plan.json"
# Four callers for each kind of read.
_CALLERS_PER_GROUP = 12
# A trace begins and ends this long before and after a promotion that lost commits, so that it
# covers the events that led to the promotion.
_TRACE_BEFORE_SECONDS = 4.0
_TRACE_AFTER_SECONDS = 0.5


@dataclass(slots=True)
class SoakReport:
    """The result of one seed; `broken` lists the violations.

    `promotions` counts the calls of promotions, `changes` those that took effect. `answers` counts
    the attempts by outcome. `traces` has the trace lines around each promotion that lost a commit.
    """

    seed: int
    faults: list[str] = field(default_factory=list)
    promotions: int = 0
    changes: int = 0
    broken: list[str] = field(default_factory=list)
    answers: dict[str, int] = field(default_factory=dict)
    traces: list[str] = field(default_factory=list)


async def soak(
    seed: int,
    seconds: float,
    folder: Path,
    sizes: SoakSizes,
    *,
    promotions: bool = False,
    times: InstanceTimes | None = None,
    plan: list[PlannedFault] | None = None,
) -> SoakReport:
    """Run one seed; settings, logs and journals are left in `folder`.

    With `promotions`, the faults are drawn around changes of primary. A `plan` is played instead
    of the schedule that the seed would draw.
    """
    if plan is None:
        plan = draw_promotions(seed, seconds) if promotions else draw_schedule(seed, seconds)
    (folder / PLAN_FILE).write_bytes(msgspec.json.encode(plan))
    system = SoakSystem(folder, sizes, seed, times)
    run = _Run(system, folder, SoakReport(seed, [_fault_text(item) for item in plan]))
    try:
        await system.start_standins()
        await system.start_proxies()
        await run.play(seconds, plan, min_undisturbed=1 if promotions else 2)
        run.check()
    finally:
        system.stop()
    return run.report


class _Run:
    """One system under faults, the records of its callers, and the report."""

    def __init__(self, system: SoakSystem, folder: Path, report: SoakReport) -> None:
        self.report = report
        self._system = system
        self._folder = folder
        # The record of the whole system, and the records of the callers of each group.
        self._record = Record()
        self._records = {service: Record() for service in system.groups}

    async def play(self, seconds: float, plan: list[PlannedFault], *, min_undisturbed: int) -> None:
        """Run callers and probers for a time while the faults of a plan are played."""
        system = self._system
        until = time.monotonic() + seconds
        system.note("traffic begins")
        player = FaultPlayer(system, min_undisturbed)
        probers = [ConfigurationProber(system, self._record, proxy) for proxy in system.proxies]
        await asyncio.gather(
            player.play(plan),
            *(caller.run(until) for caller in self._callers()),
            *(prober.run(until) for prober in probers),
        )

    def _callers(self) -> list[Caller]:
        kinds = list(DATABASES)
        return [
            Caller(
                self._system,
                record,
                index * _CALLERS_PER_GROUP + number,
                kinds[number % len(kinds)],
                service,
                self.report.seed,
            )
            for index, (service, record) in enumerate(self._records.items())
            for number in range(_CALLERS_PER_GROUP)
        ]

    def check(self) -> None:
        """Check all promises, and add violations, counts and traces to the report."""
        promotions = self._system.store.promotions
        self._record.broken += check_tokens(promotions)
        for service, record in self._records.items():
            self._check_group(service, record)
        self._add(self._record)
        self.report.promotions = len(promotions)

    def _check_group(self, service: str, record: Record) -> None:
        group = self._system.groups[service]
        history = GroupHistory.read(item.journal for item in group.instances.values())
        for promotion in check_group(record, history):
            begin, end = promotion.at - _TRACE_BEFORE_SECONDS, promotion.at + _TRACE_AFTER_SECONDS
            self.report.traces += trace(self._folder, history, self._system.events, begin, end)
        self.report.changes += len(history.promotions)
        self._add(record)

    def _add(self, record: Record) -> None:
        self.report.broken += record.broken
        for answer, count in record.answers.items():
            self.report.answers[answer] = self.report.answers.get(answer, 0) + count


def _fault_text(fault: PlannedFault) -> str:
    after = f" after promotion {fault.promotion}" if fault.promotion else ""
    return f"{fault.at:.1f}s{after} {fault.name} for {fault.seconds:.1f}s"


def read_plan(path: Path) -> list[PlannedFault]:
    """Read the faults of an earlier run from its plan file."""
    return msgspec.json.decode(path.read_bytes(), type=list[PlannedFault])
