"""One fault of a run, as a schedule holds it and a plan file keeps it. Relies on nothing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

# What undoes a fault; None where nothing is to be undone, or nothing was done.
Undo = Callable[[], None] | None

# Parts that are equal modulo this name the same group.
PART_STEP = 60
PARTS = 16 * PART_STEP


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """What happens at a time, for so many seconds, to one part of the system.

    `at` counts from the start of traffic, or, where `promotion` is not 0, from the call of the
    promotion of that number, and then the fault is played in the group that is promoted in.
    """

    at: float
    name: str
    seconds: float
    part: int
    promotion: int = 0
