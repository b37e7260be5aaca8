"""The waiting requests of one traffic class, shared fairly among tenants. No I/O, no clock.

Tenants share a class by start-time fair queueing: the tenant with the lowest virtual start goes
first, and each granted request moves its tenant's virtual start on by its service time divided by
the tenant's weight. A tenant that did not wait begins at the virtual time of the class, so room
that others leave unused is not saved up. Within a tenant, requests are ordered by their target,
earliest first; those that can no longer meet it are overdue and come after all others.

Owns: the waiting requests of a class and what each tenant has used. `admission` decides which class
goes next. Service times are in seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from heapq import heappop, heappush

from msgspec import Struct, field

# Number of tenants kept per class before those are dropped that wait for nothing and have no use
# above the others to their account.
_KEPT_TENANTS = 256

# Returns whether a tenant's requests may be granted a connection now.
Eligible = Callable[[str], bool]


class WaitingRequest(Struct):
    """A queued request; `overdue_at` is when it was found to be unable to meet its target."""

    ticket: int
    expires_at: float
    target_at: float
    overdue_at: float | None = None


class TenantQueue(Struct):
    """The waiting requests of one tenant in one class.

    `by_target` is a heap of the requests that can still meet their target. It may also contain
    requests that have left the queue, which are dropped lazily. `overdue` holds the overdue
    requests in the order in which they were found to be overdue. `virtual_start` is the virtual
    start time of the next request.
    """

    tenant: str
    weight: float = 1.0
    waiting: dict[int, WaitingRequest] = field(default_factory=dict)
    by_target: list[tuple[float, int, int]] = field(default_factory=list)
    overdue: dict[int, WaitingRequest] = field(default_factory=dict)
    virtual_start: float = 0.0

    def first_timely(self) -> int | None:
        """Return the request with the earliest target that can still be met, or None."""
        while self.by_target and not self._is_timely(self.by_target[0][2]):
            heappop(self.by_target)
        return self.by_target[0][2] if self.by_target else None

    def first_overdue(self) -> int | None:
        """Return the request that has been overdue for longest, or None."""
        return next(iter(self.overdue), None)

    def move_overdue(self, until: float, now: float) -> None:
        """Move the requests whose target is before `until` to `overdue`."""
        while (ticket := self.first_timely()) is not None and self.by_target[0][0] < until:
            waiting = self.waiting[ticket]
            waiting.overdue_at = now
            self.overdue[ticket] = waiting

    def ahead_of(self, target_at: float) -> int:
        """Return the number of waiting requests that go before a new one with this target."""
        return sum(
            waiting.overdue_at is None and waiting.target_at <= target_at
            for waiting in self.waiting.values()
        )

    @property
    def timely_count(self) -> int:
        """Number of waiting requests that can still meet their target."""
        return len(self.waiting) - len(self.overdue)

    def _is_timely(self, ticket: int) -> bool:
        return ticket in self.waiting and ticket not in self.overdue


class FairQueue:
    """The waiting requests of one class, by tenant."""

    def __init__(self) -> None:
        self._tenants: dict[str, TenantQueue] = {}
        # The tenants with waiting requests.
        self._busy: dict[str, TenantQueue] = {}
        self._virtual_time = 0.0

    def __bool__(self) -> bool:
        return bool(self._busy)

    def __len__(self) -> int:
        return sum(len(queue.waiting) for queue in self._busy.values())

    def requests(self) -> Iterator[WaitingRequest]:
        """Yield all waiting requests."""
        for queue in self._busy.values():
            yield from queue.waiting.values()

    @property
    def timely_count(self) -> int:
        """Number of waiting requests that can still meet their target."""
        return sum(queue.timely_count for queue in self._busy.values())

    def add(self, request: WaitingRequest, sequence: int, tenant: str, weight: float) -> None:
        """Add a request; `sequence` orders requests with the same target."""
        queue = self._queue_of(tenant)
        queue.weight = weight
        if not queue.waiting:
            queue.virtual_start = max(queue.virtual_start, self._virtual_time)
            self._busy[tenant] = queue
        queue.waiting[request.ticket] = request
        heappush(queue.by_target, (request.target_at, sequence, request.ticket))

    def remove(self, ticket: int, tenant: str) -> None:
        """Remove a waiting request."""
        queue = self._busy[tenant]
        del queue.waiting[ticket]
        queue.overdue.pop(ticket, None)
        if not queue.waiting:
            queue.by_target.clear()
            del self._busy[tenant]

    def charge(self, tenant: str, service: float, granted: bool = False) -> None:
        """Charge a tenant for service, at the time of the grant or when it is known better."""
        queue = self._queue_of(tenant)
        if granted:
            self._virtual_time = max(self._virtual_time, queue.virtual_start)
        queue.virtual_start += service / queue.weight

    def move_overdue(self, until: float, now: float) -> None:
        """Mark the requests whose target is before `until` as overdue."""
        for queue in self._busy.values():
            queue.move_overdue(until, now)

    def first_timely(self, eligible: Eligible) -> int | None:
        """Return the next request that can still meet its target, or None."""
        return self._first(TenantQueue.first_timely, eligible)

    def first_overdue(self, eligible: Eligible) -> int | None:
        """Return the next overdue request, or None."""
        return self._first(TenantQueue.first_overdue, eligible)

    def _first(self, first: Callable[[TenantQueue], int | None], eligible: Eligible) -> int | None:
        """Return the first request of the eligible tenant with the lowest virtual start."""
        chosen = None
        lowest = float("inf")
        for name, queue in self._busy.items():
            if queue.virtual_start >= lowest or not eligible(name):
                continue
            ticket = first(queue)
            if ticket is not None:
                chosen, lowest = ticket, queue.virtual_start
        return chosen

    def service_ahead(self, tenant: str, weight: float, target_at: float, service: float) -> float:
        """Return the service that goes before a new request of a tenant.

        `service` is that of one request.
        """
        queue = self._tenants.get(tenant)
        own = 0.0 if queue is None else queue.ahead_of(target_at) * service
        start = self._virtual_time if queue is None else queue.virtual_start
        start = max(start, self._virtual_time) + own / weight
        others = (other for other in self._busy.values() if other is not queue)
        return own + sum(
            min(other.timely_count * service, max(start - other.virtual_start, 0.0) * other.weight)
            for other in others
        )

    def service_ahead_by_target(self, target_at: float, service: float) -> float:
        """Return the same if all tenants shared one order by target."""
        return sum(queue.ahead_of(target_at) for queue in self._busy.values()) * service

    def _queue_of(self, tenant: str) -> TenantQueue:
        queue = self._tenants.get(tenant)
        if queue is None:
            if len(self._tenants) >= _KEPT_TENANTS:
                self._drop_tenants()
            queue = self._tenants[tenant] = TenantQueue(tenant, virtual_start=self._virtual_time)
        return queue

    def _drop_tenants(self) -> None:
        """Forget the tenants that wait for nothing and are not ahead of the virtual time."""
        self._tenants = {
            name: queue
            for name, queue in self._tenants.items()
            if queue.waiting or queue.virtual_start > self._virtual_time
        }
