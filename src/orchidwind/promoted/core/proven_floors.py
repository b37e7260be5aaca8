"""Proven floors: the log positions that a read must see to be fresh enough. No I/O, no clock.

A replica may serve a read with bounded staleness if its log has every commit that was acknowledged
before the bound. A *floor* is the lowest position that such a log must reach. A floor is *proven*
for a time if the primary reported it at or after that time, and no later primary is known to have
begun by then: either a commit was acknowledged, which needs a replica that still follows that
primary, or `leadership_proof` shows it.

Owns: samples of the end of the primary's log, and when its leadership was last proven. Relies on:
callers that add only proven positions. Times are in seconds of the monotonic clock.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct

from orchidwind.shared.core.positions import Position

# Seconds between two samples. The floor of a read is newer than its bound by at most that much;
# bounds are some seconds.
_SAMPLE_SPACING_SECONDS = 0.1
# How many samples are kept. With the spacing they reach back 6.4 s. A read with a longer bound gets
# the oldest sample, which is a stricter floor than it needs.
_MOST_SAMPLES = 64


class _Sample(Struct, frozen=True):
    at: float
    position: Position


class ProvenFloors:
    """The proven floors of one group."""

    def __init__(self) -> None:
        self._samples: deque[_Sample] = deque(maxlen=_MOST_SAMPLES)
        self.last_proof_at = float("-inf")

    def prove(self, at: float, position: Position | None) -> None:
        """Note that the primary was proven to lead, and the log position in its answer.

        `at`: when the request for that answer was sent.
        """
        self.last_proof_at = max(self.last_proof_at, at)
        if position is None:
            return
        if self._samples and at < self._samples[-1].at + _SAMPLE_SPACING_SECONDS:
            return
        self._samples.append(_Sample(at, position))

    def floor_since(self, since: float) -> Position | None:
        """Return the lowest proven position that covers every commit acknowledged before `since`.

        None if nothing was proven since then.
        """
        for sample in self._samples:
            if sample.at >= since:
                return sample.position
        return None
