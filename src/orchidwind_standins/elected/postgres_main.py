"""`orchidwind-standin-postgres`: one instance of a stand-in database group."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Iterable
from pathlib import Path

import defopt
import msgspec
import tornado.web
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from orchidwind.elected.postgres.executor import Executor, SessionParameters
from orchidwind.elected.postgres.listener import PostgresListener
from orchidwind.elected.postgres.scram import ScramVerifier
from orchidwind.elected.postgres.session_host import SessionHost
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind_standins.elected import frames, group_settings
from orchidwind_standins.elected.group_settings import Faults, GroupSettings, InstanceSettings
from orchidwind_standins.elected.replication import (
    Change,
    GroupMessage,
    GroupTimings,
    Instance,
    Outgoing,
)
from orchidwind_standins.elected.session_server import SessionServer
from orchidwind_standins.elected.sql_session import SqlSession
from orchidwind_standins.elected.sql_store import SqlStore

_PEER_QUEUE_BYTES = 512 * 1024 * 1024
_RECONNECT_SECONDS = 0.1
_MAXIMUM_CONNECTIONS = 2_000
_MILLISECONDS = 1000.0
_MINIMUM_SLEEP_SECONDS = 0.001


class PeerSender:
    """Sends replication messages to one other instance; drops them while it is not connected."""

    def __init__(self, settings: InstanceSettings) -> None:
        self._settings = settings
        self._stream: IOStream | None = None

    async def run(self) -> None:
        """Connect, and reconnect after each disconnection."""
        while True:
            try:
                stream = await TCPClient().connect(
                    self._settings.host, self._settings.peer_port, max_buffer_size=_PEER_QUEUE_BYTES
                )
                stream.set_nodelay(True)
                self._stream = stream
                await stream.read_until_close()
            except (StreamClosedError, OSError):
                pass
            self._stream = None
            await asyncio.sleep(_RECONNECT_SECONDS)

    def send(self, message: GroupMessage) -> None:
        """Send a message, or drop it if there is no connection."""
        if self._stream is not None and not self._stream.closed():
            self._stream.write(frames.encode(message))


class PeerListener(TCPServer):
    """Accepts connections of the other instances and receives their replication messages."""

    def __init__(self, server: PostgresInstance) -> None:
        super().__init__()
        self._server = server
        self._decoder: msgspec.msgpack.Decoder[GroupMessage] = msgspec.msgpack.Decoder(GroupMessage)

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Read messages until the connection ends."""
        try:
            while True:
                self._server.receive(await frames.read(stream, self._decoder))
        except StreamClosedError:
            return


