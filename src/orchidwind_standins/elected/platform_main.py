"""`orchidwind-standin-platform`: a stand-in for the platform's object API and machine list.

Objects carry `metadata.resourceVersion`. A write with another version than the stored one gets
status 409. A watch streams JSON lines; it gets 410 if events since its version may have been
dropped. Fault commands inject an outage (requests are refused or hang) or drop responses after the
change took effect.
"""

from __future__ import annotations

import asyncio
import signal
from collections import deque

import defopt
import msgspec
import tornado.web
from tornado.iostream import StreamClosedError

_MAXIMUM_EVENTS = 1000
_HANG_SECONDS = 3600.0


class Metadata(msgspec.Struct, rename="camel"):
    """Name and version of an object."""

    name: str
    resource_version: str = ""


class StoredObject(msgspec.Struct):
    """An object: its content, and the identifier of the write that stored it."""

    metadata: Metadata
    spec: msgspec.Raw
    attempt: str = ""


class Machine(msgspec.Struct, rename="camel"):
    """One entry of the machine list."""

    name: str
    zone: str
    host: str
    gossip_port: int
    state: str = "live"


class PlatformFaults(msgspec.Struct):
    """The active faults.

    `outage` is "", "refuse" or "hang". `lose_answers` is the number of responses to drop.
    """

    outage: str = ""
    lose_answers: int = 0


class PlatformCounts(msgspec.Struct):
    """Numbers of reads and writes, and the current and highest number of watches."""

    reads: int = 0
    writes: int = 0
    watchers: int = 0
    most_watchers: int = 0


class Platform:
    """The stored objects, the latest events, the machine list and the active faults."""

    def __init__(self) -> None:
        self.version = 0
        self.objects: dict[str, StoredObject] = {}
        self.events: deque[tuple[int, bytes]] = deque(maxlen=_MAXIMUM_EVENTS)
        self.faults = PlatformFaults()
        self.counts = PlatformCounts()
        self.machines: list[Machine] = []
        self._changed = asyncio.Event()

    def write(self, name: str, incoming: StoredObject) -> StoredObject | None:
        """Store an object if its version equals the stored one; returns None on a conflict."""
        stored = self.objects.get(name)
        expected = stored.metadata.resource_version if stored else ""
        if incoming.metadata.resource_version != expected:
            return None
        self.version += 1
        incoming.metadata.resource_version = str(self.version)
        self.objects[name] = incoming
        kind = b"MODIFIED" if stored else b"ADDED"
        line = b'{"type":"%s","object":%s}\n' % (kind, msgspec.json.encode(incoming))
        self.events.append((self.version, line))
        self.counts.writes += 1
        self._changed.set()
        self._changed = asyncio.Event()
        return incoming

    def is_expired(self, version: int) -> bool:
        """Whether events after `version` may have been dropped."""
        return bool(self.events) and version < self.events[0][0] - 1

    def events_after(self, version: int) -> list[tuple[int, bytes]]:
        """Return the events after `version`, each with its version."""
        return [event for event in self.events if event[0] > version]

    async def wait_for_change(self) -> None:
        """Wait for the next write."""
        await self._changed.wait()


class _Handler(tornado.web.RequestHandler):
    platform: Platform

    def initialize(self, platform: Platform) -> None:
        """Store the platform; tornado calls this for each request."""
        self.platform = platform

    async def prepare(self) -> None:
        """Apply an outage before the request is handled."""
        faults = self.platform.faults
        if faults.outage == "hang":
            await asyncio.sleep(_HANG_SECONDS)
        if faults.outage:
            self.set_status(503)
            self.finish()

    def answer(self, body: object) -> None:
        """Send JSON, or close the connection if the response is to be dropped."""
        faults = self.platform.faults
        if self.request.method != "GET" and faults.lose_answers > 0:
            faults.lose_answers -= 1
            stream = self.detach()
            stream.close()
            return
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))


