"""Background tasks whose results are not awaited.

Owns: a reference to each running task, in the order of their start, so that all can be cancelled.
The tasks must handle their own errors. Tasks that run for the whole lifetime of a proxy of promoted
groups belong to `promoted/background_tasks`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


class TaskSet:
    """Keeps running tasks from being garbage collected: the event loop has only weak references."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._tasks: dict[asyncio.Task[Any], None] = {}

    def start(self, work: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Start a coroutine as a task and return the task."""
        task = self._loop.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))
        return task

    def cancel(self) -> None:
        """Cancel all running tasks."""
        for task in list(self._tasks):
            task.cancel()
