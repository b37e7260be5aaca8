"""Avro encoding of the messages between proxies; `messages.avsc` is the schema of both kinds.

A frame on a link is a 4-byte length and a record of the `link` union; a datagram is a record of
the `datagram` union alone.
"""

from __future__ import annotations

from typing import Any

import msgspec

from orchidwind.elected.core.member_table import Member, MemberState
from orchidwind.elected.core.membership_messages import (
    Exchange,
    MembershipMessage,
    Probe,
    ProbeAnswer,
    ProbeRequest,
)
from orchidwind.shared.avro_records import (
    DECODE_EXCEPTIONS,
    DecodeError,
    encode_frame_record,
    encode_record,
    load_schema,
    read_record,
)


class Setting(msgspec.Struct, frozen=True):
    """A run-time parameter of a session."""

    name: str
    value: str


class ColumnRecord(msgspec.Struct, frozen=True):
    """One column of a result."""

    name: str
    type_oid: int
    type_size: int
    type_modifier: int
    table_oid: int
    column_number: int


class Hello(msgspec.Struct, frozen=True):
    """The first message on a link: the name of the proxy that opened it."""

    node: str


class Execute(msgspec.Struct, frozen=True):
    """A request to the home of a database. `remaining` is the time to its deadline, in seconds."""

    number: int
    channel: int
    database: str
    kind: str
    sql: str
    simple: bool
    parameter_types: tuple[int, ...]
    parameters: tuple[bytes | None, ...]
    parameter_formats: tuple[int, ...]
    result_format: int
    floor_mode: str
    floor_term: int
    floor_lsn: int
    last_read_instance: str
    class_name: str
    class_weight: float
    class_deadline: float
    class_queue_bound: int
    remaining: float
    in_transaction: bool
    request_id: str
    settings: tuple[Setting, ...]


class ResultColumns(msgspec.Struct, frozen=True):
    """The columns of the rows that follow."""

    number: int
    columns: tuple[ColumnRecord, ...]


class ResultRows(msgspec.Struct, frozen=True):
    """Rows as encoded DataRow messages."""

    number: int
    encoded: bytes
    count: int


class ResultTag(msgspec.Struct, frozen=True):
    """The command tag of a statement that is not the last of a query string."""

    number: int
    tag: str


class Done(msgspec.Struct, frozen=True):
    """A request ended with success.

    If `described` is set, the types and columns are those of a description. If `has_rows` is set,
    the columns and rows are those of a short answer, which is sent in this message.
    """

    number: int
    tag: str
    transaction_status: bytes
    instance: str
    is_replica: bool
    term: int
    lsn: int
    described: bool
    parameter_types: tuple[int, ...]
    columns: tuple[ColumnRecord, ...]
    has_rows: bool = False
    encoded: bytes = b""
    count: int = 0


class Failed(msgspec.Struct, frozen=True):
    """A request ended with an error."""

    number: int
    kind: str
    sqlstate: str
    message: str
    detail: str
    retry_after_milliseconds: int | None
    transaction_status: bytes


class StillRunning(msgspec.Struct, frozen=True):
    """The statement runs past its deadline on a reachable instance: continue to wait."""

    number: int


class Credit(msgspec.Struct, frozen=True):
    """The caller has read `count` more bytes of an answer."""

    number: int
    count: int


class Cancel(msgspec.Struct, frozen=True):
    """Cancel the request that runs on a channel."""

    channel: int


class CloseChannel(msgspec.Struct, frozen=True):
    """The caller of a channel has disconnected."""

    channel: int


class ConfigurationRequest(msgspec.Struct, frozen=True):
    """Asks for the configuration in force if it is newer than `version`, which the sender holds."""

    version: int


class ConfigurationReply(msgspec.Struct, frozen=True):
    """The configuration in force, as JSON."""

    version: int
    content: bytes


class LeaseAsk(msgspec.Struct, frozen=True):
    """A home asks another home to lend it connection slots of a database."""

    database: str
    wanted: int


class LeaseReply(msgspec.Struct, frozen=True):
    """A home lends `slots` connections to each instance for `duration` seconds."""

    database: str
    slots: int
    number: int
    duration: float


