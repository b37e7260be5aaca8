"""The server connections of a home: opened, run on, and closed as its group says.

Owns the open connections by number. A statement that its instance does not run, since the
connection is silent, is found here and given up. `core/server_connections.py` decides what is
opened and who runs where.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from orchidwind.elected.core.group_effects import RunOnConnection
from orchidwind.elected.core.statements import Column, RunResult
from orchidwind.elected.network.answer_port import AnswerPort
from orchidwind.elected.network.backend import BackendConnection
from orchidwind.elected.network.backend_state import still_runs
from orchidwind.elected.network.instance_targets import DATABASE_CONNECT_SECONDS, InstanceTargets
from orchidwind.shared.core.errors import BackendConnectionLost, BackendRefused
from orchidwind.shared.core.pool import OpenConnection
from orchidwind.shared.logs import log_event
from orchidwind.shared.silence import ConnectionKind, SilentConnection, log_silent_connection
from orchidwind.shared.task_set import TaskSet

# A caller that takes no rows for this time is given up; eight such callers held all replica
# connections of a home (docs/DECISIONS.md, "A caller that does not read for 2 s is given up").
_STALLED_SECONDS = 2.0
# SQLSTATE too_many_connections.
_LIMIT_MET = "53300"
# The end of an answer may be on its way while the database already rests.
_ANSWER_ON_ITS_WAY_SECONDS = 0.25


class ConnectionEvents(Protocol):
    """The group that the connections serve."""

    def connection_opened(self, number: int) -> None:
        """A connection is ready."""

    def connection_failed(self, number: int, limit_met: bool) -> None:
        """A connection could not be opened; `limit_met`: the instance allows no more."""

    def connection_lost(self, number: int, lost: BackendConnectionLost) -> None:
        """A connection broke, or was given up."""

    def run_finished(self, number: int, result: RunResult) -> None:
        """A statement ended."""

    def answer_port(self, request: int | None) -> AnswerPort | None:
        """Where the rows for a request go; None where nobody takes them."""

    def idle_connections(self, instance: str) -> list[int]:
        """The connections to an instance that nobody uses."""


class _ImpatientPort(AnswerPort):
    """Gives a caller that stops reading up, since it holds a scarce server connection."""

    def __init__(self, port: AnswerPort) -> None:
        self._port = port

    async def columns(self, columns: tuple[Column, ...]) -> None:
        """Pass the columns on."""
        await self._port.columns(columns)

    async def rows(self, encoded: bytes, count: int) -> None:
        """Pass rows on; raises TimeoutError where the caller takes none for too long."""
        async with asyncio.timeout(_STALLED_SECONDS):
            await self._port.rows(encoded, count)

    async def tag(self, command_tag: str) -> None:
        """Pass a tag on."""
        await self._port.tag(command_tag)

    def still_running(self) -> None:
        """Pass on that the statement runs."""
        self._port.still_running()


class InstanceConnections:
    """The connections of one group, by number."""

    def __init__(self, targets: InstanceTargets, tasks: TaskSet, events: ConnectionEvents) -> None:
        self._targets = targets
        self._tasks = tasks
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._open: dict[int, BackendConnection] = {}
        self._asked_for_backends: set[str] = set()

    def open(self, effect: OpenConnection) -> None:
        """Open a connection."""
        self._tasks.start(self._connect(effect))

    def run(self, effect: RunOnConnection) -> None:
        """Run a statement."""
        self._tasks.start(self._run(effect))

    def cancel(self, number: int) -> None:
        """Ask the database to cancel what runs on a connection."""
        connection = self._open.get(number)
        if connection is not None:
            self._tasks.start(connection.cancel())

    def close(self, number: int) -> None:
        """Close a connection that the group has dropped."""
        connection = self._open.pop(number, None)
        if connection is not None:
            connection.close()

    def abandon(self, number: int) -> None:
        """Break a connection under its statement; `connection_lost` follows."""
        connection = self._open.get(number)
        if connection is not None:
            connection.close()

    def check_backend(self, number: int, instance: str | None) -> None:
        """Find out whether the database still runs the statement of a connection."""
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
                    self._targets.for_statements(effect.instance), lambda: self._idle_lost(number)
                )
        except (BackendRefused, TimeoutError, OSError) as error:
            limit_met = isinstance(error, BackendRefused) and error.sqlstate == _LIMIT_MET
            self._events.connection_failed(number, limit_met)
            return
        self._open[number] = connection
        self._events.connection_opened(number)

    def _idle_lost(self, number: int) -> None:
        self._lost(number, BackendConnectionLost("the server connection was closed", sent=False))

    def _lost(self, number: int, lost: BackendConnectionLost) -> None:
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
            self._lost(number, lost)
        except TimeoutError:
            stalled = BackendConnectionLost("the caller stopped reading", sent=True, delivered=True)
            self._lost(number, stalled)
        except Exception as error:
            log_event("statement_failed_unexpectedly", level=logging.ERROR, reason=repr(error))
            failed = BackendConnectionLost(str(error), sent=True, delivered=True)
            self._lost(number, failed)
        else:
            self._events.run_finished(number, result)

    async def _answer(self, connection: BackendConnection, effect: RunOnConnection) -> RunResult:
        if effect.describe:
            return await connection.describe(effect.statement)
        port = self._events.answer_port(effect.deliver_to)
        return await connection.run(
            effect.statement, None if port is None else _ImpatientPort(port)
        )

    async def _check_backend(self, number: int, instance: str | None) -> None:
        """Give a connection up whose statement the database does not run, or no more."""
        connection = self._open.get(number)
        if connection is None or instance is None or instance in self._asked_for_backends:
            return
        self._asked_for_backends.add(instance)
        last_bytes_at = connection.last_bytes_at
        try:
            if await still_runs(self._targets.for_status(instance), connection.backend):
                return
        except (BackendConnectionLost, BackendRefused, TimeoutError, OSError) as error:
            log_event("backend_state_not_read", instance=instance, reason=repr(error))
            return
        finally:
            self._asked_for_backends.discard(instance)
        await asyncio.sleep(_ANSWER_ON_ITS_WAY_SECONDS)
        if self._open.get(number) is connection and connection.last_bytes_at == last_bytes_at:
            self._found_silent(instance, number, connection)

    def _found_silent(self, instance: str, number: int, connection: BackendConnection) -> None:
        """Close it, and those at rest: they cost little, and a statement each if silent, too."""
        now = self._loop.time()
        log_silent_connection(
            SilentConnection(
                ConnectionKind.INSTANCE_RUNNING,
                instance,
                now - connection.opened_at,
                now - connection.last_bytes_at,
                1,
                "it is closed, and so are those at rest",
                self._targets.database.name,
            )
        )
        self._lost(number, BackendConnectionLost("the connection is silent", sent=True))
        for idle in self._events.idle_connections(instance):
            self._idle_lost(idle)
