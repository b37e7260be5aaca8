"""How much one proxy keeps running at one instance, learned from its replies. No I/O.

An instance runs a few requests at once, queues some and rejects the others; several proxies share
it, and none knows how busy it is. Additive increase, multiplicative decrease: each rejection makes
the window smaller, answers that come while it is full make it grow again. So requests wait where
they can be put in order, and not in the instance's queue.

The instance has so many slots, and so many proxies hold connections to it: the fair share of one is
what it may have under way there, so that all of them together leave little waiting. A window begins
with it, grows beyond it while answers come as soon as usual (others use less of theirs), and goes
back to it when answers show that work waits at the instance.

Owns: the size of one window. Relies on a report of each answer and each rejection, with the time of
the latter in seconds of one steady clock.

Source of the method: Chiu and Jain, "Analysis of the increase and decrease algorithms for
congestion avoidance in computer networks" (1989).
"""

from __future__ import annotations

# Requests at once before anything is learned. A little more than the first users' instances
# run at once (2 or 3 slots).
FIRST_WINDOW = 4.0
# Requests at once at the least, as only an answer can make the window grow again.
_SMALLEST_WINDOW = 1.0
# Requests that all proxies together may have under way for each slot: one runs, and the next one is
# there when it ends although proxies do not ask in step.
_UNDER_WAY_A_SLOT = 2.0
# A window grows to so many fair shares at most. With two, a third of the proxies can use all slots
# while the others have nothing to do.
_MOST_SHARES = 2.0
# Factor of the window at a rejection. Milder than the usual half: of a few slots the half stays
# idle until the window has grown again.
_DECREASE = 0.7
# The same where answers show that requests wait at the instance: it is no loss yet.
_DECREASE_QUEUEING = 0.9
# Seconds for which rejections count as one: a full queue rejects many requests at the same moment.
# Below the 0.1 to 0.3 s in which a full queue of the first users' instances runs empty.
_DECREASE_PAUSE_SECONDS = 0.05


def fair_share(slots: int, proxies: int) -> float:
    """How much one of so many proxies may have under way at an instance with so many slots."""
    return slots * _UNDER_WAY_A_SLOT / max(proxies, 1)


class ConcurrencyWindow:
    """The requests that may run at once, at least one."""

    def __init__(self, fair_share: float = FIRST_WINDOW) -> None:
        self._fair_share = self._size = max(fair_share, _SMALLEST_WINDOW)
        self._decreased_at = float("-inf")

    @property
    def size(self) -> int:
        """How many requests may run at once."""
        return int(self._size)

    def set_fair_share(self, share: float) -> None:
        """The slots or the proxies that share them have changed."""
        self._fair_share = max(share, _SMALLEST_WINDOW)

    def answered(self, running: int, queues: bool, now: float) -> None:
        """The instance took a request, while so many ran; `queues`: work waits there."""
        if queues and self._size > self._fair_share:
            self._shrink(_DECREASE_QUEUEING, now)
        elif running >= self.size and (not queues or self._size < self._fair_share):
            most = self._fair_share * _MOST_SHARES
            self._size = min(self._size + 1.0 / self._size, most)

    def rejected(self, now: float) -> None:
        """The instance had no room for a request."""
        self._shrink(_DECREASE, now)

    def _shrink(self, factor: float, now: float) -> None:
        if now - self._decreased_at < _DECREASE_PAUSE_SECONDS:
            return
        self._decreased_at = now
        self._size = max(self._size * factor, _SMALLEST_WINDOW)
