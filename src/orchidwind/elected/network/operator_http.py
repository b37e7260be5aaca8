"""The operators' HTTP port: `/metrics`, `/healthz`, `/readyz`, `/status`, `POST /drain`.

Owns: the forms that operators and their programs read. Relies on: the daemon (`Operated`) for what
they show; nothing is decided here.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

import msgspec
import tornado.web
from tornado.httpserver import HTTPServer


class MemberStatus(msgspec.Struct, frozen=True):
    """One proxy as this one sees it."""

    name: str
    zone: str
    state: str
    leaving: bool


class InstancePage(msgspec.Struct, frozen=True):
    """One database instance as its home here sees it. Positions are TERM:LSN."""

    name: str
    reachable: bool
    in_recovery: bool
    term: int
    received: str
    replayed_lsn: str
    open_connections: int
    queued_requests: int


class DatabaseStatus(msgspec.Struct, frozen=True):
    """One database that this proxy is home of."""

    name: str
    primary: str
    instances: list[InstancePage]
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


class Operated(ABC):
    """What the port shows and does."""

    @abstractmethod
    def status(self) -> ProxyStatus:
        """The state of the proxy."""

    @abstractmethod
    def metrics(self) -> bytes:
        """The figures."""

    @abstractmethod
    def drain(self) -> None:
        """Begin a planned stop."""


class _Handler(tornado.web.RequestHandler):
    operated: Operated

    def initialize(self, operated: Operated) -> None:
        """Take the proxy."""
        self.operated = operated


class MetricsHandler(_Handler):
    """`GET /metrics`."""

    def get(self) -> None:
        """Show the figures."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.operated.metrics())


class HealthHandler(_Handler):
    """`GET /healthz`: the process runs."""

    def get(self) -> None:
        """Answer."""
        self.finish("ok\n")


class ReadyHandler(_Handler):
    """`GET /readyz`: 200 while callers may connect, else 503."""

    def get(self) -> None:
        """Answer."""
        ready = self.operated.status().ready
        self.set_status(200 if ready else 503)
        self.finish("ready\n" if ready else "not ready\n")


class StatusHandler(_Handler):
    """`GET /status`."""

    def get(self) -> None:
        """Show the state."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(self.operated.status()))


class DrainHandler(_Handler):
    """`POST /drain`."""

    def post(self) -> None:
        """Begin a planned stop."""
        self.operated.drain()
        self.set_status(202)
        self.finish("draining\n")


def listen(operated: Operated, host: str, port: int) -> HTTPServer:
    """Open the port."""
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
