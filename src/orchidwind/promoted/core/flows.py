"""The order of steps of each command on a promoted group, as generators without I/O.

A flow yields a step and is sent its result, or has an error thrown in. What a flow has in its
hands when an error reaches it decides what the caller may be answered (`docs/STATEMENTS.md`):

- before the first byte left for an instance, nothing ran;
- a write or COMMIT leaves once; after that, without an answer, its outcome is unknown;
- a transaction whose connection ended before its COMMIT left is rolled back by the instance;
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
    after_failed_read,
    after_refused_write,
    exchange,
    exchange_by_plan,
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
    """The flow of one command that needs an instance."""
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
        context.note(plan.instance, f"floor={plan.floor}:{reply.code.value}")
        if reply.done:
            return CommandResult(reply.rows, reply.signature)
        yield from after_failed_read(context, plan, reply)


def _single_write(context: CommandContext) -> Flow:
    while True:
        primary, connection = yield from primary_connection(lead_proof=False)
        messages = tuple(statement_messages(context, connection))
        context.sent_write = True
        context.sent_to = primary.instance
        sent_at = context.group.now()
        try:
            reply = yield from exchange(context, connection, messages)
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
        yield from after_refused_write(context, primary.instance, reply)
