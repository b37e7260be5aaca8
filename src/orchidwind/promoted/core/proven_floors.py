"""Which positions a read must see to be fresh enough: the proven floors. No I/O, no clock.

What for: a replica may serve a read whose staleness is bounded if its log has every commit that was
acknowledged before the bound. A *floor* is such a position. It is *proven* for a time when the
primary reported it at or after that time, and it is known that no later primary had begun by then:
either a commit was acknowledged, which needs a replica that still follows that primary, or
`lead_proof` shows it.

Owns: samples of the end of the primary's log, and when the lead was last proven. Relies on: callers
that add only proven positions. Times are in seconds of the steady clock.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct

from orchidwind.shared.core.positions import Position

# Seconds between two samples. A read's floor is newer than its bound by that much at most,
# against bounds of some seconds.
_SAMPLE_SPACING_SECONDS = 0.1
# How many samples are held. With the spacing they reach back 6.4 s; a read with a longer
# bound takes the oldest one, which is a stricter floor than it needs.
_MOST_SAMPLES = 64


class _Sample(Struct, frozen=True):
    at: float
    position: Position


class ProvenFloors:
    """The floors of one group."""

    def __init__(self) -> None:
        self._samples: deque[_Sample] = deque(maxlen=_MOST_SAMPLES)
        self.last_proof_at = float("-inf")

    def prove(self, at: float, position: Position | None) -> None:
        """The primary was proven to lead, and its answer to a request sent `at` had a position."""
        self.last_proof_at = max(self.last_proof_at, at)
        if position is None:
            return
        if self._samples and at < self._samples[-1].at + _SAMPLE_SPACING_SECONDS:
            return
        self._samples.append(_Sample(at, position))

    def floor_since(self, since: float) -> Position | None:
        """The least proven position that holds every commit acknowledged before `since`.

        None where nothing was proven since then.
        """
        for sample in self._samples:
            if sample.at >= since:
                return sample.position
        return None
