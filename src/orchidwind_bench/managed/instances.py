"""Simulated instances of a managed group: logs, terms, fences, synchronous replication."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from typing import Any, TypeVar

from orchidwind.core.errors import BackendConnectionLost, BackendRefused
from orchidwind.core.managed.commands import (
    InstanceMessage,
    InstanceRole,
    InstanceStatus,
    MessageKind,
    Reply,
    ReplyCode,
    TransactionState,
)
from orchidwind.core.managed.configuration import DirectoryEntry, ReadConsistency
from orchidwind.core.positions import Position
from orchidwind_bench.managed.store import GROUP
from orchidwind_bench.managed.world import (
    AcknowledgedCommit,
    ConfirmedCommit,
    ExpectedRequest,
    Promotable,
    World,
)

PROMOTE_SECONDS = 0.3
WORK_SECONDS = 0.004
CONNECT_SECONDS = 0.012
_STEP_DOWN_SECONDS = 1.0

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One commit in a log."""

    position: Position
    request_id: str


class SimulatedInstance:
    """One instance. Its log survives a crash; its fence and its connections do not."""

    def __init__(self, group: SimulatedGroup, name: str, role: InstanceRole) -> None:
        self.group = group
        self.name = name
        self.role = role
        self.alive = True
        self.term = 1
        self.fence_term = 0
        self.log: list[LogEntry] = []
        self.receive_seconds = 0.001
        self.lose_answers = 0.0
        self.links: set[SimulatedLink] = set()
        self.confirmations: list[tuple[int, asyncio.Future[bool]]] = []

    @property
    def position(self) -> Position:
        """The end of the log."""
        return self.log[-1].position if self.log else Position(1, 0)

    def holds(self, floor: Position) -> bool:
        """Whether the log has reached a position."""
        return self.position >= floor

    def status(self) -> InstanceStatus:
        """What the instance tells of itself."""
        return InstanceStatus(self.name, self.role, self.term, self.position, self.fence_term, 0)

    def crash(self) -> None:
        """Stop at once; open transactions and the fence are lost."""
        self.alive = False
        self.fence_term = 0
        self._fail_confirmations()
        for link in list(self.links):
            link.break_off(silently=not self.group.resets)

    def restart(self) -> None:
        """Come back with the log; as a replica where another leads a later term."""
        self.alive = True
        newest = max(item.term for item in self.group.instances.values() if item.alive)
        if newest > self.term and self.role is InstanceRole.PRIMARY:
            self.role = InstanceRole.REPLICA
        self.group.announce(self)

    def step_down(self, term: int) -> None:
        """Turn into a replica."""
        self.role = InstanceRole.REPLICA
        self._fail_confirmations()
        self.group.announce(self)

    def _fail_confirmations(self) -> None:
        waiting, self.confirmations = self.confirmations, []
        for _, confirmed in waiting:
            if not confirmed.done():
                confirmed.set_result(False)

    async def commit(self, request_ids: list[str]) -> Position | None:
        """Append and wait for a replica; None where the lead was lost meanwhile."""
        number = self.position.lsn
        for request_id in request_ids:
            number += 1
            self.log.append(LogEntry(Position(self.term, number), request_id))
        position = self.position
        confirmed: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.confirmations.append((position.lsn, confirmed))
        self.group.ship(self)
        if not await confirmed:
            return None
        return position

    def receive(self, term: int, log: list[LogEntry]) -> bool:
        """Take the log of a primary; whether it was taken."""
        if not self.alive or self.role is InstanceRole.PRIMARY:
            return False
        if term < self.term or term < self.fence_term:
            return False
        if term > self.term:
            self.term = term
            self.fence_term = 0
            self._drop_tail(log)
        if len(log) >= len(self.log):
            self.log = list(log)
        return True

    def _drop_tail(self, log: list[LogEntry]) -> None:
        """What the new primary lacks is rolled back."""
        kept = 0
        while kept < min(len(self.log), len(log)) and self.log[kept] == log[kept]:
            kept += 1
        self.log = self.log[:kept]

    def confirm(self, number: int) -> None:
        """A replica has received up to a number."""
        remaining = []
        for wanted, confirmed in self.confirmations:
            if wanted <= number and not confirmed.done():
                confirmed.set_result(True)
            elif not confirmed.done():
                remaining.append((wanted, confirmed))
        self.confirmations = remaining


