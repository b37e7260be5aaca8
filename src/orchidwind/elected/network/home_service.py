"""Serves the databases that this proxy is home of.

Receives the requests of this proxy's callers and those that arrive over links. Owns: a group runner
for each database, and former runners until their open transactions end. Relies on: the cluster for
placement and configuration, and `group_runner.py` for carrying out the decisions of a group.
"""

from __future__ import annotations

import asyncio
from itertools import count

from orchidwind.elected.core.configuration import DatabaseSettings, OperatorFile
from orchidwind.elected.core.placement import Node, Placement
from orchidwind.elected.core.slot_leases import LeaseAnswer
from orchidwind.elected.core.statements import ChannelKey, Outcome, StatementRequest
from orchidwind.elected.network.answer_port import AnswerPort
from orchidwind.elected.network.group_runner import GroupRunner, OnFinished
from orchidwind.elected.network.slot_lending import LeasePort
from orchidwind.shared.core.errors import ErrorKind, RequestError

# Bounds the delay until the connections of a former home are closed after its last transaction.
_FORMER_CHECK_SECONDS = 1.0


class HomeService:
    """Holds the group runners by database according to configuration and placement."""

    def __init__(self, node: Node, leases: LeasePort) -> None:
        self.runners: dict[str, GroupRunner] = {}
        self._leases = leases
        self.numbers = count(1)
        self._node = node
        self._former: list[GroupRunner] = []
        self._close_timer: asyncio.TimerHandle | None = None

    def apply(self, content: OperatorFile, placement: Placement) -> None:
        """Start, reconfigure and retire group runners to match a configuration and placement."""
        wanted = {
            database.name: (database, share)
            for database in content.databases
            if (share := placement.shares_of(database, self._node)) > 0
        }
        for name, runner in list(self.runners.items()):
            if name not in wanted or not _same_group(runner.database, wanted[name][0]):
                self._retire(name)
        for name, (database, share) in wanted.items():
            if name in self.runners:
                self.runners[name].reconfigure(database)
                self.runners[name].set_share(share)
            else:
                self.runners[name] = GroupRunner(database, share, self._node.zone, self._leases)

    def _retire(self, name: str) -> None:
        """Accept no new requests for a database; its open transactions finish here."""
        runner = self.runners.pop(name)
        runner.set_share(0)
        self._former.append(runner)
        self._close_idle()

    def stop_serving(self) -> None:
        """Accept no new requests for any database before a planned stop; running ones finish."""
        for runner in self.runners.values():
            runner.set_share(0)

    @property
    def idle(self) -> bool:
        """Whether no request or transaction is in progress."""
        return all(runner.group.idle for runner in [*self.runners.values(), *self._former])

    def submit(self, request: StatementRequest, port: AnswerPort, on_finished: OnFinished) -> None:
        """Submit a request; `on_finished` is called once with the outcome.

        The outcome is a NO_HOME error if this proxy does not serve the database.
        """
        runner = self._runner_for(request)
        if runner is None:
            error = RequestError(ErrorKind.NO_HOME, "this proxy does not serve the database")
            on_finished(Outcome(request.number, error=error))
            return
        runner.submit(request, port, on_finished)

    def _runner_for(self, request: StatementRequest) -> GroupRunner | None:
        """Return the runner that holds the transaction of a request, else the current runner.

        A transaction continues where it began, even if the home role has moved since.
        """
        if request.in_transaction:
            for runner in self._former:
                if request.channel in runner.group.transactions:
                    return runner
        return self.runners.get(request.database)

    def lend(self, database: str, borrower: str, wanted: int) -> LeaseAnswer | None:
        """Answer a lease request; returns None if this node is not a home of the database."""
        runner = self.runners.get(database)
        return None if runner is None else runner.lend(borrower, wanted)

    def on_lease_answer(self, database: str, lender: str, answer: LeaseAnswer) -> None:
        """Apply the answer of another home to a lease request."""
        runner = self.runners.get(database)
        if runner is not None:
            runner.on_lease_answer(lender, answer)

    def cancel(self, channel: ChannelKey) -> None:
        """Cancel the request that runs on a channel."""
        for runner in [*self.runners.values(), *self._former]:
            runner.cancel(channel)

    def close_channel(self, channel: ChannelKey) -> None:
        """Release the state of a channel whose caller has disconnected."""
        for runner in [*self.runners.values(), *self._former]:
            runner.close_channel(channel)

    def close(self) -> None:
        """Close all runners, current and former, and their connections."""
        if self._close_timer is not None:
            self._close_timer.cancel()
        for runner in [*self.runners.values(), *self._former]:
            runner.close()

    def _close_idle(self) -> None:
        """Close former runners that are idle; check again later while some remain."""
        for runner in list(self._former):
            if runner.group.idle:
                runner.close()
                self._former.remove(runner)
        if self._former and self._close_timer is None:
            loop = asyncio.get_running_loop()
            self._close_timer = loop.call_later(_FORMER_CHECK_SECONDS, self._on_close_timer)

    def _on_close_timer(self) -> None:
        self._close_timer = None
        self._close_idle()


def _same_group(held: DatabaseSettings, wanted: DatabaseSettings) -> bool:
    """Return whether a running group can be reconfigured from one setting to the other."""

    def identity(database: DatabaseSettings) -> object:
        addresses = [(i.name, i.host, i.port, i.zone) for i in database.instances]
        return (
            addresses,
            database.server_user,
            database.server_password,
            database.status_user,
            database.status_password,
            database.acknowledge,
        )

    return identity(held) == identity(wanted)
