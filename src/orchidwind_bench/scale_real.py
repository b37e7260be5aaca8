"""Measures real proxy processes: what a database, a caller's connection and a statement cost.

All rates come from the operating system's own count of each process's processor time and memory.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import msgspec
import psycopg

from orchidwind.core.placement import Node, Placement
from orchidwind.network.backend import ConnectionTarget
from orchidwind.network.observer import Observer
from orchidwind.network.operator_http import ProxyStatus
from orchidwind_bench.deployment import (
    STATUS_USER,
    Deployment,
    DeploymentPlan,
    ProxyNode,
    fetch,
)
from orchidwind_bench.processes import Program, Programs, free_ports

_IDLE_WINDOW_SECONDS = 15.0
_SETTLE_SECONDS = 3.0
_STATEMENT_SECONDS = 6.0
_SELECT = "SELECT a FROM items WHERE id = %s"
_ROWS = 200
_WIDE_BYTES = 1000
_PLAN = DeploymentPlan(
    name="scale",
    zones=("zone-a",),
    databases=(),
    slots=5,
    callers_a_database=1,
    connect_ms=0.0,
    zone_latency_ms=0.0,
    client_latency_ms=0.0,
)


class IdlePoint(msgspec.Struct, frozen=True):
    """One idle proxy, with a peer, that is home of some databases of three instances each."""

    databases: int
    processor_seconds_a_second: float
    resident_bytes: int


class CallerPoint(msgspec.Struct, frozen=True):
    """One proxy that holds idle callers' connections."""

    connections: int
    resident_bytes: int


class StatementPoint(msgspec.Struct, frozen=True):
    """Processor time a statement of the front and the home proxy, and of the stand-ins together."""

    connections: int
    statements_a_second: float
    front_seconds: float
    home_seconds: float
    standin_seconds: float


class PollCost(msgspec.Struct, frozen=True):
    """Bytes of one status query on the wire, both ways, without TCP's headers."""

    bytes_out: float
    bytes_in: float


class LargeResultPoint(msgspec.Struct, frozen=True):
    """One large answer through a front and a home: what each grew by at its peak."""

    rows: int
    answer_bytes: int
    front_growth: int
    home_growth: int


class RealResults(msgspec.Struct):
    """All measurements of real processes."""

    idle: list[IdlePoint] = []
    callers: list[CallerPoint] = []
    statements: list[StatementPoint] = []
    poll: PollCost | None = None
    large_result: LargeResultPoint | None = None


async def _start(programs: Programs, folder: Path, plan: DeploymentPlan) -> Deployment:
    deployment = Deployment(plan, folder, programs)
    await deployment.start()
    return deployment


# --- idle databases ---------------------------------------------------------------------------


async def measure_idle(databases: int) -> list[IdlePoint]:
    """Processor time and memory of two proxies that share the homes of idle databases."""
    plan = replace(_PLAN, databases=("shared",), extra_databases=databases - 1, proxies_a_zone=2)
    with tempfile.TemporaryDirectory() as folder, Programs(Path(folder)) as programs:
        deployment = await _start(programs, Path(folder), plan)
        await asyncio.sleep(_SETTLE_SECONDS)
        return list(await asyncio.gather(*(_idle_point(node) for node in deployment.proxies)))


async def _idle_point(node: ProxyNode) -> IdlePoint:
    rate = await _processor_rate(node.program, _IDLE_WINDOW_SECONDS)
    status = msgspec.json.decode(await fetch(f"{node.operator_url}/status"), type=ProxyStatus)
    return IdlePoint(len(status.databases), rate, node.program.resident_bytes())


async def _processor_rate(program: Program, seconds: float) -> float:
    before, started = program.processor_seconds(), time.monotonic()
    await asyncio.sleep(seconds)
    return (program.processor_seconds() - before) / (time.monotonic() - started)


# --- idle callers -----------------------------------------------------------------------------


