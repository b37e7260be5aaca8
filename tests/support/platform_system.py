"""Runs one proxy on real sockets between a caller and stand-ins for the instances and the store.

Owns the stand-ins and their ports on loopback, and starts and stops the proxy with them.
"""

import asyncio
import json
from contextlib import asynccontextmanager

from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from orchidwind.platform.http_call import HttpRequest, http_call
from orchidwind.platform.main import PlatformProxy
from orchidwind_bench.processes import free_ports
from orchidwind_standins.platform.memory_group import MemoryGroup
from orchidwind_standins.platform.object_store import StoreState, listen

HOST = "127.0.0.1"
SERVICE = "svc1"
ROUTES = {"latest": "primary", "bounded": "bounded_staleness", "own": "read_own_writes"}


class LineClient:
    """A caller's connection that speaks the line protocol."""

    @classmethod
    async def open(cls, port, database="latest", api_key="tests"):
        client = cls()
        client.stream = await TCPClient().connect(HOST, port)
        await client.stream.write(f"STARTUP {database} {api_key}\r\n".encode())
        client.greeting = await client.line()
        return client

    async def line(self):
        async with asyncio.timeout(5):
            return (await self.stream.read_until(b"\r\n"))[:-2].decode("latin-1")

    async def ask(self, text, request_id="a1"):
        await self.stream.write(f"QUERY {request_id} {text}\r\n".encode("latin-1"))
        lines = []
        while not lines or not lines[-1].startswith("READY"):
            lines.append(await self.line())
        return lines

    async def closed(self):
        try:
            async with asyncio.timeout(5):
                await self.stream.read_until_close()
        except StreamClosedError:
            pass
        return True


class PlatformSystem:
    """The stand-ins, and the settings and store objects that describe them to the proxy."""

    def __init__(
        self, folder, idle_ms=60_000, timeout_ms=5_000, bounds=None, born=None, tenants=None
    ):
        self.born = born
        # Maps a tenant to its API keys, operations per second and burst; None: callers need no key.
        self.tenants = tenants
        self.public = ()
        self.bounds = bounds or {}
        self.idle_ms = idle_ms
        self.timeout_ms = timeout_ms
        self.store = StoreState()
        self.group = MemoryGroup(SERVICE, ("i-0", "i-1", "i-2"))
        self.ports = free_ports(12)
        self.maximum_connections = 34
        self.folder = folder
        self.version = 3
        self.servers = {}
        self.store.on_promotion = lambda service, name: self.group.promote(name)
        self.group.on_role = self.write_entry

    @property
    def front_port(self):
        return self.ports[0]

    async def start(self):
        self.http = listen(self.store, HOST, self.ports[3])
        for index, instance in enumerate(self.group.instances.values()):
            await self.listen_instance(instance, self.ports[4 + index])
            self.write_entry(instance)
        self.write_configuration(ROUTES)
        settings = {
            "node_name": "front-1",
            "ip": HOST,
            "zone": "z1",
            "unknown": {"later": 1},
            "listen": {
                "front": f"{HOST}:{self.ports[0]}",
                "ready": f"{HOST}:{self.ports[1]}",
                "control": f"{HOST}:{self.ports[7]}",
            },
            "internal_port_range": [self.ports[2], self.ports[2] + 1],
            "platform": {"address": f"{HOST}:{self.ports[3]}"},
            "cloud_api": {"address": f"{HOST}:{self.ports[3]}"},
            "bounds": {"grace_s": 2.0, **self.bounds},
        }
        self.settings_path = self.folder / "local.json"
        self.settings_path.write_text(json.dumps(settings))

    def second_settings(self):
        """Writes the settings file of a second proxy and returns its path."""
        settings = json.loads(self.settings_path.read_text())
        settings["node_name"] = "front-2"
        names = ("front", "ready", "control")
        settings["listen"] = {
            name: f"{HOST}:{port}" for name, port in zip(names, self.ports[8:], strict=False)
        }
        settings["internal_port_range"] = [self.ports[11], self.ports[11] + 1]
        path = self.folder / "second.json"
        path.write_text(json.dumps(settings))
        return path

    async def listen_instance(self, instance, port):
        server = await instance.listen(HOST, port)
        self.servers[instance.name] = (server, port)

    def write_entry(self, instance, state="ready"):
        port = self.servers[instance.name][1]
        spec = {
            "service": SERVICE,
            "address": f"{HOST}:{port}",
            "zone": "z1",
            "slots": 3,
            "state": state,
            "db_role": instance.role,
            "call_seq": 1,
        }
        if self.born is not None:
            spec["born"] = self.born
        self.store.put("servers", instance.name, spec)

    def write_configuration(self, routes):
        self.version += 2
        spec = {
            "version": self.version,
            "routes": [
                {
                    "name": name,
                    "hostname": name,
                    "route_type": kind,
                    "timeout_ms": self.timeout_ms,
                    "target_latency_ms": 200,
                    "priority": 1,
                    "service": SERVICE,
                    "max_staleness_ms": 1500,
                }
                for name, kind in routes.items()
            ],
            "services": [
                {"name": SERVICE, "max_connections": self.maximum_connections, "sync_replicas": 1}
            ],
            "limits": {"tx_idle_ms": self.idle_ms},
        }
        if self.tenants is not None:
            spec["tenants"] = [
                {"name": name, "api_keys": keys, "rate_per_s": rate, "burst": burst}
                for name, (keys, rate, burst) in self.tenants.items()
            ]
            for route in spec["routes"]:
                route["public"] = route["name"] in self.public
        self.store.put("config", "main", spec)

    def crash(self, name):
        self.servers[name][0].close()
        self.group.instances[name].close_all()

    def runs(self, request_id):
        return [
            (instance.name, text)
            for instance in self.group.instances.values()
            for found, text in instance.ran
            if found == request_id
        ]

    def ran_for(self, request_id):
        """Returns the tenant that an instance received with a request; None if none ran it."""
        received = [instance.ran_for.get(request_id) for instance in self.group.instances.values()]
        return next((tenant for tenant in received if tenant is not None), None)

    async def status_of(self, path, port):
        return await http_call(HttpRequest((HOST, port), "GET", path), 2.0)

    def stop(self):
        self.http.stop()
        for server, _ in self.servers.values():
            server.close()


@asynccontextmanager
async def running(folder, **limits):
    system = PlatformSystem(folder, **limits)
    await system.start()
    proxy = PlatformProxy(system.settings_path)
    task = asyncio.create_task(proxy.run())
    while not proxy._proxy.prepared:
        await asyncio.sleep(0.01)
    while system.tenants is not None and not proxy._proxy.quota_shares.holders:
        await asyncio.sleep(0.01)
    system.proxy = proxy
    try:
        yield system
    finally:
        proxy._stop.set()
        async with asyncio.timeout(5):
            await task
        system.stop()


def with_system(folder, scenario, **limits):
    async def work():
        async with running(folder, **limits) as system:
            await scenario(system)

    asyncio.run(work())
