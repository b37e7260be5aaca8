"""The requests of one group that wait for a primary or an instance.

A request keeps its place in the queue from its arrival to its end, even if it is woken and finds no
instance, so that all requests continue in the order of their arrival. `wake` must be called
whenever the view of the group changes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

from orchidwind.promoted.core.circuit_breaker import missing_instance
from orchidwind.promoted.group.group_breakers import GroupBreakers
from orchidwind.shared.core.errors import ErrorKind

Found = TypeVar("Found")


class WaitingRequests:
    """The waiting requests. `on_wait` is called each time a request starts to wait."""

    def __init__(
        self,
        breakers: GroupBreakers,
        on_wait: Callable[[], None],
        planned_change: Callable[[], bool] = lambda: False,
    ) -> None:
        """`planned_change`: whether an instance is leaving; its replacement takes a short time."""
        self._breakers = breakers
        self._on_wait = on_wait
        self._planned_change = planned_change
        self._loop = asyncio.get_running_loop()
        self._wakers: dict[object, asyncio.Future[None]] = {}

    def wake(self) -> None:
        """Let all waiting requests try again, as the view has changed."""
        for waker in self._wakers.values():
            if not waker.done():
                waker.set_result(None)

    async def wait_for(
        self, find: Callable[[], Found | None], deadline: float, kind: ErrorKind
    ) -> Found:
        """Wait until `find` returns a value other than None, and return it.

        Raises RequestError of `kind` at the deadline (a time of the loop's clock in seconds), at
        once if the circuit breaker for instances is open, or soon in a change of primary that is
        not expected to end in time.
        """
        request = object()
        try:
            return await self._try_until(request, find, deadline, kind)
        finally:
            self._wakers.pop(request, None)

    async def _try_until(
        self,
        request: object,
        find: Callable[[], Found | None],
        deadline: float,
        kind: ErrorKind,
    ) -> Found:
        began, missing = self._loop.time(), missing_instance(kind)
        wait_until: float | None = None
        while True:
            found = find()
            if found is not None:
                self._breakers.succeeded(missing)
                return found
            self._breakers.check_without_instance(kind)
            if wait_until is None:
                wait_until = self._wait_until(kind, deadline)
            try:
                async with asyncio.timeout_at(wait_until):
                    await self._waker(request)
            except TimeoutError as error:
                self._breakers.failed(missing, began)
                raise self._breakers.refusal(missing, kind, kind.value) from error

    def _wait_until(self, kind: ErrorKind, deadline: float) -> float:
        return deadline if self._planned_change() else self._breakers.wait_until(kind, deadline)

    def _waker(self, request: object) -> asyncio.Future[None]:
        waker: asyncio.Future[None] = self._loop.create_future()
        self._wakers[request] = waker
        self._on_wait()
        return waker
