"""The steps that a flow on a promoted group requests from its driver. No I/O.

Flows use no I/O and no clock. A driver executes each step and sends its result into the flow, or
throws RequestError or BackendConnectionLost into it.
"""

from __future__ import annotations

from collections.abc import Generator

from msgspec import Struct

from orchidwind.promoted.core.commands import CommandResult, InstanceMessage, Reply
from orchidwind.promoted.core.read_planning import ReadPlan
from orchidwind.promoted.core.topology import PrimaryView
from orchidwind.shared.core.positions import Position


class WaitForPrimary(Struct, frozen=True):
    """Wait for a primary; the result is a PrimaryView.

    `leadership_proof`: its leadership must be proven. `commit`: it must confirm commits. If this is
    known to fail, the step fails at once.
    """

    leadership_proof: bool = False
    commit: bool = False


class WaitForReadPlan(Struct, frozen=True):
    """Wait for an instance that may serve a read; the result is a ReadPlan."""

    session_floor: Position | None
    excluded: frozenset[str]


class WaitForConnection(Struct, frozen=True):
    """Wait for a server connection; the result is its number.

    Raises BackendConnectionLost into the flow if the instance does not answer.
    """

    instance: str


class Exchange(Struct, frozen=True):
    """Send messages in one write; the result is an ExchangeResult.

    If `proof_of_term` is not 0, the driver also asks for a proof that no later term has begun.
    """

    connection: int
    messages: tuple[InstanceMessage, ...]
    proof_of_term: int = 0


class ExchangeResult(Struct, frozen=True):
    """The replies, and a time at which the instance is proven to have led, or None."""

    replies: tuple[Reply, ...]
    led_at: float | None = None


class WaitForProof(Struct, frozen=True):
    """Ask for a proof that no term later than `term` has begun; the result is a bool."""

    term: int


class Release(Struct, frozen=True):
    """Return a connection to the pool, or close it unless `reusable`; never waits."""

    connection: int
    reusable: bool


class Pause(Struct, frozen=True):
    """Wait for some seconds; fails if this would exceed the request's deadline."""

    seconds: float


Step = (
    WaitForPrimary | WaitForReadPlan | WaitForProof | WaitForConnection | Exchange | Release | Pause
)
StepResult = PrimaryView | ReadPlan | ExchangeResult | int | bool | None
Flow = Generator[Step, StepResult, CommandResult]
