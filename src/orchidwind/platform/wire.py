"""The line protocol between callers, proxies and instances, without I/O.

Source: the users' page PROTOCOL.md, "The wire". Text is carried as Latin-1, so that every byte
passes unchanged.
"""

from __future__ import annotations

from dataclasses import dataclass

from orchidwind.promoted.core.commands import (
    Command,
    CommandKind,
    CommandResult,
    InstanceMessage,
    InstanceRole,
    InstanceStatus,
    MessageKind,
    PreparedStatement,
    Reply,
    ReplyCode,
    TransactionState,
)
from orchidwind.shared.core.errors import ErrorKind, OrchidwindError, RequestError
from orchidwind.shared.core.positions import Position

ENCODING = "latin-1"
MAXIMUM_MESSAGE_BYTES = 1024 * 1024
_LINE_END = b"\n"
_CARRIAGE_RETURN = b"\r"
_NO_VALUE = "-"
_OWN_ID = "-"


class WireError(OrchidwindError):
    """A message that is not of this protocol."""


class MessageTooLarge(WireError):
    """A message longer than the limit."""


class LineReader:
    """Cuts a stream of bytes into lines."""

    def __init__(self, maximum_bytes: int = MAXIMUM_MESSAGE_BYTES) -> None:
        self._buffer = bytearray()
        self._searched = 0
        self._maximum = maximum_bytes

    def feed(self, data: bytes) -> None:
        """Take bytes as they came."""
        self._buffer += data

    def next_line(self) -> str | None:
        """The next whole line without its end, None where more bytes are needed.

        Raises WireError for a line that does not end as it must, or is too long.
        """
        end = self._buffer.find(_LINE_END, self._searched)
        if end < 0:
            self._searched = len(self._buffer)
            if len(self._buffer) > self._maximum:
                raise MessageTooLarge("a message is too long")
            return None
        if end > self._maximum:
            raise MessageTooLarge("a message is too long")
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 1]
        self._searched = 0
        if not line.endswith(_CARRIAGE_RETURN):
            raise WireError("a line ends without a carriage return")
        return line[:-1].decode(ENCODING)


# --- callers --------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Startup:
    """A caller names its database."""

    database: str


@dataclass(frozen=True, slots=True)
class Terminate:
    """A caller ends its session."""


CallerMessage = Startup | Command | Terminate


def parse_caller_line(line: str) -> CallerMessage:
    """Read a caller's message; raises WireError."""
    word, _, rest = line.partition(" ")
    if word == "QUERY":
        request_id, separator, text = rest.partition(" ")
        if not request_id or not separator:
            raise WireError("a query without id and text")
        return parse_command(request_id, text)
    if word == "STARTUP":
        database, separator, who = rest.partition(" ")
        if not database or not separator or not who:
            raise WireError("a start without database and user")
        return Startup(database)
    if word == "TERMINATE" and not rest:
        return Terminate()
    raise WireError("an unknown word")


_BARE_TEXTS = {
    "BEGIN": CommandKind.BEGIN,
    "BEGIN READ": CommandKind.BEGIN_READ_ONLY,
    "COMMIT": CommandKind.COMMIT,
    "ROLLBACK": CommandKind.ROLLBACK,
}


def parse_command(request_id: str, text: str) -> Command:
    """Read the text of a query; what is not known becomes CommandKind.UNKNOWN."""
    kind = _BARE_TEXTS.get(text)
    if kind is not None:
        return Command(request_id, kind, text)
    word, _, rest = text.partition(" ")
    first, _, remainder = rest.partition(" ")
    if word == "READ" and rest:
        return Command(request_id, CommandKind.READ, text)
    if word == "WRITE" and first and remainder:
        return Command(request_id, CommandKind.WRITE, text)
    if word == "SET" and first:
        return Command(request_id, CommandKind.SET, text, first, remainder)
    if word == "EXECUTE" and first and remainder:
        return Command(request_id, CommandKind.EXECUTE, text, first, remainder)
    if word == "DEALLOC" and first and not remainder:
        return Command(request_id, CommandKind.DEALLOCATE, text, first)
    if word == "PREPARE":
        access, _, shape = remainder.partition(" ")
        if first and access in ("READ", "WRITE") and shape:
            writes = access == "WRITE"
            return Command(request_id, CommandKind.PREPARE, text, first, writes=writes, shape=shape)
    return Command(request_id, CommandKind.UNKNOWN, text)


