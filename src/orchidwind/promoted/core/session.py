"""One caller's session on a promoted group: settings, prepared statements, transaction. No I/O.

What for: a session keeps its promises on whatever connection its statements run; this is what each
connection is brought to. Owns: the session's state, with the floor of its own writes. Relies on:
flows that report what ran; errors are RequestError.
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

# Settings and prepared statements of one session at most. Bounds what a caller makes a
# proxy hold, and what a connection may have to be brought to before a statement.
MAXIMUM_SETTINGS = 256
MAXIMUM_PREPARED = 1024


class OpenTransaction(Struct):
    """A transaction of a session.

    `connection` and `instance` are empty until its first statement runs. `database` holds the
    rules in force when it began, `tenant` is its caller's. `last_used` is in seconds of the steady
    clock.
    """

    database: DatabaseRoute
    read_only: bool
    connection: int = 0
    instance: str = ""
    wrote: bool = False
    last_used: float = 0.0
    tenant: str = NO_TENANT


class Session(Struct):
    """What a proxy remembers of one connection of a caller."""

    settings: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)
    transaction: OpenTransaction | None = None
    failed: bool = False
    floor: Position | None = None

    @property
    def state(self) -> TransactionState:
        """The state that each answer to the caller names."""
        if self.failed:
            return TransactionState.FAILED
        return TransactionState.IDLE if self.transaction is None else TransactionState.OPEN

    def raise_floor(self, position: Position | None) -> None:
        """The session wrote up to a position."""
        if position is not None and (self.floor is None or position > self.floor):
            self.floor = position

    def prepared_for(self, command: Command) -> PreparedStatement:
        """What an EXECUTE names; raises RequestError where the name is unknown."""
        found = self.prepared.get(command.name)
        if found is None:
            raise RequestError(ErrorKind.UNKNOWN_STATEMENT, command.name)
        return found

    def writes(self, command: Command) -> bool:
        """Whether a command changes data."""
        if command.kind is CommandKind.EXECUTE:
            return self.prepared_for(command).writes
        return command.kind is CommandKind.WRITE

    def answer_locally(self, command: Command) -> bool:
        """Carry out what needs no instance; returns whether the command was of that kind."""
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
        """An error ended the transaction; only its end is taken now."""
        if self.transaction is not None:
            self.transaction = None
            self.failed = True

    def end_transaction(self) -> None:
        """The transaction is over."""
        self.transaction = None
        self.failed = False
