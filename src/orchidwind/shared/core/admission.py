"""Weighted fair queueing of requests for the server connections of one instance.

Each traffic class has a weight, a bound on its queue, and a deadline. The order is by virtual
finish time (start-time fair queueing), so a heavy class gets its share and a light one is never
starved. A request that cannot start before its deadline is refused on arrival, with the time
after which its queue will have drained; one that expires in the queue, with the time in which a
single slot would serve all that wait.

Owns: the queues and the estimate of how long a request holds a connection. Relies on its user for
the time, in seconds of one steady clock, and for the number of slots.
"""

from __future__ import annotations

from collections import OrderedDict

from msgspec import Struct, field

# Weight of the newest request in the mean time that requests hold a connection. Chosen: the mean
# follows a change of load within some ten requests.
_SERVICE_SMOOTHING = 0.1
# That mean before the first request has ended, seconds. Chosen: low, so that none is refused on a
# guess.
_INITIAL_SERVICE_SECONDS = 0.002
# Shortest time after which a refused request is asked to come back, seconds. Chosen: it spreads the
# repeats of callers that were refused together.
_SHORTEST_RETRY_SECONDS = 0.05


class TrafficClass(Struct, frozen=True):
    """How requests of one class are treated.

    `deadline` is in seconds from arrival, `queue_bound` in waiting requests. The defaults, chosen,
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
    ticket: int
    finish: float
    expires_at: float


class _ClassQueue(Struct):
    traffic_class: TrafficClass
    waiting: OrderedDict[int, _Waiting] = field(default_factory=OrderedDict)
    last_finish: float = 0.0


class AdmissionQueue:
    """The requests that wait for a server connection of one instance."""

    def __init__(self) -> None:
        self.service_seconds = _INITIAL_SERVICE_SECONDS
        self._classes: dict[str, _ClassQueue] = {}
        self._virtual_time = 0.0
        self._class_of: dict[int, str] = {}

    def __len__(self) -> int:
        return len(self._class_of)

    def note_service(self, seconds: float) -> None:
        """A request held a connection for this long."""
        self.service_seconds += _SERVICE_SMOOTHING * (seconds - self.service_seconds)

    def enter(
        self, ticket: int, traffic_class: TrafficClass, now: float, expires_at: float, slots: int
    ) -> Refusal | None:
        """Queue a request, or refuse it at once."""
        queue = self._classes.setdefault(traffic_class.name, _ClassQueue(traffic_class))
        queue.traffic_class = traffic_class
        wait = self._expected_wait(queue, slots)
        if len(queue.waiting) >= traffic_class.queue_bound or now + wait > expires_at:
            return Refusal(ticket, max(wait, _SHORTEST_RETRY_SECONDS), expired=False)
        start = max(self._virtual_time, queue.last_finish)
        finish = start + 1.0 / traffic_class.weight
        queue.last_finish = finish
        queue.waiting[ticket] = _Waiting(ticket, finish, expires_at)
        self._class_of[ticket] = traffic_class.name
        return None

    def _expected_wait(self, queue: _ClassQueue, slots: int) -> float:
        """Time until a new request of a class starts: its own queue at its share of the slots."""
        busy = [other for other in self._classes.values() if other.waiting or other is queue]
        total = sum(other.traffic_class.weight for other in busy)
        share = queue.traffic_class.weight / total
        ahead = len(queue.waiting)
        return ahead * self.service_seconds / (max(slots, 1) * share)

    def next(self) -> int | None:
        """Take the ticket that is due, None where nobody waits."""
        best: _ClassQueue | None = None
        for queue in self._classes.values():
            if queue.waiting and (best is None or _head(queue).finish < _head(best).finish):
                best = queue
        if best is None:
            return None
        head = _head(best)
        self._virtual_time = max(self._virtual_time, head.finish - 1 / best.traffic_class.weight)
        self.leave(head.ticket)
        return head.ticket

    def leave(self, ticket: int) -> None:
        """Forget a request."""
        name = self._class_of.pop(ticket, None)
        if name is not None:
            self._classes[name].waiting.pop(ticket, None)

    def expire(self, now: float) -> list[Refusal]:
        """Requests whose time passed while they waited."""
        expired = [
            waiting.ticket
            for queue in self._classes.values()
            for waiting in queue.waiting.values()
            if waiting.expires_at <= now
        ]
        for ticket in expired:
            self.leave(ticket)
        retry_after = max(self.service_seconds * len(self), _SHORTEST_RETRY_SECONDS)
        return [Refusal(ticket, retry_after, expired=True) for ticket in expired]

    def deadline(self) -> float | None:
        """When the first waiting request expires."""
        times = [
            waiting.expires_at
            for queue in self._classes.values()
            for waiting in queue.waiting.values()
        ]
        return min(times, default=None)


def _head(queue: _ClassQueue) -> _Waiting:
    return next(iter(queue.waiting.values()))
