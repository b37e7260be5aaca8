"""Runs load and faults against proxies and one group of instances, on virtual time.

The decisions of the proxy (placing, queueing and refusing requests, excluding an instance) run the
product's code; only sockets, the store and the instances are simulated. Defines the plan of one run
and its figures. Builds on the simulated fleet. Each instance has a limited number of slots.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from math import exp, log

from msgspec.structs import replace

from orchidwind.promoted.core.distances import ONE_REGION, Regions
from orchidwind.shared.core.tenant_connections import NO_TENANT
from orchidwind.shared.core.tenants import Tenant, key_digest
from orchidwind_bench.promoted.laboratory.load import (
    KINDS,
    LoadCaller,
    LoadKind,
    OperationOutcome,
    Result,
)
from orchidwind_bench.promoted.simulation.fleet import FleetSystem, GroupSide
from orchidwind_bench.promoted.simulation.instance_slots import InstanceSlots
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual

PROXIES = tuple(f"proxy-{number}" for number in range(6))
# The first is the primary.
INSTANCES = ("i-0", "i-1", "i-2")
SLOTS = 3
QUEUE_BOUND = 24
CONNECTION_LIMIT = 63
# Execution times of one kind are log-normal: the standard deviation of their logarithm.
_WORK_SPREAD = 0.7
_SETTLE_SECONDS = 2.0

# Tenant number N has a share of the load proportional to 1 / (N + this): of 60 tenants, the last
# has a twelfth of the share of the first.
_TENANT_WEIGHT_OFFSET = 5
# Scale of the quotas: together they are many times the capacity of the instances.
_QUOTA_SCALE = 50_000.0
# The load of a greedy tenant, as a multiple of its usual load.
GREEDY_FACTOR = 8.0

# Two regions: the primary and one replica are in the first, the other replica in the second.
TWO_REGIONS = Regions({"zone-a": "west", "zone-b": "west", "zone-c": "east"})
# Seconds that a message between two regions takes.
BORDER_SECONDS = 0.02

Fault = Callable[[FleetSystem], None]
# Returns the weight of each proxy in the load, in the order of `PROXIES`, at a time in seconds from
# the start of the load.
ProxyWeights = Callable[[float], Sequence[float]]


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Load and faults of one run.

    `load` is the offered load as a fraction of the capacity of all slots. `faults` are pairs of a
    time, in seconds from the start of the load, and the fault. `tenants` is the number of tenants
    that share the load, each with a slightly smaller share than the one before; with 0, callers
    need no key. The tenants with the numbers `greedy` send `GREEDY_FACTOR` times their usual load,
    in addition to `load`. Quotas are `quota_factor` times the usual load, or very high if it is
    None. Each instance has `slots` slots; `kinds` are the kinds of requests.

    With `regions`, proxies and instances are in `TWO_REGIONS`; `known_regions` is what the proxies'
    settings say about them. `wave` pairs times with the share of the arrivals that come to proxies
    of the second region from then on. `proxy_weights` spreads the load unevenly over
    the proxies; None spreads it evenly.
    """

    load: float = 0.5
    seconds: float = 8.0
    faults: tuple[tuple[float, Fault], ...] = ()
    seed: int = 1
    tenants: int = 0
    greedy: tuple[int, ...] = ()
    quota_factor: float | None = None
    slots: int = SLOTS
    kinds: tuple[LoadKind, ...] = KINDS
    regions: bool = False
    known_regions: Regions = TWO_REGIONS
    wave: tuple[tuple[float, float], ...] = ()
    proxy_weights: ProxyWeights | None = None

    @property
    def usual_rate(self) -> float:
        """The arrivals per second that occupy the fraction `load` of all slots."""
        mean = sum(kind.share * kind.work for kind in self.kinds)
        return self.load * self.slots * len(INSTANCES) / mean

    def usual_shares(self) -> list[float]:
        """Return the share of the usual load of each tenant."""
        weights = [1 / (number + _TENANT_WEIGHT_OFFSET) for number in range(self.tenants)]
        return [weight / sum(weights) for weight in weights]

    def sent_shares(self) -> list[float]:
        """Return what each tenant sends, as a share of the usual load of all."""
        return [
            share * (GREEDY_FACTOR if number in self.greedy else 1.0)
            for number, share in enumerate(self.usual_shares())
        ]


@dataclass(frozen=True, slots=True)
class RanAt:
    """A statement that an instance began, and the proxy that its caller asked."""

    at: float
    instance: str
    node: str