class SimulatedGroup(Promotable):
    """A primary and its replicas."""

    def __init__(self, world: World, zones: tuple[str, ...]) -> None:
        self.world = world
        self.zones = list(zones)
        self.resets = True
        self.instances: dict[str, SimulatedInstance] = {}
        for number, _ in enumerate(zones):
            role = InstanceRole.REPLICA if number else InstanceRole.PRIMARY
            name = f"i-{number}"
            self.instances[name] = SimulatedInstance(self, name, role)
        for instance in self.instances.values():
            self.announce(instance)
        self._leader_term = 1
        self._leader = self.instances["i-0"]

    def announce(self, instance: SimulatedInstance, draining: bool = False) -> None:
        """Write the directory's entry."""
        number = int(instance.name.partition("-")[2])
        self.world.store.put_entry(
            DirectoryEntry(
                instance=instance.name,
                group=GROUP,
                host="simulated",
                port=number + 1,
                zone=self.zones[number],
                claims_primary=instance.role is InstanceRole.PRIMARY,
                draining=draining,
                slots=3,
                revision=self.world.store.revision + 1,
            )
        )

    def join(self, zone: str, announced_after: float = 0.0) -> SimulatedInstance:
        """An instance starts as a replica without a log and receives from the primary at once.

        The directory lists it `announced_after` seconds later, if it runs then.
        """
        name = f"i-{len(self.instances)}"
        self.zones.append(zone)
        instance = SimulatedInstance(self, name, InstanceRole.REPLICA)
        self.instances[name] = instance
        asyncio.get_running_loop().call_later(announced_after, self._announce_joined, instance)
        for leader in list(self.instances.values()):
            if leader.alive and leader.role is InstanceRole.PRIMARY:
                self.ship(leader)
        return instance

    def _announce_joined(self, instance: SimulatedInstance) -> None:
        if instance.alive:
            self.announce(instance)

    def primary(self) -> SimulatedInstance:
        """The instance that led last; it may have been demoted since."""
        return self._leader

    def ship(self, leader: SimulatedInstance) -> None:
        """Send the log to every replica."""
        for replica in self.instances.values():
            if replica is not leader:
                asyncio.get_running_loop().create_task(self._ship_to(leader, replica))

    async def _ship_to(self, leader: SimulatedInstance, replica: SimulatedInstance) -> None:
        term, log = leader.term, list(leader.log)
        await asyncio.sleep(replica.receive_seconds)
        if not leader.alive or not self.world.network.passes(leader.name, replica.name):
            return
        taken = replica.receive(term, log)
        await asyncio.sleep(0.0005)
        back = self.world.network.passes(replica.name, leader.name)
        if taken and back and leader.role is InstanceRole.PRIMARY and leader.term == term:
            leader.confirm(len(log))

    async def keep_shipping(self) -> None:
        """Replicas that missed something catch up; a replaced primary hears of it."""
        while True:
            await asyncio.sleep(0.05)
            for leader in list(self.instances.values()):
                if leader.alive and leader.role is InstanceRole.PRIMARY:
                    self.ship(leader)
            self._let_old_primaries_hear()

    def _let_old_primaries_hear(self) -> None:
        newest = self.primary()
        for item in self.instances.values():
            stale = item.role is InstanceRole.PRIMARY and item.term < newest.term
            if stale and item.alive and newest.alive and newest.role is InstanceRole.PRIMARY:
                network = self.world.network
                if network.passes(item.name, newest.name):
                    loop = asyncio.get_running_loop()
                    loop.call_later(_STEP_DOWN_SECONDS, self._step_down_if_stale, item)

    def _step_down_if_stale(self, item: SimulatedInstance) -> None:
        if item.role is InstanceRole.PRIMARY and item.term < self.primary().term:
            item.step_down(item.term)

    def silence(self, names: Iterable[str], deaf: bool = False) -> None:
        """All open connections to instances fall silent for good; new ones work.

        With `deaf` what the proxies send still arrives, and only the answers do not.
        """
        for name in names:
            for link in self.instances[name].links:
                link.silent = not deaf
                link.deaf = deaf

    def promote(self, instance: str) -> bool:
        """Make an instance the primary of the next term after a while."""
        chosen = self.instances[instance]
        if not chosen.alive:
            return False
        asyncio.get_running_loop().call_later(PROMOTE_SECONDS, self._lead, chosen)
        return True

    def _lead(self, chosen: SimulatedInstance) -> None:
        still_leads = chosen is self._leader and chosen.role is InstanceRole.PRIMARY
        if not chosen.alive or still_leads:
            return
        history = self.world.history
        held = {entry.request_id for entry in chosen.log}
        for commit in history.acknowledged:
            if commit.request_id not in held and commit.request_id not in history.rolled_back:
                history.blame(self.world.now, f"LOST: {chosen.name} leads without {commit}")
                history.rolled_back.add(commit.request_id)
        self._leader_term = max(self._leader_term, chosen.term) + 1
        chosen.term = self._leader_term
        self._leader = chosen
        chosen.role = InstanceRole.PRIMARY
        chosen.fence_term = 0
        history.promotions.append((self.world.now, chosen.name, chosen.term))
        self.announce(chosen)
        self.ship(chosen)

    def check_read(self, instance: SimulatedInstance, request_id: str, began: float) -> None:
        """Note whether a read sees what it must see, in case its answer reaches the caller."""
        expected = self.world.history.expected.get(request_id)
        if expected is None:
            self.world.history.blame(self.world.now, f"UNASKED: {request_id}")
            return
        held = {entry.request_id for entry in instance.log}
        rolled_back = self.world.history.rolled_back
        for commit in self.world.history.acknowledged:
            due = _must_be_seen(commit, expected, began)
            if due and commit.request_id not in held and commit.request_id not in rolled_back:
                self.world.history.stale[request_id] = (
                    f"STALE: {request_id} ({expected.consistency.value}) on {instance.name} "
                    f"at {instance.position} lacks {commit}"
                )
                return
        self.world.history.stale.pop(request_id, None)


