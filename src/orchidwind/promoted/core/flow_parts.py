"""What the flows on a promoted group have in common: context, exchanges, finding an instance."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field, replace

from orchidwind.promoted.core.answers import reported
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

BUSY_PAUSE_SECONDS = 0.015
# Up to 0.12 s: a full queue of the first users' instances takes 0.1 to 0.3 s to run empty.
_MOST_BUSY_DOUBLINGS = 3


@dataclass(slots=True)
class CommandContext:
    """What the flows of one command share. Times are in seconds of the steady clock."""

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

    def note(self, instance: str, what: str) -> None:
        """Keep what one attempt was based on and how it ended, for the log."""
        self.attempts.append(f"{instance}:{what}")


def pause_of_busy(context: CommandContext, instance: str) -> Pause:
    """An instance refused work: the pause before this command asks again, longer each time.

    A full instance is not helped by one more attempt each some milliseconds of all that wait.
    """
    context.group.instance_busy(instance)
    seconds = BUSY_PAUSE_SECONDS * 2 ** min(context.busy_replies, _MOST_BUSY_DOUBLINGS)
    context.busy_replies += 1
    return Pause(seconds)


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
        yield Pause(BUSY_PAUSE_SECONDS)
        primary = yield WaitForPrimary(lead_proof=True)
        assert isinstance(primary, PrimaryView)
        context.note(primary.instance, f"term={primary.term}:lead_not_proven")
        if (yield WaitForProof(primary.term)):
            return


def leave_instance(context: CommandContext, plan: ReadPlan) -> Generator[Step, StepResult, None]:
    """A connection broke: try another replica next; the primary has no substitute."""
    context.note(plan.instance, "connection_lost")
    if plan.proof_of_term:
        yield Pause(BUSY_PAUSE_SECONDS)
    else:
        context.excluded.add(plan.instance)


def after_failed_read(
    context: CommandContext, plan: ReadPlan, reply: Reply
) -> Generator[Step, StepResult, None]:
    """Prepare another attempt, or raise what the caller is told."""
    if reply.code is ReplyCode.BEHIND:
        if plan.floor is not None:
            context.group.replica_behind(plan.instance, plan.floor)
        context.excluded.add(plan.instance)
        return
    if reply.code is ReplyCode.BUSY:
        yield pause_of_busy(context, plan.instance)
        return
    if reply.code in (ReplyCode.UNKNOWN_STATEMENT, ReplyCode.READ_ONLY):
        yield Pause(BUSY_PAUSE_SECONDS)
        return
    raise reported(reply)


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
    """Prepare another attempt of a write that did not run, or raise what the caller is told."""
    if reply.code is ReplyCode.READ_ONLY:
        context.group.refused_write(instance)
        return
    if reply.code is ReplyCode.BUSY:
        yield pause_of_busy(context, instance)
        return
    if reply.code in (ReplyCode.UNKNOWN_STATEMENT, ReplyCode.BEHIND):
        yield Pause(BUSY_PAUSE_SECONDS)
        return
    raise reported(reply)
