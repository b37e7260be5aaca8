"""Commands of callers, messages to instances, and their replies. No I/O.

These are the types that flows, drivers and adapters of promoted groups share. The adapters
translate them to and from the wire protocols.
"""

from __future__ import annotations

from enum import Enum, unique

from msgspec import Struct

from orchidwind.shared.core.positions import Position


@unique
class CommandKind(Enum):
    """The kinds of statements in a session on a promoted group."""

    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"
    UNKNOWN = "unknown"


class Command(Struct, frozen=True):
    """One statement of a caller.

    `request_id` and `text` are sent to the instance unchanged. `name` is the name of the setting or
    of the prepared statement. `argument` is the value of the setting, or the text after the name of
    the prepared statement. `writes` and `shape` describe the statement of a PREPARE.
    """

    request_id: str
    kind: CommandKind
    text: str
    name: str = ""
    argument: str = ""
    writes: bool = False
    shape: str = ""


class PreparedStatement(Struct, frozen=True):
    """A prepared statement; equal ones have the same shared name in all sessions."""

    writes: bool
    shape: str

    @property
    def shared_name(self) -> str:
        """The name of the statement on server connections, which sessions share."""
        return f"{'w' if self.writes else 'r'}_{self.shape}"


@unique
class ReplyCode(Enum):
    """The outcome of one message to an instance.

    BUSY, BEHIND, READ_ONLY and UNKNOWN_STATEMENT mean that the statement did not run.
    """

    DONE = "done"
    BUSY = "busy"
    BEHIND = "behind"
    READ_ONLY = "read_only"
    UNKNOWN_STATEMENT = "unknown_statement"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    REFUSED = "refused"


@unique
class TransactionState(Enum):
    """The transaction state of a session or of a server connection."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Reply(Struct, frozen=True):
    """The complete answer of an instance to one message.

    `position` is the end of the instance's log, None if the answer does not contain it.
    """

    code: ReplyCode
    rows: tuple[str, ...] = ()
    signature: str = ""
    text: str = ""
    state: TransactionState = TransactionState.IDLE
    position: Position | None = None

    @property
    def done(self) -> bool:
        """Whether the statement succeeded."""
        return self.code is ReplyCode.DONE


@unique
class MessageKind(Enum):
    """The kinds of messages that a proxy sends to an instance."""

    STATEMENT = "statement"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    ROLLBACK = "rollback"
    RESET = "reset"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"


class InstanceMessage(Struct, frozen=True):
    """One message to an instance; `request_id` is empty for messages that the proxy adds itself.

    If `floor` is set, the instance refuses the message unless its log has reached that position.
    """

    kind: MessageKind
    request_id: str = ""
    text: str = ""
    name: str = ""
    prepared: PreparedStatement | None = None
    floor: Position | None = None


@unique
class InstanceRole(Enum):
    """The role of an instance within its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class InstanceStatus(Struct, frozen=True):
    """An instance's answer to a status query or a control call.

    `received` is the end of its log. An instance with a `fence_term` accepts no log from a primary
    of a lower term; 0 means that it is not fenced. `asked_at` is when the query was sent, in
    seconds of this proxy's monotonic clock.
    """

    instance: str
    role: InstanceRole
    term: int
    received: Position
    fence_term: int
    replay_delay_ms: int
    asked_at: float = 0.0

    @property
    def newest_term(self) -> int:
        """The highest term that the instance knows."""
        return max(self.term, self.fence_term)


class CommandResult(Struct, frozen=True):
    """The result of a command that succeeded."""

    rows: tuple[str, ...] = ()
    signature: str = ""
