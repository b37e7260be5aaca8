"""Callers of the simulated world, and the checks of what they were told."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from orchidwind.promoted.callers.session_executor import SessionExecutor
from orchidwind.promoted.core.commands import Command, CommandKind, CommandResult
from orchidwind.promoted.core.configuration import ReadConsistency
from orchidwind.promoted.core.distances import ONE_REGION
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.ports import ProxyPorts
from orchidwind.promoted.proxy_runtime import ProxyRuntime
from orchidwind.promoted.store_era import StoreEra
from orchidwind.promoted.views.followed_views import ProxyBounds
from orchidwind.shared.core.errors import ANSWERS, ErrorKind, Ran, RequestError
from orchidwind.shared.core.tenant_connections import NO_TENANT
from orchidwind.shared.core.tenants import key_digest
from orchidwind_bench.promoted.simulation.connections import SimulatedConnector
from orchidwind_bench.promoted.simulation.groups import SimulatedGroup
from orchidwind_bench.promoted.simulation.members import SimulatedMembers
from orchidwind_bench.promoted.simulation.peers import SimulatedLinks, SimulatedPeerConnector
from orchidwind_bench.promoted.simulation.world import (
    CONNECTION_LIMIT,
    ExpectedRequest,
    SimulatedConfiguration,
    SimulatedDirectory,
    SimulatedLeases,
    SimulatedLockSource,
    SimulatedLockStore,
    SimulatedPromotions,
    SimulatedQuotaShares,
    SimulatedRosters,
    World,
)

NODES = ("proxy-a", "proxy-b", "proxy-c")
ZONES = ("zone-a", "zone-b", "zone-c")
_PEER_PORT = 1
_THINK_SECONDS = 0.02
_BOUNDED_STALENESS = 1.5


@dataclass(slots=True)
class Attempt:
    """One write, alone or in a transaction, and what its caller was told in the end."""

    request_ids: list[str]
    error: ErrorKind | None = None
    acknowledged: bool = False
    ended_at: float = 0.0


@dataclass(slots=True)
class Tally:
    """What all callers were told."""

    attempts: list[Attempt] = field(default_factory=list)
    reads: int = 0
    reads_failed: int = 0
    write_times: list[float] = field(default_factory=list)
    # When and by which proxy reads of the latest state were answered.
    reads_at: list[tuple[float, str]] = field(default_factory=list)

    @property
    def read_times(self) -> list[float]:
        """When reads of the latest state were answered."""
        return [at for at, _ in self.reads_at]


class CallersSystem(Protocol):
    """What callers need of the system that they ask."""

    world: World
    nodes: dict[str, ProxyRuntime]
    tally: Tally


class SimulatedCaller:
    """One session after another on one proxy, with random commands."""

    think_seconds = _THINK_SECONDS
    # Whose API key it names; empty where callers need none.
    tenant = NO_TENANT

    def __init__(
        self, system: CallersSystem, node_name: str, number: int, consistency: ReadConsistency
    ) -> None:
        self._system = system
        self._node_name = node_name
        self._node = system.nodes[node_name]
        self._number = number
        self._consistency = consistency
        self._random = system.world.random
        self._executor = self._open_session()
        self._settings: dict[str, str] = {}
        self._commits: list[str] = []
        self._next = 0

    @property
    def _database(self) -> str:
        """The database as the caller names it."""
        return self._consistency.value

    async def run(self, until: float) -> None:
        """Ask until a time."""
        await self._node.wait_prepared(until)
        while self._system.world.now < until:
            await asyncio.sleep(self._random.random() * 2 * self.think_seconds)
            if self._node is not self._system.nodes[self._node_name]:
                self._node = self._system.nodes[self._node_name]
                self.new_session()
                await self._node.wait_prepared(until)
            if self._node.database(self._database) is None:
                continue  # it has just started and knows no configuration: ask again later
            await self._operate()
            if self._random.random() < 0.05:
                self.new_session()
        self._executor.close()

    async def _operate(self) -> None:
        """One operation, whichever comes."""
        choice = self._random.random()
        if choice < 0.15:
            await self._set()
        elif choice < 0.5:
            await self._read()
        elif choice < 0.75:
            await self._write()
        else:
            await self._transaction()

    def _open_session(self) -> SessionExecutor:
        return SessionExecutor(self._node, self._database, key_digest(self.tenant))

    def new_session(self) -> None:
        """Leave the session, if there is one, and begin another."""
        self._executor.close()
        self._executor = self._open_session()
        self._settings = {}
        self._commits = []

    def _command(self, kind: CommandKind, text: str) -> Command:
        self._next += 1
        request_id = f"{self._number}-{self._next}"
        self._system.world.history.expected[request_id] = ExpectedRequest(
            arrived_at=self._system.world.now,
            consistency=self._consistency,
            staleness=_BOUNDED_STALENESS,
            session=id(self._executor),
            settings=tuple(sorted(self._settings.items())),
            session_commits=tuple(self._commits),
            tenant=self.tenant,
        )
        return Command(request_id, kind, text)

    async def _set(self) -> None:
        name, value = self._random.choice("xyz"), str(self._random.randrange(3))
        command = Command("-", CommandKind.SET, f"SET {name} {value}", name, value)
        await self._executor.execute(command)
        self._settings[name] = value

    async def _run(self, command: Command) -> CommandResult:
        result = await self._executor.execute(command)
        asks_instance = command.kind in (CommandKind.READ, CommandKind.WRITE, CommandKind.COMMIT)
        if asks_instance and not result.signature.endswith(f"-{command.request_id}"):
            self._system.world.history.blame(
                self._system.world.now, f"MIXED: {command.request_id} got {result.signature}"
            )
        stale = self._system.world.history.stale.get(command.request_id)
        if stale is not None:
            self._system.world.history.blame(self._system.world.now, stale)
        return result

    async def _read(self) -> None:
        self._system.tally.reads += 1
        try:
            await self._run(self._command(CommandKind.READ, "READ x"))
            if self._consistency is ReadConsistency.LATEST:
                self._system.tally.reads_at.append((self._system.world.now, self._node_name))
        except RequestError:
            self._system.tally.reads_failed += 1

    async def _write(self) -> None:
        command = self._command(CommandKind.WRITE, "WRITE x y")
        attempt = Attempt([command.request_id])
        self._system.tally.attempts.append(attempt)
        try:
            await self._run(command)
            self._acknowledged(attempt)
        except RequestError as error:
            attempt.error = error.kind
        attempt.ended_at = self._system.world.now

    def _acknowledged(self, attempt: Attempt) -> None:
        attempt.acknowledged = True
        world = self._system.world
        for request_id in attempt.request_ids:
            world.history.acknowledge(world.now, request_id)
        self._commits.extend(attempt.request_ids)
        self._system.tally.write_times.append(self._system.world.now)

    async def _transaction(self) -> None:
        attempt = Attempt([])
        self._system.tally.attempts.append(attempt)
        try:
            await self._executor.execute(Command("-", CommandKind.BEGIN, "BEGIN"))
            for _ in range(self._random.randrange(1, 4)):
                await asyncio.sleep(self._random.random() * 0.03)
                await self._statement_in(attempt)
            if self._random.random() < 0.2:
                await self._executor.execute(Command("-", CommandKind.ROLLBACK, "ROLLBACK"))
                attempt.error = ErrorKind.TRANSACTION_LOST
                return
            await self._run(self._command(CommandKind.COMMIT, "COMMIT"))
            if attempt.request_ids:
                self._acknowledged(attempt)
        except RequestError as error:
            attempt.error = error.kind
            if self._executor.session.failed:
                await self._executor.execute(Command("-", CommandKind.ROLLBACK, "ROLLBACK"))
        attempt.ended_at = self._system.world.now

    async def _statement_in(self, attempt: Attempt) -> None:
        if self._random.random() < 0.5:
            command = self._command(CommandKind.WRITE, "WRITE x y")
            attempt.request_ids.append(command.request_id)
        else:
            command = self._command(CommandKind.READ, "READ x")
        await self._run(command)


class ReadingCaller(SimulatedCaller):
    """A caller that only reads, so that no refused write tells its proxy who leads."""

    async def _operate(self) -> None:
        await self._read()


class PromotedSystem:
    """Some proxies, one group of instances, and callers on each proxy.

    `regions`: what the proxies' settings say about the zones; those that start later learn it.
    """

    regions = ONE_REGION

    def __init__(
        self,
        seed: int,
        instances: int = 3,
        connection_limit: int = CONNECTION_LIMIT,
        proxies: tuple[str, ...] = NODES,
        bounds: ProxyBounds | None = None,
    ) -> None:
        """With a `connection_limit` too low for all `proxies`, some forward to the others."""
        self._bounds = bounds
        self.world = World(seed, connection_limit)
        self.group = SimulatedGroup(self.world, (ZONES * 2)[:instances], seed)
        self.tally = Tally()
        self.nodes: dict[str, ProxyRuntime] = {}
        self._proxies = proxies
        self.links = SimulatedLinks(self.world, self.nodes)
        self.start_proxies()

    def start_proxies(self) -> None:
        """Start every proxy anew, without memory; those that ran before are ended."""
        for name in self._proxies:
            self.restart_proxy(name)

    def add_proxy(self, name: str) -> None:
        """Start one more proxy."""
        self._proxies = (*self._proxies, name)
        self.restart_proxy(name)

    def restart_proxy(self, name: str) -> None:
        """Start one proxy anew, without memory."""
        if name in self.nodes:
            self.links.break_off(name)
            self.nodes[name].close()
        zone = ZONES[self._proxies.index(name) % len(ZONES)]
        own = ProxyMember(name, zone, name, _PEER_PORT)
        self.nodes[name] = ProxyRuntime(own, self._ports(name), self._bounds, regions=self.regions)
        self.nodes[name].start()

    def _ports(self, name: str) -> ProxyPorts:
        # A process that starts knows of no era.
        self.world.store.known_eras[name] = StoreEra()
        return ProxyPorts(
            store_era=self.world.store.known_eras[name],
            connector=SimulatedConnector(name, self.group),
            directory=SimulatedDirectory(self.world, name),
            configuration=SimulatedConfiguration(self.world, name),
            lock_store=SimulatedLockStore(self.world, name),
            lock_source=SimulatedLockSource(self.world, name),
            leases=SimulatedLeases(self.world, name),
            roster_source=SimulatedRosters(self.world, name),
            roster_store=SimulatedRosters(self.world, name),
            quota_share_source=SimulatedQuotaShares(self.world, name),
            quota_share_store=SimulatedQuotaShares(self.world, name),
            member_source=SimulatedMembers(self.world, name),
            member_store=SimulatedMembers(self.world, name),
            peers=SimulatedPeerConnector(self.links, name),
            promotions=SimulatedPromotions(self.world, name, self._promote),
        )

    def _promote(self, group: str, instance: str) -> bool:
        return self.group.promote(instance)

    async def run(
        self, seconds: float, callers_a_node: int = 4, read_only_proxies: tuple[str, ...] = ()
    ) -> None:
        """Let the callers ask for some seconds, then check what they were told.

        Callers on `read_only_proxies` do not write.
        """
        shipping = asyncio.get_running_loop().create_task(self.group.keep_shipping())
        kinds = list(ReadConsistency)
        callers = []
        for index, name in enumerate(self.nodes):
            for number in range(callers_a_node):
                kind = kinds[number % len(kinds)]
                caller_type = ReadingCaller if name in read_only_proxies else SimulatedCaller
                caller = caller_type(self, name, index * 100 + number, kind)
                callers.append(asyncio.get_running_loop().create_task(caller.run(seconds)))
        await asyncio.gather(*callers)
        shipping.cancel()
        self.check()

    def check(self) -> None:
        """Compare what the callers were told with the logs."""
        check_told(self.world, self.group, self.tally)


def check_told(world: World, group: SimulatedGroup, tally: Tally) -> None:
    """Compare what callers were told with the log of their group; blames what differs."""
    logged: dict[str, int] = {}
    for entry in group.primary().log:
        logged[entry.request_id] = logged.get(entry.request_id, 0) + 1
    history = world.history
    for request_id, times in logged.items():
        if times > 1:
            history.blame(world.now, f"TWICE: {request_id}")
    for attempt in tally.attempts:
        promised = attempt.error is not None and ANSWERS[attempt.error].ran is Ran.NO
        promised = promised and attempt.error is not ErrorKind.STATEMENT_FAILED
        for request_id in attempt.request_ids:
            if promised and request_id in logged:
                history.blame(world.now, f"REFUSED: {request_id} {attempt.error}")
            lost = attempt.acknowledged and request_id not in logged
            if lost and request_id not in history.rolled_back:
                history.blame(world.now, f"LOST: {request_id}")
