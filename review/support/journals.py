"""What the instances' logs hold, as their journals tell it."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from orchidwind_standins.platform.replicated_log import read_journal


@dataclass(frozen=True, slots=True)
class Kept:
    """An entry of an instance's log: its term and number, and when it was appended."""

    term: int
    number: int
    at: float


def appended(journal: Path) -> dict[tuple[str, str], Kept]:
    """All writes that an instance ever appended to its log, by thing and data."""
    found: dict[tuple[str, str], Kept] = {}
    length = 0
    for line in read_journal(journal):
        if line.keep >= 0:
            length = line.keep
        for entry in line.entries:
            length += 1
            for write in entry.writes:
                found.setdefault(write, Kept(entry.term, length, line.at))
    return found


def held(journal: Path) -> set[tuple[str, str]]:
    """The writes that an instance's log holds at the end."""
    log: list[tuple[tuple[str, str], ...]] = []
    for line in read_journal(journal):
        if line.keep >= 0:
            del log[line.keep :]
        log.extend(entry.writes for entry in line.entries)
    return {write for writes in log for write in writes}
