"""One fault of a run, as an item of a schedule and of a plan file."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

# A function that undoes a fault; None if the fault needs no undoing or was not applied.
Undo = Callable[[], None] | None

# Parts that are equal modulo this number select the same group.
PART_STEP = 60
PARTS = 16 * PART_STEP


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault that begins at a time and lasts for `seconds`, and the part of the system it hits.

    `at` counts from the start of traffic. If `promotion` is not 0, `at` counts from the call of
    the promotion of that number, and the fault hits the group of that promotion.
    """

    at: float
    name: str
    seconds: float
    part: int
    promotion: int = 0
