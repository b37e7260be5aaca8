"""The simulated network."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

LATENCY_SECONDS = 0.001
# What several transfers on one link take in turns, as a connection has so much under way; what else
# is sent waits behind all of it.
_TURN_BYTES = 64 * 1024


class Network:
    """Which parties cannot reach each other; a cut swallows what is sent."""

    def __init__(self) -> None:
        self._cuts: set[tuple[str, str]] = set()
        # Bytes a second that a party's link takes each way; a party without an entry has no limit.
        self.rates: dict[str, float] = {}
        self._free_at: dict[tuple[str, str], float] = {}
        self.carried: dict[tuple[str, str], int] = {}
        # The region of a party; messages between parties of two regions take `border_seconds`.
        self.region_of: dict[str, str] = {}
        self.border_seconds = LATENCY_SECONDS
        # Messages sent so far from one region to another.
        self.crossed = 0

    def cut(self, first: str, second: str, one_way: bool = False) -> None:
        """Part two parties."""
        self._cuts.add((first, second))
        if not one_way:
            self._cuts.add((second, first))

    def join(self, first: str, second: str) -> None:
        """End the cut between two parties."""
        self._cuts -= {(first, second), (second, first)}

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    def passes(self, sender: str, receiver: str) -> bool:
        """Whether a message would arrive."""
        return (sender, receiver) not in self._cuts

    def latency(self, sender: str, receiver: str) -> float:
        """Return the seconds that a message takes."""
        if self.region_of.get(sender) == self.region_of.get(receiver):
            return LATENCY_SECONDS
        return self.border_seconds

    def count(self, sender: str, receiver: str) -> None:
        """Count a message if it passes the border of a region."""
        regions = self.region_of
        if sender in regions and receiver in regions and regions[sender] != regions[receiver]:
            self.crossed += 1

    async def carry(
        self, party: str, way: str, size: int, progress: Callable[[], None] = lambda: None
    ) -> None:
        """Take a party's link (`way` is "in" or "out") for so many bytes, in turns with others.

        `progress` is called as bytes have passed.
        """
        rate = self.rates.get(party)
        if rate is None:
            return
        loop = asyncio.get_running_loop()
        left = size
        while left > 0:
            part = min(left, _TURN_BYTES)
            left -= part
            link = (party, way)
            free_at = max(self._free_at.get(link, 0.0), loop.time()) + part / rate
            self._free_at[link] = free_at
            self.carried[link] = self.carried.get(link, 0) + part
            await asyncio.sleep(free_at - loop.time())
            progress()

    async def travel(self, sender: str, receiver: str) -> None:
        """Carry a message; a lost one never arrives."""
        self.count(sender, receiver)
        await asyncio.sleep(self.latency(sender, receiver))
        if not self.passes(sender, receiver):
            await asyncio.get_running_loop().create_future()
