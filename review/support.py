"""A small deployment on loopback: proxies, instances, the platform, and clients, for the cases.

The proxies are processes of the deploy file's program (`deploy/node.py`). The instances are
processes of the project's replicating stand-in. The platform's store and its promotions run in this
process (the project's stand-in). Between the proxies and each instance stands a relay, with which
a case cuts the path from some proxies to an instance; instances replicate to each other directly.
"""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from orchidwind_bench.processes import free_ports
from orchidwind_standins.platform.object_store import StoreState, listen
from orchidwind_standins.platform.replicated_instance import InstanceSettings
from orchidwind_standins.platform.replicated_log import read_journal
from orchidwind_standins.platform.replicated_main import RoleReport, Situation

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
SERVICE = "ledger"
ZONES = ("zone-a", "zone-b", "zone-c")
REGION = "here"
# As on the users' sheets: an entry goes after three heartbeats of silence.
HEARTBEAT_SECONDS = 1.2
ENTRY_SECONDS = 3 * HEARTBEAT_SECONDS
PROMOTE_SECONDS = 0.3
STATEMENT_TIMEOUT_MS = 800
STALENESS_MS = 1500
EVERYBODY = "*"
LONGEST_SECONDS = 105.0
# Exit codes of a case's script, which `run_case.sh` maps to 0, 1 and 2. Python itself exits with 1
# if the script fails.
CODE_HELD, CODE_BROKEN, CODE_CANNOT_RUN = 0, 10, 2
# Without the disruption, a case must pass.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_READ_BYTES = 65536


class CannotRun(Exception):
    """The case could not be set up, so that it shows nothing."""


class Record:
    """The file `record.txt` of a case: one line for each event, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", buffering=1)
        self._start = time.monotonic()

    def seconds(self, at: float | None = None) -> float:
        """The seconds since the start, now or at a time of the monotonic clock."""
        return (time.monotonic() if at is None else at) - self._start

    def write(self, text: str, at: float | None = None) -> None:
        """Write one line."""
        self._file.write(f"{self.seconds(at):8.3f} s  {text}\n")


# --- relays ---------------------------------------------------------------------------------------


def _inode_of(local_port: int, remote_port: int) -> str:
    """The inode of a loopback socket, from the kernel's table of sockets."""
    wanted = [f"0100007F:{port:04X}" for port in (local_port, remote_port)]
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        columns = line.split()
        if columns[1:3] == wanted:
            return columns[9]
    return ""


def _holds_socket(pid: int, inode: str) -> bool:
    """Whether a process that this test started holds a socket."""
    with suppress(OSError):
        for link in Path(f"/proc/{pid}/fd").iterdir():
            with suppress(OSError):
                if os.readlink(link) == f"socket:[{inode}]":
                    return True
    return False


