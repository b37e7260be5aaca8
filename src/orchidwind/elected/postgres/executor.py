"""What is behind a server session: the interface between the protocol and its work.

For: `server_session.py`, which asks, and the front and the stand-in database, which answer.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from orchidwind.elected.core.statements import TRANSACTION_IDLE, Column, Description, Statement

__all__ = ["Description", "Executor", "NullSink", "ResultSink", "SessionParameters", "Statement"]


class ResultSink(ABC):
    """Takes an answer piece by piece."""

    @abstractmethod
    async def columns(self, columns: tuple[Column, ...]) -> None:
        """The columns of the result that follows."""

    @abstractmethod
    async def rows(self, encoded: bytes, count: int) -> None:
        """`count` rows as encoded DataRow messages; returns when more may come."""

    @abstractmethod
    async def complete(self, command_tag: str) -> None:
        """One statement ended; an empty tag stands for an empty query."""


class NullSink(ResultSink):
    """Drops an answer."""

    async def columns(self, columns: tuple[Column, ...]) -> None:
        """Nothing is shown."""

    async def rows(self, encoded: bytes, count: int) -> None:
        """Nothing is shown."""

    async def complete(self, command_tag: str) -> None:
        """Nothing is shown."""


@dataclass(slots=True)
class SessionParameters:
    """What a caller said at start-up."""

    user: str
    database: str
    application_name: str = ""
    options: dict[str, str] = field(default_factory=dict)


class Executor(ABC):
    """Runs the statements of one session, one at a time."""

    transaction_status: bytes = TRANSACTION_IDLE

    @abstractmethod
    async def execute(self, statement: Statement, sink: ResultSink) -> None:
        """Run a statement; raises RequestError where it fails."""

    @abstractmethod
    async def describe(self, sql: str, parameter_types: tuple[int, ...]) -> Description:
        """Tell the types of a statement; raises RequestError where it is wrong."""

    @abstractmethod
    def cancel(self) -> None:
        """Stop the running statement soon, if there is one."""

    @abstractmethod
    def mark_failed(self) -> None:
        """An error was answered inside an open transaction without reaching the executor."""

    @abstractmethod
    async def close(self) -> None:
        """The session ended: give back everything."""
