"""The simulated network."""

from __future__ import annotations

import asyncio

LATENCY_SECONDS = 0.001


class Network:
    """Which parties cannot reach each other; a cut swallows what is sent."""

    def __init__(self) -> None:
        self._cuts: set[tuple[str, str]] = set()

    def cut(self, first: str, second: str, one_way: bool = False) -> None:
        """Part two parties."""
        self._cuts.add((first, second))
        if not one_way:
            self._cuts.add((second, first))

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    def passes(self, sender: str, receiver: str) -> bool:
        """Whether a message would arrive."""
        return (sender, receiver) not in self._cuts

    async def travel(self, sender: str, receiver: str, seconds: float = LATENCY_SECONDS) -> None:
        """Carry a message; a lost one never arrives."""
        await asyncio.sleep(seconds)
        if not self.passes(sender, receiver):
            await asyncio.get_running_loop().create_future()
