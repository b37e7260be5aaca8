"""Checks the answers that callers received against the journals of the instances.

Each violation begins with the name of a check of the first users: LOST, STALE, TWICE, REFUSED, ONE
or MIXED.
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
class EffectivePromotion:
    """A promotion that took effect: its time, the new primary, its term and its log then."""

    at: float
    instance: str
    term: int
    log: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class InstanceAnswer:
    """The time at which an instance acknowledged a commit, and the term of the log entry."""

    at: float
    instance: str
    term: int


@dataclass(slots=True)
class GroupHistory:
    """The promotions and acknowledgements of one group, read from its instances' journals."""

    journals: dict[str, list[JournalLine]]
    promotions: list[EffectivePromotion] = field(default_factory=list)
    answers: dict[Write, InstanceAnswer] = field(default_factory=dict)

    @classmethod
    def read(cls, paths: Iterable[Path]) -> GroupHistory:
        """Read journal files; the stem of each file name is the name of the instance."""
        return cls.of({path.stem: list(read_journal(path)) for path in paths})

    @classmethod
    def of(cls, journals: dict[str, list[JournalLine]]) -> GroupHistory:
        """Find the promotions and acknowledgements in journals, keyed by instance name.

        A journal that was copied from a predecessor also holds the predecessor's lines; these are
        applied to the log but not counted for the new instance.
        """
        history = cls(journals)
        promotions: dict[int, EffectivePromotion] = {}
        for name, lines in journals.items():
            own_since = started_at(name, lines)
            state = JournalState()
            for line in lines:
                state.apply(line)
                if line.at < own_since:
                    continue
                if line.led:
                    promotions[line.term] = EffectivePromotion(
                        line.at, name, line.term, tuple(state.log)
                    )
                if line.acknowledged:
                    entry = state.log[line.acknowledged - 1]
                    for thing, data in entry.writes:
                        answer = InstanceAnswer(line.at, name, entry.term)
                        history.answers.setdefault((thing, int(data)), answer)
        history.promotions = sorted(promotions.values(), key=lambda item: item.at)
        return history

    def holders(self, write: Write, at: float) -> list[str]:
        """The names of the instances whose log held a write at a time, sorted."""
        wanted = (write[0], str(write[1]))
        found = []
        for name, lines in self.journals.items():
            if started_at(name, lines) > at:
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
        """The final log of the primary with the newest term; empty if none is found."""
        newest_promotion = max(self.promotions, key=lambda item: item.term, default=None)
        for name, lines in self.journals.items():
            first = any(line.role == "primary" and line.term == 1 for line in lines)
            if name == (newest_promotion.instance if newest_promotion else "") or (
                newest_promotion is None and first
            ):
                state = JournalState()
                for line in lines:
                    state.apply(line)
                return state.log
        return ()


def started_at(name: str, lines: Sequence[JournalLine]) -> float:
    """The time of an instance's first start; earlier lines of its journal are its predecessor's.

    Returns minus infinity if the journal has no line of the start.
    """
    note = f"started as {name}"
    return next((line.at for line in lines if line.note == note), float("-inf"))


def check_group(record: Record, history: GroupHistory) -> list[EffectivePromotion]:
    """Add the violations of a group to the record; returns the promotions that lost commits."""
    lost, losing = _check_promotions(record, history)
    _check_last_log(record, history, lost)
    _check_old_primaries(record, history)
    order = {
        (thing, int(data)): index
        for index, entry in enumerate(history.last_log())
        for thing, data in entry.writes
    }
    record.check_reads(lost, order)
    return losing


def _writes_of(log: Iterable[LogEntry]) -> dict[Write, int]:
    logged: dict[Write, int] = {}
    for entry in log:
        for thing, data in entry.writes:
            key = (thing, int(data))
            logged[key] = logged.get(key, 0) + 1
    return logged


def _check_promotions(
    record: Record, history: GroupHistory
) -> tuple[set[Write], list[EffectivePromotion]]:
    lost: set[Write] = set()
    losing = []
    for promotion in history.promotions:
        logged = _writes_of(promotion.log)
        missing = [
            (thing, number)
            for thing, commits in record.acknowledged.items()
            for at, number in commits
            if at < promotion.at and (thing, number) not in logged and (thing, number) not in lost
        ]
        for write in missing:
            record.broken.append(
                f"LOST: {write[0]} {write[1]} is not in the log of {promotion.instance}, which"
                f" leads {promotion.term} since {promotion.at:.3f};"
                f" {_write_details(record, history, write, promotion.at)}"
            )
        if missing:
            losing.append(promotion)
        lost.update(missing)
    return lost, losing


def _write_details(record: Record, history: GroupHistory, write: Write, at: float) -> str:
    answer = history.answers.get(write)
    by = f"{answer.instance} in {answer.term} at {answer.at:.3f}" if answer else "nobody"
    acknowledged_at, proxy = record.acknowledged_by.get(write, (0.0, "unknown"))
    holders = ",".join(history.holders(write, at)) or "nobody"
    return f"acknowledged by {by}, told by {proxy} at {acknowledged_at:.3f}; held then by {holders}"


def _check_last_log(record: Record, history: GroupHistory, lost: set[Write]) -> None:
    logged = _writes_of(history.last_log())
    for key, times in logged.items():
        if times > 1:
            record.broken.append(f"TWICE: {key}")
    for thing, commits in record.acknowledged.items():
        for at, number in commits:
            if (thing, number) not in logged and (thing, number) not in lost:
                record.broken.append(
                    f"LOST: {thing} {number} is not in the last log;"
                    f" {_write_details(record, history, (thing, number), at)}"
                )
    for key in record.refused:
        if key in logged:
            record.broken.append(f"REFUSED: {key}")


def _check_old_primaries(record: Record, history: GroupHistory) -> None:
    """Report commits of a replaced primary that an undisturbed proxy acknowledged to a caller."""
    for write, (acknowledged_at, proxy) in record.acknowledged_by.items():
        answer = history.answers.get(write)
        if answer is None or write in record.excused:
            continue
        for promotion in history.promotions:
            if promotion.term > answer.term and promotion.at < answer.at:
                record.broken.append(
                    f"ONE: {write[0]} {write[1]} acknowledged by {answer.instance} in"
                    f" {answer.term} at {answer.at:.3f}, told by {proxy} at {acknowledged_at:.3f};"
                    f" {promotion.instance} leads {promotion.term} since {promotion.at:.3f}"
                )
                break


def check_tokens(promotions: Sequence[tuple[str, str, str, int]]) -> list[str]:
    """The violations of the promotion lock by calls of promotions.

    Each call is a tuple of group, instance, lock holder and fencing token; calls are in order.
    Tokens must not decrease, and two holders must not use the same token.
    """
    broken = []
    greatest, holder = 0, ""
    for _, _, sender, token in promotions:
        if token < greatest or (token == greatest and sender != holder):
            broken.append(f"ONE: {sender} promotes with {token} after {holder} {greatest}")
        greatest, holder = token, sender
    return broken
