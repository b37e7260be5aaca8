"""The newest term of a group's primary that this proxy knows of. No I/O, no clock.

What for: a primary of an older term is none, and whoever was silent since before the newest term
began cannot have confirmed commits of it.
Owns: the term and the earliest moment at which it can have begun. Relies on: `proven_floors` for
when the term before was last proven. Times are in seconds of the steady clock.
"""

from __future__ import annotations

# Seconds from the last proof of a lead until the next term at the earliest. On the safe
# side: a promotion takes effect some hundred milliseconds after its call, which follows that proof.
_SHORTEST_PROMOTION_SECONDS = 0.2


class NewestTerm:
    """The highest term that some instance was ever in; a fence alone is no new term."""

    def __init__(self) -> None:
        self.term = 0
        # Nothing is known where this proxy did not see the term before.
        self.began_after = float("-inf")

    def seen(self, term: int, last_proof_at: float) -> None:
        """An instance is in a term; the lead of the term before was last proven at a time."""
        if term > self.term:
            self.term = term
            self.began_after = last_proof_at + _SHORTEST_PROMOTION_SECONDS
