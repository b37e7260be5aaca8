"""The requests of one group that wait for a primary or an instance.

Owns: their order. A request keeps its place from its arrival to its end, also where it is woken in
vain, so that all go on in the order in which they came. Relies on `wake` being called whenever the
view of the group changes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

from orchidwind.promoted.core.circuit_breaker import Dependency
from orchidwind.promoted.group.group_breakers import GroupBreakers
from orchidwind.shared.core.errors import ErrorKind, RequestError

Found = TypeVar("Found")


class WaitingRequests:
    """`on_wait` is called each time a request begins to wait."""

    def __init__(self, breakers: GroupBreakers, on_wait: Callable[[], None]) -> None:
        self._breakers = breakers
        self._on_wait = on_wait
        self._loop = asyncio.get_running_loop()
        self._wakers: dict[object, asyncio.Future[None]] = {}

    def wake(self) -> None:
        """The view has changed: all try again."""
        for waker in self._wakers.values():
            if not waker.done():
                waker.set_result(None)

    async def wait_for(
        self, find: Callable[[], Found | None], deadline: float, kind: ErrorKind
    ) -> Found:
        """Wait until `find` finds something.

        Raises RequestError of `kind` at the deadline, a time of the loop's clock in seconds, or at
        once where nothing has been found for long.
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
        began = self._loop.time()
        while True:
            found = find()
            if found is not None:
                self._breakers.succeeded(Dependency.INSTANCE)
                return found
            self._breakers.check_without_instance(kind)
            try:
                async with asyncio.timeout_at(deadline):
                    await self._waker(request)
            except TimeoutError as error:
                self._breakers.failed(Dependency.INSTANCE, began)
                raise RequestError(kind, kind.value) from error

    def _waker(self, request: object) -> asyncio.Future[None]:
        waker: asyncio.Future[None] = self._loop.create_future()
        self._wakers[request] = waker
        self._on_wait()
        return waker