async def measure_callers(counts: list[int]) -> list[CallerPoint]:
    """Memory of one proxy as idle connections are added."""
    plan = replace(_PLAN, databases=("shared",))
    points = []
    with tempfile.TemporaryDirectory() as folder, Programs(Path(folder)) as programs:
        deployment = await _start(programs, Path(folder), plan)
        node = deployment.proxies[0]
        held: list[psycopg.AsyncConnection] = []
        try:
            for wanted in counts:
                while len(held) < wanted:
                    batch = min(50, wanted - len(held))
                    dsn = deployment.dsn(node, "shared")
                    held += await asyncio.gather(*(_connect(dsn) for _ in range(batch)))
                await asyncio.sleep(0.5)
                points.append(CallerPoint(len(held), node.program.resident_bytes()))
        finally:
            await asyncio.gather(*(connection.close() for connection in held))
    return points


async def _connect(dsn: str) -> psycopg.AsyncConnection:
    return await psycopg.AsyncConnection.connect(dsn, autocommit=True)


# --- statements -------------------------------------------------------------------------------


async def measure_statements(connections: int, rate: float) -> StatementPoint:
    """Processor time a statement: a simple indexed read through a front that is not the home."""
    plan = replace(_PLAN, databases=("shared",), proxies_a_zone=2)
    with tempfile.TemporaryDirectory() as folder, Programs(Path(folder)) as programs:
        deployment = await _start(programs, Path(folder), plan)
        front, home = _front_and_home(deployment)
        await _fill_items(deployment.dsn(front, "shared"))
        dsn = deployment.dsn(front, "shared")
        held: list[psycopg.AsyncConnection] = []
        while len(held) < connections:
            batch = min(50, connections - len(held))
            held += await asyncio.gather(*(_connect(dsn) for _ in range(batch)))
        try:
            await _drive(held, rate, 1.0)
            return await _measured_drive(programs, front, home, held, rate)
        finally:
            await asyncio.gather(*(connection.close() for connection in held))


async def _measured_drive(
    programs: Programs,
    front: ProxyNode,
    home: ProxyNode,
    held: list[psycopg.AsyncConnection],
    rate: float,
) -> StatementPoint:
    standins = [item for name, item in programs.running.items() if name.startswith("shared")]

    def spent() -> tuple[float, float, float]:
        return (
            front.program.processor_seconds(),
            home.program.processor_seconds(),
            sum(item.processor_seconds() for item in standins),
        )

    before, started = spent(), time.monotonic()
    done = await _drive(held, rate, _STATEMENT_SECONDS)
    elapsed = time.monotonic() - started
    pieces = [(after - earlier) / done for after, earlier in zip(spent(), before, strict=True)]
    return StatementPoint(len(held), done / elapsed, *pieces)


def _front_and_home(deployment: Deployment) -> tuple[ProxyNode, ProxyNode]:
    assert deployment.content is not None
    nodes = [Node(node.settings.name, node.settings.zone) for node in deployment.proxies]
    placement = Placement(nodes, deployment.content.zones)
    name = placement.home(deployment.content.databases[0], deployment.plan.zones[0])
    home = next(node for node in deployment.proxies if node.settings.name == name)
    front = next(node for node in deployment.proxies if node is not home)
    return front, home


async def _fill_items(dsn: str) -> None:
    async with await psycopg.AsyncConnection.connect(dsn, autocommit=True) as connection:
        await connection.execute("CREATE TABLE items (id int PRIMARY KEY, a text)")
        async with connection.transaction():
            for number in range(_ROWS):
                await connection.execute(
                    "INSERT INTO items VALUES (%s, %s)", (number, f"item {number}")
                )


async def _drive(held: list[psycopg.AsyncConnection], rate: float, seconds: float) -> int:
    """Send reads at a rate, each on the next connection that is free; the number done."""
    free: asyncio.Queue[psycopg.AsyncConnection] = asyncio.Queue()
    for connection in held:
        free.put_nowait(connection)
    done = 0
    running: set[asyncio.Task[None]] = set()

    async def one(number: int) -> None:
        nonlocal done
        connection = await free.get()
        try:
            cursor = await connection.execute(_SELECT, (number % _ROWS,))
            await cursor.fetchall()
            done += 1
        finally:
            free.put_nowait(connection)

    started = time.monotonic()
    sent = 0
    while (elapsed := time.monotonic() - started) < seconds:
        while sent < elapsed * rate:
            task = asyncio.create_task(one(sent))
            running.add(task)
            task.add_done_callback(running.discard)
            sent += 1
        await asyncio.sleep(0.002)
    await asyncio.gather(*running)
    return done