class PostgresInstance(SessionServer, SessionHost):
    """Runs one replicated `Instance` with sockets, SQLite and timers."""

    def __init__(self, settings: GroupSettings, name: str, *, rejoin: bool) -> None:
        self.settings = settings
        self.own_settings = settings.instance(name)
        self.store = SqlStore(self._drop_sessions)
        self.instance = Instance(
            name,
            [member.name for member in settings.instances],
            self.store,
            seed=settings.seed,
            timings=GroupTimings(replay_lag=settings.replay_lag_ms / _MILLISECONDS),
            first_primary=None if rejoin else settings.first_primary,
            may_vote=not rejoin,
        )
        self.write_lock = asyncio.Lock()
        self.statements = 0
        # Names of the instances and of the callers' zones from which this instance is partitioned.
        self._cut_peers: list[str] = []
        self._cut_zones: list[str] = []
        self._cuts_changed = asyncio.Event()
        self._sessions: set[SqlSession] = set()
        self._was_primary = self.instance.is_primary
        self._verifiers = {
            user: ScramVerifier(password) for user, password in settings.users.items()
        }
        self._senders = {
            peer.name: PeerSender(peer) for peer in settings.instances if peer.name != name
        }
        self._listener = PostgresListener(self, maximum_connections=_MAXIMUM_CONNECTIONS)

    def listen(self) -> None:
        """Listen for SQL callers, for other instances and for control requests."""
        self._listener.listen(self.own_settings.port, self.own_settings.host)
        PeerListener(self).listen(self.own_settings.peer_port, self.own_settings.host)
        routes = [("/status", StatusHandler), ("/fault", FaultHandler), ("/log", LogHandler)]
        arguments = {"server": self}
        application = tornado.web.Application(
            [(path, handler, arguments) for path, handler in routes], log_function=lambda h: None
        )
        application.listen(self.own_settings.control_port, self.own_settings.host)

    async def run(self, stop: asyncio.Event) -> None:
        """Replicate until `stop` is set, then remove the store's files."""
        tasks = [asyncio.create_task(sender.run()) for sender in self._senders.values()]
        tasks.append(asyncio.create_task(self._tick()))
        await stop.wait()
        for task in tasks:
            task.cancel()
        self.store.close()

    async def _tick(self) -> None:
        self.instance.start(self._now())
        while True:
            self._send(self.instance.tick(self._now()))
            self._check_role()
            delay = self.instance.deadline() - self._now()
            await asyncio.sleep(max(delay, _MINIMUM_SLEEP_SECONDS))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def receive(self, message: GroupMessage) -> None:
        """Handle a replication message; drops it if its sender is partitioned."""
        if message.sender in self._cut_peers:
            return
        self._send(self.instance.receive(self._now(), message))
        self._check_role()

    def _send(self, outgoing: Iterable[Outgoing]) -> None:
        for item in outgoing:
            if item.recipient not in self._cut_peers:
                self._senders[item.recipient].send(item.message)

    def _check_role(self) -> None:
        if self._was_primary and not self.instance.is_primary:
            self._drop_sessions()
        self._was_primary = self.instance.is_primary

    def _drop_sessions(self) -> None:
        for session in list(self._listener.sessions.values()):
            session.close()

    def commit(self, transaction: int, changes: list[Change]) -> None:
        """Append a transaction to the log and send it to the replicas."""
        self._send(self.instance.commit(transaction, changes))

    async def on_request(self, session: SqlSession) -> None:
        """Count the statement; wait for latency, partitions and the simulated statement time."""
        if session.parameters.user not in self.settings.reserved_users:
            self.statements += 1
        await self._simulate_network(session.zone)
        if self.settings.statement_ms:
            await asyncio.sleep(self.settings.statement_ms / _MILLISECONDS)

    async def on_response(self, session: SqlSession) -> None:
        """Wait for network latency and partitions before the response."""
        await self._simulate_network(session.zone)

    async def _simulate_network(self, zone: str) -> None:
        if self.settings.zone_latency_ms and zone != self.own_settings.zone:
            await asyncio.sleep(self.settings.zone_latency_ms / _MILLISECONDS)
        while zone in self._cut_zones:
            await self._cuts_changed.wait()

    def activity(self) -> str:
        """Return the process id and state of each session, as JSON."""
        sessions = self._listener.sessions.items()
        states = [(process, "active" if item.busy else "idle") for process, item in sessions]
        return msgspec.json.encode(states).decode()

    def session_closed(self, session: SqlSession) -> None:
        """Remove a closed session from the list of open ones."""
        self._sessions.discard(session)

    def verifier(self, user: str) -> ScramVerifier | None:
        """Return the verifier of a user of the settings, or None."""
        return self._verifiers.get(user)

    def knows_user(self, user: str) -> bool:
        """Whether the user is in the settings; all users there have passwords."""
        return user in self._verifiers

    async def open(self, parameters: SessionParameters) -> Executor:
        """Open a session, which takes `connect_ms`.

        Raises RequestError if the database is unknown or the connection limit is reached.
        """
        session = SqlSession(self, parameters)
        await self._simulate_network(session.zone)
        if parameters.database not in self.settings.databases:
            raise RequestError(
                ErrorKind.UNKNOWN_DATABASE, f'database "{parameters.database}" does not exist'
            )
        if not self._has_free_connection(parameters.user):
            raise RequestError(
                ErrorKind.TOO_MANY_CALLERS, "sorry, too many clients already (stand-in)"
            )
        self._sessions.add(session)
        await asyncio.sleep(self.settings.connect_ms / _MILLISECONDS)
        return session

    def _has_free_connection(self, user: str) -> bool:
        if user in self.settings.reserved_users:
            return True
        ordinary = [
            session
            for session in self._sessions
            if session.parameters.user not in self.settings.reserved_users
        ]
        return len(ordinary) < self.settings.connection_limit

    def cancel(self, process_id: int, secret: int) -> None:
        """Pass a cancel request to the listener."""
        self._listener.cancel(process_id, secret)

    def apply_faults(self, faults: Faults) -> None:
        """Apply a fault command."""
        if faults.cut_peers is not None:
            self._cut_peers = faults.cut_peers
        if faults.cut_zones is not None:
            self._cut_zones = faults.cut_zones
            self._cuts_changed.set()
            self._cuts_changed = asyncio.Event()
        if faults.replay_lag_ms is not None:
            self.instance.set_replay_lag(faults.replay_lag_ms / _MILLISECONDS)
        if faults.switchover and not self.instance.is_primary:
            self._send(self.instance.force_election(self._now()))

    def status(self) -> InstanceStatusReport:
        """Return the state that `/status` reports."""
        instance = self.instance
        return InstanceStatusReport(
            name=instance.name,
            primary=instance.is_primary,
            term=instance.term,
            received=str(instance.received),
            replayed=str(instance.replayed),
            sessions=len(self._sessions),
            statements=self.statements,
        )


class InstanceStatusReport(msgspec.Struct, frozen=True):
    """The state of one instance, for operators of the stand-in and for the benchmarks.

    `statements` is the number of statements of ordinary users.
    """

    name: str
    primary: bool
    term: int
    received: str
    replayed: str
    sessions: int
    statements: int


class _Handler(tornado.web.RequestHandler):
    server: PostgresInstance

    def initialize(self, server: PostgresInstance) -> None:
        """Store the instance; tornado calls this for each request."""
        self.server = server

    def answer(self, body: object) -> None:
        """Send `body` as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))


class StatusHandler(_Handler):
    """`GET /status`."""

    def get(self) -> None:
        """Return the state of the instance."""
        self.answer(self.server.status())


class FaultHandler(_Handler):
    """`POST /fault` with a Faults object."""

    def post(self) -> None:
        """Apply a fault command; 400 if it is invalid."""
        try:
            faults = msgspec.json.decode(self.request.body, type=Faults)
        except msgspec.ValidationError as error:
            self.set_status(400)
            self.finish(str(error))
            return
        self.server.apply_faults(faults)
        self.answer(self.server.status())


class LogHandler(_Handler):
    """`GET /log`: all committed records, for the consistency checks."""

    def get(self) -> None:
        """Return the log as msgpack, because parameters may be bytes."""
        self.finish(msgspec.msgpack.encode(self.server.instance.log.records))


def serve(settings: Path, instance: str, *, rejoin: bool = False) -> None:
    """Run one instance of a stand-in PostgreSQL group.

    :param settings: TOML file of the group
    :param instance: name of the instance to run
    :param rejoin: start empty, and do not vote before following a primary
    """
    asyncio.run(_serve(group_settings.load(settings), instance, rejoin))


async def _serve(settings: GroupSettings, name: str, rejoin: bool) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    server = PostgresInstance(settings, name, rejoin=rejoin)
    server.listen()
    await server.run(stop)


def main() -> None:
    """Entry point of `orchidwind-standin-postgres`."""
    defopt.run(serve)
