"""Sends the long contents of views one at a time.

For: `served_link`. Owns one queue for all links of a proxy. Sent concurrently, several long
contents would share the bandwidth, and none would be complete before its requester's time limit.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

# How many long contents may be queued or being sent. A configuration of 2,855 databases takes 0.12
# s of a link of 10 Mbit/s, 1.5 s for 13 requesters (docs/DECISIONS.md, "Long contents of a view
# come from the store"); in a longer queue the last ones would arrive after their requesters' time
# limit.
MAX_QUEUED_LONG_SENDS = 4


class LongSendQueue:
    """The queue of the long contents that wait or are being sent."""

    def __init__(self) -> None:
        self._lock = asyncio.Lock()
        self._waiting = 0

    @property
    def full(self) -> bool:
        """Whether one more content would be sent after its requester's time limit."""
        return self._waiting >= MAX_QUEUED_LONG_SENDS

    async def send(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run `work`, which sends one content, after all earlier ones have been sent."""
        self._waiting += 1
        try:
            async with self._lock:
                await work()
        finally:
            self._waiting -= 1
