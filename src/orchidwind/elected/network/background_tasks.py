"""Tasks that nobody awaits: held until they end, and ended with their owner."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """The tasks of one owner. Each handles its own errors."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine; the loop itself holds only weak references to tasks."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """End those that run."""
        for task in self._tasks:
            task.cancel()
