"""Lines, the frames of the platform's protocol, and the values that both of its directions share.

For: `caller_lines` and `instance_lines`. Owns the limit of a message and the letters of the states.
No I/O. Text is carried as Latin-1, so that every byte passes unchanged.

Source: the users' page PROTOCOL.md, "The wire".
"""

from __future__ import annotations

from orchidwind.promoted.core.commands import TransactionState
from orchidwind.shared.core.errors import OrchidwindError
from orchidwind.shared.core.positions import Position

ENCODING = "latin-1"
# The longest message of a caller or an instance, bytes; the users' page sets it.
MAXIMUM_MESSAGE_BYTES = 1024 * 1024
# Stands for a value that is not there: a position, a signature, the id of the proxy's own messages.
NO_VALUE = "-"
STATE_LETTERS = {
    TransactionState.IDLE: "I",
    TransactionState.OPEN: "T",
    TransactionState.FAILED: "E",
}
_LINE_END = b"\n"
_CARRIAGE_RETURN = b"\r"


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


def format_position(position: Position) -> str:
    """TERM.NUMBER."""
    return f"{position.term}.{position.lsn}"


def parse_position(text: str) -> Position | None:
    """Read TERM.NUMBER; None for the sign of no position. Raises WireError."""
    if text == NO_VALUE:
        return None
    term, _, number = text.partition(".")
    try:
        return Position(int(term), int(number))
    except ValueError as error:
        raise WireError(f"not a position: {text!r}") from error
