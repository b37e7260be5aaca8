"""Forwards the parts of an answer from the home to the caller's connection."""

from __future__ import annotations

from orchidwind.elected.core.statements import Column
from orchidwind.elected.network.answer_port import AnswerPort
from orchidwind.elected.postgres.executor import ResultSink


class SinkPort(AnswerPort):
    """Forwards the answer to one request.

    `delivered` is True once any part of it was passed to the caller's connection.
    `uncredited_bytes` counts the bytes passed on since the last credit was sent to the home.
    """

    def __init__(self, sink: ResultSink) -> None:
        self._sink = sink
        self.delivered = False
        self.uncredited_bytes = 0

    async def columns(self, columns: tuple[Column, ...]) -> None:
        """Forward the columns."""
        self.delivered = True
        await self._sink.columns(columns)

    async def rows(self, encoded: bytes, count: int) -> None:
        """Forward rows."""
        self.delivered = True
        await self._sink.rows(encoded, count)

    async def tag(self, command_tag: str) -> None:
        """Forward a command tag."""
        self.delivered = True
        await self._sink.complete(command_tag)

    def still_running(self) -> None:
        """Do nothing: the caller waits for the answer in any case."""
