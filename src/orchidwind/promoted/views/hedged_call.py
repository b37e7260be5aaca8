"""Hedges a call: repeats it on a separate connection while the first attempt has no answer.

For: `collection_watch`, whose reads must end within a time bound. Owns the attempts of one call.
Relies on its caller for the time between two attempts, and on `core.freshness` for their maximum
number.

A call whose answer is arriving is not repeated: on a slow link several copies of a long answer
would compete for the bandwidth, and none would be complete in time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from orchidwind.promoted.core.freshness import MOST_CALLS
from orchidwind.shared.core.errors import PlatformError

T = TypeVar("T")


class Arrival:
    """Records when bytes of an answer last arrived, in seconds of the monotonic clock."""

    def __init__(self) -> None:
        self.at = float("-inf")
        self._loop = asyncio.get_running_loop()

    def note(self) -> None:
        """Record that bytes arrived now."""
        self.at = self._loop.time()


async def hedged(
    call: Callable[[], Awaitable[T]],
    hedge_after: float,
    arrival: Arrival,
    on_overtaken: Callable[[float], None] = lambda seconds: None,
) -> T:
    """Return the first answer of a call that is started every `hedge_after` seconds.

    At most `MOST_CALLS` attempts are started. The attempts record in `arrival` when bytes of their
    answers arrive. A lost attempt costs one `hedge_after`, and an attempt that is only slow is not
    aborted when the next one starts. Raises PlatformError when all attempts have failed, or when
    all were started and no bytes arrived for one more `hedge_after`. If a later attempt is answered
    before the first, `on_overtaken` is called with the seconds since the first one was started.
    """
    return await _HedgedCall(call, hedge_after, arrival, on_overtaken).run()


class _HedgedCall(Generic[T]):
    """The attempts of one call that are in progress."""

    def __init__(
        self,
        call: Callable[[], Awaitable[T]],
        hedge_after: float,
        arrival: Arrival,
        on_overtaken: Callable[[float], None],
    ) -> None:
        self._call = call
        self._hedge_after = hedge_after
        self._arrival = arrival
        self._on_overtaken = on_overtaken
        self._loop = asyncio.get_running_loop()
        self._started_at = self._next_attempt_at = self._loop.time()
        self._attempts = 0
        self._first: asyncio.Task[T] | None = None
        self._pending: set[asyncio.Task[T]] = set()

    async def run(self) -> T:
        """Return the first answer; raises PlatformError if there is none."""
        try:
            while True:
                next_attempt_in = self._start_attempt_if_due()
                done, self._pending = await asyncio.wait(
                    self._pending, timeout=next_attempt_in, return_when=asyncio.FIRST_COMPLETED
                )
                answer = _first_answer(done, last=not self._pending)
                if answer is not None:
                    if self._first in self._pending:
                        self._on_overtaken(self._loop.time() - self._started_at)
                    return answer
        finally:
            for task in self._pending:
                task.cancel()

    def _start_attempt_if_due(self) -> float:
        """Return the seconds until the next attempt is due, starting one now if it is.

        Raises PlatformError if the next attempt would exceed `MOST_CALLS`.
        """
        now = self._loop.time()
        self._next_attempt_at = max(self._next_attempt_at, self._arrival.at + self._hedge_after)
        if now < self._next_attempt_at:
            return self._next_attempt_at - now
        if self._attempts == MOST_CALLS:
            text = f"no answer to {self._attempts} calls, {self._hedge_after:.3f} s apart"
            raise PlatformError(text)
        task = asyncio.ensure_future(self._call())
        self._first = self._first or task
        self._pending.add(task)
        self._attempts += 1
        self._next_attempt_at = now + self._hedge_after
        return self._hedge_after


def _first_answer(done: set[asyncio.Task[T]], last: bool) -> T | None:
    """Return the answer of a call that succeeded, or None if none did yet.

    `last`: no call is pending any more, so the error of a failed call is raised. An error that is
    not a PlatformError is raised in any case.
    """
    failure: BaseException | None = None
    for task in done:
        failure = task.exception()
        if failure is None:
            return task.result()
    if failure is not None and (last or not isinstance(failure, PlatformError)):
        raise failure
    return None
