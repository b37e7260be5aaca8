"""Decides when each instance of a group is asked for its status.

Owns the times of queries; `instance_reports.py` sends them. Times are in seconds of its clock.

Idle groups are asked seldom, since this cost is paid for every database. Commits that wait for
confirmation and reads that wait for a floor ask for a report that leaves after they arrived; one
round serves all that wait. Rounds are spaced wider the longer the oldest has waited.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# The time between two rounds that somebody waits for is this share of the age of the oldest
# wait, within the two bounds; so a wait costs queries that grow with the logarithm of its length.
_GAP_SHARE_OF_AGE = 0.1
_SHORTEST_GAP_SECONDS = 0.001
_WIDEST_GAP_SECONDS = 0.025


@dataclass(frozen=True, slots=True)
class PollingSettings:
    """Intervals between queries to an instance, in seconds."""

    # More often, they take about the whole control traffic of a node
    # (docs/DECISIONS.md, "Status queries: prepared, every 2 s while idle").
    idle_interval: float = 2.0
    # While no primary is known. Bounds what the search adds to a failover gap.
    searching_interval: float = 0.05
    # Without an answer for this time an instance counts as away; reads run elsewhere.
    timeout: float = 0.4


@dataclass(slots=True)
class _Observed:
    asked_at: float | None = None
    last_asked_at: float = float("-inf")
    next_at: float = 0.0


class StatusPoller:
    """The timing of status queries to each instance."""

    def __init__(self, instances: Sequence[str], settings: PollingSettings) -> None:
        self._settings = settings
        self._observed = {instance: _Observed() for instance in instances}

    def want(self, now: float, oldest: float, instances: Sequence[str] | None = None) -> None:
        """Somebody waits for a report asked for after `now`; the first of them since `oldest`."""
        gap = (now - oldest) * _GAP_SHARE_OF_AGE
        gap = min(max(gap, _SHORTEST_GAP_SECONDS), _WIDEST_GAP_SECONDS)
        for instance in instances if instances is not None else self._observed:
            observed = self._observed[instance]
            due = max(now, observed.last_asked_at + gap)
            observed.next_at = min(observed.next_at, due)

    def want_at(self, instance: str, at: float) -> None:
        """A report of one instance is of use at a time."""
        observed = self._observed[instance]
        observed.next_at = min(observed.next_at, at)

    def due(self, now: float) -> list[str]:
        """Instances to ask now; they count as asked."""
        asked = []
        for instance, observed in self._observed.items():
            if observed.asked_at is None and now >= observed.next_at:
                observed.asked_at = now
                observed.last_asked_at = now
                observed.next_at = now + self._settings.idle_interval
                asked.append(instance)
        return asked

    def answered(self, instance: str) -> None:
        """An answer, or a failure, came."""
        self._observed[instance].asked_at = None

    def search(self, now: float) -> None:
        """No primary is known: ask all soon."""
        for observed in self._observed.values():
            observed.next_at = min(
                observed.next_at, observed.last_asked_at + self._settings.searching_interval
            )

    def overdue(self, now: float) -> list[str]:
        """Instances that have not answered within the time; they may be asked anew."""
        late = []
        for instance, observed in self._observed.items():
            if observed.asked_at is not None and now >= observed.asked_at + self._settings.timeout:
                observed.asked_at = None
                observed.next_at = now + self._settings.searching_interval
                late.append(instance)
        return late

    def deadline(self) -> float:
        """When the next query is due or overdue."""
        return min(
            observed.next_at
            if observed.asked_at is None
            else observed.asked_at + self._settings.timeout
            for observed in self._observed.values()
        )
