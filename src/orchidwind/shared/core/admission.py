"""Weighted fair queueing of requests for the server connections of one instance.

Each traffic class has a weight, a bound on its queue, and a deadline. The order of classes is by
virtual finish time (start-time fair queueing), so a heavy class gets its share and a light one is
never starved. Within a class, a request goes first whose target comes first. One that can no longer
be answered by its target goes after all that can: under more load than the instance bears, those
that are served are served in time. Without targets the order is that of arrival.

A request that cannot start before its deadline is refused on arrival, with the time after which its
queue will have drained. One that has missed its target is refused as soon as it is seen that no
slot is left for it; one that expires in the queue, with the time in which a single slot would serve
all that wait.

Owns: the queues and the estimate of how long a request holds a connection. Relies on its user for
the time, in seconds of one steady clock, and for the number of slots.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from msgspec import Struct, field

# Weight of the newest request in the mean time that requests hold a connection. The mean
# follows a change of load within some ten requests.
_SERVICE_SMOOTHING = 0.1
# That mean before the first request has ended, seconds. Low, so that none is refused on a
# guess.
_INITIAL_SERVICE_SECONDS = 0.002
# Shortest time after which a refused request is asked to come back, seconds. It spreads the
# repeats of callers that were refused together.
_SHORTEST_RETRY_SECONDS = 0.05
# Where for so many seconds no slot was left for requests that have missed their target, those that
# wait are refused, and new ones that would miss theirs are refused on arrival.
_NO_SLOT_LEFT_SECONDS = 0.1
# The share of the time to its target that a request is expected to take at most, when it is taken
# in: the rest is for one that is refused elsewhere first, and for work that takes longer.
_TARGET_SHARE = 0.5
# Such a request that is refused is asked to come back after this share of the time to its target at
# most, as another proxy may have room: later than that, it could hardly be served in time.
_RETRY_SHARE = 0.1
# And after so many seconds at least: there is room no sooner than one request has ended.
_SOONEST_RETRY_SECONDS = 0.01
# The target of a request that has none.
NO_TARGET = float("inf")


# Whether a waiting request, by its ticket, may be taken now.
Eligible = Callable[[int], bool]


def _any_ticket(ticket: int) -> bool:
    return True


class TrafficClass(Struct, frozen=True):
    """How requests of one class are treated.

    `deadline` is in seconds from arrival, `queue_bound` in waiting requests. The defaults
    apply to elected groups without traffic classes of their own.
    """

    name: str
    weight: float = 1.0
    deadline: float = 5.0
    queue_bound: int = 200


class Refusal(Struct, frozen=True):
    """A request was not taken; come back after `retry_after` seconds."""

    ticket: int
    retry_after: float
    expired: bool


class _Waiting(Struct):
    """`overdue_at`: when it was seen that it cannot be answered by its target any more."""

    ticket: int
    expires_at: float
    target_at: float
    overdue_at: float | None = None


class _ClassQueue(Struct):
    """The waiting requests of one class.

    `by_target` holds those that can be answered by their target, the earliest first, among others
    that wait no longer; `overdue` the rest in the order of their arrival. `finish` is the virtual
    finish time of the request that is next.
    """

    traffic_class: TrafficClass
    waiting: dict[int, _Waiting] = field(default_factory=dict)
    by_target: list[tuple[float, int, int]] = field(default_factory=list)
    overdue: dict[int, _Waiting] = field(default_factory=dict)
    finish: float = 0.0

    def drop_gone(self) -> None:
        """Take from the head of `by_target` what waits there no longer."""
        while self.by_target and not self._is_timely(self.by_target[0][2]):
            heappop(self.by_target)

    def first_timely(self, eligible: Eligible) -> int | None:
        """Of those that can be answered by their target, the eligible one with the earliest."""
        self.drop_gone()
        if not self.by_target or eligible(self.by_target[0][2]):
            return self.by_target[0][2] if self.by_target else None
        in_order = (ticket for _, _, ticket in sorted(self.by_target))
        timely = (ticket for ticket in in_order if self._is_timely(ticket))
        return next(filter(eligible, timely), None)

    def _is_timely(self, ticket: int) -> bool:
        return ticket in self.waiting and ticket not in self.overdue

    def ahead_of(self, target_at: float) -> int:
        """How many would go before a new request."""
        return sum(
            waiting.overdue_at is None and waiting.target_at <= target_at
            for waiting in self.waiting.values()
        )

    @property
    def timely(self) -> int:
        """How many can be answered by their target."""
        return len(self.waiting) - len(self.overdue)


class AdmissionQueue:
    """The requests that wait for a server connection of one instance."""

    def __init__(self) -> None:
        self.service_seconds = _INITIAL_SERVICE_SECONDS
        self._classes: dict[str, _ClassQueue] = {}
        self._virtual_time = 0.0
        self._class_of: dict[int, _ClassQueue] = {}
        self._order = count()
        # When a slot was last left for requests that have missed their target.
        self._slot_left_at = float("-inf")

    def __len__(self) -> int:
        return len(self._class_of)

    def note_service(self, seconds: float) -> None:
        """A request held a connection for this long."""
        self.service_seconds += _SERVICE_SMOOTHING * (seconds - self.service_seconds)

    def enter(
        self,
        ticket: int,
        traffic_class: TrafficClass,
        now: float,
        expires_at: float,
        slots: int,
        target_at: float = NO_TARGET,
    ) -> Refusal | None:
        """Queue a request, or refuse it at once."""
        queue = self._classes.setdefault(traffic_class.name, _ClassQueue(traffic_class))
        queue.traffic_class = traffic_class
        wait = self._expected_wait(queue, slots, target_at)
        if not self._class_of:
            self._slot_left_at = now
        full = len(queue.waiting) >= traffic_class.queue_bound
        if full or now + wait > expires_at:
            return Refusal(ticket, max(wait, _SHORTEST_RETRY_SECONDS), expired=False)
        excess = self._excess(wait, target_at - now)
        if excess > 0 and now - self._slot_left_at > _NO_SLOT_LEFT_SECONDS:
            return Refusal(ticket, _soon(excess, target_at - now), expired=False)
        if not queue.waiting:
            self._schedule(queue)
        queue.waiting[ticket] = _Waiting(ticket, expires_at, target_at)
        heappush(queue.by_target, (target_at, next(self._order), ticket))
        self._class_of[ticket] = queue
        return None

    def _excess(self, wait: float, time_left: float) -> float:
        """How much longer a request would take than is good for its target; negative: shorter."""
        return wait + self.service_seconds - time_left * _TARGET_SHARE

    def _schedule(self, queue: _ClassQueue) -> None:
        start = max(self._virtual_time, queue.finish)
        queue.finish = start + 1.0 / queue.traffic_class.weight

    def _expected_wait(self, queue: _ClassQueue, slots: int, target_at: float) -> float:
        """Time until a new request of a class starts: its own queue at its share of the slots."""
        busy = [other for other in self._classes.values() if other.waiting or other is queue]
        total = sum(other.traffic_class.weight for other in busy)
        share = queue.traffic_class.weight / total
        return queue.ahead_of(target_at) * self.service_seconds / (max(slots, 1) * share)

    def next(self, now: float = 0.0, eligible: Eligible = _any_ticket) -> int | None:
        """Take the ticket that is due of those that are eligible, None where none of them waits."""
        for queue in self._classes.values():
            self._note_overdue(queue, now)
        in_order = sorted(self._classes.values(), key=lambda queue: queue.finish)
        for queue in in_order:
            ticket = queue.first_timely(eligible)
            if ticket is not None:
                return self._take(queue, ticket)
        if not any(queue.timely for queue in in_order):
            self._slot_left_at = now
        for queue in in_order:
            ticket = next(filter(eligible, queue.overdue), None)
            if ticket is not None:
                return self._take(queue, ticket)
        return None

    def _note_overdue(self, queue: _ClassQueue, now: float) -> None:
        """Set aside what can no longer be answered by its target."""
        queue.drop_gone()
        while queue.by_target and queue.by_target[0][0] < now + self.service_seconds:
            _, _, ticket = heappop(queue.by_target)
            waiting = queue.waiting[ticket]
            waiting.overdue_at = now
            queue.overdue[ticket] = waiting
            queue.drop_gone()

    def _take(self, queue: _ClassQueue, ticket: int) -> int:
        start = queue.finish - 1 / queue.traffic_class.weight
        self._virtual_time = max(self._virtual_time, start)
        self.leave(ticket)
        if queue.waiting:
            self._schedule(queue)
        return ticket

    def leave(self, ticket: int) -> None:
        """Forget a request."""
        queue = self._class_of.pop(ticket, None)
        if queue is not None:
            queue.waiting.pop(ticket, None)
            queue.overdue.pop(ticket, None)

    def expire(self, now: float) -> list[Refusal]:
        """Requests whose time passed while they waited, or for which no slot is left."""
        ended = [
            waiting.ticket
            for queue in self._classes.values()
            for waiting in queue.waiting.values()
            if self._ends_at(waiting) <= now
        ]
        for ticket in ended:
            self.leave(ticket)
        retry_after = max(self.service_seconds * len(self), _SHORTEST_RETRY_SECONDS)
        return [Refusal(ticket, retry_after, expired=True) for ticket in ended]

    def _ends_at(self, waiting: _Waiting) -> float:
        if waiting.overdue_at is None:
            return waiting.expires_at
        hopeless = max(waiting.overdue_at, self._slot_left_at) + _NO_SLOT_LEFT_SECONDS
        return min(waiting.expires_at, hopeless)

    def deadline(self) -> float | None:
        """When the first waiting request ends."""
        times = [
            self._ends_at(waiting)
            for queue in self._classes.values()
            for waiting in queue.waiting.values()
        ]
        return min(times, default=None)


def _soon(excess: float, time_left: float) -> float:
    """When to come back: once the queue has drained, and with time left to the target."""
    return max(min(excess, time_left * _RETRY_SHARE), _SOONEST_RETRY_SECONDS)
