"""Where the parts of an answer go while a statement runs."""

from __future__ import annotations

from abc import ABC, abstractmethod

from orchidwind.elected.core.statements import Column


class AnswerPort(ABC):
    """Where the rows of an answer go while it runs."""

    @abstractmethod
    async def columns(self, columns: tuple[Column, ...]) -> None:
        """The columns of a result."""

    @abstractmethod
    async def rows(self, encoded: bytes, count: int) -> None:
        """Encoded rows; returns when more may come."""

    @abstractmethod
    async def tag(self, command_tag: str) -> None:
        """A statement before the last of a query string ended."""

    @abstractmethod
    def still_running(self) -> None:
        """The statement runs past its deadline, and is let run."""
