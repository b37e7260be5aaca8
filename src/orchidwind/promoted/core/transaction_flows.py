"""Flows of transactions on a promoted group. No I/O.

The first statement of a transaction opens it on an instance and pins it to one server connection.
This module holds the order of steps of a statement in a transaction, of COMMIT and of ROLLBACK. Any
failure ends the transaction, and the instance rolls it back. A COMMIT is sent at most once, unless
the instance reported that it did not run.

The open transaction belongs to the session. Steps shared with single commands are in `flow_parts`,
and `attempts` decides which statements are sent again.
"""

from __future__ import annotations

from collections.abc import Generator
from itertools import count

from orchidwind.promoted.core.answers import (
    read_interrupted,
    reported_in_transaction,
    transaction_lost,
    write_in_doubt,
)
from orchidwind.promoted.core.attempts import may_retry_in_transaction
from orchidwind.promoted.core.commands import (
    CommandResult,
    InstanceMessage,
    MessageKind,
    Reply,
    TransactionState,
)
from orchidwind.promoted.core.flow_parts import (
    CommandContext,
    exchange,
    exchange_by_plan,
    pause_after_busy,
    prepare_read_retry,
    prepare_write_retry,
    primary_connection,
    read_connection,
    statement_messages,
)
from orchidwind.promoted.core.read_planning import ReadPlan
from orchidwind.promoted.core.session import OpenTransaction
from orchidwind.promoted.core.steps import (
    Exchange,
    ExchangeResult,
    Flow,
    Release,
    Step,
    StepResult,
)
from orchidwind.shared.core.errors import (
    BackendConnectionLost,
    RequestError,
)


def transaction_flow(context: CommandContext, transaction: OpenTransaction) -> Flow:
    """Runs a statement in a transaction, which its first statement opens on an instance.

    Returns the result. Raises RequestError if the statement failed and the transaction is over.
    """
    if not transaction.connection:
        yield from _begin(context, transaction)
    if context.session.writes(context.command):
        transaction.wrote = True
    messages = tuple(statement_messages(context, transaction.connection))
    context.sent_to = transaction.instance
    reply = yield from _transaction_exchange(context, transaction, messages)
    context.record_attempt(transaction.instance, f"in_transaction:{reply.code.value}")
    if reply.done:
        return CommandResult(reply.rows, reply.signature)
    yield from _abandon(context, transaction)
    raise reported_in_transaction(reply)


def _transaction_exchange(
    context: CommandContext, transaction: OpenTransaction, messages: tuple[InstanceMessage, ...]
) -> Generator[Step, StepResult, Reply]:
    """Sends messages on the transaction's connection and returns the last reply.

    A statement that did not run because the instance was busy is sent again. If the connection is
    lost, the transaction is abandoned and RequestError is raised.
    """
    for attempt in count(1):
        try:
            reply = yield from exchange(context, transaction.connection, messages)
        except (BackendConnectionLost, RequestError) as error:
            yield from _abandon(context, transaction, reusable=False)
            raise transaction_lost() from error
        if not may_retry_in_transaction(reply, attempt):
            break
        messages = messages[-1:]
        yield pause_after_busy(context, transaction.instance)
    return reply


def _abandon(
    context: CommandContext, transaction: OpenTransaction, reusable: bool = True
) -> Generator[Step, StepResult, None]:
    """Ends a failed transaction: rolls it back on the instance and releases its connection.

    A connection that is not `reusable` is closed, on which the instance rolls back by itself.
    """
    connection = transaction.connection
    transaction.connection = 0
    context.session.fail_transaction()
    if not connection:
        return
    if reusable:
        reusable = yield from _roll_back(connection)
    yield Release(connection, reusable=reusable)


def _roll_back(connection: int) -> Generator[Step, StepResult, bool]:
    """Sends ROLLBACK and returns whether the connection is idle afterwards."""
    try:
        result = yield Exchange(connection, (InstanceMessage(MessageKind.ROLLBACK),))
    except (BackendConnectionLost, RequestError):
        return False
    assert isinstance(result, ExchangeResult)
    return result.replies[-1].state is TransactionState.IDLE


