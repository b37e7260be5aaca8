"""Carries out the commands of one caller's session, at this proxy or at the group's home.

For: the callers' edge, one object a session. Owns the session's state and the time for which its
transaction may rest. Relies on `command_runner` here, on `peers.forwarding` where another proxy is
the group's home, and on `core.session` for what needs no instance.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from orchidwind.promoted.callers.command_runner import CommandRunner
from orchidwind.promoted.core.answers import transaction_lost
from orchidwind.promoted.core.command_limits import TimeLimits
from orchidwind.promoted.core.commands import (
    Command,
    CommandKind,
    CommandResult,
    TransactionState,
)
from orchidwind.promoted.core.configuration import DatabaseRoute
from orchidwind.promoted.core.flow_parts import CommandContext
from orchidwind.promoted.core.session import OpenTransaction, Session
from orchidwind.promoted.group.group_service import GroupService
from orchidwind.promoted.peers.forwarding import CommandForwarder, Homes
from orchidwind.promoted.quotas.quota_service import Quotas
from orchidwind.shared.core.errors import ANSWERS, ErrorKind, RequestError
from orchidwind.shared.core.tenant_connections import NO_TENANT
from orchidwind.shared.logs import log_event

# So many attempts go into a log line. The last ones tell the outcome.
_LOGGED_ATTEMPTS = 6


class Databases(Protocol):
    """What an executor needs to know of the configuration in force."""

    transaction_idle: float

    @property
    def homes(self) -> Homes:
        """Where the groups' connections are held."""

    @property
    def quotas(self) -> Quotas:
        """How much tenants may ask."""

    def database(self, name: str) -> DatabaseRoute | None:
        """A database as callers name it."""

    def tenant_of(self, database: str, key_digest: bytes) -> str:
        """The tenant that a request belongs to, empty where no key is needed.

        Raises RequestError where the key is held by nobody, or cannot be judged.
        """

    def group(self, name: str) -> GroupService | None:
        """The group of a database."""

    def forwarded(self, outcome: str) -> None:
        """A command that was sent to a home has ended; takes its measurement."""

    def sample_success(self) -> bool:
        """Whether this success is one of those that are logged."""

    def finished(
        self, database: DatabaseRoute, command: Command, error: ErrorKind | None, seconds: float
    ) -> None:
        """A command ended; takes its measurement."""


