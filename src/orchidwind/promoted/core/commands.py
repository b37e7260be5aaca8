"""What callers ask of a promoted group, and what an instance replies. No I/O.

What for: the types that flows, drivers and adapters share. The adapters translate the words of the
wire into them and back. Owns: nothing. Relies on: nothing but log positions.
"""

from __future__ import annotations

from enum import Enum, unique

from msgspec import Struct

from orchidwind.shared.core.positions import Position


@unique
class CommandKind(Enum):
    """The statements of a session on a promoted group."""

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

    `request_id` and `text` are passed on unchanged. `name` is the setting's or the prepared
    statement's; `argument` the setting's value, or what follows the prepared name. `writes` and
    `shape` describe a PREPARE.
    """

    request_id: str
    kind: CommandKind
    text: str
    name: str = ""
    argument: str = ""
    writes: bool = False
    shape: str = ""


class PreparedStatement(Struct, frozen=True):
    """What a prepared name stands for. The shared name is the same for all sessions."""

    writes: bool
    shape: str

    @property
    def shared_name(self) -> str:
        """The name on server connections: equal statements share it."""
        return f"{'w' if self.writes else 'r'}_{self.shape}"


@unique
class ReplyCode(Enum):
    """How an instance ended one message.

    BUSY, BEHIND, READ_ONLY and UNKNOWN_STATEMENT say that the statement did not run.
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
    """The state of a session or of a server connection."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Reply(Struct, frozen=True):
    """An instance's whole answer to one message. `position`: the end of its log, None where
    the answer has none."""

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
    """What a proxy may send to an instance."""

    STATEMENT = "statement"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    ROLLBACK = "rollback"
    RESET = "reset"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"


class InstanceMessage(Struct, frozen=True):
    """One message to an instance. Without `request_id` it is the proxy's own.

    `floor` asks the instance to refuse unless its log holds that position.
    """

    kind: MessageKind
    request_id: str = ""
    text: str = ""
    name: str = ""
    prepared: PreparedStatement | None = None
    floor: Position | None = None


@unique
class InstanceRole(Enum):
    """What an instance is within its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class InstanceStatus(Struct, frozen=True):
    """An instance's answer to a status query or a control call.

    `received` is the end of its log. `fence_term` is the term above which it accepts no older
    primary, zero where it is not fenced. `asked_at` is in seconds of the asker's steady clock.
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
        """The highest term that the instance knows of."""
        return max(self.term, self.fence_term)


class CommandResult(Struct, frozen=True):
    """The answer to one command that succeeded."""

    rows: tuple[str, ...] = ()
    signature: str = ""
