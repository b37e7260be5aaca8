"""Detects and closes silent server connections of one group.

It checks idle connections, connections that transactions hold at rest, and connections on which
reads run, and reports each silent one with one log line and one count. The rules and time limits
are in `core/instance_silence`. `StatusCalls` opens a new connection for comparison: if that does
not answer either, the instance may be at fault and no connection counts as silent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from typing import TypeVar

from orchidwind.promoted.core.instance_silence import (
    ANSWER_OVERDUE_SECONDS,
    CONNECTION_CHECK_PAUSE_SECONDS,
    SILENT_AFTER_NEW_SECONDS,
    STATUS_HEDGE_SECONDS,
    STATUS_SECONDS,
    InstancePauses,
    resting_answer_time_left,
)
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.group.connections import GroupConnections
from orchidwind.promoted.group.outstanding_writes import OutstandingWrites
from orchidwind.promoted.group.resting_connections import RestingConnections
from orchidwind.promoted.group.status_calls import StatusCalls, status_query
from orchidwind.shared.core.errors import BackendConnectionLost, BackendRefused
from orchidwind.shared.logs import log_event
from orchidwind.shared.silence import ConnectionKind, OnSilent, SilentConnection
from orchidwind.shared.task_set import TaskSet

Answer = TypeVar("Answer")


class SilentConnections:
    """Checks the connections of one group. Times are in seconds of the loop's clock."""

    def __init__(
        self,
        topology: GroupTopology,
        connections: GroupConnections,
        writes: OutstandingWrites,
        calls: StatusCalls,
        on_silent: OnSilent,
    ) -> None:
        self._topology = topology
        self._connections = connections
        self._writes = writes
        self._calls = calls
        self._on_silent = on_silent
        self._loop = asyncio.get_running_loop()
        self._tasks = TaskSet()
        self._check_pauses = InstancePauses(CONNECTION_CHECK_PAUSE_SECONDS)
        self.resting = RestingConnections(connections, self.close_silent_resting)

    def check(self, instance: str, since: float) -> None:
        """Check the connections to an instance, as an exchange has had no answer since a time."""
        now = self._loop.time()
        if not self._check_pauses.due(instance, now):
            return
        self._check_pauses.begin(instance, now)
        self.resting.check(instance, since)
        self._tasks.start(self._check_idle_and_running(instance, since))

    async def _check_idle_and_running(self, instance: str, since: float) -> None:
        if not await self._close_silent_idle(instance, since):
            return
        reads = self._writes.reads_at(instance, self._loop.time() - ANSWER_OVERDUE_SECONDS)
        for connection in reads:
            decision = "its read goes elsewhere, its transaction is lost"
            self._report_silent(
                ConnectionKind.INSTANCE_RUNNING, instance, connection, decision, owed=1
            )
        self._close_links(reads)

    def end_reads(self, instance: str) -> None:
        """End the reads at an unreachable instance, as they can be retried elsewhere.

        A write that was sent may still be answered, so it continues.
        """
        self._close_links(self._writes.reads_at(instance, self._loop.time()))

    def _close_links(self, reads: list[int]) -> None:
        for connection in reads:
            self._connections.records.links[connection].close()

    async def _close_silent_idle(self, instance: str, since: float) -> int:
        """Close idle connections that stay silent while a new one answers; returns how many.

        Only connections that have delivered nothing since a time are queried.
        """
        taken = self._connections.borrow_idle_silent(instance, since)
        if not taken:
            return 0
        asking = {
            self._loop.create_task(self._calls.ask_on_borrowed(item, status_query)): item
            for item in taken
        }
        silent: list[int] = []
        try:
            async with asyncio.timeout(STATUS_SECONDS):
                await self._calls.ask_on_new_connection(instance, status_query)
                await asyncio.wait(asking, timeout=SILENT_AFTER_NEW_SECONDS)
            silent = _unanswered(asking)
            for connection in silent:
                self._report_silent(ConnectionKind.INSTANCE_IDLE, instance, connection, "close it")
        except (BackendRefused, BackendConnectionLost, TimeoutError) as error:
            log_event("silence_not_confirmed", instance=instance, reason=repr(error))
            await asyncio.wait(asking, timeout=STATUS_SECONDS)
        finally:
            # A connection whose query is cancelled is closed when it returns to the pool.
            await _cancel(asking)
        return len(silent)

    async def close_silent_resting(self, instance: str, since: float) -> int:
        """Close connections held at rest that stay silent while a new one answers.

        Returns how many. Only connections that have delivered nothing since a time are queried.
        """
        resting = self._connections.resting_silent(instance, since)
        if not resting:
            return 0
        asking = {self._loop.create_task(self._ask_resting(item)): item for item in resting}
        try:
            silent = await self._silent_resting(instance, asking)
        except (BackendRefused, BackendConnectionLost, TimeoutError) as error:
            log_event("silence_not_confirmed", instance=instance, reason=repr(error))
            silent = []
        finally:
            await _cancel(asking)
        for connection in silent:
            self._close_resting(instance, connection)
        return len(silent)

    async def _silent_resting(
        self, instance: str, asking: Mapping[asyncio.Task[None], int]
    ) -> list[int]:
        asked_at = self._loop.time()
        _, waiting = await asyncio.wait(asking, timeout=STATUS_HEDGE_SECONDS)
        if not waiting:
            return []
        async with asyncio.timeout(STATUS_SECONDS):
            await self._calls.ask_on_new_connection(instance, status_query)
        left = resting_answer_time_left(asked_at, self._loop.time())
        await asyncio.wait(waiting, timeout=left)
        return _unanswered(asking)

    def _close_resting(self, instance: str, connection: int) -> None:
        runs = connection in self._connections.records.exchange_began_at
        decision = "its transaction is lost"
        self._report_silent(
            ConnectionKind.INSTANCE_RESTING, instance, connection, decision, owed=1 if runs else 0
        )
        self._connections.close_resting(connection)

    async def _ask_resting(self, connection: int) -> None:
        """Send a status query on a connection that a request holds and keeps; ignore the answer."""
        link = self._connections.records.links.get(connection)
        if link is None:
            return
        try:
            await link.status()
        except BackendRefused:
            # Not logged: the instance refused the query, but the connection works.
            pass
        except BackendConnectionLost:
            # Not logged here: the request that holds the connection notices and logs the loss.
            return
        self._connections.records.note_delivered(connection)

    def _report_silent(
        self,
        kind: ConnectionKind,
        instance: str,
        connection: int,
        decision: str,
        owed: int = 0,
    ) -> None:
        ages = self._connections.records.ages(connection)
        group = self._topology.settings.name
        self._on_silent(
            SilentConnection(
                kind, instance, ages.opened_for, ages.silent_for, owed, decision, group
            )
        )

    def forget(self, instance: str) -> None:
        """Drop the state of an instance that left long ago."""
        self._check_pauses.forget(instance)

    def close(self) -> None:
        """Stop all checks."""
        self._tasks.cancel()
        self.resting.close()


def _unanswered(asking: Mapping[asyncio.Task[Answer], int]) -> list[int]:
    """Connections whose query is still pending, in the order in which they were queried."""
    return [connection for task, connection in asking.items() if not task.done()]


async def _cancel(asking: Iterable[asyncio.Task[Answer]]) -> None:
    """Cancel queries. Errors are not logged: the pool closes a connection that broke."""
    for task in asking:
        task.cancel()
    await asyncio.gather(*asking, return_exceptions=True)
