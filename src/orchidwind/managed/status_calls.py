"""Status and control calls to the instances of one managed group."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from orchidwind.core.errors import BackendConnectionLost, BackendRefused
from orchidwind.core.managed.commands import InstanceStatus
from orchidwind.core.managed.topology import GroupTopology
from orchidwind.logs import log_event
from orchidwind.managed.connections import (
    CONNECT_SECONDS,
    CONNECTION_LIMIT_MET,
    GroupConnections,
)
from orchidwind.managed.ports import InstanceLink

ASK_SECONDS = 0.2
HURRIED_SECONDS = 0.07
# Where nothing was ever heard, silence is no sign: all homes of a fleet that starts connect at the
# same time, and an instance takes their connections one after the other (12 to 32 ms each).
FIRST_SECONDS = CONNECT_SECONDS

StatusCall = Callable[[InstanceLink], Coroutine[Any, Any, InstanceStatus]]


class StatusCalls:
    """Makes the calls on idle connections, or on one an instance that is kept for them."""

    def __init__(
        self,
        topology: GroupTopology,
        connections: GroupConnections,
        on_unreachable: Callable[[str], None],
    ) -> None:
        self._topology = topology
        self._connections = connections
        self._on_unreachable = on_unreachable
        self._loop = asyncio.get_running_loop()
        self._control: dict[str, InstanceLink] = {}

    async def ask(
        self, instance: str, call: StatusCall, hurried: bool = False
    ) -> InstanceStatus | None:
        """Make a call; None where no status came in time.

        `hurried` gives an instance that is not expected to answer less time, as a change of
        primary waits for it.
        """
        asked_at = self._loop.time()
        view = self._topology.instances.get(instance)
        unreachable = view is not None and view.unreachable_since is not None
        seconds = HURRIED_SECONDS if hurried and unreachable else ASK_SECONDS
        if view is not None and view.heard_at == float("-inf"):
            seconds = FIRST_SECONDS
        try:
            async with asyncio.timeout(seconds):
                status = await self._ask_on_some_link(instance, call)
        except BackendRefused as refused:
            self._topology.answered(instance, self._loop.time())
            if refused.sqlstate == CONNECTION_LIMIT_MET:
                self._connections.note_no_room(instance)
            return None
        except (BackendConnectionLost, TimeoutError) as error:
            self.drop(instance)
            log_event("status_failed", instance=instance, reason=repr(error))
            self._on_unreachable(instance)
            return None
        return replace(status, instance=instance, asked_at=asked_at)

    async def _ask_on_some_link(self, instance: str, call: StatusCall) -> InstanceStatus:
        borrowed = await self._idle_connection(instance)
        if borrowed is not None:
            try:
                return await self._ask_on_borrowed(borrowed, call)
            except BackendConnectionLost:
                pass  # it may have been an old connection of an instance that is there
        link = self._control.get(instance)
        if link is not None:
            try:
                return await call(link)
            except BackendConnectionLost:
                self.drop(instance)
        return await call(await self._control_link(instance))

    async def _idle_connection(self, instance: str) -> int | None:
        """An idle connection; the first one to an instance is opened and stays for requests."""
        if instance not in self._control:
            await self._connections.open_first(instance)
        return self._connections.borrow_idle(instance)

    async def _ask_on_borrowed(self, connection: int, call: StatusCall) -> InstanceStatus:
        connections = self._connections
        connections.in_exchange[connection] = self._loop.time()
        answered = False
        try:
            status = await call(connections.links[connection])
            answered = True
            return status
        except BackendRefused:
            answered = True
            raise
        finally:
            connections.in_exchange.pop(connection, None)
            connections.release(connection, answered)

    async def _control_link(self, instance: str) -> InstanceLink:
        """A new connection; where another call has just opened one too, that one is used."""
        link = await self._connections.connect(instance, lambda: None)
        held = self._control.get(instance)
        if held is not None:
            link.close()
            return held
        self._control[instance] = link
        return link

    def drop(self, instance: str) -> None:
        """Close the connection that is kept for status calls."""
        link = self._control.pop(instance, None)
        if link is not None:
            link.close()

    def close(self) -> None:
        """Close all of them."""
        for instance in list(self._control):
            self.drop(instance)
