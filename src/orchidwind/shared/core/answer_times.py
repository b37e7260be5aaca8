"""How soon an instance would answer one more request, from what this proxy has seen. No I/O.

What for: reads go where they are answered first. It answers uneven load on instances, slow ones and
those that answer nothing although they look well. Each home decides by what it sees by itself: the
times of answers, and how long what is under way has been waiting.

The estimate is the mean time of the last answers, the age of the oldest request that is still
without one, or that of one that was given up lately, whichever is longest, for each request that
would be ahead and for the new one. Without news it goes back to that of an instance of which
nothing is known, so that one that was slow is tried again.

Owns: the two means of one instance, and which exchanges are under way. Times are in seconds of one
steady clock.
"""

from __future__ import annotations

from math import exp

# Before the first answer. Low, so that an instance that has answered nothing yet is tried.
_FIRST_ANSWER_SECONDS = 0.01
# Weight of one answer in the mean of the last ones.
_RECENT_WEIGHT = 0.1
# Weight of that mean in the usual time, with each answer: the usual time is that of an instance
# whose work does not wait, so it follows a shorter time soon and a longer one hardly.
_USUAL_FALLS_WEIGHT = 0.05
_USUAL_RISES_WEIGHT = 0.002
# So many answers make the first mean.
_FIRST_ANSWERS = 10
# Where answers take so many times as long as usual, most of it is waiting at the instance.
_QUEUEING_FACTOR = 1.6
# An answer that takes so many times as long as the last ones, and at least so many seconds, may be
# lost.
_OVERDUE_FACTOR = 4.0
_SHORTEST_OVERDUE_SECONDS = 0.1
# Without an answer the mean goes back to the first one by two thirds in so many seconds.
_FORGET_SECONDS = 1.0


class AnswerTimes:
    """The answers of one instance."""

    def __init__(self) -> None:
        self._answers = 0
        self._usual = _FIRST_ANSWER_SECONDS
        self._recent = _FIRST_ANSWER_SECONDS
        self._noted_at = float("-inf")
        self._given_up = 0.0
        self._given_up_at = float("-inf")
        self._began_at: dict[int, float] = {}

    def began(self, connection: int, now: float) -> None:
        """A request was sent on a connection."""
        self._began_at[connection] = now

    def ended(self, connection: int, now: float, answered: bool) -> None:
        """It was answered, or given up."""
        began = self._began_at.pop(connection, None)
        if began is None:
            return
        seconds = now - began
        if answered:
            self._note_answer(seconds, self.recent(now))
            self._noted_at = now
        else:
            self._given_up = max(self._given_up_lately(now), seconds)
            self._given_up_at = now

    def _note_answer(self, seconds: float, recent: float) -> None:
        self._answers += 1
        if self._answers <= _FIRST_ANSWERS:
            self._recent = recent + (seconds - recent) / self._answers
            self._usual = self._recent
            return
        self._recent = recent + _RECENT_WEIGHT * (seconds - recent)
        rises = self._recent > self._usual
        weight = _USUAL_RISES_WEIGHT if rises else _USUAL_FALLS_WEIGHT
        self._usual += weight * (self._recent - self._usual)

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
        forgotten = min(self._recent, _FIRST_ANSWER_SECONDS)
        return forgotten + (self._recent - forgotten) * kept

    def _given_up_lately(self, now: float) -> float:
        """How long a request waited in vain, less the longer ago that is."""
        return self._given_up * exp((self._given_up_at - now) / _FORGET_SECONDS)

    def oldest_wait(self, now: float) -> float:
        """For how long the oldest request that is under way has waited; 0 where there is none."""
        if not self._began_at:
            return 0.0
        return now - next(iter(self._began_at.values()))

    def overdue(self, now: float) -> int:
        """How many requests have waited for so long that their answers may be lost."""
        return sum(at <= now for at in self.overdue_times())

    def overdue_times(self) -> list[float]:
        """When the answer to each request that is under way becomes overdue, or became so."""
        return [began + self._overdue_after for began in self._began_at.values()]

    @property
    def _overdue_after(self) -> float:
        return max(self._recent * _OVERDUE_FACTOR, _SHORTEST_OVERDUE_SECONDS)

    def queues(self, now: float) -> bool:
        """Whether answers take so much longer than usual that work waits at the instance."""
        return self.recent(now) > self._usual * _QUEUEING_FACTOR

    def expected(self, ahead: int, now: float) -> float:
        """Seconds until the answer to a new request with so many ahead of it."""
        longest = max(self.recent(now), self.oldest_wait(now), self._given_up_lately(now))
        return longest * (1 + ahead)
