"""The status connections of a home: one to each instance, opened at its first status query.

Owns these connections; `core/instance_reports.py` decides when to query an instance and when an
answer is overdue.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from orchidwind.elected.core.group_effects import PollInstance
from orchidwind.elected.core.group_view import InstanceReport
from orchidwind.elected.network.instance_targets import DATABASE_CONNECT_SECONDS, InstanceTargets
from orchidwind.elected.network.observer import Observer
from orchidwind.shared.core.errors import BackendConnectionLost, BackendRefused
from orchidwind.shared.logs import log_event
from orchidwind.shared.task_set import TaskSet


class StatusEvents(Protocol):
    """Callbacks for the results of status queries."""

    def report(self, report: InstanceReport) -> None:
        """An instance answered a status query."""

    def poll_failed(self, instance: str) -> None:
        """A status query could not be sent, or its connection broke."""


class StatusQueries:
    """Queries instances for their status."""

    def __init__(self, targets: InstanceTargets, tasks: TaskSet, events: StatusEvents) -> None:
        self._targets = targets
        self._tasks = tasks
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._observers: dict[str, Observer] = {}

    def ask(self, effect: PollInstance) -> None:
        """Start a status query; the result is reported to `StatusEvents`."""
        self._tasks.start(self._ask(effect))

    def reset(self, instance: str) -> None:
        """Close the status connection to an instance; the next query opens another."""
        observer = self._observers.pop(instance, None)
        if observer is not None:
            observer.close()

    def close(self) -> None:
        """Close all status connections."""
        for observer in self._observers.values():
            observer.close()

    async def _ask(self, effect: PollInstance) -> None:
        instance = effect.instance
        try:
            observer = await self._observer(instance)
            status = await observer.read_status()
        except TimeoutError:
            # By now the group has counted the query as overdue and sent another one.
            log_event("observer_not_opened", instance=instance, seconds=DATABASE_CONNECT_SECONDS)
            return
        except (BackendConnectionLost, BackendRefused, OSError):
            self.reset(instance)
            self._events.poll_failed(instance)
            return
        report = InstanceReport(
            instance=instance,
            asked_at=effect.asked_at,
            answered_at=self._loop.time(),
            in_recovery=status.in_recovery,
            term=status.term,
            received=status.received,
            replayed_lsn=status.replayed_lsn,
        )
        self._events.report(report)

    async def _observer(self, instance: str) -> Observer:
        observer = self._observers.get(instance)
        if observer is None or observer.broken:
            async with asyncio.timeout(DATABASE_CONNECT_SECONDS):
                observer = await Observer.open(self._targets.for_status(instance))
            opened_meanwhile = self._observers.get(instance)
            if opened_meanwhile is not None and not opened_meanwhile.broken:
                # By another query, as the one before was overdue: one connection is enough.
                observer.close()
                return opened_meanwhile
            self._observers[instance] = observer
        return observer
