"""Positions in the write-ahead log of a database group.

A position is a pair of a term (PostgreSQL's timeline) and a log sequence number (LSN, in bytes).
Positions are ordered by term first, because a higher term supersedes all lower ones.
"""

from __future__ import annotations

from msgspec import Struct

_LSN_LOW_BITS = 32
_LSN_LOW_MASK = (1 << _LSN_LOW_BITS) - 1


class Position(Struct, frozen=True, order=True):
    """A log position of a group: the `term`, and the byte offset `lsn` within its log."""

    term: int
    lsn: int

    def __str__(self) -> str:
        return f"{self.term}:{format_lsn(self.lsn)}"

    @classmethod
    def parse(cls, text: str) -> Position:
        """Parse `TERM:HIGH/LOW`; raises ValueError for any other text."""
        term, separator, lsn = text.partition(":")
        if not separator:
            raise ValueError(f"not a position: {text!r}")
        position = cls(int(term), parse_lsn(lsn))
        if position.term < 0:
            raise ValueError(f"negative term in {text!r}")
        return position


ORIGIN = Position(0, 0)


def parse_lsn(text: str) -> int:
    """Parse PostgreSQL's `pg_lsn` text form, two hexadecimal numbers separated by a slash.

    Raises ValueError for any other text.
    """
    high, separator, low = text.partition("/")
    if not separator or len(high) > 8 or len(low) > 8:
        raise ValueError(f"not a log sequence number: {text!r}")
    return (int(high, 16) << _LSN_LOW_BITS) | int(low, 16)


def format_lsn(lsn: int) -> str:
    """Return PostgreSQL's `pg_lsn` text form."""
    return f"{lsn >> _LSN_LOW_BITS:X}/{lsn & _LSN_LOW_MASK:X}"
