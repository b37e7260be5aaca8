"""One proxy process for elected groups: listener, home service, links, membership, object API.

Owns: the order in which the parts start and stop. Relies on: validated settings, and on each part
to log its own errors.
"""

from __future__ import annotations

import asyncio

from tornado.httpserver import HTTPServer

from orchidwind.elected.metrics import Metrics
from orchidwind.elected.network import operator_http
from orchidwind.elected.network.cluster import Cluster
from orchidwind.elected.network.front import FrontService
from orchidwind.elected.network.front_session import FrontExecutor
from orchidwind.elected.network.group_runner import GroupRunner
from orchidwind.elected.network.home_service import HomeService
from orchidwind.elected.network.link_server import LinkServer
from orchidwind.elected.network.object_api_client import ObjectApiClient
from orchidwind.elected.network.object_api_watch import ObjectApiWatch
from orchidwind.elected.network.operator_http import (
    DatabaseStatus,
    InstanceStatus,
    MemberStatus,
    OperatorTarget,
    ProxyStatus,
)
from orchidwind.elected.postgres.executor import Executor, SessionParameters
from orchidwind.elected.postgres.listener import PostgresListener
from orchidwind.elected.postgres.scram import ScramVerifier
from orchidwind.elected.postgres.session_host import SessionHost
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.core.positions import format_lsn
from orchidwind.shared.logs import log_event
from orchidwind.shared.settings import ProxySettings

# The time that other proxies have to learn of a planned stop. All of 100 proxies had learned of one
# after 0.7 s (docs/DECISIONS.md, "Urgent membership news is pushed"); this time is shorter, and
# requests that arrive after it are sent back.
_ANNOUNCE_SECONDS = 0.5
# Bounds the delay until the end of the last request is noticed: a tenth of the announcement time.
_DRAIN_CHECK_SECONDS = 0.05


class CallerHost(SessionHost):
    """Authenticates callers and opens their sessions by the configuration in force."""

    def __init__(self, cluster: Cluster, front: FrontService) -> None:
        self.listener: PostgresListener | None = None
        self._cluster = cluster
        self._front = front
        self._verifiers: dict[tuple[str, str], ScramVerifier] = {}

    def verifier(self, user: str) -> ScramVerifier | None:
        """Return the verifier of a user, created at the first login; None for an unknown user."""
        password = self._password(user)
        if password is None:
            return None
        key = (user, password)
        if key not in self._verifiers:
            self._verifiers[key] = ScramVerifier(password)
        return self._verifiers[key]

    def _password(self, user: str) -> str | None:
        content = self._cluster.content
        for item in content.users if content else []:
            if item.name == user:
                return item.password
        return None

    def knows_user(self, user: str) -> bool:
        """Return False: no user may log in without a password."""
        return False

    async def open(self, parameters: SessionParameters) -> Executor:
        """Open a session of a configured database; raises RequestError for an unknown one."""
        if parameters.database not in self._cluster.databases:
            raise RequestError(
                ErrorKind.UNKNOWN_DATABASE, f'database "{parameters.database}" does not exist'
            )
        return FrontExecutor(self._front, parameters)

    def cancel(self, process_id: int, secret: int) -> None:
        """Cancel the statement that runs on another connection."""
        if self.listener is not None:
            self.listener.cancel(process_id, secret)


