"""A place in the history of the platform's store: its era, and a revision within it. No I/O.

What for: the store may come back from an older copy of itself. Its revisions go back then and are
given out again for other changes, so a bare revision says nothing about which of two states is
later. The era rises by one with each return; era and revision together, compared in this order,
are a logical clock that never goes back.

Both are packed into one whole number, which is compared, stored and sent as it is: in era 0 it is
the bare revision, so what was stored or sent before stays readable. It also serves as the fencing
token of the promotion lock, which thus rises across returns.

Owns and relies on: nothing.
"""

from __future__ import annotations

from typing import Self

# Bits of the revision within an era; what is left of the 53 bits that every JSON reader keeps
# exact is the era's. At 400 changes a second, the most that the first users' store takes, 40 bits
# last for 87 years; 13 bits are 8,192 eras, one a day for 22 years.
_REVISION_BITS = 40
_ERA_BITS = 13
# The era of a store that never came back from a copy, and of one that names none.
FIRST_ERA = 0


class StoreRevision(int):
    """Era and revision in one number; a greater one is later."""

    @classmethod
    def of(cls, era: int, revision: int) -> Self:
        """The place of a revision in an era; raises ValueError where either is out of range."""
        if not 0 <= revision < 1 << _REVISION_BITS or not 0 <= era < 1 << _ERA_BITS:
            raise ValueError(f"era {era} or revision {revision} of the store is out of range")
        return cls(era << _REVISION_BITS | revision)

    @property
    def era(self) -> int:
        """How often the store had come back from an older copy; -1 for `NOTHING_HELD`."""
        return self >> _REVISION_BITS

    @property
    def in_era(self) -> int:
        """The store's own revision, as its calls take it."""
        return self & (1 << _REVISION_BITS) - 1

    def __str__(self) -> str:
        """As in log lines: the revision, with its era where there was a return."""
        return f"{self.era}/{self.in_era}" if self.era > 0 else str(int(self))

    __repr__ = __str__


# Before any place in the history.
NOTHING_HELD = StoreRevision(-1)
