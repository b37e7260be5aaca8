"""The slots of a simulated instance: how many statements run at once, and how many may wait.

For: simulated instances under load. Owns the running and the waiting work of one instance, and the
faults that change how it is carried out. Times are in seconds of the loop's clock.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable


class InstanceSlots:
    """So many slots, and a queue in the order of arrival; what finds it full is not run.

    `work_of` gives the seconds that a statement takes, by its request id. `slowness` multiplies
    them. While `hung`, statements that begin do not end before they are given up; other work goes
    on.
    """

    def __init__(self, slots: int, queue_bound: int, work_of: Callable[[str], float]) -> None:
        self.slowness = 1.0
        self.hung = False
        self.rejected = 0
        self.completed = 0
        self._free = slots
        self._queue_bound = queue_bound
        self._work_of = work_of
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def run_statement(self, request_id: str, given_up: asyncio.Future[None]) -> bool:
        """Carry out one statement; False where there is no room for it."""
        if not await self._enter(bounded=True):
            return False
        try:
            if self.hung:
                await asyncio.wait({given_up})
                return True
            await asyncio.sleep(self._work_of(request_id) * self.slowness)
            self.completed += 1
            return True
        finally:
            self._leave()

    async def run(self, seconds: float, bounded: bool = True) -> bool:
        """Carry out other work; False where there is no room for it."""
        if not await self._enter(bounded):
            return False
        try:
            await asyncio.sleep(seconds * self.slowness)
            return True
        finally:
            self._leave()

    async def _enter(self, bounded: bool) -> bool:
        if self._free > 0:
            self._free -= 1
            return True
        if bounded and len(self._waiting) >= self._queue_bound:
            self.rejected += 1
            return False
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            self._give_up(turn)
            raise
        return True

    def _give_up(self, turn: asyncio.Future[None]) -> None:
        if turn in self._waiting:
            self._waiting.remove(turn)
        elif not turn.cancelled():
            self._leave()

    def _leave(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._free += 1
