"""Positions in the log of a database group.

A position is a pair of term (PostgreSQL's timeline) and log sequence number (LSN, in bytes).
Positions are ordered by term first, since a higher term always wins.
"""

from __future__ import annotations

from msgspec import Struct

_LSN_LOW_BITS = 32
_LSN_LOW_MASK = (1 << _LSN_LOW_BITS) - 1


class Position(Struct, frozen=True, order=True):
    """A point in the history of a group: `term`, then byte offset `lsn` within the log."""

    term: int
    lsn: int

    def __str__(self) -> str:
        return f"{self.term}:{format_lsn(self.lsn)}"

    @classmethod
    def parse(cls, text: str) -> Position:
        """Read the form `TERM:HIGH/LOW`; raises ValueError for any other text."""
        term, separator, lsn = text.partition(":")
        if not separator:
            raise ValueError(f"not a position: {text!r}")
        position = cls(int(term), parse_lsn(lsn))
        if position.term < 0:
            raise ValueError(f"negative term in {text!r}")
        return position


ORIGIN = Position(0, 0)


def parse_lsn(text: str) -> int:
    """Read PostgreSQL's `pg_lsn` text form, two hexadecimal numbers parted by a slash."""
    high, separator, low = text.partition("/")
    if not separator or len(high) > 8 or len(low) > 8:
        raise ValueError(f"not a log sequence number: {text!r}")
    return (int(high, 16) << _LSN_LOW_BITS) | int(low, 16)


def format_lsn(lsn: int) -> str:
    """Write PostgreSQL's `pg_lsn` text form."""
    return f"{lsn >> _LSN_LOW_BITS:X}/{lsn & _LSN_LOW_MASK:X}"
