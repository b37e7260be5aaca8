"""The steps that a request's flow yields to its driver.

For: `flows.py` and `named_write.py`, which yield them, and `request_steps.py`, which performs them.
Owns: only the types. An error is thrown into the flow at the step that failed.
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
    """Ask a majority, and `include` if it is reachable, for the floor; the result is a Position."""

    include: str = ""


@dataclass(frozen=True, slots=True)
class WaitForReplay:
    """Wait until an instance's replay covers a floor; the result is True if it did in time."""

    instance: str
    floor: Position


@dataclass(frozen=True, slots=True)
class WaitForConnection:
    """Wait for a server connection; the result is its number.

    The wait ends with BackendConnectionLost if the instance becomes unreachable or, with
    `primary_term`, if it is no longer known as the primary of that term.
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
    """Return a connection to its pool; done at once."""

    connection: int
    reusable: bool


@dataclass(frozen=True, slots=True)
class ApplySettings:
    """Get the statement that applies the session's settings; the result is None if not needed."""

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
    """Remove the session's transaction, which has ended; done at once."""


@dataclass(frozen=True, slots=True)
class Suspect:
    """Mark an instance that differs from the view as unreachable until it reports; done at once."""

    instance: str


@dataclass(frozen=True, slots=True)
class TakeRetry:
    """Take a token from the retry budget; the result is False if there is none."""


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
    """A session's open transaction and the server connection bound to it."""

    connection: int
    instance: str
    term: int
    read_only: bool
    wrote: bool = False
    last_used: float = 0.0
