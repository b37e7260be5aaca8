"""The order of steps of each command on a managed group, as generators without I/O.

A flow yields a step and is sent its result, or has an error thrown in. What a flow has in its
hands when an error reaches it decides what the caller may be told (`docs/STATEMENTS.md`):

- before the first byte left for an instance, nothing ran;
- a write or COMMIT leaves once; after that, without an answer, its outcome is unknown;
- a transaction whose connection ended before its COMMIT left is rolled back by the instance;
- a read changes nothing, so it may run again until the deadline.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field

from orchidwind.core.errors import (
    BackendConnectionLost,
    ErrorKind,
    ProofMissing,
    RequestError,
)
from orchidwind.core.managed.commands import (
    Command,
    CommandKind,
    CommandResult,
    InstanceMessage,
    MessageKind,
    Reply,
    ReplyCode,
    TransactionState,
)
from orchidwind.core.managed.configuration import ManagedDatabase
from orchidwind.core.managed.group import GroupState
from orchidwind.core.managed.session import ManagedSession, OpenTransaction
from orchidwind.core.managed.steps import (
    Exchange,
    ExchangeResult,
    Flow,
    NeedConnection,
    NeedPrimary,
    NeedProof,
    NeedReadPlan,
    Pause,
    Release,
    Step,
    StepResult,
)
from orchidwind.core.managed.topology import PrimaryView, ReadPlan

BUSY_PAUSE_SECONDS = 0.015
_BUSY_ATTEMPTS_IN_TRANSACTION = 8


@dataclass(slots=True)
class CommandContext:
    """What the flows of one command share. Times are in seconds of the steady clock."""

    session: ManagedSession
    group: GroupState
    database: ManagedDatabase
    command: Command
    arrived_at: float
    excluded: set[str] = field(default_factory=set)
    sent_write: bool = False
    attempts: list[str] = field(default_factory=list)
    sent_to: str = ""

    def note(self, instance: str, what: str) -> None:
        """Keep what one attempt was based on and how it ended, for the log."""
        self.attempts.append(f"{instance}:{what}")


def command_flow(context: CommandContext) -> Flow:
    """The flow of one command that needs an instance."""
    kind = context.command.kind
    if kind is CommandKind.COMMIT:
        return _commit(context)
    if kind is CommandKind.ROLLBACK:
        return _rollback(context)
    if context.session.transaction is not None:
        return _in_transaction(context, context.session.transaction)
    if context.session.writes(context.command):
        return _single_write(context)
    return _single_read(context)


# --- messages -----------------------------------------------------------------------------------


def _statement_messages(context: CommandContext, connection: int) -> list[InstanceMessage]:
    """Bring a connection to the session's settings, then the statement itself."""
    messages = context.group.settings_messages(connection, context.session.settings)
    command = context.command
    if command.kind is CommandKind.EXECUTE:
        prepared = context.session.prepared_for(command)
        after_reset = bool(messages) and messages[0].kind is MessageKind.RESET
        messages.extend(context.group.prepare_messages(connection, prepared, after_reset))
        messages.append(
            InstanceMessage(
                MessageKind.EXECUTE,
                command.request_id,
                command.argument,
                name=prepared.shared_name,
                prepared=prepared,
            )
        )
    else:
        messages.append(InstanceMessage(MessageKind.STATEMENT, command.request_id, command.text))
    return messages


def _with_floor(messages: list[InstanceMessage], plan: ReadPlan) -> tuple[InstanceMessage, ...]:
    last = messages[-1]
    at_floor = InstanceMessage(
        last.kind, last.request_id, last.text, last.name, last.prepared, plan.floor
    )
    return (*messages[:-1], at_floor)


def _exchange(
    context: CommandContext,
    connection: int,
    messages: tuple[InstanceMessage, ...],
    proof_of_term: int = 0,
) -> Generator[Step, StepResult, Reply]:
    """Send and return the last reply; a connection whose preparation failed is closed."""
    result = yield Exchange(connection, messages, proof_of_term)
    assert isinstance(result, ExchangeResult)
    replies = result.replies
    # What the connection carries now counts whatever becomes of the reply.
    context.group.note_messages(connection, messages)
    if not all(reply.done for reply in replies[:-1]):
        raise BackendConnectionLost("a setting or prepared statement was refused", sent=True)
    if proof_of_term:
        if result.led_at is None:
            raise ProofMissing("no replica shows that the primary still leads")
        context.group.lead_proven(result.led_at, replies[-1].position)
    return replies[-1]