def _must_be_seen(commit: AcknowledgedCommit, expected: ExpectedRequest, began: float) -> bool:
    if expected.consistency is ReadConsistency.LATEST:
        return commit.at < min(expected.arrived_at, began)
    if commit.at < expected.arrived_at - expected.staleness:
        return True
    own = expected.consistency is ReadConsistency.SESSION
    return own and commit.request_id in expected.session_commits


@dataclass(slots=True)
class _LinkTransaction:
    read_only: bool
    writes: list[str] = field(default_factory=list)
    failed: bool = False
    session: int = -1
    began: float = 0.0


class SimulatedLink:
    """One server connection."""

    def __init__(self, node: str, instance: SimulatedInstance, on_lost: Callable[[], None]) -> None:
        self.node = node
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
        return self._instance.group.world

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
        if not self._instance.alive or self.silent:
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
        await asyncio.sleep(WORK_SECONDS)
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
            self._instance.group.check_read(self._instance, message.request_id, began)
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
        newest = instance.group.primary()
        replaced = newest.term > term
        too_late = f"ONE: {instance.name} committed {named} after {newest.name}" if replaced else ""
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

    async def _control(self, act: Callable[[], None]) -> InstanceStatus:
        async def work() -> InstanceStatus:
            await self._world.network.travel(self.node, self._instance.name)
            await self._while_dark()
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

    async def connect(self, entry: DirectoryEntry, on_lost: Callable[[], None]) -> SimulatedLink:
        """Open a connection to an instance."""
        instance = self._group.instances[entry.instance]
        network = self._group.world.network
        await network.travel(self.node, instance.name)
        if not instance.alive:
            if self._group.resets:
                raise BackendConnectionLost("refused", sent=False)
            await asyncio.get_running_loop().create_future()
        await asyncio.sleep(CONNECT_SECONDS)
        await network.travel(instance.name, self.node)
        if len(instance.links) >= self._group.world.connection_limit:
            raise BackendRefused("the limit is met", "53300")
        link = SimulatedLink(self.node, instance, on_lost)
        instance.links.add(link)
        return link
