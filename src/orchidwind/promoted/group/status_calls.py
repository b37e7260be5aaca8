"""Status and control calls to the instances of one promoted group."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from orchidwind.promoted.core.commands import InstanceStatus
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.group.connections import (
    CONNECT_SECONDS,
    CONNECTION_LIMIT_MET,
    OTHER_INSTANCE,
    GroupConnections,
)
from orchidwind.promoted.ports import InstanceLink
from orchidwind.shared.core.errors import BackendConnectionLost, BackendRefused
from orchidwind.shared.logs import log_event
from orchidwind.shared.silence import (
    ConnectionKind,
    OnSilent,
    SilentConnection,
    log_silent,
)

ASK_SECONDS = 0.2
HURRIED_SECONDS = 0.07
# Where nothing was ever heard, silence is no sign: all homes of a fleet that starts connect at the
# same time, and an instance takes their connections one after the other (12 to 32 ms each).
FIRST_SECONDS = CONNECT_SECONDS

# An idle connection that says nothing for so long may be silent for good: a new one is asked, too.
HEDGE_SECONDS = 0.06
HEDGE_AGAIN_SECONDS = 1.0
# So much longer than a new connection an idle one has for its answer. Both wait alike for a slot of
# the instance; what differs is the way.
SILENT_AFTER_OTHER_SECONDS = 0.05
# One that a transaction holds is given up for nothing less than a link between proxies: a lost
# packet comes again after 0.2 s, and a transaction that was given up is lost.
RESTING_SILENT_SECONDS = 0.4

StatusCall = Callable[[InstanceLink], Coroutine[Any, Any, InstanceStatus]]


class StatusCalls:
    """Makes the calls on idle connections, or on one an instance that is kept for them."""

    def __init__(
        self,
        topology: GroupTopology,
        connections: GroupConnections,
        on_unreachable: Callable[[str], None],
        on_silent: OnSilent = log_silent,
    ) -> None:
        self._on_silent = on_silent
        self._topology = topology
        self._connections = connections
        self._on_unreachable = on_unreachable
        self._loop = asyncio.get_running_loop()
        self._control: dict[str, InstanceLink] = {}
        self._hedged_at: dict[str, float] = {}

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
        view = self._topology.instances.get(instance)
        unreachable = view is not None and view.unreachable_since is not None
        seconds = HURRIED_SECONDS if hurried and unreachable else ASK_SECONDS
        if view is not None and view.last_answer_at == float("-inf"):
            seconds = FIRST_SECONDS
        try:
            async with asyncio.timeout(seconds):
                if repeatable:
                    status = await self._ask_twice(instance, call)
                else:
                    status = await self._ask_on_some_link(instance, call)
        except BackendRefused as refused:
            if refused.sqlstate == OTHER_INSTANCE:
                # What answers is not the instance: it was not heard, and may hold up no change.
                log_event("instance_replaced", instance=instance, reason=str(refused))
                self._on_unreachable(instance)
                return None
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

    async def _ask_twice(self, instance: str, call: StatusCall) -> InstanceStatus:
        """Ask on some link; where that says nothing, on a new one beside it."""
        first = self._loop.create_task(self._ask_on_some_link(instance, call))
        second: asyncio.Task[InstanceStatus] | None = None
        try:
            await asyncio.wait({first}, timeout=HEDGE_SECONDS)
            if first.done() or not self._may_hedge(instance):
                return await first
            second = self._loop.create_task(self._ask_anew(instance, call))
            await asyncio.wait({first, second}, return_when=asyncio.FIRST_COMPLETED)
            if first.done() and first.exception() is None:
                return first.result()
            if second.done() and second.exception() is None:
                self._found(ConnectionKind.INSTANCE_STATUS, instance, None, "the new one is kept")
                return second.result()
            return await (second if first.done() else first)
        finally:
            for task in (first, second):
                if task is not None:
                    task.cancel()

    def _may_hedge(self, instance: str) -> bool:
        """Whether a new connection may show more; one costs an instance a slot for a while."""
        now = self._loop.time()
        hedged_at = self._hedged_at.get(instance, float("-inf"))
        if now - hedged_at < HEDGE_AGAIN_SECONDS or instance not in self._connections.opened:
            return False
        self._hedged_at[instance] = now
        return True

    async def _ask_anew(self, instance: str, call: StatusCall) -> InstanceStatus:
        """Ask on a new connection, which is kept for status calls."""
        self.drop(instance)
        return await call(await self._control_link(instance))

    async def close_silent(self, instance: str, since: float) -> int:
        """Close idle connections that say nothing while a new one answers; how many.

        Only those that have said nothing since a time are asked. Where no new connection answers
        either, the instance may be at fault, and none counts as silent.
        """
        taken = self._connections.take_unheard(instance, since)
        if not taken:
            return 0

        def status(link: InstanceLink) -> Coroutine[Any, Any, InstanceStatus]:
            return link.status()

        asking = {
            self._loop.create_task(self._ask_on_borrowed(item, status)): item for item in taken
        }
        try:
            async with asyncio.timeout(ASK_SECONDS):
                await self._ask_anew(instance, status)
                await asyncio.wait(asking, timeout=SILENT_AFTER_OTHER_SECONDS)
            silent = [task for task in asking if not task.done()]
            for task in silent:
                self._found(ConnectionKind.INSTANCE_IDLE, instance, asking[task], "close it")
        except (BackendRefused, BackendConnectionLost, TimeoutError) as error:
            log_event("silence_not_confirmed", instance=instance, reason=repr(error))
            silent = []
            await asyncio.wait(asking, timeout=ASK_SECONDS)
        finally:
            for task in asking:
                task.cancel()
            await asyncio.gather(*asking, return_exceptions=True)
        return len(silent)

    async def close_resting(self, instance: str, since: float) -> int:
        """Close held connections that rest and say nothing while a new one answers; how many.

        Only those that have said nothing since a time are asked.
        """
        resting = self._connections.resting(instance, since)
        if not resting:
            return 0
        asked_at = self._loop.time()
        asking = {self._loop.create_task(self._ask_resting(item)): item for item in resting}
        silent: list[int] = []
        try:
            _, waiting = await asyncio.wait(asking, timeout=HEDGE_SECONDS)
            if waiting:
                async with asyncio.timeout(ASK_SECONDS):
                    await self._ask_anew(instance, lambda link: link.status())
                left = asked_at + RESTING_SILENT_SECONDS - self._loop.time()
                _, waiting = await asyncio.wait(waiting, timeout=left)
                silent = [item for task, item in asking.items() if task in waiting]
        except (BackendRefused, BackendConnectionLost, TimeoutError) as error:
            log_event("silence_not_confirmed", instance=instance, reason=repr(error))
        finally:
            for task in asking:
                task.cancel()
            await asyncio.gather(*asking, return_exceptions=True)
        for connection in silent:
            decision = "its transaction is lost"
            self._found(ConnectionKind.INSTANCE_RESTING, instance, connection, decision)
            self._connections.lose_resting(connection)
        return len(silent)

    async def _ask_resting(self, connection: int) -> None:
        """Ask on a connection that somebody else holds, whatever the answer; it stays theirs."""
        link = self._connections.links.get(connection)
        if link is None:
            return
        try:
            await link.status()
        except BackendRefused:
            pass  # it has no room for the query, but it speaks
        except BackendConnectionLost:
            return  # whoever holds it has learned of it, too
        self._connections.note_heard(connection)

    def _found(
        self, kind: ConnectionKind, instance: str, connection: int | None, decision: str
    ) -> None:
        opened_for, silent_for = (
            (None, None) if connection is None else self._connections.ages(connection)
        )
        owed = 1 if connection is not None and connection in self._connections.in_exchange else 0
        owed = 0 if kind is ConnectionKind.INSTANCE_IDLE else owed
        group = self._topology.settings.name
        self._on_silent(
            SilentConnection(kind, instance, opened_for, silent_for, owed, decision, group)
        )

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