class SessionExecutor:
    """One session. `execute` is called for one command at a time."""

    def __init__(self, databases: Databases, name: str, key_digest: bytes = b"") -> None:
        self.name = name
        self._key_digest = key_digest
        self.session = Session()
        self._databases = databases
        self._loop = asyncio.get_running_loop()
        self._group: GroupService | None = None
        self._runner = CommandRunner(self.session, databases.quotas)
        self._forwarder = CommandForwarder(self.session, databases.homes)
        self._context: CommandContext | None = None
        self._running = False
        self._rest_timer: asyncio.TimerHandle | None = None

    @property
    def state(self) -> TransactionState:
        """The state that is shown to the caller."""
        return self.session.state

    def caller_left(self) -> None:
        """The caller has gone: nothing more is begun for it."""
        self._runner.caller_gone = True
        self._forwarder.caller_left()

    async def execute(self, command: Command) -> CommandResult:
        """Carry a command out; raises RequestError."""
        arrived_at = self._loop.time()
        self._context = None
        self._running = True
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
            self._note_rest()
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
            tenant=self._context.tenant if self._context is not None else "",
            ran=ANSWERS[kind].ran.value,
            primary=primary.instance if primary else "",
            term=primary.term if primary else 0,
            attempts=self._attempts(),
            sent_to=self._context.sent_to if self._context is not None else "",
            milliseconds=int(seconds * 1000),
        )

    def _database_in_force(self) -> DatabaseRoute | None:
        transaction = self.session.transaction
        if transaction is not None:
            return transaction.database
        return self._databases.database(self.name)

    # --- transactions that rest ---------------------------------------------------------------

    def _expire_transaction(self, now: float) -> None:
        """End a transaction that has rested for longer than is allowed."""
        transaction = self.session.transaction
        if transaction is None:
            return
        if now >= transaction.last_used + self._databases.transaction_idle:
            log_event("transaction_expired", database=self.name, instance=transaction.instance)
            self._fail_transaction()

    def _note_rest(self) -> None:
        """A command has ended: from now on an open transaction rests."""
        self._running = False
        if self.session.transaction is None:
            return
        self.session.transaction.last_used = self._loop.time()
        if self._rest_timer is None:
            idle = self._databases.transaction_idle
            self._rest_timer = self._loop.call_later(idle, self._check_rest)

    def _check_rest(self) -> None:
        """A transaction that rests holds a connection that others may wait for."""
        self._rest_timer = None
        transaction = self.session.transaction
        if transaction is None or self._running:
            return
        now = self._loop.time()
        self._expire_transaction(now)
        if self.session.transaction is not None:
            due = transaction.last_used + self._databases.transaction_idle
            self._rest_timer = self._loop.call_at(due, self._check_rest)

    # --- commands -----------------------------------------------------------------------------

    def _fail_transaction(self) -> None:
        transaction = self.session.transaction
        if transaction is not None and transaction.connection and self._group is not None:
            self._group.release(transaction.connection, False)
        self._forwarder.give_up()
        self.session.fail_transaction()

    async def _execute(
        self, command: Command, database: DatabaseRoute | None, arrived_at: float
    ) -> CommandResult:
        session = self.session
        if command.kind is CommandKind.UNKNOWN:
            raise RequestError(ErrorKind.PROTOCOL_VIOLATION, "the statement is not known")
        if session.failed:
            return self._after_failure(command)
        if database is None:
            raise RequestError(ErrorKind.UNKNOWN_DATABASE, self.name)
        tenant = self._tenant(command, database)
        if command.kind in (CommandKind.BEGIN, CommandKind.BEGIN_READ_ONLY):
            return self._begin(command, database, arrived_at, tenant)
        if session.run_locally(command):
            return CommandResult()
        ends = command.kind in (CommandKind.COMMIT, CommandKind.ROLLBACK)
        if ends and session.transaction is None:
            raise RequestError(ErrorKind.PROTOCOL_VIOLATION, "no transaction is open")
        return await self._run(command, database, arrived_at, tenant)

    def _tenant(self, command: Command, database: DatabaseRoute) -> str:
        """The tenant that a command belongs to; raises RequestError.

        A COMMIT without a valid key is not sent: the transaction is rolled back.
        """
        transaction = self.session.transaction
        if command.kind is CommandKind.ROLLBACK:
            return NO_TENANT if transaction is None else transaction.tenant
        try:
            tenant = self._databases.tenant_of(database.name, self._key_digest)
            if transaction is not None and transaction.tenant != tenant:
                raise transaction_lost()
        except RequestError:
            if command.kind is CommandKind.COMMIT:
                self._fail_transaction()
                self.session.end_transaction()
            raise
        return tenant

    async def _run(
        self, command: Command, database: DatabaseRoute, arrived_at: float, tenant: str
    ) -> CommandResult:
        """Carry out a command that needs an instance, here or at the group's home."""
        group = self._group_of(database)
        context = CommandContext(
            self.session, group.state, database, command, arrived_at, tenant=tenant
        )
        self._context = context
        limits = TimeLimits.for_new_command(database, arrived_at)
        if not self._opened_here and self._forwarder.forwards(database.group, tenant):
            forwarded = await self._forward(context, limits)
            if forwarded is not None:
                return forwarded
            limits = limits.after_lost_home(self._loop.time())
        return await self._runner.run(context, group, limits)

    async def _forward(self, context: CommandContext, limits: TimeLimits) -> CommandResult | None:
        """Have the group's home carry a command out; None where no home is left."""
        outcome = "no_home"
        try:
            result = await self._forwarder.run(context, limits)
            outcome = outcome if result is None else "ok"
            return result
        except RequestError as error:
            outcome = error.kind.value
            raise
        finally:
            self._databases.forwarded(outcome)

    @property
    def _opened_here(self) -> bool:
        """Whether a transaction is open on a connection of this proxy."""
        transaction = self.session.transaction
        return transaction is not None and transaction.connection > 0

    def _group_of(self, database: DatabaseRoute) -> GroupService:
        if self._opened_here:
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
        self, command: Command, database: DatabaseRoute, arrived_at: float, tenant: str
    ) -> CommandResult:
        """The transaction is opened on an instance with its first statement."""
        if self.session.transaction is not None:
            raise RequestError(ErrorKind.PROTOCOL_VIOLATION, "a transaction is open already")
        read_only = command.kind is CommandKind.BEGIN_READ_ONLY
        self.session.transaction = OpenTransaction(
            database, read_only, last_used=arrived_at, tenant=tenant
        )
        return CommandResult()

    def close(self) -> None:
        """The caller is gone: an open transaction is rolled back."""
        if self._rest_timer is not None:
            self._rest_timer.cancel()
        self.caller_left()
        self._fail_transaction()
