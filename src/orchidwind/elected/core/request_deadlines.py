"""What happens to a running statement when its deadline passes or its instance falls silent.

Owns the rule: the deadline bounds what comes before a statement. A statement that has begun on an
instance that answers is let run, since to kill reports and index builds would surprise callers; on
an instance that does not answer it is given up, and a read there is run elsewhere at once.
Times are in seconds of the home's monotonic clock.
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

# How often, in seconds, a statement past its deadline is looked at, and its front learns
# that it still runs. The front waits that much longer each time (`network/front.py`).
STILL_RUNNING_SECONDS = 2.0


class RequestDeadlines:
    """Decides about statements that run for long."""

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
        """Requests whose deadline has passed, whether or not a statement of theirs runs."""
        for running in self._requests:
            if running.expires_at <= now:
                yield running

    def extend(self, now: float, running: RunningRequest) -> bool:
        """Let the statement of an expired request run on; whether that is allowed."""
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
        """Break the connections of reads outside transactions that run on a silent instance."""
        for running in self._requests:
            step = running.waits_for
            if not isinstance(step, Run) or running.request.channel in self._transactions:
                continue
            if running.request.kind not in (RequestKind.READ, RequestKind.DESCRIBE):
                continue
            if self._connections.instance_of(step.connection) == instance:
                self._effects.append(AbandonConnection(step.connection))
