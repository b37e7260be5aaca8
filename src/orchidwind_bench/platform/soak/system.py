"""The system under test: processes of proxies and instances, and a store in this process."""

from __future__ import annotations

import asyncio
import os
import random
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer

from orchidwind.platform.http_call import HttpCallFailed, HttpRequest, http_call
from orchidwind_bench.platform.soak.directory import Directory
from orchidwind_bench.platform.soak.instance_state import HOST, ZONES, InstanceTimes, SoakInstance
from orchidwind_bench.platform.soak.instances import InstanceGroup
from orchidwind_bench.processes import Program, free_ports
from orchidwind_standins.platform.object_store import StoreCopy, StoreState, listen

GROUPS = ("ledger", "stock", "orders")
DATABASES = {"latest": "primary", "bounded": "bounded_staleness", "own": "read_own_writes"}
STALENESS_MILLISECONDS = 1500
_TIMEOUT_MILLISECONDS = 800
_READY_POLL_SECONDS = 0.05
_READY_SECONDS = 15.0
_GRACE_SECONDS = 3.0
# The bounds of the first users' smaller deployments.
APPLY_SECONDS = 3.0
CONTACT_SECONDS = 4.0
BOUNDS = {"config_apply_ms": APPLY_SECONDS * 1000, "contact_ms": CONTACT_SECONDS * 1000}
# Acknowledgements of a proxy this soon after a disturbance are not checked for a replaced primary.
THAW_SLACK_SECONDS = 0.3
STORE = "store"
_PORTS_PER_PROXY = 4
# After the store is restored from an older copy, operators and instances write lost data again
# within this time; the users' page sets it for instances.
_REWRITE_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class SoakSizes:
    """The size of the system; with few connections some proxies forward to home proxies.

    `connections` is the maximum per service; `instances` is the initial number in each group.
    """

    proxies: int = 6
    connections: int = 12
    groups: int = 1
    instances: int = 3


# Number of tenants; callers are assigned to them in turn.
TENANTS = 5
# Quota of each tenant in operations per second: more than the callers send, so that no request is
# refused because of a quota.
_QUOTA = 10_000


def api_key(caller: int) -> str:
    """The API key of a caller, by its number."""
    return f"key-{caller % TENANTS}"


def database_name(kind: str, service: str) -> str:
    """The name of a group's database for a kind of reads, a key of `DATABASES`."""
    return f"{kind}-{service}"


@dataclass(slots=True)
class ProxyProcess:
    """One proxy: its ports, its settings file, and its current process."""

    name: str
    front: int
    ready: int
    settings: Path
    program: Program | None = None


