"""One proxy process on the users' platform: the adapters, put together with the product.

For: `deploy/node.py`, which calls `main`. Owns the process: settings, listeners, signals, the
planned stop. Relies on `ProxyRuntime` for all else and decides nothing itself.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
from pathlib import Path

from orchidwind.platform.callers import CallerListener
from orchidwind.platform.coordination import (
    LeaseObjects,
    LockTranslation,
    MemberObjects,
    MemberTranslation,
    PromotionLockObject,
    QuotaShareObject,
    QuotaShareTranslation,
    RosterObjects,
    RosterTranslation,
)
from orchidwind.platform.instances import LineConnector
from orchidwind.platform.operator_pages import OperatorPages
from orchidwind.platform.promotions import PromotionCall
from orchidwind.platform.published import ConfigurationTranslation, InstanceTranslation
from orchidwind.platform.settings import (
    SETTINGS_VARIABLE,
    PlatformSettings,
    load_platform_settings,
)
from orchidwind.platform.store import ObjectStore, WatchedKind
from orchidwind.platform.stored_objects import MILLISECONDS
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.promoted.peers.peer_streams import PeerListener, PeerStreamConnector
from orchidwind.promoted.ports import ProxyPorts
from orchidwind.promoted.proxy_runtime import ProxyRuntime
from orchidwind.promoted.store_era import StoreEra
from orchidwind.promoted.views.followed_views import ProxyBounds
from orchidwind.shared.core.errors import SettingsError
from orchidwind.shared.core.quota import QuotaRules
from orchidwind.shared.logs import configure_logging, log_event
from orchidwind.shared.settings import parse_address

# Connections that may wait to be accepted. More than the callers of a zone that come back
# at once after another proxy has stopped.
_BACKLOG = 1024
# Renewals of a directory entry that may be missing before it goes; the users' page PROTOCOL.md
# sets it.
_MISSED_HEARTBEATS = 3
# The share of the time in which an API key may still be used that a proxy without a way to the
# store is expected to serve for; the users' pages set it, under "The score".
_OWED_WITHOUT_NEWS_SHARE = 0.6
# The collector of cycles would stop requests for milliseconds. What lives as long as the
# process is left out, and young objects are collected after so many allocations, not after 700.
_GC_THRESHOLDS = (20_000, 20, 50)


class PlatformProxy:
    """The process: listeners, the proxy, its planned stop."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._settings = load_platform_settings(path)
        self._stop = asyncio.Event()
        self._proxy = _proxy_runtime(self._settings)

    async def run(self) -> None:
        """Serve until SIGTERM, then drain."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._proxy.start()
        callers, links = self._listen()
        log_event("started", zone=self._settings.zone, callers=self._settings.listen.callers)
        await self._stop.wait()
        await self._drain(callers, links)
        log_event("stopped")

    def _listen(self) -> tuple[CallerListener, PeerListener]:
        settings = self._settings
        callers = CallerListener(self._proxy)
        host, port = parse_address(settings.listen.callers)
        callers.listen(port, host, backlog=_BACKLOG)
        links = PeerListener(self._proxy.peer_service)
        host, port = parse_address(settings.listen.peers)
        links.listen(port, host, backlog=_BACKLOG)
        pages = OperatorPages(self._proxy)
        pages.listen(parse_address(settings.listen.readiness))
        pages.listen((settings.host, settings.internal_ports[0]))
        return callers, links

    async def _drain(self, callers: CallerListener, links: PeerListener) -> None:
        """End the sessions, then the links, then this proxy's lead lease."""
        self._proxy.peer_service.leave()
        await self._proxy.registry.drain(self._settings.bounds.planned_stop_seconds)
        callers.stop()
        links.stop()
        links.close_links()
        await self._proxy.leases.leave()
        self._proxy.close()

    def _reload(self) -> None:
        """The settings file changed; what runs keeps its addresses."""
        try:
            self._settings = load_platform_settings(self._path)
        except SettingsError as error:
            log_event("settings_refused", level=logging.ERROR, reason=str(error))
            return
        log_event("settings_reloaded")


def _proxy_runtime(settings: PlatformSettings) -> ProxyRuntime:
    metrics = ProxyMetrics()
    store_era = StoreEra()
    store = ObjectStore(
        parse_address(settings.store.address), metrics.store_call, metrics.silent, store_era
    )
    ports = ProxyPorts(
        store_era=store_era,
        connector=LineConnector(),
        directory=WatchedKind(store, InstanceTranslation()),
        configuration=WatchedKind(store, ConfigurationTranslation()),
        lock_store=PromotionLockObject(store),
        lock_source=WatchedKind(store, LockTranslation()),
        leases=LeaseObjects(store),
        roster_source=WatchedKind(store, RosterTranslation()),
        roster_store=RosterObjects(store),
        quota_share_source=WatchedKind(store, QuotaShareTranslation()),
        quota_share_store=QuotaShareObject(store),
        member_source=WatchedKind(store, MemberTranslation()),
        member_store=MemberObjects(store),
        peers=PeerStreamConnector(),
        promotions=PromotionCall(
            parse_address(settings.promotions.address), settings.proxy_name, metrics.silent
        ),
    )
    return ProxyRuntime(_own_member(settings), ports, _proxy_bounds(settings), metrics)


def _proxy_bounds(settings: PlatformSettings) -> ProxyBounds:
    bounds = settings.bounds
    entry_outlives_ms = settings.instance_heartbeat_ms * _MISSED_HEARTBEATS
    # A path that has come back is held to its own bound, which may be the shorter one.
    configuration_ms = min(bounds.configuration_ms, bounds.store_contact_ms)
    directory_ms = min(bounds.leaving_instance_ms, bounds.store_contact_ms)
    revocation = None
    if bounds.revocation_binds:
        # Callers are served on without news of the store for the rest of that time.
        configuration_ms = min(configuration_ms, bounds.revocation_ms * _OWED_WITHOUT_NEWS_SHARE)
        revocation = bounds.revocation_ms / MILLISECONDS
    return ProxyBounds(
        entry_outlives=entry_outlives_ms / MILLISECONDS,
        configuration=configuration_ms / MILLISECONDS,
        directory=directory_ms / MILLISECONDS,
        revocation=revocation,
        quotas=QuotaRules(bounds.quota_window_s, bounds.quota_overshoot, bounds.quota_slack),
    )


def _own_member(settings: PlatformSettings) -> ProxyMember:
    """This proxy as the others list it."""
    host, port = parse_address(settings.listen.peers)
    capacity = settings.limits.cpu_share * settings.limits.core_speed
    return ProxyMember(settings.proxy_name, settings.zone, host, port, capacity)


async def _run(path: Path) -> None:
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    await PlatformProxy(path).run()


def main() -> None:
    """Entry point of the process; the settings file's path comes from the environment."""
    path = Path(os.environ[SETTINGS_VARIABLE])
    configure_logging("INFO", load_platform_settings(path).proxy_name)
    asyncio.run(_run(path))
