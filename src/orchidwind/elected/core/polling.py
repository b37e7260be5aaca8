"""Decides when each instance of a group is queried for its status.

Owns the schedule of queries; `instance_reports.py` sends them. Times are in seconds of the home
proxy's monotonic clock.

Idle groups are queried rarely, since every database incurs this cost. Commits that wait for
confirmation and reads that wait for a floor need a report requested after they arrived; one round
of queries serves all of them. The longer the oldest has waited, the wider rounds are spaced.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# While requests wait, the time between two rounds is this fraction of the age of the oldest wait,
# within the two bounds, so that the queries of a wait grow with the logarithm of its length.
_GAP_FRACTION_OF_AGE = 0.1
_MIN_GAP_SECONDS = 0.001
_MAX_GAP_SECONDS = 0.025


@dataclass(frozen=True, slots=True)
class PollingSettings:
    """Intervals between queries to an instance, in seconds."""

    # Shorter intervals take about the whole control traffic of a node
    # (docs/DECISIONS.md, "Status queries: prepared, every 2 s while idle").
    idle_interval: float = 2.0
    # While no primary is known. Bounds the time that the search adds to a failover.
    searching_interval: float = 0.05
    # An instance that has not answered for this long is unreachable; reads run on others.
    timeout: float = 0.4


@dataclass(slots=True)
class _QueryState:
    asked_at: float | None = None
    last_asked_at: float = float("-inf")
    next_at: float = 0.0


class StatusPoller:
    """The schedule of status queries to each instance."""

    def __init__(self, instances: Sequence[str], settings: PollingSettings) -> None:
        self._settings = settings
        self._states = {instance: _QueryState() for instance in instances}

    def schedule(self, now: float, oldest: float, instances: Sequence[str] | None = None) -> None:
        """Schedule queries at or after `now`, for requests that have waited since `oldest`.

        Queries all instances unless `instances` is given.
        """
        gap = (now - oldest) * _GAP_FRACTION_OF_AGE
        gap = min(max(gap, _MIN_GAP_SECONDS), _MAX_GAP_SECONDS)
        for instance in instances if instances is not None else self._states:
            state = self._states[instance]
            due = max(now, state.last_asked_at + gap)
            state.next_at = min(state.next_at, due)

    def schedule_at(self, instance: str, at: float) -> None:
        """Schedule a report of one instance at a time, or earlier."""
        state = self._states[instance]
        state.next_at = min(state.next_at, at)

    def take_due(self, now: float) -> list[str]:
        """Return the instances to query now, and record them as queried."""
        asked = []
        for instance, state in self._states.items():
            if state.asked_at is None and now >= state.next_at:
                state.asked_at = now
                state.last_asked_at = now
                state.next_at = now + self._settings.idle_interval
                asked.append(instance)
        return asked

    def answered(self, instance: str) -> None:
        """Record that a query was answered or failed."""
        self._states[instance].asked_at = None

    def search(self, now: float) -> None:
        """Query all instances at the searching interval, since no primary is known."""
        for state in self._states.values():
            state.next_at = min(
                state.next_at, state.last_asked_at + self._settings.searching_interval
            )

    def overdue(self, now: float) -> list[str]:
        """Return the instances that did not answer in time; they may be queried again."""
        late = []
        for instance, state in self._states.items():
            if state.asked_at is not None and now >= state.asked_at + self._settings.timeout:
                state.asked_at = None
                state.next_at = now + self._settings.searching_interval
                late.append(instance)
        return late

    def deadline(self) -> float:
        """When the next query is due or the next timeout expires."""
        return min(
            state.next_at if state.asked_at is None else state.asked_at + self._settings.timeout
            for state in self._states.values()
        )