# --- single statements --------------------------------------------------------------------------


def _single_read(context: CommandContext) -> Flow:
    while True:
        plan, connection = yield from _read_connection(context)
        messages = _with_floor(_statement_messages(context, connection), plan)
        context.sent_to = plan.instance
        try:
            reply = yield from _exchange(context, connection, messages, plan.proof_of_term)
        except BackendConnectionLost:
            yield Release(connection, reusable=False)
            yield from _leave_instance(context, plan)
            continue
        except ProofMissing:
            yield Release(connection, reusable=True)
            yield from _wait_for_proof(context)
            continue
        yield Release(connection, reusable=reply.state is TransactionState.IDLE)
        context.note(plan.instance, f"floor={plan.floor}:{reply.code.value}")
        if reply.done:
            return CommandResult(reply.rows, reply.signature)
        yield from _after_failed_read(context, plan.instance, reply)


def _read_connection(
    context: CommandContext,
) -> Generator[Step, StepResult, tuple[ReadPlan, int]]:
    while True:
        plan = yield NeedReadPlan(context.session.floor, frozenset(context.excluded))
        assert isinstance(plan, ReadPlan)
        try:
            connection = yield NeedConnection(plan.instance)
        except BackendConnectionLost:
            yield from _leave_instance(context, plan)
            continue
        assert isinstance(connection, int)
        return plan, connection


def _wait_for_proof(context: CommandContext) -> Generator[Step, StepResult, None]:
    """Send nothing to a primary of doubtful lead until some replica confirms its term."""
    while True:
        yield Pause(BUSY_PAUSE_SECONDS)
        primary = yield NeedPrimary()
        assert isinstance(primary, PrimaryView)
        context.note(primary.instance, f"term={primary.term}:lead_not_proven")
        if (yield NeedProof(primary.term)):
            return


def _leave_instance(context: CommandContext, plan: ReadPlan) -> Generator[Step, StepResult, None]:
    """A connection broke: try another replica next; the primary has no substitute."""
    context.note(plan.instance, "connection_lost")
    if plan.proof_of_term:
        yield Pause(BUSY_PAUSE_SECONDS)
    else:
        context.excluded.add(plan.instance)


def _after_failed_read(
    context: CommandContext, instance: str, reply: Reply
) -> Generator[Step, StepResult, None]:
    """Prepare another attempt, or raise what the caller is told."""
    if reply.code is ReplyCode.BEHIND:
        context.group.replica_behind(instance)
        context.excluded.add(instance)
        return
    if reply.code is ReplyCode.BUSY:
        context.group.instance_busy(instance)
        yield Pause(BUSY_PAUSE_SECONDS)
        return
    if reply.code in (ReplyCode.UNKNOWN_STATEMENT, ReplyCode.READ_ONLY):
        yield Pause(BUSY_PAUSE_SECONDS)
        return
    raise _reported(reply)


def _primary_connection(
    context: CommandContext,
) -> Generator[Step, StepResult, tuple[PrimaryView, int]]:
    while True:
        primary = yield NeedPrimary()
        assert isinstance(primary, PrimaryView)
        try:
            connection = yield NeedConnection(primary.instance)
        except BackendConnectionLost:
            continue
        assert isinstance(connection, int)
        return primary, connection


def _single_write(context: CommandContext) -> Flow:
    while True:
        primary, connection = yield from _primary_connection(context)
        messages = tuple(_statement_messages(context, connection))
        context.sent_write = True
        context.sent_to = primary.instance
        sent_at = context.group.now()
        try:
            reply = yield from _exchange(context, connection, messages)
        except BackendConnectionLost as lost:
            yield Release(connection, reusable=False)
            context.note(primary.instance, f"term={primary.term}:connection_lost:sent={lost.sent}")
            if lost.sent:
                raise write_in_doubt() from lost
            context.sent_write = False
            continue
        yield Release(connection, reusable=reply.state is TransactionState.IDLE)
        context.note(primary.instance, f"term={primary.term}:{reply.code.value}")
        if reply.done:
            context.session.raise_floor(reply.position)
            context.group.commit_acknowledged(sent_at, reply.position)
            return CommandResult(reply.rows, reply.signature)
        context.sent_write = False
        yield from _after_refused_write(context, primary.instance, reply)


def _after_refused_write(
    context: CommandContext, instance: str, reply: Reply
) -> Generator[Step, StepResult, None]:
    if reply.code is ReplyCode.READ_ONLY:
        context.group.refused_write(instance)
        return
    if reply.code in (ReplyCode.BUSY, ReplyCode.UNKNOWN_STATEMENT, ReplyCode.BEHIND):
        yield Pause(BUSY_PAUSE_SECONDS)
        return
    raise _reported(reply)