class Relay:
    """Forwards connections to a server; callers in `cut` reach it no more, and hear nothing.

    While a caller is cut off, its bytes are held in both directions, and new connections hang. What
    is held is dropped if its sender has closed the connection by the end of the cut.
    """

    def __init__(self, port: int, target: int, pids: Callable[[], dict[str, int]]) -> None:
        self.port = port
        self.cut: set[str] = set()
        # When each caller last tried to open a connection.
        self.tried_at: dict[str, float] = {}
        self._target = target
        self._pids = pids
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, backlog=256)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def _caller(self, writer: asyncio.StreamWriter) -> str:
        inode = _inode_of(writer.get_extra_info("peername")[1], self.port)
        for name, pid in self._pids().items():
            if inode and _holds_socket(pid, inode):
                return name
        return "other"

    def _is_cut(self, caller: str) -> bool:
        return EVERYBODY in self.cut or caller in self.cut

    async def _open(self, caller: str, reader: asyncio.StreamReader) -> bool:
        """Wait while a caller is cut off; returns False if its connection has ended meanwhile."""
        while self._is_cut(caller):
            if reader.at_eof():
                return False
            await asyncio.sleep(0.005)
        return not reader.at_eof()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            # Cancelled at the end of the case: the stream server asks each handler for its error.
            with suppress(OSError, asyncio.CancelledError):
                await self._forward(self._caller(writer), reader, writer)
        finally:
            writer.close()

    async def _forward(
        self, caller: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.tried_at[caller] = time.monotonic()
        if not await self._open(caller, reader):
            return
        far_reader, far_writer = await asyncio.open_connection(HOST, self._target)
        pumps = (
            asyncio.ensure_future(self._pump(caller, reader, far_writer)),
            asyncio.ensure_future(self._pump(caller, far_reader, writer)),
        )
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            far_writer.close()

    async def _pump(
        self, caller: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                while self._is_cut(caller):
                    if reader.at_eof():
                        return
                    await asyncio.sleep(0.005)
                writer.write(data)
                await writer.drain()
            # The end of a connection is a packet too.
            while self._is_cut(caller):
                await asyncio.sleep(0.005)


# --- instances ------------------------------------------------------------------------------------


@dataclass(slots=True)
class Instance:
    """One instance. `port` is its own; the directory shows the port of its relay."""

    name: str
    port: int
    zone: str
    relay: Relay
    journal: Path
    process: subprocess.Popen[bytes] | None = None
    role: str = "replica"
    term: int = 1
    draining: bool = False
    cut: set[str] = field(default_factory=set)
    deaf: bool = False
    cut_from_store: bool = False
    last_renewed: float = 0.0
    control: asyncio.StreamWriter | None = None

    @property
    def alive(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None


class Group:
    """The instances of the one service, their entries in the store, and their promotions."""

    def __init__(self, folder: Path, store: StoreState, record: Record) -> None:
        self.instances: dict[str, Instance] = {}
        self.newest_term = 1
        self.pids: dict[str, int] = {}
        # The times at which promotions took effect, with instance and term.
        self.led: list[tuple[float, str, int]] = []
        self.on_promotion: Callable[[Instance], None] = lambda instance: None
        self.on_role: Callable[[Instance], None] = lambda instance: None
        self._folder = folder
        self._store = store
        self._record = record
        self._control_port = free_ports(1)[0]
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, names: Iterable[str]) -> None:
        """Start the instances, the first one as primary, and keep their entries written."""
        self._server = await asyncio.start_server(self._serve_control, HOST, self._control_port)
        for number, name in enumerate(names):
            await self.add(name, ZONES[number % len(ZONES)], first_primary=number == 0)
        self._store.on_promotion = self._promote
        self._spawn(self._keep_entries())

    async def add(
        self, name: str, zone: str, first_primary: bool = False, listed: bool = True
    ) -> Instance:
        """Start one more instance; unless `listed`, the store does not take its writes yet."""
        port, relay_port = free_ports(2)
        relay = Relay(relay_port, port, lambda: self.pids)
        instance = Instance(name, port, zone, relay, self._folder / f"{name}.journal")
        instance.cut_from_store = not listed
        self.instances[name] = instance
        await relay.start()
        self.launch(instance, first_primary)
        await self.connected(instance)
        return instance

    def launch(self, instance: Instance, first_primary: bool = False) -> None:
        """Start the process of an instance, with its log if it has one and without a fence."""
        settings = InstanceSettings(
            name=instance.name,
            service=SERVICE,
            port=instance.port,
            control_port=self._control_port,
            journal=str(instance.journal),
            newest_term=self.newest_term,
            first_primary=first_primary,
            may_lead_on=first_primary or instance.role == "primary",
        )
        module = "orchidwind_standins.platform.replicated_main"
        with (self._folder / f"{instance.name}.log").open("ab") as log:
            instance.process = subprocess.Popen(
                [
                    sys.executable,
                    "-c",
                    f"from {module} import main; main()",
                    msgspec.json.encode(settings).decode(),
                ],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    async def connected(self, instance: Instance) -> None:
        """Wait until an instance runs."""
        async with asyncio.timeout(15):
            while instance.control is None:
                await asyncio.sleep(0.005)

    def crash(self, instance: Instance) -> None:
        """Kill the process of an instance."""
        assert instance.process is not None
        instance.process.kill()
        instance.process.wait()
        instance.control = None

    async def _serve_control(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        instance: Instance | None = None
        with suppress(ConnectionError, asyncio.CancelledError):
            while line := await reader.readline():
                report = msgspec.json.decode(line, type=RoleReport)
                instance = self.instances[report.name]
                if report.role == "primary" and (instance.role, instance.term) != (
                    report.role,
                    report.term,
                ):
                    self.led.append((time.monotonic(), report.name, report.term))
                    self._record.write(f"instance {report.name} leads term {report.term}")
                elif report.role != instance.role:
                    self._record.write(f"instance {report.name} is {report.role} now")
                instance.role, instance.term = report.role, report.term
                self.on_role(instance)
                if instance.control is not writer:
                    instance.control = writer
                    self.tell_all()
                self._write_entry(instance)
        if instance is not None and instance.control is writer:
            instance.control = None
        writer.close()

    def part(self, some: Iterable[str], parted: bool) -> None:
        """Cut the network between some instances and all others, or join it."""
        names = set(some)
        self._record.write(
            f"TROUBLE {', '.join(sorted(names))} {'cut off from' if parted else 'joined with'} "
            "the other instances"
        )
        for one in self.instances.values():
            for other in self.instances.values():
                if one.name in names and other.name not in names:
                    self.cut_between(one, other, parted)

    def tell_all(self) -> None:
        """Send every instance its peers and its present faults."""
        for instance in self.instances.values():
            self._tell(instance)

    def _tell(self, instance: Instance, lead: int = 0) -> None:
        if instance.control is None:
            return
        peers = {item.name: item.port for item in self.instances.values()}
        situation = Situation(peers, tuple(sorted(instance.cut)), instance.deaf, False, lead)
        instance.control.write(msgspec.json.encode(situation) + b"\n")

    def cut_between(self, one: Instance, other: Instance, cut: bool) -> None:
        """Cut or join the network between two instances."""
        for item, far in ((one, other), (other, one)):
            (item.cut.add if cut else item.cut.discard)(far.name)
            self._tell(item)

    def set_deaf(self, instance: Instance, deaf: bool) -> None:
        """Let an instance receive nothing from the others, or end that."""
        instance.deaf = deaf
        self._tell(instance)

    # --- directory ----------------------------------------------------------------------------

    async def _keep_entries(self) -> None:
        while True:
            for instance in self.instances.values():
                self._write_entry(instance)
            await asyncio.sleep(0.1)

    def _write_entry(self, instance: Instance) -> None:
        now = time.monotonic()
        if instance.alive and not instance.cut_from_store and instance.control is not None:
            instance.last_renewed = now
        held = self._store.objects.get(("servers", instance.name))
        if now - instance.last_renewed > ENTRY_SECONDS:
            if held is not None:
                self._store.remove("servers", instance.name)
                self._record.write(f"the entry of {instance.name} lapses")
            return
        if instance.last_renewed < now:
            return
        spec = {
            "service": SERVICE,
            "address": f"{HOST}:{instance.relay.port}",
            "zone": instance.zone,
            "version": "1",
            "slots": 3,
            "state": "draining" if instance.draining else "ready",
            "cold_remaining_ms": 0,
            "db_role": instance.role,
        }
        if held is None or held.spec != spec:
            self._store.put("servers", instance.name, spec)

    # --- promotions ---------------------------------------------------------------------------

    def _promote(self, service: str, name: str) -> bool:
        instance = self.instances.get(name)
        holder, token = self._store.promotions[-1][2:]
        runs = service == SERVICE and instance is not None and instance.alive
        self._record.write(
            f"POST /promotions of {name} by {holder}, token {token}: {200 if runs else 409}"
        )
        if not runs:
            return False
        assert instance is not None
        if instance.role == "primary" and instance.term == self.newest_term:
            return True
        self._spawn(self._lead_later(instance))
        self.on_promotion(instance)
        return True

    async def _lead_later(self, instance: Instance) -> None:
        await asyncio.sleep(PROMOTE_SECONDS)
        self.newest_term += 1
        self._tell(instance, lead=self.newest_term)

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """End all processes and listeners."""
        for task in list(self._tasks):
            task.cancel()
        for instance in self.instances.values():
            instance.relay.stop()
            if instance.alive:
                self.crash(instance)
        if self._server is not None:
            self._server.close()


# --- proxies --------------------------------------------------------------------------------------


@dataclass(slots=True)
class Proxy:
    """One proxy: its name, its front and its ready port, its settings and its process."""

    name: str
    front: int
    ready: int
    settings: Path
    process: subprocess.Popen[bytes] | None = None


class Deployment:
    """The whole system of one case. `databases` maps the name of a database to its route type."""

    def __init__(self, folder: Path, record: Record, databases: dict[str, str]) -> None:
        self.store = StoreState()
        self.record = record
        self.group = Group(folder, self.store, record)
        self.proxies: dict[str, Proxy] = {}
        self._databases = databases
        self._folder = folder
        self._store_port = free_ports(1)[0]
        # By proxy: the relay through which it reaches the platform.
        self.store_relays: dict[str, Relay] = {}
        self._http: Any = None

    async def start(self, instances: Iterable[str]) -> None:
        """Start the platform and the instances, and write the configuration."""
        self._http = listen(self.store, HOST, self._store_port)
        await self.group.start(instances)
        routes = [
            {
                "name": name,
                "hostname": name,
                "service": SERVICE,
                "route_type": kind,
                "timeout_ms": STATEMENT_TIMEOUT_MS,
                "target_latency_ms": 250,
                "max_staleness_ms": STALENESS_MS,
                "priority": 1,
            }
            for name, kind in self._databases.items()
        ]
        services = [{"name": SERVICE, "max_connections": 34, "sync_replicas": 1}]
        limits = {"tx_idle_ms": 3000}
        spec = {"version": 3, "routes": routes, "services": services, "limits": limits}
        self.store.put("config", "main", spec)

    async def add_proxy(self, name: str, zone: str) -> Proxy:
        """Start one proxy by the command of the deploy file, and wait until it is ready."""
        front, ready, control, inner, relayed = free_ports(5)
        relay = Relay(relayed, self._store_port, lambda: self.group.pids)
        await relay.start()
        self.store_relays[name] = relay
        settings = {
            "node_name": name,
            "role": "proxy",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": HOST,
            "zone": zone,
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "listen": {
                "front": f"{HOST}:{front}",
                "ready": f"{HOST}:{ready}",
                "control": f"{HOST}:{control}",
            },
            "internal_port_range": [inner, inner],
            "limits": {"cpu_share": 0.537, "cpu_cores": 2},
            "heartbeat_ms": HEARTBEAT_SECONDS * 1000,
            "bounds": {
                "contact_ms": 4000,
                "drain_ms": 7000,
                "grace_s": 6,
                "config_apply_ms": 3000,
                "thaw_slack_ms": 300,
            },
            "platform": {"address": f"{HOST}:{relayed}"},
            "cloud_api": {"address": f"{HOST}:{relayed}"},
        }
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        proxy = Proxy(name, front, ready, path)
        self.proxies[name] = proxy
        self.start_proxy(proxy)
        await self._wait_ready(proxy)
        return proxy

    def start_proxy(self, proxy: Proxy) -> None:
        """Start the process of a proxy; its output goes to a log in the temporary folder."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        program, *arguments = shlex.split(deploy["roles"]["proxy"]["run"])
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = os.environ.get("REVIEW_DEPENDENCIES", "")
        environment["ORCHIDWIND_SETTINGS"] = str(proxy.settings)
        program = sys.executable if program == "python3" else program
        with (self._folder / f"{proxy.name}.out").open("ab") as log:
            proxy.process = subprocess.Popen(
                [program, *arguments],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.group.pids[proxy.name] = proxy.process.pid
        self.record.write(f"proxy {proxy.name} starts")

    async def _wait_ready(self, proxy: Proxy) -> None:
        request = b"GET /orchidwind/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        for _ in range(300):
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(HOST, proxy.ready)
                writer.write(request)
                answer = await reader.read(_READ_BYTES)
                writer.close()
                if b" 200 " in answer.split(b"\r\n")[0]:
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{proxy.name} is not ready")

    def stop(self) -> None:
        """End everything."""
        for proxy in self.proxies.values():
            if proxy.process is not None and proxy.process.poll() is None:
                proxy.process.kill()
                proxy.process.wait()
        for relay in self.store_relays.values():
            relay.stop()
        self.group.stop()
        if self._http is not None:
            self._http.stop()


# --- clients --------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one statement; `code` is OK, an error code, or LOST without an answer."""

    request_id: str
    code: str
    rows: tuple[str, ...]
    signature: str
    sent_at: float
    at: float


class Session:
    """One session of a client at one proxy."""

    _count = 0

    def __init__(self, proxy: Proxy, database: str, record: Record) -> None:
        self._proxy = proxy
        self._database = database
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def _connect(self) -> bool:
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(2):
                self._reader, self._writer = await asyncio.open_connection(HOST, self._proxy.front)
                self._writer.write(f"STARTUP {self._database} client\r\n".encode())
                if (await self._reader.readline()).startswith(b"READY"):
                    return True
        self.close()
        return False

    def close(self) -> None:
        """Close the session."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def ask(self, text: str) -> Answer | None:
        """Send one statement and wait for its answer; None if no session could be opened."""
        if self._writer is None and not await self._connect():
            return None
        assert self._reader is not None and self._writer is not None
        Session._count += 1
        request_id = f"{Session._count:016x}"
        sent_at = time.monotonic()
        lines: list[str] = []
        try:
            self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
            async with asyncio.timeout(3):
                while not lines or not lines[-1].startswith("READY"):
                    line = await self._reader.readline()
                    if not line:
                        break
                    lines.append(line.decode().rstrip("\r\n"))
        except (OSError, TimeoutError):
            lines = []
        answer = self._answer(request_id, lines, sent_at)
        shown = " ".join((answer.code, *answer.rows, answer.signature)).strip()
        self._record.write(
            f"via {self._proxy.name}/{self._database} {request_id} {text}, "
            f"sent {self._record.seconds(sent_at):.3f}: {shown}",
            answer.at,
        )
        if answer.code == "LOST" or not lines[-1].startswith("READY I"):
            self.close()
        return answer

    @staticmethod
    def _answer(request_id: str, lines: list[str], sent_at: float) -> Answer:
        now = time.monotonic()
        if not lines or not lines[-1].startswith("READY"):
            return Answer(request_id, "LOST", (), "", sent_at, now)
        rows = tuple(line.removeprefix("DATAROW ") for line in lines if line.startswith("DATAROW"))
        for line in lines:
            if line.startswith("ERROR "):
                return Answer(request_id, line.split(" ")[1], rows, "", sent_at, now)
            if line.startswith("COMPLETE "):
                return Answer(request_id, "OK", rows, line.split(" ")[1], sent_at, now)
        return Answer(request_id, "LOST", rows, "", sent_at, now)


@dataclass(frozen=True, slots=True)
class Written:
    """One write of a client and its answer."""

    proxy: str
    thing: str
    data: str
    answer: Answer


class Writers:
    """Clients that write, each write to a thing of its own, and what became of their writes."""

    def __init__(self, system: Deployment, record: Record, database: str) -> None:
        self.written: list[Written] = []
        self._system = system
        self._record = record
        self._database = database
        self._stopped: set[str] = set()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, proxy: str, count: int) -> None:
        """Start some clients at a proxy."""
        self._tasks += [
            asyncio.get_running_loop().create_task(self._write(proxy)) for _ in range(count)
        ]

    def stop(self, proxy: str) -> None:
        """Let the clients of a proxy end after their present writes."""
        self._stopped.add(proxy)

    async def end(self) -> None:
        """Stop all clients and wait for their last answers."""
        self._stopped.update(self._system.proxies)
        await asyncio.gather(*self._tasks)

    @property
    def acknowledged(self) -> list[Written]:
        """The writes that were acknowledged."""
        return [item for item in self.written if item.answer.code == "OK"]

    async def _write(self, proxy: str) -> None:
        session = Session(self._system.proxies[proxy], self._database, self._record)
        while proxy not in self._stopped:
            number = len(self.written)
            thing = f"{proxy}-{number}-{id(session) % 997}"
            answer = await session.ask(f"WRITE {thing} d{number}")
            if answer is not None:
                self.written.append(Written(proxy, thing, f"d{number}", answer))
            await asyncio.sleep(0.05)
        session.close()

    async def missing(self, proxy: str) -> list[Written]:
        """Read every acknowledged write again; returns those that are not there."""
        session = Session(self._system.proxies[proxy], self._database, self._record)
        missing = []
        for written in self.acknowledged:
            for _ in range(20):
                answer = await session.ask(f"READ {written.thing}")
                if answer is not None and answer.code == "OK":
                    break
                await asyncio.sleep(0.2)
            else:
                raise CannotRun("the system serves no reads at the end")
            if answer.rows != (written.data,):
                missing.append(written)
        session.close()
        return missing

    def committed_by_replaced(self, old: Instance, proxy: str, since: float) -> list[Written]:
        """Acknowledged writes via a proxy that a replaced primary committed after a time.

        They are in the log of `old` in a term below that of the first promotion, and not in the log
        of the instance that was promoted.
        """
        promotions = [item for item in self._system.group.led if item[2] > 1]
        if not promotions:
            return []
        took_effect, name, term = promotions[0]
        kept = appended(old.journal)
        there = held(self._system.group.instances[name].journal)
        late = []
        for item in self.acknowledged:
            entry = kept.get((item.thing, item.data))
            if item.proxy != proxy or entry is None or entry.term >= term:
                continue
            if entry.at > max(took_effect, since) and (item.thing, item.data) not in there:
                late.append(item)
        return late

    def report(self, old: Instance, late: list[Written], missing: list[Written]) -> int:
        """Write the verdict; returns the exit code of the case."""
        self._record.write(f"{len(self.acknowledged)} of {len(self.written)} writes acknowledged")
        for item in late[:5]:
            self._record.write(
                f"BROKEN ONE {item.answer.request_id} WRITE {item.thing} {item.data}: committed by "
                f"{old.name} after its successor led, acknowledged via {item.proxy}",
                item.answer.at,
            )
        for item in missing[:5]:
            self._record.write(
                f"BROKEN lost {item.answer.request_id} WRITE {item.thing} {item.data}: "
                f"acknowledged via {item.proxy}, and not there at the end",
                item.answer.at,
            )
        self._record.write(
            f"{len(late)} commits acknowledged for the replaced primary, {len(missing)} "
            "acknowledged writes missing at the end"
        )
        return CODE_BROKEN if late or missing else CODE_HELD


async def _bounded(case: Callable[[Path, Record], Any], folder: Path, record: Record) -> int:
    """Run a case for `LONGEST_SECONDS` at most; everything that it started is ended then."""
    async with asyncio.timeout(LONGEST_SECONDS):
        return int(await case(folder, record).run())


def run_case(file: str, case: Callable[[Path, Record], Any]) -> int:
    """Run a case with its record beside `file`; returns the exit code (see `run_case.sh`)."""
    record = Record(Path(file).resolve().parent / "record.txt")
    record.write(f"TROUBLE={int(TROUBLE)}")
    # An end from outside still ends the processes of the case.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(CODE_CANNOT_RUN))
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(_bounded(case, Path(folder), record))
        except Exception as error:  # whatever went wrong here shows nothing about the proxies
            record.write(f"could not run: {error!r}")
            code = CODE_CANNOT_RUN
        kept = os.environ.get("REVIEW_KEEP")
        if kept:
            Path(kept).mkdir(parents=True, exist_ok=True)
            for path in Path(folder).iterdir():
                (Path(kept) / path.name).write_bytes(path.read_bytes())
    verdict = {CODE_HELD: "held", CODE_BROKEN: "broken"}.get(code, "could not run")
    record.write(f"the rule: {verdict}")
    return code


# --- what the instances did -----------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Kept:
    """An entry of an instance's log: its term and number, and when it was appended."""

    term: int
    number: int
    at: float


def appended(journal: Path) -> dict[tuple[str, str], Kept]:
    """All writes that an instance ever appended to its log, by thing and data."""
    found: dict[tuple[str, str], Kept] = {}
    length = 0
    for line in read_journal(journal):
        if line.keep >= 0:
            length = line.keep
        for entry in line.entries:
            length += 1
            for write in entry.writes:
                found.setdefault(write, Kept(entry.term, length, line.at))
    return found


def held(journal: Path) -> set[tuple[str, str]]:
    """The writes that an instance's log holds at the end."""
    log: list[tuple[tuple[str, str], ...]] = []
    for line in read_journal(journal):
        if line.keep >= 0:
            del log[line.keep :]
        log.extend(entry.writes for entry in line.entries)
    return {write for writes in log for write in writes}
