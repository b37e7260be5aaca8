"""How soon an instance would answer one more request, from what this proxy has seen. No I/O.

What for: reads go where they are answered first. It answers uneven load on instances, slow ones and
those that answer nothing although they look well. Each home decides by what it sees by itself: the
times of answers, and how long what is under way has been waiting.

The estimate is the mean time of the last answers, or the age of the oldest request that is still
without one, whichever is longer, for each request that would be ahead and for the new one. Without
news it goes back to the usual time, so that an instance that was slow is tried again.

Owns: the two means of one instance, and which exchanges are under way. Times are in seconds of one
steady clock.
"""

from __future__ import annotations

from math import exp

# Before the first answer. Low, so that an instance that has answered nothing yet is tried.
_FIRST_ANSWER_SECONDS = 0.01
# Weight of one answer in the mean of the last ones, and in the usual time.
_RECENT_WEIGHT = 0.1
_USUAL_WEIGHT = 0.01
# Without an answer the mean goes back to the usual time by two thirds in so many seconds.
_FORGET_SECONDS = 1.0


class AnswerTimes:
    """The answers of one instance."""

    def __init__(self) -> None:
        self._answers = 0
        self._usual = _FIRST_ANSWER_SECONDS
        self._recent = _FIRST_ANSWER_SECONDS
        self._noted_at = float("-inf")
        self._began_at: dict[int, float] = {}

    @property
    def usual(self) -> float:
        """The mean time of an answer over a long while."""
        return self._usual

    def began(self, connection: int, now: float) -> None:
        """A request was sent on a connection."""
        self._began_at[connection] = now

    def ended(self, connection: int, now: float, answered: bool) -> None:
        """It was answered, or given up."""
        began = self._began_at.pop(connection, None)
        if began is None:
            return
        seconds = now - began
        recent = self.recent(now)
        self._noted_at = now
        if answered:
            self._answers += 1
            first = 1.0 / self._answers
            self._recent = recent + max(_RECENT_WEIGHT, first) * (seconds - recent)
            self._usual += max(_USUAL_WEIGHT, first) * (seconds - self._usual)
        else:
            # It would have taken longer still, so it counts whole.
            self._recent = max(recent, seconds)

    def rejected(self, connection: int) -> None:
        """It was not run, so its time says nothing."""
        self._began_at.pop(connection, None)

    def recent(self, now: float) -> float:
        """The mean time of the last answers."""
        if self._noted_at == float("-inf"):
            return self._recent
        # A request sent after the last answer would be answered by now.
        without_news = max(now - self._noted_at - self._recent, 0.0)
        kept = exp(-without_news / _FORGET_SECONDS)
        return self._usual + (self._recent - self._usual) * kept

    def oldest_wait(self, now: float) -> float:
        """For how long the oldest request that is under way has waited; 0 where there is none."""
        if not self._began_at:
            return 0.0
        return now - next(iter(self._began_at.values()))

    def expected(self, ahead: int, now: float) -> float:
        """Seconds until the answer to a new request with so many ahead of it."""
        return max(self.recent(now), self.oldest_wait(now)) * (1 + ahead)
