"""Decides which reads of a group cross to another region although this one could serve them.

For: `read_planning`, where both sides have a replica that may serve a read. Owns, for one group at
one proxy, the share of such reads that crosses. Relies on expected answer times only. No I/O, no
clock; times are in seconds.

Each proxy knows only its own queues. If all of them moved their reads as soon as the other region
answers earlier, the reads of a whole region would move at the same moment, fill the other one, and
return together. So the share changes gradually, and between the bound above which it rises and the
one below which it falls it stays.
"""

from __future__ import annotations

from msgspec import Struct

# The share changes by at most this much per second.
SPILL_CHANGE_PER_SECOND = 0.5
# The share falls once this region is expected to answer within this fraction of the bound above
# which it rises.
_RETURN_FRACTION = 0.5
# Without reads nothing is known, so a longer pause between two reads counts as one of this length.
_LONGEST_STEP_SECONDS = 0.1


class SideAnswers(Struct, frozen=True):
    """When this region and the other one are expected to answer a read, and the bound for it.

    `near` and `far` include the round trips; above `longest`, this region's answer is too late.
    """

    near: float
    far: float
    longest: float


class RegionSpill:
    """The share of reads that crosses, from 0 to 1."""

    def __init__(self) -> None:
        self.share = 0.0
        # Those of the last decision, for the log.
        self.last_answers = SideAnswers(0.0, 0.0, 0.0)
        self._decided_at = float("-inf")
        # The reads that should have crossed but did not, less than one.
        self._owed = 0.0

    def crosses(self, answers: SideAnswers, now: float) -> bool:
        """Decide about one read, and adapt the share."""
        step = min(max(now - self._decided_at, 0.0), _LONGEST_STEP_SECONDS)
        self._decided_at = now
        self.last_answers = answers
        self._adapt(answers, step * SPILL_CHANGE_PER_SECOND)
        self._owed += self.share
        if self._owed < 1.0:
            return False
        self._owed -= 1.0
        return True

    def _adapt(self, answers: SideAnswers, change: float) -> None:
        if answers.far >= answers.near or answers.near < answers.longest * _RETURN_FRACTION:
            self.share = max(self.share - change, 0.0)
        elif answers.near > answers.longest:
            self.share = min(self.share + change, 1.0)
        if self.share == 0.0:
            self._owed = 0.0
