"""Detects instances of one group whose answers are overdue or whose connections broke.

Owns the timer that wakes the supervisor when an answer is overdue, and the set of instances whose
connections broke since the supervisor last asked. The rules are in `core/instance_silence`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from orchidwind.promoted.core.instance_silence import (
    ANSWER_OVERDUE_SECONDS,
    answer_overdue,
    instance_suspect,
    overdue_check,
)
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.group.connection_records import ConnectionRecords

CheckConnections = Callable[[str, float], None]


class OverdueAnswers:
    """Detects suspect instances. Times are in seconds of the loop's clock.

    `on_suspect` is called when the supervisor should ask for the suspects. `check_connections` is
    called with an instance that has an overdue answer and the time since when the answer is
    pending; it checks the other connections to that instance.
    """

    def __init__(
        self,
        topology: GroupTopology,
        records: ConnectionRecords,
        check_connections: CheckConnections,
        on_suspect: Callable[[], None],
    ) -> None:
        self._topology = topology
        self._records = records
        self._check_connections = check_connections
        self._on_suspect = on_suspect
        self._loop = asyncio.get_running_loop()
        self._broken: set[str] = set()
        self._timer: asyncio.TimerHandle | None = None

    def connection_broke(self, instance: str) -> None:
        """Mark an instance as suspect at once, as a connection to it broke."""
        self._broken.add(instance)
        self._on_suspect()

    def watch(self) -> None:
        """Check for overdue answers until no exchange is running."""
        if self._timer is None:
            self._timer = self._loop.call_later(ANSWER_OVERDUE_SECONDS, self._check)

    def _check(self) -> None:
        self._timer = None
        began_at = self._records.exchange_began_at
        if not began_at:
            return
        check = overdue_check(min(began_at.values()), self._loop.time())
        if check.overdue:
            self._on_suspect()
        self._timer = self._loop.call_later(check.again_in, self._check)

    def suspects(self) -> list[str]:
        """Instances whose connections broke, or that are silent with an overdue answer; sorted."""
        now = self._loop.time()
        found, self._broken = self._broken, set()
        for connection, since in self._records.exchange_began_at.items():
            instance = self._records.instance_of[connection]
            if answer_overdue(since, now):
                self._check_connections(instance, since)
            if instance_suspect(since, self._answered_at(instance, since), now):
                found.add(instance)
        return sorted(found)

    def _answered_at(self, instance: str, otherwise: float) -> float:
        view = self._topology.instances.get(instance)
        return view.last_answer_at if view is not None else otherwise

    def close(self) -> None:
        """Stop the checks."""
        if self._timer is not None:
            self._timer.cancel()
