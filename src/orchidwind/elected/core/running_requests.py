"""The requests running at a home proxy, by number and by the channel of their session.

Owns the state of each request between two steps. Relies on one request per channel at a time.
Times are in seconds of the home proxy's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from orchidwind.elected.core.statements import ChannelKey, StatementRequest
from orchidwind.elected.core.steps import Flow, Step


@dataclass(slots=True)
class RunningRequest:
    """A request, its flow, and the step it has been waiting for since `waits_since`.

    `expires_at` starts as the request's own deadline and is extended while a commit waits for
    confirmation or a statement runs on a responsive instance.
    """

    request: StatementRequest
    flow: Flow
    expires_at: float
    waits_since: float
    waits_for: Step | None = None


class RunningRequests:
    """All requests that have begun and not yet ended."""

    def __init__(self) -> None:
        self._by_number: dict[int, RunningRequest] = {}
        self._by_channel: dict[ChannelKey, int] = {}

    def __iter__(self) -> Iterator[RunningRequest]:
        """Iterate in order of arrival over a snapshot; requests may begin and end meanwhile."""
        return iter(list(self._by_number.values()))

    def __len__(self) -> int:
        return len(self._by_number)

    def __contains__(self, number: int) -> bool:
        return number in self._by_number

    def add(self, running: RunningRequest) -> None:
        """Add a request that begins."""
        request = running.request
        self._by_number[request.number] = running
        self._by_channel[request.channel] = request.number

    def remove(self, request: StatementRequest) -> None:
        """Remove a request that has ended; its channel may already have a newer one."""
        self._by_number.pop(request.number, None)
        if self._by_channel.get(request.channel) == request.number:
            del self._by_channel[request.channel]

    def get(self, number: int | None) -> RunningRequest | None:
        """The request with a number; None if it has ended or `number` is None."""
        return None if number is None else self._by_number.get(number)

    def on_channel(self, channel: ChannelKey) -> RunningRequest | None:
        """The running request of a session, None if there is none."""
        return self.get(self._by_channel.get(channel))

    def deadline(self) -> float:
        """When the next request expires, infinity if none runs."""
        expiries = (running.expires_at for running in self._by_number.values())
        return min(expiries, default=float("inf"))
