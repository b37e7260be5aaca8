"""A query whose answer is shared by all requests that arrived before it was sent.

A proof must start after the request that it serves. With shared queries, any number of requests
need at most two queries at a time: the one that is running and the next one. `send` must return in
bounded time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

Answer = TypeVar("Answer")


class SharedQuery(Generic[Answer]):
    """Runs at most one query at a time, with at most one more queued."""

    def __init__(self, send: Callable[[], Awaitable[Answer]]) -> None:
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._under_way: asyncio.Task[Answer] | None = None
        self._next: asyncio.Task[Answer] | None = None

    def join(self) -> asyncio.Task[Answer]:
        """A query that is sent after this call."""
        if self._under_way is None or self._under_way.done():
            self._under_way = self._loop.create_task(self._ask(None))
            return self._under_way
        if self._next is None or self._next.done():
            self._next = self._loop.create_task(self._ask(self._under_way))
        return self._next

    async def _ask(self, earlier: asyncio.Task[Answer] | None) -> Answer:
        if earlier is not None:
            await asyncio.wait([earlier])
            self._under_way, self._next = self._next, None
        return await self._send()

    def close(self) -> None:
        """Cancel the running and the queued query."""
        for query in (self._under_way, self._next):
            if query is not None:
                query.cancel()
