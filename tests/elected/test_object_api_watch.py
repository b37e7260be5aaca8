"""A watch of the object API that falls silent while new watches work, over sockets.

Guards against a proxy that misses configuration changes because it waits on such a watch.
"""

import asyncio
from types import SimpleNamespace

import msgspec
import tornado.web

from orchidwind.elected.core.configuration import OperatorFile, ZoneSettings
from orchidwind.elected.network.object_api_client import (
    ConfigurationObject,
    Metadata,
    ObjectApiClient,
)
from orchidwind.elected.network.object_api_watch import LONGEST_OBJECT_WATCH_SECONDS, ObjectApiWatch

HOST = "127.0.0.1"
# docs/DEVELOPERS.md, "The target": a configuration must be in force everywhere within this time.
TARGET_SECONDS = 7.0
SLACK_SECONDS = 1.0


class Platform:
    """Holds a configuration, accepts watches and sends changes to those that are not silent."""

    def __init__(self):
        self.version = 1
        self.reads = 0
        self.watches = []
        self.changed = asyncio.Event()

    def item(self):
        metadata = Metadata(resource_version=str(self.version))
        return ConfigurationObject(metadata, OperatorFile([ZoneSettings("z")], [], []))

    def change(self):
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()


class Handler(tornado.web.RequestHandler):
    def initialize(self, platform):
        self.platform = platform

    async def get(self):
        platform = self.platform
        if not self.get_query_argument("watch", ""):
            platform.reads += 1
            self.finish(msgspec.json.encode(platform.item()))
            return
        watch = {"silent": False}
        platform.watches.append(watch)
        while platform.version <= int(self.get_query_argument("resourceVersion")):
            await platform.changed.wait()
        if watch["silent"]:
            await asyncio.sleep(60)
        event = {"type": "MODIFIED", "object": platform.item()}
        self.write(msgspec.json.encode(event) + b"\n")
        await self.flush()
        await asyncio.sleep(60)


class Machines(tornado.web.RequestHandler):
    def get(self):
        self.finish(b"[]")


class Cluster:
    """Stores the configuration that the watch delivers."""

    def __init__(self):
        self.history = SimpleNamespace(current=None, version=0)
        membership = SimpleNamespace(reachable=lambda: [0], seeds=[], add_seeds=lambda *a: [])
        self.members = SimpleNamespace(membership=membership, perform=lambda effects: None)

    def is_watcher(self):
        return True

    def on_platform(self, document):
        self.history = SimpleNamespace(current=document, version=document.version)


def with_watch(scenario):
    async def work():
        platform, cluster = Platform(), Cluster()
        application = tornado.web.Application(
            [(r".*/objects/.*", Handler, {"platform": platform}), (r".*/machines", Machines)],
            log_function=lambda handler: None,
        )
        server = application.listen(0, HOST)
        port = next(iter(server._sockets.values())).getsockname()[1]
        gauges = SimpleNamespace(watching=SimpleNamespace(set=lambda value: None))
        metrics = SimpleNamespace(gauges=gauges)
        watch = ObjectApiWatch(ObjectApiClient(f"http://{HOST}:{port}"), cluster, metrics)
        running = asyncio.create_task(watch.run())
        async with asyncio.timeout(3.0):
            while not platform.watches:
                await asyncio.sleep(0.02)
        await scenario(platform, cluster)
        running.cancel()
        server.stop()

    asyncio.run(work())


def test_a_change_is_received_in_time_although_the_watch_fell_silent():
    async def scenario(platform, cluster):
        platform.watches[-1]["silent"] = True
        platform.change()
        async with asyncio.timeout(LONGEST_OBJECT_WATCH_SECONDS + SLACK_SECONDS):
            while cluster.history.version != platform.version:
                await asyncio.sleep(0.02)
        # The next watch resumes from the known version: the configuration is not read again.
        assert platform.reads == 1

    assert LONGEST_OBJECT_WATCH_SECONDS + SLACK_SECONDS < TARGET_SECONDS
    with_watch(scenario)
