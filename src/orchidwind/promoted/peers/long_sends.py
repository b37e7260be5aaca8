"""Long contents of views leave a proxy one after the other.

For: `served_link`. Owns the queue, one for all links of a proxy: sent together they would fill its
network link, and none be whole while its asker still waits.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

# So many long contents wait to be sent. 13 askers of 2,855 databases take 1.5 s of
# a link of 10 Mbit/s (docs/DECISIONS.md, "Long contents of a view come from the store"), 0.12 s
# each; with more of them waiting, the last ones would come after their askers had given up.
MOST_WAITING_LONG_SENDS = 4


class LongSends:
    """The long contents that wait, or are being sent."""

    def __init__(self) -> None:
        self._lock = asyncio.Lock()
        self._waiting = 0

    @property
    def full(self) -> bool:
        """Whether one more would wait for longer than its asker."""
        return self._waiting >= MOST_WAITING_LONG_SENDS

    async def send(self, work: Callable[[], Awaitable[None]]) -> None:
        """Send one, after those that came before."""
        self._waiting += 1
        try:
            async with self._lock:
                await work()
        finally:
            self._waiting -= 1
