"""The operators' HTTP port: `/metrics`, `/healthz`, `/readyz`, `/status`, `POST /drain`.

Owns: the formats that operators and their programs read. Relies on: the daemon (`OperatorTarget`)
for the data and for the planned stop.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

import msgspec
import tornado.web
from tornado.httpserver import HTTPServer


class MemberStatus(msgspec.Struct, frozen=True):
    """The state of one member of the cluster, as this proxy sees it."""

    name: str
    zone: str
    state: str
    leaving: bool


class InstanceStatus(msgspec.Struct, frozen=True):
    """The state of a database instance as last reported to its home here.

    `received` is a log position in the form TERM:LSN.
    """

    name: str
    reachable: bool
    in_recovery: bool
    term: int
    received: str
    replayed_lsn: str
    open_connections: int
    queued_requests: int


class DatabaseStatus(msgspec.Struct, frozen=True):
    """The state of a database that this proxy is home of."""

    name: str
    primary: str
    instances: list[InstanceStatus]
    open_transactions: int
    commits_waiting: int


class ProxyStatus(msgspec.Struct, frozen=True):
    """The state of one proxy."""

    name: str
    zone: str
    ready: bool
    draining: bool
    configuration_version: int
    callers: int
    members: list[MemberStatus]
    databases: list[DatabaseStatus]


class OperatorTarget(ABC):
    """Provides the data and operations of the operators' port; implemented by the daemon."""

    @abstractmethod
    def status(self) -> ProxyStatus:
        """Return the state of the proxy."""

    @abstractmethod
    def metrics(self) -> bytes:
        """Return the metrics in Prometheus' text format."""

    @abstractmethod
    def drain(self) -> None:
        """Begin a planned stop."""


class _Handler(tornado.web.RequestHandler):
    operated: OperatorTarget

    def initialize(self, operated: OperatorTarget) -> None:
        """Keep the proxy that the handler serves."""
        self.operated = operated


class MetricsHandler(_Handler):
    """`GET /metrics`."""

    def get(self) -> None:
        """Send the metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.operated.metrics())


class HealthHandler(_Handler):
    """`GET /healthz`: 200 while the process runs."""

    def get(self) -> None:
        """Answer that the process runs."""
        self.finish("ok\n")


class ReadyHandler(_Handler):
    """`GET /readyz`: 200 while callers may connect, else 503."""

    def get(self) -> None:
        """Answer whether the proxy is ready."""
        ready = self.operated.status().ready
        self.set_status(200 if ready else 503)
        self.finish("ready\n" if ready else "not ready\n")


class StatusHandler(_Handler):
    """`GET /status`."""

    def get(self) -> None:
        """Send the state of the proxy as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(self.operated.status()))


class DrainHandler(_Handler):
    """`POST /drain`."""

    def post(self) -> None:
        """Begin a planned stop."""
        self.operated.drain()
        self.set_status(202)
        self.finish("draining\n")


def listen(operated: OperatorTarget, host: str, port: int) -> HTTPServer:
    """Open the operators' port and return its server."""
    routes = [
        ("/metrics", MetricsHandler),
        ("/healthz", HealthHandler),
        ("/readyz", ReadyHandler),
        ("/status", StatusHandler),
        ("/drain", DrainHandler),
    ]
    arguments = {"operated": operated}
    application = tornado.web.Application(
        [(path, handler, arguments) for path, handler in routes],
        log_function=lambda handler: None,
    )
    return application.listen(port, host)
