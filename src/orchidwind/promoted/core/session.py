"""A caller's session on a promoted group: settings, prepared statements, transaction. No I/O.

The session keeps its state independently of the server connections that run its statements; each
connection is brought to this state before it runs one. The session also holds the floor of its own
writes. Flows report the results of commands to it. All errors are RequestError.
"""

from __future__ import annotations

from msgspec import Struct, field

from orchidwind.promoted.core.commands import (
    Command,
    CommandKind,
    PreparedStatement,
    TransactionState,
)
from orchidwind.promoted.core.configuration import DatabaseRoute
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.core.positions import Position
from orchidwind.shared.core.tenant_connections import NO_TENANT

# Maximum numbers of settings and prepared statements of one session. They limit the memory that a
# caller can occupy, and the messages that a connection may need before a statement.
MAXIMUM_SETTINGS = 256
MAXIMUM_PREPARED = 1024


class OpenTransaction(Struct):
    """A transaction of a session.

    `connection` and `instance` are empty until its first statement runs. `database` holds the
    database's settings at the begin of the transaction, `tenant` the caller's tenant. `last_used`
    is in seconds of the monotonic clock.
    """

    database: DatabaseRoute
    read_only: bool
    connection: int = 0
    instance: str = ""
    wrote: bool = False
    last_used: float = 0.0
    tenant: str = NO_TENANT


class Session(Struct):
    """The state that a proxy keeps for one caller connection."""

    settings: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)
    transaction: OpenTransaction | None = None
    failed: bool = False
    floor: Position | None = None

    @property
    def state(self) -> TransactionState:
        """The transaction state that each answer to the caller contains."""
        if self.failed:
            return TransactionState.FAILED
        return TransactionState.IDLE if self.transaction is None else TransactionState.OPEN

    def raise_floor(self, position: Position | None) -> None:
        """Raises the floor to the log position of a write of this session."""
        if position is not None and (self.floor is None or position > self.floor):
            self.floor = position

    def prepared_for(self, command: Command) -> PreparedStatement:
        """Returns the statement that an EXECUTE names; raises RequestError if it is unknown."""
        found = self.prepared.get(command.name)
        if found is None:
            raise RequestError(ErrorKind.UNKNOWN_STATEMENT, command.name)
        return found

    def writes(self, command: Command) -> bool:
        """Whether a command changes data; raises RequestError for an unknown statement name."""
        if command.kind is CommandKind.EXECUTE:
            return self.prepared_for(command).writes
        return command.kind is CommandKind.WRITE

    def needs_primary(self, command: Command) -> bool:
        """Whether a command writes, or belongs to a transaction that may; as `writes`, it raises.

        A transaction that is not read-only runs on the primary from its first statement.
        """
        if self.transaction is not None:
            return not self.transaction.read_only
        return self.writes(command)

    def run_locally(self, command: Command) -> bool:
        """Runs a command that needs no instance; returns False if the command needs one.

        Raises RequestError if the session already has too many settings or prepared statements.
        """
        if command.kind is CommandKind.SET:
            self._set(command)
        elif command.kind is CommandKind.PREPARE:
            self._prepare(command)
        elif command.kind is CommandKind.DEALLOCATE:
            self.prepared.pop(command.name, None)
        else:
            return False
        return True

    def _set(self, command: Command) -> None:
        if command.name not in self.settings and len(self.settings) >= MAXIMUM_SETTINGS:
            raise RequestError(ErrorKind.INVALID_SETTING, "too many settings in one session")
        self.settings[command.name] = command.argument

    def _prepare(self, command: Command) -> None:
        if command.name not in self.prepared and len(self.prepared) >= MAXIMUM_PREPARED:
            raise RequestError(ErrorKind.INVALID_SETTING, "too many prepared statements")
        self.prepared[command.name] = PreparedStatement(command.writes, command.shape)

    def fail_transaction(self) -> None:
        """Marks the transaction as failed; only COMMIT or ROLLBACK is accepted now."""
        if self.transaction is not None:
            self.transaction = None
            self.failed = True

    def end_transaction(self) -> None:
        """Ends the transaction, whether it failed or not."""
        self.transaction = None
        self.failed = False
