"""Passes the parts of an answer from the home to the caller's connection."""

from __future__ import annotations

from orchidwind.elected.core.statements import Column
from orchidwind.elected.network.answer_port import AnswerPort
from orchidwind.elected.postgres.executor import ResultSink


class SinkPort(AnswerPort):
    """The answer to one request.

    `delivered` tells whether a part of it went to the caller; `owed` are the bytes that the caller
    took since the home was last sent a credit.
    """

    def __init__(self, sink: ResultSink) -> None:
        self._sink = sink
        self.delivered = False
        self.owed = 0

    async def columns(self, columns: tuple[Column, ...]) -> None:
        """Pass the columns on."""
        self.delivered = True
        await self._sink.columns(columns)

    async def rows(self, encoded: bytes, count: int) -> None:
        """Pass rows on."""
        self.delivered = True
        await self._sink.rows(encoded, count)

    async def tag(self, command_tag: str) -> None:
        """Pass a tag on."""
        self.delivered = True
        await self._sink.complete(command_tag)

    def still_running(self) -> None:
        """The caller waits anyway."""