class SoakSystem:
    """Starts and stops all parts of the system; settings and logs are written to `folder`."""

    def __init__(
        self,
        folder: Path,
        sizes: SoakSizes,
        seed: int = 0,
        times: InstanceTimes | None = None,
    ) -> None:
        self.store = StoreState()
        self.directory = Directory(self.store)
        self.groups = {
            name: InstanceGroup(name, folder, seed, sizes.connections, times or InstanceTimes())
            for name in GROUPS[: sizes.groups]
        }
        self.proxies: list[ProxyProcess] = []
        # Called with the service of each promotion that an instance group accepts.
        self.on_promotion: Callable[[str], None] = lambda service: None
        # Events for traces, with their times of the monotonic clock.
        self.events: list[tuple[float, str]] = []
        self._newest_configuration: dict[str, Any] = {}
        self._random = random.Random(f"{seed}/store")
        self._http: HTTPServer | None = None
        self._versions: list[tuple[float, int]] = []
        self._disturbances: dict[str, list[tuple[float, float]]] = {}
        self._folder = folder
        self._sizes = sizes
        self._ports = free_ports(1 + sizes.proxies * _PORTS_PER_PROXY)
        self._store_port = self._ports.pop()

    # --- stand-ins ----------------------------------------------------------------------------

    async def start_standins(self) -> None:
        """Open the store, start the instances, and write the first configuration."""
        self._http = listen(self.store, HOST, self._store_port)
        self.store.on_promotion = self._promote
        for group in self.groups.values():
            group.on_entry = partial(self._follow, group.service)
            group.note = self.note
        await asyncio.gather(
            *(group.start(self._sizes.instances) for group in self.groups.values())
        )
        self.change_configuration()

    def _promote(self, service: str, name: str) -> bool:
        group = self.groups.get(service)
        taken = group is not None and group.promote(name)
        if taken:
            self.on_promotion(service)
        return taken

    def _follow(self, service: str, instance: SoakInstance, seconds: float) -> None:
        self.directory.follow(service, instance, seconds)

    def note(self, text: str) -> None:
        """Record an event for traces, at the present time."""
        self.events.append((time.monotonic(), text))

    def change_configuration(self) -> None:
        """Write the next version of the configuration; only it has the route `route(version)`."""
        version = len(self._versions) + 1
        first = next(iter(self.groups))
        databases = [
            (database_name(name, service), kind, service)
            for service in self.groups
            for name, kind in DATABASES.items()
        ]
        routes = [
            {
                "name": name,
                "hostname": name,
                "route_type": kind,
                "timeout_ms": _TIMEOUT_MILLISECONDS,
                "priority": 1,
                "service": service,
                "max_staleness_ms": STALENESS_MILLISECONDS,
                # The probed route is public: probes test the version, not the tenants.
                "public": name == self.route(version),
            }
            for name, kind, service in [*databases, (self.route(version), "primary", first)]
        ]
        tenants = [
            {
                "name": f"tenant-{number}",
                "api_keys": [api_key(number)],
                "rate_per_s": _QUOTA,
                "burst": _QUOTA,
            }
            for number in range(TENANTS)
        ]
        services = [
            {"name": name, "max_connections": self._sizes.connections, "sync_replicas": 1}
            for name in self.groups
        ]
        spec = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {},
            "tenants": tenants,
        }
        self._newest_configuration = spec
        self.store.put("config", "main", spec)
        self._versions.append((time.monotonic(), version))

    def restore_from(self, copy: StoreCopy) -> None:
        """Restore the store from a copy; operators and instances soon write lost data again."""
        now = time.monotonic()
        self.record_disturbance(STORE, now, now)
        self.store.restore_from(copy)
        held = {name: item.spec for (kind, name), item in copy.objects.items() if kind == "servers"}
        present = [item for group in self.groups.values() for item in group.present()]
        self.directory.entries_restored(held, [item.name for item in present])
        for group in self.groups.values():
            for instance in group.present():
                group.on_entry(instance, self._rewrite_delay())
        asyncio.get_running_loop().call_later(self._rewrite_delay(), self._rewrite_configuration)

    def _rewrite_delay(self) -> float:
        return self._random.uniform(0.0, _REWRITE_SECONDS)

    def _rewrite_configuration(self) -> None:
        """Write the newest configuration again if the store holds an older one."""
        held = self.store.objects.get(("config", "main"))
        newest = self._newest_configuration
        if held is None or held.spec["version"] < newest["version"]:
            self.store.put("config", "main", newest)

    @staticmethod
    def route(version: int) -> str:
        """The database that only this version of the configuration has."""
        return f"version{version}"

    def required_version(self, at: float) -> int:
        """The newest version written at or before a time; 0 if there is none."""
        return max((version for written, version in self._versions if written <= at), default=0)

    def probed_versions(self) -> list[int]:
        """The newest version, and the one before it."""
        newest = len(self._versions)
        return [version for version in (newest, newest - 1) if version > 0]

    # --- disturbances -------------------------------------------------------------------------

    def record_disturbance(self, part: str, begin: float, end: float) -> None:
        """Record that a proxy or the store is disturbed during a span; `end` may be infinite."""
        self._disturbances.setdefault(part, []).append((begin, end))

    def end_disturbances(self, part: str) -> None:
        """End all disturbances of a proxy or the store now."""
        now = time.monotonic()
        spans = self._disturbances.get(part, [])
        self._disturbances[part] = [(begin, min(end, now)) for begin, end in spans]

    def undisturbed_seconds(self, proxy: str, at: float) -> float:
        """The seconds at a time since a proxy or the store was last disturbed."""
        spans = self._disturbances.get(proxy, []) + self._disturbances.get(STORE, [])
        ends = [min(end, at) for begin, end in spans if begin <= at]
        return at - max(ends, default=float("-inf"))

    def proxy_undisturbed_seconds(self, proxy: str, at: float) -> float:
        """The seconds at a time since a proxy itself was last disturbed."""
        spans = self._disturbances.get(proxy, [])
        ends = [min(end, at) for begin, end in spans if begin <= at]
        return at - max(ends, default=float("-inf"))

    # --- proxies ------------------------------------------------------------------------------

    async def start_proxies(self) -> None:
        """Start all proxies and wait until they are ready; raises `TimeoutError` after 15 s."""
        for index in range(self._sizes.proxies):
            self.proxies.append(self._new_proxy(index))
        for proxy in self.proxies:
            self.start_proxy(proxy)
        async with asyncio.timeout(_READY_SECONDS):
            for proxy in self.proxies:
                while not await self._ready(proxy):
                    await asyncio.sleep(_READY_POLL_SECONDS)

    def _new_proxy(self, index: int) -> ProxyProcess:
        front, ready, control, inner = (self._ports.pop() for _ in range(_PORTS_PER_PROXY))
        name = f"proxy-{index}"
        settings: dict[str, Any] = {
            "node_name": name,
            "ip": HOST,
            "zone": ZONES[index % len(ZONES)],
            "listen": {
                "front": f"{HOST}:{front}",
                "ready": f"{HOST}:{ready}",
                "control": f"{HOST}:{control}",
            },
            "internal_port_range": [inner, inner],
            "platform": {"address": f"{HOST}:{self._store_port}"},
            "cloud_api": {"address": f"{HOST}:{self._store_port}"},
            "bounds": {"grace_s": _GRACE_SECONDS, **BOUNDS},
        }
        path = self._folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        return ProxyProcess(name, front, ready, path)

    def start_proxy(self, proxy: ProxyProcess) -> None:
        """Start the process of a proxy; its output is appended to its log."""
        environment = {**os.environ, "ORCHIDWIND_SETTINGS": str(proxy.settings)}
        with (self._folder / f"{proxy.name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-c", "from orchidwind.platform.main import main; main()"],
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        proxy.program = Program(proxy.name, process)

    async def _ready(self, proxy: ProxyProcess) -> bool:
        request = HttpRequest((HOST, proxy.ready), "GET", "/orchidwind/ready")
        try:
            return (await http_call(request, 1.0)).status == 200
        except HttpCallFailed:
            return False

    def stop(self) -> None:
        """End every process, and close the stand-ins."""
        for proxy in self.proxies:
            if proxy.program is not None and proxy.program.running:
                proxy.program.thaw()
                proxy.program.kill()
        for group in self.groups.values():
            group.stop()
        if self._http is not None:
            self._http.stop()
