"""The status connections of a home: one to each instance, opened when it is first asked.

Owns these connections; `core/instance_reports.py` decides when to ask, and when an answer is late.
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
    """Who is interested in answers."""

    def report(self, report: InstanceReport) -> None:
        """An instance answered."""

    def poll_failed(self, instance: str) -> None:
        """An instance could not be asked, or its connection broke."""


class StatusQueries:
    """Asks instances for their status."""

    def __init__(self, targets: InstanceTargets, tasks: TaskSet, events: StatusEvents) -> None:
        self._targets = targets
        self._tasks = tasks
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._observers: dict[str, Observer] = {}

    def ask(self, effect: PollInstance) -> None:
        """Send a status query; the answer comes as an event."""
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
            status = await observer.ask()
        except TimeoutError:
            # The group has counted the query as overdue long ago, and asked again.
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
            self._observers[instance] = observer
        return observer
