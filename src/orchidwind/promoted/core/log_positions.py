"""The comparison of log positions: whether a log has everything up to a position. No I/O.

Acknowledging a commit and choosing the next primary must compare logs in the same way.
"""

from __future__ import annotations

from orchidwind.shared.core.positions import Position


def holds(log_end: Position, wanted: Position) -> bool:
    """Whether a log that ends at `log_end` has everything up to `wanted`.

    Both term and number must reach as far: a log in a newer term may still lack earlier entries.
    """
    return log_end.term >= wanted.term and log_end.lsn >= wanted.lsn
