"""Follows the object API's configuration object while this proxy has the watcher role.

Owns: the watch, the pauses between attempts, and the polling of the machine list. Relies on: the
cluster for the watcher role and for distributing a new configuration. While the object API is
unavailable, only configuration changes are delayed.
"""

from __future__ import annotations

import asyncio
import random

from orchidwind.elected.metrics import Metrics
from orchidwind.elected.network.cluster import Cluster
from orchidwind.elected.network.object_api_client import ConfigurationObject, ObjectApiClient
from orchidwind.shared.core.errors import PlatformError, PlatformVersionGone
from orchidwind.shared.logs import log_event

# Peers have this time to send their configuration before the platform is read.
_FIRST_READ_AFTER_SECONDS = 1.0
# Bounds the delay until a proxy that became a watcher starts to watch.
_ROLE_CHECK_SECONDS = 0.5
# A watch whose connection fell silent delivers no changes, so every watch is reopened after this
# time: a configuration must be in force everywhere within 7 s (docs/DEVELOPERS.md), and takes 1 to
# 2 s from the watchers to all proxies.
LONGEST_OBJECT_WATCH_SECONDS = 4.0
# Pauses between calls to a failing platform; they double, with random jitter.
_SHORTEST_PAUSE_SECONDS = 0.2
_LONGEST_PAUSE_SECONDS = 5.0
# The list is only needed for members that gossip does not know, so it is read rarely.
_MACHINE_LIST_SECONDS = 30.0


class ObjectApiWatch:
    """Reads the configuration and then watches it.

    A proxy without the watcher role only reads, until it has a configuration.
    """

    def __init__(self, client: ObjectApiClient, cluster: Cluster, metrics: Metrics) -> None:
        self._client = client
        self._cluster = cluster
        self._metrics = metrics
        self._pause = _SHORTEST_PAUSE_SECONDS
        self._can_resume_watch = False
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Read and watch until cancelled."""
        machines = asyncio.create_task(self._poll_machines())
        try:
            await self._wait_for_peers()
            while True:
                if self._cluster.history.current is None or self._cluster.is_watcher():
                    await self._read_and_watch()
                else:
                    await asyncio.sleep(_ROLE_CHECK_SECONDS)
        finally:
            machines.cancel()

    async def _wait_for_peers(self) -> None:
        """Let peers send a configuration first, so that a mass restart spares the platform."""
        if self._cluster.members.membership.reachable()[1:] or self._has_seeds():
            await asyncio.sleep(_FIRST_READ_AFTER_SECONDS)

    def _has_seeds(self) -> bool:
        return bool(self._cluster.members.membership.seeds)

    async def _read_and_watch(self) -> None:
        try:
            if not self._can_resume_watch:
                await self._read()
            version = self._cluster.history.version
            self._pause = _SHORTEST_PAUSE_SECONDS
            if not self._cluster.is_watcher():
                self._can_resume_watch = False
                await asyncio.sleep(_ROLE_CHECK_SECONDS)
                return
            self._metrics.gauges.watching.set(1)
            async with asyncio.timeout(LONGEST_OBJECT_WATCH_SECONDS):
                await self._client.watch(version, self._on_object)
        except TimeoutError:
            return  # the watch lasted LONGEST_OBJECT_WATCH_SECONDS; the caller reopens it
        except PlatformVersionGone:
            self._can_resume_watch = False  # not logged: the configuration is read again at once
        except PlatformError as error:
            self._can_resume_watch = False
            log_event("platform_unavailable", reason=error)
            await asyncio.sleep(self._pause * random.uniform(0.5, 1.5))
            self._pause = min(self._pause * 2, _LONGEST_PAUSE_SECONDS)
        finally:
            self._metrics.gauges.watching.set(0)

    async def _read(self) -> None:
        """Read the whole configuration; later watches resume from its version until one fails."""
        item = await self._client.read()
        if item is not None:
            self._on_object(item)
            self._can_resume_watch = True

    def _on_object(self, item: ConfigurationObject) -> None:
        self._cluster.on_platform(item.document())

    async def _poll_machines(self) -> None:
        """Poll the machine list for seeds.

        The list may be out of date, so it never removes a member.
        """
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
