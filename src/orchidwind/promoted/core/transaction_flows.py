"""Transactions on a promoted group: opened with their first statement, pinned to a connection.

What for: the order of steps of a statement in a transaction, of COMMIT and of ROLLBACK. Whatever
fails ends the transaction: the instance rolls it back, and a COMMIT leaves once.
Owns: nothing; the open transaction is the session's. Relies on: `flow_parts` for what single
commands do, too, and `attempts` for what is sent again.
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
from orchidwind.promoted.core.attempts import again_in_transaction
from orchidwind.promoted.core.commands import (
    CommandResult,
    InstanceMessage,
    MessageKind,
    Reply,
    TransactionState,
)
from orchidwind.promoted.core.flow_parts import (
    CommandContext,
    after_failed_read,
    after_refused_write,
    exchange,
    exchange_by_plan,
    pause_after_busy,
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
    """A statement in a transaction; the first one opens it on an instance."""
    if not transaction.connection:
        yield from _begin(context, transaction)
    if context.session.writes(context.command):
        transaction.wrote = True
    messages = tuple(statement_messages(context, transaction.connection))
    context.sent_to = transaction.instance
    reply = yield from _transaction_exchange(context, transaction, messages)
    context.note(transaction.instance, f"in_transaction:{reply.code.value}")
    if reply.done:
        return CommandResult(reply.rows, reply.signature)
    yield from _abandon(context, transaction)
    raise reported_in_transaction(reply)


def _transaction_exchange(
    context: CommandContext, transaction: OpenTransaction, messages: tuple[InstanceMessage, ...]
) -> Generator[Step, StepResult, Reply]:
    """Run on the transaction's connection; a statement that did not run may be sent again."""
    for attempt in count(1):
        try:
            reply = yield from exchange(context, transaction.connection, messages)
        except (BackendConnectionLost, RequestError) as error:
            yield from _abandon(context, transaction, reusable=False)
            raise transaction_lost() from error
        if not again_in_transaction(reply, attempt):
            break
        messages = messages[-1:]
        yield pause_after_busy(context, transaction.instance)
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
    """Open the transaction on an instance and keep the connection for it.

    Reads of a transaction on the primary must be as fresh as single ones, so its lead is proven.
    """
    try:
        yield from _begin_on_some_instance(context, transaction)
    except RequestError:
        context.session.fail_transaction()
        raise


def _begin_on_some_instance(
    context: CommandContext, transaction: OpenTransaction
) -> Generator[Step, StepResult, None]:
    read_only = transaction.read_only
    while True:
        if read_only:
            plan, connection = yield from read_connection(context)
        else:
            primary, connection = yield from primary_connection(lead_proof=True)
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
            yield from after_failed_read(context, plan, reply)
        else:
            yield from after_refused_write(context, plan.instance, reply)


def _begin_messages(
    context: CommandContext, connection: int, plan: ReadPlan, read_only: bool
) -> tuple[InstanceMessage, ...]:
    settings = context.group.settings_messages(connection, context.session.settings)
    kind = MessageKind.BEGIN_READ_ONLY if read_only else MessageKind.BEGIN
    return (*settings, InstanceMessage(kind, floor=plan.floor))


def commit_flow(context: CommandContext) -> Flow:
    """COMMIT: it leaves once, and the connection is free afterwards."""
    transaction = context.session.transaction
    assert transaction is not None, "the executor refuses an end without a transaction"
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
        raise reported_in_transaction(reply)
    if transaction.wrote:
        context.session.raise_floor(reply.position)
        context.group.commit_acknowledged(sent_at, reply.position)
    return CommandResult(reply.rows, reply.signature)


def _commit_exchange(
    context: CommandContext, transaction: OpenTransaction, message: InstanceMessage
) -> Generator[Step, StepResult, Reply]:
    """Send COMMIT; once more only where the instance said that it did not run."""
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
        if not again_in_transaction(reply, attempt):
            break
        yield pause_after_busy(context, transaction.instance)
    return reply


def rollback_flow(context: CommandContext) -> Flow:
    """ROLLBACK: answered here; passed on where the transaction had begun on an instance."""
    transaction = context.session.transaction
    context.session.end_transaction()
    if transaction is not None and transaction.connection:
        reusable = yield from _roll_back(transaction.connection)
        yield Release(transaction.connection, reusable=reusable)
    return CommandResult()
