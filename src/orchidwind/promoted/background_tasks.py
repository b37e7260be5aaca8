"""What a proxy does in the background, from its start to its end.

For: `proxy_runtime`. Owns the tasks: one that ends by an error leaves a line, and all end together.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from orchidwind.shared.logs import log_event

Work = Callable[[], Awaitable[None]]


class BackgroundTasks:
    """The tasks of one proxy."""

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []

    def spawn(self, work: Work) -> None:
        """Begin work that goes on until it ends by itself, or the proxy closes."""
        self._tasks.append(asyncio.get_running_loop().create_task(_logged(work)))

    def close(self) -> None:
        """Cancel all."""
        for task in self._tasks:
            task.cancel()


async def _logged(work: Work) -> None:
    try:
        await work()
    except Exception as error:  # what ends without a trace is missed later, not now
        log_event("task_ended_unexpectedly", level=logging.ERROR, reason=repr(error))
        raise