def _begin(
    context: CommandContext, transaction: OpenTransaction
) -> Generator[Step, StepResult, None]:
    """Opens the transaction on an instance and keeps the connection for it.

    Reads in a transaction on the primary must be as fresh as single reads, so the begin needs a
    proof of leadership. Raises RequestError if no instance accepted the begin.
    """
    try:
        yield from _begin_on_some_instance(context, transaction)
    except RequestError:
        context.session.fail_transaction()
        raise


def _begin_on_some_instance(
    context: CommandContext, transaction: OpenTransaction
) -> Generator[Step, StepResult, None]:
    """Tries instances until one has opened the transaction; raises RequestError if none may."""
    read_only = transaction.read_only
    while True:
        if read_only:
            plan, connection = yield from read_connection(context)
        else:
            primary, connection = yield from primary_connection(leadership_proof=True)
            plan = ReadPlan(primary.instance, None, primary.term)
        messages = _begin_messages(context, connection, plan, read_only)
        reply = yield from exchange_by_plan(
            context, connection, messages, plan, idle_without_proof=False
        )
        if reply is None:
            continue
        if reply.done and reply.state is TransactionState.OPEN:
            transaction.connection = connection
            transaction.instance = plan.instance
            return
        yield Release(connection, reusable=reply.state is TransactionState.IDLE)
        if read_only:
            yield from prepare_read_retry(context, plan, reply)
        else:
            yield from prepare_write_retry(context, plan.instance, reply)


def _begin_messages(
    context: CommandContext, connection: int, plan: ReadPlan, read_only: bool
) -> tuple[InstanceMessage, ...]:
    """Returns the settings that the connection lacks, then the begin at the plan's floor."""
    settings = context.group.settings_messages(connection, context.session.settings)
    kind = MessageKind.BEGIN_READ_ONLY if read_only else MessageKind.BEGIN
    return (*settings, InstanceMessage(kind, floor=plan.floor))


def commit_flow(context: CommandContext) -> Flow:
    """Runs COMMIT and releases the transaction's connection.

    Raises RequestError if the transaction was not committed or its outcome is unknown.
    """
    transaction = context.session.transaction
    assert transaction is not None, "the session executor rejects COMMIT outside of a transaction"
    if not transaction.connection:
        yield from _begin(context, transaction)
    message = InstanceMessage(
        MessageKind.STATEMENT, context.command.request_id, context.command.text
    )
    sent_at = context.group.now()
    reply = yield from _commit_exchange(context, transaction, message)
    connection = transaction.connection
    context.record_attempt(
        transaction.instance, f"commit:wrote={transaction.wrote}:{reply.code.value}"
    )
    context.session.end_transaction()
    if reply.state is TransactionState.IDLE:
        yield Release(connection, reusable=True)
    else:
        reusable = yield from _roll_back(connection)
        yield Release(connection, reusable=reusable)
    if not reply.done:
        raise reported_in_transaction(reply)
    if transaction.wrote:
        context.session.raise_floor(reply.position)
        context.group.commit_acknowledged(sent_at, reply.position)
    return CommandResult(reply.rows, reply.signature)


def _commit_exchange(
    context: CommandContext, transaction: OpenTransaction, message: InstanceMessage
) -> Generator[Step, StepResult, Reply]:
    """Sends COMMIT and returns the reply; sends it again only if the instance was busy.

    If the connection is lost, RequestError tells whether the transaction was rolled back, only
    read, or has an unknown outcome.
    """
    for attempt in count(1):
        context.sent_write = transaction.wrote
        context.sent_to = transaction.instance
        try:
            reply = yield from exchange(context, transaction.connection, (message,))
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
        if not may_retry_in_transaction(reply, attempt):
            break
        yield pause_after_busy(context, transaction.instance)
    return reply


def rollback_flow(context: CommandContext) -> Flow:
    """Ends the session's transaction, and rolls it back on the instance if it was opened there."""
    transaction = context.session.transaction
    context.session.end_transaction()
    if transaction is not None and transaction.connection:
        reusable = yield from _roll_back(transaction.connection)
        yield Release(transaction.connection, reusable=reusable)
    return CommandResult()
