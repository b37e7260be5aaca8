"""Every choice that a schedule consists of: taken from a list, by chance, or harmless.

A choice has a label and, as each label comes up again and again, a number. The first
option is always what happens without a fault, so a schedule is the set of its *deviations*: all
other options.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

# How likely a label deviates; each random schedule draws one for each kind of label, so that some
# schedules are quiet in one respect and wild in another.
_TEMPERS = (0.0, 0.0, 0.01, 0.03, 0.08, 0.2)


@dataclass(frozen=True, slots=True)
class Schedule:
    """What replays a run exactly: where it begins, its deviations, and a seed for the rest.

    Without a seed everything that is not listed is harmless.
    """

    scenario: str
    deviations: Mapping[str, str] = field(default_factory=dict)
    seed: int | None = None


@dataclass(frozen=True, slots=True)
class OpenChoice:
    """A choice that came up: its key, the options by name, and which one was taken."""

    key: str
    options: tuple[str, ...]
    taken: str

    @property
    def deviates(self) -> bool:
        """Whether it is not the harmless one."""
        return self.taken != self.options[0]


class Choices:
    """Answers each choice of one run, and keeps what came up."""

    def __init__(self, schedule: Schedule) -> None:
        self._schedule = schedule
        self._random = None if schedule.seed is None else random.Random(schedule.seed)
        self._tempers: dict[str, float] = {}
        self._counts: dict[str, int] = {}
        self.met: list[OpenChoice] = []
        self.calm = False

    def pick(self, kind: str, detail: str, options: tuple[str, ...]) -> str:
        """The option to take; the first one is harmless."""
        if self.calm:
            return options[0]
        label = f"{kind}:{detail}"
        number = self._counts.get(label, 0)
        self._counts[label] = number + 1
        key = f"{label}#{number}"
        taken = self._schedule.deviations.get(key)
        if taken not in options:
            taken = self._by_chance(kind, options)
        self.met.append(OpenChoice(key, options, taken))
        return taken

    def _by_chance(self, kind: str, options: tuple[str, ...]) -> str:
        if self._random is None:
            return options[0]
        if kind not in self._tempers:
            self._tempers[kind] = self._random.choice(_TEMPERS)
        if self._random.random() >= self._tempers[kind]:
            return options[0]
        return self._random.choice(options[1:])

    def deviations(self) -> dict[str, str]:
        """All choices of this run that were not harmless."""
        return {choice.key: choice.taken for choice in self.met if choice.deviates}


def without(deviations: Mapping[str, str], keys: Sequence[str]) -> dict[str, str]:
    """The same deviations but some."""
    return {key: option for key, option in deviations.items() if key not in keys}
