"""The home proxy's side of one answer over a link: flow control and short answers in one message.

Owns the part of an answer that is held back or in transit. Flow control uses credits per request,
so that a caller that reads slowly delays only its own answer and not the link.
"""

from __future__ import annotations

import asyncio

import msgspec
from tornado.iostream import IOStream

from orchidwind.elected.core.statements import Column
from orchidwind.elected.network import codec
from orchidwind.elected.network.answer_port import AnswerPort
from orchidwind.elected.network.link_messages import to_records

# The bytes of one answer that may be in transit; bounds memory at the front proxy.
_WINDOW_BYTES = 512 * 1024
# Messages are buffered up to this size before a write to the socket.
_WRITE_BUFFER_BYTES = 32 * 1024
# An answer up to this size is sent in one message (docs/DECISIONS.md, "One record a link
# message"); a longer one is sent in pieces of about this size.
_SHORT_ANSWER_BYTES = 16 * 1024


class LinkAnswerPort(AnswerPort):
    """Sends an answer over a link, limited by a flow-control window.

    A short answer is held back and sent in the last message, so that most requests need one message
    in each direction.
    """

    def __init__(self, stream: IOStream, number: int) -> None:
        self._stream = stream
        self._number = number
        self._outstanding = 0
        self._held_columns: tuple[Column, ...] | None = None
        self._held_rows = bytearray()
        self._held_count = 0
        self._buffered = bytearray()
        self._ended = False
        self._window_open = asyncio.Event()

    async def columns(self, columns: tuple[Column, ...]) -> None:
        """Hold the columns, after sending those of an earlier result."""
        self._release_held()
        self._held_columns = columns

    async def rows(self, encoded: bytes, count: int) -> None:
        """Hold or send rows; waits while the window is full."""
        self._held_rows += encoded
        self._held_count += count
        if len(self._held_rows) < _SHORT_ANSWER_BYTES:
            return
        self._outstanding += len(self._held_rows)
        self._release_held()
        if self._outstanding > _WINDOW_BYTES:
            self._flush()
        while self._outstanding > _WINDOW_BYTES and not self._ended:
            self._window_open.clear()
            await self._window_open.wait()

    async def tag(self, command_tag: str) -> None:
        """Send a command tag, after the held columns and rows."""
        self._release_held()
        self._write(codec.ResultTag(self._number, command_tag))

    def still_running(self) -> None:
        """Tell the front proxy to continue waiting."""
        self._write(codec.StillRunning(self._number))
        self._flush()

    def credit(self, count: int) -> None:
        """Add credit for bytes that the caller has read."""
        self._outstanding -= count
        self._window_open.set()

    def release(self) -> None:
        """Stop sending and wake a waiting sender: the request has ended or the link has closed."""
        self._ended = True
        self._window_open.set()

    def finish(self, answer: codec.Done | codec.Failed) -> None:
        """Send the last message of the answer, with the held columns and rows."""
        if isinstance(answer, codec.Failed) or self._buffered:
            self._release_held()
        elif self._held_columns is not None:
            answer = msgspec.structs.replace(
                answer,
                columns=to_records(self._held_columns),
                has_rows=True,
                encoded=bytes(self._held_rows),
                count=self._held_count,
            )
        elif self._held_rows:
            self._release_held()
        self._write(answer)
        self._flush()
        self.release()

    def _release_held(self) -> None:
        if self._held_columns is not None:
            self._write(codec.ResultColumns(self._number, to_records(self._held_columns)))
            self._held_columns = None
        if self._held_rows:
            rows = codec.ResultRows(self._number, bytes(self._held_rows), self._held_count)
            self._write(rows)
            self._held_rows = bytearray()
            self._held_count = 0

    def _write(self, message: codec.LinkMessage) -> None:
        if self._ended:
            return
        self._buffered += codec.encode_frame(message)
        if len(self._buffered) >= _WRITE_BUFFER_BYTES:
            self._flush()

    def _flush(self) -> None:
        data, self._buffered = bytes(self._buffered), bytearray()
        if data and not self._stream.closed():
            self._stream.write(data)
