"""The log of a stand-in instance and the journal file that stores it.

A journal is an append-only file of JSON lines. Each line has a time of the monotonic clock, which
all processes of a machine share, so that the state of the log at any time can be reconstructed.
"""

from __future__ import annotations

import time
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

Runs = list[tuple[int, int]]


class LogEntry(msgspec.Struct, frozen=True):
    """One commit: its term, and its writes as pairs of key and data."""

    term: int
    writes: tuple[tuple[str, str], ...]


class JournalLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """An event: entries were appended, the tail was dropped, or the role or term changed.

    `at` is the time in seconds. `keep` is the number of entries that remain, -1 if none is dropped.
    `led` marks a promotion. `acknowledged` is the number of a commit that was acknowledged to its
    caller. `note` is a remark for people who read the journal.
    """

    at: float
    entries: tuple[LogEntry, ...] = ()
    keep: int = -1
    term: int = 0
    role: str = ""
    led: bool = False
    acknowledged: int = 0
    note: str = ""


class Journal:
    """Appends to the file of one instance, unbuffered: lines survive a kill of the process."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("ab", buffering=0)

    def write(
        self,
        *,
        entries: Sequence[LogEntry] = (),
        keep: int = -1,
        term: int = 0,
        role: str = "",
        led: bool = False,
        acknowledged: int = 0,
        note: str = "",
    ) -> None:
        """Append one line."""
        line = JournalLine(
            time.monotonic(), tuple(entries), keep, term, role, led, acknowledged, note
        )
        self._file.write(msgspec.json.encode(line) + b"\n")


def read_journal(path: Path) -> Iterator[JournalLine]:
    """Yield all complete lines; the last one may be incomplete if the process was killed."""
    if not path.exists():
        return
    for line in path.read_bytes().split(b"\n")[:-1]:
        yield msgspec.json.decode(line, type=JournalLine)


class JournalState:
    """The log, term and role after the lines of a journal that were applied."""

    def __init__(self) -> None:
        self.log: list[LogEntry] = []
        self.term = 0
        self.role = ""

    def apply(self, line: JournalLine) -> None:
        """Apply one line."""
        if line.keep >= 0:
            del self.log[line.keep :]
        self.log.extend(line.entries)
        self.term = line.term or self.term
        self.role = line.role or self.role


def read_journal_state(path: Path) -> JournalState:
    """The state after the last line of a journal."""
    state = JournalState()
    for line in read_journal(path):
        state.apply(line)
    return state


def runs_of(log: Sequence[LogEntry]) -> Runs:
    """The terms of a log in order, each with the number of its consecutive entries."""
    runs: Runs = []
    for entry in log:
        if runs and runs[-1][0] == entry.term:
            runs[-1] = (entry.term, runs[-1][1] + 1)
        else:
            runs.append((entry.term, 1))
    return runs


def common_length(one: Sequence[Sequence[int]], other: Sequence[Sequence[int]]) -> int:
    """The number of leading entries that two logs share, given their runs (see `runs_of`).

    A term has one primary, so term and number identify an entry.
    """
    shared = 0
    for (term, count), (other_term, other_count) in zip(one, other, strict=False):
        if term != other_term:
            break
        shared += min(count, other_count)
        if count != other_count:
            break
    return shared
