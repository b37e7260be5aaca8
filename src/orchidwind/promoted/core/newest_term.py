"""The newest term of a group's primary that this proxy knows. No I/O, no clock.

A primary of an older term no longer counts as primary, and an instance that has been silent since
before the newest term began cannot have confirmed commits of it. Owns: the term and the earliest
time at which it can have begun. Relies on: `proven_floors` for when the leadership of the previous
term was last proven. Times are in seconds of the monotonic clock.
"""

from __future__ import annotations

# Shortest time in seconds from the last proof of leadership until the next term begins. A lower
# limit: a promotion takes effect some hundred milliseconds after its call, which follows that
# proof.
_SHORTEST_PROMOTION_SECONDS = 0.2


class NewestTerm:
    """The highest term that some instance was ever in; a fence alone starts no term."""

    def __init__(self) -> None:
        self.term = 0
        # Stays unbounded if this proxy did not see the previous term.
        self.began_after = float("-inf")

    def seen(self, term: int, last_proof_at: float) -> None:
        """Note that an instance is in a term.

        `last_proof_at`: when the leadership of the previous term was last proven.
        """
        if term > self.term:
            self.term = term
            self.began_after = last_proof_at + _SHORTEST_PROMOTION_SECONDS
