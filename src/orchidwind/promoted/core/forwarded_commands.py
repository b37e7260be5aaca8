"""A command on its way to the home of its group, and its answer on the way back. No I/O.

For: `promoted.peers`: the front builds messages from a session, the home a session from messages.
Owns how the two correspond, both ways. Relies on `peer_messages` for the forms. What becomes of a
command whose home is lost, `peer_loss` decides.
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

# Under this name a session at the home holds the one statement that its command executes.
_PREPARED_NAME = "forwarded"
# So many attempts of the home go into the front's log line. The last ones tell the outcome.
_LOGGED_ATTEMPTS = 4


class TransactionProgress(Enum):
    """Where a command stands in its session's transaction, as the home sees it."""

    NONE = "none"
    BEGINS = "begins"
    CONTINUES = "continues"


class CommandNumbers(Struct, frozen=True):
    """The number of a command on its link, and the number of its session there (the channel)."""

    command: int
    channel: int


class TimeLeft(Struct, frozen=True):
    """Seconds until a command's deadline, and for how many it may wait unsent."""

    to_deadline: float
    to_hold: float


def run_command(
    context: CommandContext, numbers: CommandNumbers, progress: TransactionProgress, left: TimeLeft
) -> RunCommand:
    """The message that has a home carry a command out; raises RequestError.

    An error is raised where an EXECUTE names what the session has not prepared.
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
        # Of an EXECUTE only its argument goes to an instance: the text would carry it twice.
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
    """Bring the home's session to what the front's holds, and the command to run in it.

    Raises RequestError where the command continues a transaction that is not open here any more.
    """
    database = _database(message)
    _take_session(message, session)
    _take_transaction(message, session, database)
    command = Command(
        message.request_id,
        CommandKind(message.kind),
        message.text,
        _PREPARED_NAME if message.prepared is not None else "",
        message.argument,
    )
    return CommandContext(session, group, database, command, now, tenant=message.tenant)


def _database(message: RunCommand) -> DatabaseRoute:
    """The rules of the database, as they are in force at the front."""
    return DatabaseRoute(
        name=message.database,
        group=message.group,
        consistency=ReadConsistency(message.consistency),
        staleness=message.staleness,
        statement_timeout=message.timeout,
        target_latency=message.timeout,
        priority=message.priority,
    )


def _take_session(message: RunCommand, session: Session) -> None:
    session.settings = {item.name: item.value for item in message.settings}
    session.raise_floor(message.floor)
    if message.prepared is not None:
        session.prepared = {_PREPARED_NAME: message.prepared}


def _take_transaction(message: RunCommand, session: Session, database: DatabaseRoute) -> None:
    if session.transaction is not None:
        return
    if message.transaction == TransactionProgress.CONTINUES.value:
        raise transaction_lost()
    if message.transaction == TransactionProgress.BEGINS.value:
        session.transaction = OpenTransaction(database, message.read_only, tenant=message.tenant)


def answer_with_result(
    message: RunCommand, session: Session, context: CommandContext, result: CommandResult
) -> CommandAnswer:
    """The answer to a command that succeeded."""
    return CommandAnswer(
        number=message.number,
        error="",
        message="",
        retry_after_milliseconds=None,
        rows=result.rows,
        signature=result.signature,
        floor=session.floor,
        sent_to=context.sent_to,
        attempts=_attempts(context),
    )


def answer_with_error(
    message: RunCommand, session: Session, context: CommandContext | None, error: RequestError
) -> CommandAnswer:
    """The answer to a command that failed; without `context` it failed before it was begun."""
    return CommandAnswer(
        number=message.number,
        error=error.kind.value,
        message=error.message,
        retry_after_milliseconds=error.retry_after_milliseconds,
        rows=(),
        signature="",
        floor=session.floor,
        sent_to=context.sent_to if context else "",
        attempts=_attempts(context) if context else "",
    )


def _attempts(context: CommandContext) -> str:
    return " ".join(context.attempts[-_LOGGED_ATTEMPTS:])


def result_at_front(answer: CommandAnswer) -> CommandResult:
    """What the caller gets; raises RequestError where the command failed."""
    if answer.error:
        raise RequestError(
            ErrorKind(answer.error),
            answer.message,
            retry_after_milliseconds=answer.retry_after_milliseconds,
        )
    return CommandResult(answer.rows, answer.signature)
