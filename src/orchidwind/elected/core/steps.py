"""The steps that a request's flow asks its driver for.

For: `flows.py` and `named_write.py`, which yield them, and `request_steps.py`, which performs them.
Owns: nothing but their types. Errors are thrown into the flow at the step that failed.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass

from orchidwind.elected.core.group_view import PrimaryReference
from orchidwind.elected.core.routing import Route
from orchidwind.elected.core.statements import Outcome, RunResult, SessionSetting, Statement
from orchidwind.shared.core.positions import Position


@dataclass(frozen=True, slots=True)
class WaitForPrimary:
    """Wait for a reachable primary; the result is a PrimaryReference."""


@dataclass(frozen=True, slots=True)
class WaitForRoute:
    """Wait for an instance that may serve a read at `floor`; the result is a Route."""

    floor: Position
    preferred: str = ""


@dataclass(frozen=True, slots=True)
class WaitForFloor:
    """Ask a majority, and `include` if it can be reached; the result is a Position."""

    include: str = ""


@dataclass(frozen=True, slots=True)
class WaitForReplay:
    """Wait until an instance's replay covers a floor; the result is whether it did in time."""

    instance: str
    floor: Position


@dataclass(frozen=True, slots=True)
class WaitForConnection:
    """Wait for a server connection; the result is its number.

    With `primary_term` the wait ends, by BackendConnectionLost, as soon as the instance is no
    longer known as the primary of that term; in any case when it cannot be reached.
    """

    instance: str
    primary_term: int = 0


@dataclass(frozen=True, slots=True)
class Run:
    """Run a statement; the result is a RunResult, or BackendConnectionLost is thrown in."""

    connection: int
    statement: Statement
    deliver: bool = False
    describe: bool = False


@dataclass(frozen=True, slots=True)
class WaitForConfirmation:
    """Wait until a commit is confirmed; the result is its Position."""

    instance: str
    term: int


@dataclass(frozen=True, slots=True)
class Release:
    """Give a connection back; done at once."""

    connection: int
    reusable: bool


@dataclass(frozen=True, slots=True)
class ApplySettings:
    """Ask which statement brings a connection to the session's settings, None for none."""

    connection: int
    settings: tuple[SessionSetting, ...]


@dataclass(frozen=True, slots=True)
class BindTransaction:
    """Keep a connection for the session until its transaction ends; done at once."""

    connection: int
    instance: str
    term: int
    read_only: bool


@dataclass(frozen=True, slots=True)
class EndTransaction:
    """The session's transaction is over; done at once."""


@dataclass(frozen=True, slots=True)
class Suspect:
    """The instance is not what the view says; wait for its next report. Done at once."""

    instance: str


@dataclass(frozen=True, slots=True)
class TakeRetry:
    """Ask the retry budget; the result is a bool."""


Step = (
    WaitForPrimary
    | WaitForRoute
    | WaitForFloor
    | WaitForReplay
    | WaitForConnection
    | Run
    | WaitForConfirmation
    | Release
    | ApplySettings
    | BindTransaction
    | EndTransaction
    | Suspect
    | TakeRetry
)
StepResult = PrimaryReference | Route | Position | RunResult | Statement | int | bool | None
Flow = Generator[Step, StepResult, Outcome]


@dataclass(slots=True)
class OpenTransaction:
    """A transaction of one session, and the connection that belongs to it."""

    connection: int
    instance: str
    term: int
    read_only: bool
    wrote: bool = False
    last_used: float = 0.0