_STATES = {
    TransactionState.IDLE: "I",
    TransactionState.OPEN: "T",
    TransactionState.FAILED: "E",
}
_ERROR_CODES: dict[ErrorKind, str] = {
    ErrorKind.OVERLOADED: "BUSY",
    ErrorKind.DEADLINE_PASSED: "BUSY",
    ErrorKind.NO_PRIMARY: "BUSY",
    ErrorKind.NO_REPLICA: "BUSY",
    ErrorKind.NO_HOME: "BUSY",
    ErrorKind.PROXY_STOPPING: "BUSY",
    ErrorKind.TRANSACTION_LOST: "ABORTED",
    ErrorKind.READ_INTERRUPTED: "FAILED",
    ErrorKind.OUTCOME_UNKNOWN: "INDOUBT",
    ErrorKind.CANCELLED: "BUSY",
    ErrorKind.AUTHENTICATION_FAILED: "AUTHFAIL",
    ErrorKind.UNKNOWN_DATABASE: "NODB",
    ErrorKind.NOT_SUPPORTED: "MALFORMED",
    ErrorKind.PROTOCOL_VIOLATION: "MALFORMED",
    ErrorKind.TOO_MANY_CALLERS: "TOOMANYCON",
    ErrorKind.INVALID_SETTING: "MALFORMED",
    ErrorKind.STATEMENT_FAILED: "FAILED",
    ErrorKind.STATEMENT_TIMEOUT: "TIMEOUT",
    ErrorKind.UNKNOWN_STATEMENT: "NOSTMT",
    ErrorKind.MESSAGE_TOO_LARGE: "TOOLARGE",
    ErrorKind.INTERNAL: "FAILED",
}


def ready_line(state: TransactionState) -> bytes:
    """The end of every answer to a caller."""
    return f"READY {_STATES[state]} {_NO_VALUE}\r\n".encode(ENCODING)


def result_lines(result: CommandResult) -> bytes:
    """The rows and the end of a command that succeeded."""
    lines = [f"DATAROW {row}\r\n" for row in result.rows]
    lines.append(f"COMPLETE {result.signature or _NO_VALUE}\r\n")
    return "".join(lines).encode(ENCODING)


def error_line(error: RequestError) -> bytes:
    """An error with its code, and when to come back where a repeat is of use."""
    text = error.kind.value
    if error.retry_after_milliseconds is not None:
        text += f" retry_after_ms={error.retry_after_milliseconds}"
    return f"ERROR {_ERROR_CODES[error.kind]} {text}\r\n".encode(ENCODING)


# --- instances ------------------------------------------------------------------------------------


def startup_line(group: str, instance: str) -> bytes:
    """Open a connection to one named instance of a group."""
    return f"STARTUP {group} orchidwind {instance}\r\n".encode(ENCODING)


def message_line(message: InstanceMessage) -> bytes:
    """One message to an instance."""
    text = _message_text(message)
    if message.floor is not None:
        text = f"AFTER {format_position(message.floor)} {text}"
    return f"QUERY {message.request_id or _OWN_ID} {text}\r\n".encode(ENCODING)


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


def control_line(text: str) -> bytes:
    """A message of the proxy's own: STATUS, PAUSE, RESUME or DEMOTE."""
    return f"QUERY {_OWN_ID} {text}\r\n".encode(ENCODING)


def format_position(position: Position) -> str:
    """TERM.NUMBER."""
    return f"{position.term}.{position.lsn}"


def parse_position(text: str) -> Position | None:
    """Read TERM.NUMBER; None for the sign of no position. Raises WireError."""
    if text == _NO_VALUE:
        return None
    term, _, number = text.partition(".")
    try:
        return Position(int(term), int(number))
    except ValueError as error:
        raise WireError(f"not a position: {text!r}") from error


_REPLY_CODES = {
    "BUSY": ReplyCode.BUSY,
    "LAGGING": ReplyCode.BEHIND,
    "READONLY": ReplyCode.READ_ONLY,
    "NOSTMT": ReplyCode.UNKNOWN_STATEMENT,
    "FAILED": ReplyCode.FAILED,
    "TIMEOUT": ReplyCode.TIMED_OUT,
}
_STATE_LETTERS = {letter: state for state, letter in _STATES.items()}


class ReplyReader:
    """Puts the lines of an instance together to replies."""

    def __init__(self) -> None:
        self._rows: list[str] = []
        self._signature = ""
        self._code: ReplyCode | None = None
        self._text = ""

    def take(self, line: str) -> Reply | None:
        """Take a line; the reply where the line ends one. Raises WireError."""
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
            raise WireError(f"an instance said {word!r}")
        return None

    def _finish(self, rest: str) -> Reply:
        letter, _, position = rest.partition(" ")
        state = _STATE_LETTERS.get(letter)
        if state is None:
            raise WireError(f"an unknown state {letter!r}")
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
    """Read the row of a status: role, term, position, term held, lag, busy, connections."""
    fields = row.split(" ")
    try:
        role = InstanceRole(fields[0])
        term, fence_term, lag = int(fields[1]), int(fields[3]), int(float(fields[4]))
        position = parse_position(fields[2]) or Position(term, 0)
    except (ValueError, IndexError) as error:
        raise WireError(f"not a status: {row!r}") from error
    return InstanceStatus(instance, role, term, position, fence_term, lag)
