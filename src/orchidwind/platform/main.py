"""One proxy process on the users' platform: the adapters, put together with the product."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
from pathlib import Path

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from orchidwind.platform.callers import CallerListener
from orchidwind.platform.coordination import (
    LeaseObjects,
    LockTranslation,
    MemberObjects,
    MemberTranslation,
    PromotionLockObject,
    RosterObjects,
    RosterTranslation,
)
from orchidwind.platform.instances import LineConnector
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
from orchidwind.promoted.ports import NodePorts
from orchidwind.promoted.proxy_runtime import ProxyRuntime
from orchidwind.promoted.views.followed_views import NodeBounds
from orchidwind.shared.core.errors import SettingsError
from orchidwind.shared.logs import configure_logging, log_event
from orchidwind.shared.settings import parse_address

READY_PATH = "/orchidwind/ready"
METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
_BACKLOG = 1024
_SILENT_HEARTBEATS = 3


class PlatformProxy:
    """The process: listeners, node, planned stop."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._settings = load_platform_settings(path)
        self._stop = asyncio.Event()
        self._node = _node(self._settings)
        self._registry = self._node.registry

    async def run(self) -> None:
        """Serve until SIGTERM, then drain."""
        settings = self._settings
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._node.start()
        callers = CallerListener(self._node, self._registry)
        host, port = parse_address(settings.listen.front)
        callers.listen(port, host, backlog=_BACKLOG)
        links = PeerListener(self._node.peer_service)
        host, port = parse_address(settings.listen.control)
        links.listen(port, host, backlog=_BACKLOG)
        self._listen_http(parse_address(settings.listen.ready))
        self._listen_http((settings.ip, settings.internal_port_range[0]))
        log_event("started", zone=settings.zone, callers=settings.listen.front)
        await self._stop.wait()
        self._node.peer_service.leave()
        await self._registry.drain(settings.bounds.grace_s)
        callers.stop()
        links.stop()
        links.close_links()
        await self._node.leases.leave()
        self._node.close()
        log_event("stopped")

    def _reload(self) -> None:
        """The settings file changed; what runs keeps its addresses."""
        try:
            self._settings = load_platform_settings(self._path)
        except SettingsError as error:
            log_event("settings_refused", level=logging.ERROR, reason=str(error))
            return
        log_event("settings_reloaded")

    def _listen_http(self, address: tuple[str, int]) -> None:
        host, port = address
        HTTPServer(self._answer_http).listen(port, host)

    def _answer_http(self, request: HTTPServerRequest) -> None:
        if request.path == READY_PATH:
            ready = self._node.prepared and not self._registry.draining
            _respond(request, 200 if ready else 503, b"")
        elif request.path == STATUS_PATH:
            _respond(request, 200, msgspec.json.encode(self._node.status()))
        elif request.path == METRICS_PATH:
            _respond(request, 200, self._node.metrics.render())
        else:
            _respond(request, 404, b"")


def _respond(request: HTTPServerRequest, status: int, body: bytes) -> None:
    assert request.connection is not None
    headers = HTTPHeaders({"Content-Length": str(len(body)), "Content-Type": "text/plain"})
    line = ResponseStartLine("HTTP/1.1", status, "OK" if status == 200 else "Not OK")
    request.connection.write_headers(line, headers, body)
    request.connection.finish()


def _node(settings: PlatformSettings) -> ProxyRuntime:
    metrics = ProxyMetrics()
    store = ObjectStore(
        parse_address(settings.platform.address), metrics.store_call, metrics.silent
    )
    ports = NodePorts(
        connector=LineConnector(),
        directory=WatchedKind(store, InstanceTranslation()),
        configuration=WatchedKind(store, ConfigurationTranslation()),
        lock_store=PromotionLockObject(store),
        lock_source=WatchedKind(store, LockTranslation()),
        leases=LeaseObjects(store),
        roster_source=WatchedKind(store, RosterTranslation()),
        roster_store=RosterObjects(store),
        member_source=WatchedKind(store, MemberTranslation()),
        member_store=MemberObjects(store),
        peers=PeerStreamConnector(),
        promotions=PromotionCall(
            parse_address(settings.cloud_api.address), settings.node_name, metrics.silent
        ),
    )
    return ProxyRuntime(_own_member(settings), ports, _node_bounds(settings), metrics)


def _node_bounds(settings: PlatformSettings) -> NodeBounds:
    bounds = settings.bounds
    return NodeBounds(
        entry_outlives=settings.heartbeat_ms * _SILENT_HEARTBEATS / MILLISECONDS,
        configuration=min(bounds.config_apply_ms, bounds.contact_ms) / MILLISECONDS,
        directory=min(bounds.drain_ms, bounds.contact_ms) / MILLISECONDS,
    )


def _own_member(settings: PlatformSettings) -> ProxyMember:
    """This proxy as the others list it."""
    host, port = parse_address(settings.listen.control)
    capacity = settings.limits.cpu_share * settings.limits.cpu_cores
    return ProxyMember(settings.node_name, settings.zone, host, port, capacity)


async def _run(path: Path) -> None:
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    await PlatformProxy(path).run()


def main() -> None:
    """Entry point of the process; the settings file's path stands in the environment."""
    path = Path(os.environ[SETTINGS_VARIABLE])
    configure_logging("INFO", load_platform_settings(path).node_name)
    asyncio.run(_run(path))
