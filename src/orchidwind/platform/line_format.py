"""Framing of the platform's line protocol, and values that callers and instances both use.

For: `caller_lines` and `instance_lines`. Owns the size limit of a message and the letters of the
transaction states. No I/O. Text is decoded as Latin-1, so that every byte is passed on unchanged.

Source: the users' page PROTOCOL.md, "The wire".
"""

from __future__ import annotations

from orchidwind.promoted.core.commands import TransactionState
from orchidwind.shared.core.errors import OrchidwindError
from orchidwind.shared.core.positions import Position

ENCODING = "latin-1"
# Size limit of a message of a caller or an instance; defined by the users' page.
MAXIMUM_MESSAGE_BYTES = 1024 * 1024
# Placeholder for a missing value: a position, a signature, the request id of the proxy's messages.
NO_VALUE = "-"
STATE_LETTERS = {
    TransactionState.IDLE: "I",
    TransactionState.OPEN: "T",
    TransactionState.FAILED: "E",
}
_LINE_END = b"\n"
_CARRIAGE_RETURN = b"\r"


class WireError(OrchidwindError):
    """A message that violates the protocol."""


class MessageTooLarge(WireError):
    """A message that exceeds the size limit."""


class LineReader:
    """Splits a stream of bytes into lines."""

    def __init__(self, maximum_bytes: int = MAXIMUM_MESSAGE_BYTES) -> None:
        self._buffer = bytearray()
        self._searched = 0
        self._maximum = maximum_bytes

    def feed(self, data: bytes) -> None:
        """Append bytes that were received."""
        self._buffer += data

    def next_line(self) -> str | None:
        """The next complete line without its CR LF, or None if more bytes are needed.

        Raises WireError for a line without a carriage return, MessageTooLarge for one that is too
        long, even if its end hasn't arrived.
        """
        end = self._buffer.find(_LINE_END, self._searched)
        if end < 0:
            self._searched = len(self._buffer)
            if len(self._buffer) > self._maximum:
                raise MessageTooLarge("the message exceeds the size limit")
            return None
        if end > self._maximum:
            raise MessageTooLarge("the message exceeds the size limit")
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 1]
        self._searched = 0
        if not line.endswith(_CARRIAGE_RETURN):
            raise WireError("line without a carriage return before its line feed")
        return line[:-1].decode(ENCODING)


def format_position(position: Position) -> str:
    """Encode a log position as TERM.NUMBER."""
    return f"{position.term}.{position.lsn}"


def parse_position(text: str) -> Position | None:
    """Decode TERM.NUMBER; return None for the placeholder of a missing value. Raises WireError."""
    if text == NO_VALUE:
        return None
    term, _, number = text.partition(".")
    try:
        return Position(int(term), int(number))
    except ValueError as error:
        raise WireError(f"invalid log position: {text!r}") from error