class LaboratorySystem(FleetSystem):
    """Six proxies, all of them home proxies, in front of one group of three instances."""

    def __init__(self, plan: LoadPlan) -> None:
        self.regions = plan.known_regions if plan.regions else ONE_REGION
        super().__init__(plan.seed, PROXIES, ("group",), CONNECTION_LIMIT)
        self._plan = plan
        self._tenants = [_tenant(plan, number) for number in range(plan.tenants)]
        self._sent_shares = plan.sent_shares()
        self.asked_at: dict[str, str] = {}
        self.ran: list[RanAt] = []
        if plan.regions:
            self._put_border(BORDER_SECONDS)
        self.work: dict[str, float] = {}
        self.refused_after: list[float] = []
        self.began_at = 0.0
        self._idle: dict[tuple[str, LoadKind, str], list[LoadCaller]] = {}
        self._callers = 0
        for name in INSTANCES:
            instance = self.side.group.instances[name]
            instance.slots = InstanceSlots(plan.slots, QUEUE_BOUND, partial(self._begin_work, name))
        self._put_configuration()

    @property
    def side(self) -> GroupSide:
        """The only group, as its callers see it."""
        return self.sides["group"]

    def _put_border(self, seconds: float) -> None:
        network = self.world.network
        network.border_seconds = seconds
        for name, node in self.nodes.items():
            network.region_of[name] = TWO_REGIONS.region_of(node.zone)
        for name in INSTANCES:
            zone = self.side.group.instances[name].zone
            network.region_of[name] = TWO_REGIONS.region_of(zone)

    def _begin_work(self, instance: str, request_id: str) -> float:
        """Note that an instance begins a statement, and return its execution time in seconds."""
        node = self.asked_at.get(request_id)
        if node is not None:
            self.ran.append(RanAt(self.world.now - self.began_at, instance, node))
        return self._work_of(request_id)

    def _put_configuration(self) -> None:
        """Store a configuration with the latency targets of the request kinds and the tenants."""
        configuration = self.world.store.configuration
        assert configuration is not None
        databases = dict(configuration.databases)
        for kind in self._plan.kinds:
            name = kind.consistency.value
            databases[name] = replace(
                databases[name],
                target_latency=kind.target,
                statement_timeout=min(kind.deadline, kind.statement_timeout),
                priority=kind.priority,
            )
        self.world.store.put_configuration(
            replace(
                configuration,
                version=configuration.version + 1,
                databases=databases,
                tenants=tuple(self._tenants) or None,
            )
        )

    def _work_of(self, request_id: str) -> float:
        """Return the execution time of a request, in seconds; 1 ms for any other statement."""
        return self.work.get(request_id, 0.001)

    def draw_work(self, kind: LoadKind) -> float:
        """Return a log-normal execution time with the mean of the kind, in seconds."""
        centre = log(kind.work) - _WORK_SPREAD**2 / 2
        return exp(self.world.random.gauss(centre, _WORK_SPREAD))

    async def play(self) -> list[OperationOutcome]:
        """Run the planned load and faults; return the outcome of each operation."""
        plan = self._plan
        loop = asyncio.get_running_loop()
        await self.settle()
        await asyncio.sleep(_SETTLE_SECONDS)
        self.began_at = loop.time()
        shipping = loop.create_task(self.side.group.keep_shipping())
        for at, fault in plan.faults:
            loop.call_later(at, fault, self)
        operations = []
        rate = plan.usual_rate * (sum(self._sent_shares) if self._tenants else 1.0)
        while loop.time() < self.began_at + plan.seconds:
            await asyncio.sleep(self.world.random.expovariate(rate))
            kind = self.world.random.choices(plan.kinds, [kind.share for kind in plan.kinds])[0]
            node = self._draw_proxy(loop.time() - self.began_at)
            operations.append(loop.create_task(self._operate(node, kind)))
        outcomes = await asyncio.gather(*operations)
        shipping.cancel()
        return outcomes

    def _draw_proxy(self, seconds: float) -> str:
        """Return the proxy of the next operation's caller."""
        plan = self._plan
        if plan.proxy_weights is not None:
            return self.world.random.choices(PROXIES, plan.proxy_weights(seconds))[0]
        shares = [share for at, share in plan.wave if at <= seconds]
        if not shares:
            return self.world.random.choice(PROXIES)
        region = "east" if self.world.random.random() < shares[-1] else "west"
        there = [name for name in PROXIES if self.world.network.region_of[name] == region]
        return self.world.random.choice(there)

    async def _operate(self, node: str, kind: LoadKind) -> OperationOutcome:
        """Run one operation through a proxy, in an idle session if there is one."""
        tenant = NO_TENANT
        if self._tenants:
            tenant = self.world.random.choices(self._tenants, self._sent_shares)[0].name
        idle = self._idle.setdefault((node, kind, tenant), [])
        caller = idle.pop() if idle else self._new_caller(node, kind, tenant)
        outcome = await caller.run_operation(kind)
        idle.append(caller)
        return outcome

    def _new_caller(self, node: str, kind: LoadKind, tenant: str) -> LoadCaller:
        self._callers += 1
        caller = LoadCaller(self.side, node, self._callers, kind.consistency)
        caller.plan = self
        caller.tenant = tenant
        caller.new_session()
        return caller


