"""Length-prefixed msgpack messages over TCP, used between stand-ins only."""

from __future__ import annotations

import struct
from typing import TypeVar

import msgspec
from tornado.iostream import IOStream

_LENGTH = struct.Struct("!I")
_MAXIMUM_BYTES = 256 * 1024 * 1024

Message = TypeVar("Message")


def encode(message: object) -> bytes:
    """A message with its length before it."""
    body = msgspec.msgpack.encode(message)
    return _LENGTH.pack(len(body)) + body


async def read(stream: IOStream, decoder: msgspec.msgpack.Decoder[Message]) -> Message:
    """The next message; raises StreamClosedError at the end."""
    (length,) = _LENGTH.unpack(await stream.read_bytes(_LENGTH.size))
    if length > _MAXIMUM_BYTES:
        raise ValueError(f"message of {length} bytes")
    return decoder.decode(await stream.read_bytes(length))
