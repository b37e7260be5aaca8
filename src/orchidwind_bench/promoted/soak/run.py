"""One run of the soak: a system, callers, a schedule of faults, and the checks."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from orchidwind_bench.promoted.soak.callers import Caller, Record
from orchidwind_bench.promoted.soak.configuration import ConfigurationProber
from orchidwind_bench.promoted.soak.faults import FaultPlayer, draw_schedule
from orchidwind_bench.promoted.soak.instances import InstanceTimes
from orchidwind_bench.promoted.soak.planned_fault import PlannedFault
from orchidwind_bench.promoted.soak.promises import GroupHistory, check_group, check_tokens
from orchidwind_bench.promoted.soak.promotions import draw_promotions
from orchidwind_bench.promoted.soak.system import DATABASES, SoakSizes, SoakSystem
from orchidwind_bench.promoted.soak.traces import trace

# The faults of the run, as JSON, in its folder.
PLAN_FILE = "plan.json"
_CALLERS_A_GROUP = 12
# A trace begins so long before the promotion that lost commits, and ends so long after it.
_TRACE_BEFORE_SECONDS = 4.0
_TRACE_AFTER_SECONDS = 0.5


@dataclass(slots=True)
class SoakReport:
    """What one seed gave; `broken` is empty where every promise was kept.

    `promotions` counts the calls, `changes` those that took effect. `traces` has the lines around
    each promotion that lost a commit.
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

    `promotions` aims the faults at changes of primary. A `plan` is played instead of what the seed
    would draw.
    """
    system = SoakSystem(folder, sizes, seed, times)
    record = Record()
    records = {service: Record() for service in system.groups}
    if plan is not None:
        schedule = plan
    elif promotions:
        schedule = draw_promotions(seed, seconds)
    else:
        schedule = draw_schedule(seed, seconds)
    (folder / PLAN_FILE).write_bytes(msgspec.json.encode(schedule))
    report = SoakReport(seed, [_told(item) for item in schedule])
    try:
        await system.start_standins()
        await system.start_proxies()
        until = time.monotonic() + seconds
        system.note("traffic begins")
        kinds = list(DATABASES)
        callers = [
            Caller(system, kept, index * _CALLERS_A_GROUP + number, kind, service, seed)
            for index, (service, kept) in enumerate(records.items())
            for number in range(_CALLERS_A_GROUP)
            for kind in [kinds[number % len(kinds)]]
        ]
        player = FaultPlayer(system, least_undisturbed=1 if promotions else 2)
        await asyncio.gather(
            player.play(schedule),
            *(caller.run(until) for caller in callers),
            *(ConfigurationProber(system, record, proxy).run(until) for proxy in system.proxies),
        )
        record.broken += check_tokens(system.store.promotions)
        for service, kept in records.items():
            _judge(report, system, service, kept, folder)
    finally:
        system.stop()
    _add(report, record)
    report.promotions = len(system.store.promotions)
    return report


def _told(fault: PlannedFault) -> str:
    after = f" after promotion {fault.promotion}" if fault.promotion else ""
    return f"{fault.at:.1f}s{after} {fault.name} for {fault.seconds:.1f}s"


def read_plan(path: Path) -> list[PlannedFault]:
    """The faults of an earlier run."""
    return msgspec.json.decode(path.read_bytes(), type=list[PlannedFault])


def _judge(
    report: SoakReport, system: SoakSystem, service: str, record: Record, folder: Path
) -> None:
    group = system.groups[service]
    history = GroupHistory.read(item.journal for item in group.instances.values())
    for lead in check_group(record, history):
        begin, end = lead.at - _TRACE_BEFORE_SECONDS, lead.at + _TRACE_AFTER_SECONDS
        report.traces += trace(folder, history, system.happened, begin, end)
    report.changes += len(history.leads)
    _add(report, record)


def _add(report: SoakReport, record: Record) -> None:
    report.broken += record.broken
    for answer, count in record.answers.items():
        report.answers[answer] = report.answers.get(answer, 0) + count
