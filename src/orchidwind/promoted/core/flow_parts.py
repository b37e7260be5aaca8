"""Steps that the flows of single commands and of transactions have in common. No I/O.

`flows` and `transaction_flows` hold the order of steps; this module holds the context of a command,
the exchange of messages with an instance, and the search for an instance and a connection.
`attempts` decides which answers lead to another attempt, and after which pause. A driver carries
out each step, and throws RequestError or BackendConnectionLost into the flow if the step fails.
"""

from __future__ import annotations

from collections.abc import Generator

from msgspec import Struct, field
from msgspec.structs import replace

from orchidwind.promoted.core.answers import reported
from orchidwind.promoted.core.attempts import (
    RETRY_PAUSE_SECONDS,
    NextAttempt,
    busy_pause,
    next_attempt_after_read,
    next_attempt_after_write,
)
from orchidwind.promoted.core.commands import (
    Command,
    CommandKind,
    InstanceMessage,
    MessageKind,
    Reply,
    ReplyCode,
)
from orchidwind.promoted.core.configuration import DatabaseRoute
from orchidwind.promoted.core.group_state import GroupState
from orchidwind.promoted.core.read_planning import ReadPlan
from orchidwind.promoted.core.session import Session
from orchidwind.promoted.core.steps import (
    Exchange,
    ExchangeResult,
    Pause,
    Release,
    Step,
    StepResult,
    WaitForConnection,
    WaitForPrimary,
    WaitForProof,
    WaitForReadPlan,
)
from orchidwind.promoted.core.topology import PrimaryView
from orchidwind.shared.core.errors import (
    BackendConnectionLost,
    ProofMissing,
)
from orchidwind.shared.core.tenant_connections import NO_TENANT


class CommandContext(Struct):
    """The state of one command across its attempts.

    - `arrived_at`: when the command arrived, in seconds of the monotonic clock.
    - `excluded`: replicas that have failed this command.
    - `sent_write`: whether an exchange in progress may change data.
    - `attempts`: for the log, the basis and the outcome of each attempt.
    - `sent_to`: the instance of the last attempt.
    - `busy_replies`: the number of attempts that were answered BUSY.
    - `tenant`: the caller's tenant, whose server connections the command uses.
    - `in_transaction`: whether the command was part of a transaction when it arrived.
    - `needs_primary`: whether it writes, or its transaction may.
    - `probes`: whether it finds out if its home is able again; its second attempt is accounted for.
    - `rerouted`: whether a home refused the command and another one was asked.
    """

    session: Session
    group: GroupState
    database: DatabaseRoute
    command: Command
    arrived_at: float
    excluded: set[str] = field(default_factory=set)
    sent_write: bool = False
    attempts: list[str] = field(default_factory=list)
    sent_to: str = ""
    busy_replies: int = 0
    tenant: str = NO_TENANT
    in_transaction: bool = False
    needs_primary: bool = False
    probes: bool = False
    rerouted: bool = False

    def record_attempt(self, instance: str, outcome: str) -> None:
        """Records the basis and the outcome of one attempt for the log."""
        self.attempts.append(f"{instance}:{outcome}")


def pause_after_busy(context: CommandContext, instance: str) -> Pause:
    """Marks an instance as busy and returns the pause before the command is sent again."""
    context.group.instance_busy(instance)
    pause = Pause(busy_pause(context.busy_replies))
    context.busy_replies += 1
    return pause


def statement_messages(context: CommandContext, connection: int) -> list[InstanceMessage]:
    """Returns the messages that run the statement of a command on a connection.

    Messages that set missing settings and prepare missing statements come first.
    """
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


def with_floor(messages: list[InstanceMessage], plan: ReadPlan) -> tuple[InstanceMessage, ...]:
    """Returns the messages with the floor of a plan set on the last one."""
    return (*messages[:-1], replace(messages[-1], floor=plan.floor))


def exchange(
    context: CommandContext,
    connection: int,
    messages: tuple[InstanceMessage, ...],
    proof_of_term: int = 0,
) -> Generator[Step, StepResult, Reply]:
    """Sends messages and returns the reply to the last one.

    Raises BackendConnectionLost if an earlier message failed, since the connection is then in an
    unknown state and must be closed, and ProofMissing if a proof of leadership was asked for and
    not obtained.
    """
    result = yield Exchange(connection, messages, proof_of_term)
    assert isinstance(result, ExchangeResult)
    replies = result.replies
    # The settings and prepared statements on the connection have changed even if the reply is
    # discarded below.
    context.group.note_messages(connection, messages)
    if not all(reply.done for reply in replies[:-1]):
        raise BackendConnectionLost(
            "the instance refused a setting or a prepared statement", sent=True
        )
    if proof_of_term:
        if result.led_at is None:
            raise ProofMissing("the instances do not show that the primary still leads")
        context.group.leadership_proven(result.led_at, replies[-1].position)
    return replies[-1]


