"""Runs the commands of one session on a group of this proxy: drives the flows of the core."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from orchidwind.promoted.callers.flow_driver import drive
from orchidwind.promoted.core.commands import CommandResult, MessageKind
from orchidwind.promoted.core.configuration import DatabaseRoute
from orchidwind.promoted.core.flow_parts import CommandContext
from orchidwind.promoted.core.flows import command_flow
from orchidwind.promoted.core.session import Session
from orchidwind.promoted.core.steps import (
    Exchange,
    Pause,
    Release,
    Step,
    StepResult,
    WaitForConnection,
    WaitForPrimary,
    WaitForProof,
    WaitForReadPlan,
)
from orchidwind.promoted.group.group_service import GroupService
from orchidwind.shared.core.admission import TrafficClass
from orchidwind.shared.core.errors import BackendConnectionLost, ErrorKind, RequestError

_QUEUE_BOUND = 400
_HIGHEST_WEIGHT = 8.0
# Pauses last from half to one and a half times as long as the flow says.
_SHORTEST_PAUSE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class TimeLimits:
    """Until when a command may run, and until when it may wait unsent; steady clock, seconds."""

    deadline: float
    hold_until: float

    def held_anew(self, now: float) -> TimeLimits:
        """For a command that was sent in vain: it may wait for half of what is left, at least."""
        return TimeLimits(self.deadline, max(self.hold_until, (now + self.deadline) / 2))


def traffic_class(database: DatabaseRoute) -> TrafficClass:
    """The class of a database's requests: each step of priority halves the weight."""
    weight = _HIGHEST_WEIGHT / 2**database.priority
    return TrafficClass(
        f"priority-{database.priority}", weight, database.statement_timeout, _QUEUE_BOUND
    )


class CommandRunner:
    """The commands of one session, one at a time."""

    def __init__(self, session: Session) -> None:
        self.caller_gone = False
        self._session = session
        self._loop = asyncio.get_running_loop()
        self._held: set[int] = set()

    async def run(
        self, context: CommandContext, group: GroupService, limits: TimeLimits
    ) -> CommandResult:
        """Carry a command out; raises RequestError."""
        try:
            return await drive(
                command_flow(context),
                lambda step: self._perform(step, context, group, limits),
                thrown_in=(RequestError, BackendConnectionLost),
            )
        finally:
            self._close_leftovers(group)

    def _close_leftovers(self, group: GroupService) -> None:
        """Close connections that the flow left without a word: their state is uncertain."""
        transaction = self._session.transaction
        kept = transaction.connection if transaction is not None else 0
        for connection in self._held - {kept}:
            group.release(connection, False)
        self._held.clear()

    async def _perform(
        self, step: Step, context: CommandContext, group: GroupService, limits: TimeLimits
    ) -> StepResult:
        if self.caller_gone and not _only_ends(step):
            raise RequestError(ErrorKind.CANCELLED, "the caller has gone")
        hold_until = limits.hold_until
        if isinstance(step, WaitForPrimary):
            return await group.wait_for_primary(hold_until, step.lead_proof, step.commit)
        if isinstance(step, WaitForReadPlan):
            return await group.wait_for_read_plan(
                context.database, step.session_floor, context.arrived_at, step.excluded, hold_until
            )
        if isinstance(step, WaitForProof):
            return await group.prove_lead(step.term, limits.deadline)
        if isinstance(step, WaitForConnection):
            wanted = traffic_class(context.database)
            connection = await group.wait_for_connection(step.instance, wanted, hold_until)
            self._held.add(connection)
            return connection
        if isinstance(step, Exchange):
            return await self._exchange(step, context, group, limits.deadline)
        if isinstance(step, Release):
            self._held.discard(step.connection)
            group.release(step.connection, step.reusable)
            return None
        await self._pause(step, limits.deadline)
        return None

    async def _exchange(
        self, step: Exchange, context: CommandContext, group: GroupService, deadline: float
    ) -> StepResult:
        try:
            async with asyncio.timeout_at(deadline):
                return await group.exchange(step, context.sent_write, context.arrived_at)
        except TimeoutError as error:
            raise RequestError(
                ErrorKind.STATEMENT_TIMEOUT, "the statement's time passed"
            ) from error

    async def _pause(self, step: Pause, deadline: float) -> None:
        # Commands that were refused together must not ask together again.
        seconds = step.seconds * (_SHORTEST_PAUSE_SHARE + random.random())
        if self._loop.time() + seconds >= deadline:
            raise RequestError(ErrorKind.OVERLOADED, "the instances refused it until its deadline")
        await asyncio.sleep(seconds)


def _only_ends(step: Step) -> bool:
    """Whether a step only gives back what the session holds."""
    if isinstance(step, Exchange):
        return all(message.kind is MessageKind.ROLLBACK for message in step.messages)
    return isinstance(step, Release)
