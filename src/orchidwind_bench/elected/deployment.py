"""A whole system on loopback: stand-in platform, database groups, and proxies in their zones."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from orchidwind.commands import operations
from orchidwind.elected.core.commit_barrier import Acknowledge
from orchidwind.elected.core.configuration import (
    ClassSettings,
    DatabaseSettings,
    InstanceAddress,
    OperatorFile,
    UserSettings,
    ZoneSettings,
)
from orchidwind.shared.settings import ProxySettings
from orchidwind_bench.processes import Program, Programs, free_ports
from orchidwind_standins.elected.group_settings import Faults, GroupSettings, InstanceSettings
from orchidwind_standins.elected.platform_main import PlatformCounts, PlatformFaults
from orchidwind_standins.elected.postgres_main import InstanceStatusReport
from orchidwind_standins.elected.replication import LogRecord

CALLER = "app"
CALLER_PASSWORD = "app-password"
SERVER_USER = "server"
STATUS_USER = "status"
_PASSWORD = "server-password"
_READY_SECONDS = 40.0
_POLL_SECONDS = 0.05


@dataclass(frozen=True)
class DeploymentPlan:
    """The sizes of a system. Durations are in milliseconds.

    Each of `databases` has a group of its own, and each zone one proxy.
    """

    name: str
    zones: tuple[str, ...]
    databases: tuple[str, ...]
    slots: int
    callers_a_database: int
    connect_ms: float
    zone_latency_ms: float
    client_latency_ms: float
    instances: int = 3
    replay_lag_ms: float = 0.0
    statement_ms: float = 0.0
    classes: tuple[ClassSettings, ...] = ()
    acknowledge: Acknowledge = Acknowledge.REPLICATED
    replica_wait_ms: int = 100


DAKAR = DeploymentPlan(
    name="dakar",
    zones=("plateau", "rufisque", "almadies"),
    databases=("airdata-1", "airdata-2", "airdata-3"),
    slots=5,
    callers_a_database=35,
    connect_ms=10.0,
    zone_latency_ms=1.5,
    client_latency_ms=1.0,
    classes=(
        ClassSettings(name="ingest", weight=8.0, deadline_ms=4000, queue_bound=500),
        ClassSettings(name="dashboard", weight=2.0, deadline_ms=3000, queue_bound=200),
    ),
)
KALGARA = DeploymentPlan(
    name="kalgara",
    zones=("freezer-a", "chiller-b", "reefer-dock", "yard-office"),
    databases=("yard-ledger-1", "yard-ledger-2", "yard-ledger-3"),
    slots=4,
    callers_a_database=65,
    connect_ms=25.0,
    zone_latency_ms=1.5,
    client_latency_ms=3.0,
    classes=(
        ClassSettings(name="ingest", weight=4.0, deadline_ms=4000, queue_bound=300),
        ClassSettings(name="dashboard", weight=4.0, deadline_ms=3000, queue_bound=300),
    ),
)
PLANS = {plan.name: plan for plan in (DAKAR, KALGARA)}


@dataclass
class ProxyNode:
    """One proxy of a deployment."""

    settings: ProxySettings
    settings_file: Path
    program: Program

    @property
    def operator_url(self) -> str:
        """Base URL of the operator port."""
        return f"http://127.0.0.1:{self.settings.operator_port}"


@dataclass
class Deployment:
    """The running system and the handles to hurt it."""

    plan: DeploymentPlan
    folder: Path
    programs: Programs
    platform_port: int = 0
    groups: dict[str, GroupSettings] = field(default_factory=dict)
    group_files: dict[str, Path] = field(default_factory=dict)
    proxies: list[ProxyNode] = field(default_factory=list)
    content: OperatorFile | None = None

    @property
    def platform_url(self) -> str:
        """Base URL of the platform."""
        return f"http://127.0.0.1:{self.platform_port}"

    async def start(self) -> None:
        """Start everything and wait until it serves."""
        self.platform_port = free_ports(1)[0]
        self.programs.start(
            "platform",
            "orchidwind_standins.elected.platform_main",
            ["--port", str(self.platform_port)],
        )
        for database in self.plan.databases:
            self._start_group(database)
        self.content = self.operator_file()
        await self._apply_first()
        self._start_proxies()
        await self.wait_ready()

    async def _apply_first(self) -> None:
        bound = time.monotonic() + _READY_SECONDS
        while True:
            try:
                assert self.content is not None
                await operations.apply(self.content, self.platform_url)
                return
            except Exception:
                if time.monotonic() > bound:
                    raise
                await asyncio.sleep(_POLL_SECONDS)

    # --- groups -------------------------------------------------------------------------------

    def _start_group(self, database: str) -> None:
        plan = self.plan
        ports = free_ports(3 * plan.instances)
        instances = [
            InstanceSettings(
                name=f"{database}-{chr(ord('a') + index)}",
                zone=plan.zones[index % len(plan.zones)],
                port=ports[3 * index],
                peer_port=ports[3 * index + 1],
                control_port=ports[3 * index + 2],
            )
            for index in range(plan.instances)
        ]
        settings = GroupSettings(
            group=database,
            databases=[database],
            instances=instances,
            first_primary=instances[0].name,
            users={SERVER_USER: _PASSWORD, STATUS_USER: _PASSWORD},
            reserved_users=[STATUS_USER],
            connection_limit=plan.slots,
            connect_ms=plan.connect_ms,
            statement_ms=plan.statement_ms,
            zone_latency_ms=plan.zone_latency_ms,
            replay_lag_ms=plan.replay_lag_ms,
        )
        path = self.folder / f"{database}.toml"
        path.write_bytes(msgspec.toml.encode(settings))
        self.groups[database] = settings
        self.group_files[database] = path
        for instance in instances:
            self.start_instance(database, instance.name)

    def start_instance(self, database: str, name: str, rejoin: bool = False) -> Program:
        """Start one instance; with `rejoin` it comes back empty and without a vote."""
        arguments = [str(self.group_files[database]), name]
        if rejoin:
            arguments.append("--rejoin")
        return self.programs.start(name, "orchidwind_standins.elected.postgres_main", arguments)

    def instance(self, database: str, name: str) -> InstanceSettings:
        """Settings of an instance."""
        return self.groups[database].instance(name)

    async def fault(self, database: str, name: str, faults: Faults) -> None:
        """Give an instance a fault command."""
        port = self.instance(database, name).control_port
        body = msgspec.json.encode(faults)
        await fetch(f"http://127.0.0.1:{port}/fault", body)

    async def instance_status(self, database: str, name: str) -> InstanceStatusReport | None:
        """The state of an instance, None where it does not answer."""
        port = self.instance(database, name).control_port
        try:
            body = await fetch(f"http://127.0.0.1:{port}/status")
        except (HTTPClientError, OSError):
            return None
        return msgspec.json.decode(body, type=InstanceStatusReport)

    async def primary(self, database: str) -> InstanceStatusReport | None:
        """The primary of the highest term that answers."""
        names = [instance.name for instance in self.groups[database].instances]
        reports = [await self.instance_status(database, name) for name in names]
        primaries = [report for report in reports if report is not None and report.primary]
        return max(primaries, key=lambda report: report.term, default=None)

    async def log(self, database: str, name: str) -> list[LogRecord]:
        """Every committed record of an instance."""
        port = self.instance(database, name).control_port
        body = await fetch(f"http://127.0.0.1:{port}/log")
        return msgspec.msgpack.decode(body, type=list[LogRecord])

    # --- platform -----------------------------------------------------------------------------

    async def platform_faults(self, faults: PlatformFaults) -> None:
        """Set the platform's faults."""
        await fetch(f"{self.platform_url}/control/faults", msgspec.json.encode(faults))

    async def platform_counts(self) -> PlatformCounts:
        """How often the platform was asked."""
        body = await fetch(f"{self.platform_url}/control/counts")
        return msgspec.json.decode(body, type=PlatformCounts)

    def operator_file(self) -> OperatorFile:
        """The configuration of this deployment."""
        databases = [
            DatabaseSettings(
                name=name,
                slots=self.plan.slots,
                instances=[
                    InstanceAddress(item.name, item.host, item.port, item.zone)
                    for item in group.instances
                ],
                server_user=SERVER_USER,
                server_password=_PASSWORD,
                status_user=STATUS_USER,
                status_password=_PASSWORD,
                acknowledge=self.plan.acknowledge,
                replica_wait_ms=self.plan.replica_wait_ms,
            )
            for group in self.groups.values()
            for name in group.databases
        ]
        return OperatorFile(
            zones=[ZoneSettings(name=zone, region=self.plan.name) for zone in self.plan.zones],
            databases=databases,
            users=[UserSettings(CALLER, CALLER_PASSWORD)],
            classes=list(self.plan.classes),
        )

    # --- proxies ------------------------------------------------------------------------------

    def _start_proxies(self) -> None:
        names = [(zone, f"proxy-{zone}-0") for zone in self.plan.zones]
        ports = free_ports(4 * len(names))
        seeds = [f"127.0.0.1:{ports[4 * index + 2]}" for index in range(min(3, len(names)))]
        for index, (zone, name) in enumerate(names):
            settings = ProxySettings(
                name=name,
                zone=zone,
                platform_url=self.platform_url,
                caller_port=ports[4 * index],
                peer_port=ports[4 * index + 1],
                gossip_port=ports[4 * index + 2],
                operator_port=ports[4 * index + 3],
                seeds=seeds,
            )
            path = self.folder / f"{name}.toml"
            path.write_bytes(msgspec.toml.encode(settings))
            self.proxies.append(ProxyNode(settings, path, self.start_proxy(name, path)))

    def start_proxy(self, name: str, path: Path) -> Program:
        """Start one proxy from its settings file."""
        arguments = ["proxy", "--settings", str(path)]
        return self.programs.start(name, "orchidwind.commands.main", arguments)

    def restart_proxy(self, node: ProxyNode) -> None:
        """Start a stopped proxy again, without memory."""
        node.program = self.start_proxy(node.settings.name, node.settings_file)

    async def wait_ready(self, nodes: Sequence[ProxyNode] | None = None) -> None:
        """Wait until proxies are ready and know a primary for each database they are home of."""
        bound = time.monotonic() + _READY_SECONDS
        for node in nodes if nodes is not None else self.proxies:
            while not await self._is_ready(node):
                if time.monotonic() > bound:
                    raise TimeoutError(f"{node.settings.name} is not ready")
                await asyncio.sleep(_POLL_SECONDS)

    async def _is_ready(self, node: ProxyNode) -> bool:
        try:
            body = await fetch(f"{node.operator_url}/status")
        except (HTTPClientError, OSError):
            return False
        status = msgspec.json.decode(body)
        live = [member for member in status["members"] if member["state"] == "alive"]
        expected = sum(1 for proxy in self.proxies if proxy.program.running)
        homes = all(database["primary"] for database in status["databases"])
        return bool(status["ready"] and homes and len(live) >= expected)

    def dsn(self, node: ProxyNode, database: str) -> str:
        """Connection string of a caller."""
        return (
            f"host=127.0.0.1 port={node.settings.caller_port} dbname={database}"
            f" user={CALLER} password={CALLER_PASSWORD} sslmode=disable"
        )


async def fetch(url: str, body: bytes | None = None) -> bytes:
    """GET, or POST with a body; raises HTTPClientError or OSError."""
    method = "GET" if body is None else "POST"
    response = await AsyncHTTPClient().fetch(url, method=method, body=body)
    return response.body
