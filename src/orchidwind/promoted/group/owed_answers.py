"""Notices the instances of one group that owe answers, and those whose connections broke.

Owns: the timer that wakes the supervisor when an answer is overdue, and the instances whose
connections broke since the supervisor last asked. The rule is in `core/instance_silence`.
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


class OwedAnswers:
    """`on_suspect` is called when the supervisor should ask for the suspects.

    `check_connections` checks the other connections to an instance that has owed an answer since a
    time, in seconds of the loop's clock.
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
        """A connection broke: the instance is to be asked at once whether it is still there."""
        self._broken.add(instance)
        self._on_suspect()

    def watch(self) -> None:
        """An exchange has begun: check until none is under way."""
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
        """Instances whose connections broke, or that have owed an answer for a while; sorted."""
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
        """Check no more."""
        if self._timer is not None:
            self._timer.cancel()
