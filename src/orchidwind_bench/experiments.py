"""Experiments on real processes: a fault under load, and the checkers on what callers saw."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from statistics import median

import msgspec
from hdrh.histogram import HdrHistogram

from orchidwind.commands import operations
from orchidwind.core.configuration import OperatorFile
from orchidwind.core.errors import OrchidwindError
from orchidwind_bench.callers import Caller, CallerOptions, Tally
from orchidwind_bench.checkers import History, Result, Violation
from orchidwind_bench.demo import create_tables, judge, write_gap
from orchidwind_bench.deployment import PLANS, Deployment, DeploymentPlan, ProxyNode, fetch
from orchidwind_bench.processes import Programs
from orchidwind_bench.replica_share import read_counts
from orchidwind_standins.group_settings import Faults
from orchidwind_standins.platform_main import PlatformFaults

_MICROSECONDS = 1_000_000
_LONGEST_LATENCY = 60 * _MICROSECONDS
_PROGRESS_SECONDS = 5.0
_SETTLE_SECONDS = 1.5
_LEAVING_SECONDS = 3.0

Progress = Callable[[str], None]


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
    processor_ms_a_statement: dict[str, float] = {}
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

    async def report(self, experiment: str, processor: dict[str, float]) -> ExperimentReport:
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
            processor_ms_a_statement={
                name: value / max(statements, 1) * 1000 for name, value in processor.items()
            },
            remarks=self.remarks,
        )


def _latencies(histogram: HdrHistogram) -> Latencies:
    def at(percentile: float) -> float:
        return histogram.get_value_at_percentile(percentile) / 1000

    return Latencies(histogram.get_total_count(), at(50), at(95), at(99), at(100))


# --- the experiments --------------------------------------------------------------------------


async def _failover(run: Run) -> None:
    """Kill the primary, let it come back, and kill its successor."""

    async def kill(name: str) -> None:
        run.deployment.programs.running[name].kill()

    for _ in range(3):
        await asyncio.sleep(3.0)
        former = await run.change_of_primary(kill)
        run.deployment.start_instance(run.database, former, rejoin=True)
        await asyncio.sleep(4.0)


async def _frozen(run: Run) -> None:
    """Freeze the primary until well after its successor works, then let it wake."""

    async def freeze(name: str) -> None:
        run.deployment.programs.running[name].freeze()

    for _ in range(2):
        await asyncio.sleep(3.0)
        former = await run.change_of_primary(freeze)
        run.deployment.programs.running[former].thaw()
        await asyncio.sleep(4.0)


async def _cut_primary(run: Run) -> None:
    """Cut the primary off from its replicas, first with callers of its own zone on its side."""
    names = [item.name for item in run.deployment.groups[run.database].instances]

    async def cut(name: str, zones: list[str]) -> None:
        others = [other for other in names if other != name]
        faults = Faults(cut_peers=others, cut_zones=zones)
        await run.deployment.fault(run.database, name, faults)

    for with_callers in (True, False):
        await asyncio.sleep(3.0)

        async def hurt(name: str, with_callers: bool = with_callers) -> None:
            own = run.deployment.instance(run.database, name).zone
            zones = list(run.deployment.plan.zones)
            await cut(name, [zone for zone in zones if zone != own] if with_callers else [])

        former = await run.change_of_primary(hurt)
        await asyncio.sleep(3.0)
        await run.deployment.fault(run.database, former, Faults(cut_peers=[], cut_zones=[]))
        await asyncio.sleep(3.0)


async def _roam(run: Run) -> None:
    """Sessions move between proxies while replicas lag and a proxy is killed and comes back."""
    for lag in (50.0, 2000.0, 0.0):
        for database in run.deployment.plan.databases:
            for instance in run.deployment.groups[database].instances:
                await run.deployment.fault(database, instance.name, Faults(replay_lag_ms=lag))
        await asyncio.sleep(4.0)
    node = run.deployment.proxies[0]
    run.take_out(node)
    node.program.kill()
    await asyncio.sleep(4.0)
    run.deployment.restart_proxy(node)
    await run.deployment.wait_ready([node])
    run.take_in(node)
    await asyncio.sleep(4.0)


async def _drain(run: Run) -> None:
    """Restart every proxy in turn under load, by a planned stop."""
    await asyncio.sleep(2.0)
    for node in run.deployment.proxies:
        errors = dict(run.tally.errors)
        run.take_out(node)
        node.program.terminate()
        started = time.monotonic()
        while node.program.running and time.monotonic() - started < 35.0:
            await asyncio.sleep(0.05)
        run.remarks.append(
            f"{node.settings.name} drained in {time.monotonic() - started:.1f} s,"
            f" errors meanwhile {_increase(errors, run.tally.errors)}"
        )
        run.deployment.restart_proxy(node)
        await run.deployment.wait_ready([node])
        run.take_in(node)
        await asyncio.sleep(2.0)


def _increase(before: dict[str, int], after: dict[str, int]) -> dict[str, int]:
    return {
        name: value - before.get(name, 0)
        for name, value in after.items()
        if value > before.get(name, 0)
    }


async def _switchover(run: Run) -> None:
    """Planned changes of primary under load."""
    for _ in range(3):
        await asyncio.sleep(3.0)

        async def switch(name: str) -> None:
            names = [item.name for item in run.deployment.groups[run.database].instances]
            other = next(item for item in names if item != name)
            await run.deployment.fault(run.database, other, Faults(switchover=True))

        await run.change_of_primary(switch)


async def _config_race(run: Run) -> None:
    """Operators race, answers are lost after the change took effect; versions only rise."""
    deployment = run.deployment
    assert deployment.content is not None
    seen: dict[str, list[int]] = {node.settings.name: [] for node in deployment.proxies}
    stop = asyncio.Event()
    watch = asyncio.create_task(_watch_versions(deployment, seen, stop))
    applied, refused, delays = 0, 0, []
    for round_number in range(6):
        await deployment.platform_faults(PlatformFaults(lose_answers=round_number % 2))
        files = [_variant(deployment, round_number * 3 + index) for index in range(3)]
        outcomes = await asyncio.gather(
            *(operations.apply(item, deployment.platform_url) for item in files),
            return_exceptions=True,
        )
        versions = [item for item in outcomes if isinstance(item, int)]
        applied += len(versions)
        refused += sum(isinstance(item, OrchidwindError) for item in outcomes)
        if versions:
            delays.append(await _until_in_force(deployment, max(versions)))
    await asyncio.sleep(1.0)
    stop.set()
    await watch
    for name, versions in seen.items():
        if versions != sorted(versions):
            run.extra_violations.append(Violation("configuration-reverted", f"{name}: {versions}"))
    counts = await deployment.platform_counts()
    run.remarks.append(
        f"{applied} files applied, {refused} refused; in force everywhere after"
        f" {median(delays):.2f} s at the median and {max(delays):.2f} s at worst;"
        f" at most {counts.most_watchers} watchers"
    )


def _variant(deployment: Deployment, number: int) -> OperatorFile:
    assert deployment.content is not None
    databases = [
        msgspec.structs.replace(item, replica_wait_ms=100 + number)
        for item in deployment.content.databases
    ]
    return msgspec.structs.replace(deployment.content, databases=databases)


async def _versions(deployment: Deployment) -> dict[str, int]:
    found = {}
    for node in deployment.proxies:
        try:
            status = msgspec.json.decode(await fetch(f"{node.operator_url}/status"))
        except OSError:
            continue
        found[node.settings.name] = status["configuration_version"]
    return found


async def _watch_versions(
    deployment: Deployment, seen: dict[str, list[int]], stop: asyncio.Event
) -> None:
    while not stop.is_set():
        for name, version in (await _versions(deployment)).items():
            seen[name].append(version)
        await asyncio.sleep(0.02)


async def _until_in_force(deployment: Deployment, version: int) -> float:
    started = time.monotonic()
    while time.monotonic() - started < 15.0:
        if min((await _versions(deployment)).values()) >= version:
            return time.monotonic() - started
        await asyncio.sleep(0.02)
    return float("inf")


async def _store_outage(run: Run) -> None:
    """The platform hangs for long; traffic goes on, a primary changes, a proxy restarts."""
    await run.deployment.platform_faults(PlatformFaults(outage="hang"))
    await asyncio.sleep(3.0)

    async def kill(name: str) -> None:
        run.deployment.programs.running[name].kill()

    former = await run.change_of_primary(kill)
    run.deployment.start_instance(run.database, former, rejoin=True)
    node = run.deployment.proxies[-1]
    run.take_out(node)
    node.program.kill()
    await asyncio.sleep(1.0)
    run.deployment.restart_proxy(node)
    started = time.monotonic()
    await run.deployment.wait_ready([node])
    run.remarks.append(
        f"a proxy restarted during the outage was ready after {time.monotonic() - started:.1f} s,"
        " from its peers"
    )
    run.take_in(node)
    await asyncio.sleep(4.0)
    await run.deployment.platform_faults(PlatformFaults())
    await asyncio.sleep(2.0)


async def _overload(run: Run) -> None:
    """Ten times the load for a while; the first third of the callers are ingest."""
    await asyncio.sleep(8.0)


async def _leaving(run: Run) -> None:
    """A replica is marked as leaving; after 3 s it gets no new work."""
    deployment = run.deployment
    await asyncio.sleep(2.0)
    primary = await deployment.primary(run.database)
    assert primary is not None and deployment.content is not None
    names = [item.name for item in deployment.groups[run.database].instances]
    leaver = next(name for name in names if name != primary.name)
    databases = [
        msgspec.structs.replace(
            database,
            instances=[
                msgspec.structs.replace(item, leaving=item.name == leaver)
                for item in database.instances
            ],
        )
        for database in deployment.content.databases
    ]
    content = msgspec.structs.replace(deployment.content, databases=databases)
    earlier = await deployment.instance_status(run.database, leaver)
    busy = earlier.statements if earlier is not None else 0
    if busy == 0:
        run.extra_violations.append(Violation("leaving", "the replica had no work to begin with"))
    await operations.apply(content, deployment.platform_url)
    await asyncio.sleep(_LEAVING_SECONDS)
    before = await deployment.instance_status(run.database, leaver)
    await asyncio.sleep(4.0)
    after = await deployment.instance_status(run.database, leaver)
    assert before is not None and after is not None
    grown = after.statements - before.statements
    run.remarks.append(f"statements at the leaving replica in 4 s: {grown}; before {busy}")
    if grown > 0:
        run.extra_violations.append(Violation("leaving", f"{grown} statements after 3 s"))


async def _skewed(run: Run) -> None:
    """All callers sit in one zone; the other zones' homes have connections to spare."""
    await asyncio.sleep(10.0)
    run.remarks.append("all callers at one proxy; statements take 5 ms at the database")


