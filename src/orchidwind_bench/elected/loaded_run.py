"""A deployment under load, the faults that hit it, and the report of what callers saw."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from orchidwind.elected.core.commit_barrier import Acknowledge
from orchidwind_bench.elected.callers import Caller, CallerOptions, Tally
from orchidwind_bench.elected.checkers import History, Result, Violation
from orchidwind_bench.elected.demo import create_tables, judge, write_gap
from orchidwind_bench.elected.deployment import Deployment, DeploymentPlan, ProxyNode
from orchidwind_bench.elected.replica_share import read_counts
from orchidwind_bench.processes import Programs

_MICROSECONDS = 1_000_000
_LONGEST_LATENCY = 60 * _MICROSECONDS
_PROGRESS_SECONDS = 5.0
_SETTLE_SECONDS = 1.5

Progress = Callable[[str], None]


@dataclass(frozen=True)
class RunOptions:
    """What a run may vary: the replay lag of the replicas, and when commits are acknowledged."""

    lag_ms: float | None = None
    acknowledge: Acknowledge = Acknowledge.REPLICATED


class Latencies(msgspec.Struct, frozen=True):
    """Percentiles of one kind of request, in milliseconds."""

    count: int
    median: float
    p95: float
    p99: float
    worst: float


class ExperimentReport(msgspec.Struct):
    """What one experiment measured."""

    experiment: str
    deployment: str
    seed: int
    seconds: float
    statements_a_second: float
    replica_share: float
    reads: Latencies
    writes: Latencies
    errors: dict[str, int]
    writes_ok: int
    writes_not_run: int
    writes_unknown: int
    reads_ok: int
    reads_failed: int
    violations: list[str]
    gaps_ms: list[float] = []
    promotion_ms: list[float] = []
    reads_during_gap: int = 0
    reads_answered_during_gap: int = 0
    remarks: list[str] = []


class Run:
    """A loaded deployment, and what is measured on it."""

    def __init__(self, deployment: Deployment, seed: int, progress: Progress) -> None:
        self.deployment = deployment
        self.seed = seed
        self.tally = Tally()
        self.tally.latencies = self._latency
        self.remarks: list[str] = []
        self.gaps: list[float] = []
        self.promotions: list[float] = []
        self.reads_during = 0
        self.reads_answered = 0
        self.extra_violations: list[Violation] = []
        self._progress = progress
        self._histograms = {
            kind: HdrHistogram(1, _LONGEST_LATENCY, 3) for kind in ("read", "write")
        }
        self._tasks: list[asyncio.Task[None]] = []
        self._stop = asyncio.Event()
        self._down: set[str] = set()
        self.started = 0.0

    def _latency(self, kind: str, seconds: float) -> None:
        self._histograms[kind].record_value(max(int(seconds * _MICROSECONDS), 1))

    @property
    def database(self) -> str:
        """The database that faults hit."""
        return self.deployment.plan.databases[0]

    def begin(self) -> None:
        """The load begins now."""
        self.started = time.monotonic()
        self._tasks.append(asyncio.create_task(self._report_progress()))

    def start_caller(self, options: CallerOptions) -> None:
        """One more caller."""
        caller = Caller(options, self._dsns(options.database), self.tally, self.seed)
        self._tasks.append(asyncio.create_task(caller.run(self._stop.is_set)))

    def start_callers(self, *, roams: float, write_share: float, think: float, rate: float) -> None:
        """Begin the load; `rate` multiplies the number of callers."""
        plan = self.deployment.plan
        self.begin()
        for database in plan.databases:
            for number in range(int(plan.callers_a_database * rate)):
                ingest = number % 3 == 0
                self.start_caller(
                    CallerOptions(
                        identity=f"{database}-{number}",
                        database=database,
                        write_share=min(write_share * 2, 0.9) if ingest else write_share / 2,
                        think_seconds=think,
                        client_latency=plan.client_latency_ms / 1000,
                        roams=roams,
                        names_requests=number % 2 == 0,
                        traffic_class="ingest" if ingest else "dashboard",
                    )
                )

    def _dsns(self, database: str) -> Callable[[], list[str]]:
        return lambda: [
            self.deployment.dsn(node, database)
            for node in self.deployment.proxies
            if node.settings.name not in self._down
        ]

    async def _report_progress(self) -> None:
        while not self._stop.is_set():
            await asyncio.sleep(_PROGRESS_SECONDS)
            history = self.tally.history
            elapsed = time.monotonic() - self.started
            self._progress(
                f"{elapsed:.0f} s: {len(history.writes)} writes, {len(history.reads)} reads,"
                f" {sum(self.tally.errors.values())} errors"
            )

    def take_out(self, node: ProxyNode) -> None:
        """New connections avoid this proxy, as a load balancer would have it."""
        self._down.add(node.settings.name)

    def take_in(self, node: ProxyNode) -> None:
        """New connections may use this proxy again."""
        self._down.discard(node.settings.name)

    async def stop_callers(self) -> None:
        """End the load."""
        self._stop.set()
        self._tasks[0].cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.sleep(_SETTLE_SECONDS)

    async def change_of_primary(self, fault: Callable[[str], Awaitable[None]]) -> str:
        """Hurt the primary, wait for its successor and measure the gap; the former primary."""
        before = await self.deployment.primary(self.database)
        assert before is not None
        hurt_at = time.monotonic()
        await fault(before.name)
        promoted_at = await self._wait_promotion(before.name, before.term)
        await asyncio.sleep(2.0)
        self.gaps.append(write_gap(self._only(self.database), hurt_at) * 1000)
        self.promotions.append((promoted_at - hurt_at) * 1000)
        reads = [
            read
            for read in self._only(self.database).reads
            if hurt_at <= read.started and read.started < promoted_at
        ]
        self.reads_during += len(reads)
        self.reads_answered += sum(
            read.result is Result.OK and read.ended < promoted_at for read in reads
        )
        return before.name

    def _only(self, database: str) -> History:
        history = self.tally.history
        prefix = f"{database}-"
        return History(
            [write for write in history.writes if write.session.startswith(prefix)],
            [read for read in history.reads if read.session.startswith(prefix)],
        )

    async def _wait_promotion(self, former: str, term: int) -> float:
        names = [item.name for item in self.deployment.groups[self.database].instances]
        bound = time.monotonic() + 15.0
        while time.monotonic() < bound:
            for name in names:
                if name == former:
                    continue
                status = await self.deployment.instance_status(self.database, name)
                if status is not None and status.primary and status.term > term:
                    return time.monotonic()
            await asyncio.sleep(0.01)
        raise TimeoutError("the group elected no new primary")

    async def report(self, experiment: str) -> ExperimentReport:
        """Check the history and sum up."""
        history = self.tally.history
        violations = list(self.extra_violations)
        for database in self.deployment.plan.databases:
            violations += await judge(self.deployment, database, self._only(database))
        seconds = time.monotonic() - self.started
        counts = await read_counts(self.deployment)
        statements = len(history.writes) + len(history.reads)
        written = [write.result for write in history.writes]
        return ExperimentReport(
            experiment=experiment,
            deployment=self.deployment.plan.name,
            seed=self.seed,
            seconds=seconds,
            statements_a_second=statements / seconds,
            replica_share=counts.share,
            reads=_latencies(self._histograms["read"]),
            writes=_latencies(self._histograms["write"]),
            errors=self.tally.errors,
            writes_ok=written.count(Result.OK),
            writes_not_run=written.count(Result.NOT_RUN),
            writes_unknown=written.count(Result.UNKNOWN),
            reads_ok=sum(read.result is Result.OK for read in history.reads),
            reads_failed=sum(read.result is not Result.OK for read in history.reads),
            violations=[f"{item.promise}: {item.text}" for item in violations],
            gaps_ms=self.gaps,
            promotion_ms=self.promotions,
            reads_during_gap=self.reads_during,
            reads_answered_during_gap=self.reads_answered,
            remarks=self.remarks,
        )


def _latencies(histogram: HdrHistogram) -> Latencies:
    def at(percentile: float) -> float:
        return histogram.get_value_at_percentile(percentile) / 1000

    return Latencies(histogram.get_total_count(), at(50), at(95), at(99), at(100))


async def prepare(
    plan: DeploymentPlan, folder: Path, programs: Programs, seed: int, progress: Progress
) -> Run:
    """A deployment that serves, with tables."""
    deployment = Deployment(plan, folder, programs)
    await deployment.start()
    for database in plan.databases:
        await create_tables(deployment, database)
    progress(f"{plan.name}: {len(programs.running)} processes are up")
    return Run(deployment, seed, progress)
