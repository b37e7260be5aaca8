"""Reads a caller's messages, also while its statement runs, to notice a caller that goes.

Owns the bytes that were read and not yet taken, and the one read of the stream that may be under
way.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tornado.iostream import IOStream

from orchidwind.elected.postgres import wire

# One read of the socket.
_READ_BYTES = 64 * 1024
# Read while a statement runs, to notice a caller that goes; bounds memory.
_READ_AHEAD_BYTES = 256 * 1024


class MessageReader:
    """The messages of one connection, in order."""

    def __init__(
        self, stream: IOStream, is_busy: Callable[[], bool], on_gone: Callable[[], None]
    ) -> None:
        """`on_gone` is called where the caller goes while `is_busy`."""
        self._stream = stream
        self._is_busy = is_busy
        self._on_gone = on_gone
        self._frames = wire.FrameReader()
        self._reading: asyncio.Future[bytes] | None = None

    async def startup_packet(self) -> wire.StartupPacket:
        """The next packet before the login; raises StreamClosedError, ProtocolViolation."""
        while (packet := self._frames.startup_packet()) is None:
            await self._fill()
        return packet

    async def message(self) -> tuple[bytes, bytes]:
        """The tag and body of the next message; raises StreamClosedError, ProtocolViolation."""
        while (message := self._frames.message()) is None:
            await self._fill()
        return message

    def allow_long_messages(self) -> None:
        """The caller has logged in: its messages may be as long as statements and values are."""
        self._frames.maximum_bytes = wire.MAXIMUM_MESSAGE_BYTES

    def watch_while_busy(self) -> None:
        """Read on while a statement runs, so that a caller that goes is noticed.

        A driver that closes sends Terminate first. Were nothing read, those bytes would hide the
        end of the connection behind them.
        """
        reading = self._reading or self._start_reading()
        reading.add_done_callback(self._on_read_while_busy)

    async def _fill(self) -> None:
        reading = self._reading or self._start_reading()
        data = await reading
        self._reading = None
        self._frames.feed(data)

    def _start_reading(self) -> asyncio.Future[bytes]:
        self._reading = asyncio.ensure_future(self._stream.read_bytes(_READ_BYTES, partial=True))
        return self._reading

    def _on_read_while_busy(self, reading: asyncio.Future[bytes]) -> None:
        if reading.cancelled():
            return
        if reading.exception() is not None:
            self._on_gone()
        elif self._is_busy() and reading is self._reading:
            self._reading = None
            self._frames.feed(reading.result())
            if self._frames.ends:
                self._on_gone()
            elif self._frames.held < _READ_AHEAD_BYTES:
                self.watch_while_busy()
