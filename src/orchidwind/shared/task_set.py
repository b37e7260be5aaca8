"""Tasks that nobody awaits.

Owns: a reference to each until it ends, in the order of their start, so that all can be cancelled.
Relies on: work that handles its own errors. What goes on as long as a proxy of promoted groups
lives belongs to `promoted/background_tasks`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


class TaskSet:
    """Holds a reference to each task: the loop itself has only weak ones."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._tasks: dict[asyncio.Task[Any], None] = {}

    def start(self, work: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Run some work."""
        task = self._loop.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))
        return task

    def cancel(self) -> None:
        """End what runs."""
        for task in list(self._tasks):
            task.cancel()
