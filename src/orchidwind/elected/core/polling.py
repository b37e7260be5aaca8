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
_GAP_SHARE_OF_AGE = 0.1
_SHORTEST_GAP_SECONDS = 0.001
_WIDEST_GAP_SECONDS = 0.025


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
class _Observed:
    asked_at: float | None = None
    last_asked_at: float = float("-inf")
    next_at: float = 0.0


class StatusPoller:
    """The schedule of status queries to each instance."""

    def __init__(self, instances: Sequence[str], settings: PollingSettings) -> None:
        self._settings = settings
        self._observed = {instance: _Observed() for instance in instances}

    def want(self, now: float, oldest: float, instances: Sequence[str] | None = None) -> None:
        """Schedule queries at or after `now`, for requests that have waited since `oldest`.

        Queries all instances unless `instances` is given.
        """
        gap = (now - oldest) * _GAP_SHARE_OF_AGE
        gap = min(max(gap, _SHORTEST_GAP_SECONDS), _WIDEST_GAP_SECONDS)
        for instance in instances if instances is not None else self._observed:
            observed = self._observed[instance]
            due = max(now, observed.last_asked_at + gap)
            observed.next_at = min(observed.next_at, due)

    def want_at(self, instance: str, at: float) -> None:
        """Schedule a report of one instance at a time, or earlier."""
        observed = self._observed[instance]
        observed.next_at = min(observed.next_at, at)

    def due(self, now: float) -> list[str]:
        """Return the instances to query now, and record them as queried."""
        asked = []
        for instance, observed in self._observed.items():
            if observed.asked_at is None and now >= observed.next_at:
                observed.asked_at = now
                observed.last_asked_at = now
                observed.next_at = now + self._settings.idle_interval
                asked.append(instance)
        return asked

    def answered(self, instance: str) -> None:
        """Record that a query was answered or failed."""
        self._observed[instance].asked_at = None

    def search(self, now: float) -> None:
        """Query all instances at the searching interval, since no primary is known."""
        for observed in self._observed.values():
            observed.next_at = min(
                observed.next_at, observed.last_asked_at + self._settings.searching_interval
            )

    def overdue(self, now: float) -> list[str]:
        """Return the instances that did not answer in time; they may be queried again."""
        late = []
        for instance, observed in self._observed.items():
            if observed.asked_at is not None and now >= observed.asked_at + self._settings.timeout:
                observed.asked_at = None
                observed.next_at = now + self._settings.searching_interval
                late.append(instance)
        return late

    def deadline(self) -> float:
        """When the next query is due or the next timeout expires."""
        return min(
            observed.next_at
            if observed.asked_at is None
            else observed.asked_at + self._settings.timeout
            for observed in self._observed.values()
        )
