"""What happened in a run, line by line."""

from __future__ import annotations

from collections.abc import Callable


class Trace:
    """Lines with their time in seconds."""

    def __init__(self, now: Callable[[], float], kept: bool) -> None:
        """Without `kept` nothing is noted, which is faster."""
        self._now = now
        self._kept = kept
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Something happened now."""
        if self._kept:
            self.lines.append(f"{self._now():7.3f} {text}")
