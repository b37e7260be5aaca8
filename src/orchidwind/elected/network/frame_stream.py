"""Splits the byte stream of a link into messages."""

from __future__ import annotations

from collections.abc import Callable

from tornado.iostream import IOStream

from orchidwind.elected.network import codec
from orchidwind.shared.avro_records import FrameCutter

# Exceeds the largest message, a row of 64 MB (`postgres/wire.py`).
LINK_BUFFER_BYTES = 128 * 1024 * 1024
# The maximum size of one read from the socket.
_READ_BYTES = 256 * 1024


class FrameStream:
    """Splits the bytes of a link into messages; one read may return several."""

    def __init__(self, stream: IOStream, on_bytes: Callable[[], None] = lambda: None) -> None:
        """`on_bytes` is called whenever bytes arrive, even if no message is complete yet."""
        self._stream = stream
        self._on_bytes = on_bytes
        self._frames = FrameCutter()

    async def next(self) -> codec.LinkMessage:
        """Return the next message.

        Raises StreamClosedError if the link has closed, DecodeError for a malformed message.
        """
        while (body := self._frames.next_body()) is None:
            self._frames.feed(await self._stream.read_bytes(_READ_BYTES, partial=True))
            self._on_bytes()
        return codec.decode_link(body)
