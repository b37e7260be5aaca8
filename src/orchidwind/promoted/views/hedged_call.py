"""Repeats a call that stays without an answer, on a connection of its own, beside the first.

For: `collection_watch`, whose reads are bounded by a promise. Owns the copies of one call. Relies
on its caller for the time between two copies, and on `core.freshness` for how many there are.

A call whose answer is arriving is not repeated: on a slow link copies of a long answer would take
the bandwidth from one another, and none be whole in time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from orchidwind.promoted.core.freshness import MOST_CALLS
from orchidwind.shared.core.errors import PlatformError

T = TypeVar("T")


class Arrival:
    """When bytes of an answer came last, in seconds of the steady clock."""

    def __init__(self) -> None:
        self.at = float("-inf")
        self._loop = asyncio.get_running_loop()

    def note(self) -> None:
        """Bytes have come."""
        self.at = self._loop.time()


async def hedged(
    call: Callable[[], Awaitable[T]],
    stagger: float,
    arrival: Arrival,
    on_outrun: Callable[[float], None] = lambda seconds: None,
) -> T:
    """The first answer of a call that is begun anew each `stagger` seconds, `MOST_CALLS` times.

    `arrival` is noted by the calls as bytes of their answers come. A call that was swallowed costs
    one stagger, and one that is only slow is not given up for it. Raises PlatformError when all
    have failed, or have been silent for one more stagger. `on_outrun` gets for how long the
    oldest call was silent that a later one outran.
    """
    return await _HedgedCall(call, stagger, arrival, on_outrun).run()


class _HedgedCall(Generic[T]):
    """The copies of one call that are under way."""

    def __init__(
        self,
        call: Callable[[], Awaitable[T]],
        stagger: float,
        arrival: Arrival,
        on_outrun: Callable[[float], None],
    ) -> None:
        self._call = call
        self._stagger = stagger
        self._arrival = arrival
        self._on_outrun = on_outrun
        self._loop = asyncio.get_running_loop()
        self._began_at = self._next_copy_at = self._loop.time()
        self._copies = 0
        self._first: asyncio.Task[T] | None = None
        self._pending: set[asyncio.Task[T]] = set()

    async def run(self) -> T:
        """The first answer; raises PlatformError where there is none."""
        try:
            while True:
                next_copy_in = self._begin_copy_if_due()
                done, self._pending = await asyncio.wait(
                    self._pending, timeout=next_copy_in, return_when=asyncio.FIRST_COMPLETED
                )
                answer = _first_answer(done, last=not self._pending)
                if answer is not None:
                    if self._first in self._pending:
                        self._on_outrun(self._loop.time() - self._began_at)
                    return answer
        finally:
            for task in self._pending:
                task.cancel()

    def _begin_copy_if_due(self) -> float:
        """Seconds until the next copy is due; raises PlatformError where there were enough."""
        now = self._loop.time()
        self._next_copy_at = max(self._next_copy_at, self._arrival.at + self._stagger)
        if now < self._next_copy_at:
            return self._next_copy_at - now
        if self._copies == MOST_CALLS:
            text = f"no answer to {self._copies} calls, one each {self._stagger:.3f} s"
            raise PlatformError(text)
        task = asyncio.ensure_future(self._call())
        self._first = self._first or task
        self._pending.add(task)
        self._copies += 1
        self._next_copy_at = now + self._stagger
        return self._stagger


def _first_answer(done: set[asyncio.Task[T]], last: bool) -> T | None:
    """The answer of a call that succeeded; raises its error where all have failed."""
    failure: BaseException | None = None
    for task in done:
        failure = task.exception()
        if failure is None:
            return task.result()
    if failure is not None and (last or not isinstance(failure, PlatformError)):
        raise failure
    return None
