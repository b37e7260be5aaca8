"""Repeats a call that stays without an answer, on a connection of its own, beside the first.

A call whose answer is arriving is not repeated: on a slow link copies of a long answer would take
the bandwidth from one another, and none be whole in time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from orchidwind.shared.core.errors import PlatformError

# So many calls at once let a store answer that needs as many times the stagger.
MOST_CALLS = 5

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
    have failed, or have been silent for one more stagger. `on_outrun` is told for how long the
    oldest call was silent that a later one outran.
    """
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    first: asyncio.Task[T] | None = None
    pending: set[asyncio.Task[T]] = set()
    begun = 0
    begin_next_at = loop.time()
    try:
        while True:
            now = loop.time()
            begin_next_at = max(begin_next_at, arrival.at + stagger)
            if now >= begin_next_at:
                if begun == MOST_CALLS:
                    raise PlatformError(f"no answer to {begun} calls, one each {stagger:.3f} s")
                task = asyncio.ensure_future(call())
                first = first or task
                pending.add(task)
                begun += 1
                begin_next_at = now + stagger
            done, pending = await asyncio.wait(
                pending, timeout=begin_next_at - now, return_when=asyncio.FIRST_COMPLETED
            )
            answer = _first_answer(done, last=not pending)
            if answer is not None:
                if first in pending:
                    on_outrun(loop.time() - began_at)
                return answer
    finally:
        for task in pending:
            task.cancel()


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
