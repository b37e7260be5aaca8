"""Prints the reports of the `orchidwind-bench` commands. Holds no state."""

from __future__ import annotations

import time
from statistics import median

from orchidwind_bench.elected.day import DayReport
from orchidwind_bench.elected.loaded_run import ExperimentReport
from orchidwind_bench.platform.soak.run import SoakReport
from orchidwind_bench.promoted.exploration.explorer import ExplorationReport
from orchidwind_bench.promoted.exploration.surroundings import ProductLogic
from orchidwind_bench.promoted.exploration.world import play
from orchidwind_bench.promoted.laboratory.play import Figures

# Maximum number of violations printed for a report; the report itself contains all of them.
_MAX_PRINTED_VIOLATIONS = 10


def print_progress(text: str) -> None:
    """Print one line that begins with the time of day."""
    print(f"{time.strftime('%H:%M:%S')} {text}", flush=True)


def print_day(day: DayReport) -> None:
    """Print each group's replica share and processor time per statement, then the report."""
    shares = ", ".join(f"{name} {share:.3f}" for name, share in day.replica_share.items())
    processor_us = ", ".join(
        f"{name} {value:.0f}" for name, value in day.processor_us_a_statement.items()
    )
    print(f"replica share by group: {shares}; processor us a statement: {processor_us}")
    print_experiment(day.report)


def print_experiment(report: ExperimentReport) -> None:
    """Print the remarks, violations, gaps and figures of an experiment."""
    for remark in report.remarks:
        print(remark)
    for violation in report.violations[:_MAX_PRINTED_VIOLATIONS]:
        print(f"violation {violation}")
    if report.gaps_ms:
        print(_gaps_text(report))
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


def _gaps_text(report: ExperimentReport) -> str:
    """Return the line on the gaps, the promotion times and the reads during the gaps."""
    gaps = ", ".join(f"{gap:.0f}" for gap in report.gaps_ms)
    promotions = ", ".join(f"{item:.0f}" for item in report.promotion_ms)
    return (
        f"gaps ms {gaps}; the group's own promotion ms {promotions}; reads in the gap"
        f" {report.reads_during_gap}, answered within it {report.reads_answered_during_gap}"
    )


def print_soak(report: SoakReport) -> None:
    """Print the figures of one seed; if a promise was broken, also the injected faults."""
    answers = ", ".join(f"{name} {count}" for name, count in sorted(report.answers.items()))
    print_progress(
        f"seed {report.seed}: {len(report.faults)} faults, {report.promotions} promotions,"
        f" {report.changes} changes of primary;"
        f" {answers}; broken {len(report.broken)}"
    )
    for item in report.broken[:_MAX_PRINTED_VIOLATIONS]:
        print(f"broken {item}")
    if report.broken:
        print("\n".join(report.faults))


def print_exploration(report: ExplorationReport) -> None:
    """Print each finding with its trace, then the figures of the search."""
    for finding in report.findings:
        seed = finding.first_found.seed
        print(f"broken {finding.promise.name}: {finding.text}")
        print(f"  {finding.schedule.scenario} {dict(finding.schedule.deviations)}, seed {seed}")
        trace = play(finding.schedule, ProductLogic(), traced=True).trace
        print("\n".join(f"  {line}" for line in trace))
    searched = "all" if report.complete else "cut short"
    print(f"{report.speed()}; {searched}; broken schedules {report.broken}")


def print_laboratory(scenario: str, plays: list[tuple[Figures, list[Figures]]]) -> None:
    """Print one line with the medians over all runs of a scenario.

    `plays` has, for each run, the figures of all operations and those of each kind. Results are
    printed as shares of the operations, times in milliseconds.
    """

    def median_of(name: str) -> float:
        return median(getattr(whole, name) for whole, _ in plays)

    kinds = zip(*(by_kind for _, by_kind in plays), strict=True)
    credits = " ".join(f"{median(item.credit for item in kind):.3f}" for kind in kinds)
    print_progress(
        f"{scenario:9} credit {median_of('credit'):.3f} ({credits})"
        f" in time {median_of('in_time'):.3f} late {median_of('late'):.3f}"
        f" refused {median_of('refused'):.3f} failed {median_of('failed'):.3f}"
        f" p50 {median_of('median') * 1000:.0f} p99 {median_of('slowest') * 1000:.0f}"
    )
