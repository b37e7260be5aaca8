"""Statements, requests and outcomes, as they pass between a front proxy and a home proxy.

Owns: only the types. Raw parameter values from callers are passed through without decoding.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from orchidwind.shared.core.admission import TrafficClass
from orchidwind.shared.core.errors import RequestError
from orchidwind.shared.core.positions import ORIGIN, Position

TRANSACTION_IDLE = b"I"
TRANSACTION_OPEN = b"T"
TRANSACTION_FAILED = b"E"


@dataclass(frozen=True, slots=True)
class Column:
    """One column of a result, as in RowDescription."""

    name: str
    type_oid: int
    type_size: int = -1
    type_modifier: int = -1
    table_oid: int = 0
    column_number: int = 0


@dataclass(frozen=True, slots=True)
class Statement:
    """One statement to run.

    `simple` selects the simple query protocol: `sql` may contain several statements, there are no
    parameters, and results are in text format.
    """

    sql: str
    simple: bool = False
    parameter_types: tuple[int, ...] = ()
    parameters: tuple[bytes | None, ...] = ()
    parameter_formats: tuple[int, ...] = ()
    result_format: int = 0


@dataclass(frozen=True, slots=True)
class Description:
    """The types of a statement's parameters and the columns of its result."""

    parameter_types: tuple[int, ...] = ()
    columns: tuple[Column, ...] = ()


@unique
class RequestKind(Enum):
    """What a request asks of the home proxy.

    CONTROL is a COMMIT, ROLLBACK, savepoint or SET LOCAL statement in an open transaction.
    """

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    CONTROL = "control"
    DESCRIBE = "describe"
    TOKEN = "token"


@unique
class FloorMode(Enum):
    """How the session's floor is known.

    KNOWN: the floor covers all that the session wrote and read. QUORUM: the session may have run on
    other proxies, so the home proxy asks a majority of the group.
    """

    KNOWN = "known"
    QUORUM = "quorum"


@dataclass(frozen=True, slots=True)
class Floor:
    """The lowest log position that a read must see.

    `last_read_instance` served the session's last read, whose log position was not requested; a
    read on another instance must first ask that instance for its position.
    """

    mode: FloorMode
    position: Position = ORIGIN
    last_read_instance: str = ""


@dataclass(frozen=True, slots=True)
class ChannelKey:
    """Identifies a session at a home proxy: its front proxy, and a number at that proxy."""

    origin: str
    number: int


@dataclass(frozen=True, slots=True)
class SessionSetting:
    """A run-time parameter set by a session, applied to each server connection that it uses."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class StatementRequest:
    """One request to a home proxy; `expires_at` is in seconds of its monotonic clock.

    `request_id` identifies a named request across repeats; it is empty for an unnamed request.
    """

    number: int
    channel: ChannelKey
    database: str
    kind: RequestKind
    statement: Statement
    floor: Floor
    traffic_class: TrafficClass
    expires_at: float
    in_transaction: bool = False
    request_id: str = ""
    settings: tuple[SessionSetting, ...] = ()


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a request ended.

    `tag` is the last command tag, which the caller gets only with the outcome. `position` is the
    session's new floor if that is higher than its floor so far; `instance` served the request.
    """

    number: int
    error: RequestError | None = None
    tag: str = ""
    transaction_status: bytes = TRANSACTION_IDLE
    instance: str = ""
    is_replica: bool = False
    position: Position = ORIGIN
    description: Description | None = None


@dataclass(slots=True)
class RunResult:
    """An instance's answer to one statement.

    `delivered` tells whether any part of the answer was passed on to the caller.
    """

    tag: str = ""
    transaction_status: bytes = TRANSACTION_IDLE
    error: RequestError | None = None
    first_row: tuple[bytes | None, ...] = ()
    delivered: bool = False
    description: Description | None = None
