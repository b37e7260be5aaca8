"""The home's side of one answer over a link: windows, and short answers in one message.

Owns what of an answer is held back or under way. A long answer is held back by credits for each
request, so that a caller that reads slowly stops only its own answer, not the link.
"""

from __future__ import annotations

import asyncio

import msgspec
from tornado.iostream import IOStream

from orchidwind.elected.core.statements import Column
from orchidwind.elected.network import codec
from orchidwind.elected.network.answer_port import AnswerPort
from orchidwind.elected.network.link_messages import to_records

# Bytes of one answer that may be under way; bounds memory at the caller's proxy.
_WINDOW_BYTES = 512 * 1024
# Messages gathered into one write of the socket.
_GATHERED_BYTES = 32 * 1024
# An answer up to this size travels in one message (docs/DECISIONS.md, "One record a link
# message"); a longer one leaves in pieces of it.
_SHORT_ANSWER_BYTES = 16 * 1024


class LinkAnswerPort(AnswerPort):
    """Sends an answer over a link, a window at a time.

    A short answer is held back and travels in the last message, so that most requests cost one
    message each way.
    """

    def __init__(self, stream: IOStream, number: int) -> None:
        self._stream = stream
        self._number = number
        self._outstanding = 0
        self._held_columns: tuple[Column, ...] | None = None
        self._held_rows = bytearray()
        self._held_count = 0
        self._gathered = bytearray()
        self._ended = False
        self._room = asyncio.Event()

    async def columns(self, columns: tuple[Column, ...]) -> None:
        """Hold the columns; those of an earlier result leave first."""
        self._release_held()
        self._held_columns = columns

    async def rows(self, encoded: bytes, count: int) -> None:
        """Hold or send rows; wait while the window is full."""
        self._held_rows += encoded
        self._held_count += count
        if len(self._held_rows) < _SHORT_ANSWER_BYTES:
            return
        self._outstanding += len(self._held_rows)
        self._release_held()
        if self._outstanding > _WINDOW_BYTES:
            self._flush()
        while self._outstanding > _WINDOW_BYTES and not self._ended:
            self._room.clear()
            await self._room.wait()

    async def tag(self, command_tag: str) -> None:
        """Send a tag."""
        self._release_held()
        self._write(codec.ResultTag(self._number, command_tag))

    def still_running(self) -> None:
        """Let the caller's proxy wait on."""
        self._write(codec.StillRunning(self._number))
        self._flush()

    def credit(self, count: int) -> None:
        """The caller took bytes."""
        self._outstanding -= count
        self._room.set()

    def release(self) -> None:
        """The request is over or the link is gone: let the answer run out."""
        self._ended = True
        self._room.set()

    def finish(self, answer: codec.Done | codec.Failed) -> None:
        """Send the last message of the answer, with what was held."""
        if isinstance(answer, codec.Failed) or self._gathered:
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
        self._gathered += codec.encode_frame(message)
        if len(self._gathered) >= _GATHERED_BYTES:
            self._flush()

    def _flush(self) -> None:
        data, self._gathered = bytes(self._gathered), bytearray()
        if data and not self._stream.closed():
            self._stream.write(data)
