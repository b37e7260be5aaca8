"""Cuts a link's byte stream into messages."""

from __future__ import annotations

from tornado.iostream import IOStream

from orchidwind.network import codec

LINK_BUFFER_BYTES = 128 * 1024 * 1024
_READ_BYTES = 256 * 1024


class FrameStream:
    """Cuts the bytes of a link into messages; one read may bring many."""

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def next(self) -> codec.LinkMessage:
        """The next message; raises StreamClosedError at the end, DecodeError for garbage."""
        while True:
            body = self._cut()
            if body is not None:
                return codec.decode_link(body)
            self._buffer += await self._stream.read_bytes(_READ_BYTES, partial=True)

    def _cut(self) -> bytes | None:
        if len(self._buffer) < codec.LENGTH.size:
            return None
        (length,) = codec.LENGTH.unpack_from(self._buffer)
        if length > codec.MAXIMUM_FRAME_BYTES:
            raise codec.DecodeError(f"frame of {length} bytes")
        end = codec.LENGTH.size + length
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[codec.LENGTH.size : end])
        del self._buffer[:end]
        return body
