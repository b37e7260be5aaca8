"""`orchidwind-bench`: demo, experiments, soak, exploration and load tests on this machine.

Defines the commands and their exit codes; the module `printing` prints their reports.
"""

from __future__ import annotations

import asyncio
import logging
import random
import sys
from pathlib import Path
from typing import Literal

import defopt
import msgspec

from orchidwind.commands.explain import read_logs
from orchidwind.elected.core.commit_barrier import Acknowledge
from orchidwind_bench.account.failed_commands import failed_commands
from orchidwind_bench.elected import demo as demo_module
from orchidwind_bench.elected.day import run_day
from orchidwind_bench.elected.experiments import run_experiment
from orchidwind_bench.elected.loaded_run import RunOptions
from orchidwind_bench.platform.soak.instance_state import InstanceTimes
from orchidwind_bench.platform.soak.run import read_plan
from orchidwind_bench.platform.soak.run import soak as run_soak
from orchidwind_bench.platform.soak.system import SoakSizes
from orchidwind_bench.printing import (
    print_day,
    print_experiment,
    print_exploration,
    print_laboratory,
    print_progress,
    print_soak,
)
from orchidwind_bench.promoted.exploration.choices import Schedule
from orchidwind_bench.promoted.exploration.explorer import Explorer
from orchidwind_bench.promoted.exploration.surroundings import ProductLogic
from orchidwind_bench.promoted.exploration.world import SCENARIOS
from orchidwind_bench.promoted.laboratory.scenarios import SCENARIOS as LABORATORY_SCENARIOS
from orchidwind_bench.promoted.laboratory.scenarios import figures_of
from orchidwind_standins.platform.replicated_instance import PositionTerm

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
# Exclusive upper bound of random seeds of the soak; keeps them short to write down.
_SEED_LIMIT = 1_000_000


def demo() -> int:
    """Run a whole system on loopback, kill the primary, and check what the sessions read."""
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
    """Run one experiment on real processes; the exit code is 1 if a promise was broken.

    :param experiment: the fault or change to apply under load
    :param deployment: the deployment whose sizes, latencies and classes are used
    :param seed: random seed of the callers
    :param lag_ms: replay lag of the replicas, in milliseconds
    :param acknowledge: when commits are acknowledged
    :param json: file to write the report to
    """
    options = RunOptions(lag_ms, acknowledge)
    if experiment == "day":
        day = asyncio.run(run_day(deployment, seed, options, print_progress))
        _write(json, day)
        print_day(day)
        return 1 if day.report.violations else 0
    report = asyncio.run(run_experiment(experiment, deployment, seed, options, print_progress))
    _write(json, report)
    print_experiment(report)
    return 1 if report.violations else 0


def _write(path: Path | None, report: msgspec.Struct) -> None:
    """Write the report as indented JSON, if a path was given."""
    if path is not None:
        path.write_bytes(msgspec.json.format(msgspec.json.encode(report)))


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
    """Inject random faults into real proxies; the exit code is 1 if a promise was broken.

    :param seed: seed of the first run; random by default
    :param runs: number of runs, one after the other, with consecutive seeds
    :param seconds: how long callers send requests in each run
    :param proxies: number of proxies
    :param connections: maximum number of connections to an instance, over all proxies
    :param promotions: concentrate the faults on changes of primary
    :param groups: number of groups of instances, at most three
    :param instances: initial number of instances in each group
    :param position_term: which term instances report with their log positions
    :param plan: file with the faults of an earlier run, injected instead of faults drawn by seed
    :param folder: parent folder of each run's settings, logs and journals
    """
    sizes = SoakSizes(proxies, connections, groups, instances)
    times = InstanceTimes(position_term=position_term)
    planned = read_plan(plan) if plan is not None else None
    first = random.SystemRandom().randrange(_SEED_LIMIT) if seed is None else seed
    broken = 0
    for number in range(first, first + runs):
        run_folder = folder / str(number)
        run_folder.mkdir(parents=True, exist_ok=True)
        run = run_soak(
            number, seconds, run_folder, sizes, promotions=promotions, times=times, plan=planned
        )
        report = asyncio.run(run)
        broken += len(report.broken)
        print_soak(report)
        if report.broken:
            (run_folder / "trace.txt").write_text("\n".join([*report.broken, *report.traces, ""]))
    return 1 if broken else 0


def explore(
    *,
    seeds: int = 500,
    first_seed: int = 1,
    depth: int = 1,
    seconds: float = 60.0,
    scenario: str | None = None,
) -> int:
    """Explore schedules of a change of primary on a model; exit code 1 if one breaks a promise.

    :param seeds: number of random schedules
    :param first_seed: seed of the first random schedule
    :param depth: most deviations of a schedule in the exhaustive search; 0 runs plain scenarios
    :param seconds: time limit of each of the two searches, in real time
    :param scenario: limit the exhaustive search to this scenario
    """
    # The product code in the model would log each restore of the store from an older copy.
    logging.getLogger("orchidwind").setLevel(logging.ERROR)
    explorer = Explorer(ProductLogic(), seconds)
    names = tuple(SCENARIOS) if scenario is None else (scenario,)
    explorer.few_deviations([Schedule(name) for name in names], depth)
    report = explorer.by_chance(range(first_seed, first_seed + seeds))
    print_exploration(report)
    return 1 if report.broken else 0


def laboratory(*scenarios: str, seeds: int = 3) -> int:
    """Run load and faults against six proxies on virtual time; print one line per scenario.

    :param scenarios: names of scenarios in `laboratory/scenarios.py`; all by default
    :param seeds: number of seeds, beginning with 1
    """
    logging.getLogger("orchidwind").setLevel(logging.CRITICAL)
    for scenario in scenarios or tuple(LABORATORY_SCENARIOS):
        print_laboratory(scenario, [figures_of(scenario, seed) for seed in range(1, seeds + 1)])
    return 0


def account(*logs: Path) -> int:
    """Count the failed commands in the logs of proxies, by second, group and cause.

    :param logs: the log files
    """
    for row in failed_commands(read_logs(logs)):
        print(f"{row.second:5} s {row.group:12} {row.count:6} {row.cause}")
    return 0


def main() -> None:
    """Entry point of `orchidwind-bench`."""
    sys.exit(defopt.run([demo, run, soak, explore, laboratory, account]))