class ProxyDaemon(OperatorTarget):
    """Connects the parts of the proxy; `run` returns when the proxy has drained."""

    def __init__(self, settings: ProxySettings) -> None:
        self._settings = settings
        self._metrics = Metrics()
        self._cluster = Cluster(settings, self._on_roles)
        self._homes = HomeService(self._cluster.node, self._cluster)
        self._cluster.on_lease = self._homes.on_lease_answer
        front = FrontService(self._cluster, self._homes, self._metrics)
        host = CallerHost(self._cluster, front)
        self._listener = PostgresListener(
            host,
            maximum_connections=settings.maximum_callers,
            on_error=self._metrics.error_answered,
        )
        host.listener = self._listener
        self._links = LinkServer(self._homes, self._cluster.reply)
        self._operator: HTTPServer | None = None
        self._stop = asyncio.Event()
        self._draining = False

    async def run(self) -> None:
        """Serve until drained."""
        settings = self._settings
        self._links.listen(settings.peer_port, settings.host)
        self._operator = operator_http.listen(self, settings.host, settings.operator_port)
        await self._cluster.start()
        self._listener.listen(settings.caller_port, settings.caller_host or settings.host)
        log_event("proxy_started", zone=settings.zone, caller_port=settings.caller_port)
        client = ObjectApiClient(settings.platform_url)
        watch = asyncio.create_task(ObjectApiWatch(client, self._cluster, self._metrics).run())
        await self._stop.wait()
        await self._finish_work()
        watch.cancel()
        self._close()
        log_event("proxy_stopped")

    def drain(self) -> None:
        """Begin a planned stop: `run` announces it and lets running requests finish."""
        if not self._draining:
            self._draining = True
            self._stop.set()

    async def _finish_work(self) -> None:
        """Drain in an order that interrupts no request.

        The other proxies learn of the stop first, so that their new requests go elsewhere. Only
        then does this proxy stop accepting requests as home; late ones are sent back without being
        run. Callers are served through the new homes until they disconnect; those that remain after
        `linger_seconds` are closed between transactions.
        """
        log_event("drain_started", callers=len(self._listener.sessions))
        self._listener.stop()
        self._cluster.leave()
        await asyncio.sleep(_ANNOUNCE_SECONDS)
        self._homes.stop_serving()
        loop = asyncio.get_running_loop()
        linger_ends_at = loop.time() + self._settings.linger_seconds
        drain_ends_at = loop.time() + self._settings.drain_seconds
        while loop.time() < drain_ends_at:
            if loop.time() >= linger_ends_at:
                for session in list(self._listener.sessions.values()):
                    session.stop()
            if not self._listener.sessions and self._homes.idle:
                return
            await asyncio.sleep(_DRAIN_CHECK_SECONDS)
        log_event("drain_bound_reached", callers=len(self._listener.sessions))

    def _close(self) -> None:
        for session in list(self._listener.sessions.values()):
            session.close()
        self._links.stop()
        self._links.close_links()
        self._homes.close()
        self._cluster.close()
        if self._operator is not None:
            self._operator.stop()

    def _on_roles(self) -> None:
        content = self._cluster.content
        if content is not None and not self._draining:
            self._homes.apply(content, self._cluster.placement)

    # --- Operated -----------------------------------------------------------------------------

    def metrics(self) -> bytes:
        """Return the metrics after updating the gauges."""
        gauges = self._metrics.gauges
        gauges.callers.set(len(self._listener.sessions))
        gauges.members.set(len(self._cluster.members.membership.usable()))
        gauges.homes.set(len(self._homes.runners))
        gauges.configuration_version.set(self._cluster.history.version)
        members = self._cluster.members
        gauges.suspicions.set(members.membership.suspicions)
        gauges.gossip_bytes.set(members.sent_bytes + members.received_bytes)
        return self._metrics.render()

    def status(self) -> ProxyStatus:
        """Return the state of the proxy."""
        return ProxyStatus(
            name=self._settings.name,
            zone=self._settings.zone,
            ready=self._cluster.content is not None and not self._draining,
            draining=self._draining,
            configuration_version=self._cluster.history.version,
            callers=len(self._listener.sessions),
            members=[
                MemberStatus(item.name, item.zone, item.state.name.lower(), item.leaving)
                for item in self._cluster.members.membership.members.values()
            ],
            databases=[_database_status(runner) for runner in self._homes.runners.values()],
        )


def _database_status(runner: GroupRunner) -> DatabaseStatus:
    group = runner.group
    primary = group.view.primary()
    instances = []
    for name, report in group.view.reports.items():
        pool = group.connections.pools[name]
        instances.append(
            InstanceStatus(
                name=name,
                reachable=name not in group.view.unreachable,
                in_recovery=report.in_recovery,
                term=report.term,
                received=str(report.received),
                replayed_lsn=format_lsn(report.replayed_lsn),
                open_connections=pool.size,
                queued_requests=len(pool.queue),
            )
        )
    return DatabaseStatus(
        name=runner.database.name,
        primary=primary.instance if primary else "",
        instances=instances,
        open_transactions=len(group.transactions),
        commits_waiting=len(group.barrier.pending),
    )
