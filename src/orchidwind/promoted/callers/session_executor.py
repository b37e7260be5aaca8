"""Runs the commands of one caller's session, at this proxy or at a home proxy of the group.

For: the code that accepts callers, with one executor for each session. Owns the session's state
and the idle timer of its transaction. Relies on `command_runner` to run a command at this proxy, on
`peers.forwarding` to send it to a home proxy, and on `core.session` for commands that need no
instance.
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
from orchidwind.promoted.peers.home_selection import SelectedHome, refusal_by_home
from orchidwind.promoted.quotas.quota_service import Quotas
from orchidwind.shared.core.errors import ANSWERS, ErrorKind, RequestError
from orchidwind.shared.core.tenant_connections import NO_TENANT
from orchidwind.shared.logs import log_event

# How many attempts a log line shows at most. The last ones explain the outcome.
_LOGGED_ATTEMPTS = 6


class SessionServices(Protocol):
    """What a session executor needs of its proxy."""

    transaction_idle: float

    @property
    def home_selection(self) -> Homes:
        """Selects the home proxies of commands."""

    @property
    def quotas(self) -> Quotas:
        """Admits the operations of tenants by their quotas."""

    def database(self, name: str) -> DatabaseRoute | None:
        """The route of a database by the name that callers use; None if it does not exist."""

    def tenant_of(self, database: str, key_digest: bytes) -> str:
        """The tenant that a request belongs to; NO_TENANT for a database that needs no key.

        Raises RequestError if no tenant has the key, or the configuration is too old to tell.
        """

    def group(self, name: str) -> GroupService | None:
        """A group by name; None if it does not exist."""

    def forwarded(self, outcome: str) -> None:
        """Count a command that was forwarded to a home proxy and has ended."""

    def should_log_success(self) -> bool:
        """Count a successful command. Returns whether it is to be logged."""

    def finished(
        self, database: DatabaseRoute, command: Command, error: ErrorKind | None, seconds: float
    ) -> None:
        """Record the metrics of a command that has ended."""


class SessionExecutor:
    """Runs the commands of one session. `execute` is called for one command at a time."""

    def __init__(self, services: SessionServices, name: str, key_digest: bytes = b"") -> None:
        self.name = name
        self._key_digest = key_digest
        self.session = Session()
        self._services = services
        self._loop = asyncio.get_running_loop()
        self._group: GroupService | None = None
        self._runner = CommandRunner(self.session, services.quotas)
        self._forwarder = CommandForwarder(self.session, services.home_selection)
        self._context: CommandContext | None = None
        self._running = False
        self._idle_timer: asyncio.TimerHandle | None = None

    @property
    def state(self) -> TransactionState:
        """The transaction state that is reported to the caller."""
        return self.session.state

    def caller_left(self) -> None:
        """Stop starting work for this session: its caller has disconnected."""
        self._runner.caller_gone = True
        self._forwarder.caller_left()

    async def execute(self, command: Command) -> CommandResult:
        """Run a command and return its result; raises RequestError."""
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
            self._command_ended()
            seconds = self._loop.time() - arrived_at
            if database is not None:
                self._services.finished(database, command, kind, seconds)
            if kind is not None:
                self._log_failure(command, kind, seconds)
            elif self._services.should_log_success():
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
        """A summary of the last attempts for the log: what each was based on and how it ended."""
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
        return self._services.database(self.name)

    # --- Idle transactions --------------------------------------------------------------------

    def _expire_transaction(self, now: float) -> None:
        """Fail the transaction if it has been idle for longer than is allowed."""
        transaction = self.session.transaction
        if transaction is None:
            return
        if now >= transaction.last_used + self._services.transaction_idle:
            log_event("transaction_expired", database=self.name, instance=transaction.instance)
            self._fail_transaction()

    def _command_ended(self) -> None:
        """A command has ended: an open transaction is idle from now on."""
        self._running = False
        if self.session.transaction is None:
            return
        self.session.transaction.last_used = self._loop.time()
        if self._idle_timer is None:
            idle = self._services.transaction_idle
            self._idle_timer = self._loop.call_later(idle, self._check_idle)

    def _check_idle(self) -> None:
        """Fail the transaction if it was idle for too long: others may wait for its connection."""
        self._idle_timer = None
        transaction = self.session.transaction
        if transaction is None or self._running:
            return
        now = self._loop.time()
        self._expire_transaction(now)
        if self.session.transaction is not None:
            due = transaction.last_used + self._services.transaction_idle
            self._idle_timer = self._loop.call_at(due, self._check_idle)

    # --- Commands -----------------------------------------------------------------------------

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
        """The tenant that a command belongs to; raises RequestError if its key is not valid.

        A COMMIT without a valid key is not sent: the transaction is rolled back. A ROLLBACK needs
        no valid key.
        """
        transaction = self.session.transaction
        if command.kind is CommandKind.ROLLBACK:
            return NO_TENANT if transaction is None else transaction.tenant
        try:
            tenant = self._services.tenant_of(database.name, self._key_digest)
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
        """Run a command that needs an instance, at this proxy or at a home proxy of the group."""
        group = self._group_of(database)
        context = CommandContext(
            self.session,
            group.state,
            database,
            command,
            arrived_at,
            tenant=tenant,
            in_transaction=self.session.transaction is not None,
            needs_primary=self.session.needs_primary(command),
        )
        self._context = context
        limits = TimeLimits.for_new_command(database, arrived_at)
        if self._opened_here:
            return await self._runner.run(context, group, limits)
        return await self._run_at_home(context, group, limits)

    async def _run_at_home(
        self, context: CommandContext, group: GroupService, limits: TimeLimits
    ) -> CommandResult:
        """Run a command at its home: this proxy or another one."""
        home = self._forwarder.select(context)
        if home.link is not None:
            outcome = await self._forward(context, limits, home)
            if isinstance(outcome, CommandResult):
                return outcome
            home, limits = outcome, limits.after_lost_home(self._loop.time())
            context.sent_to = ""
        now = self._loop.time()
        try:
            result = await self._runner.run(context, group, home.limits(limits, now))
        except RequestError as refusal:
            return await self._run_elsewhere(context, group, limits, refusal)
        self._services.home_selection.served(context, home.name)
        return result

    async def _run_elsewhere(
        self,
        context: CommandContext,
        group: GroupService,
        limits: TimeLimits,
        refusal: RequestError,
    ) -> CommandResult:
        """Run a command that this proxy, as its home, has refused, at another home.

        Raises the refusal if the command is not tried again.
        """
        selection = self._services.home_selection
        left = limits.deadline - self._loop.time()
        own = selection.own_home().name
        facts = refusal_by_home(context, own, refusal, bool(context.sent_to), left)
        other = selection.second_home(context, facts)
        if other is None or other.link is None:
            raise refusal
        limits = limits.after_lost_home(self._loop.time())
        outcome = await self._forward(context, limits, other)
        if isinstance(outcome, CommandResult):
            return outcome
        raise refusal

    async def _forward(
        self, context: CommandContext, limits: TimeLimits, home: SelectedHome
    ) -> CommandResult | SelectedHome:
        """Have a home proxy of the group run a command; return this proxy if it is to run it."""
        outcome = "no_home"
        try:
            result = await self._forwarder.run(context, limits, home)
            outcome = "ok" if isinstance(result, CommandResult) else outcome
            return result
        except RequestError as error:
            outcome = error.kind.value
            raise
        finally:
            self._services.forwarded(outcome)

    @property
    def _opened_here(self) -> bool:
        """Whether a transaction is open on a server connection of this proxy."""
        transaction = self.session.transaction
        return transaction is not None and transaction.connection > 0

    def _group_of(self, database: DatabaseRoute) -> GroupService:
        if self._opened_here:
            assert self._group is not None
            return self._group
        group = self._services.group(database.group)
        if group is None:
            raise RequestError(ErrorKind.UNKNOWN_DATABASE, self.name)
        self._group = group
        return group

    def _after_failure(self, command: Command) -> CommandResult:
        """Answer a command in a failed transaction: only COMMIT and ROLLBACK are accepted.

        Both roll the transaction back. Raises RequestError, except for a ROLLBACK.
        """
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
        """Begin a transaction. It is opened on an instance only with its first statement."""
        if self.session.transaction is not None:
            raise RequestError(ErrorKind.PROTOCOL_VIOLATION, "a transaction is open already")
        read_only = command.kind is CommandKind.BEGIN_READ_ONLY
        self.session.transaction = OpenTransaction(
            database, read_only, last_used=arrived_at, tenant=tenant
        )
        return CommandResult()

    def close(self) -> None:
        """End the session: its caller has disconnected, and an open transaction is rolled back."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self.caller_left()
        self._fail_transaction()
