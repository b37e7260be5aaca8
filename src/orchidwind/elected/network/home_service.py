"""The databases that this proxy is home of.

For: requests of this proxy's callers and those that come over links. Owns: a group runner for each
database, and the channels of open transactions. Relies on: the cluster for placement and
configuration; `group_runner.py` runs what a group decides.
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

# How late the connections of a former home are closed after its last transaction.
_CLOSE_FORMER_SECONDS = 1.0


class HomeService:
    """Group runners by database, kept in step with configuration and placement."""

    def __init__(self, node: Node, leases: LeasePort) -> None:
        self.runners: dict[str, GroupRunner] = {}
        self._leases = leases
        self.numbers = count(1)
        self._node = node
        self._former: list[GroupRunner] = []
        self._close_timer: asyncio.TimerHandle | None = None

    def apply(self, content: OperatorFile, placement: Placement) -> None:
        """Take on and give up databases."""
        wanted = {
            database.name: (database, share)
            for database in content.databases
            if (share := placement.shares_of(database, self._node)) > 0
        }
        for name, runner in list(self.runners.items()):
            if name not in wanted or not _same_group(runner.database, wanted[name][0]):
                self._give_up(name)
        for name, (database, share) in wanted.items():
            if name in self.runners:
                self.runners[name].reconfigure(database)
                self.runners[name].set_share(share)
            else:
                self.runners[name] = GroupRunner(database, share, self._node.zone, self._leases)

    def _give_up(self, name: str) -> None:
        """Take no new requests for a database; its open transactions end here."""
        runner = self.runners.pop(name)
        runner.set_share(0)
        self._former.append(runner)
        self._close_idle()

    def give_up_all(self) -> None:
        """This node stops: nothing new begins, what runs ends."""
        for runner in self.runners.values():
            runner.set_share(0)

    @property
    def idle(self) -> bool:
        """Whether nothing is in progress."""
        return all(runner.group.idle for runner in [*self.runners.values(), *self._former])

    def submit(self, request: StatementRequest, port: AnswerPort, on_finished: OnFinished) -> None:
        """Take a request for one of the databases."""
        runner = self._runner_for(request)
        if runner is None:
            error = RequestError(ErrorKind.NO_HOME, "this proxy does not serve the database")
            on_finished(Outcome(request.number, error=error))
            return
        runner.submit(request, port, on_finished)

    def _runner_for(self, request: StatementRequest) -> GroupRunner | None:
        """A transaction goes on where it began, though the role may have moved meanwhile."""
        if request.in_transaction:
            for runner in self._former:
                if request.channel in runner.group.transactions:
                    return runner
        return self.runners.get(request.database)

    def lend(self, database: str, borrower: str, wanted: int) -> LeaseAnswer | None:
        """Another home asks for connections; None where this node is no home of the database."""
        runner = self.runners.get(database)
        return None if runner is None else runner.lend(borrower, wanted)

    def take_lease(self, database: str, lender: str, answer: LeaseAnswer) -> None:
        """Another home answered a request for connections."""
        runner = self.runners.get(database)
        if runner is not None:
            runner.take_lease(lender, answer)

    def cancel(self, channel: ChannelKey) -> None:
        """Cancel what runs on a channel."""
        for runner in [*self.runners.values(), *self._former]:
            runner.cancel(channel)

    def close_channel(self, channel: ChannelKey) -> None:
        """The caller of a channel has gone."""
        for runner in [*self.runners.values(), *self._former]:
            runner.close_channel(channel)

    def close(self) -> None:
        """Close every connection."""
        if self._close_timer is not None:
            self._close_timer.cancel()
        for runner in [*self.runners.values(), *self._former]:
            runner.close()

    def _close_idle(self) -> None:
        """Close former homes once nothing runs there; check again while some remain."""
        for runner in list(self._former):
            if runner.group.idle:
                runner.close()
                self._former.remove(runner)
        if self._former and self._close_timer is None:
            loop = asyncio.get_running_loop()
            self._close_timer = loop.call_later(_CLOSE_FORMER_SECONDS, self._on_close_timer)

    def _on_close_timer(self) -> None:
        self._close_timer = None
        self._close_idle()


def _same_group(held: DatabaseSettings, wanted: DatabaseSettings) -> bool:
    """Whether only what a running group can take over has changed."""

    def essence(database: DatabaseSettings) -> object:
        addresses = [(i.name, i.host, i.port, i.zone) for i in database.instances]
        return (
            addresses,
            database.server_user,
            database.server_password,
            database.status_user,
            database.status_password,
            database.acknowledge,
        )

    return essence(held) == essence(wanted)
