"""Runs the commands of one session on a group of this proxy by driving the flows of the core.

For: `session_executor` (callers of this proxy) and `peers.remote_session` (callers of other
proxies). Owns the connections that a running command holds until its flow releases them. Relies on
`core.flows` for the steps and their order, on `GroupService` to reach the instances, and on
`core.command_limits` for time limits.
"""

from __future__ import annotations

import asyncio
import random

from orchidwind.promoted.core.command_limits import TimeLimits, spread_pause, traffic_class
from orchidwind.promoted.core.commands import CommandKind, CommandResult, MessageKind
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
from orchidwind.promoted.flow_driver import drive
from orchidwind.promoted.group.group_service import GroupService
from orchidwind.promoted.quotas.quota_service import Quotas
from orchidwind.shared.core.errors import BackendConnectionLost, ErrorKind, RequestError
from orchidwind.shared.core.tenant_connections import NO_TENANT


class CommandRunner:
    """Runs the commands of one session, one at a time."""

    def __init__(self, session: Session, quotas: Quotas) -> None:
        self.caller_gone = False
        self._quotas = quotas
        self._session = session
        self._loop = asyncio.get_running_loop()
        self._held: set[int] = set()

    async def run(
        self, context: CommandContext, group: GroupService, limits: TimeLimits
    ) -> CommandResult:
        """Run a command and return its result; raises RequestError."""
        counted = self._counts_against_quota(context)
        if counted:
            await self._quotas.admit_operation(context.tenant, limits.hold_until)
        try:
            return await self._drive(context, group, limits)
        except RequestError:
            if counted and not context.sent_to:
                self._quotas.refund(context.tenant)
            raise

    def _counts_against_quota(self, context: CommandContext) -> bool:
        """Whether a command starts an operation that counts against its tenant's quota.

        An operation is a single statement or a whole transaction. A transaction is counted once, by
        its first command that is sent to an instance.
        """
        if context.tenant == NO_TENANT or context.command.kind is CommandKind.ROLLBACK:
            return False
        transaction = self._session.transaction
        return transaction is None or not transaction.connection

    async def _drive(
        self, context: CommandContext, group: GroupService, limits: TimeLimits
    ) -> CommandResult:
        try:
            return await drive(
                command_flow(context),
                lambda step: self._perform(step, context, group, limits),
                thrown_in=(RequestError, BackendConnectionLost),
            )
        finally:
            self._close_unreleased(group)

    def _close_unreleased(self, group: GroupService) -> None:
        """Close connections that the flow did not release: their state is uncertain."""
        transaction = self._session.transaction
        of_transaction = transaction.connection if transaction is not None else 0
        for connection in self._held - {of_transaction}:
            group.release(connection, False)
        self._held.clear()

    async def _perform(
        self, step: Step, context: CommandContext, group: GroupService, limits: TimeLimits
    ) -> StepResult:
        if self.caller_gone and not _is_cleanup(step):
            raise RequestError(ErrorKind.CANCELLED, "the caller has gone")
        hold_until = limits.hold_until
        if isinstance(step, WaitForPrimary):
            return await group.wait_for_primary(hold_until, step.leadership_proof, step.commit)
        if isinstance(step, WaitForReadPlan):
            return await group.wait_for_read_plan(
                context.database,
                step.session_floor,
                context.arrived_at,
                step.excluded,
                hold_until,
                context.tenant,
            )
        if isinstance(step, WaitForProof):
            return await group.prove_lead(step.term, context.arrived_at, limits.deadline)
        if isinstance(step, WaitForConnection):
            share = traffic_class(context.database)
            connection = await group.wait_for_connection(
                step.instance,
                share,
                hold_until,
                limits.target_at,
                context.tenant,
                self._quotas.weight(context.tenant),
            )
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
        seconds = spread_pause(step.seconds, random.random())
        if self._loop.time() + seconds >= deadline:
            raise RequestError(ErrorKind.OVERLOADED, "the instances refused it until its deadline")
        await asyncio.sleep(seconds)


def _is_cleanup(step: Step) -> bool:
    """Whether a step starts no work for the caller: it only rolls back or releases a connection."""
    if isinstance(step, Exchange):
        return all(message.kind is MessageKind.ROLLBACK for message in step.messages)
    return isinstance(step, Release)
