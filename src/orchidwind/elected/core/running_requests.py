"""The requests that run at a home: by number, and by the channel of the session that sent them.

Owns the state of each request between two of its steps. Relies on one request a channel at a time.
Times are in seconds of the home's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from orchidwind.elected.core.statements import ChannelKey, StatementRequest
from orchidwind.elected.core.steps import Flow, Step


@dataclass(slots=True)
class RunningRequest:
    """A request, its flow, and the step that it waits for since `waits_since`.

    `expires_at` begins as the request's own and is put off while a commit is being confirmed or a
    statement runs on an instance that answers.
    """

    request: StatementRequest
    flow: Flow
    expires_at: float
    waits_since: float
    waits_for: Step | None = None


class RunningRequests:
    """All requests that have begun and not ended."""

    def __init__(self) -> None:
        self._by_number: dict[int, RunningRequest] = {}
        self._by_channel: dict[ChannelKey, int] = {}

    def __iter__(self) -> Iterator[RunningRequest]:
        """In the order of arrival; requests may begin and end during the iteration."""
        return iter(list(self._by_number.values()))

    def __len__(self) -> int:
        return len(self._by_number)

    def __contains__(self, number: int) -> bool:
        return number in self._by_number

    def add(self, running: RunningRequest) -> None:
        """A request begins."""
        request = running.request
        self._by_number[request.number] = running
        self._by_channel[request.channel] = request.number

    def remove(self, request: StatementRequest) -> None:
        """A request has ended; its channel may carry a newer one already."""
        self._by_number.pop(request.number, None)
        if self._by_channel.get(request.channel) == request.number:
            del self._by_channel[request.channel]

    def get(self, number: int | None) -> RunningRequest | None:
        """The request of a number, None where it has ended or there is no number."""
        return None if number is None else self._by_number.get(number)

    def on_channel(self, channel: ChannelKey) -> RunningRequest | None:
        """What runs for a session."""
        return self.get(self._by_channel.get(channel))

    def deadline(self) -> float:
        """When the first of them expires, infinity where none runs."""
        expiries = (running.expires_at for running in self._by_number.values())
        return min(expiries, default=float("inf"))
