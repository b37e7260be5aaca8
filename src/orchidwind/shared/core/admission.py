"""Weighted fair queueing of requests for the server connections of one instance.

Each traffic class has a weight, a maximum queue length and a deadline. Classes are ordered by
virtual finish time, and each request is charged by the expected service time of its class divided
by the weight: while all classes wait, each gets its weight's share of the time of the slots, so a
class with a low weight is never starved. Within a class, the tenant that was given the least
service for its weight goes first (`fair_queue`), and the requests of a tenant are ordered by their
target, the time by which they should be answered, earliest first. The requests of a tenant that has
used up its share of the slots (`tenant_accounts`) come after those of the others in all classes.
Overdue requests, which can no longer be answered by their target, come after all others: under
overload, the requests that are served are still served in time. Requests without a target are
served in order of arrival.

A request that cannot start before its deadline is refused on arrival, with the time that the queue
needs to drain as its retry delay. An overdue request is refused once no slot is left for overdue
requests. A request that expires in the queue is refused with the time that a single slot needs to
serve all requests still waiting.

Owns: the queues. `service_times` estimates how long a request holds a connection. The user of a
queue passes in the time, in seconds of a monotonic clock, and the number of slots.
"""

from __future__ import annotations

from collections.abc import Container
from enum import Enum, unique
from itertools import chain, count

from msgspec import Struct
from msgspec.structs import replace

from orchidwind.shared.core.fair_queue import Eligible, FairQueue, WaitingRequest, always_eligible
from orchidwind.shared.core.service_times import ServiceTimes
from orchidwind.shared.core.tenant_accounts import TenantAccounts
from orchidwind.shared.core.tenant_connections import NO_TENANT

# Lower bound on the retry delay of a refused request, in seconds. It spreads out the retries of
# callers that were refused at the same time.
_SHORTEST_RETRY_SECONDS = 0.05
# If no slot was left for overdue requests for this many seconds, waiting overdue requests are
# refused, and new requests that would miss their target are refused on arrival.
_NO_SLOT_SECONDS = 0.1
# A request is admitted under overload only if it is expected to use at most this share of the time
# left until its target. The rest is a reserve for requests that were refused elsewhere first, and
# for those that take longer than expected.
_TARGET_SHARE = 0.5
# Upper bound on the retry delay of a request refused because of its target, as a share of the time
# left until the target. Another proxy may have room, and a later retry could hardly be in time.
_TARGET_RETRY_SHARE = 0.1
# Lower bound on the same delay, in seconds: no slot becomes free before a running request ends.
_SHORTEST_TARGET_RETRY_SECONDS = 0.01
# Weight of the newest grant in the mean time between two grants to a class.
_INTERVAL_SMOOTHING = 0.1
# Target time of a request without a target.
NO_TARGET = float("inf")
# Weight of a tenant if no weights are configured.
EQUAL_WEIGHT = 1.0


class TrafficClass(Struct, frozen=True):
    """Scheduling parameters of a traffic class.

    `deadline` is in seconds from the arrival of a request; `queue_bound` is the maximum number of
    waiting requests. The defaults apply to elected groups that configure no traffic classes.
    """

    name: str
    weight: float = 1.0
    deadline: float = 5.0
    queue_bound: int = 200


@unique
class RefusalReason(Enum):
    """Why the queue refused a request."""

    # The traffic class has its maximum number of waiting requests.
    QUEUE_FULL = "queue_full"
    # Without the fair sharing among tenants, the request would have been queued.
    TENANT_SHARE = "tenant_share_used_up"
    # The request cannot start before its deadline, or did not.
    DEADLINE = "deadline_not_reachable"
    # The request cannot be answered by its target, and other requests use all slots.
    TARGET = "target_not_reachable"


class Refusal(Struct, frozen=True):
    """A request was refused; the caller may retry after `retry_after` seconds.

    `expired` is true if the request had been queued, false if it was refused on arrival.
    """

    ticket: int
    retry_after: float
    expired: bool
    reason: RefusalReason = RefusalReason.DEADLINE


