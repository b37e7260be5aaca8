"""A position in the history of the platform's store: its era, and a revision within it. No I/O.

The store may be restored from an older copy of itself. Its revisions then go back and are given out
again for other changes, so a bare revision does not tell which of two states is later. The era
rises by one with each restore; era and revision together, compared in this order, are a logical
clock that never goes back.

Both are packed into one integer, which is compared, stored and sent as it is. In era 0 it is the
bare revision, so data that was stored or sent without an era stays readable. It also serves as the
fencing token of the promotion lock, which thus keeps rising across restores.

Owns and relies on: nothing.
"""

from __future__ import annotations

from typing import Self

# Bits of the revision within an era; the era gets the rest of the 53 bits that every JSON reader
# keeps exact. At 400 changes a second, the most that the first users' store accepts, 40 bits last
# for 87 years; 13 bits are 8,192 eras, one a day for 22 years.
_REVISION_BITS = 40
_ERA_BITS = 13
# The era of a store that was never restored from a copy, and of a store that reports none.
FIRST_ERA = 0


class StoreRevision(int):
    """Era and revision in one number; a greater one is later."""

    @classmethod
    def of(cls, era: int, revision: int) -> Self:
        """Return the combined number; raises ValueError if era or revision is out of range."""
        if not 0 <= revision < 1 << _REVISION_BITS or not 0 <= era < 1 << _ERA_BITS:
            raise ValueError(f"era {era} or revision {revision} of the store is out of range")
        return cls(era << _REVISION_BITS | revision)

    @property
    def era(self) -> int:
        """How often the store had been restored from an older copy; -1 for `NOTHING_HELD`."""
        return self >> _REVISION_BITS

    @property
    def in_era(self) -> int:
        """The store's own revision, as used in its calls."""
        return self & (1 << _REVISION_BITS) - 1

    def __str__(self) -> str:
        """Return the form for log lines: the revision, with its era after a restore."""
        return f"{self.era}/{self.in_era}" if self.era > 0 else str(int(self))

    __repr__ = __str__


# Lower than every revision in the history.
NOTHING_HELD = StoreRevision(-1)
