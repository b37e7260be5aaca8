"""Virtual time: events in order, and processes written as generators.

A process yields either a number of seconds to sleep or `Answers` to wait for. Its owner may be
paused, which delays whatever comes next, or dead, which ends it.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Generator, Hashable
from dataclasses import dataclass, field
from typing import Any, Protocol, TypeVar

T = TypeVar("T")


class Owner(Protocol):
    """Whose processes these are. `paused_until` is in seconds of virtual time."""

    alive: bool
    paused_until: float


class Timeline:
    """The clock, in seconds, and what is to happen."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events = 0
        self._number = 0
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something later. What is due at the same time is done in the order of these calls."""
        self._number += 1
        heapq.heappush(self._due, (self.now + seconds, self._number, action))

    def run(self, until: Callable[[], bool]) -> None:
        """Let time pass until a condition holds, which is asked after every event."""
        while self._due and not until():
            at, _, action = heapq.heappop(self._due)
            self.now = max(self.now, at)
            self.events += 1
            action()

    def start(self, owner: Owner, process: Process[Any]) -> None:
        """Begin a process of an owner."""
        _Running(self, owner, process).resume()


@dataclass(slots=True)
class Answers:
    """What some calls brought so far, each under its key; it is waited for until the deadline."""

    wanted: set[Hashable]
    deadline: float
    got: dict[Any, Any] = field(default_factory=dict)
    on_complete: Callable[[], None] | None = None
    closed: bool = False

    def deliver(self, key: Hashable, answer: object) -> None:
        """An answer came; None tells at once that there will be none."""
        if self.closed or key not in self.wanted:
            return
        self.wanted.discard(key)
        if answer is not None:
            self.got[key] = answer
        if not self.wanted and self.on_complete is not None:
            self.on_complete()


Pause = float | Answers
Process = Generator[Pause, None, T]


class _Running:
    """A process that has begun."""

    def __init__(self, timeline: Timeline, owner: Owner, process: Process[Any]) -> None:
        self._timeline = timeline
        self._owner = owner
        self._process = process
        self._waits = 0

    def resume(self) -> None:
        if not self._owner.alive:
            self._process.close()
            return
        if self._owner.paused_until > self._timeline.now:
            self._timeline.after(self._owner.paused_until - self._timeline.now, self.resume)
            return
        try:
            pause = next(self._process)
        except StopIteration:
            return
        self._waits += 1
        wait = self._waits
        if not isinstance(pause, Answers):
            self._timeline.after(pause, lambda: self._wake(wait))
            return
        left = max(pause.deadline - self._timeline.now, 0.0)
        self._timeline.after(left if pause.wanted else 0.0, lambda: self._wake(wait, pause))
        pause.on_complete = lambda: self._timeline.after(0.0, lambda: self._wake(wait, pause))

    def _wake(self, wait: int, answers: Answers | None = None) -> None:
        if wait != self._waits:
            return
        self._waits += 1
        if answers is not None:
            answers.closed = True
        self.resume()