# --- transactions -------------------------------------------------------------------------------


def _in_transaction(context: CommandContext, transaction: OpenTransaction) -> Flow:
    if not transaction.connection:
        yield from _begin(context, transaction)
    if context.session.writes(context.command):
        transaction.wrote = True
    messages = tuple(_statement_messages(context, transaction.connection))
    context.sent_to = transaction.instance
    reply = yield from _transaction_exchange(context, transaction, messages)
    context.note(transaction.instance, f"in_transaction:{reply.code.value}")
    if reply.done:
        return CommandResult(reply.rows, reply.signature)
    yield from _abandon(context, transaction)
    raise _reported_in_transaction(reply)


def _transaction_exchange(
    context: CommandContext, transaction: OpenTransaction, messages: tuple[InstanceMessage, ...]
) -> Generator[Step, StepResult, Reply]:
    """Run on the transaction's connection; a statement that did not run may be sent again."""
    for attempt in range(_BUSY_ATTEMPTS_IN_TRANSACTION):
        if attempt:
            yield Pause(BUSY_PAUSE_SECONDS)
        try:
            reply = yield from _exchange(context, transaction.connection, messages)
        except (BackendConnectionLost, RequestError) as error:
            yield from _abandon(context, transaction, reusable=False)
            raise transaction_lost() from error
        if reply.code is not ReplyCode.BUSY or reply.state is not TransactionState.OPEN:
            break
        messages = messages[-1:]
    return reply


def _abandon(
    context: CommandContext, transaction: OpenTransaction, reusable: bool = True
) -> Generator[Step, StepResult, None]:
    """End a transaction that failed; the instance rolls back, and the connection is freed."""
    connection = transaction.connection
    transaction.connection = 0
    context.session.fail_transaction()
    if not connection:
        return
    if reusable:
        reusable = yield from _roll_back(connection)
    yield Release(connection, reusable=reusable)


def _roll_back(connection: int) -> Generator[Step, StepResult, bool]:
    try:
        result = yield Exchange(connection, (InstanceMessage(MessageKind.ROLLBACK),))
    except (BackendConnectionLost, RequestError):
        return False
    assert isinstance(result, ExchangeResult)
    return result.replies[-1].state is TransactionState.IDLE


def _begin(
    context: CommandContext, transaction: OpenTransaction
) -> Generator[Step, StepResult, None]:
    """Open the transaction on an instance and keep the connection for it."""
    try:
        if transaction.read_only:
            yield from _begin_read_only(context, transaction)
        else:
            yield from _begin_on_primary(context, transaction)
    except RequestError:
        context.session.fail_transaction()
        raise


def _begin_on_primary(
    context: CommandContext, transaction: OpenTransaction
) -> Generator[Step, StepResult, None]:
    """Reads of the transaction must be as fresh as single ones, so the lead is proven at BEGIN."""
    while True:
        primary, connection = yield from _primary_connection(context)
        settings = context.group.settings_messages(connection, context.session.settings)
        messages = (*settings, InstanceMessage(MessageKind.BEGIN))
        try:
            reply = yield from _exchange(context, connection, messages, primary.term)
        except BackendConnectionLost:
            yield Release(connection, reusable=False)
            yield Pause(BUSY_PAUSE_SECONDS)
            continue
        except ProofMissing:
            yield Release(connection, reusable=False)
            yield from _wait_for_proof(context)
            continue
        if reply.done and reply.state is TransactionState.OPEN:
            transaction.connection = connection
            transaction.instance = primary.instance
            return
        yield Release(connection, reusable=reply.state is TransactionState.IDLE)
        yield from _after_refused_write(context, primary.instance, reply)


def _begin_read_only(
    context: CommandContext, transaction: OpenTransaction
) -> Generator[Step, StepResult, None]:
    while True:
        plan, connection = yield from _read_connection(context)
        settings = context.group.settings_messages(connection, context.session.settings)
        begin = InstanceMessage(MessageKind.BEGIN_READ_ONLY, floor=plan.floor)
        messages = (*settings, begin)
        try:
            reply = yield from _exchange(context, connection, messages, plan.proof_of_term)
        except BackendConnectionLost:
            yield Release(connection, reusable=False)
            yield from _leave_instance(context, plan)
            continue
        except ProofMissing:
            yield Release(connection, reusable=False)
            yield from _wait_for_proof(context)
            continue
        if reply.done and reply.state is TransactionState.OPEN:
            transaction.connection = connection
            transaction.instance = plan.instance
            return
        yield Release(connection, reusable=reply.state is TransactionState.IDLE)
        yield from _after_failed_read(context, plan.instance, reply)


