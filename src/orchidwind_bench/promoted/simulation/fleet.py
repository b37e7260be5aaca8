"""A fleet of many proxies before several groups, on virtual time, with callers on each proxy.

Each group has a history of its own, as the checks compare with the commits of one group; network,
store and randomness are the world's.
"""

from __future__ import annotations

import asyncio
import copy
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, cast

from msgspec.structs import replace

from orchidwind.promoted.core.commands import (
    Command,
    CommandKind,
    CommandResult,
    InstanceMessage,
    InstanceStatus,
    Reply,
)
from orchidwind.promoted.core.configuration import DirectoryEntry, ReadConsistency
from orchidwind.promoted.ports import ProxyPorts
from orchidwind.promoted.proxy_runtime import ProxyRuntime
from orchidwind.shared.core.errors import ANSWERS, ErrorKind, Ran, RequestError
from orchidwind_bench.promoted.simulation.callers import (
    PromotedSystem,
    SimulatedCaller,
    Tally,
    check_told,
)
from orchidwind_bench.promoted.simulation.connections import SimulatedConnector, SimulatedLink
from orchidwind_bench.promoted.simulation.groups import SimulatedGroup
from orchidwind_bench.promoted.simulation.store import (
    SimulatedStore,
    simulated_configuration,
)
from orchidwind_bench.promoted.simulation.world import History, World

ZONES = ("zone-a", "zone-b", "zone-c")
_THINK_SECONDS = 0.3
# Until when an operation is tried again: twice the statement time-out of the simulated databases.
_OPERATION_SECONDS = 1.6
_REPEAT_PAUSE_SECONDS = 0.05
_AGE_EVERY_SECONDS = 0.1


class _GroupDirectory:
    """The store as one group's instances write to it: under names of their own."""

    def __init__(self, store: SimulatedStore, group: str) -> None:
        self._store = store
        self._group = group

    def put_entry(self, entry: DirectoryEntry) -> None:
        """An instance writes its entry."""
        name = f"{self._group}/{entry.instance}"
        self._store.put_entry(replace(entry, group=self._group, instance=name))

    def drop_entry(self, instance: str) -> None:
        """An instance's entry goes."""
        self._store.drop_entry(f"{self._group}/{instance}")

    def __getattr__(self, name: str) -> Any:
        return getattr(self._store, name)


def _own_name(instance: str) -> str:
    """An instance's name within its group."""
    return instance.rpartition("/")[2]


class FleetLink:
    """One server connection, on which also the answers to control calls may be swallowed."""

    def __init__(self, link: SimulatedLink) -> None:
        self.link = link

    async def exchange(self, messages: tuple[InstanceMessage, ...]) -> tuple[Reply, ...]:
        """Run messages in order."""
        return await self.link.exchange(messages)

    async def _answered(self, call: Awaitable[InstanceStatus]) -> InstanceStatus:
        status = await call
        if self.link.deaf:
            await asyncio.get_running_loop().create_future()
        return status

    async def status(self) -> InstanceStatus:
        """Tell the status."""
        return await self._answered(self.link.status())

    async def fence(self, term: int) -> InstanceStatus:
        """Accept no primary below a term."""
        return await self._answered(self.link.fence(term))

    async def unfence(self) -> InstanceStatus:
        """Receive again."""
        return await self._answered(self.link.unfence())

    async def demote(self, term: int) -> InstanceStatus:
        """Turn a primary of a lower term into a replica."""
        return await self._answered(self.link.demote(term))

    def close(self) -> None:
        """The proxy ends the connection."""
        self.link.close()


class _FleetConnector:
    """Opens connections for one proxy to the instances of all groups."""

    def __init__(self, node: str, groups: dict[str, SimulatedGroup]) -> None:
        self._connectors = {name: SimulatedConnector(node, group) for name, group in groups.items()}

    async def connect(
        self, entry: DirectoryEntry, on_lost: Callable[[], None], tenant: str
    ) -> FleetLink:
        """Open a connection to an instance."""
        own = replace(entry, instance=_own_name(entry.instance))
        return FleetLink(await self._connectors[entry.group].connect(own, on_lost, tenant))


@dataclass(frozen=True, slots=True)
class Outcome:
    """One operation of a caller: when it began and ended, and whether all of it was served.

    `served_at_once` where its first attempt was.
    """

    began: float
    ended: float
    served: bool
    served_at_once: bool
    group: str


@dataclass(slots=True)
class GroupSide:
    """One group as its callers see it."""

    name: str
    world: World
    nodes: dict[str, ProxyRuntime]
    group: SimulatedGroup
    tally: Tally = field(default_factory=Tally)


class FleetCaller(SimulatedCaller):
    """One session after another at one proxy, on one group.

    An operation is tried again whole, with new ids, as the first users' clients do: within its
    time, unless its COMMIT or single write was sent and the answer made no promise.
    """

    think_seconds = _THINK_SECONDS

    def __init__(
        self, side: GroupSide, node_name: str, number: int, consistency: ReadConsistency
    ) -> None:
        self._side = side
        self._error: ErrorKind | None = None
        self._final_sent = False
        self.outcomes: list[Outcome] = []
        super().__init__(side, node_name, number, consistency)

    @property
    def _database(self) -> str:
        return f"{self._consistency.value}-{self._side.name}"

    async def _run(self, command: Command) -> CommandResult:
        in_transaction = self._executor.session.transaction is not None
        single_write = command.kind is CommandKind.WRITE and not in_transaction
        self._final_sent = command.kind is CommandKind.COMMIT or single_write
        try:
            return await super()._run(command)
        except RequestError as error:
            self._error = error.kind
            raise

    async def _operate(self) -> None:
        chosen = self._random.choice((self._read, self._read, self._write, self._transaction))
        began = self._side.world.now
        attempts = 0
        while True:
            self._error = None
            await chosen()
            attempts += 1
            now = self._side.world.now
            if self._error is None or not self._may_repeat(now - began):
                break
            await asyncio.sleep(self._random.random() * 2 * _REPEAT_PAUSE_SECONDS)
        served = self._error is None
        at_once = served and attempts == 1
        self.outcomes.append(Outcome(began, now, served, at_once, self._side.name))

    def _may_repeat(self, spent: float) -> bool:
        assert self._error is not None
        promised = ANSWERS[self._error].ran is Ran.NO
        return spent < _OPERATION_SECONDS and (promised or not self._final_sent)


