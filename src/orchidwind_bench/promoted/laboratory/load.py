"""Callers of the load tests: kinds of requests and the outcome of each operation.

Used by `laboratory.play`. Determines the outcome of each operation as its caller sees it, with the
retries of the first users' clients: the whole operation is retried at most twice, within its
deadline, unless its write may have been executed.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from orchidwind.promoted.core.commands import CommandKind
from orchidwind.promoted.core.configuration import ReadConsistency
from orchidwind.shared.core.errors import ANSWERS, ErrorKind, Ran, RequestError
from orchidwind.shared.core.tenant_connections import NO_TENANT
from orchidwind_bench.promoted.simulation.callers import SimulatedCaller

MAX_RETRIES = 2
# Without a retry time in the answer, clients wait for 0.5 to 1.5 times this before a retry.
_REPEAT_PAUSE_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class LoadKind:
    """One kind of request. Times are in seconds.

    `share` is its part of all arrivals, `work` the mean execution time of a statement, `target` the
    latency up to which an answer is in time, `deadline` the time after which no retry begins, and
    `writes` the share of writes. `credit` is the value of an answer in time, `late_credit` that of
    a later one. A statement ends after `statement_timeout`.
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
    statement_timeout: float = 1.5


# Shares, execution times and latency targets of the first users' busiest workload.
KINDS = (
    LoadKind(ReadConsistency.LATEST, 0.15, 0.0045, 0.12, 0.8, 2.0, 0.2, 1, 0.4),
    LoadKind(ReadConsistency.BOUNDED, 0.15, 0.022, 0.4, 2.5, 1.0, 0.1, 2, 0.0),
    LoadKind(ReadConsistency.SESSION, 0.7, 0.014, 0.2, 0.8, 2.0, 0.1, 2, 0.12),
)

# Kinds whose execution times, targets and values differ by several times.
MIXED_KINDS = (
    LoadKind(ReadConsistency.LATEST, 0.5, 0.011, 0.2, 4.0, 3.5, 0.43, 0, 0.4, 1.0),
    LoadKind(ReadConsistency.SESSION, 0.3, 0.033, 0.4, 4.0, 1.9, 0.28, 1, 0.12, 1.0),
    LoadKind(ReadConsistency.BOUNDED, 0.2, 0.055, 1.5, 12.0, 0.47, 0.21, 2, 0.0, 3.0),
)


@unique
class Result(Enum):
    """The result of an operation after its last attempt."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class OperationOutcome:
    """The outcome of one operation; `began` is the start of its first attempt."""

    kind: LoadKind
    began: float
    ended: float
    result: Result
    tenant: str = NO_TENANT

    @property
    def credit(self) -> float:
        """The value of the answer to the caller; 0 if refused or failed."""
        if self.result is Result.IN_TIME:
            return self.kind.credit
        return self.kind.late_credit if self.result is Result.LATE else 0.0


class WorkPlan(Protocol):
    """The execution time of each running request, and how long each refused attempt had waited.

    `work` maps request ids to seconds, `asked_at` to the proxy that was asked; `refused_after` is
    in seconds as well.
    """

    work: dict[str, float]
    asked_at: dict[str, str]
    refused_after: list[float]

    def draw_work(self, kind: LoadKind) -> float:
        """Return a random execution time for a statement of a kind, in seconds."""


class LoadCaller(SimulatedCaller):
    """A session that runs one operation at a time."""

    plan: WorkPlan

    async def run_operation(self, kind: LoadKind) -> OperationOutcome:
        """Run one operation with its retries and return the outcome."""
        began = self._system.world.now
        error: ErrorKind | None = None
        for attempt in range(1 + MAX_RETRIES):
            write = self._random.random() < kind.writes
            error, retry_after = await self._attempt(kind, write)
            now = self._system.world.now
            if error is None:
                in_time = now - began <= kind.target
                result = Result.IN_TIME if in_time else Result.LATE
                return OperationOutcome(kind, began, now, result, self.tenant)
            if attempt == MAX_RETRIES or not self._may_repeat(error, write):
                break
            if now + retry_after - began >= kind.deadline:
                break
            await asyncio.sleep(retry_after)
        assert error is not None
        refused = ANSWERS[error].ran is Ran.NO
        result = Result.REFUSED if refused else Result.FAILED
        return OperationOutcome(kind, began, self._system.world.now, result, self.tenant)

    async def _attempt(self, kind: LoadKind, write: bool) -> tuple[ErrorKind | None, float]:
        """Run one statement; return its error, if any, and the seconds to wait before a retry."""
        text = "WRITE x y" if write else "READ x"
        command = self._command(CommandKind.WRITE if write else CommandKind.READ, text)
        self.plan.work[command.request_id] = self.plan.draw_work(kind)
        self.plan.asked_at[command.request_id] = self._node_name
        sent_at = self._system.world.now
        pause = _REPEAT_PAUSE_SECONDS * (0.5 + self._random.random())
        try:
            await self._run(command)
        except RequestError as error:
            if ANSWERS[error.kind].ran is Ran.NO:
                self.plan.refused_after.append(self._system.world.now - sent_at)
            retry_after = error.retry_after_milliseconds
            return error.kind, pause if retry_after is None else retry_after / 1000
        finally:
            self.plan.work.pop(command.request_id, None)
        if write:
            self._commits.append(command.request_id)
            self._system.world.history.acknowledge(self._system.world.now, command.request_id)
        return None, 0.0

    @staticmethod
    def _may_repeat(error: ErrorKind, write: bool) -> bool:
        """Return whether a retry cannot execute a write twice."""
        return ANSWERS[error].ran is Ran.NO or not write
