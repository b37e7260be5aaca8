"""Schedules checks of connections at rest: held by a transaction that runs no statement.

Such a connection may become permanently silent, and its transaction is then lost. With the checks,
the caller is told so at its next statement at once, instead of after that statement's time-out.

Owns the timer of the checks and the set of instances being checked. `core/instance_silence` defines
when a connection is queried; `silent_connections` sends the queries.
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
    """Checks of the connections at rest of one group.

    `close_silent_resting` checks the connections at rest to an instance that have delivered nothing
    since a time, in seconds of the loop's clock.
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
        """Check periodically until no connection is held; called when a request takes one."""
        if self._timer is None:
            self._timer = self._loop.call_later(REST_CHECK_SECONDS, self._check_all)

    def check(self, instance: str, since: float) -> None:
        """Check the connections at rest to an instance, as a connection to it may be silent."""
        if instance in self._checks or not self._connections.resting_silent(instance, since):
            return
        check = self._loop.create_task(self._check(instance, since))
        self._checks[instance] = check
        check.add_done_callback(lambda _: self._checks.pop(instance, None))

    async def _check(self, instance: str, since: float) -> None:
        try:
            await self._close_silent_resting(instance, since)
        except Exception as error:  # a programming error must not end the checks
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
        """Stop all checks."""
        if self._timer is not None:
            self._timer.cancel()
        for check in list(self._checks.values()):
            check.cancel()
