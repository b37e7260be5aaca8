"""Cuts a link's byte stream into messages."""

from __future__ import annotations

from collections.abc import Callable

from tornado.iostream import IOStream

from orchidwind.elected.network import codec
from orchidwind.shared.avro_records import FrameCutter

# Above the largest message, a row of 64 MB (`postgres/wire.py`).
LINK_BUFFER_BYTES = 128 * 1024 * 1024
# One read of the socket.
_READ_BYTES = 256 * 1024


class FrameStream:
    """Cuts the bytes of a link into messages; one read may bring many."""

    def __init__(self, stream: IOStream, on_bytes: Callable[[], None] = lambda: None) -> None:
        """`on_bytes` is called as bytes come, also of a message that is not whole yet."""
        self._stream = stream
        self._on_bytes = on_bytes
        self._frames = FrameCutter()

    async def next(self) -> codec.LinkMessage:
        """The next message; raises StreamClosedError at the end, DecodeError for garbage."""
        while (body := self._frames.next_body()) is None:
            self._frames.feed(await self._stream.read_bytes(_READ_BYTES, partial=True))
            self._on_bytes()
        return codec.decode_link(body)
