"""Sends the commands of one caller's session to the homes of its group.

For: `callers.session_executor`, where this proxy is no home of the group. Owns at which home the
session's transaction is open. Relies on `peer_link` to send, on `core.forwarded_commands` for the
messages and on `core.peer_loss` for what becomes of a command whose home was lost.
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
from orchidwind.promoted.core.peer_loss import after_lost_home
from orchidwind.promoted.core.peer_messages import CloseChannel, CommandAnswer, RunCommand
from orchidwind.promoted.core.session import Session
from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.shared.core.errors import ErrorKind, PeerUnavailable, RequestError

# The home answers at the deadline by itself; this is for the way back, seconds. The way
# between two zones takes some milliseconds, on a slow machine some dozens.
_ANSWER_GRACE_SECONDS = 0.05


class Homes(Protocol):
    """Where the groups' connections are held."""

    def home_link(self, group: str, tenant: str) -> PeerLink | None:
        """The link to the home that this proxy sends a tenant's commands to; None: this proxy."""

    def next_channel(self) -> int:
        """A number for a session at a home, not used before."""


class _OpenChannel(Struct, frozen=True):
    """Where the session's transaction is open."""

    link: PeerLink
    number: int


class CommandForwarder:
    """The commands of one session, one at a time."""

    def __init__(self, session: Session, homes: Homes) -> None:
        self._session = session
        self._homes = homes
        self._loop = asyncio.get_running_loop()
        self._open: _OpenChannel | None = None
        self._running: _OpenChannel | None = None

    def serves(self, group: str, tenant: str) -> bool:
        """Whether a tenant's commands for a group go to another proxy now."""
        return self._open is not None or self._homes.home_link(group, tenant) is not None

    async def run(self, context: CommandContext, limits: TimeLimits) -> CommandResult | None:
        """Carry a command out; None where no home is left. Raises RequestError."""
        if context.command.kind is CommandKind.ROLLBACK and self._open is None:
            return self._rolled_back()
        while (channel := self._channel(context)) is not None:
            try:
                answer = await self._ask(channel, context, limits)
            except PeerUnavailable as lost:
                context.note(channel.link.member.name, f"home_lost:sent={lost.sent}")
                error = self._lose_home(context.command, lost.sent)
                if context.command.kind is CommandKind.ROLLBACK:
                    return self._rolled_back()
                if error is not None:
                    raise error from lost
                limits = limits.after_lost_home(self._loop.time())
                continue
            return self._take(channel, context, answer)
        return None

    def _rolled_back(self) -> CommandResult:
        """Nothing is open at any home, or it went away with its home."""
        self._session.end_transaction()
        return CommandResult()

    def _channel(self, context: CommandContext) -> _OpenChannel | None:
        if self._open is not None:
            return self._open
        link = self._homes.home_link(context.database.group, context.tenant)
        return None if link is None else _OpenChannel(link, self._homes.next_channel())

    async def _ask(
        self, channel: _OpenChannel, context: CommandContext, limits: TimeLimits
    ) -> CommandAnswer:
        transaction = self._session.transaction
        if transaction is not None and self._session.writes(context.command):
            transaction.wrote = True
        message = self._message(channel, context, limits)
        context.sent_to = channel.link.member.name
        self._running = channel
        try:
            async with asyncio.timeout_at(limits.deadline + _ANSWER_GRACE_SECONDS):
                return await channel.link.ask(message)
        except TimeoutError as error:
            channel.link.notify(CloseChannel(channel.number))
            raise self._timed_out(context.command) from error
        finally:
            self._running = None

    def _message(
        self, channel: _OpenChannel, context: CommandContext, limits: TimeLimits
    ) -> RunCommand:
        now = self._loop.time()
        progress = TransactionProgress.NONE
        if self._session.transaction is not None:
            opened = self._open is not None
            progress = TransactionProgress.CONTINUES if opened else TransactionProgress.BEGINS
        return run_command(
            context,
            CommandNumbers(channel.link.next_number(), channel.number),
            progress,
            TimeLeft(limits.deadline - now, limits.hold_until - now),
        )

    def _take(
        self, channel: _OpenChannel, context: CommandContext, answer: CommandAnswer
    ) -> CommandResult:
        """An answer came: what the caller gets; raises RequestError."""
        session, kind = self._session, context.command.kind
        session.raise_floor(answer.floor)
        context.note(channel.link.member.name, f"home:{answer.attempts}")
        if answer.sent_to:
            context.sent_to = f"{channel.link.member.name}/{answer.sent_to}"
        self._open = None
        if answer.error:
            self._end_if_commit(kind)
        elif kind in (CommandKind.COMMIT, CommandKind.ROLLBACK):
            session.end_transaction()
        elif session.transaction is not None:
            self._open = channel
        return result_at_front(answer)

    def _timed_out(self, command: Command) -> RequestError:
        """The home did not answer in time; it was asked to begin nothing more."""
        lost = self._lose_home(command, sent=True)
        return lost or RequestError(ErrorKind.STATEMENT_TIMEOUT, "the home did not answer in time")

    def _lose_home(self, command: Command, sent: bool) -> RequestError | None:
        """The home is gone for this command; what the caller is answered, None to try another."""
        opened, self._open = self._open is not None, None
        error = after_lost_home(self._session, command, opened, sent)
        if error is not None:
            self._end_if_commit(command.kind)
        return error

    def _end_if_commit(self, kind: CommandKind) -> None:
        """However a COMMIT ends, the transaction is over."""
        if kind is CommandKind.COMMIT:
            self._session.end_transaction()

    def give_up(self) -> None:
        """The transaction is given up: the home rolls it back."""
        opened, self._open = self._open, None
        if opened is not None:
            opened.link.notify(CloseChannel(opened.number))

    def caller_left(self) -> None:
        """The caller has gone: the home begins nothing more for it."""
        if self._running is not None:
            self._running.link.notify(CloseChannel(self._running.number))
