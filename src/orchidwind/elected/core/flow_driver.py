"""Resumes the flows of requests, step by step, until each flow waits or ends.

Owns the order in which a flow receives results and errors. Relies on a `StepHandler` to carry out
the steps, and on `running_requests.py` for the state of running requests.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from orchidwind.elected.core.group_effects import Finished, GroupEffect
from orchidwind.elected.core.open_transactions import OpenTransactions
from orchidwind.elected.core.request_errors import no_connection
from orchidwind.elected.core.running_requests import RunningRequest, RunningRequests
from orchidwind.elected.core.statements import (
    TRANSACTION_FAILED,
    TRANSACTION_IDLE,
    Outcome,
    StatementRequest,
)
from orchidwind.elected.core.steps import Step, StepResult
from orchidwind.shared.core.admission import Refusal
from orchidwind.shared.core.errors import ErrorKind, OrchidwindError, RequestError


@dataclass(frozen=True, slots=True)
class StepDone:
    """A step was completed immediately, with this result."""

    result: StepResult = None


class StepHandler(Protocol):
    """Carries out the steps of flows."""

    def perform(self, now: float, running: RunningRequest, step: Step) -> StepDone | None:
        """Carry out a step, or start it and return None; raises RequestError."""

    def forget_wait(self, running: RunningRequest) -> None:
        """Cancel the wait for the step `running.waits_for`."""


class FlowDriver:
    """Drives the flows of all running requests, and passes granted connections to them."""

    def __init__(
        self,
        handler: StepHandler,
        requests: RunningRequests,
        transactions: OpenTransactions,
        effects: list[GroupEffect],
    ) -> None:
        self._handler = handler
        self._requests = requests
        self._transactions = transactions
        self._effects = effects

    def advance(self, now: float, running: RunningRequest, result: StepResult) -> None:
        """Resume a request with the result of the step that it waited for."""
        self._drive(now, running, lambda: running.flow.send(result))

    def throw(self, now: float, running: RunningRequest, error: OrchidwindError) -> None:
        """Resume a request by throwing an error at the step that it waited for."""
        self._handler.forget_wait(running)
        self._drive(now, running, lambda: running.flow.throw(error))

    def granted(self, now: float, number: int, connection: int) -> bool:
        """Pass a connection to a request; returns False if the request has ended."""
        running = self._requests.get(number)
        if running is None:
            return False
        self.advance(now, running, connection)
        return True

    def refused(self, now: float, refusal: Refusal) -> None:
        """Fail the request with the refusal's ticket, which gets no connection."""
        running = self._requests.get(refusal.ticket)
        if running is not None:
            self.throw(now, running, no_connection(refusal))

    def _drive(self, now: float, running: RunningRequest, resume: Callable[[], Step]) -> None:
        while True:
            running.waits_for = None
            try:
                step = resume()
            except StopIteration as ended:
                self._finish(running.request, ended.value)
                return
            except RequestError as error:
                self._finish(running.request, self._failed(running.request, error))
                return
            try:
                done = self._handler.perform(now, running, step)
            except RequestError as error:
                self._handler.forget_wait(running)
                resume = _resume_with_error(running, error)
                continue
            if done is None:
                running.waits_for = step
                running.waits_since = now
                return
            resume = _resume_with_result(running, done.result)

    def _failed(self, request: StatementRequest, error: RequestError) -> Outcome:
        open_transaction = request.channel in self._transactions
        lost = request.in_transaction and error.kind is ErrorKind.TRANSACTION_LOST
        status = TRANSACTION_FAILED if open_transaction or lost else TRANSACTION_IDLE
        return Outcome(request.number, error=error, transaction_status=status)

    def _finish(self, request: StatementRequest, outcome: Outcome) -> None:
        self._requests.remove(request)
        self._effects.append(Finished(request, outcome))


def _resume_with_result(running: RunningRequest, result: StepResult) -> Callable[[], Step]:
    return lambda: running.flow.send(result)


def _resume_with_error(running: RunningRequest, error: RequestError) -> Callable[[], Step]:
    return lambda: running.flow.throw(error)
