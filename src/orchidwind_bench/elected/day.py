"""A working day pressed into a minute: load rises and falls zone by zone.

Three groups of callers run side by side, so that their shares of replica reads compare: sessions
that settle a token when they connect, sessions that are only named (every read asks a majority),
and sessions that read on the primary for 2 s after each write.
"""

from __future__ import annotations

import asyncio
import math
import tempfile
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import msgspec

from orchidwind.elected.core.configuration import ClassSettings
from orchidwind_bench.elected.callers import CallerOptions
from orchidwind_bench.elected.deployment import PLANS, DeploymentPlan
from orchidwind_bench.elected.loaded_run import ExperimentReport, Progress, Run, RunOptions, prepare
from orchidwind_bench.elected.replica_share import read_counts
from orchidwind_bench.processes import Program, Programs

_DAY_SECONDS = 40.0
_NIGHT_LOAD = 0.1
_PRIMARY_SECONDS = 2.0
_THINK_SECONDS = 0.12
DEFAULT_LAG_MS = 50.0
_WRITE_SHARES = {"dakar": 0.35, "kalgara": 0.15}
GROUPS = ("token", "named", "primary-2s")


class DayReport(msgspec.Struct):
    """The day's report, and the share of replica reads of each group of callers."""

    report: ExperimentReport
    replica_share: dict[str, float]
    processor_us_a_statement: dict[str, float]


def _with_groups(plan: DeploymentPlan, lag_ms: float) -> DeploymentPlan:
    classes = tuple(ClassSettings(name, weight=4.0, queue_bound=300) for name in GROUPS)
    return replace(plan, classes=plan.classes + classes, replay_lag_ms=lag_ms)


def _zone_load(run: Run, zone_number: int) -> Callable[[], float]:
    """The load of a zone: half a sine for its working hours, little at night."""
    phase = zone_number * _DAY_SECONDS / 12

    def load() -> float:
        hours = ((time.monotonic() - run.started + phase) % _DAY_SECONDS) / _DAY_SECONDS
        return max(_NIGHT_LOAD, math.sin(2 * math.pi * hours))

    return load


def _start_callers(run: Run) -> None:
    plan = run.deployment.plan
    write_share = _WRITE_SHARES[plan.name]
    for database in plan.databases:
        for number in range(plan.callers_a_database):
            group = GROUPS[number % len(GROUPS)]
            run.start_caller(
                CallerOptions(
                    identity=f"{database}-{number}",
                    database=database,
                    write_share=write_share,
                    think_seconds=_THINK_SECONDS,
                    client_latency=plan.client_latency_ms / 1000,
                    roams=0.02,
                    names_requests=True,
                    traffic_class=group,
                    settles_token=group == "token",
                    primary_seconds=_PRIMARY_SECONDS if group == "primary-2s" else 0.0,
                    load=_zone_load(run, number % len(plan.zones)),
                )
            )


async def run_day(deployment: str, seed: int, options: RunOptions, progress: Progress) -> DayReport:
    """Run a day on real processes."""
    lag_ms = DEFAULT_LAG_MS if options.lag_ms is None else options.lag_ms
    plan = replace(_with_groups(PLANS[deployment], lag_ms), acknowledge=options.acknowledge)
    with tempfile.TemporaryDirectory() as folder, Programs(Path(folder)) as programs:
        run = await prepare(plan, Path(folder), programs, seed, progress)
        before = _spent(programs)
        run.begin()
        _start_callers(run)
        await asyncio.sleep(_DAY_SECONDS)
        spent = {name: value - before[name] for name, value in _spent(programs).items()}
        await run.stop_callers()
        report = await run.report("day")
        shares = {group: (await read_counts(run.deployment, group)).share for group in GROUPS}
        statements = max(len(run.tally.history.writes) + len(run.tally.history.reads), 1)
        return DayReport(
            report,
            shares,
            {name: value / statements * 1e6 for name, value in spent.items()},
        )


def _spent(programs: Programs) -> dict[str, float]:
    """Processor time so far of the proxies and of the stand-in databases."""

    def total(wanted: Callable[[Program], bool]) -> float:
        chosen = (program for program in programs.running.values() if wanted(program))
        return sum(program.processor_seconds() for program in chosen)

    return {
        "proxies": total(lambda program: program.name.startswith("proxy")),
        "stand-ins": total(lambda program: not program.name.startswith("proxy")),
    }
