"""Estimates an instance's response time from the answers that this proxy has seen. No I/O.

Reads are sent to the instance that is expected to answer first. This handles uneven load, slow
instances, and instances that look healthy but answer nothing. Each home proxy decides from its own
observations only: the response times, and how long requests in progress have been waiting.

The estimate per request is the longest of the mean of recent response times, the age of the oldest
unanswered request, and the wait of a request that was abandoned recently. It is multiplied by the
number of requests ahead of the new one, plus one. Without new observations it decays to the
estimate of an unknown instance, so that an instance that was slow is tried again.

Owns: two moving averages of one instance, and the start times of the requests in progress. Times
are in seconds of a monotonic clock.
"""

from __future__ import annotations

from math import exp

# Estimate before the first answer. Low, so that an instance that has not answered yet is tried.
_INITIAL_ESTIMATE_SECONDS = 0.01
# Weight of one answer in the mean of recent response times.
_RECENT_WEIGHT = 0.1
# Weight of the recent mean in the usual response time, applied with each answer. The usual time is
# that of an instance without queueing, so it follows a decrease quickly and an increase slowly.
_USUAL_DECREASE_WEIGHT = 0.05
_USUAL_INCREASE_WEIGHT = 0.002
# Number of first answers that are averaged with equal weight.
_WARM_UP_ANSWERS = 10
# If the recent mean exceeds the usual response time by this factor, most of it is queueing at the
# instance.
_QUEUEING_FACTOR = 1.6
# An answer is overdue, and may be lost, after this multiple of the recent mean, but no sooner than
# after this many seconds.
_OVERDUE_FACTOR = 4.0
_SHORTEST_OVERDUE_SECONDS = 0.1
# Time constant of the decay without answers, in seconds: after it, about a third of the difference
# to the initial estimate is left.
_DECAY_SECONDS = 1.0


class AnswerTimes:
    """Response times of one instance, and its requests in progress by connection number."""

    def __init__(self) -> None:
        self._answers = 0
        self._usual = _INITIAL_ESTIMATE_SECONDS
        self._recent = _INITIAL_ESTIMATE_SECONDS
        self._answered_at = float("-inf")
        self._abandoned_wait = 0.0
        self._abandoned_at = float("-inf")
        self._began_at: dict[int, float] = {}

    def began(self, connection: int, now: float) -> None:
        """Record that a request was sent on a connection."""
        self._began_at[connection] = now

    def ended(self, connection: int, now: float, answered: bool) -> None:
        """Record that the request on a connection was answered or abandoned."""
        began = self._began_at.pop(connection, None)
        if began is None:
            return
        seconds = now - began
        if answered:
            self._update_means(seconds, self.recent(now))
            self._answered_at = now
        else:
            self._abandoned_wait = max(self._decayed_abandoned_wait(now), seconds)
            self._abandoned_at = now

    def _update_means(self, seconds: float, recent: float) -> None:
        """Add a response time to the recent mean and adapt the usual response time."""
        self._answers += 1
        if self._answers <= _WARM_UP_ANSWERS:
            self._recent = recent + (seconds - recent) / self._answers
            self._usual = self._recent
            return
        self._recent = recent + _RECENT_WEIGHT * (seconds - recent)
        rises = self._recent > self._usual
        weight = _USUAL_INCREASE_WEIGHT if rises else _USUAL_DECREASE_WEIGHT
        self._usual += weight * (self._recent - self._usual)

    def rejected(self, connection: int) -> None:
        """Discard the request on a connection: it did not run, so its time means nothing."""
        self._began_at.pop(connection, None)

    def recent(self, now: float) -> float:
        """Return the mean of recent response times, decayed by the time without answers."""
        if self._answered_at == float("-inf"):
            return self._recent
        # Decay starts when a request sent right after the last answer should have been answered.
        without_answer = max(now - self._answered_at - self._recent, 0.0)
        remaining = exp(-without_answer / _DECAY_SECONDS)
        baseline = min(self._recent, _INITIAL_ESTIMATE_SECONDS)
        return baseline + (self._recent - baseline) * remaining

    def _decayed_abandoned_wait(self, now: float) -> float:
        """Return how long the last abandoned request waited, decayed by the time since."""
        return self._abandoned_wait * exp((self._abandoned_at - now) / _DECAY_SECONDS)

    def oldest_wait(self, now: float) -> float:
        """Return the age of the oldest request in progress; 0 if there is none."""
        if not self._began_at:
            return 0.0
        return now - next(iter(self._began_at.values()))

    def overdue(self, now: float) -> int:
        """Return the number of requests in progress whose answers are overdue and may be lost."""
        return sum(at <= now for at in self.overdue_times())

    def overdue_times(self) -> list[float]:
        """Return for each request in progress when its answer becomes, or became, overdue."""
        return [began + self._overdue_after for began in self._began_at.values()]

    @property
    def _overdue_after(self) -> float:
        return max(self._recent * _OVERDUE_FACTOR, _SHORTEST_OVERDUE_SECONDS)

    def is_queueing(self, now: float) -> bool:
        """Return whether response times show that requests queue at the instance."""
        return self.recent(now) > self._usual * _QUEUEING_FACTOR

    def expected(self, ahead: int, now: float, way: float = 0.0) -> float:
        """Return the estimated seconds until a new request with `ahead` before it is answered.

        `way` is the part of each response time, in seconds, that the caller adds once by itself:
        requests travel at the same time, so it is neither multiplied nor contained in the result.
        """
        longest = max(self.recent(now), self.oldest_wait(now), self._decayed_abandoned_wait(now))
        return max(longest - way, 0.0) * (1 + ahead)
