"""Opens, uses and closes the server connections of a group at its home proxy.

Owns the open connections by number. Also detects a silent connection, where a statement waits for
an answer although its instance does not run it, and gives the connection up.
`core/server_connections.py` decides which connections are opened and which request runs on which.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from orchidwind.elected.core.group_effects import RunOnConnection
from orchidwind.elected.core.statements import Column, RunResult
from orchidwind.elected.network.answer_port import AnswerPort
from orchidwind.elected.network.backend import BackendConnection
from orchidwind.elected.network.backend_state import statement_may_be_running
from orchidwind.elected.network.instance_targets import DATABASE_CONNECT_SECONDS, InstanceTargets
from orchidwind.shared.core.errors import BackendConnectionLost, BackendRefused
from orchidwind.shared.core.pool import OpenConnection
from orchidwind.shared.logs import log_event
from orchidwind.shared.silence import ConnectionKind, SilentConnection, log_silent_connection
from orchidwind.shared.task_set import TaskSet

# A caller that reads no rows for this time is given up: eight such callers occupied all replica
# connections of a home (docs/DECISIONS.md, "A caller that does not read for 2 s is given up").
_STALLED_SECONDS = 2.0
# SQLSTATE too_many_connections.
_TOO_MANY_CONNECTIONS = "53300"
# The end of an answer may still be in transit when the database already reports the backend idle.
_ANSWER_IN_FLIGHT_SECONDS = 0.25


class ConnectionEvents(Protocol):
    """Callbacks to the group that owns the connections."""

    def connection_opened(self, number: int) -> None:
        """A connection has been opened."""

    def connection_failed(self, number: int, limit_met: bool) -> None:
        """A connection could not be opened.

        `limit_met` is True if the instance has reached its connection limit.
        """

    def connection_lost(self, number: int, lost: BackendConnectionLost) -> None:
        """A connection broke or was given up."""

    def run_finished(self, number: int, result: RunResult) -> None:
        """A statement ended."""

    def answer_port(self, request: int | None) -> AnswerPort | None:
        """Return the port that receives the rows of a request, or None if none does."""

    def idle_connections(self, instance: str) -> list[int]:
        """Return the numbers of the idle connections to an instance."""


class _StallTimeoutPort(AnswerPort):
    """Limits the wait for a caller that stops reading, since it occupies a server connection."""

    def __init__(self, port: AnswerPort) -> None:
        self._port = port

    async def columns(self, columns: tuple[Column, ...]) -> None:
        """Forward the columns."""
        await self._port.columns(columns)

    async def rows(self, encoded: bytes, count: int) -> None:
        """Forward rows; raises TimeoutError if the caller does not read them in time."""
        async with asyncio.timeout(_STALLED_SECONDS):
            await self._port.rows(encoded, count)

    async def tag(self, command_tag: str) -> None:
        """Forward a command tag."""
        await self._port.tag(command_tag)

    def still_running(self) -> None:
        """Forward the notice that the statement still runs."""
        self._port.still_running()


class InstanceConnections:
    """The open server connections of one group, by number."""

    def __init__(self, targets: InstanceTargets, tasks: TaskSet, events: ConnectionEvents) -> None:
        self._targets = targets
        self._tasks = tasks
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._open: dict[int, BackendConnection] = {}
        self._instances_being_checked: set[str] = set()

    def open(self, effect: OpenConnection) -> None:
        """Start to open a connection; reports `connection_opened` or `connection_failed`."""
        self._tasks.start(self._connect(effect))

    def run(self, effect: RunOnConnection) -> None:
        """Start a statement on an open connection; reports `run_finished` or `connection_lost`."""
        self._tasks.start(self._run(effect))

    def cancel(self, number: int) -> None:
        """Ask the database to cancel the statement that runs on a connection."""
        connection = self._open.get(number)
        if connection is not None:
            self._tasks.start(connection.cancel())

    def close(self, number: int) -> None:
        """Close a connection that the group has removed; reports no event."""
        connection = self._open.pop(number, None)
        if connection is not None:
            connection.close()

    def abandon(self, number: int) -> None:
        """Close a connection while its statement runs; reports `connection_lost`."""
        connection = self._open.get(number)
        if connection is not None:
            connection.close()

    def check_backend(self, number: int, instance: str | None) -> None:
        """Start a check that closes a connection if the database does not run its statement."""
        self._tasks.start(self._check_backend(number, instance))

    def close_all(self) -> None:
        """Close every connection."""
        for connection in self._open.values():
            connection.close()

    async def _connect(self, effect: OpenConnection) -> None:
        number = effect.connection
        try:
            async with asyncio.timeout(DATABASE_CONNECT_SECONDS):
                connection = await BackendConnection.open(
                    self._targets.for_statements(effect.instance),
                    lambda: self._idle_connection_lost(number),
                )
        except (BackendRefused, TimeoutError, OSError) as error:
            limit_met = (
                isinstance(error, BackendRefused) and error.sqlstate == _TOO_MANY_CONNECTIONS
            )
            self._events.connection_failed(number, limit_met)
            return
        self._open[number] = connection
        self._events.connection_opened(number)

    def _idle_connection_lost(self, number: int) -> None:
        self._connection_lost(
            number, BackendConnectionLost("the server connection was closed", sent=False)
        )

    def _connection_lost(self, number: int, lost: BackendConnectionLost) -> None:
        connection = self._open.pop(number, None)
        if connection is None:
            return
        connection.close()
        self._events.connection_lost(number, lost)

    async def _run(self, effect: RunOnConnection) -> None:
        number = effect.connection
        connection = self._open.get(number)
        if connection is None:
            return
        try:
            result = await self._answer(connection, effect)
        except BackendConnectionLost as lost:
            self._connection_lost(number, lost)
        except TimeoutError:
            stalled = BackendConnectionLost("the caller stopped reading", sent=True, delivered=True)
            self._connection_lost(number, stalled)
        except Exception as error:
            log_event("statement_failed_unexpectedly", level=logging.ERROR, reason=repr(error))
            failed = BackendConnectionLost(str(error), sent=True, delivered=True)
            self._connection_lost(number, failed)
        else:
            self._events.run_finished(number, result)

    async def _answer(self, connection: BackendConnection, effect: RunOnConnection) -> RunResult:
        if effect.describe:
            return await connection.describe(effect.statement)
        port = self._events.answer_port(effect.deliver_to)
        return await connection.run(
            effect.statement, None if port is None else _StallTimeoutPort(port)
        )

    async def _check_backend(self, number: int, instance: str | None) -> None:
        """Close a connection as silent if the database does not run its statement."""
        connection = self._open.get(number)
        if connection is None or instance is None or instance in self._instances_being_checked:
            return
        self._instances_being_checked.add(instance)
        last_bytes_at = connection.last_bytes_at
        try:
            if await statement_may_be_running(
                self._targets.for_status(instance), connection.backend_pid
            ):
                return
        except (BackendConnectionLost, BackendRefused, TimeoutError, OSError) as error:
            log_event("backend_state_not_read", instance=instance, reason=repr(error))
            return
        finally:
            self._instances_being_checked.discard(instance)
        await asyncio.sleep(_ANSWER_IN_FLIGHT_SECONDS)
        if self._open.get(number) is connection and connection.last_bytes_at == last_bytes_at:
            self._close_silent(instance, number, connection)

    def _close_silent(self, instance: str, number: int, connection: BackendConnection) -> None:
        """Close a silent connection and all idle connections to the same instance.

        The idle ones are likely to be silent too, and each would then lose a statement, while
        opening a new connection is cheap.
        """
        now = self._loop.time()
        log_silent_connection(
            SilentConnection(
                ConnectionKind.INSTANCE_RUNNING,
                instance,
                now - connection.opened_at,
                now - connection.last_bytes_at,
                1,
                "it is closed, and so are the idle connections to the instance",
                self._targets.database.name,
            )
        )
        self._connection_lost(number, BackendConnectionLost("the connection is silent", sent=True))
        for idle in self._events.idle_connections(instance):
            self._idle_connection_lost(idle)
