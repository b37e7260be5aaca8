"""The era of the platform's store as this process knows it.

For: the adapter of the store, which names the era of each answer; links to other proxies, whose
reports name theirs; and all that must act when the store has come back from an older copy. Owns the
newest era, since when it is known, and the log line of a return. Relies on the running loop's
clock.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from orchidwind.promoted.core.store_revision import FIRST_ERA
from orchidwind.shared.logs import log_event


class StoreEra:
    """The newest era that anybody named. `returns`: how many returns were seen since the start."""

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        """`clock` is the steady clock in seconds; that of the running loop where none is given."""
        self._clock = clock or _loop_clock
        self.current = FIRST_ERA
        self.returns = 0
        # Since when it is known, seconds of the steady clock.
        self.since = float("-inf")
        self._known = False
        self._on_return: list[Callable[[], None]] = []

    def on_return(self, act: Callable[[], None]) -> None:
        """Have something done whenever the store is found to have come back."""
        self._on_return.append(act)

    def saw(self, era: int, source: str) -> bool:
        """Somebody named an era; False where it is an earlier one than is known.

        What was said in an earlier era changes nothing and confirms nothing any more.
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
            decision="read all views anew, list and register this proxy again",
        )
        for act in self._on_return:
            act()
        return True


def _loop_clock() -> float:
    return asyncio.get_running_loop().time()
