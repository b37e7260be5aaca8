"""Callers of the laboratory: kinds of requests, open-loop arrivals, and what came of each.

For: `laboratory.play`. Owns the outcome of each operation as its caller sees it, with the repeats
that the first users' clients make: an operation is tried again whole, at most twice, within its
deadline, unless what it wrote may have run.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from orchidwind.promoted.core.commands import CommandKind
from orchidwind.promoted.core.configuration import ReadConsistency
from orchidwind.shared.core.errors import ANSWERS, ErrorKind, Ran, RequestError
from orchidwind_bench.promoted.simulation.callers import SimulatedCaller

MOST_REPEATS = 2
# Without a time to come back, clients wait for half to one and a half of this, seconds.
_REPEAT_PAUSE_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class LoadKind:
    """One kind of request. Times are in seconds; `share` is of all arrivals.

    `credit` is what an answer in time is worth, `late_credit` one that comes later.
    """

    consistency: ReadConsistency
    share: float
    work: float
    target: float
    deadline: float
    credit: float
    late_credit: float
    priority: int
    writes: float


# The shares, works and targets of the first users' busiest workload.
KINDS = (
    LoadKind(ReadConsistency.LATEST, 0.15, 0.0045, 0.12, 0.8, 2.0, 0.2, 1, 0.4),
    LoadKind(ReadConsistency.BOUNDED, 0.15, 0.022, 0.4, 2.5, 1.0, 0.1, 2, 0.0),
    LoadKind(ReadConsistency.SESSION, 0.7, 0.014, 0.2, 0.8, 2.0, 0.1, 2, 0.12),
)


@unique
class Result(Enum):
    """What came of an operation."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class OperationOutcome:
    """One operation, from its first attempt on."""

    kind: LoadKind
    began: float
    ended: float
    result: Result

    @property
    def credit(self) -> float:
        """What its caller got."""
        if self.result is Result.IN_TIME:
            return self.kind.credit
        return self.kind.late_credit if self.result is Result.LATE else 0.0


class WorkPlan(Protocol):
    """Where the work of each request is written down, and after how long attempts were refused."""

    work: dict[str, float]
    refused_after: list[float]

    def draw_work(self, kind: LoadKind) -> float:
        """The seconds that one statement of a kind takes."""


class LoadCaller(SimulatedCaller):
    """One session that carries out one operation at a time."""

    plan: WorkPlan

    async def operate(self, kind: LoadKind) -> OperationOutcome:
        """One operation and its repeats."""
        began = self._system.world.now
        error: ErrorKind | None = None
        for attempt in range(1 + MOST_REPEATS):
            write = self._random.random() < kind.writes
            error, retry_after = await self._attempt(kind, write)
            now = self._system.world.now
            if error is None:
                in_time = now - began <= kind.target
                result = Result.IN_TIME if in_time else Result.LATE
                return OperationOutcome(kind, began, now, result)
            if attempt == MOST_REPEATS or not self._may_repeat(error, write):
                break
            if now + retry_after - began >= kind.deadline:
                break
            await asyncio.sleep(retry_after)
        assert error is not None
        refused = ANSWERS[error].ran is Ran.NO
        result = Result.REFUSED if refused else Result.FAILED
        return OperationOutcome(kind, began, self._system.world.now, result)

    async def _attempt(self, kind: LoadKind, write: bool) -> tuple[ErrorKind | None, float]:
        """What the attempt was answered, and in how many seconds to come back."""
        text = "WRITE x y" if write else "READ x"
        command = self._command(CommandKind.WRITE if write else CommandKind.READ, text)
        self.plan.work[command.request_id] = self.plan.draw_work(kind)
        asked_at = self._system.world.now
        pause = _REPEAT_PAUSE_SECONDS * (0.5 + self._random.random())
        try:
            await self._run(command)
        except RequestError as error:
            if ANSWERS[error.kind].ran is Ran.NO:
                self.plan.refused_after.append(self._system.world.now - asked_at)
            told = error.retry_after_milliseconds
            return error.kind, pause if told is None else told / 1000
        finally:
            self.plan.work.pop(command.request_id, None)
        if write:
            self._commits.append(command.request_id)
            self._system.world.history.acknowledge(self._system.world.now, command.request_id)
        return None, 0.0

    @staticmethod
    def _may_repeat(error: ErrorKind, write: bool) -> bool:
        return ANSWERS[error].ran is Ran.NO or not write