EXPERIMENTS: dict[str, Callable[[Run], Awaitable[None]]] = {
    "failover": _failover,
    "freeze": _frozen,
    "cut-primary": _cut_primary,
    "roam": _roam,
    "drain": _drain,
    "switchover": _switchover,
    "config-race": _config_race,
    "store-outage": _store_outage,
    "overload": _overload,
    "leaving": _leaving,
    "skewed": _skewed,
}
_LOADS = {"overload": 10.0}


async def run_experiment(
    name: str, deployment_name: str, seed: int, progress: Progress
) -> ExperimentReport:
    """Start a deployment with one database, load it, do the experiment, and check."""
    plan = PLANS[deployment_name]
    plan = replace(plan, databases=plan.databases[:1], replay_lag_ms=20.0)
    if name == "skewed":
        plan = replace(plan, statement_ms=5.0)
    with tempfile.TemporaryDirectory() as folder, Programs(Path(folder)) as programs:
        run = await prepare(plan, Path(folder), programs, seed, progress)
        roams = 0.2 if name == "roam" else 0.05
        rate = _LOADS.get(name, 1.0)
        think = 0.1
        if name == "skewed":
            think = 0.005
            for node in run.deployment.proxies[1:]:
                run.take_out(node)
        run.start_callers(roams=roams, write_share=0.3, think=think, rate=rate)
        try:
            await EXPERIMENTS[name](run)
        finally:
            await run.stop_callers()
        return await run.report(name, {})


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
