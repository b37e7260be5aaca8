"""The background tasks of a proxy, from its start to its end.

For: `proxy_runtime`. Owns the tasks. A task that fails is logged, and `close` cancels all of them.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from orchidwind.shared.logs import log_event

Work = Callable[[], Awaitable[None]]


class BackgroundTasks:
    """The background tasks of one proxy."""

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []

    def spawn(self, work: Work) -> None:
        """Start a task that runs until it ends by itself or the proxy is closed."""
        self._tasks.append(asyncio.get_running_loop().create_task(_logged(work)))

    def close(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()


async def _logged(work: Work) -> None:
    try:
        await work()
    except Exception as error:  # an unlogged failure would stay unnoticed
        log_event("task_ended_unexpectedly", level=logging.ERROR, reason=repr(error))
        raise
