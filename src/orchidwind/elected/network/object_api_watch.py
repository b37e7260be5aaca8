"""Follows the object API's configuration object while this proxy has the watcher role.

Owns: the watch, its pauses, and the list of machines that was read last. Relies on: the cluster for
the role and for passing a new configuration on; while the API is down nothing is lost but news.
"""

from __future__ import annotations

import asyncio
import random

from orchidwind.elected.metrics import Metrics
from orchidwind.elected.network.cluster import Cluster
from orchidwind.elected.network.object_api_client import ConfigurationObject, ObjectApiClient
from orchidwind.shared.core.errors import PlatformError, PlatformVersionGone
from orchidwind.shared.logs import log_event

# Peers have this long to pass their configuration on before the store is read.
_FIRST_READ_AFTER_SECONDS = 1.0
# Bounds the delay with which a new watcher begins.
_ROLE_CHECK_SECONDS = 0.5
# A watch that fell silent tells of no change, so each is opened anew: a configuration is to be in
# force everywhere within 7 s (docs/DEVELOPERS.md), and takes a second or two from the watchers on.
LONGEST_OBJECT_WATCH_SECONDS = 4.0
# Pauses between calls to a store that fails; they double, and are spread at random.
_SHORTEST_PAUSE_SECONDS = 0.2
_LONGEST_PAUSE_SECONDS = 5.0
# The list only names members that gossip does not know, so it is read seldom.
_MACHINE_LIST_SECONDS = 30.0


class ObjectApiWatch:
    """Reads first, then watches; a node without a role reads only until it has a configuration."""

    def __init__(self, client: ObjectApiClient, cluster: Cluster, metrics: Metrics) -> None:
        self._client = client
        self._cluster = cluster
        self._metrics = metrics
        self._pause = _SHORTEST_PAUSE_SECONDS
        self._read_lately = False
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Run until cancelled."""
        machines = asyncio.create_task(self._follow_machines())
        try:
            await self._wait_for_peers()
            while True:
                if self._cluster.history.current is None or self._cluster.is_watcher():
                    await self._follow()
                else:
                    await asyncio.sleep(_ROLE_CHECK_SECONDS)
        finally:
            machines.cancel()

    async def _wait_for_peers(self) -> None:
        """Peers are asked first, so that a mass restart does not fall on the platform."""
        if self._cluster.members.membership.reachable()[1:] or self._has_seeds():
            await asyncio.sleep(_FIRST_READ_AFTER_SECONDS)

    def _has_seeds(self) -> bool:
        return bool(self._cluster.members.membership.seeds)

    async def _follow(self) -> None:
        try:
            if not self._read_lately:
                await self._read()
            version = self._cluster.history.version
            self._pause = _SHORTEST_PAUSE_SECONDS
            if not self._cluster.is_watcher():
                self._read_lately = False
                await asyncio.sleep(_ROLE_CHECK_SECONDS)
                return
            self._metrics.gauges.watching.set(1)
            async with asyncio.timeout(LONGEST_OBJECT_WATCH_SECONDS):
                await self._client.watch(version, self._take)
        except TimeoutError:
            return  # the watch lasted LONGEST_OBJECT_WATCH_SECONDS, and is opened anew
        except PlatformVersionGone:
            self._read_lately = False  # not logged: the whole is read anew, at once
        except PlatformError as error:
            self._read_lately = False
            log_event("platform_unavailable", reason=error)
            await asyncio.sleep(self._pause * random.uniform(0.5, 1.5))
            self._pause = min(self._pause * 2, _LONGEST_PAUSE_SECONDS)
        finally:
            self._metrics.gauges.watching.set(0)

    async def _read(self) -> None:
        """Read the whole; watches go on from there until one fails."""
        item = await self._client.read()
        if item is not None:
            self._take(item)
            self._read_lately = True

    def _take(self, item: ConfigurationObject) -> None:
        self._cluster.on_platform(item.document())

    async def _follow_machines(self) -> None:
        """The list lags, so it only names whom to ask; it never removes a member."""
        while True:
            if len(self._cluster.members.membership.reachable()) < 2 or self._cluster.is_watcher():
                await self._read_machines()
            known = len(self._cluster.members.membership.reachable()) > 1
            await asyncio.sleep(_MACHINE_LIST_SECONDS if known else _FIRST_READ_AFTER_SECONDS)

    async def _read_machines(self) -> None:
        try:
            machines = await self._client.machines()
        except PlatformError as error:
            log_event("machine_list_not_read", reason=error)
            return
        membership = self._cluster.members.membership
        seeds = [(item.host, item.gossip_port) for item in machines if item.state == "live"]
        self._cluster.members.perform(membership.add_seeds(seeds))
