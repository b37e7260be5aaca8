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

from orchidwind.commands import operations
from orchidwind.elected.core.configuration import OperatorFile
from orchidwind.shared.core.errors import OrchidwindError
from orchidwind_bench.elected.checkers import Violation
from orchidwind_bench.elected.deployment import PLANS, Deployment, fetch
from orchidwind_bench.elected.loaded_run import ExperimentReport, Progress, Run, RunOptions, prepare
from orchidwind_bench.processes import Programs
from orchidwind_standins.elected.group_settings import Faults
from orchidwind_standins.elected.platform_main import PlatformFaults

_LEAVING_SECONDS = 3.0
_DEFAULT_LAG_MS = 20.0


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
    name: str, deployment_name: str, seed: int, options: RunOptions, progress: Progress
) -> ExperimentReport:
    """Start a deployment with one database, load it, do the experiment, and check."""
    plan = PLANS[deployment_name]
    plan = replace(
        plan,
        databases=plan.databases[:1],
        replay_lag_ms=_DEFAULT_LAG_MS if options.lag_ms is None else options.lag_ms,
        acknowledge=options.acknowledge,
    )
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
        return await run.report(name)
