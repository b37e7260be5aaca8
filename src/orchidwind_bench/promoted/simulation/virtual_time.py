"""An asyncio event loop on virtual time: it never waits, it moves its clock to the next timer."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from orchidwind.shared.core.errors import OrchidwindError

T = TypeVar("T")


class NothingLeftToDo(OrchidwindError):
    """Every task waits and no timer is set."""


class _JumpingSelector(selectors.SelectSelector):
    """Instead of waiting for a timer, lets the loop's clock jump to it."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise NothingLeftToDo("every task waits and no timer is set")
            self.now += max(timeout, 0.0)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop whose `time()` begins at zero and jumps."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Virtual seconds since the start."""
        return self._jumping.now


def run_virtual(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on virtual time, and cancel what it left."""
    loop = VirtualTimeLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work)
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()
