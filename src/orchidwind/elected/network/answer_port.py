"""Interface for the receiver of an answer's parts while a statement runs."""

from __future__ import annotations

from abc import ABC, abstractmethod

from orchidwind.elected.core.statements import Column


class AnswerPort(ABC):
    """Receives the parts of one answer as they arrive."""

    @abstractmethod
    async def columns(self, columns: tuple[Column, ...]) -> None:
        """Receive the columns of a result."""

    @abstractmethod
    async def rows(self, encoded: bytes, count: int) -> None:
        """Receive `count` encoded rows; returns when more may be sent."""

    @abstractmethod
    async def tag(self, command_tag: str) -> None:
        """Receive the command tag of a statement that is not the last of a query string."""

    @abstractmethod
    def still_running(self) -> None:
        """Receive the notice that the statement continues to run after its deadline."""
