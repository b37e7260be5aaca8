"""Statements, requests and outcomes, as they pass between a caller's proxy and a home proxy.

Owns: the types alone. Relies on: the callers' edge for raw values, which pass through unread.
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

    `simple` marks the simple query protocol: several statements may stand in `sql`, there are no
    parameters, and results are text.
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
    """What a request asks of the home proxy. CONTROL ends or marks an open transaction."""

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

    KNOWN: `floor` is all the session wrote and read. QUORUM: the session may have run elsewhere,
    so the home asks a majority of the group.
    """

    KNOWN = "known"
    QUORUM = "quorum"


@dataclass(frozen=True, slots=True)
class Floor:
    """The least position that a read must see.

    `last_read_instance` served the session's last read; its position then was not asked for, so a
    read elsewhere first asks that instance.
    """

    mode: FloorMode
    position: Position = ORIGIN
    last_read_instance: str = ""


@dataclass(frozen=True, slots=True)
class ChannelKey:
    """One caller's session as a home sees it: the proxy it comes through, and a number there."""

    origin: str
    number: int


@dataclass(frozen=True, slots=True)
class SessionSetting:
    """A run-time parameter that the session set, replayed on each server connection it uses."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class StatementRequest:
    """One request to a home. `expires_at` is in seconds of the home's monotonic clock.

    `request_id` names the request across repeats; empty where the caller did not name it.
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

    `tag` is the last command tag, sent to the caller only now. `position` is what the session's
    floor rises to; `instance` served it.
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
    """What a back end answered to one statement.

    `delivered` tells whether any part of the answer went on to the caller.
    """

    tag: str = ""
    transaction_status: bytes = TRANSACTION_IDLE
    error: RequestError | None = None
    first_row: tuple[bytes | None, ...] = ()
    delivered: bool = False
    description: Description | None = None
