"""The instances of the deployment, their entries in the store, and their promotions.

Each instance is a process of the project's replicating stand-in. Proxies reach it through a relay,
and the instances replicate to each other directly.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from collections.abc import Callable, Coroutine, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from orchidwind_bench.processes import free_ports
from orchidwind_standins.platform.object_store import StoreState
from orchidwind_standins.platform.replicated_instance import InstanceSettings
from orchidwind_standins.platform.replicated_main import RoleReport, Situation
from support.common import HOST, SERVICE, ZONES, Record
from support.relay import Relay, Tap

# As on the users' sheets: an entry goes after three heartbeats of silence.
HEARTBEAT_SECONDS = 1.2
_ENTRY_OUTLIVES_SECONDS = 3 * HEARTBEAT_SECONDS
_PROMOTE_SECONDS = 0.3
# A message of the log takes this long to its replica, and holds this many entries at most.
_LAG_SECONDS = 0.02
_PART_ENTRIES = 50
_START_SECONDS = 15.0
_POLL_SECONDS = 0.005
_ENTRY_CHECK_SECONDS = 0.1


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


@dataclass(frozen=True, slots=True)
class Lead:
    """An instance began to lead a term, at a time of the monotonic clock."""

    at: float
    instance: str
    term: int


class Group:
    """The instances of the one service, their entries in the store, and their promotions."""

    def __init__(self, folder: Path, store: StoreState, record: Record) -> None:
        self.instances: dict[str, Instance] = {}
        self.newest_term = 1
        self.pids: dict[str, int] = {}
        self.led: list[Lead] = []
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
        relay = Relay(
            relay_port, port, lambda: self.pids, lambda caller: Tap(self._record, name, caller)
        )
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
            lag_seconds=_LAG_SECONDS,
            part_entries=_PART_ENTRIES,
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
        async with asyncio.timeout(_START_SECONDS):
            while instance.control is None:
                await asyncio.sleep(_POLL_SECONDS)

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
                self._note_role(instance, report)
                if instance.control is not writer:
                    instance.control = writer
                    self.tell_all()
                self._write_entry(instance)
        if instance is not None and instance.control is writer:
            instance.control = None
        writer.close()

    def _note_role(self, instance: Instance, report: RoleReport) -> None:
        leads = report.role == "primary"
        if leads and (instance.role, instance.term) != (report.role, report.term):
            self.led.append(Lead(time.monotonic(), report.name, report.term))
            self._record.write(f"instance {report.name} leads term {report.term}")
        elif report.role != instance.role:
            self._record.write(f"instance {report.name} is {report.role} now")
        instance.role, instance.term = report.role, report.term
        self.on_role(instance)

    def first_promotion(self) -> Lead | None:
        """The first promotion that took effect; None if there was none."""
        return next((lead for lead in self.led if lead.term > 1), None)

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
            await asyncio.sleep(_ENTRY_CHECK_SECONDS)

    def _write_entry(self, instance: Instance) -> None:
        now = time.monotonic()
        if instance.alive and not instance.cut_from_store and instance.control is not None:
            instance.last_renewed = now
        held = self._store.objects.get(("servers", instance.name))
        if now - instance.last_renewed > _ENTRY_OUTLIVES_SECONDS:
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
            "slots": 2,
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
        await asyncio.sleep(_PROMOTE_SECONDS)
        self.newest_term += 1
        self._tell(instance, lead=self.newest_term)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
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
