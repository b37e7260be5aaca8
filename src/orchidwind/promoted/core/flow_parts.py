"""What the flows on a promoted group have in common: context, exchanges, finding an instance.

What for: `flows` and `transaction_flows` read in the order of their steps; this is what both do.
Which answer leads to another attempt, after which pause, is decided by `attempts`.
Owns: what one command has done so far (`CommandContext`). Relies on: a driver that carries out each
step, and throws RequestError or BackendConnectionLost in where it fails.
"""

from __future__ import annotations

from collections.abc import Generator

from msgspec import Struct, field
from msgspec.structs import replace

from orchidwind.promoted.core.answers import reported
from orchidwind.promoted.core.attempts import (
    RETRY_PAUSE_SECONDS,
    NextAttempt,
    after_read,
    after_write,
    busy_pause,
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
    """What the flows of one command share.

    `arrived_at`: in seconds of the steady clock. `excluded`: replicas that have failed it.
    `sent_write`: an exchange that is under way may change data. `attempts`: what each attempt was
    based on and how it ended, for the log. `sent_to`: the instance of the last attempt.
    `busy_replies`: how many attempts were answered BUSY. `tenant`: its caller's, whose connections
    it runs on.
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

    def note(self, instance: str, what: str) -> None:
        """Keep what one attempt was based on and how it ended, for the log."""
        self.attempts.append(f"{instance}:{what}")


def pause_after_busy(context: CommandContext, instance: str) -> Pause:
    """An instance refused work: the pause before this command asks again."""
    context.group.instance_busy(instance)
    pause = Pause(busy_pause(context.busy_replies))
    context.busy_replies += 1
    return pause


def statement_messages(context: CommandContext, connection: int) -> list[InstanceMessage]:
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


def with_floor(messages: list[InstanceMessage], plan: ReadPlan) -> tuple[InstanceMessage, ...]:
    """The same messages, the last of them at the floor of a plan."""
    return (*messages[:-1], replace(messages[-1], floor=plan.floor))


def exchange(
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


def read_connection(
    context: CommandContext,
) -> Generator[Step, StepResult, tuple[ReadPlan, int]]:
    """An instance that may serve a read, and a connection to it."""
    while True:
        plan = yield WaitForReadPlan(context.session.floor, frozenset(context.excluded))
        assert isinstance(plan, ReadPlan)
        try:
            connection = yield WaitForConnection(plan.instance)
        except BackendConnectionLost:
            yield from leave_instance(context, plan)
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
    """Send as planned; None where another attempt is due, and the connection was given back.

    `idle_without_proof` tells whether the connection is free for others if only the proof of the
    lead is missing.
    """
    try:
        return (yield from exchange(context, connection, messages, plan.proof_of_term))
    except BackendConnectionLost:
        yield Release(connection, reusable=False)
        yield from leave_instance(context, plan)
    except ProofMissing:
        yield Release(connection, reusable=idle_without_proof)
        yield from wait_for_proof(context)
    return None


def wait_for_proof(context: CommandContext) -> Generator[Step, StepResult, None]:
    """Send nothing to a primary of doubtful lead until some replica confirms its term."""
    while True:
        yield Pause(RETRY_PAUSE_SECONDS)
        primary = yield WaitForPrimary(lead_proof=True)
        assert isinstance(primary, PrimaryView)
        context.note(primary.instance, f"term={primary.term}:lead_not_proven")
        if (yield WaitForProof(primary.term)):
            return


def leave_instance(context: CommandContext, plan: ReadPlan) -> Generator[Step, StepResult, None]:
    """A connection broke: try another replica next; the primary has no substitute."""
    context.note(plan.instance, "connection_lost")
    if plan.proof_of_term:
        yield Pause(RETRY_PAUSE_SECONDS)
    else:
        context.excluded.add(plan.instance)


def after_failed_read(
    context: CommandContext, plan: ReadPlan, reply: Reply
) -> Generator[Step, StepResult, None]:
    """Prepare another attempt, or raise what the caller is answered."""
    if reply.code is ReplyCode.BEHIND and plan.floor is not None:
        context.group.replica_behind(plan.instance, plan.floor)
    following = after_read(reply.code)
    if following is NextAttempt.OTHER_INSTANCE:
        context.excluded.add(plan.instance)
        return
    yield from _pause_before(following, context, plan.instance, reply)


def primary_connection(
    lead_proof: bool,
) -> Generator[Step, StepResult, tuple[PrimaryView, int]]:
    """A primary that confirms commits, and a connection to it."""
    while True:
        primary = yield WaitForPrimary(lead_proof=lead_proof, commit=True)
        assert isinstance(primary, PrimaryView)
        try:
            connection = yield WaitForConnection(primary.instance)
        except BackendConnectionLost:
            continue
        assert isinstance(connection, int)
        return primary, connection


def after_refused_write(
    context: CommandContext, instance: str, reply: Reply
) -> Generator[Step, StepResult, None]:
    """Prepare another attempt of a write that did not run, or raise what the caller is answered."""
    following = after_write(reply.code)
    if following is NextAttempt.NEW_PRIMARY:
        context.group.refused_write(instance)
        return
    yield from _pause_before(following, context, instance, reply)


def _pause_before(
    following: NextAttempt, context: CommandContext, instance: str, reply: Reply
) -> Generator[Step, StepResult, None]:
    """The pause before the next attempt; raises RequestError where there is none."""
    if following is NextAttempt.AFTER_BUSY_PAUSE:
        yield pause_after_busy(context, instance)
    elif following is NextAttempt.AFTER_PAUSE:
        yield Pause(RETRY_PAUSE_SECONDS)
    else:
        raise reported(reply)
