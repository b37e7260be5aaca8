"""Weighted fair queueing of requests for the server connections of one instance.

Each traffic class has a weight, a maximum queue length and a deadline. Classes are ordered by
virtual finish time (start-time fair queueing), so a class with a high weight gets its share and a
class with a low weight is never starved. Within a class, requests are ordered by their target, the
time by which they should be answered, earliest first. Overdue requests, which can no longer be
answered by their target, come after all others: under overload, the requests that are served are
still served in time. Requests without a target are served in order of arrival.

A request that cannot start before its deadline is refused on arrival, with the time that the queue
needs to drain as its retry delay. An overdue request is refused once no slot is left for overdue
requests. A request that expires in the queue is refused with the time that a single slot needs to
serve all requests still waiting.

Owns: the queues and the estimate of how long a request holds a connection. The user of a queue
passes in the time, in seconds of a monotonic clock, and the number of slots.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from msgspec import Struct, field

# Weight of the newest request in the moving average of the time that a request holds a connection.
# The average follows a change of load within about ten requests.
_SERVICE_SMOOTHING = 0.1
# Initial value of that average, in seconds, until the first request has ended. It is low so that no
# request is refused because of a guess.
_INITIAL_SERVICE_SECONDS = 0.002
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
# Target time of a request without a target.
NO_TARGET = float("inf")


# Returns whether the waiting request with this ticket may be granted a connection now.
Eligible = Callable[[int], bool]


def _always_eligible(ticket: int) -> bool:
    return True


class TrafficClass(Struct, frozen=True):
    """Scheduling parameters of a traffic class.

    `deadline` is in seconds from the arrival of a request; `queue_bound` is the maximum number of
    waiting requests. The defaults apply to elected groups that configure no traffic classes.
    """

    name: str
    weight: float = 1.0
    deadline: float = 5.0
    queue_bound: int = 200


class Refusal(Struct, frozen=True):
    """A request was refused; the caller may retry after `retry_after` seconds.

    `expired` is true if the request had been queued, false if it was refused on arrival.
    """

    ticket: int
    retry_after: float
    expired: bool


class _WaitingRequest(Struct):
    """A queued request; `overdue_at` is when it was found to be unable to meet its target."""

    ticket: int
    expires_at: float
    target_at: float
    overdue_at: float | None = None


class _ClassQueue(Struct):
    """The waiting requests of one class.

    `by_target` is a heap of the requests that can still meet their target. It may also contain
    requests that have left the queue, which are dropped lazily. `overdue` holds the overdue
    requests in the order in which they were found to be overdue. `virtual_finish` is the virtual
    finish time of the next request of the class.
    """

    traffic_class: TrafficClass
    waiting: dict[int, _WaitingRequest] = field(default_factory=dict)
    by_target: list[tuple[float, int, int]] = field(default_factory=list)
    overdue: dict[int, _WaitingRequest] = field(default_factory=dict)
    virtual_finish: float = 0.0

    def drop_stale(self) -> None:
        """Pop entries from the head of `by_target` that have left the queue or are overdue."""
        while self.by_target and not self._is_timely(self.by_target[0][2]):
            heappop(self.by_target)

    def first_timely(self, eligible: Eligible) -> int | None:
        """Return the eligible request with the earliest target that can still be met, or None."""
        self.drop_stale()
        if not self.by_target or eligible(self.by_target[0][2]):
            return self.by_target[0][2] if self.by_target else None
        in_order = (ticket for _, _, ticket in sorted(self.by_target))
        timely = (ticket for ticket in in_order if self._is_timely(ticket))
        return next(filter(eligible, timely), None)

    def _is_timely(self, ticket: int) -> bool:
        return ticket in self.waiting and ticket not in self.overdue

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


class AdmissionQueue:
    """The requests that wait for a server connection of one instance.

    `service_seconds` is the estimated time for which a request holds a connection.
    """

    def __init__(self) -> None:
        self.service_seconds = _INITIAL_SERVICE_SECONDS
        self._classes: dict[str, _ClassQueue] = {}
        self._virtual_time = 0.0
        self._queue_of: dict[int, _ClassQueue] = {}
        self._sequence = count()
        # When a slot was last available for overdue requests.
        self._slot_left_at = float("-inf")

    def __len__(self) -> int:
        return len(self._queue_of)

    def record_service_time(self, seconds: float) -> None:
        """Update the estimated service time with a request that held a connection this long."""
        self.service_seconds += _SERVICE_SMOOTHING * (seconds - self.service_seconds)

    def enqueue(
        self,
        ticket: int,
        traffic_class: TrafficClass,
        now: float,
        expires_at: float,
        slots: int,
        target_at: float = NO_TARGET,
    ) -> Refusal | None:
        """Queue a request and return None, or return the refusal if it cannot be served in time."""
        queue = self._classes.setdefault(traffic_class.name, _ClassQueue(traffic_class))
        queue.traffic_class = traffic_class
        wait = self._expected_wait(queue, slots, target_at)
        if not self._queue_of:
            self._slot_left_at = now
        full = len(queue.waiting) >= traffic_class.queue_bound
        if full or now + wait > expires_at:
            return Refusal(ticket, max(wait, _SHORTEST_RETRY_SECONDS), expired=False)
        excess = self._target_excess(wait, target_at - now)
        if excess > 0 and now - self._slot_left_at > _NO_SLOT_SECONDS:
            return Refusal(ticket, _retry_delay(excess, target_at - now), expired=False)
        if not queue.waiting:
            self._schedule_next(queue)
        queue.waiting[ticket] = _WaitingRequest(ticket, expires_at, target_at)
        heappush(queue.by_target, (target_at, next(self._sequence), ticket))
        self._queue_of[ticket] = queue
        return None

    def _target_excess(self, wait: float, time_left: float) -> float:
        """Return by how much a request exceeds its share of the time left; negative if it fits."""
        return wait + self.service_seconds - time_left * _TARGET_SHARE

    def _schedule_next(self, queue: _ClassQueue) -> None:
        """Set the virtual finish time of the next request of a class."""
        start = max(self._virtual_time, queue.virtual_finish)
        queue.virtual_finish = start + 1.0 / queue.traffic_class.weight

    def _expected_wait(self, queue: _ClassQueue, slots: int, target_at: float) -> float:
        """Return the estimated wait of a new request, at its class's share of the slots."""
        busy = [other for other in self._classes.values() if other.waiting or other is queue]
        total = sum(other.traffic_class.weight for other in busy)
        share = queue.traffic_class.weight / total
        return queue.ahead_of(target_at) * self.service_seconds / (max(slots, 1) * share)

    def next(self, now: float = 0.0, eligible: Eligible = _always_eligible) -> int | None:
        """Remove and return the next eligible ticket, or None if no eligible request waits."""
        for queue in self._classes.values():
            self._move_overdue(queue, now)
        in_order = sorted(self._classes.values(), key=lambda queue: queue.virtual_finish)
        for queue in in_order:
            ticket = queue.first_timely(eligible)
            if ticket is not None:
                return self._dequeue(queue, ticket)
        if not any(queue.timely_count for queue in in_order):
            self._slot_left_at = now
        for queue in in_order:
            ticket = next(filter(eligible, queue.overdue), None)
            if ticket is not None:
                return self._dequeue(queue, ticket)
        return None

    def _move_overdue(self, queue: _ClassQueue, now: float) -> None:
        """Move requests that can no longer meet their target to `overdue`."""
        queue.drop_stale()
        while queue.by_target and queue.by_target[0][0] < now + self.service_seconds:
            _, _, ticket = heappop(queue.by_target)
            waiting = queue.waiting[ticket]
            waiting.overdue_at = now
            queue.overdue[ticket] = waiting
            queue.drop_stale()

    def _dequeue(self, queue: _ClassQueue, ticket: int) -> int:
        """Remove a request that is granted a connection and advance the virtual time."""
        start = queue.virtual_finish - 1 / queue.traffic_class.weight
        self._virtual_time = max(self._virtual_time, start)
        self.remove(ticket)
        if queue.waiting:
            self._schedule_next(queue)
        return ticket

    def remove(self, ticket: int) -> None:
        """Remove a request from the queue, if it is there."""
        queue = self._queue_of.pop(ticket, None)
        if queue is not None:
            queue.waiting.pop(ticket, None)
            queue.overdue.pop(ticket, None)

    def expire(self, now: float) -> list[Refusal]:
        """Remove and refuse expired requests, and overdue ones for which no slot is left."""
        expired = [
            waiting.ticket
            for queue in self._classes.values()
            for waiting in queue.waiting.values()
            if self._refuse_at(waiting) <= now
        ]
        for ticket in expired:
            self.remove(ticket)
        retry_after = max(self.service_seconds * len(self), _SHORTEST_RETRY_SECONDS)
        return [Refusal(ticket, retry_after, expired=True) for ticket in expired]

    def _refuse_at(self, waiting: _WaitingRequest) -> float:
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
            for waiting in queue.waiting.values()
        ]
        return min(times, default=None)


def _retry_delay(excess: float, time_left: float) -> float:
    """Return the retry delay: the time to drain the queue, bounded to leave time to the target."""
    return max(min(excess, time_left * _TARGET_RETRY_SHARE), _SHORTEST_TARGET_RETRY_SECONDS)
