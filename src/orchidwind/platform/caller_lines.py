"""Decoding of callers' messages and encoding of answers, in the platform's line protocol. No I/O.

For: `callers`, which owns the connections. Owns the keywords of commands and the codes of errors.

Source: the users' page PROTOCOL.md, "The wire".
"""

from __future__ import annotations

from msgspec import Struct

from orchidwind.platform.line_format import ENCODING, NO_VALUE, STATE_LETTERS, WireError
from orchidwind.promoted.core.commands import (
    Command,
    CommandKind,
    CommandResult,
    TransactionState,
)
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.core.tenants import key_digest


class Startup(Struct, frozen=True):
    """The first message: the database, and the digest of the API key given as the user name."""

    database: str
    key_digest: bytes


class Terminate(Struct, frozen=True):
    """The caller ends its session."""


CallerMessage = Startup | Command | Terminate


def parse_caller_line(line: str) -> CallerMessage:
    """Decode a message of a caller; raises WireError."""
    word, _, rest = line.partition(" ")
    if word == "QUERY":
        return _query(rest)
    if word == "STARTUP":
        return _startup(rest)
    if word == "TERMINATE" and not rest:
        return Terminate()
    raise WireError("unknown keyword")


def _query(rest: str) -> Command:
    request_id, separator, text = rest.partition(" ")
    if not request_id or not separator:
        raise WireError("QUERY without request id and text")
    return parse_command(request_id, text)


def _startup(rest: str) -> Startup:
    database, separator, user = rest.partition(" ")
    if not database or not separator or not user:
        raise WireError("STARTUP without database and user")
    return Startup(database, key_digest(user))


_FIXED_COMMANDS = {
    "BEGIN": CommandKind.BEGIN,
    "BEGIN READ": CommandKind.BEGIN_READ_ONLY,
    "COMMIT": CommandKind.COMMIT,
    "ROLLBACK": CommandKind.ROLLBACK,
}


def parse_command(request_id: str, text: str) -> Command:
    """Decode the text of a query; unsupported text becomes CommandKind.UNKNOWN."""
    kind = _FIXED_COMMANDS.get(text)
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
    ErrorKind.CONFIGURATION_TOO_OLD: "BUSY",
    ErrorKind.QUOTA_EXCEEDED: "BUSY",
    ErrorKind.QUOTA_UNAVAILABLE: "BUSY",
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
    """The line that ends every answer to a caller, with the transaction state."""
    return f"READY {STATE_LETTERS[state]} {NO_VALUE}\r\n".encode(ENCODING)


def result_lines(result: CommandResult) -> bytes:
    """The rows of a successful command and the line that completes it."""
    lines = [f"DATAROW {row}\r\n" for row in result.rows]
    lines.append(f"COMPLETE {result.signature or NO_VALUE}\r\n")
    return "".join(lines).encode(ENCODING)


def error_line(error: RequestError) -> bytes:
    """An error with its code and, if a retry makes sense, the delay before it."""
    text = error.kind.value
    if error.retry_after_milliseconds is not None:
        text += f" retry_after_ms={error.retry_after_milliseconds}"
    return f"ERROR {_ERROR_CODES[error.kind]} {text}\r\n".encode(ENCODING)
