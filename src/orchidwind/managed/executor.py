"""Runs the commands of one caller's session: drives the flows of `core.managed.flows`."""

from __future__ import annotations

import asyncio
from typing import Protocol

from orchidwind.core.admission import TrafficClass
from orchidwind.core.errors import (
    ANSWERS,
    BackendConnectionLost,
    ErrorKind,
    RequestError,
)
from orchidwind.core.managed.answers import transaction_lost
from orchidwind.core.managed.commands import (
    Command,
    CommandKind,
    CommandResult,
    MessageKind,
    TransactionState,
)
from orchidwind.core.managed.configuration import ManagedDatabase
from orchidwind.core.managed.flow_parts import CommandContext
from orchidwind.core.managed.flows import command_flow
from orchidwind.core.managed.session import ManagedSession, OpenTransaction
from orchidwind.core.managed.steps import (
    Exchange,
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
from orchidwind.logs import log_event
from orchidwind.managed.driving import drive
from orchidwind.managed.group_service import GroupService

_QUEUE_BOUND = 400
_HIGHEST_WEIGHT = 8.0
_LOGGED_ATTEMPTS = 6
_HOLD_SHARE = 0.5


class Databases(Protocol):
    """What an executor needs to know of the configuration in force."""

    transaction_idle: float

    def database(self, name: str) -> ManagedDatabase | None:
        """A database as callers name it."""

    def group(self, name: str) -> GroupService | None:
        """The group of a database."""

    def sample_success(self) -> bool:
        """Whether this success is one of those that are logged."""

    def finished(
        self, database: ManagedDatabase, command: Command, error: ErrorKind | None, seconds: float
    ) -> None:
        """A command ended; takes its measurement."""


def traffic_class(database: ManagedDatabase) -> TrafficClass:
    """The class of a database's requests: each step of priority halves the weight."""
    weight = _HIGHEST_WEIGHT / 2**database.priority
    return TrafficClass(
        f"priority-{database.priority}", weight, database.statement_timeout, _QUEUE_BOUND
    )


class SessionExecutor:
    """One session. `execute` is called for one command at a time."""

    def __init__(self, databases: Databases, name: str) -> None:
        self.name = name
        self.session = ManagedSession()
        self.caller_gone = False
        self._databases = databases
        self._loop = asyncio.get_running_loop()
        self._group: GroupService | None = None
        self._held: set[int] = set()
        self._context: CommandContext | None = None

    @property
    def state(self) -> TransactionState:
        """The state that the caller is told."""
        return self.session.state

    async def execute(self, command: Command) -> CommandResult:
        """Carry a command out; raises RequestError."""
        arrived_at = self._loop.time()
        self._context = None
        self._expire_transaction(arrived_at)
        database = self._database_in_force()
        kind: ErrorKind | None = None
        try:
            return await self._execute(command, database, arrived_at)
        except RequestError as error:
            kind = error.kind
            self._fail_transaction()
            raise
        finally:
            seconds = self._loop.time() - arrived_at
            if database is not None:
                self._databases.finished(database, command, kind, seconds)
            if kind is not None:
                self._log_failure(command, kind, seconds)
            elif self._databases.sample_success():
                self._log_success(command, seconds)

    def _log_success(self, command: Command, seconds: float) -> None:
        log_event(
            "request_served",
            request_id=command.request_id,
            command=command.kind.value,
            database=self.name,
            attempts=self._attempts(),
            milliseconds=int(seconds * 1000),
        )

    def _attempts(self) -> str:
        """What the command's attempts were based on and how they ended; the last ones."""
        context = self._context
        if context is None:
            return ""
        shown = " ".join(context.attempts[-_LOGGED_ATTEMPTS:])
        return f"{len(context.attempts)}: {shown}" if shown else ""

    def _log_failure(self, command: Command, kind: ErrorKind, seconds: float) -> None:
        group = self._group
        primary = group.topology.primary(self._loop.time()) if group is not None else None
        log_event(
            "request_failed",
            request_id=command.request_id,
            command=command.kind.value,
            database=self.name,
            group=group.settings.name if group is not None else "",
            reason=kind.value,
            ran=ANSWERS[kind].ran.value,
            primary=primary.instance if primary else "",
            term=primary.term if primary else 0,
            attempts=self._attempts(),
            sent_to=self._context.sent_to if self._context is not None else "",
            milliseconds=int(seconds * 1000),
        )

    def _database_in_force(self) -> ManagedDatabase | None:
        transaction = self.session.transaction
        if transaction is not None:
            return transaction.database
        return self._databases.database(self.name)

    def _expire_transaction(self, now: float) -> None:
        transaction = self.session.transaction
        if transaction is None:
            return
        if now - transaction.last_used > self._databases.transaction_idle:
            log_event("transaction_expired", database=self.name)
            self._fail_transaction()
        else:
            transaction.last_used = now

    def _fail_transaction(self) -> None:
        transaction = self.session.transaction
        if transaction is not None and transaction.connection and self._group is not None:
            self._group.release(transaction.connection, False)
        self.session.fail_transaction()

    async def _execute(
        self, command: Command, database: ManagedDatabase | None, arrived_at: float
    ) -> CommandResult:
        session = self.session
        if command.kind is CommandKind.UNKNOWN:
            raise RequestError(ErrorKind.PROTOCOL_VIOLATION, "the statement is not known")
        if session.failed:
            return self._after_failure(command)
        if database is None:
            raise RequestError(ErrorKind.UNKNOWN_DATABASE, self.name)
        if command.kind in (CommandKind.BEGIN, CommandKind.BEGIN_READ_ONLY):
            return self._begin(command, database, arrived_at)
        if session.answer_locally(command):
            return CommandResult()
        ends = command.kind in (CommandKind.COMMIT, CommandKind.ROLLBACK)
        if ends and session.transaction is None:
            raise RequestError(ErrorKind.PROTOCOL_VIOLATION, "no transaction is open")
        group = self._group_of(database)
        deadline = arrived_at + database.statement_timeout
        context = CommandContext(session, group.state, database, command, arrived_at)
        self._context = context
        return await self._drive(command_flow(context), context, group, deadline)

    def _group_of(self, database: ManagedDatabase) -> GroupService:
        if self.session.transaction is not None and self.session.transaction.connection:
            assert self._group is not None
            return self._group
        group = self._databases.group(database.group)
        if group is None:
            raise RequestError(ErrorKind.UNKNOWN_DATABASE, self.name)
        self._group = group
        return group

    def _after_failure(self, command: Command) -> CommandResult:
        """In a failed transaction only its end is taken; both ends roll back."""
        if command.kind is CommandKind.ROLLBACK:
            self.session.end_transaction()
            return CommandResult()
        if command.kind is CommandKind.COMMIT:
            self.session.end_transaction()
            raise transaction_lost()
        raise RequestError(ErrorKind.PROTOCOL_VIOLATION, "the transaction has failed")

    def _begin(
        self, command: Command, database: ManagedDatabase, arrived_at: float
    ) -> CommandResult:
        """The transaction is opened on an instance with its first statement."""
        if self.session.transaction is not None:
            raise RequestError(ErrorKind.PROTOCOL_VIOLATION, "a transaction is open already")
        read_only = command.kind is CommandKind.BEGIN_READ_ONLY
        self.session.transaction = OpenTransaction(database, read_only, last_used=arrived_at)
        return CommandResult()

    # --- flows --------------------------------------------------------------------------------

    async def _drive(
        self, flow: Flow, context: CommandContext, group: GroupService, deadline: float
    ) -> CommandResult:
        try:
            return await drive(
                flow,
                lambda step: self._perform(step, context, group, deadline),
                thrown_in=(RequestError, BackendConnectionLost),
            )
        finally:
            self._close_leftovers(group)

    def _close_leftovers(self, group: GroupService) -> None:
        """Close connections that the flow left without a word: their state is uncertain."""
        transaction = self.session.transaction
        kept = transaction.connection if transaction is not None else 0
        for connection in self._held - {kept}:
            group.release(connection, False)
        self._held.clear()

    async def _perform(
        self, step: Step, context: CommandContext, group: GroupService, deadline: float
    ) -> StepResult:
        if self.caller_gone and not _only_ends(step):
            raise RequestError(ErrorKind.CANCELLED, "the caller has gone")
        hold_until = self._hold_until(context, deadline)
        if isinstance(step, NeedPrimary):
            return await group.need_primary(hold_until)
        if isinstance(step, NeedReadPlan):
            return await group.need_read_plan(
                context.database, step.session_floor, context.arrived_at, step.excluded, hold_until
            )
        if isinstance(step, NeedProof):
            return await group.prove_lead(step.term, deadline)
        if isinstance(step, NeedConnection):
            wanted = traffic_class(context.database)
            connection = await group.need_connection(step.instance, wanted, hold_until)
            self._held.add(connection)
            return connection
        if isinstance(step, Exchange):
            return await self._exchange(step, context, group, deadline)
        if isinstance(step, Release):
            self._held.discard(step.connection)
            group.release(step.connection, step.reusable)
            return None
        await self._pause(step, deadline)
        return None

    def _hold_until(self, context: CommandContext, deadline: float) -> float:
        """How long a command may wait without being sent: its caller may come back elsewhere."""
        held = context.database.statement_timeout * _HOLD_SHARE
        return min(deadline, context.arrived_at + held)

    async def _exchange(
        self, step: Exchange, context: CommandContext, group: GroupService, deadline: float
    ) -> StepResult:
        try:
            async with asyncio.timeout_at(deadline):
                return await group.exchange(
                    step.connection,
                    step.messages,
                    step.proof_of_term,
                    context.sent_write,
                    context.arrived_at,
                )
        except TimeoutError as error:
            raise RequestError(
                ErrorKind.STATEMENT_TIMEOUT, "the statement's time passed"
            ) from error

    async def _pause(self, step: Pause, deadline: float) -> None:
        if self._loop.time() + step.seconds >= deadline:
            raise RequestError(ErrorKind.OVERLOADED, "the instances refused it until its deadline")
        await asyncio.sleep(step.seconds)

    def close(self) -> None:
        """The caller is gone: an open transaction is rolled back."""
        self._fail_transaction()


def _only_ends(step: Step) -> bool:
    """Whether a step only gives back what the session holds."""
    if isinstance(step, Exchange):
        return all(message.kind is MessageKind.ROLLBACK for message in step.messages)
    return isinstance(step, Release)
