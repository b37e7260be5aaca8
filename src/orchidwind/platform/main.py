"""One proxy process on the users' platform: connects the platform's adapters to `ProxyRuntime`.

For: `deploy/node.py`, which calls `main`. Owns the process: settings, listeners, signals and the
planned stop. Contains no proxy logic; that is in `ProxyRuntime`.
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
from orchidwind.promoted.core.distances import Regions
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.promoted.peers.peer_streams import PeerListener, PeerStreamConnector
from orchidwind.promoted.ports import ProxyPorts
from orchidwind.promoted.proxy_runtime import ProxyRuntime
from orchidwind.promoted.store_era import StoreEra
from orchidwind.promoted.traffic import Traffic
from orchidwind.promoted.views.followed_views import ProxyBounds
from orchidwind.shared.core.errors import SettingsError
from orchidwind.shared.core.quota import QuotaRules
from orchidwind.shared.logs import configure_logging, log_event
from orchidwind.shared.settings import parse_address

# Length of the listen queue. It must exceed the number of callers of a zone, which all reconnect at
# once when another proxy stops.
_BACKLOG = 1024
# Number of missed renewals after which a directory entry is removed; defined by the users' page
# PROTOCOL.md.
_MISSED_HEARTBEATS = 3
# A proxy without access to the store is expected to go on serving for this share of the time for
# which a revoked API key may still be accepted; the users' pages define it, under "The score".
_SERVING_WITHOUT_STORE_SHARE = 0.6
# Collecting reference cycles would pause requests for milliseconds. Objects that live as long as
# the process are frozen, and the youngest generation is collected after 20,000 allocations instead
# of 700.
_GC_THRESHOLDS = (20_000, 20, 50)


class PlatformProxy:
    """The proxy process: its listeners, the proxy runtime and the planned stop."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._settings = load_platform_settings(path)
        self._stop = asyncio.Event()
        self._proxy = _proxy_runtime(self._settings)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._proxy.start()
        callers, links = self._listen()
        log_event("started", zone=self._settings.zone, callers=self._settings.listen.callers)
        log_unlisted_zone(self._settings)
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
        """Drain the sessions, then close the peer links, then give up the leadership lease."""
        self._proxy.peer_service.leave()
        await self._proxy.registry.drain(self._settings.bounds.planned_stop_seconds)
        callers.stop()
        links.stop()
        links.close_links()
        await self._proxy.leases.leave()
        self._proxy.close()

    def _reload(self) -> None:
        """Read the settings file again; listeners that are open keep their addresses."""
        try:
            self._settings = load_platform_settings(self._path)
        except SettingsError as error:
            log_event("settings_refused", level=logging.ERROR, reason=str(error))
            return
        log_event("settings_reloaded")


def log_unlisted_zone(settings: PlatformSettings) -> None:
    """Log that the settings list zones, but not that of this process."""
    if not settings.lists_own_zone:
        listed = ",".join(sorted(settings.zones))
        log_event("own_zone_unlisted", level=logging.WARNING, zone=settings.zone, listed=listed)


def _proxy_runtime(settings: PlatformSettings) -> ProxyRuntime:
    metrics = ProxyMetrics()
    traffic, regions = Traffic(), Regions(settings.region_by_zone)
    metrics.traffic(traffic, regions)
    store_era = StoreEra()
    store = ObjectStore(
        parse_address(settings.store.address), metrics.store_call, metrics.silent, store_era
    )
    ports = ProxyPorts(
        store_era=store_era,
        connector=LineConnector(traffic),
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
        peers=PeerStreamConnector(traffic),
        promotions=PromotionCall(
            parse_address(settings.promotions.address), settings.proxy_name, metrics.silent
        ),
    )
    return ProxyRuntime(
        _own_member(settings),
        ports,
        _proxy_bounds(settings),
        metrics,
        regions,
    )


def _proxy_bounds(settings: PlatformSettings) -> ProxyBounds:
    bounds = settings.bounds
    entry_expiry_ms = settings.instance_heartbeat_ms * _MISSED_HEARTBEATS
    # After contact to the store returns, `store_contact_ms` applies, which may be shorter.
    configuration_ms = min(bounds.configuration_ms, bounds.store_contact_ms)
    directory_ms = min(bounds.leaving_instance_ms, bounds.store_contact_ms)
    revocation = None
    if bounds.revocation_binds:
        # The rest of the revocation time is left for serving while the store is unreachable.
        configuration_ms = min(
            configuration_ms, bounds.revocation_ms * _SERVING_WITHOUT_STORE_SHARE
        )
        revocation = bounds.revocation_ms / MILLISECONDS
    return ProxyBounds(
        entry_outlives=entry_expiry_ms / MILLISECONDS,
        configuration=configuration_ms / MILLISECONDS,
        directory=directory_ms / MILLISECONDS,
        revocation=revocation,
        quotas=QuotaRules(bounds.quota_window_s, bounds.quota_overshoot, bounds.quota_slack),
    )


def _own_member(settings: PlatformSettings) -> ProxyMember:
    """This proxy as it registers itself with the other proxies."""
    host, port = parse_address(settings.listen.peers)
    capacity = settings.limits.cpu_share * settings.limits.core_speed
    return ProxyMember(settings.proxy_name, settings.zone, host, port, capacity)


async def _run(path: Path) -> None:
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    await PlatformProxy(path).run()


def main() -> None:
    """Entry point of the process; an environment variable holds the path of the settings file."""
    path = Path(os.environ[SETTINGS_VARIABLE])
    configure_logging("INFO", load_platform_settings(path).proxy_name)
    asyncio.run(_run(path))
