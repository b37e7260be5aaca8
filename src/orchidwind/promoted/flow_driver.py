"""Drives a flow: performs each step that the generator yields, and sends it the outcome.

For: `callers/command_runner.py` and `group/failover_runner.py`. Owns nothing. Expected errors
of a step are thrown into the flow, which decides how to go on.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Generator
from typing import TypeVar

from orchidwind.shared.core.errors import OrchidwindError

Step = TypeVar("Step")
Outcome = TypeVar("Outcome")
Result = TypeVar("Result")


async def drive(
    flow: Generator[Step, Outcome | None, Result],
    perform: Callable[[Step], Awaitable[Outcome]],
    thrown_in: tuple[type[OrchidwindError], ...],
) -> Result:
    """Run a flow to its end and return its result.

    An error of a kind in `thrown_in` that a step raises is thrown into the flow. Other errors end
    the flow and are raised.
    """
    outcome: Outcome | None = None
    error: OrchidwindError | None = None
    while True:
        try:
            step = flow.send(outcome) if error is None else flow.throw(error)
        except StopIteration as ended:
            result: Result = ended.value
            return result
        outcome = error = None
        try:
            outcome = await perform(step)
        except thrown_in as raised:
            error = raised
