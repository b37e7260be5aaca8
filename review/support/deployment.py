"""The whole system of a case: the platform, the instances, and the proxies of the deploy file.

The platform's store and its promotions run in this process (the project's stand-in). Each proxy
reaches them through a relay of its own.
"""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import subprocess
import sys
import tomllib
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from tornado.httpserver import HTTPServer

from orchidwind_bench.processes import free_ports
from orchidwind_standins.platform.object_store import StoreState, listen
from support.common import HOST, READ_BYTES, SERVICE, ZONES, CannotRun, Record
from support.instances import HEARTBEAT_SECONDS, Group
from support.relay import Relay

_ROOT = Path(__file__).resolve().parent.parent.parent
_REGION = "here"
_READY_POLLS = 300
_READY_POLL_SECONDS = 0.05


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
        self._http: HTTPServer | None = None

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
                "timeout_ms": 800,
                "target_latency_ms": 250,
                "max_staleness_ms": 1500,
                "priority": 1,
            }
            for name, kind in self._databases.items()
        ]
        services = [{"name": SERVICE, "max_connections": 32, "sync_replicas": 1}]
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
            "region": _REGION,
            "zones": dict.fromkeys(ZONES, _REGION),
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
        deploy = tomllib.loads((_ROOT / "deploy" / "system.toml").read_text())
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
                cwd=_ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.group.pids[proxy.name] = proxy.process.pid
        self.record.write(f"proxy {proxy.name} starts")

    async def _wait_ready(self, proxy: Proxy) -> None:
        request = b"GET /orchidwind/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        for _ in range(_READY_POLLS):
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(HOST, proxy.ready)
                writer.write(request)
                answer = await reader.read(READ_BYTES)
                writer.close()
                if b" 200 " in answer.split(b"\r\n")[0]:
                    return
            await asyncio.sleep(_READY_POLL_SECONDS)
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
