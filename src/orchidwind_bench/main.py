"""`orchidwind-bench`: demonstration, experiments and measurements on this machine."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path
from typing import Literal

import defopt
import msgspec

from orchidwind.elected.core.commit_barrier import Acknowledge
from orchidwind_bench.elected import demo as demo_module
from orchidwind_bench.elected.day import run_day
from orchidwind_bench.elected.experiments import run_experiment
from orchidwind_bench.elected.loaded_run import ExperimentReport, RunOptions
from orchidwind_bench.promoted.exploration.choices import Schedule
from orchidwind_bench.promoted.exploration.explorer import Explorer
from orchidwind_bench.promoted.exploration.surroundings import ProductLogic
from orchidwind_bench.promoted.exploration.world import SCENARIOS, play
from orchidwind_bench.promoted.soak.instances import InstanceTimes
from orchidwind_bench.promoted.soak.run import read_plan
from orchidwind_bench.promoted.soak.run import soak as run_soak
from orchidwind_bench.promoted.soak.system import SoakSizes
from orchidwind_standins.promoted.replicated_instance import PositionTerm

Experiment = Literal[
    "failover",
    "freeze",
    "cut-primary",
    "roam",
    "drain",
    "switchover",
    "config-race",
    "store-outage",
    "overload",
    "leaving",
    "skewed",
    "day",
]
DeploymentName = Literal["dakar", "kalgara"]


def demo() -> int:
    """Run a whole system on loopback, kill the primary, and check what sessions saw."""
    return demo_module.demo()


def run(
    experiment: Experiment,
    *,
    deployment: DeploymentName = "dakar",
    seed: int = 1,
    lag_ms: float | None = None,
    acknowledge: Acknowledge = Acknowledge.REPLICATED,
    json: Path | None = None,
) -> int:
    """Run one experiment on real processes; the exit code is 1 where a promise was broken.

    :param experiment: what to do under load
    :param deployment: whose sizes, latencies and classes to use
    :param seed: seed of the callers
    :param lag_ms: replay lag of the replicas, in milliseconds
    :param acknowledge: when commits are acknowledged
    :param json: file to write the report to
    """
    options = RunOptions(lag_ms, acknowledge)
    if experiment == "day":
        day = asyncio.run(run_day(deployment, seed, options, _progress))
        _write(json, day)
        shares = ", ".join(f"{name} {share:.3f}" for name, share in day.replica_share.items())
        spent = ", ".join(
            f"{name} {value:.0f}" for name, value in day.processor_us_a_statement.items()
        )
        print(f"replica share by group: {shares}; processor us a statement: {spent}")
        _print_report(day.report)
        return 1 if day.report.violations else 0
    report = asyncio.run(run_experiment(experiment, deployment, seed, options, _progress))
    _write(json, report)
    _print_report(report)
    return 1 if report.violations else 0


def _write(path: Path | None, report: msgspec.Struct) -> None:
    if path is not None:
        path.write_bytes(msgspec.json.format(msgspec.json.encode(report)))


def _print_report(report: ExperimentReport) -> None:
    for remark in report.remarks:
        print(remark)
    for violation in report.violations[:10]:
        print(f"violation {violation}")
    if report.gaps_ms:
        gaps = ", ".join(f"{gap:.0f}" for gap in report.gaps_ms)
        promotions = ", ".join(f"{item:.0f}" for item in report.promotion_ms)
        print(
            f"gaps ms {gaps}; the group's own promotion ms {promotions}; reads in the gap"
            f" {report.reads_during_gap}, answered within it {report.reads_answered_during_gap}"
        )
    print(
        f"{report.experiment} on {report.deployment}:"
        f" {report.statements_a_second:.0f} statements/s,"
        f" replica share {report.replica_share:.3f}, read p50 {report.reads.median:.1f} ms"
        f" p99 {report.reads.p99:.1f} ms, write p50 {report.writes.median:.1f} ms"
        f" p99 {report.writes.p99:.1f} ms, writes ok {report.writes_ok}"
        f" not run {report.writes_not_run} unknown {report.writes_unknown},"
        f" reads failed {report.reads_failed}, errors {report.errors}"
    )
    print(f"violations {len(report.violations)}")


def soak(
    *,
    seed: int | None = None,
    runs: int = 1,
    seconds: float = 20.0,
    proxies: int = 6,
    connections: int = 12,
    promotions: bool = False,
    groups: int = 1,
    instances: int = 3,
    position_term: PositionTerm = "last_entry",
    plan: Path | None = None,
    folder: Path = Path("target/soak"),
) -> int:
    """Play random faults against real proxies; the exit code is 1 where a promise was broken.

    :param seed: seed of the first run; a fresh one without
    :param runs: how many seeds, one after the other
    :param seconds: how long callers ask, each run
    :param proxies: how many proxies
    :param connections: connections that an instance takes, over all proxies
    :param promotions: aim the faults at changes of primary
    :param groups: how many groups of instances, at most three
    :param instances: how many instances each group starts with
    :param position_term: the term that instances tell positions with
    :param plan: file of an earlier run's faults, played instead of what the seed would draw
    :param folder: folder for settings, logs and journals
    """
    sizes = SoakSizes(proxies, connections, groups, instances)
    times = InstanceTimes(position_term=position_term)
    first = random.SystemRandom().randrange(1_000_000) if seed is None else seed
    broken = 0
    for number in range(first, first + runs):
        place = folder / str(number)
        place.mkdir(parents=True, exist_ok=True)
        report = asyncio.run(
            run_soak(
                number,
                seconds,
                place,
                sizes,
                promotions=promotions,
                times=times,
                plan=read_plan(plan) if plan is not None else None,
            )
        )
        broken += len(report.broken)
        answers = ", ".join(f"{name} {count}" for name, count in sorted(report.answers.items()))
        _progress(
            f"seed {number}: {len(report.faults)} faults, {report.promotions} promotions,"
            f" {report.changes} changes of primary;"
            f" {answers}; broken {len(report.broken)}"
        )
        for item in report.broken[:10]:
            print(f"broken {item}")
        if report.broken:
            print("\n".join(report.faults))
            (place / "trace.txt").write_text("\n".join([*report.broken, *report.traces, ""]))
    return 1 if broken else 0


def explore(
    *,
    seeds: int = 500,
    first_seed: int = 1,
    depth: int = 1,
    seconds: float = 60.0,
    scenario: str | None = None,
) -> int:
    """Search schedules of a change of primary, on a model; the exit code is 1 where one is broken.

    :param seeds: how many random schedules
    :param first_seed: seed of the first of them
    :param depth: play all schedules with at most so many deviations; 0 plays the scenarios alone
    :param seconds: time for each of the two searches, on the machine's clock
    :param scenario: play all schedules of this scenario only
    """
    explorer = Explorer(ProductLogic(), seconds)
    names = tuple(SCENARIOS) if scenario is None else (scenario,)
    explorer.few_deviations([Schedule(name) for name in names], depth)
    report = explorer.by_chance(range(first_seed, first_seed + seeds))
    for finding in report.findings:
        seed = finding.first_found.seed
        print(f"broken {finding.promise.name}: {finding.text}")
        print(f"  {finding.schedule.scenario} {dict(finding.schedule.deviations)}, seed {seed}")
        trace = play(finding.schedule, ProductLogic(), traced=True).trace
        print("\n".join(f"  {line}" for line in trace))
    searched = "all" if report.complete else "cut short"
    print(f"{report.speed()}; {searched}; broken schedules {report.broken}")
    return 1 if report.broken else 0


def _progress(text: str) -> None:
    print(f"{time.strftime('%H:%M:%S')} {text}", flush=True)


def main() -> None:
    """Entry point of `orchidwind-bench`."""
    sys.exit(defopt.run([demo, run, soak, explore]))