def read_connection(
    context: CommandContext,
) -> Generator[Step, StepResult, tuple[ReadPlan, int]]:
    """Waits for an instance that may serve a read; returns the plan and a connection to it."""
    while True:
        plan = yield WaitForReadPlan(context.session.floor, frozenset(context.excluded))
        assert isinstance(plan, ReadPlan)
        try:
            connection = yield WaitForConnection(plan.instance)
        except BackendConnectionLost:
            yield from avoid_after_lost_connection(context, plan)
            continue
        assert isinstance(connection, int)
        return plan, connection


def exchange_by_plan(
    context: CommandContext,
    connection: int,
    messages: tuple[InstanceMessage, ...],
    plan: ReadPlan,
    idle_without_proof: bool,
) -> Generator[Step, StepResult, Reply | None]:
    """Sends messages to the instance of a plan and returns the last reply.

    Returns None if another attempt is needed; the connection has then been released.
    `idle_without_proof` tells whether the connection is reusable if the instance answered and only
    the proof of leadership is missing.
    """
    try:
        return (yield from exchange(context, connection, messages, plan.proof_of_term))
    except BackendConnectionLost:
        yield Release(connection, reusable=False)
        yield from avoid_after_lost_connection(context, plan)
    except ProofMissing:
        yield Release(connection, reusable=idle_without_proof)
        yield from wait_for_proof(context)
    return None


def wait_for_proof(context: CommandContext) -> Generator[Step, StepResult, None]:
    """Waits until the instances confirm the primary's term.

    Nothing is sent to a primary whose leadership is in doubt.
    """
    while True:
        yield Pause(RETRY_PAUSE_SECONDS)
        primary = yield WaitForPrimary(leadership_proof=True)
        assert isinstance(primary, PrimaryView)
        context.record_attempt(primary.instance, f"term={primary.term}:lead_not_proven")
        if (yield WaitForProof(primary.term)):
            return


def avoid_after_lost_connection(
    context: CommandContext, plan: ReadPlan
) -> Generator[Step, StepResult, None]:
    """After a lost connection, excludes a replica; pauses if the read needs the primary."""
    context.record_attempt(plan.instance, "connection_lost")
    if plan.proof_of_term:
        yield Pause(RETRY_PAUSE_SECONDS)
    else:
        context.excluded.add(plan.instance)


def prepare_read_retry(
    context: CommandContext, plan: ReadPlan, reply: Reply
) -> Generator[Step, StepResult, None]:
    """Prepares another attempt of a failed read; raises RequestError if there is none."""
    if reply.code is ReplyCode.BEHIND and plan.floor is not None:
        context.group.replica_behind(plan.instance, plan.floor)
    next_attempt = next_attempt_after_read(reply.code)
    if next_attempt is NextAttempt.OTHER_INSTANCE:
        context.excluded.add(plan.instance)
        return
    yield from _pause_before(next_attempt, context, plan.instance, reply)


def primary_connection(
    leadership_proof: bool,
) -> Generator[Step, StepResult, tuple[PrimaryView, int]]:
    """Waits for a primary that confirms commits; returns it and a connection to it."""
    while True:
        primary = yield WaitForPrimary(leadership_proof=leadership_proof, commit=True)
        assert isinstance(primary, PrimaryView)
        try:
            connection = yield WaitForConnection(primary.instance)
        except BackendConnectionLost:
            continue
        assert isinstance(connection, int)
        return primary, connection


def prepare_write_retry(
    context: CommandContext, instance: str, reply: Reply
) -> Generator[Step, StepResult, None]:
    """Prepares another attempt of a write that did not run; raises RequestError if none is due."""
    next_attempt = next_attempt_after_write(reply.code)
    if next_attempt is NextAttempt.NEW_PRIMARY:
        context.group.refused_write(instance)
        return
    yield from _pause_before(next_attempt, context, instance, reply)


def _pause_before(
    next_attempt: NextAttempt, context: CommandContext, instance: str, reply: Reply
) -> Generator[Step, StepResult, None]:
    """Pauses before the next attempt; raises RequestError if the reply allows none."""
    if next_attempt is NextAttempt.AFTER_BUSY_PAUSE:
        yield pause_after_busy(context, instance)
    elif next_attempt is NextAttempt.AFTER_PAUSE:
        yield Pause(RETRY_PAUSE_SECONDS)
    else:
        raise reported(reply)
