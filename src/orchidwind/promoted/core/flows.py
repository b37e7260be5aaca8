"""Flows of the commands on a promoted group: the order of their steps, as generators without I/O.

A flow yields a step and receives its result, or an error is thrown into it. The progress of the
flow when the error arrives determines the answer to the caller (`docs/STATEMENTS.md`):

- before the first byte was sent to an instance, nothing has run;
- a write or COMMIT is sent only once; if no answer arrives, its outcome is unknown;
- if a transaction's connection ends before its COMMIT was sent, the instance rolls it back;
- a read changes nothing, so it may run again until the deadline.
"""

from __future__ import annotations

from orchidwind.promoted.core.answers import write_in_doubt
from orchidwind.promoted.core.commands import (
    CommandKind,
    CommandResult,
    TransactionState,
)
from orchidwind.promoted.core.flow_parts import (
    CommandContext,
    exchange,
    exchange_by_plan,
    prepare_read_retry,
    prepare_write_retry,
    primary_connection,
    read_connection,
    statement_messages,
    with_floor,
)
from orchidwind.promoted.core.steps import (
    Flow,
    Release,
)
from orchidwind.promoted.core.transaction_flows import (
    commit_flow,
    rollback_flow,
    transaction_flow,
)
from orchidwind.shared.core.errors import (
    BackendConnectionLost,
)


def command_flow(context: CommandContext) -> Flow:
    """Returns the flow of a command that needs an instance.

    Raises RequestError if an EXECUTE names an unknown prepared statement.
    """
    kind = context.command.kind
    if kind is CommandKind.COMMIT:
        return commit_flow(context)
    if kind is CommandKind.ROLLBACK:
        return rollback_flow(context)
    if context.session.transaction is not None:
        return transaction_flow(context, context.session.transaction)
    if context.session.writes(context.command):
        return _single_write(context)
    return _single_read(context)


def _single_read(context: CommandContext) -> Flow:
    """Runs a read outside of a transaction; it may be sent to several instances in turn."""
    while True:
        plan, connection = yield from read_connection(context)
        messages = with_floor(statement_messages(context, connection), plan)
        context.sent_to = plan.instance
        reply = yield from exchange_by_plan(
            context, connection, messages, plan, idle_without_proof=True
        )
        if reply is None:
            continue
        yield Release(connection, reusable=reply.state is TransactionState.IDLE)
        context.record_attempt(
            plan.instance, f"floor={plan.floor}{plan.grounds}:{reply.code.value}"
        )
        if reply.done:
            return CommandResult(reply.rows, reply.signature)
        yield from prepare_read_retry(context, plan, reply)


def _single_write(context: CommandContext) -> Flow:
    """Runs a write outside of a transaction; it is sent again only if it surely did not run."""
    while True:
        primary, connection = yield from primary_connection(leadership_proof=False)
        messages = tuple(statement_messages(context, connection))
        context.sent_write = True
        context.sent_to = primary.instance
        sent_at = context.group.now()
        try:
            reply = yield from exchange(context, connection, messages)
        except BackendConnectionLost as lost:
            yield Release(connection, reusable=False)
            context.record_attempt(
                primary.instance, f"term={primary.term}:connection_lost:sent={lost.sent}"
            )
            if lost.sent:
                raise write_in_doubt() from lost
            context.sent_write = False
            continue
        yield Release(connection, reusable=reply.state is TransactionState.IDLE)
        context.record_attempt(primary.instance, f"term={primary.term}:{reply.code.value}")
        if reply.done:
            context.session.raise_floor(reply.position)
            context.group.commit_acknowledged(sent_at, reply.position)
            return CommandResult(reply.rows, reply.signature)
        context.sent_write = False
        yield from prepare_write_retry(context, primary.instance, reply)
