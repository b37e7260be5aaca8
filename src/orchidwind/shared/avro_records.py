"""Encodes and decodes Avro records without an embedded schema, and length-prefixed frames of them.

Used by the codecs of all proxies. A frame is a 4-byte length followed by one record. The schemas
are in `messages.avsc`; the codecs define what each record means. No I/O except reading the schema
file.
"""

from __future__ import annotations

import json
import struct
from importlib import resources
from io import BytesIO
from typing import Any

import fastavro

LENGTH = struct.Struct("!I")
# Maximum frame length unless a codec sets another. It limits the memory that another process can
# make this one use, and is above the longest answer that a link carries.
MAXIMUM_FRAME_BYTES = 80 * 1024 * 1024
# Exceptions that the Avro library raises for bytes that do not match the schema.
DECODE_EXCEPTIONS = (EOFError, ValueError, IndexError, KeyError, TypeError, OverflowError)

Fields = dict[str, Any]


class DecodeError(Exception):
    """Bytes received from another process are not a valid message of the schema."""


def load_schema(union: str) -> Any:
    """Load one of the named unions of `messages.avsc`."""
    text = resources.files("orchidwind.shared").joinpath("messages.avsc").read_text()
    return fastavro.parse_schema(json.loads(text)[union])


def encode_record(schema: Any, name: str, fields: Fields) -> bytes:
    """Encode a record of a union."""
    buffer = BytesIO()
    fastavro.schemaless_writer(buffer, schema, (name, fields))
    return buffer.getvalue()


def encode_frame_record(schema: Any, name: str, fields: Fields) -> bytes:
    """Encode a record of a union as a frame, with its length in front."""
    buffer = BytesIO()
    buffer.write(b"\0" * LENGTH.size)
    fastavro.schemaless_writer(buffer, schema, (name, fields))
    data = buffer.getbuffer()
    LENGTH.pack_into(data, 0, len(data) - LENGTH.size)
    return buffer.getvalue()


def read_record(body: bytes, schema: Any) -> tuple[str, Fields]:
    """Decode a record of a union to its name and fields; raises one of DECODE_EXCEPTIONS."""
    record: Any = fastavro.schemaless_reader(
        BytesIO(body), schema, None, return_record_name=True, return_record_name_override=True
    )
    name, fields = record
    return name, fields


class FrameCutter:
    """Splits a byte stream into frames and yields their bodies."""

    def __init__(self, maximum: int = MAXIMUM_FRAME_BYTES) -> None:
        self._maximum = maximum
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._buffer += data

    def next_body(self) -> bytes | None:
        """Return the next complete frame body, or None if more bytes are needed.

        Raises DecodeError if the frame is longer than the maximum.
        """
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