class ObjectHandler(_Handler):
    """`GET`, `PUT` and watch of `/apis/orchidwind/v1/objects/NAME`."""

    async def get(self, name: str) -> None:
        """Return the object, or stream its events if `watch=true`."""
        if self.get_query_argument("watch", "") == "true":
            await self._watch(name)
            return
        self.platform.counts.reads += 1
        stored = self.platform.objects.get(name)
        if stored is None:
            self.set_status(404)
            self.finish()
            return
        self.answer(stored)

    def put(self, name: str) -> None:
        """Create or replace the object; 409 if its version is not the stored one."""
        try:
            incoming = msgspec.json.decode(self.request.body, type=StoredObject)
        except msgspec.DecodeError as error:
            self.set_status(400)
            self.finish(str(error))
            return
        written = self.platform.write(name, incoming)
        if written is None:
            self.set_status(409)
            self.finish()
            return
        self.answer(written)

    async def _watch(self, name: str) -> None:
        counts = self.platform.counts
        version = int(self.get_query_argument("resourceVersion", "0"))
        if self.platform.is_expired(version):
            self.set_status(410)
            self.finish()
            return
        counts.watchers += 1
        counts.most_watchers = max(counts.most_watchers, counts.watchers)
        try:
            self.set_header("Content-Type", "application/json")
            await self.flush()
            while not self.platform.faults.outage:
                for number, line in self.platform.events_after(version):
                    self.write(line)
                    version = number
                await self.flush()
                await self._wait_for_change_or_timeout()
        except StreamClosedError:
            return
        finally:
            counts.watchers -= 1

    async def _wait_for_change_or_timeout(self) -> None:
        """Wait for a write or 0.2 s, so that the watch notices an outage or a closed connection.

        Raises StreamClosedError if the client closed the connection.
        """
        try:
            async with asyncio.timeout(0.2):
                await self.platform.wait_for_change()
        except TimeoutError:
            if self.request.connection.stream.closed():  # type: ignore[union-attr]
                raise StreamClosedError from None


class MachinesHandler(_Handler):
    """`GET /apis/orchidwind/v1/machines`."""

    def get(self) -> None:
        """Return the machine list, which may be out of date."""
        self.platform.counts.reads += 1
        self.answer(self.platform.machines)


class ControlHandler(tornado.web.RequestHandler):
    """`/control/faults`, `/control/machines` and `/control/counts`."""

    platform: Platform

    def initialize(self, platform: Platform) -> None:
        """Store the platform; tornado calls this for each request."""
        self.platform = platform

    async def post(self, resource: str) -> None:
        """Set the faults or the machine list; 400 if the body is malformed."""
        try:
            if resource == "faults":
                self.platform.faults = msgspec.json.decode(self.request.body, type=PlatformFaults)
            else:
                machines = msgspec.json.decode(self.request.body, type=list[Machine])
                self.platform.machines = machines
        except msgspec.DecodeError as error:
            self.set_status(400)
            self.finish(str(error))

    def get(self, resource: str) -> None:
        """Return the counts."""
        self.finish(msgspec.json.encode(self.platform.counts))


def serve(*, host: str = "127.0.0.1", port: int = 7000) -> None:
    """Run the stand-in platform.

    :param host: address to listen on
    :param port: port to listen on
    """
    asyncio.run(_serve(host, port))


async def _serve(host: str, port: int) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    arguments = {"platform": Platform()}
    application = tornado.web.Application(
        [
            (r"/apis/orchidwind/v1/objects/([\w.\-]+)", ObjectHandler, arguments),
            (r"/apis/orchidwind/v1/machines", MachinesHandler, arguments),
            (r"/control/(faults|machines|counts)", ControlHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
    application.listen(port, host)
    await stop.wait()


def main() -> None:
    """Entry point of `orchidwind-standin-platform`."""
    defopt.run(serve)
