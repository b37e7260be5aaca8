"""Avro records without a schema in front, and frames: a 4-byte length and a record.

For: the codecs of both halves. Owns the frame; what the records are, `messages.avsc` and the codecs
say. No I/O but the schema's file.
"""

from __future__ import annotations

import json
import struct
from importlib import resources
from io import BytesIO
from typing import Any

import fastavro

LENGTH = struct.Struct("!I")
# The longest frame where a codec names no other bound. A bound of memory for what another
# process may send, above the longest answer that a link carries.
MAXIMUM_FRAME_BYTES = 80 * 1024 * 1024
# What the Avro library raises for bytes that do not fit the schema.
DECODE_FAULTS = (EOFError, ValueError, IndexError, KeyError, TypeError, OverflowError)

Fields = dict[str, Any]


class DecodeError(Exception):
    """Bytes of another process that are no message of the schema."""


def load_schema(union: str) -> Any:
    """One of the unions of `messages.avsc`."""
    text = resources.files("orchidwind.shared").joinpath("messages.avsc").read_text()
    return fastavro.parse_schema(json.loads(text)[union])


def encode_record(schema: Any, name: str, fields: Fields) -> bytes:
    """A record of a union."""
    buffer = BytesIO()
    fastavro.schemaless_writer(buffer, schema, (name, fields))
    return buffer.getvalue()


def encode_frame_record(schema: Any, name: str, fields: Fields) -> bytes:
    """A record of a union, with its length before it."""
    buffer = BytesIO()
    buffer.write(b"\0" * LENGTH.size)
    fastavro.schemaless_writer(buffer, schema, (name, fields))
    data = buffer.getbuffer()
    LENGTH.pack_into(data, 0, len(data) - LENGTH.size)
    return buffer.getvalue()


def read_record(body: bytes, schema: Any) -> tuple[str, Fields]:
    """The name and the fields of a record of a union; raises one of DECODE_FAULTS."""
    record: Any = fastavro.schemaless_reader(
        BytesIO(body), schema, None, return_record_name=True, return_record_name_override=True
    )
    name, fields = record
    return name, fields


class FrameCutter:
    """Cuts a stream of bytes into the bodies of frames."""

    def __init__(self, maximum: int = MAXIMUM_FRAME_BYTES) -> None:
        self._maximum = maximum
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Bytes came."""
        self._buffer += data

    def next_body(self) -> bytes | None:
        """The next whole body, None where more bytes are needed; raises DecodeError."""
        if len(self._buffer) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(self._buffer)
        if length > self._maximum:
            raise DecodeError(f"frame of {length} bytes")
        end = LENGTH.size + length
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[LENGTH.size : end])
        del self._buffer[:end]
        return body
