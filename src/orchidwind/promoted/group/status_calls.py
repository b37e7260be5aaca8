"""Status and control calls to the instances of one promoted group.

Owns: one connection an instance that serves such calls alone, beside the pooled ones, and the time
limits of the calls (`core/instance_silence` has the figures). Relies on the pools for idle
connections. An instance that does not answer is reported as unreachable.
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
from orchidwind.promoted.group.connection_opener import CONNECTION_LIMIT_MET, OTHER_INSTANCE
from orchidwind.promoted.group.connections import GroupConnections
from orchidwind.promoted.ports import InstanceLink
from orchidwind.shared.core.errors import BackendConnectionLost, BackendRefused
from orchidwind.shared.logs import log_event
from orchidwind.shared.silence import ConnectionKind, OnSilent, SilentConnection

StatusCall = Callable[[InstanceLink], Coroutine[Any, Any, InstanceStatus]]


def status_query(link: InstanceLink) -> Coroutine[Any, Any, InstanceStatus]:
    """The call that changes nothing."""
    return link.status()


class StatusCalls:
    """Makes the calls on idle connections, or on the one that serves them alone."""

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
        self, instance: str, call: StatusCall, hurried: bool = False, repeatable: bool = False
    ) -> InstanceStatus | None:
        """Make a call; None where no status came in time.

        A `repeatable` call changes nothing, so it is made on a new connection, too, where an idle
        one is silent.
        `hurried` gives an instance that is not expected to answer less time, as a change of
        primary waits for it.
        """
        asked_at = self._loop.time()
        make_call = self._ask_hedged if repeatable else self._ask_on_some_link
        try:
            async with asyncio.timeout(self._time_limit(instance, hurried)):
                status = await make_call(instance, call)
        except BackendRefused as refused:
            self._refused(instance, refused)
            return None
        except (BackendConnectionLost, TimeoutError) as error:
            self.close_link(instance)
            log_event("status_failed", instance=instance, reason=repr(error))
            self._on_unreachable(instance)
            return None
        return replace(status, instance=instance, asked_at=asked_at)

    def _time_limit(self, instance: str, hurried: bool) -> float:
        view = self._topology.instances.get(instance)
        unreachable = view is not None and view.unreachable_since is not None
        ever_answered = view is None or view.last_answer_at > float("-inf")
        return status_time_limit(ever_answered, unreachable, hurried)

    def _refused(self, instance: str, refused: BackendRefused) -> None:
        if refused.sqlstate == OTHER_INSTANCE:
            # What answers is not the instance, which may hold up no change by that.
            log_event("instance_replaced", instance=instance, reason=str(refused))
            self._on_unreachable(instance)
            return
        # No line: a full instance refuses often, and a refusal shows that it is there.
        self._topology.answered(instance, self._loop.time())
        if refused.sqlstate == CONNECTION_LIMIT_MET:
            self._connections.opener.note_no_room(instance)

    async def _ask_hedged(self, instance: str, call: StatusCall) -> InstanceStatus:
        """Ask on some link; where that stays silent, on a new one beside it."""
        first = self._loop.create_task(self._ask_on_some_link(instance, call))
        second: asyncio.Task[InstanceStatus] | None = None
        try:
            await asyncio.wait({first}, timeout=STATUS_HEDGE_SECONDS)
            if first.done() or not self._may_hedge(instance):
                return await first
            second = self._loop.create_task(self.ask_anew(instance, call))
            await asyncio.wait({first, second}, return_when=asyncio.FIRST_COMPLETED)
            if first.done() and first.exception() is None:
                return first.result()
            if second.done() and second.exception() is None:
                self._found_silent(instance)
                return second.result()
            return await (second if first.done() else first)
        finally:
            for task in (first, second):
                if task is not None:
                    task.cancel()

    def _may_hedge(self, instance: str) -> bool:
        """Whether a new connection may show more; one costs an instance a slot for a while."""
        now = self._loop.time()
        connected = instance in self._connections.records.connected_instances
        if not connected or not self._hedge_pauses.due(instance, now):
            return False
        self._hedge_pauses.begin(instance, now)
        return True

    def _found_silent(self, instance: str) -> None:
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

    async def ask_anew(self, instance: str, call: StatusCall) -> InstanceStatus:
        """Ask on a new connection, which then serves status calls; raises as `InstanceLink`."""
        self.close_link(instance)
        return await call(await self._new_link(instance))

    async def _ask_on_some_link(self, instance: str, call: StatusCall) -> InstanceStatus:
        borrowed = await self._idle_connection(instance)
        if borrowed is not None:
            try:
                return await self.ask_on_borrowed(borrowed, call)
            except BackendConnectionLost:
                # Silent, as it may have been an old connection of an instance that is there: the
                # next attempt shows which.
                pass
        link = self.links.get(instance)
        if link is not None:
            try:
                return await call(link)
            except BackendConnectionLost:
                # Silent for the same reason; it is replaced by a new one.
                self.close_link(instance)
        return await call(await self._new_link(instance))

    async def _idle_connection(self, instance: str) -> int | None:
        """An idle connection; the first one to an instance is opened and stays for requests."""
        if instance not in self.links:
            await self._connections.open_first(instance)
        return self._connections.borrow_idle(instance)

    async def ask_on_borrowed(self, connection: int, call: StatusCall) -> InstanceStatus:
        """Ask on a connection taken from the pool and give it back; raises as `InstanceLink`."""
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
        """A new connection; where another call has just opened one too, that one is used."""
        link = await self._connections.opener.open(instance, lambda: None)
        other = self.links.get(instance)
        if other is not None:
            link.close()
            return other
        self.links[instance] = link
        return link

    def close_link(self, instance: str) -> None:
        """Close the connection of an instance that serves such calls alone."""
        link = self.links.pop(instance, None)
        if link is not None:
            link.close()

    def forget(self, instance: str) -> None:
        """An instance left long ago."""
        self.close_link(instance)
        self._hedge_pauses.forget(instance)

    def close(self) -> None:
        """Close all of them."""
        for instance in list(self.links):
            self.close_link(instance)
