"""Status and control calls to the instances of one promoted group.

Calls use idle pooled connections, or one dedicated status connection for each instance, which this
module owns. The time limits are in `core/instance_silence`. An instance that does not answer is
reported as unreachable.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from msgspec.structs import replace

from orchidwind.promoted.core.commands import InstanceStatus
from orchidwind.promoted.core.instance_silence import (
    STATUS_HEDGE_PAUSE_SECONDS,
    STATUS_HEDGE_SECONDS,
    InstancePauses,
    status_time_limit,
)
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.group.connection_opener import TOO_MANY_CONNECTIONS, UNEXPECTED_INSTANCE
from orchidwind.promoted.group.connections import GroupConnections
from orchidwind.promoted.ports import InstanceLink
from orchidwind.shared.core.errors import BackendConnectionLost, BackendRefused
from orchidwind.shared.logs import log_event
from orchidwind.shared.silence import ConnectionKind, OnSilent, SilentConnection

StatusCall = Callable[[InstanceLink], Coroutine[Any, Any, InstanceStatus]]


def status_query(link: InstanceLink) -> Coroutine[Any, Any, InstanceStatus]:
    """The status call, which changes nothing at the instance."""
    return link.status()


class StatusCalls:
    """Makes the calls on idle connections, or on a dedicated status connection."""

    def __init__(
        self,
        topology: GroupTopology,
        connections: GroupConnections,
        on_unreachable: Callable[[str], None],
        on_silent: OnSilent,
    ) -> None:
        self._on_silent = on_silent
        self._topology = topology
        self._connections = connections
        self._on_unreachable = on_unreachable
        self._loop = asyncio.get_running_loop()
        self._hedge_pauses = InstancePauses(STATUS_HEDGE_PAUSE_SECONDS)
        self.links: dict[str, InstanceLink] = {}

    async def ask(
        self, instance: str, call: StatusCall, urgent: bool = False, repeatable: bool = False
    ) -> InstanceStatus | None:
        """Make a call; None if no status arrives in time.

        A `repeatable` call changes nothing, so it is repeated on a new connection if the first one
        is silent. `urgent` shortens the time limit of an instance that is unreachable already, as a
        change of primary waits for it.
        """
        asked_at = self._loop.time()
        make_call = self._ask_hedged if repeatable else self._ask_on_some_link
        try:
            async with asyncio.timeout(self._time_limit(instance, urgent)):
                status = await make_call(instance, call)
        except BackendRefused as refused:
            self._handle_refusal(instance, refused)
            return None
        except (BackendConnectionLost, TimeoutError) as error:
            self.close_link(instance)
            log_event("status_failed", instance=instance, reason=repr(error))
            self._on_unreachable(instance)
            return None
        return replace(status, instance=instance, asked_at=asked_at)

    async def ask_on_link(self, instance: str, link: InstanceLink) -> InstanceStatus | None:
        """Ask for the status on a connection that is in use by the caller; None if it is refused.

        Without a time limit: the caller's own applies. Raises BackendConnectionLost.
        """
        asked_at = self._loop.time()
        try:
            status = await link.status()
        except BackendRefused as refused:
            self._handle_refusal(instance, refused)
            return None
        return replace(status, instance=instance, asked_at=asked_at)

    def _time_limit(self, instance: str, urgent: bool) -> float:
        view = self._topology.instances.get(instance)
        unreachable = view is not None and view.unreachable_since is not None
        ever_answered = view is None or view.last_answer_at > float("-inf")
        return status_time_limit(ever_answered, unreachable, urgent)

    def _handle_refusal(self, instance: str, refused: BackendRefused) -> None:
        if refused.sqlstate == UNEXPECTED_INSTANCE:
            # Another instance answers at the address; this must not delay a change of primary.
            log_event("instance_replaced", instance=instance, reason=str(refused))
            self._on_unreachable(instance)
            return
        # Not logged: a full instance refuses often, and a refusal shows that it is alive.
        self._topology.answered(instance, self._loop.time())
        if refused.sqlstate == TOO_MANY_CONNECTIONS:
            self._connections.opener.note_full(instance)

    async def _ask_hedged(self, instance: str, call: StatusCall) -> InstanceStatus:
        """Make a call; if it gets no answer, repeat it in parallel on a new connection."""
        first = self._loop.create_task(self._ask_on_some_link(instance, call))
        second: asyncio.Task[InstanceStatus] | None = None
        try:
            await asyncio.wait({first}, timeout=STATUS_HEDGE_SECONDS)
            if first.done() or not self._may_hedge(instance):
                return await first
            second = self._loop.create_task(self.ask_on_new_connection(instance, call))
            await asyncio.wait({first, second}, return_when=asyncio.FIRST_COMPLETED)
            if first.done() and first.exception() is None:
                return first.result()
            if second.done() and second.exception() is None:
                self._report_silent(instance)
                return second.result()
            return await (second if first.done() else first)
        finally:
            for task in (first, second):
                if task is not None:
                    task.cancel()

    def _may_hedge(self, instance: str) -> bool:
        """Whether to hedge on a new connection, which takes a slot of the instance for a while."""
        now = self._loop.time()
        connected = instance in self._connections.records.connected_instances
        if not connected or not self._hedge_pauses.due(instance, now):
            return False
        self._hedge_pauses.begin(instance, now)
        return True

    def _report_silent(self, instance: str) -> None:
        self._on_silent(
            SilentConnection(
                ConnectionKind.INSTANCE_STATUS,
                to=instance,
                opened_for=None,
                silent_for=None,
                owed=0,
                decision="the new one is kept",
                group=self._topology.settings.name,
            )
        )

    async def ask_on_new_connection(self, instance: str, call: StatusCall) -> InstanceStatus:
        """Make a call on a new connection, which becomes the instance's status connection.

        Raises as `InstanceLink`.
        """
        self.close_link(instance)
        return await call(await self._new_link(instance))

    async def _ask_on_some_link(self, instance: str, call: StatusCall) -> InstanceStatus:
        borrowed = await self._idle_connection(instance)
        if borrowed is not None:
            try:
                return await self.ask_on_borrowed(borrowed, call)
            except BackendConnectionLost:
                # Not logged: a stale connection of a live instance may have broken; the next
                # attempt shows whether the instance answers.
                pass
        link = self.links.get(instance)
        if link is not None:
            try:
                return await call(link)
            except BackendConnectionLost:
                # Not logged for the same reason; a new connection replaces it.
                self.close_link(instance)
        return await call(await self._new_link(instance))

    async def _idle_connection(self, instance: str) -> int | None:
        """Take an idle connection; None if there is none.

        If the instance has no connection yet, one is opened, which stays in the pool for requests.
        """
        if instance not in self.links:
            await self._connections.open_first(instance)
        return self._connections.take_any_idle(instance)

    async def ask_on_borrowed(self, connection: int, call: StatusCall) -> InstanceStatus:
        """Make a call on a connection taken from the pool, and return it to the pool.

        Raises as `InstanceLink`.
        """
        records = self._connections.records
        records.exchange_began_at[connection] = self._loop.time()
        answered = False
        try:
            status = await call(records.links[connection])
            answered = True
            return status
        except BackendRefused:
            answered = True
            raise
        finally:
            records.exchange_began_at.pop(connection, None)
            self._connections.release(connection, answered)

    async def _new_link(self, instance: str) -> InstanceLink:
        """Open the status connection; if another call has just opened one, that one is used."""
        link = await self._connections.opener.open(instance, lambda: None)
        other = self.links.get(instance)
        if other is not None:
            link.close()
            return other
        self.links[instance] = link
        return link

    def close_link(self, instance: str) -> None:
        """Close the status connection of an instance."""
        link = self.links.pop(instance, None)
        if link is not None:
            link.close()

    def forget(self, instance: str) -> None:
        """Drop the state of an instance that left long ago."""
        self.close_link(instance)
        self._hedge_pauses.forget(instance)

    def close(self) -> None:
        """Close all status connections."""
        for instance in list(self.links):
            self.close_link(instance)