def _commit(context: CommandContext) -> Flow:
    transaction = context.session.transaction
    if transaction is None:
        context.session.end_transaction()
        raise transaction_lost()
    if not transaction.connection:
        yield from _begin(context, transaction)
    message = InstanceMessage(
        MessageKind.STATEMENT, context.command.request_id, context.command.text
    )
    sent_at = context.group.now()
    reply = yield from _commit_exchange(context, transaction, message)
    connection = transaction.connection
    context.note(transaction.instance, f"commit:wrote={transaction.wrote}:{reply.code.value}")
    context.session.end_transaction()
    if reply.state is TransactionState.IDLE:
        yield Release(connection, reusable=True)
    else:
        reusable = yield from _roll_back(connection)
        yield Release(connection, reusable=reusable)
    if not reply.done:
        raise _reported_in_transaction(reply)
    if transaction.wrote:
        context.session.raise_floor(reply.position)
        context.group.commit_acknowledged(sent_at, reply.position)
    return CommandResult(reply.rows, reply.signature)


def _commit_exchange(
    context: CommandContext, transaction: OpenTransaction, message: InstanceMessage
) -> Generator[Step, StepResult, Reply]:
    """Send COMMIT; once more only where the instance said that it did not run."""
    for attempt in range(_BUSY_ATTEMPTS_IN_TRANSACTION):
        if attempt:
            yield Pause(BUSY_PAUSE_SECONDS)
        context.sent_write = transaction.wrote
        context.sent_to = transaction.instance
        try:
            reply = yield from _exchange(context, transaction.connection, (message,))
        except (BackendConnectionLost, RequestError) as error:
            connection = transaction.connection
            context.session.end_transaction()
            yield Release(connection, reusable=False)
            unsent = isinstance(error, BackendConnectionLost) and not error.sent
            if unsent:
                raise transaction_lost() from error
            if transaction.wrote:
                raise write_in_doubt() from error
            raise read_interrupted() from error
        context.sent_write = False
        if reply.code is not ReplyCode.BUSY or reply.state is not TransactionState.OPEN:
            break
    return reply


def _rollback(context: CommandContext) -> Flow:
    transaction = context.session.transaction
    context.session.end_transaction()
    if transaction is not None and transaction.connection:
        reusable = yield from _roll_back(transaction.connection)
        yield Release(transaction.connection, reusable=reusable)
    return CommandResult()


# --- errors -------------------------------------------------------------------------------------

_REPORTED: dict[ReplyCode, ErrorKind] = {
    ReplyCode.BUSY: ErrorKind.OVERLOADED,
    ReplyCode.BEHIND: ErrorKind.NO_REPLICA,
    ReplyCode.READ_ONLY: ErrorKind.NO_PRIMARY,
    ReplyCode.UNKNOWN_STATEMENT: ErrorKind.UNKNOWN_STATEMENT,
    ReplyCode.FAILED: ErrorKind.STATEMENT_FAILED,
    ReplyCode.TIMED_OUT: ErrorKind.STATEMENT_TIMEOUT,
    ReplyCode.REFUSED: ErrorKind.STATEMENT_FAILED,
}


def _reported(reply: Reply) -> RequestError:
    return RequestError(_REPORTED[reply.code], reply.text or reply.code.value)


def _reported_in_transaction(reply: Reply) -> RequestError:
    """Within a transaction an error rolls all of it back; that is what the caller is told."""
    if reply.code in (ReplyCode.FAILED, ReplyCode.TIMED_OUT, ReplyCode.REFUSED):
        return _reported(reply)
    return transaction_lost()


def transaction_lost() -> RequestError:
    """The answer to a statement whose transaction is known to be rolled back."""
    return RequestError(ErrorKind.TRANSACTION_LOST, "nothing of the transaction is kept")


def write_in_doubt() -> RequestError:
    """The answer to a write or COMMIT that left and was not answered."""
    return RequestError(
        ErrorKind.OUTCOME_UNKNOWN, "the answer to a write was lost; it may or may not have run"
    )


def read_interrupted() -> RequestError:
    """The answer to the COMMIT of a transaction that only read, which was not answered."""
    return RequestError(ErrorKind.READ_INTERRUPTED, "the connection was lost in a read")
