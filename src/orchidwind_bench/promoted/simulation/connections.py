"""Server connections of the simulated world: statements, status and control calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

from orchidwind.promoted.core.commands import (
    InstanceMessage,
    InstanceRole,
    InstanceStatus,
    MessageKind,
    Reply,
    ReplyCode,
    TransactionState,
)
from orchidwind.promoted.core.configuration import DirectoryEntry
from orchidwind.shared.core.errors import BackendConnectionLost, BackendRefused
from orchidwind.shared.core.tenant_connections import NO_TENANT
from orchidwind_bench.promoted.simulation.groups import SimulatedGroup
from orchidwind_bench.promoted.simulation.instances import SimulatedInstance
from orchidwind_bench.promoted.simulation.world import ConfirmedCommit, RanStatement, World

CONNECT_SECONDS = 0.012
# What a status or control call takes where the instance has slots.
STATUS_SECONDS = 0.001

T = TypeVar("T")


@dataclass(slots=True)
class _LinkTransaction:
    read_only: bool
    writes: list[str] = field(default_factory=list)
    failed: bool = False
    session: int = -1
    began: float = 0.0


class SimulatedLink:
    """One server connection."""

    def __init__(
        self,
        node: str,
        group: SimulatedGroup,
        instance: SimulatedInstance,
        on_lost: Callable[[], None],
        tenant: str = NO_TENANT,
    ) -> None:
        self.node = node
        self.tenant = tenant
        self._group = group
        self._instance = instance
        self._on_lost = on_lost
        self._settings: dict[str, str] = {}
        self._prepared: set[str] = set()
        self._transaction: _LinkTransaction | None = None
        self._broken: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._closed = False
        # Neither end is told: what is sent is taken and never arrives, here or (`deaf`) there.
        self.silent = False
        self.deaf = False

    @property
    def _world(self) -> World:
        return self._group.world

    def break_off(self, silently: bool) -> None:
        """The instance ends the connection; silently where the machine went dark."""
        self._instance.links.discard(self)
        self._transaction = None
        if silently or self._closed or self.silent or self.deaf:
            return
        if not self._world.network.passes(self._instance.name, self.node):
            return
        self._closed = True
        if not self._broken.done():
            self._broken.set_result(None)
        self._on_lost()

    def close(self) -> None:
        """The proxy ends the connection."""
        self._closed = True
        self._instance.links.discard(self)
        if not self._broken.done():
            self._broken.set_result(None)

    async def exchange(self, messages: tuple[InstanceMessage, ...]) -> tuple[Reply, ...]:
        """Run messages in order."""
        return await self._unless_broken(self._run_all(messages))

    async def _unless_broken(self, work: Coroutine[Any, Any, T]) -> T:
        if self._closed:
            work.close()
            raise BackendConnectionLost("closed", sent=False)
        task = asyncio.get_running_loop().create_task(work)
        waiting: list[asyncio.Future[Any]] = [task, self._broken]
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return task.result()
        if self._transaction is None:
            task.add_done_callback(_swallow)
        else:
            task.cancel()
        raise BackendConnectionLost("broken off", sent=True)

    async def _run_all(self, messages: tuple[InstanceMessage, ...]) -> tuple[Reply, ...]:
        network = self._world.network
        await network.travel(self.node, self._instance.name)
        await self._while_dark()
        replies = tuple([await self._run(message) for message in messages])
        if self.deaf:
            await asyncio.get_running_loop().create_future()
        if self._world.random.random() < self._instance.lose_answers:
            await asyncio.get_running_loop().create_future()
        await network.travel(self._instance.name, self.node)
        return replies

    async def _while_dark(self) -> None:
        arrived = await self._instance.while_paused()
        if not arrived or not self._instance.alive or self.silent:
            await asyncio.get_running_loop().create_future()

    def _reply(self, code: ReplyCode, signature: str = "") -> Reply:
        state = TransactionState.IDLE
        if self._transaction is not None:
            failed = self._transaction.failed
            state = TransactionState.FAILED if failed else TransactionState.OPEN
        rows = ("row",) if code is ReplyCode.DONE and signature else ()
        return Reply(code, rows, signature, code.value, state, self._instance.position)

    async def _run(self, message: InstanceMessage) -> Reply:
        if message.floor is not None and not self._instance.holds(message.floor):
            return self._reply(ReplyCode.BEHIND)
        kind = message.kind
        if kind in (MessageKind.BEGIN, MessageKind.BEGIN_READ_ONLY):
            return self._begin(kind is MessageKind.BEGIN_READ_ONLY)
        if kind is MessageKind.ROLLBACK:
            self._transaction = None
            return self._reply(ReplyCode.DONE)
        if kind is MessageKind.RESET:
            self._settings.clear()
            self._prepared.clear()
            return self._reply(ReplyCode.DONE)
        if kind is MessageKind.SET:
            self._settings[message.name] = message.text
            return self._reply(ReplyCode.DONE)
        if kind is MessageKind.PREPARE:
            self._prepared.add(message.name)
            return self._reply(ReplyCode.DONE)
        return await self._run_statement(message)

    def _begin(self, read_only: bool) -> Reply:
        if not read_only and self._instance.role is not InstanceRole.PRIMARY:
            return self._reply(ReplyCode.READ_ONLY)
        if self._transaction is not None:
            self._world.history.blame(self._world.now, "PINNED: BEGIN inside a transaction")
        self._transaction = _LinkTransaction(read_only, began=self._world.now)
        return self._reply(ReplyCode.DONE)

    async def _run_statement(self, message: InstanceMessage) -> Reply:
        if not await self._instance.work(message.request_id, self._broken):
            return self._reply(ReplyCode.BUSY)
        await self._while_dark()
        writes = message.text.startswith("WRITE")
        if message.kind is MessageKind.EXECUTE:
            if message.name not in self._prepared:
                return self._reply(ReplyCode.UNKNOWN_STATEMENT)
            writes = message.prepared is not None and message.prepared.writes
        self._check_session(message)
        transaction = self._transaction
        lost_lead = self._instance.role is not InstanceRole.PRIMARY
        if message.text == "COMMIT":
            return await self._commit(message.request_id)
        if lost_lead and (writes or (transaction is not None and not transaction.read_only)):
            if transaction is not None:
                transaction.failed = True
            return self._reply(ReplyCode.READ_ONLY)
        if not writes:
            began = transaction.began if transaction else self._world.now
            self._group.check_read(self._instance, message.request_id, began)
            return self._reply(ReplyCode.DONE, f"read-{message.request_id}")
        if transaction is not None:
            transaction.writes.append(message.request_id)
            return self._reply(ReplyCode.DONE, f"write-{message.request_id}")
        return await self._finish_commit([message.request_id], message.request_id)

    def _check_session(self, message: InstanceMessage) -> None:
        history = self._world.history
        expected = history.expected.get(message.request_id)
        if expected is None:
            history.blame(self._world.now, f"UNASKED: {message}")
            return
        history.ran.append(RanStatement(self._world.now, message.request_id, self.tenant))
        if self.tenant != expected.tenant:
            told = f"{message.request_id} of {expected.tenant!r} ran for {self.tenant!r}"
            history.blame(self._world.now, f"UNASKED: {told}")
        if tuple(sorted(self._settings.items())) != expected.settings:
            history.blame(
                self._world.now,
                f"PINNED: {message.request_id} ran with {self._settings}, not {expected.settings}",
            )
        if self._transaction is not None:
            if self._transaction.session not in (-1, expected.session):
                history.blame(self._world.now, f"PINNED: {message.request_id} in another's")
            self._transaction.session = expected.session

    async def _commit(self, request_id: str) -> Reply:
        transaction, self._transaction = self._transaction, None
        if transaction is None:
            self._world.history.blame(self._world.now, f"PINNED: {request_id} outside")
            return self._reply(ReplyCode.REFUSED)
        if not transaction.writes:
            return self._reply(ReplyCode.DONE, f"commit-{request_id}")
        if self._instance.role is not InstanceRole.PRIMARY:
            return self._reply(ReplyCode.READ_ONLY)
        return await self._finish_commit(transaction.writes, request_id)

    async def _finish_commit(self, request_ids: list[str], named: str) -> Reply:
        instance = self._instance
        term = instance.term
        position = await instance.commit(request_ids)
        if position is None:
            await asyncio.get_running_loop().create_future()
            raise AssertionError
        newest = self._group.primary()
        too_late = ""
        if newest.term > term:
            too_late = self._late_acknowledgement(newest, request_ids, named)
        for request_id in request_ids:
            self._world.history.confirmed[request_id] = ConfirmedCommit(position, too_late)
        return Reply(
            ReplyCode.DONE,
            ("row",),
            f"commit-{named}",
            "",
            TransactionState.IDLE,
            position,
        )

    def _late_acknowledgement(
        self, newest: SimulatedInstance, request_ids: list[str], named: str
    ) -> str:
        """What is broken once this is told; empty where nothing is.

        A replaced primary may only tell what it knew before a pause, and what is kept.
        """
        held = {entry.request_id for entry in newest.log}
        late = f"{self._instance.name} acknowledged {named} after {newest.name}"
        if not self._instance.just_resumed:
            return f"ONE: {late}"
        return "" if held.issuperset(request_ids) else f"LOST: {late}, which lacks it"

    async def _control(self, act: Callable[[], None]) -> InstanceStatus:
        async def work() -> InstanceStatus:
            await self._world.network.travel(self.node, self._instance.name)
            await self._while_dark()
            slots = self._instance.slots
            if slots is not None and not await slots.run(STATUS_SECONDS):
                raise BackendRefused("busy", "53000")
            act()
            status = self._instance.status()
            await self._world.network.travel(self._instance.name, self.node)
            return status

        return await self._unless_broken(work())

    async def status(self) -> InstanceStatus:
        """Tell the status."""
        return await self._control(lambda: None)

    async def fence(self, term: int) -> InstanceStatus:
        """Accept no primary below a term."""

        def act() -> None:
            replica = self._instance.role is InstanceRole.REPLICA
            if replica and term > self._instance.term:
                self._instance.fence_term = max(term, self._instance.fence_term)

        return await self._control(act)

    async def unfence(self) -> InstanceStatus:
        """Receive again."""

        def act() -> None:
            self._instance.fence_term = 0

        return await self._control(act)

    async def demote(self, term: int) -> InstanceStatus:
        """Turn a primary of a lower term into a replica."""

        def act() -> None:
            primary = self._instance.role is InstanceRole.PRIMARY
            if primary and self._instance.term < term:
                self._instance.step_down(term)

        return await self._control(act)


def _swallow(task: asyncio.Task[object]) -> None:
    if not task.cancelled():
        task.exception()


class SimulatedConnector:
    """Opens connections for one proxy."""

    def __init__(self, node: str, group: SimulatedGroup) -> None:
        self.node = node
        self._group = group

    async def connect(
        self, entry: DirectoryEntry, on_lost: Callable[[], None], tenant: str = NO_TENANT
    ) -> SimulatedLink:
        """Open a connection to an instance."""
        instance = self._group.instances[entry.instance]
        network = self._group.world.network
        await network.travel(self.node, instance.name)
        if not instance.alive:
            if self._group.resets:
                raise BackendConnectionLost("refused", sent=False)
            await asyncio.get_running_loop().create_future()
        await self._welcome(instance)
        await network.travel(instance.name, self.node)
        if len(instance.links) >= self._group.world.connection_limit:
            raise BackendRefused("the limit is met", "53300")
        self._group.connections_opened += 1
        link = SimulatedLink(self.node, self._group, instance, on_lost, tenant)
        instance.links.add(link)
        return link

    async def _welcome(self, instance: SimulatedInstance) -> None:
        """A new connection holds a slot for a while, where the instance has slots."""
        if instance.slots is None:
            await asyncio.sleep(CONNECT_SECONDS)
        else:
            await instance.slots.run(CONNECT_SECONDS, bounded=False)
