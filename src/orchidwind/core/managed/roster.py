"""The roster of a group: which instances may hold acknowledged commits. No I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Roster:
    """A group's roster as the store holds it. `members` are sorted names."""

    group: str
    members: tuple[str, ...]
    revision: int
