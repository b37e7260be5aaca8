"""Estimates of how long a request holds a connection, for each traffic class. No I/O, no clock.

Classes differ by several times, so one average for all of them would give wrong waiting times. A
class without observations is assumed to be like the average of all requests, and so is the only
class that has any.

Owns: one moving average for each class, and one for all requests. Times are in seconds.
"""

from __future__ import annotations

from msgspec import Struct

# Weight of the newest request in the moving averages. They follow a change within about ten
# requests.
_SMOOTHING = 0.1
# Initial value of the averages, in seconds, until the first request has ended. It is low so that no
# request is refused because of a guess.
_INITIAL_SECONDS = 0.002


class ServiceTime(Struct):
    """The expected service time of a class, in seconds."""

    mean: float = _INITIAL_SECONDS

    def record(self, seconds: float, weight: float = _SMOOTHING) -> None:
        """Include one more request with this weight."""
        self.mean += weight * (seconds - self.mean)


class ServiceTimes:
    """The service times at one instance; `overall` is that of all requests."""

    def __init__(self) -> None:
        self.overall = ServiceTime()
        self._by_class: dict[str, ServiceTime] = {}
        self._requests: dict[str, int] = {}

    def record(self, class_name: str, seconds: float) -> None:
        """Include a request of a class that held a connection this long."""
        self.overall.record(seconds)
        requests = self._requests[class_name] = self._requests.get(class_name, 0) + 1
        # The first requests have equal weight.
        weight = max(_SMOOTHING, 1 / requests)
        self._by_class.setdefault(class_name, ServiceTime(seconds)).record(seconds, weight)

    def of(self, class_name: str) -> ServiceTime:
        """Return the service time of a class."""
        if len(self._by_class) < 2:
            return self.overall
        return self._by_class.get(class_name, self.overall)

    def expected(self, class_name: str) -> float:
        """Return the expected service time of a class."""
        return self.of(class_name).mean
