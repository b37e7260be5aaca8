"""A virtual clock: events run in order of time, and nothing waits."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

Event = Callable[[], object]


class EventQueue:
    """Events in order of virtual time, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Event]] = []
        self._order = count()

    def at(self, time: float, event: Event) -> None:
        """Run an event at a time, or now if that has passed."""
        heapq.heappush(self._heap, (max(time, self.now), next(self._order), event))

    def after(self, delay: float, event: Event) -> None:
        """Run an event after a delay."""
        self.at(self.now + delay, event)

    def run_until(self, time: float) -> None:
        """Run every event up to a time."""
        while self._heap and self._heap[0][0] <= time:
            self.now, _, event = heapq.heappop(self._heap)
            event()
        self.now = time

    def run_while(self, condition: Callable[[], bool], bound: float) -> bool:
        """Run events while a condition holds; whether it ended before the bound."""
        while condition():
            if not self._heap or self._heap[0][0] > bound:
                self.now = bound
                return False
            self.now, _, event = heapq.heappop(self._heap)
            event()
        return True


class Timer:
    """Runs an action at the deadline that its owner names; an earlier deadline replaces a later."""

    def __init__(self, events: EventQueue, action: Event) -> None:
        self._events = events
        self._action = action
        self._due = float("inf")
        self.stopped = False

    def set(self, due: float) -> None:
        """Run the action at a time, unless it is due before."""
        due = max(due, self._events.now)
        if due < self._due:
            self._due = due
            self._events.at(due, lambda: self._fire(due))

    def _fire(self, due: float) -> None:
        if due != self._due or self.stopped:
            return
        self._due = float("inf")
        self._action()
