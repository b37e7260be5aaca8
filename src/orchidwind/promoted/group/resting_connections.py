"""Looks after connections that transactions hold while their callers think.

Such a connection may fall silent for good: then its transaction is lost, and its caller is to be
told so when it returns, not after the time of a statement that nobody answers.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from orchidwind.promoted.group.connections import GroupConnections
from orchidwind.shared.logs import log_event

# As a link between proxies at rest. Most pauses are shorter and cost nothing; a longer one costs
# the instance a status query each second.
REST_PROBE_SECONDS = 1.0
_LOOK_SECONDS = 0.25

CloseResting = Callable[[str, float], Awaitable[int]]


class RestingConnections:
    """The held connections of one group. `close_resting` asks those unheard since a time."""

    def __init__(self, connections: GroupConnections, close_resting: CloseResting) -> None:
        self._connections = connections
        self._close_resting = close_resting
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._checks: dict[str, asyncio.Task[None]] = {}

    def watch(self) -> None:
        """A request takes a connection: look from now on until none is held."""
        if self._timer is None:
            self._timer = self._loop.call_later(_LOOK_SECONDS, self._look)

    def check(self, instance: str, since: float) -> None:
        """A connection to an instance may be silent: ask the held ones that rest there, too."""
        if instance in self._checks or not self._connections.resting(instance, since):
            return
        check = self._loop.create_task(self._check(instance, since))
        self._checks[instance] = check
        check.add_done_callback(lambda _: self._checks.pop(instance, None))

    async def _check(self, instance: str, since: float) -> None:
        try:
            await self._close_resting(instance, since)
        except Exception as error:  # a fault of this program must not end the looks
            log_event(
                "rest_not_checked", level=logging.ERROR, instance=instance, reason=repr(error)
            )

    def _look(self) -> None:
        self._timer = None
        holding = self._connections.holding
        for instance in holding:
            self.check(instance, self._loop.time() - REST_PROBE_SECONDS)
        if holding:
            self.watch()

    def close(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()
        for check in list(self._checks.values()):
            check.cancel()
