"""The steps that a flow on a promoted group asks its driver for. No I/O.

What for: flows stay free of I/O and clocks; a driver carries out each step, sends its result into
the flow, or throws RequestError or BackendConnectionLost in. Owns and relies on: nothing.
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

    `lead_proof`: its lead must be proven; `commit`: it must confirm commits. Where that is known to
    fail, there is nothing to wait for.
    """

    lead_proof: bool = False
    commit: bool = False


class WaitForReadPlan(Struct, frozen=True):
    """Wait for an instance that may serve a read; the result is a ReadPlan."""

    session_floor: Position | None
    excluded: frozenset[str]


class WaitForConnection(Struct, frozen=True):
    """Wait for a server connection; the result is its number.

    Ends by BackendConnectionLost where the instance does not answer.
    """

    instance: str


class Exchange(Struct, frozen=True):
    """Send messages in one write; the result is an ExchangeResult.

    `proof_of_term` asks, at the same time, for the proof that no primary after that term has
    begun.
    """

    connection: int
    messages: tuple[InstanceMessage, ...]
    proof_of_term: int = 0


class ExchangeResult(Struct, frozen=True):
    """The replies, and when the instance is proven to have led; None where that is not known."""

    replies: tuple[Reply, ...]
    led_at: float | None = None


class WaitForProof(Struct, frozen=True):
    """Ask now for the proof that no primary after `term` has begun; the result is a bool."""

    term: int


class Release(Struct, frozen=True):
    """Give a connection back; done at once."""

    connection: int
    reusable: bool


class Pause(Struct, frozen=True):
    """Wait for some seconds, within the request's deadline."""

    seconds: float


Step = (
    WaitForPrimary | WaitForReadPlan | WaitForProof | WaitForConnection | Exchange | Release | Pause
)
StepResult = PrimaryView | ReadPlan | ExchangeResult | int | bool | None
Flow = Generator[Step, StepResult, CommandResult]
