"""Forwards the commands of one caller's session to the homes of its group.

For: `callers.session_executor`, where another proxy is the home of a command. Owns the record of
the home at which the session's transaction is open. Relies on `peer_link` to send, on
`home_selection` for the home, on `core.forwarded_commands` for the messages and on `core.peer_loss`
for the outcome of a command whose home was lost.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from msgspec import Struct

from orchidwind.promoted.core.command_limits import TimeLimits
from orchidwind.promoted.core.commands import Command, CommandKind, CommandResult
from orchidwind.promoted.core.flow_parts import CommandContext
from orchidwind.promoted.core.forwarded_commands import (
    CommandNumbers,
    TimeLeft,
    TransactionProgress,
    result_at_front,
    run_command,
)
from orchidwind.promoted.core.home_choice import HomeRefusal
from orchidwind.promoted.core.peer_loss import after_lost_home
from orchidwind.promoted.core.peer_messages import CloseChannel, CommandAnswer, RunCommand
from orchidwind.promoted.core.session import Session
from orchidwind.promoted.peers.home_selection import SelectedHome, refusal_by_home
from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.shared.core.errors import ErrorKind, PeerUnavailable, RequestError

# Time beyond the deadline to wait for the home's answer, seconds. The home itself answers by the
# deadline; transit between two zones takes some milliseconds, and some dozens on a slow machine.
_ANSWER_GRACE_SECONDS = 0.05


class Homes(Protocol):
    """Selects the homes of commands; `HomeSelection` implements it."""

    def first_home(self, context: CommandContext) -> SelectedHome:
        """Select the home of a new command, or of one whose home was lost."""

    def second_home(self, context: CommandContext, refusal: HomeRefusal) -> SelectedHome | None:
        """Select another home for a command that a home refused; None if it is not tried again."""

    def own_home(self) -> SelectedHome:
        """This proxy, as the home of a command."""

    def served(self, context: CommandContext, home: str) -> None:
        """Record that a home served a command."""

    def next_channel(self) -> int:
        """Return a new number for a session at a home."""


class _OpenChannel(Struct, frozen=True):
    """A channel at a home: the link, and the number of the session on it."""

    link: PeerLink
    number: int


class CommandForwarder:
    """Forwards the commands of one session, one at a time."""

    def __init__(self, session: Session, homes: Homes) -> None:
        self._session = session
        self._homes = homes
        self._loop = asyncio.get_running_loop()
        self._transaction_channel: _OpenChannel | None = None
        self._running_channel: _OpenChannel | None = None

    def select(self, context: CommandContext) -> SelectedHome:
        """Select the home of a command; without a link, this proxy runs it."""
        opened = self._transaction_channel
        if opened is not None:
            return SelectedHome(opened.link.member.name, opened.link)
        if context.command.kind is CommandKind.ROLLBACK:
            return self._homes.own_home()
        return self._homes.first_home(context)

    async def run(
        self, context: CommandContext, limits: TimeLimits, home: SelectedHome
    ) -> CommandResult | SelectedHome:
        """Run a command at a home; return its result, or a home without a link: this proxy.

        If the home refuses the command and another may serve it, that one is asked, once. Raises
        RequestError.
        """
        while (channel := self._channel(home)) is not None:
            now = self._loop.time()
            try:
                answer = await self._ask(channel, context, home.limits(limits, now))
            except PeerUnavailable as lost:
                context.record_attempt(channel.link.member.name, f"home_lost:sent={lost.sent}")
                error = self._handle_lost_home(context.command, lost.sent)
                if context.command.kind is CommandKind.ROLLBACK:
                    return self._complete_rollback()
                if error is not None:
                    raise error from lost
                home = self._homes.first_home(context)
            else:
                try:
                    return self._handle_answer(channel, context, answer)
                except RequestError as error:
                    refusal = refusal_by_home(
                        context,
                        channel.link.member.name,
                        error,
                        bool(answer.sent_to),
                        limits.deadline - self._loop.time(),
                    )
                    other = self._homes.second_home(context, refusal)
                    if other is None:
                        raise
                    home = other
            limits = limits.after_lost_home(self._loop.time())
        return home

    def _complete_rollback(self) -> CommandResult:
        """Complete a ROLLBACK locally: no transaction is open at a home, or its home was lost."""
        self._session.end_transaction()
        return CommandResult()

    def _channel(self, home: SelectedHome) -> _OpenChannel | None:
        if self._transaction_channel is not None:
            return self._transaction_channel
        return None if home.link is None else _OpenChannel(home.link, self._homes.next_channel())

    async def _ask(
        self, channel: _OpenChannel, context: CommandContext, limits: TimeLimits
    ) -> CommandAnswer:
        transaction = self._session.transaction
        if transaction is not None and self._session.writes(context.command):
            transaction.wrote = True
        message = self._message(channel, context, limits)
        context.sent_to = channel.link.member.name
        self._running_channel = channel
        try:
            async with asyncio.timeout_at(limits.deadline + _ANSWER_GRACE_SECONDS):
                return await channel.link.ask(message)
        except TimeoutError as error:
            channel.link.notify(CloseChannel(channel.number))
            raise self._timed_out(context.command) from error
        finally:
            self._running_channel = None

    def _message(
        self, channel: _OpenChannel, context: CommandContext, limits: TimeLimits
    ) -> RunCommand:
        now = self._loop.time()
        progress = TransactionProgress.NONE
        if self._session.transaction is not None:
            was_open = self._transaction_channel is not None
            progress = TransactionProgress.CONTINUES if was_open else TransactionProgress.BEGINS
        return run_command(
            context,
            CommandNumbers(channel.link.next_number(), channel.number),
            progress,
            TimeLeft(limits.deadline - now, limits.hold_until - now),
        )

    def _handle_answer(
        self, channel: _OpenChannel, context: CommandContext, answer: CommandAnswer
    ) -> CommandResult:
        """Apply an answer to the session; return the caller's result. Raises RequestError."""
        session, kind = self._session, context.command.kind
        session.raise_floor(answer.floor)
        context.record_attempt(channel.link.member.name, f"home:{answer.attempts}")
        if answer.sent_to:
            context.sent_to = f"{channel.link.member.name}/{answer.sent_to}"
        self._transaction_channel = None
        if answer.error:
            self._end_if_commit(kind)
            return result_at_front(answer)
        self._homes.served(context, channel.link.member.name)
        if kind in (CommandKind.COMMIT, CommandKind.ROLLBACK):
            session.end_transaction()
        elif session.transaction is not None:
            self._transaction_channel = channel
        return result_at_front(answer)

    def _timed_out(self, command: Command) -> RequestError:
        """Return the error for a command that the home did not answer in time."""
        lost = self._handle_lost_home(command, sent=True)
        return lost or RequestError(ErrorKind.STATEMENT_TIMEOUT, "the home did not answer in time")

    def _handle_lost_home(self, command: Command, sent: bool) -> RequestError | None:
        """Handle the loss of a command's home.

        Returns the error for the caller, None if another home may be tried.
        """
        was_open, self._transaction_channel = self._transaction_channel is not None, None
        error = after_lost_home(self._session, command, was_open, sent)
        if error is not None:
            self._end_if_commit(command.kind)
        return error

    def _end_if_commit(self, kind: CommandKind) -> None:
        """End the transaction after a COMMIT, whatever its outcome."""
        if kind is CommandKind.COMMIT:
            self._session.end_transaction()

    def give_up(self) -> None:
        """Abandon the open transaction, if any: the home rolls it back."""
        abandoned, self._transaction_channel = self._transaction_channel, None
        if abandoned is not None:
            abandoned.link.notify(CloseChannel(abandoned.number))

    def caller_left(self) -> None:
        """Close the channel of the running command, as the caller has disconnected.

        The home starts no further work for it.
        """
        if self._running_channel is not None:
            self._running_channel.link.notify(CloseChannel(self._running_channel.number))