async def measure_large_result() -> LargeResultPoint:
    """Memory that a large answer takes in the two proxies that pass it on."""
    plan = replace(_PLAN, databases=("shared",), proxies_a_zone=2)
    with tempfile.TemporaryDirectory() as folder, Programs(Path(folder)) as programs:
        deployment = await _start(programs, Path(folder), plan)
        front, home = _front_and_home(deployment)
        dsn = deployment.dsn(front, "shared")
        await _fill_items(dsn)
        async with await psycopg.AsyncConnection.connect(dsn, autocommit=True) as connection:
            await connection.execute("CREATE TABLE wide (t text)")
            await connection.execute("INSERT INTO wide VALUES (%s)", ("x" * _WIDE_BYTES,))
            before = [node.program.peak_resident_bytes() for node in (front, home)]
            query = "SELECT w.t FROM wide w, items a, items b"
            cursor = await connection.execute(query, prepare=False)
            rows = await cursor.fetchall()
        after = [node.program.peak_resident_bytes() for node in (front, home)]
        return LargeResultPoint(
            len(rows), len(rows) * _WIDE_BYTES, after[0] - before[0], after[1] - before[1]
        )


# --- bytes of a status query --------------------------------------------------------------------


class _Relay:
    """Passes bytes between a client and an instance, and counts them."""

    def __init__(self, port: int) -> None:
        self.bytes_out = 0
        self.bytes_in = 0
        self._port = port

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one connection to its end."""
        other_reader, other_writer = await asyncio.open_connection("127.0.0.1", self._port)
        await asyncio.gather(
            self._pass(reader, other_writer, outwards=True),
            self._pass(other_reader, writer, outwards=False),
        )

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, outwards: bool
    ) -> None:
        while data := await reader.read(65536):
            if outwards:
                self.bytes_out += len(data)
            else:
                self.bytes_in += len(data)
            writer.write(data)
        writer.close()


async def measure_poll(polls: int = 50) -> PollCost:
    """Bytes of a status query, counted by a relay."""
    plan = replace(_PLAN, databases=("shared",))
    with tempfile.TemporaryDirectory() as folder, Programs(Path(folder)) as programs:
        deployment = await _start(programs, Path(folder), plan)
        group = deployment.groups["shared"]
        relay = _Relay(group.instances[0].port)
        port = free_ports(1)[0]
        server = await asyncio.start_server(relay.serve, "127.0.0.1", port)
        target = ConnectionTarget(
            "127.0.0.1", port, "shared", STATUS_USER, group.users[STATUS_USER], "bench"
        )
        observer = await Observer.open(target)
        await observer.ask()
        before = (relay.bytes_out, relay.bytes_in)
        for _ in range(polls):
            await observer.ask()
        cost = PollCost((relay.bytes_out - before[0]) / polls, (relay.bytes_in - before[1]) / polls)
        observer.close()
        server.close()
        return cost


async def measure_real(scale: int, progress: Callable[[str], None]) -> RealResults:
    """All measurements; `scale` multiplies the sizes."""
    results = RealResults()
    for databases in (1, 10 * scale, 25 * scale):
        progress(f"a real proxy with {databases} idle databases")
        results.idle.extend(await measure_idle(databases))
    progress("bytes of a status query")
    results.poll = await measure_poll()
    progress("a large answer")
    results.large_result = await measure_large_result()
    progress("idle callers of a real proxy")
    results.callers = await measure_callers([100, 500 * scale, 1000 * scale])
    for connections in (10, 100, 1000 * scale):
        progress(f"statements over {connections} connections")
        points = [await measure_statements(connections, 1000.0) for _ in range(3)]
        results.statements.append(sorted(points, key=_both)[1])
    return results


def _both(point: StatementPoint) -> float:
    return point.front_seconds + point.home_seconds
