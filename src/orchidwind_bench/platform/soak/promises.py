"""Compares what callers were told with the journals of the instances.

Promises are named as in the checks of the first users: LOST, STALE, TWICE, REFUSED, ONE, MIXED.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from orchidwind_bench.platform.soak.callers import Record
from orchidwind_standins.platform.replicated_log import (
    JournalLine,
    JournalState,
    LogEntry,
    read_journal,
)

Write = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Lead:
    """A promotion that took effect: when, who leads, in which term, with which log."""

    at: float
    instance: str
    term: int
    log: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class InstanceAnswer:
    """An instance acknowledged a commit."""

    at: float
    instance: str
    term: int


@dataclass(slots=True)
class GroupHistory:
    """What the journals of one group tell."""

    journals: dict[str, list[JournalLine]]
    leads: list[Lead] = field(default_factory=list)
    answers: dict[Write, InstanceAnswer] = field(default_factory=dict)

    @classmethod
    def read(cls, paths: Iterable[Path]) -> GroupHistory:
        """Read the journals; each is named by its instance."""
        return cls.of({path.stem: list(read_journal(path)) for path in paths})

    @classmethod
    def of(cls, journals: dict[str, list[JournalLine]]) -> GroupHistory:
        """Find promotions and answers; a journal that was passed on holds those of before, too."""
        history = cls(journals)
        leads: dict[int, Lead] = {}
        for name, lines in journals.items():
            own_since = began(name, lines)
            state = JournalState()
            for line in lines:
                state.apply(line)
                if line.at < own_since:
                    continue
                if line.led:
                    leads[line.term] = Lead(line.at, name, line.term, tuple(state.log))
                if line.acknowledged:
                    entry = state.log[line.acknowledged - 1]
                    for thing, data in entry.writes:
                        answer = InstanceAnswer(line.at, name, entry.term)
                        history.answers.setdefault((thing, int(data)), answer)
        history.leads = sorted(leads.values(), key=lambda item: item.at)
        return history

    def holders(self, write: Write, at: float) -> list[str]:
        """The instances whose log held a write at a time."""
        wanted = (write[0], str(write[1]))
        found = []
        for name, lines in self.journals.items():
            if began(name, lines) > at:
                continue
            state = JournalState()
            for line in lines:
                if line.at > at:
                    break
                state.apply(line)
            if any(wanted in entry.writes for entry in state.log):
                found.append(name)
        return sorted(found)

    def last_log(self) -> Sequence[LogEntry]:
        """The log of the primary of the newest term, as it is at the end."""
        newest = max(self.leads, key=lambda item: item.term, default=None)
        for name, lines in self.journals.items():
            first = any(line.role == "primary" and line.term == 1 for line in lines)
            if name == (newest.instance if newest else "") or (newest is None and first):
                state = JournalState()
                for line in lines:
                    state.apply(line)
                return state.log
        return ()


def began(name: str, lines: Sequence[JournalLine]) -> float:
    """When an instance started first; what a journal holds of before was passed on to it."""
    note = f"started as {name}"
    return next((line.at for line in lines if line.note == note), float("-inf"))


def check_group(record: Record, history: GroupHistory) -> list[Lead]:
    """Add to the record what was broken; returns the promotions that lost commits."""
    lost, losing = _check_promotions(record, history)
    _check_last_log(record, history, lost)
    _check_old_primaries(record, history)
    order = {
        (thing, int(data)): index
        for index, entry in enumerate(history.last_log())
        for thing, data in entry.writes
    }
    record.judge_reads(lost, order)
    return losing


def _writes_of(log: Iterable[LogEntry]) -> dict[Write, int]:
    logged: dict[Write, int] = {}
    for entry in log:
        for thing, data in entry.writes:
            key = (thing, int(data))
            logged[key] = logged.get(key, 0) + 1
    return logged


def _check_promotions(record: Record, history: GroupHistory) -> tuple[set[Write], list[Lead]]:
    lost: set[Write] = set()
    losing = []
    for lead in history.leads:
        logged = _writes_of(lead.log)
        missing = [
            (thing, number)
            for thing, told in record.acknowledged.items()
            for at, number in told
            if at < lead.at and (thing, number) not in logged and (thing, number) not in lost
        ]
        for write in missing:
            record.broken.append(
                f"LOST: {write[0]} {write[1]} is not in the log of {lead.instance}, which leads"
                f" {lead.term} since {lead.at:.3f}; {_of(record, history, write, lead.at)}"
            )
        if missing:
            losing.append(lead)
        lost.update(missing)
    return lost, losing


def _of(record: Record, history: GroupHistory, write: Write, at: float) -> str:
    answer = history.answers.get(write)
    by = f"{answer.instance} in {answer.term} at {answer.at:.3f}" if answer else "nobody"
    told_at, proxy = record.acknowledged_by.get(write, (0.0, "unknown"))
    holders = ",".join(history.holders(write, at)) or "nobody"
    return f"acknowledged by {by}, told by {proxy} at {told_at:.3f}; held then by {holders}"


def _check_last_log(record: Record, history: GroupHistory, lost: set[Write]) -> None:
    logged = _writes_of(history.last_log())
    for key, times in logged.items():
        if times > 1:
            record.broken.append(f"TWICE: {key}")
    for thing, told in record.acknowledged.items():
        for at, number in told:
            if (thing, number) not in logged and (thing, number) not in lost:
                record.broken.append(
                    f"LOST: {thing} {number} is not in the last log;"
                    f" {_of(record, history, (thing, number), at)}"
                )
    for key in record.refused:
        if key in logged:
            record.broken.append(f"REFUSED: {key}")


def _check_old_primaries(record: Record, history: GroupHistory) -> None:
    """A replaced primary commits, and a proxy that was not disturbed tells the caller so."""
    for write, (told_at, proxy) in record.acknowledged_by.items():
        answer = history.answers.get(write)
        if answer is None or write in record.excused:
            continue
        for lead in history.leads:
            if lead.term > answer.term and lead.at < answer.at:
                record.broken.append(
                    f"ONE: {write[0]} {write[1]} acknowledged by {answer.instance} in"
                    f" {answer.term} at {answer.at:.3f}, told by {proxy} at {told_at:.3f};"
                    f" {lead.instance} leads {lead.term} since {lead.at:.3f}"
                )
                break


def check_tokens(promotions: Sequence[tuple[str, str, str, int]]) -> list[str]:
    """What calls of promotions break: group, instance, holder, token of each in order."""
    broken = []
    greatest, holder = 0, ""
    for _, _, sender, token in promotions:
        if token < greatest or (token == greatest and sender != holder):
            broken.append(f"ONE: {sender} promotes with {token} after {holder} {greatest}")
        greatest, holder = token, sender
    return broken
