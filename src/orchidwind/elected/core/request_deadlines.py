"""What happens to a running statement when its deadline passes or its instance stops answering.

Owns the rule: the deadline bounds the time before a statement starts. A statement that has started
on a responsive instance may continue, since killing reports and index builds would surprise
callers. On an unresponsive instance the statement is abandoned, and a read is retried on another
instance at once. Times are in seconds of the home proxy's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterator

from orchidwind.elected.core.group_effects import AbandonConnection, GroupEffect, StillRunning
from orchidwind.elected.core.group_view import GroupView
from orchidwind.elected.core.open_transactions import OpenTransactions
from orchidwind.elected.core.running_requests import RunningRequest, RunningRequests
from orchidwind.elected.core.server_connections import ServerConnections
from orchidwind.elected.core.statements import RequestKind
from orchidwind.elected.core.steps import Run

# How often, in seconds, a statement past its deadline is checked and the front proxy notified that
# it still runs. Each notice extends the front proxy's wait by this time (`network/front.py`).
STILL_RUNNING_SECONDS = 2.0


class RequestDeadlines:
    """Decides whether statements past their deadline continue."""

    def __init__(
        self,
        view: GroupView,
        requests: RunningRequests,
        connections: ServerConnections,
        transactions: OpenTransactions,
        effects: list[GroupEffect],
    ) -> None:
        self._view = view
        self._requests = requests
        self._connections = connections
        self._transactions = transactions
        self._effects = effects

    def expired(self, now: float) -> Iterator[RunningRequest]:
        """Yield the requests whose deadline has passed, with or without a running statement."""
        for running in self._requests:
            if running.expires_at <= now:
                yield running

    def extend(self, now: float, running: RunningRequest) -> bool:
        """Extend the deadline of an expired request whose statement runs on a responsive instance.

        Returns False if no statement of the request runs or its instance is unreachable.
        """
        step = running.waits_for
        if not isinstance(step, Run):
            return False
        instance = self._connections.instance_of(step.connection)
        if instance is None or instance in self._view.unreachable:
            return False
        running.expires_at = now + STILL_RUNNING_SECONDS
        self._effects.append(StillRunning(running.request.number, step.connection))
        return True

    def abandon_reads(self, instance: str) -> None:
        """Abandon the connections of reads outside transactions that run on `instance`."""
        for running in self._requests:
            step = running.waits_for
            if not isinstance(step, Run) or running.request.channel in self._transactions:
                continue
            if running.request.kind not in (RequestKind.READ, RequestKind.DESCRIBE):
                continue
            if self._connections.instance_of(step.connection) == instance:
                self._effects.append(AbandonConnection(step.connection))
