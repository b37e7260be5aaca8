"""Reads a history of requests afterwards and finds broken promises.

The same checkers read the histories of the simulator and of real processes. Each write puts a
value of its own into a row of its own key, so that a read tells which writes it saw.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, unique


@unique
class Result(Enum):
    """What the caller was told."""

    OK = "ok"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class WriteEvent:
    """A write of mark `mark` under `key` by a session. Times are in seconds of one clock.

    `term` is that of the primary that acknowledged it, 0 where it is not known.
    """

    session: str
    key: str
    mark: int
    started: float
    ended: float
    result: Result
    request_id: str = ""
    term: int = 0


@dataclass(frozen=True, slots=True)
class ReadEvent:
    """A read of all marks under `key`; `marks` is empty where the read failed."""

    session: str
    key: str
    started: float
    ended: float
    result: Result
    marks: frozenset[int] = frozenset()
    on_replica: bool = False


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that a history breaks."""

    promise: str
    text: str


@dataclass(frozen=True, slots=True)
class Promotion:
    """An instance became the primary of a term."""

    at: float
    term: int


@dataclass(slots=True)
class History:
    """What callers did, in order of start for each session, and the changes of primary."""

    writes: list[WriteEvent] = field(default_factory=list)
    reads: list[ReadEvent] = field(default_factory=list)
    promotions: list[Promotion] = field(default_factory=list)


def check_read_your_writes(history: History) -> list[Violation]:
    """A read sees every write of its session that was acknowledged before it began."""
    violations = []
    for read in history.reads:
        if read.result is not Result.OK:
            continue
        for write in _acknowledged_before(history.writes, read):
            if write.session == read.session and write.mark not in read.marks:
                text = f"{read.session} wrote {write.mark} at {write.ended:.3f}, "
                text += f"read without it at {read.started:.3f}"
                violations.append(Violation("read-your-writes", text))
    return violations


def check_monotonic_reads(history: History) -> list[Violation]:
    """Once a session saw an acknowledged write, its later reads see it."""
    violations = []
    acknowledged = {
        write.mark: write.ended for write in history.writes if write.result is Result.OK
    }
    by_session: dict[tuple[str, str], list[ReadEvent]] = {}
    for read in history.reads:
        if read.result is Result.OK:
            by_session.setdefault((read.session, read.key), []).append(read)
    for reads in by_session.values():
        reads.sort(key=lambda read: read.started)
        for index, later in enumerate(reads):
            for earlier in reads[:index]:
                if earlier.ended > later.started:
                    continue
                lost = {
                    mark
                    for mark in earlier.marks - later.marks
                    if acknowledged.get(mark, float("inf")) <= later.started
                }
                for mark in lost:
                    text = f"{later.session} saw {mark} at {earlier.started:.3f}, "
                    text += f"not at {later.started:.3f}"
                    violations.append(Violation("monotonic-reads", text))
    return violations


def _acknowledged_before(writes: Iterable[WriteEvent], read: ReadEvent) -> list[WriteEvent]:
    return [
        write
        for write in writes
        if write.result is Result.OK and write.key == read.key and write.ended <= read.started
    ]


def check_acknowledged_last(history: History, final: Mapping[int, int]) -> list[Violation]:
    """Every acknowledged write is in the last primary; `final` counts each mark there."""
    return [
        Violation("acknowledged-writes-last", f"mark {write.mark} of {write.session} is gone")
        for write in history.writes
        if write.result is Result.OK and final.get(write.mark, 0) == 0
    ]


def check_replaced_primary(history: History) -> list[Violation]:
    """No write is acknowledged by a primary that was replaced before the write began."""
    return [
        Violation("replaced-primary", f"mark {write.mark} in term {write.term} of {promotion.term}")
        for write in history.writes
        for promotion in history.promotions
        if write.result is Result.OK
        and 0 < write.term < promotion.term
        and promotion.at <= write.started
    ]


def check_not_run(history: History, logs: Sequence[Mapping[int, int]]) -> list[Violation]:
    """A write that was told "not run" is in no instance's log."""
    return [
        Violation("not-run", f"mark {write.mark} of {write.session} ran")
        for write in history.writes
        if write.result is Result.NOT_RUN and any(log.get(write.mark, 0) for log in logs)
    ]


def check_at_most_once(final: Mapping[int, int]) -> list[Violation]:
    """No mark stands twice in the last primary."""
    return [
        Violation("at-most-once", f"mark {mark} ran {count} times")
        for mark, count in final.items()
        if count > 1
    ]


def check_all(
    history: History, final: Mapping[int, int], logs: Sequence[Mapping[int, int]]
) -> list[Violation]:
    """Every checker."""
    return [
        *check_read_your_writes(history),
        *check_monotonic_reads(history),
        *check_acknowledged_last(history, final),
        *check_replaced_primary(history),
        *check_not_run(history, logs),
        *check_at_most_once(final),
    ]
