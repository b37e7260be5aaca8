"""A session of another proxy's caller, while it has work at this home.

For: `served_link`, which has one for each session that runs a command or has a transaction open.
Owns the session's state at this home and the connection of its transaction. Relies on
`CommandRunner` to run commands and on `core.forwarded_commands` for the messages.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from orchidwind.promoted.callers.command_runner import CommandRunner
from orchidwind.promoted.core.command_limits import TimeLimits
from orchidwind.promoted.core.commands import TransactionState
from orchidwind.promoted.core.flow_parts import CommandContext
from orchidwind.promoted.core.forwarded_commands import (
    answer_with_error,
    answer_with_result,
    context_at_home,
)
from orchidwind.promoted.core.peer_messages import CommandAnswer, RunCommand
from orchidwind.promoted.core.session import Session
from orchidwind.promoted.group.group_service import GroupService
from orchidwind.promoted.peers.home_ports import HomePorts
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.logs import log_event

# The front ends a transaction that is idle for too long; the home ends it this many seconds later.
# The front's message has arrived by then, even over a link that was just reopened.
_FRONT_MARGIN_SECONDS = 1.0


class RemoteSession:
    """Runs one command at a time; a transaction may stay open between two of them."""

    def __init__(self, home: HomePorts) -> None:
        self.idle = True
        self._home = home
        self._idle_timer: asyncio.TimerHandle | None = None
        self._session = Session()
        self._runner = CommandRunner(self._session, home.quotas)
        self._group: GroupService | None = None
        self._loop = asyncio.get_running_loop()

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._session.state is TransactionState.OPEN

    def begin_work(self) -> None:
        """Record that a command begins; stops the idle timer."""
        self.idle = False
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def end_work(self, on_expired: Callable[[], None]) -> None:
        """Record that a command has ended; starts the idle timer if a transaction is open.

        The front ends an idle transaction. A frozen front would keep the connection, so the timer
        ends the transaction somewhat later and calls `on_expired`.
        """

        def expire() -> None:
            self.close()
            on_expired()

        self.idle = True
        if self.in_transaction:
            wait = self._home.transaction_idle() + _FRONT_MARGIN_SECONDS
            self._idle_timer = self._loop.call_later(wait, expire)

    def close(self) -> None:
        """Start no further work and roll back an open transaction.

        A transaction whose command is running is rolled back when the command ends.
        """
        self._runner.caller_gone = True
        if self.idle:
            self._fail_transaction()
            self._home.registry.sessions.discard(self)

    def _fail_transaction(self) -> None:
        transaction = self._session.transaction
        if transaction is not None and transaction.connection and self._group is not None:
            self._group.release(transaction.connection, False)
        self._session.end_transaction()

    async def run(self, message: RunCommand, group: GroupService | None) -> CommandAnswer:
        """Run a command and return its answer, which also reports errors."""
        context: CommandContext | None = None
        try:
            if group is None:
                raise RequestError(ErrorKind.NO_HOME, "the home does not know the group yet")
            now = self._loop.time()
            context = context_at_home(message, self._session, group.state, now)
            self._group = group
            limits = TimeLimits.for_forwarded_command(
                message, self._home.target_latency(message.database), now
            )
            result = await self._runner.run(context, group, limits)
        except RequestError as error:
            self._fail_transaction()
            return answer_with_error(message, self._session, context, error)
        except Exception as error:  # a bug in this process fails one command, not all
            log_event("peer_command_failed", level=logging.ERROR, reason=repr(error))
            self._fail_transaction()
            unknown = RequestError(ErrorKind.OUTCOME_UNKNOWN, "the home failed")
            return answer_with_error(message, self._session, context, unknown)
        if self._runner.caller_gone:
            self._fail_transaction()
        return answer_with_result(message, self._session, context, result)
