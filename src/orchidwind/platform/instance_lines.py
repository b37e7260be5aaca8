"""Encoding of messages to instances and decoding of their replies, in the platform's protocol.

For: `instances`, which owns the connections. Owns the keywords of messages, the codes of replies
and the columns of a status row. No I/O.

Source: the users' page PROTOCOL.md, "The wire".
"""

from __future__ import annotations

from orchidwind.platform.line_format import (
    ENCODING,
    NO_VALUE,
    STATE_LETTERS,
    WireError,
    format_position,
    parse_position,
)
from orchidwind.promoted.core.commands import (
    InstanceMessage,
    InstanceRole,
    InstanceStatus,
    MessageKind,
    PreparedStatement,
    Reply,
    ReplyCode,
)
from orchidwind.shared.core.positions import Position

# The tenant name in the startup of connections that belong to the proxy itself.
_PROXY_TENANT = "orchidwind"


def startup_line(group: str, tenant: str, instance: str) -> bytes:
    """The first line of a connection to one instance of a group.

    An empty `tenant` stands for the proxy itself.
    """
    return f"STARTUP {group} {tenant or _PROXY_TENANT} {instance}\r\n".encode(ENCODING)


def message_line(message: InstanceMessage) -> bytes:
    """Encode a message, with its floor (the lowest log position that it must see) if it has one."""
    text = _message_text(message)
    if message.floor is not None:
        text = f"AFTER {format_position(message.floor)} {text}"
    return f"QUERY {message.request_id or NO_VALUE} {text}\r\n".encode(ENCODING)


def _message_text(message: InstanceMessage) -> str:
    kind = message.kind
    if kind is MessageKind.STATEMENT:
        return message.text
    if kind is MessageKind.BEGIN_READ_ONLY:
        return "BEGIN READ"
    if kind is MessageKind.SET:
        return f"SET {message.name} {message.text}"
    if kind is MessageKind.EXECUTE:
        return f"EXECUTE {message.name} {message.text}"
    if kind is MessageKind.PREPARE:
        return _prepare_text(message.name, message.prepared)
    return kind.name


def _prepare_text(name: str, prepared: PreparedStatement | None) -> str:
    assert prepared is not None
    return f"PREPARE {name} {'WRITE' if prepared.writes else 'READ'} {prepared.shape}"


def status_line() -> bytes:
    """The command that queries the status."""
    return _control_line("STATUS")


def fence_line(term: int) -> bytes:
    """The command that fences an instance against primaries below `term`: PAUSE on the wire."""
    return _control_line(f"PAUSE {term}")


def unfence_line() -> bytes:
    """The command that lifts the fence: RESUME on the wire."""
    return _control_line("RESUME")


def demote_line(term: int) -> bytes:
    """The command that turns a primary of a term below `term` into a replica."""
    return _control_line(f"DEMOTE {term}")


def _control_line(text: str) -> bytes:
    return f"QUERY {NO_VALUE} {text}\r\n".encode(ENCODING)


_REPLY_CODES = {
    "BUSY": ReplyCode.BUSY,
    "LAGGING": ReplyCode.BEHIND,
    "READONLY": ReplyCode.READ_ONLY,
    "NOSTMT": ReplyCode.UNKNOWN_STATEMENT,
    "FAILED": ReplyCode.FAILED,
    "TIMEOUT": ReplyCode.TIMED_OUT,
}
_STATES = {letter: state for state, letter in STATE_LETTERS.items()}


class ReplyReader:
    """Assembles replies from the lines of one instance."""

    def __init__(self) -> None:
        self._rows: list[str] = []
        self._signature = ""
        self._code: ReplyCode | None = None
        self._text = ""

    def feed_line(self, line: str) -> Reply | None:
        """Process a line; return the reply if the line completes one. Raises WireError."""
        word, _, rest = line.partition(" ")
        if word == "DATAROW":
            self._rows.append(rest)
        elif word == "COMPLETE":
            self._code = ReplyCode.DONE
            self._signature = rest
        elif word == "ERROR":
            code, _, _ = rest.partition(" ")
            self._code = _REPLY_CODES.get(code, ReplyCode.REFUSED)
            self._text = rest
        elif word == "READY":
            return self._finish(rest)
        else:
            raise WireError(f"unknown keyword {word!r} from the instance")
        return None

    def _finish(self, rest: str) -> Reply:
        letter, _, position = rest.partition(" ")
        state = _STATES.get(letter)
        if state is None:
            raise WireError(f"unknown transaction state {letter!r}")
        reply = Reply(
            self._code or ReplyCode.DONE,
            tuple(self._rows),
            self._signature,
            self._text,
            state,
            parse_position(position),
        )
        self._rows = []
        self._signature = ""
        self._code = None
        self._text = ""
        return reply


def parse_status(instance: str, row: str) -> InstanceStatus:
    """Decode a status row; raises WireError.

    Columns: role, term, end of the log, fence term, replay delay in milliseconds, and two that are
    not used (running statements, connections).
    """
    columns = row.split(" ")
    try:
        role = InstanceRole(columns[0])
        term = int(columns[1])
        received = parse_position(columns[2]) or Position(term, 0)
        fence_term = int(columns[3])
        replay_delay_ms = int(float(columns[4]))
    except (ValueError, IndexError) as error:
        raise WireError(f"invalid status row: {row!r}") from error
    return InstanceStatus(instance, role, term, received, fence_term, replay_delay_ms)
