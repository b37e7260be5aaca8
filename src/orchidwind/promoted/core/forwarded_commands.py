"""Converts commands and their answers between sessions and peer messages. No I/O.

`promoted.peers` uses it on both sides: the front proxy builds messages from a session, and the home
proxy builds a session from messages. `peer_messages` has the message types. `peer_loss` decides
what happens to a command whose home proxy is lost.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from orchidwind.promoted.core.answers import transaction_lost
from orchidwind.promoted.core.commands import Command, CommandKind, CommandResult
from orchidwind.promoted.core.configuration import DatabaseRoute, ReadConsistency
from orchidwind.promoted.core.flow_parts import CommandContext
from orchidwind.promoted.core.group_state import GroupState
from orchidwind.promoted.core.peer_messages import CommandAnswer, RunCommand, SettingValue
from orchidwind.promoted.core.session import OpenTransaction, Session
from orchidwind.shared.core.errors import ErrorKind, RequestError

# Name under which a session at the home proxy holds the prepared statement of its current command.
_PREPARED_NAME = "forwarded"
# Number of the home proxy's attempts that are logged by the front proxy: the last ones, as they
# show the outcome.
_LOGGED_ATTEMPTS = 4


class TransactionProgress(Enum):
    """The relation of a command to its session's transaction, as the home proxy sees it."""

    NONE = "none"
    BEGINS = "begins"
    CONTINUES = "continues"


class CommandNumbers(Struct, frozen=True):
    """The numbers that identify a command and its session (the channel) on a link."""

    command: int
    channel: int


class TimeLeft(Struct, frozen=True):
    """Seconds until a command's deadline, and seconds for which it may wait before it is sent."""

    to_deadline: float
    to_hold: float


def run_command(
    context: CommandContext, numbers: CommandNumbers, progress: TransactionProgress, left: TimeLeft
) -> RunCommand:
    """Returns the message that asks a home proxy to run a command.

    Raises RequestError if an EXECUTE names a statement that the session has not prepared.
    """
    session, command, database = context.session, context.command, context.database
    transaction = session.transaction
    executes = command.kind is CommandKind.EXECUTE
    return RunCommand(
        number=numbers.command,
        channel=numbers.channel,
        group=database.group,
        database=database.name,
        consistency=database.consistency.value,
        staleness=database.staleness,
        priority=database.priority,
        timeout=database.statement_timeout,
        kind=command.kind.value,
        request_id=command.request_id,
        # An instance needs only the argument of an EXECUTE; the text would contain it a second
        # time.
        text="" if executes else command.text,
        argument=command.argument,
        prepared=session.prepared_for(command) if executes else None,
        settings=tuple(SettingValue(*item) for item in session.settings.items()),
        floor=session.floor,
        transaction=progress.value,
        read_only=transaction is not None and transaction.read_only,
        remaining=left.to_deadline,
        hold=left.to_hold,
        tenant=context.tenant,
    )


def context_at_home(
    message: RunCommand, session: Session, group: GroupState, now: float
) -> CommandContext:
    """Updates the home proxy's session from a message and returns the context of its command.

    Raises RequestError if the command continues a transaction that is no longer open here.
    """
    database = _database(message)
    _update_session(message, session)
    _update_transaction(message, session, database)
    command = Command(
        message.request_id,
        CommandKind(message.kind),
        message.text,
        _PREPARED_NAME if message.prepared is not None else "",
        message.argument,
    )
    return CommandContext(session, group, database, command, now, tenant=message.tenant)


def _database(message: RunCommand) -> DatabaseRoute:
    """Returns the database's settings as the front proxy knows them."""
    return DatabaseRoute(
        name=message.database,
        group=message.group,
        consistency=ReadConsistency(message.consistency),
        staleness=message.staleness,
        statement_timeout=message.timeout,
        target_latency=message.timeout,
        priority=message.priority,
    )


def _update_session(message: RunCommand, session: Session) -> None:
    """Sets the session's settings, floor and prepared statement from a message."""
    session.settings = {item.name: item.value for item in message.settings}
    session.raise_floor(message.floor)
    if message.prepared is not None:
        session.prepared = {_PREPARED_NAME: message.prepared}


def _update_transaction(message: RunCommand, session: Session, database: DatabaseRoute) -> None:
    """Opens the session's transaction if the command begins one.

    Raises RequestError if the command continues a transaction that is no longer open here.
    """
    if session.transaction is not None:
        return
    if message.transaction == TransactionProgress.CONTINUES.value:
        raise transaction_lost()
    if message.transaction == TransactionProgress.BEGINS.value:
        session.transaction = OpenTransaction(database, message.read_only, tenant=message.tenant)


def answer_with_result(
    message: RunCommand, session: Session, context: CommandContext, result: CommandResult
) -> CommandAnswer:
    """Returns the answer to a command that succeeded."""
    return CommandAnswer(
        number=message.number,
        error="",
        message="",
        retry_after_milliseconds=None,
        rows=result.rows,
        signature=result.signature,
        floor=session.floor,
        sent_to=context.sent_to,
        attempts=_logged_attempts(context),
    )


def answer_with_error(
    message: RunCommand, session: Session, context: CommandContext | None, error: RequestError
) -> CommandAnswer:
    """Returns the answer to a failed command; `context` is None if it failed before it started."""
    return CommandAnswer(
        number=message.number,
        error=error.kind.value,
        message=error.message,
        retry_after_milliseconds=error.retry_after_milliseconds,
        rows=(),
        signature="",
        floor=session.floor,
        sent_to=context.sent_to if context else "",
        attempts=_logged_attempts(context) if context else "",
    )


def _logged_attempts(context: CommandContext) -> str:
    """Returns the last attempts of a command, for the log of the front proxy."""
    return " ".join(context.attempts[-_LOGGED_ATTEMPTS:])


def result_at_front(answer: CommandAnswer) -> CommandResult:
    """Returns the result for the caller; raises RequestError if the command failed."""
    if answer.error:
        raise RequestError(
            ErrorKind(answer.error),
            answer.message,
            retry_after_milliseconds=answer.retry_after_milliseconds,
        )
    return CommandResult(answer.rows, answer.signature)