class FleetSystem(PromotedSystem):
    """Proxies, groups, and callers. `sides` has the groups by name."""

    def __init__(
        self, seed: int, proxies: tuple[str, ...], groups: tuple[str, ...], connection_limit: int
    ) -> None:
        super().__init__(seed, connection_limit=connection_limit, proxies=())
        store = self.world.store
        for instance in list(store.entries):
            store.drop_entry(instance)
        store.configuration = simulated_configuration(groups, connection_limit)
        self.sides: dict[str, GroupSide] = {}
        for name in groups:
            world = copy.copy(self.world)
            world.history = History()
            world.store = cast(SimulatedStore, _GroupDirectory(store, name))
            self.sides[name] = GroupSide(name, world, self.nodes, SimulatedGroup(world, ZONES))
        self._groups = {name: side.group for name, side in self.sides.items()}
        self._proxies = proxies
        self.outcomes: list[Outcome] = []
        self.greatest_ages: dict[str, float] = {}
        self.start_proxies()

    def _ports(self, name: str) -> ProxyPorts:
        return replace(
            super()._ports(name),
            connector=_FleetConnector(name, self._groups),
        )

    def _promote(self, group: str, instance: str) -> bool:
        return self._groups[group].promote(_own_name(instance))

    async def settle(self) -> None:
        """Wait until all proxies serve."""
        for node in list(self.nodes.values()):
            assert await node.wait_prepared(10.0)

    async def ask(self, seconds: float, callers_a_node: int = 1) -> None:
        """Let callers ask for some seconds, then check what they were told."""
        loop = asyncio.get_running_loop()
        upkeep = [loop.create_task(side.group.keep_shipping()) for side in self.sides.values()]
        upkeep.append(loop.create_task(self._watch_ages()))
        until = self.world.now + seconds
        callers = []
        for number, (node, side) in enumerate(self._places(callers_a_node)):
            kind = list(ReadConsistency)[number % len(ReadConsistency)]
            callers.append(FleetCaller(side, node, number, kind))
        await asyncio.gather(*(caller.run(until) for caller in callers))
        for task in upkeep:
            task.cancel()
        self.outcomes = [outcome for caller in callers for outcome in caller.outcomes]
        for side in self.sides.values():
            check_told(side.world, side.group, side.tally)

    def _places(self, callers_a_node: int) -> Iterator[tuple[str, GroupSide]]:
        sides = list(self.sides.values())
        for index, node in enumerate(self.nodes):
            for number in range(callers_a_node):
                yield node, sides[(index // len(ZONES) + number) % len(sides)]

    async def _watch_ages(self) -> None:
        while True:
            await asyncio.sleep(_AGE_EVERY_SECONDS)
            for node in self.nodes.values():
                for name, watch in node.views.watches.items():
                    if node.prepared and watch.revision >= 0:
                        held = self.greatest_ages.get(name, 0.0)
                        self.greatest_ages[name] = max(held, watch.age)

    @property
    def broken(self) -> list[str]:
        """Broken promises of all groups."""
        histories = [self.world.history, *(side.world.history for side in self.sides.values())]
        return [blame for history in histories for blame in history.broken]

    @property
    def promotions(self) -> int:
        """Changes of primary in all groups."""
        return sum(len(side.world.history.promotions) for side in self.sides.values())

    def served_share(
        self, since: float, until: float = float("inf"), at_once: bool = False
    ) -> float:
        """Of the operations that began in a time, how many were served; `at_once`: first tries."""
        begun = [item for item in self.outcomes if since <= item.began < until]
        served = [item.served_at_once if at_once else item.served for item in begun]
        return served.count(True) / len(served)

    # --- connections that fall silent -----------------------------------------------------------

    def silence(self, share: float, one_way: bool = False) -> int:
        """A share of all open connections falls silent for good; how many. New ones work.

        `one_way`: what one of the two ends sends still arrives.
        """
        random = self.world.random
        silenced = 0
        for link in sorted(self.links.links, key=lambda link: (link.front, link.home)):
            if random.random() < share:
                silenced += 1
                link.silent = not one_way
                link.silent_from = random.choice((link.front, link.home))
        for connection in self._instance_links():
            if random.random() < share:
                silenced += 1
                connection.silent = not one_way
                connection.deaf = one_way
        store = self.world.store
        swallowed = [number for number in store.waiting if random.random() < share]
        store.swallowed.update(swallowed)
        return silenced + len(swallowed)

    def _instance_links(self) -> Iterator[SimulatedLink]:
        """Those of the pools in the order of their opening, then those for status queries."""
        for node in self.nodes.values():
            for group in node.groups.values():
                held = (
                    *group.connections.records.links.values(),
                    *group.status_calls.links.values(),
                )
                yield from (item.link for item in held if isinstance(item, FleetLink))