class Admitted(Struct, frozen=True):
    """A request that is granted a connection, and the service that its tenant was charged."""

    ticket: int
    class_name: str
    tenant: str
    charged: float


class _ClassQueue(Struct):
    """The waiting requests of one class, and the virtual times of its next request."""

    traffic_class: TrafficClass
    waiting: FairQueue
    virtual_start: float = 0.0
    virtual_finish: float = 0.0
    # Mean seconds between grants while requests wait; when the last was, or the wait began.
    grant_interval: float = 0.0
    waiting_since: float = 0.0

    @property
    def name(self) -> str:
        """The name of the class."""
        return self.traffic_class.name


class _Place(Struct, frozen=True):
    """The queue in which a request waits."""

    queue: _ClassQueue
    tenant: str


class AdmissionQueue:
    """The requests that wait for a server connection of one instance.

    `times` are the estimated times for which requests hold a connection.
    """

    def __init__(self) -> None:
        self.times = ServiceTimes()
        self._classes: dict[str, _ClassQueue] = {}
        self._accounts = TenantAccounts()
        self._virtual_time = 0.0
        self._place_of: dict[int, _Place] = {}
        self._sequence = count()
        # When a slot was last available for overdue requests.
        self._slot_left_at = float("-inf")

    def __len__(self) -> int:
        return len(self._place_of)

    @property
    def service_seconds(self) -> float:
        """The estimated service time of all requests, whatever their class."""
        return self.times.overall.mean

    @service_seconds.setter
    def service_seconds(self, seconds: float) -> None:
        self.times.overall.mean = seconds

    def record_service_time(self, seconds: float, admitted: Admitted, first: bool = True) -> None:
        """Record that an admitted request held a connection this long.

        `first` is false if this is a further statement of a request already recorded. The tenant is
        charged for the difference to what it was charged before.
        """
        self.times.record(admitted.class_name, seconds)
        charged = admitted.charged if first else 0.0
        self._accounts.charge(admitted.tenant, seconds - charged)

    def enqueue(
        self,
        ticket: int,
        traffic_class: TrafficClass,
        now: float,
        expires_at: float,
        slots: int,
        target_at: float = NO_TARGET,
        tenant: str = NO_TENANT,
        tenant_weight: float = EQUAL_WEIGHT,
    ) -> Refusal | None:
        """Queue a request and return None, or return the refusal if it cannot be served in time."""
        queue = self._classes.get(traffic_class.name)
        if queue is None:
            queue = self._classes[traffic_class.name] = _ClassQueue(
                traffic_class, FairQueue(self._accounts)
            )
        queue.traffic_class = traffic_class
        if not self._place_of:
            self._slot_left_at = now
        request = WaitingRequest(ticket, expires_at, target_at)
        refusal = self._refusal(queue, request, now, slots, tenant, tenant_weight)
        if refusal is not None:
            return refusal
        if not queue.waiting:
            self._schedule_next(queue)
            queue.waiting_since = now
        queue.waiting.add(request, next(self._sequence), tenant, tenant_weight)
        self._place_of[ticket] = _Place(queue, tenant)
        return None

    def _refusal(
        self,
        queue: _ClassQueue,
        request: WaitingRequest,
        now: float,
        slots: int,
        tenant: str,
        tenant_weight: float,
    ) -> Refusal | None:
        """Return why a new request is refused, or None if it may wait."""
        name, target_at = queue.name, request.target_at
        wait = self._tenant_wait(queue, tenant, tenant_weight, target_at, slots)
        late = self._lateness(queue, request, now, wait)
        if len(queue.waiting) >= queue.traffic_class.queue_bound:
            return _refused_on_arrival(request, wait, RefusalReason.QUEUE_FULL)
        if late is None:
            return None
        ahead = queue.waiting.all_ahead(target_at) * self.times.expected(name)
        in_order_of_target = self._class_wait(queue, ahead, slots)
        if self._lateness(queue, request, now, in_order_of_target) is None:
            return replace(late, reason=RefusalReason.TENANT_SHARE)
        return late

    def _lateness(
        self, queue: _ClassQueue, request: WaitingRequest, now: float, wait: float
    ) -> Refusal | None:
        """Return the refusal of a request that would be too late after this wait, or None."""
        if now + wait > request.expires_at:
            return _refused_on_arrival(request, wait, RefusalReason.DEADLINE)
        time_left = request.target_at - now
        excess = wait + self.times.expected(queue.name) - time_left * _TARGET_SHARE
        if excess > 0 and now - self._slot_left_at > _NO_SLOT_SECONDS:
            delay = _retry_delay(excess, time_left)
            return Refusal(request.ticket, delay, expired=False, reason=RefusalReason.TARGET)
        return None

    def _schedule_next(self, queue: _ClassQueue) -> None:
        """Set the virtual times of the next request of a class."""
        queue.virtual_start = max(self._virtual_time, queue.virtual_finish)
        service = self.times.expected(queue.name)
        queue.virtual_finish = queue.virtual_start + service / queue.traffic_class.weight

    def _tenant_wait(
        self, queue: _ClassQueue, tenant: str, weight: float, target_at: float, slots: int
    ) -> float:
        """Return the estimated wait of a new request of a tenant, in seconds."""
        service = self.times.expected(queue.name)
        own = queue.waiting.own_ahead(tenant, target_at) * service
        start = self._accounts.virtual_start(tenant)
        if self._accounts.has_share_left(tenant, own):
            until = start + own / weight
            ahead = own + queue.waiting.others_ahead(tenant, until, service)
            return self._class_wait(queue, ahead, slots)
        # The request goes after those of the other tenants in all classes.
        own = sum(
            other.waiting.own_ahead(tenant, target_at if other is queue else NO_TARGET)
            * self.times.expected(other.name)
            for other in self._classes.values()
        )
        until = start + own / weight
        total = own + sum(
            other.waiting.others_ahead(tenant, until, self.times.expected(other.name))
            for other in self._classes.values()
        )
        return total / max(slots, 1)

    def _class_wait(self, queue: _ClassQueue, ahead: float, slots: int) -> float:
        """Return the estimated wait after `ahead` seconds of service of requests of this class.

        Until the request has been served as well, other classes get their share of the slots, as
        far as they have use for it. Their later requests count too: the wait is at least what it
        takes at the pace of the latest grants to the class.
        """
        total = ahead
        seconds = total + self.times.expected(queue.name)
        for other in self._classes.values():
            if other is not queue and other.waiting:
                waiting = other.waiting.timely_count * self.times.expected(other.name)
                share = other.traffic_class.weight / queue.traffic_class.weight
                total += min(waiting, seconds * share)
        if len(self._classes) == 1 or not queue.waiting:
            return total / max(slots, 1)
        pace = queue.grant_interval * ahead / self.times.expected(queue.name)
        return max(total / max(slots, 1), pace)

    def next(self, now: float = 0.0, eligible: Eligible = always_eligible) -> int | None:
        """Remove and return the next eligible ticket, or None if no eligible request waits."""
        admitted = self.take(now, eligible)
        return None if admitted is None else admitted.ticket

    def take(self, now: float = 0.0, eligible: Eligible = always_eligible) -> Admitted | None:
        """Remove and return the next request of an eligible tenant, or None if none waits."""
        for queue in self._classes.values():
            queue.waiting.move_overdue(now + self.times.expected(queue.name), now)
        in_order = sorted(self._classes.values(), key=lambda queue: queue.virtual_finish)
        self._accounts.advance(eligible)
        with_share = self._with_share_left(eligible)
        for queue in in_order:
            ticket = queue.waiting.first_timely(with_share)
            if ticket is not None:
                return self._dequeue(queue, ticket, now)
        for queue in in_order:
            ticket = queue.waiting.first_timely(eligible)
            if ticket is not None:
                return self._dequeue(queue, ticket, now)
        if not any(queue.waiting.timely_count for queue in in_order):
            self._slot_left_at = now
        for queue in in_order:
            ticket = queue.waiting.first_overdue(eligible)
            if ticket is not None:
                return self._dequeue(queue, ticket, now)
        return None

    def _with_share_left(self, eligible: Eligible) -> Eligible:
        """Restrict the eligible tenants to those that have not used up their share."""
        return lambda tenant: eligible(tenant) and self._accounts.has_share_left(tenant)

    def first_tenant(self, tenants: Container[str]) -> str | None:
        """Return the one of these tenants whose waiting request goes first, or None."""
        in_order = sorted(self._classes.values(), key=lambda queue: queue.virtual_finish)
        eligible = tenants.__contains__
        with_share = self._with_share_left(eligible)
        first = (queue.waiting.first_timely(with_share) for queue in in_order)
        timely = (queue.waiting.first_timely(eligible) for queue in in_order)
        overdue = (queue.waiting.first_overdue(eligible) for queue in in_order)
        tickets = (ticket for ticket in chain(first, timely, overdue) if ticket is not None)
        return next((self._place_of[ticket].tenant for ticket in tickets), None)

    def _dequeue(self, queue: _ClassQueue, ticket: int, now: float) -> Admitted:
        """Remove a request that is granted a connection and advance the virtual times."""
        self._virtual_time = max(self._virtual_time, queue.virtual_start)
        tenant = self._place_of[ticket].tenant
        charged = self.times.expected(queue.name)
        self._accounts.charge(tenant, charged)
        self.remove(ticket)
        longer = now - queue.waiting_since - queue.grant_interval
        queue.grant_interval += _INTERVAL_SMOOTHING * longer
        queue.waiting_since = now
        if queue.waiting:
            self._schedule_next(queue)
        return Admitted(ticket, queue.name, tenant, charged)

    def remove(self, ticket: int) -> None:
        """Remove a request from the queue, if it is there."""
        if (place := self._place_of.pop(ticket, None)) is not None:
            place.queue.waiting.remove(ticket, place.tenant)

    def expire(self, now: float) -> list[Refusal]:
        """Remove and refuse expired requests, and overdue ones for which no slot is left."""
        expired = [
            waiting
            for queue in self._classes.values()
            for waiting in queue.waiting.requests()
            if self._refuse_at(waiting) <= now
        ]
        for waiting in expired:
            self.remove(waiting.ticket)
        retry_after = max(self._waiting_seconds(), _SHORTEST_RETRY_SECONDS)
        return [
            Refusal(waiting.ticket, retry_after, expired=True, reason=_reason(waiting, now))
            for waiting in expired
        ]

    def _waiting_seconds(self) -> float:
        """Return the expected service time of all waiting requests."""
        return sum(
            len(queue.waiting) * self.times.expected(queue.name) for queue in self._classes.values()
        )

    def _refuse_at(self, waiting: WaitingRequest) -> float:
        """Return when a waiting request is to be refused unless it is granted a connection."""
        if waiting.overdue_at is None:
            return waiting.expires_at
        overdue_limit = max(waiting.overdue_at, self._slot_left_at) + _NO_SLOT_SECONDS
        return min(waiting.expires_at, overdue_limit)

    def deadline(self) -> float | None:
        """Return when `expire` next has a request to refuse, or None if the queue is empty."""
        times = [
            self._refuse_at(waiting)
            for queue in self._classes.values()
            for waiting in queue.waiting.requests()
        ]
        return min(times, default=None)


def _reason(waiting: WaitingRequest, now: float) -> RefusalReason:
    """Return why a request that waited is refused."""
    return RefusalReason.DEADLINE if waiting.expires_at <= now else RefusalReason.TARGET


def _refused_on_arrival(request: WaitingRequest, wait: float, reason: RefusalReason) -> Refusal:
    """Return the refusal of a request that may come back when the queue has drained."""
    delay = max(wait, _SHORTEST_RETRY_SECONDS)
    return Refusal(request.ticket, delay, expired=False, reason=reason)


def _retry_delay(excess: float, time_left: float) -> float:
    """Return the retry delay: the time to drain the queue, bounded to leave time to the target."""
    return max(min(excess, time_left * _TARGET_RETRY_SHARE), _SHORTEST_TARGET_RETRY_SECONDS)
