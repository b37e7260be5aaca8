"""The interface between a protocol session and the code that runs its statements.

`server_session.py` calls it; the front proxy and the stand-in database implement it.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from orchidwind.elected.core.statements import TRANSACTION_IDLE, Column, Description, Statement

__all__ = ["Description", "Executor", "NullSink", "ResultSink", "SessionParameters", "Statement"]


class ResultSink(ABC):
    """Receives the result of a statement piece by piece."""

    @abstractmethod
    async def columns(self, columns: tuple[Column, ...]) -> None:
        """Receive the column descriptions of the result that follows."""

    @abstractmethod
    async def rows(self, encoded: bytes, count: int) -> None:
        """Receive `count` rows as encoded DataRow messages; returns when more may be sent."""

    @abstractmethod
    async def complete(self, command_tag: str) -> None:
        """Receive the command tag of a finished statement; an empty tag marks an empty query."""


class NullSink(ResultSink):
    """Discards a result."""

    async def columns(self, columns: tuple[Column, ...]) -> None:
        """Discard the column descriptions."""

    async def rows(self, encoded: bytes, count: int) -> None:
        """Discard the rows."""

    async def complete(self, command_tag: str) -> None:
        """Discard the command tag."""


@dataclass(slots=True)
class SessionParameters:
    """The parameters of a caller's start-up message."""

    user: str
    database: str
    application_name: str = ""
    options: dict[str, str] = field(default_factory=dict)


class Executor(ABC):
    """Runs the statements of one session, one at a time."""

    transaction_status: bytes = TRANSACTION_IDLE

    @abstractmethod
    async def execute(self, statement: Statement, sink: ResultSink) -> None:
        """Run a statement and pass its result to `sink`; raises RequestError if it fails."""

    @abstractmethod
    async def describe(self, sql: str, parameter_types: tuple[int, ...]) -> Description:
        """Return the parameter and column types of a statement.

        Raises RequestError if the statement is invalid.
        """

    @abstractmethod
    def cancel(self) -> None:
        """Request that the running statement, if any, is stopped."""

    @abstractmethod
    def mark_failed(self) -> None:
        """Mark an open transaction as failed after an error that did not come from the executor."""

    @abstractmethod
    async def close(self) -> None:
        """Release all resources of the session."""
