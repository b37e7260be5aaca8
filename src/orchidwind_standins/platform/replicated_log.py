"""The log of a stand-in instance and the journal that it is kept in.

A journal is a file of JSON lines that is only appended to. Each line carries the time of the steady
clock, which all processes of a machine share, so that the log at any moment can be read later.
"""

from __future__ import annotations

import time
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

Runs = list[tuple[int, int]]


class LogEntry(msgspec.Struct, frozen=True):
    """One commit: the term that it was made in, and its writes as pairs of thing and data."""

    term: int
    writes: tuple[tuple[str, str], ...]


class JournalLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """What happened at a time: entries came, a tail was dropped, a role or term was taken.

    `keep` is how many entries stay, -1 where none is dropped. `acknowledged` is the number of a
    commit whose answer was sent. `note` is for readers of a trace.
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
    """Appends to the file of one instance; what was written survives the end of the process."""

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
    """All whole lines; the last one may have been cut by a kill."""
    if not path.exists():
        return
    for line in path.read_bytes().split(b"\n")[:-1]:
        yield msgspec.json.decode(line, type=JournalLine)


class KeptState:
    """What a journal holds: log, term, role. Lines are taken one by one."""

    def __init__(self) -> None:
        self.log: list[LogEntry] = []
        self.term = 0
        self.role = ""

    def take(self, line: JournalLine) -> None:
        """Apply one line."""
        if line.keep >= 0:
            del self.log[line.keep :]
        self.log.extend(line.entries)
        self.term = line.term or self.term
        self.role = line.role or self.role


def kept_state(path: Path) -> KeptState:
    """The state after the last line of a journal."""
    state = KeptState()
    for line in read_journal(path):
        state.take(line)
    return state


def runs_of(log: Sequence[LogEntry]) -> Runs:
    """The terms of a log's entries in order, each with the number of its entries."""
    runs: Runs = []
    for entry in log:
        if runs and runs[-1][0] == entry.term:
            runs[-1] = (entry.term, runs[-1][1] + 1)
        else:
            runs.append((entry.term, 1))
    return runs


def common_length(one: Sequence[Sequence[int]], other: Sequence[Sequence[int]]) -> int:
    """How many entries two logs share: one term has one primary, so term and number name one."""
    shared = 0
    for (term, count), (other_term, other_count) in zip(one, other, strict=False):
        if term != other_term:
            break
        shared += min(count, other_count)
        if count != other_count:
            break
    return shared
