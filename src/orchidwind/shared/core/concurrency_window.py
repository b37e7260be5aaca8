"""How much one proxy keeps running at one instance, learned from its replies. No I/O.

An instance runs a few requests at once, queues some and rejects the others; several proxies share
it, and none knows how busy it is. Additive increase, multiplicative decrease: each rejection makes
the window smaller, answers that come while it is full make it grow again. So requests wait where
they can be put in order, and not in the instance's queue.

Owns: the size of one window. Relies on a report of each answer and each rejection, with the time of
the latter in seconds of one steady clock.

Source of the method: Chiu and Jain, "Analysis of the increase and decrease algorithms for
congestion avoidance in computer networks" (1989).
"""

from __future__ import annotations

# Requests at once before anything is learned. Chosen: a little more than the first users' instances
# run at once (2 or 3 slots).
FIRST_WINDOW = 4.0
# Requests at once at the least, as only an answer can make the window grow again.
_SMALLEST_WINDOW = 1.0
# Factor of the window at a rejection. Chosen, milder than the usual half: of a few slots the half
# stays idle until the window has grown again. Measured for the window as a whole: 2,482 rejections
# on a calm day of the grown site, 23,057 before (docs/CAPACITY.md).
_DECREASE = 0.7
# Seconds for which rejections count as one: a full queue rejects many requests at the same moment.
# Chosen: below the 0.1 to 0.3 s in which a full queue of the first users' instances runs empty.
_DECREASE_PAUSE_SECONDS = 0.05


class ConcurrencyWindow:
    """The requests that may run at once, at least one."""

    def __init__(self) -> None:
        self._size = FIRST_WINDOW
        self._decreased_at = float("-inf")

    @property
    def size(self) -> int:
        """How many requests may run at once."""
        return int(self._size)

    def answered(self, running: int) -> None:
        """The instance took a request, while so many ran."""
        if running >= self.size:
            self._size += 1.0 / self._size

    def rejected(self, now: float) -> None:
        """The instance had no room for a request."""
        if now - self._decreased_at < _DECREASE_PAUSE_SECONDS:
            return
        self._decreased_at = now
        self._size = max(self._size * _DECREASE, _SMALLEST_WINDOW)
