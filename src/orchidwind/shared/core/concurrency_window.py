"""Adaptive limit on the requests that one proxy runs at one instance at a time. No I/O.

An instance runs a few requests at once, queues some and rejects the rest. Several proxies share it,
and none of them knows its load. The limit (the window) uses additive increase and multiplicative
decrease: a rejection shrinks the window, and answers that arrive while it is full make it grow.
Requests then wait in the proxy, which can order them, instead of in the instance's queue.

The fair share of a proxy follows from the number of slots of the instance and the number of proxies
that hold connections to it, and may move with their demand. It is the number of requests that the
proxy may have in progress there so that few requests of all proxies together wait. A window starts
at the fair share, grows beyond it while answers arrive as fast as usual (other proxies use less
than their shares), and shrinks back to it when response times show that requests queue at the
instance.

Owns: the size of one window. Its user reports each answer and each rejection, with the time in
seconds of a monotonic clock.

Source of the method: Chiu and Jain, "Analysis of the increase and decrease algorithms for
congestion avoidance in computer networks" (1989).
"""

from __future__ import annotations

from collections.abc import Callable

# Initial window, in requests, if no fair share is given. Slightly more than the instances of the
# first users run at once (2 or 3 slots).
INITIAL_WINDOW = 4.0
# Minimum window. One request must always be allowed, as only an answer makes the window grow again.
_MIN_WINDOW = 1.0
# Requests that all proxies together may have in progress for each slot: one that runs and one that
# is ready to run when it ends, although the proxies do not send in step.
_REQUESTS_PER_SLOT = 2.0
# Maximum window, in fair shares. With two, a third of the proxies can use all slots while the
# others are idle.
_MAX_FAIR_SHARES = 2.0
# Factor by which a rejection shrinks the window. Milder than the usual half: with only a few slots,
# half of them would stay idle until the window has grown again.
_DECREASE = 0.7
# Factor by which signs of queueing at the instance shrink the window. Milder still, because no
# request has been rejected yet.
_DECREASE_QUEUEING = 0.9
# Rejections within this many seconds shrink the window once: a full queue rejects many requests at
# the same moment. Shorter than the 0.1 to 0.3 s in which a full queue of the first users' instances
# drains.
_DECREASE_PAUSE_SECONDS = 0.05


def fair_share(slots: int, proxies: int) -> float:
    """Return how many requests one proxy may have in progress at an instance."""
    return slots * _REQUESTS_PER_SLOT / max(proxies, 1)


class ConcurrencyWindow:
    """The number of requests that may run at once; never less than one."""

    def __init__(self, fair_share: float = INITIAL_WINDOW) -> None:
        self._fair_share = self._size = max(fair_share, _MIN_WINDOW)
        self._maximum = self._fair_share * _MAX_FAIR_SHARES
        self._decreased_at = float("-inf")
        # Until when the fair share is valid, and what sets the next one (`set_share_end`).
        self._share_ends_at = float("inf")
        self._renew_share: Callable[[float], None] = lambda now: None

    @property
    def size(self) -> int:
        """Number of requests that may run at once."""
        return int(self._size)

    def set_fair_share(self, share: float, reduced: bool = False) -> None:
        """Set the fair share after the slots of the instance or the proxies' demands changed.

        `reduced`: other proxies may be using a part of this proxy's share. A window above the new
        maximum then shrinks at once.
        """
        self._fair_share = max(share, _MIN_WINDOW)
        self._maximum = self._fair_share * _MAX_FAIR_SHARES
        if reduced:
            self._maximum = max(share * _MAX_FAIR_SHARES, _MIN_WINDOW)
        self._size = min(self._size, self._maximum)

    def set_share_end(self, ends_at: float, renew: Callable[[float], None]) -> None:
        """Set the time from which the fair share is no longer valid; `renew` then sets it again."""
        self._share_ends_at = ends_at
        self._renew_share = renew

    def end_share(self, now: float) -> None:
        """Have the fair share set again if it is no longer valid. Called before each use."""
        if now >= self._share_ends_at:
            self._share_ends_at = float("inf")
            self._renew_share(now)

    def answered(self, running: int, queueing: bool, now: float) -> None:
        """Record an answer that came while `running` requests were in progress.

        `queueing` is true if response times show that requests queue at the instance.
        """
        if queueing and self._size > self._fair_share:
            self._shrink(_DECREASE_QUEUEING, now)
        elif running >= self.size and (not queueing or self._size < self._fair_share):
            self._size = min(self._size + 1.0 / self._size, self._maximum)

    def rejected(self, now: float) -> None:
        """Record that the instance rejected a request for lack of room."""
        self._shrink(_DECREASE, now)

    def _shrink(self, factor: float, now: float) -> None:
        """Shrink the window, at most once per `_DECREASE_PAUSE_SECONDS`."""
        if now - self._decreased_at < _DECREASE_PAUSE_SECONDS:
            return
        self._decreased_at = now
        self._size = max(self._size * factor, _MIN_WINDOW)
