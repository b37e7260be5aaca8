"""Length-prefixed msgpack messages over TCP, used only between stand-in instances."""

from __future__ import annotations

import struct
from typing import TypeVar

import msgspec
from tornado.iostream import IOStream

_LENGTH = struct.Struct("!I")
_MAXIMUM_BYTES = 256 * 1024 * 1024

Message = TypeVar("Message")


def encode(message: object) -> bytes:
    """Encode a message, preceded by its length."""
    body = msgspec.msgpack.encode(message)
    return _LENGTH.pack(len(body)) + body


async def read(stream: IOStream, decoder: msgspec.msgpack.Decoder[Message]) -> Message:
    """Read the next message.

    Raises StreamClosedError at the end of the stream, ValueError if the message is too long.
    """
    (length,) = _LENGTH.unpack(await stream.read_bytes(_LENGTH.size))
    if length > _MAXIMUM_BYTES:
        raise ValueError(f"message of {length} bytes")
    return decoder.decode(await stream.read_bytes(length))
