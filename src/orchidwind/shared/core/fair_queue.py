"""The waiting requests of one traffic class, shared fairly among tenants. No I/O, no clock.

The tenant that was given the least service for its weight goes first (`tenant_accounts`). Within a
tenant, requests are ordered by their target, earliest first; those that can no longer meet it are
overdue and come after all others.

Owns: the waiting requests of a class. `admission` decides which class goes next, and charges the
tenants. Service times are in seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from heapq import heappop, heappush

from msgspec import Struct, field

from orchidwind.shared.core.tenant_accounts import TenantAccount, TenantAccounts

# Returns whether a tenant's requests may be granted a connection now.
Eligible = Callable[[str], bool]


def always_eligible(tenant: str) -> bool:
    """Let every tenant be granted connections."""
    return True


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
    requests in the order in which they were found to be overdue.
    """

    account: TenantAccount
    waiting: dict[int, WaitingRequest] = field(default_factory=dict)
    by_target: list[tuple[float, int, int]] = field(default_factory=list)
    overdue: dict[int, WaitingRequest] = field(default_factory=dict)

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
    """The waiting requests of one class, by tenant; only tenants with waiting requests."""

    def __init__(self, accounts: TenantAccounts) -> None:
        self._accounts = accounts
        self._busy: dict[str, TenantQueue] = {}

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
        self._accounts.joined(tenant, weight)
        queue = self._busy.get(tenant)
        if queue is None:
            queue = self._busy[tenant] = TenantQueue(self._accounts.of(tenant, weight))
        queue.waiting[request.ticket] = request
        heappush(queue.by_target, (request.target_at, sequence, request.ticket))

    def remove(self, ticket: int, tenant: str) -> None:
        """Remove a waiting request."""
        self._accounts.left(tenant)
        queue = self._busy[tenant]
        del queue.waiting[ticket]
        queue.overdue.pop(ticket, None)
        if not queue.waiting:
            del self._busy[tenant]

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
            if queue.account.virtual_start >= lowest or not eligible(name):
                continue
            ticket = first(queue)
            if ticket is not None:
                chosen, lowest = ticket, queue.account.virtual_start
        return chosen

    def own_ahead(self, tenant: str, target_at: float) -> int:
        """Return the number of requests of a tenant that go before a new one with this target."""
        queue = self._busy.get(tenant)
        return 0 if queue is None else queue.ahead_of(target_at)

    def others_ahead(self, tenant: str, until: float, service: float) -> float:
        """Return the service that other tenants get before a tenant with virtual start `until`.

        `service` is the expected service time of one request of this class.
        """
        return sum(
            min(
                other.timely_count * service,
                max(until - other.account.virtual_start, 0.0) * other.account.weight,
            )
            for name, other in self._busy.items()
            if name != tenant
        )

    def all_ahead(self, target_at: float) -> int:
        """Return the number of requests that go before a new one if tenants share one order."""
        return sum(queue.ahead_of(target_at) for queue in self._busy.values())