class LinkProbe(msgspec.Struct, frozen=True):
    """Sent on a link without received bytes to check that it still works."""


class LinkAlive(msgspec.Struct, frozen=True):
    """The answer to a probe, sent at once whatever statements run."""


LinkMessage = (
    Hello
    | Execute
    | ResultColumns
    | ResultRows
    | ResultTag
    | Done
    | Failed
    | Credit
    | Cancel
    | CloseChannel
    | ConfigurationRequest
    | ConfigurationReply
    | StillRunning
    | LeaseAsk
    | LeaseReply
    | LinkProbe
    | LinkAlive
)
_LINK_TYPES: dict[str, type[LinkMessage]] = {
    kind.__name__: kind
    for kind in (
        Hello,
        Execute,
        ResultColumns,
        ResultRows,
        ResultTag,
        Done,
        Failed,
        Credit,
        Cancel,
        CloseChannel,
        ConfigurationRequest,
        ConfigurationReply,
        StillRunning,
        LeaseAsk,
        LeaseReply,
        LinkProbe,
        LinkAlive,
    )
}
_WITH_RECORDS = (Execute, ResultColumns, Done)
_DATAGRAM_TYPES: dict[str, type[MembershipMessage]] = {
    "ProbeRecord": Probe,
    "ProbeAnswerRecord": ProbeAnswer,
    "ProbeRequestRecord": ProbeRequest,
    "ExchangeRecord": Exchange,
}
_DATAGRAM_NAMES = {kind: name for name, kind in _DATAGRAM_TYPES.items()}
_DATAGRAM_FIELDS = {
    Probe: ("sequence", "on_behalf"),
    ProbeAnswer: ("sequence", "subject"),
    ProbeRequest: ("sequence", "target"),
    Exchange: ("wants_answer",),
}
_MEMBER_FIELDS = ("name", "zone", "host", "peer_port", "gossip_port", "incarnation", "leaving")


_LINK_SCHEMA = load_schema("link")
_DATAGRAM_SCHEMA = load_schema("datagram")


def encode_frame(message: LinkMessage) -> bytes:
    """Return a link message as a frame: its length and its encoding."""
    fields = msgspec.structs.asdict(message)
    if isinstance(message, _WITH_RECORDS):
        _flatten(fields)
    return encode_frame_record(_LINK_SCHEMA, type(message).__name__, fields)


def _flatten(fields: dict[str, Any]) -> None:
    for name in ("columns", "settings"):
        if fields.get(name):
            fields[name] = [msgspec.structs.asdict(item) for item in fields[name]]


def decode_link(body: bytes) -> LinkMessage:
    """Return the message in the body of a frame; raises DecodeError."""
    try:
        name, fields = read_record(body, _LINK_SCHEMA)
        return msgspec.convert(fields, _LINK_TYPES[name], builtin_types=(bytes,))
    except (msgspec.ValidationError, *DECODE_EXCEPTIONS) as error:
        raise DecodeError(str(error)) from error


def encode_datagram(message: MembershipMessage) -> bytes:
    """Return the encoding of a membership message."""
    fields = {name: getattr(message, name) for name in _DATAGRAM_FIELDS[type(message)]}
    fields["sender"] = _member_fields(message.sender)
    fields["configuration_version"] = message.configuration_version
    fields["updates"] = [_member_fields(member) for member in message.updates]
    return encode_record(_DATAGRAM_SCHEMA, _DATAGRAM_NAMES[type(message)], fields)


def _member_fields(member: Member) -> dict[str, Any]:
    fields = {name: getattr(member, name) for name in _MEMBER_FIELDS}
    fields["state"] = int(member.state)
    return fields


def decode_datagram(body: bytes) -> MembershipMessage:
    """Return the membership message in a datagram; raises DecodeError."""
    try:
        name, fields = read_record(body, _DATAGRAM_SCHEMA)
        fields["sender"] = _member(fields["sender"])
        fields["updates"] = tuple(_member(item) for item in fields["updates"])
        return _DATAGRAM_TYPES[name](**fields)
    except DECODE_EXCEPTIONS as error:
        raise DecodeError(str(error)) from error


def _member(fields: dict[str, Any]) -> Member:
    return Member(**{**fields, "state": MemberState(fields["state"])})