def tenant_name(number: int) -> str:
    """Return the name of a tenant."""
    return f"tenant-{number}"


def _tenant(plan: LoadPlan, number: int) -> Tenant:
    """Create a tenant; unless the plan limits it, its quota is far above the load that it sends."""
    name = tenant_name(number)
    quota = _QUOTA_SCALE / (number + _TENANT_WEIGHT_OFFSET)
    if plan.quota_factor is not None:
        quota = plan.usual_rate * plan.usual_shares()[number] * plan.quota_factor
    return Tenant(name, (key_digest(name),), quota, quota)


def slots(system: FleetSystem, name: str) -> InstanceSlots:
    """Return the slots of an instance, which faults modify."""
    found = system.sides["group"].group.instances[name].slots
    assert found is not None
    return found


@dataclass(frozen=True, slots=True)
class Figures:
    """Results of the operations that began in a period.

    `credit` is a fraction of the credit that these operations could have earned. `in_time`, `late`,
    `refused` and `failed` are fractions of the operations. `median` and `slowest` (the 99th
    percentile) are latencies of the answered operations, in seconds.
    """

    operations: int
    credit: float
    in_time: float
    late: float
    refused: float
    failed: float
    median: float
    slowest: float


def figures(
    outcomes: list[OperationOutcome], since: float, until: float, kind: LoadKind | None = None
) -> Figures:
    """Return the figures of the operations that began in a period, of one kind or of all kinds."""
    return figures_of(
        [
            item
            for item in outcomes
            if since <= item.began < until and (kind is None or item.kind is kind)
        ]
    )


def figures_of(chosen: list[OperationOutcome]) -> Figures:
    """Return the figures of these operations."""
    count = len(chosen)
    served = sorted(
        item.ended - item.began for item in chosen if item.result in (Result.IN_TIME, Result.LATE)
    )
    shares = {
        result: sum(item.result is result for item in chosen) / max(count, 1) for result in Result
    }
    possible_credit = sum(item.kind.credit for item in chosen)
    return Figures(
        operations=count,
        credit=sum(item.credit for item in chosen) / possible_credit if possible_credit else 1.0,
        in_time=shares[Result.IN_TIME],
        late=shares[Result.LATE],
        refused=shares[Result.REFUSED],
        failed=shares[Result.FAILED],
        median=served[len(served) // 2] if served else 0.0,
        slowest=served[len(served) * 99 // 100] if served else 0.0,
    )


@dataclass(frozen=True, slots=True)
class PlayedLoad:
    """The outcomes of one run and the promises that were broken.

    `began_at` is the virtual time at which the load began. `completed` is the number of statements
    that each instance has executed, `refused_after` the seconds that each refused attempt had
    waited, and `connections_opened` the number of connections opened to instances since the start.
    `crossed` is the number of messages between regions since then, `ran` the statements of callers
    in the order in which instances began them.
    """

    outcomes: list[OperationOutcome]
    began_at: float
    broken: list[str]
    completed: dict[str, int]
    refused_after: list[float]
    connections_opened: int
    crossed: int
    ran: list[RanAt]

    def figures(self, since: float, until: float, kind: LoadKind | None = None) -> Figures:
        """Return the figures of a period given in seconds from the start of the load."""
        return figures(self.outcomes, self.began_at + since, self.began_at + until, kind)

    def of_tenant(self, number: int, since: float, until: float) -> Figures:
        """Return the figures of one tenant in a period from the start of the load."""
        return figures_of(
            [
                item
                for item in self.outcomes
                if item.tenant == tenant_name(number)
                and since <= item.began - self.began_at < until
            ]
        )


def play_load(plan: LoadPlan) -> PlayedLoad:
    """Run one plan on virtual time."""
    random.seed(plan.seed)  # makes the product's random pauses reproducible

    async def work() -> PlayedLoad:
        system = LaboratorySystem(plan)
        outcomes = await system.play()
        completed = {name: slots(system, name).completed for name in INSTANCES}
        opened = system.side.group.connections_opened
        return PlayedLoad(
            outcomes,
            system.began_at,
            system.broken,
            completed,
            system.refused_after,
            opened,
            system.world.network.crossed,
            system.ran,
        )

    return run_virtual(work())
