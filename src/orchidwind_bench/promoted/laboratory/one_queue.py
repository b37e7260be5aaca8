"""Requests of several kinds and tenants in one admission queue, without proxies and connections.

Shows what the queue itself decides: a fixed number of slots, arrivals and execution times drawn
before the run, no retries. Used by the load tests. Times are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import exp, inf, log
from random import Random

from orchidwind.promoted.core.command_limits import TimeLimits, traffic_class
from orchidwind.promoted.core.configuration import DatabaseRoute
from orchidwind.shared.core.admission import AdmissionQueue, Admitted
from orchidwind_bench.promoted.laboratory.load import LoadKind
from orchidwind_bench.promoted.laboratory.play import LoadPlan

# Standard deviation of the logarithm of execution times, which are log-normal.
_WORK_SPREAD = 0.7


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """One request; `tenant` is the number of its tenant."""

    ticket: int
    kind: LoadKind
    tenant: int
    arrives: float
    work: float


def draw_requests(plan: LoadPlan) -> list[QueuedRequest]:
    """Return the requests of a plan for the slots of one instance."""
    random, found, now = Random(plan.seed), list[QueuedRequest](), 0.0
    shares = plan.sent_shares()
    mean = sum(kind.share * kind.work for kind in plan.kinds)
    rate = plan.load * plan.slots / mean * sum(shares)
    while now < plan.seconds:
        now += random.expovariate(rate)
        kind = random.choices(plan.kinds, [kind.share for kind in plan.kinds])[0]
        tenant = random.choices(range(plan.tenants), shares)[0]
        work = exp(random.gauss(log(kind.work) - _WORK_SPREAD**2 / 2, _WORK_SPREAD))
        found.append(QueuedRequest(len(found), kind, tenant, now, work))
    return found


@dataclass(slots=True)
class OneQueue:
    """The running requests of one queue, and the latency of each that was answered, by ticket."""

    slots: int
    weights: list[float]
    queue: AdmissionQueue = field(default_factory=AdmissionQueue)
    latency: dict[int, float] = field(default_factory=dict)
    _running: list[tuple[float, int]] = field(default_factory=list)
    _admitted: dict[int, Admitted] = field(default_factory=dict)
    _requests: dict[int, QueuedRequest] = field(default_factory=dict)

    def arrive(self, request: QueuedRequest) -> None:
        """Run until a request arrives, and let it in or refuse it."""
        self.run_until(request.arrives)
        self._requests[request.ticket] = request
        kind = request.kind
        name = kind.consistency.value
        database = DatabaseRoute(
            name, "group", kind.consistency, 1.0, kind.statement_timeout, kind.target, kind.priority
        )
        limits = TimeLimits.for_new_command(database, request.arrives)
        self.queue.enqueue(
            request.ticket,
            traffic_class(database),
            request.arrives,
            limits.hold_until,
            self.slots,
            limits.target_at,
            str(request.tenant),
            self.weights[request.tenant],
        )
        self._start(request.arrives)

    def run_until(self, until: float) -> None:
        """Carry out what happens up to a time."""
        while True:
            ends = self._running[0][0] if self._running else inf
            refuses = self.queue.deadline()
            refuses = inf if refuses is None else refuses
            now = min(ends, refuses)
            if now > until or now == inf:
                return
            if ends <= refuses:
                self._end(now)
            else:
                self.queue.expire(now)
            self._start(now)

    def _end(self, now: float) -> None:
        ticket = heappop(self._running)[1]
        request = self._requests[ticket]
        self.queue.record_service_time(request.work, self._admitted.pop(ticket))
        self.latency[ticket] = now - request.arrives

    def _start(self, now: float) -> None:
        while len(self._running) < self.slots and (admitted := self.queue.take(now)) is not None:
            self._admitted[admitted.ticket] = admitted
            ends = now + self._requests[admitted.ticket].work
            heappush(self._running, (ends, admitted.ticket))


@dataclass(frozen=True, slots=True)
class TenantService:
    """The share of a tenant's requests answered in time, and the 99th percentile of latencies."""

    in_time: float
    slowest: float


def play_one_queue(plan: LoadPlan) -> list[TenantService]:
    """Run a plan in one queue; return the service of each tenant."""
    requests = draw_requests(plan)
    one = OneQueue(plan.slots, plan.usual_shares())
    for request in requests:
        one.arrive(request)
    one.run_until(inf)
    return [_service(one, requests, tenant) for tenant in range(plan.tenants)]


def _service(one: OneQueue, requests: list[QueuedRequest], tenant: int) -> TenantService:
    sent = [request for request in requests if request.tenant == tenant]
    answered = [request for request in sent if request.ticket in one.latency]
    in_time = sum(one.latency[item.ticket] <= item.kind.target for item in answered)
    latencies = sorted(one.latency[item.ticket] for item in answered)
    return TenantService(in_time / len(sent), latencies[len(latencies) * 99 // 100])
