"""The message codec of the PostgreSQL protocol.

The codec is `pg_mimic.messages`. It is imported only here, so that it can be replaced in one
place. Source of the formats: PostgreSQL manual, chapter "Frontend/Backend
Protocol", section "Message Formats".
"""

from __future__ import annotations

from dataclasses import dataclass

from pg_mimic import messages as codec
from pg_mimic.types import unpack_int32

from orchidwind.elected.core.statements import (
    TRANSACTION_FAILED,
    TRANSACTION_IDLE,
    TRANSACTION_OPEN,
    Column,
)

__all__ = [
    "TRANSACTION_FAILED",
    "TRANSACTION_IDLE",
    "TRANSACTION_OPEN",
    "Column",
    "FrameReader",
    "ProtocolViolation",
    "StartupPacket",
    "codec",
    "error_response",
    "format_code",
    "row_description",
]

PROTOCOL_VERSION_3 = 196608

_MESSAGE_HEADER_BYTES = 5
_STARTUP_HEADER_BYTES = 8
# PostgreSQL's limits (MAX_STARTUP_PACKET_LENGTH, PG_MAX_AUTH_TOKEN_LENGTH).
MAXIMUM_STARTUP_BYTES = 10_000
MAXIMUM_AUTHENTICATION_BYTES = 65_536
# Limit of one message after the login; limits memory.
MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024


class ProtocolViolation(Exception):
    """The peer sent bytes that violate the protocol."""


@dataclass(frozen=True, slots=True)
class StartupPacket:
    """The untagged first message: its code (protocol version or request code) and its body."""

    code: int
    body: bytes

    def parameters(self) -> dict[str, str]:
        """Decode the start-up parameters; raises ProtocolViolation if the body is malformed."""
        try:
            return codec.parse_startup_message(self.body)
        except (ValueError, IndexError, UnicodeDecodeError) as error:
            raise ProtocolViolation("malformed start-up message") from error


class FrameReader:
    """Splits a byte stream into protocol messages; keeps an incomplete message until its end."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.maximum_bytes = MAXIMUM_AUTHENTICATION_BYTES

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._buffer += data

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes not returned as messages yet."""
        return len(self._buffer)

    @property
    def next_is_terminate(self) -> bool:
        """Whether the next message is Terminate."""
        return self._buffer[:1] == codec.TERMINATE

    def startup_packet(self) -> StartupPacket | None:
        """Return the next untagged message, or None if it is incomplete.

        Raises ProtocolViolation if its length is out of range.
        """
        if len(self._buffer) < _STARTUP_HEADER_BYTES:
            return None
        length = unpack_int32(self._buffer, 0)
        if not _STARTUP_HEADER_BYTES <= length <= MAXIMUM_STARTUP_BYTES:
            raise ProtocolViolation(f"start-up message of {length} bytes")
        if len(self._buffer) < length:
            return None
        code = unpack_int32(self._buffer, 4)
        body = bytes(self._buffer[_STARTUP_HEADER_BYTES:length])
        del self._buffer[:length]
        return StartupPacket(code, body)

    def message(self) -> tuple[bytes, bytes] | None:
        """Return the tag and body of the next message, or None if it is incomplete.

        Raises ProtocolViolation if its length is out of range.
        """
        if len(self._buffer) < _MESSAGE_HEADER_BYTES:
            return None
        length = unpack_int32(self._buffer, 1)
        if not 4 <= length <= self.maximum_bytes:
            raise ProtocolViolation(f"message of {length} bytes")
        if len(self._buffer) < length + 1:
            return None
        tag = bytes(self._buffer[:1])
        body = bytes(self._buffer[_MESSAGE_HEADER_BYTES : length + 1])
        del self._buffer[: length + 1]
        return tag, body


def row_description(columns: tuple[Column, ...], formats: tuple[int, ...]) -> bytes:
    """Encode RowDescription.

    `formats` is empty (all text), or holds one code for all columns or one code per column.
    """
    return codec.make_row_description(
        [
            codec.FieldSpec(
                name=column.name,
                oid=column.type_oid,
                table_oid=column.table_oid,
                column_attnum=column.column_number,
                type_size=column.type_size,
                type_modifier=column.type_modifier,
                format_code=format_code(formats, index),
            )
            for index, column in enumerate(columns)
        ]
    )


def format_code(formats: tuple[int, ...], index: int) -> int:
    """Return the format code of a column or parameter: 0 is text, 1 is binary."""
    if not formats:
        return 0
    return formats[0] if len(formats) == 1 else formats[index]


def error_response(severity: str, sqlstate: str, message: str, detail: str, hint: str) -> bytes:
    """Encode ErrorResponse with severity, SQLSTATE, message and, if not empty, detail and hint."""
    fields = {"S": severity, "V": severity, "C": sqlstate, "M": message or "error"}
    if detail:
        fields["D"] = detail
    if hint:
        fields["H"] = hint
    return codec.make_error_response(fields)
