"""Looks after connections that transactions hold while their callers think.

Such a connection may fall silent for good: then its transaction is lost, and its caller is to get
that answer when it returns, not after the time of a statement that nobody answers.

Owns: the timer of the checks and which instances are being checked. When a connection is asked is
said in `core/instance_silence`; how, in `silent_connections`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from orchidwind.promoted.core.instance_silence import REST_CHECK_SECONDS, rest_probe_before
from orchidwind.promoted.group.connections import GroupConnections
from orchidwind.shared.logs import log_event

CloseSilentResting = Callable[[str, float], Awaitable[int]]


class RestingConnections:
    """The held connections of one group.

    `close_silent_resting` asks those at an instance that have delivered nothing since a time, in
    seconds of the loop's clock.
    """

    def __init__(
        self, connections: GroupConnections, close_silent_resting: CloseSilentResting
    ) -> None:
        self._connections = connections
        self._close_silent_resting = close_silent_resting
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._checks: dict[str, asyncio.Task[None]] = {}

    def watch(self) -> None:
        """A request takes a connection: check from now on until none is held."""
        if self._timer is None:
            self._timer = self._loop.call_later(REST_CHECK_SECONDS, self._check_all)

    def check(self, instance: str, since: float) -> None:
        """A connection to an instance may be silent: ask the held ones that rest there, too."""
        if instance in self._checks or not self._connections.resting_silent(instance, since):
            return
        check = self._loop.create_task(self._check(instance, since))
        self._checks[instance] = check
        check.add_done_callback(lambda _: self._checks.pop(instance, None))

    async def _check(self, instance: str, since: float) -> None:
        try:
            await self._close_silent_resting(instance, since)
        except Exception as error:  # a fault of this program must not end the checks
            log_event(
                "rest_not_checked", level=logging.ERROR, instance=instance, reason=repr(error)
            )

    def _check_all(self) -> None:
        self._timer = None
        held_instances = self._connections.pools.held_instances
        for instance in held_instances:
            self.check(instance, rest_probe_before(self._loop.time()))
        if held_instances:
            self.watch()

    def close(self) -> None:
        """Check no more."""
        if self._timer is not None:
            self._timer.cancel()
        for check in list(self._checks.values()):
            check.cancel()
