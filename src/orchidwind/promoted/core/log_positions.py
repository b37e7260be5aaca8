"""Whether a log has everything up to a position: the comparison on which promises rest. No I/O.

What for: acknowledging a commit and choosing the next primary must compare logs the same way.
"""

from __future__ import annotations

from orchidwind.shared.core.positions import Position


def holds(log_end: Position, wanted: Position) -> bool:
    """Whether a log that ends there has everything up to a position.

    By term and by number: one that follows a newer term may still lack what came before it.
    """
    return log_end.term >= wanted.term and log_end.lsn >= wanted.lsn
