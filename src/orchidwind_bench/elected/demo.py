"""The demonstration: a whole system on loopback, a session that roams, a primary killed."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections import Counter
from pathlib import Path

import psycopg

from orchidwind_bench.elected.callers import (
    CREATE_INDEX,
    CREATE_MARKS,
    Caller,
    CallerOptions,
    Tally,
)
from orchidwind_bench.elected.checkers import History, Result, Violation, check_all
from orchidwind_bench.elected.deployment import Deployment, DeploymentPlan
from orchidwind_bench.elected.replica_share import replica_share
from orchidwind_bench.processes import Programs
from orchidwind_standins.elected.replication import LogRecord

_DATABASE = "demo"
_PLAN = DeploymentPlan(
    name="demo",
    zones=("zone-a", "zone-b", "zone-c"),
    databases=(_DATABASE,),
    slots=6,
    callers_a_database=12,
    connect_ms=10.0,
    zone_latency_ms=1.5,
    client_latency_ms=1.0,
    replay_lag_ms=20.0,
)
_BEFORE_SECONDS = 5.0
_AFTER_SECONDS = 8.0
_SETTLE_SECONDS = 1.0


async def create_tables(deployment: Deployment, database: str) -> None:
    """Make the table that callers write to."""
    dsn = deployment.dsn(deployment.proxies[0], database)
    async with await psycopg.AsyncConnection.connect(dsn, autocommit=True) as connection:
        await connection.execute(CREATE_MARKS)
        await connection.execute(CREATE_INDEX)


def marks_of(log: list[LogRecord]) -> Counter[int]:
    """How often each mark was inserted, by a log."""
    marks: Counter[int] = Counter()
    for record in log:
        for change in record.changes:
            if "INSERT INTO marks" in change.statement:
                marks[change.parameters[0]] += 1
    return marks


async def judge(deployment: Deployment, database: str, history: History) -> list[Violation]:
    """Read the logs of the instances that answer and check the history."""
    primary = await deployment.primary(database)
    if primary is None:
        return [Violation("last-primary", f"{database} has no primary at the end")]
    final = marks_of(await deployment.log(database, primary.name))
    logs = []
    for instance in deployment.groups[database].instances:
        if await deployment.instance_status(database, instance.name) is not None:
            logs.append(marks_of(await deployment.log(database, instance.name)))
    return check_all(history, final, logs)


def write_gap(history: History, after: float) -> float:
    """Seconds from a moment until the next write that was begun and acknowledged after it."""
    ends = [
        write.ended
        for write in history.writes
        if write.result is Result.OK and write.started >= after
    ]
    return min(ends) - after if ends else float("inf")


async def _run(folder: Path) -> int:
    with Programs(folder) as programs:
        deployment = Deployment(_PLAN, folder, programs)
        await deployment.start()
        print(f"demo: {len(programs.running)} processes are up", flush=True)
        await create_tables(deployment, _DATABASE)
        tally = Tally()
        killed_at = await _drive(deployment, tally)
        share = await replica_share(deployment)
        violations = await judge(deployment, _DATABASE, tally.history)
        statements = len(tally.history.writes) + len(tally.history.reads)
        gap = write_gap(tally.history, killed_at)
        for violation in violations[:10]:
            print(f"demo: violation {violation.promise}: {violation.text}")
        print(
            f"demo: statements {statements} reads {len(tally.history.reads)}"
            f" replica_share {share:.3f} failover_gap_ms {gap * 1000:.0f}"
            f" violations {len(violations)}",
            flush=True,
        )
    return 1 if violations else 0


async def _drive(deployment: Deployment, tally: Tally) -> float:
    stop = asyncio.Event()
    dsns = [deployment.dsn(node, _DATABASE) for node in deployment.proxies]
    callers = [
        Caller(
            CallerOptions(
                identity=f"session-{number}",
                database=_DATABASE,
                write_share=0.3,
                think_seconds=0.02,
                client_latency=_PLAN.client_latency_ms / 1000,
                roams=0.05,
                names_requests=True,
            ),
            lambda: dsns,
            tally,
            seed=1,
        )
        for number in range(_PLAN.callers_a_database)
    ]
    tasks = [asyncio.create_task(caller.run(stop.is_set)) for caller in callers]
    await asyncio.sleep(_BEFORE_SECONDS)
    primary = await deployment.primary(_DATABASE)
    assert primary is not None
    deployment.programs.running[primary.name].kill()
    killed_at = time.monotonic()
    print(f"demo: primary {primary.name} killed", flush=True)
    await asyncio.sleep(_AFTER_SECONDS)
    stop.set()
    await asyncio.gather(*tasks)
    await asyncio.sleep(_SETTLE_SECONDS)
    return killed_at


def demo() -> int:
    """Run the demonstration; the exit code is 1 where a promise was broken."""
    with tempfile.TemporaryDirectory(prefix="orchidwind-demo-") as folder:
        try:
            return asyncio.run(_run(Path(folder)))
        except KeyboardInterrupt:
            print("demo: stopped")
            return 130
