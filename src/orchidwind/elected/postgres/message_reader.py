"""Reads a caller's messages.

It also reads while a statement runs, to detect that the caller disconnected. Holds the bytes that
were read but not consumed yet, and at most one pending read of the stream.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tornado.iostream import IOStream

from orchidwind.elected.postgres import wire

# Size limit of one read from the socket.
_READ_CHUNK_BYTES = 64 * 1024
# Reading ahead while a statement runs stops at this size, to limit memory.
_READ_AHEAD_BYTES = 256 * 1024


class MessageReader:
    """Reads the messages of one connection in order."""

    def __init__(
        self, stream: IOStream, is_busy: Callable[[], bool], on_disconnect: Callable[[], None]
    ) -> None:
        """`on_disconnect` is called when a read during a statement detects a disconnect."""
        self._stream = stream
        self._is_busy = is_busy
        self._on_disconnect = on_disconnect
        self._frames = wire.FrameReader()
        self._reading: asyncio.Future[bytes] | None = None

    async def startup_packet(self) -> wire.StartupPacket:
        """Return the next start-up packet; raises StreamClosedError, ProtocolViolation."""
        while (packet := self._frames.startup_packet()) is None:
            await self._fill()
        return packet

    async def message(self) -> tuple[bytes, bytes]:
        """Return the tag and body of the next message.

        Raises StreamClosedError, ProtocolViolation.
        """
        while (message := self._frames.message()) is None:
            await self._fill()
        return message

    def raise_message_limit(self) -> None:
        """Raise the limit on the length of a message; called once the caller has logged in."""
        self._frames.maximum_bytes = wire.MAXIMUM_MESSAGE_BYTES

    def read_while_busy(self) -> None:
        """Keep reading while a statement runs, to detect that the caller disconnected.

        A driver sends Terminate before it closes the connection. Unless those bytes are read, the
        end of the stream behind them is not seen.
        """
        reading = self._reading or self._start_reading()
        reading.add_done_callback(self._on_read_while_busy)

    async def _fill(self) -> None:
        reading = self._reading or self._start_reading()
        data = await reading
        self._reading = None
        self._frames.feed(data)

    def _start_reading(self) -> asyncio.Future[bytes]:
        self._reading = asyncio.ensure_future(
            self._stream.read_bytes(_READ_CHUNK_BYTES, partial=True)
        )
        return self._reading

    def _on_read_while_busy(self, reading: asyncio.Future[bytes]) -> None:
        if reading.cancelled():
            return
        if reading.exception() is not None:
            self._on_disconnect()
        elif self._is_busy() and reading is self._reading:
            self._reading = None
            self._frames.feed(reading.result())
            if self._frames.next_is_terminate:
                self._on_disconnect()
            elif self._frames.buffered_bytes < _READ_AHEAD_BYTES:
                self.read_while_busy()
