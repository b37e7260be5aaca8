"""The store era, which counts restores of the store from an older copy, as this process knows it.

For: the adapter of the store, which reports the era of each answer; links to other proxies, whose
reports carry the era that they know; and the parts that must act after the store was restored from
an older copy. Owns the newest known era, the time since which it is known, and the log line of a
restore. Relies on the running event loop's clock.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from orchidwind.promoted.core.store_revision import FIRST_ERA
from orchidwind.shared.logs import log_event


class StoreEra:
    """The newest era seen in any answer. `returns` counts the restores seen since the start."""

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        """`clock` is a monotonic clock in seconds; the default is the running event loop's."""
        self._clock = clock or _loop_clock
        self.current = FIRST_ERA
        self.returns = 0
        # When this process first saw the current era; monotonic clock, seconds.
        self.since = float("-inf")
        self._known = False
        self._on_restored: list[Callable[[], None]] = []

    def on_restored(self, act: Callable[[], None]) -> None:
        """Call `act` whenever a restore of the store is noticed."""
        self._on_restored.append(act)

    def saw(self, era: int, source: str) -> bool:
        """Record the era of an answer. Returns False if it is earlier than the known era.

        Data of an earlier era must be ignored: it changes and confirms nothing any more.
        """
        if era < self.current:
            return False
        first, self._known = not self._known, True
        if era == self.current and not first:
            return True
        before, self.current = self.current, era
        self.since = self._clock()
        if first:
            log_event("store_era", era=era, source=source)
            return True
        self.returns += 1
        log_event(
            "store_came_back",
            level=logging.WARNING,
            era=era,
            before=before,
            source=source,
            decision="read all views again, list and register this proxy again",
        )
        for act in self._on_restored:
            act()
        return True


def _loop_clock() -> float:
    return asyncio.get_running_loop().time()
