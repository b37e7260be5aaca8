"""What stands behind a server session: the interface between the protocol and its work."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from orchidwind.postgres.wire import TRANSACTION_IDLE, Column


@dataclass(frozen=True, slots=True)
class Statement:
    """One statement to run.

    `simple` marks the simple query protocol: several statements may stand in `sql`, there are no
    parameters, and results are text.
    """

    sql: str
    simple: bool = False
    parameter_types: tuple[int, ...] = ()
    parameters: tuple[bytes | None, ...] = ()
    parameter_formats: tuple[int, ...] = ()
    result_format: int = 0


@dataclass(frozen=True, slots=True)
class Description:
    """The types of a statement's parameters and the columns of its result."""

    parameter_types: tuple[int, ...] = ()
    columns: tuple[Column, ...] = ()


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

    def cancel(self) -> None:
        """Stop the running statement soon, if there is one."""

    def mark_failed(self) -> None:
        """An error was answered inside an open transaction without reaching the executor."""

    async def close(self) -> None:
        """The session ended: give back everything."""
