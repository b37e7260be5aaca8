"""The flow of a named write, which runs at most once even if it is repeated.

For: `home_group.py`. Owns: the order of ledger row, statement and commit. Relies on: `ledger.py`
for the row, `retries.py` for what is retried.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass

from orchidwind.elected.core.flow_parts import (
    connect_primary,
    may_retry,
    refused_by_replica,
    run,
)
from orchidwind.elected.core.group_view import PrimaryReference
from orchidwind.elected.core.ledger import (
    CREATE_LEDGER,
    UNDEFINED_TABLE,
    claim_statement,
    complete_statement,
    lookup_statement,
)
from orchidwind.elected.core.request_errors import transaction_lost, write_lost
from orchidwind.elected.core.retries import (
    StatementLost,
    retry_named_commit,
    retry_named_write,
)
from orchidwind.elected.core.statements import (
    TRANSACTION_IDLE,
    Outcome,
    RunResult,
    StatementRequest,
)
from orchidwind.elected.core.steps import (
    Flow,
    Release,
    Step,
    StepResult,
    Suspect,
    WaitForConfirmation,
)
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.core.positions import Position


def named_write_flow(request: StatementRequest) -> Flow:
    """Run a named write; it is retried here, since the ledger shows whether an attempt ran.

    If an attempt's commit took effect, the next attempt finds its row and returns the recorded
    outcome. If it did not, nothing of that attempt remains, and the database's answer to the next
    attempt is definite. The attempts end early if part of an answer was already delivered, if the
    caller cancels, at the deadline, or if the retry budget is used up. If any attempt had sent its
    commit by then, the outcome is unknown, whatever the last attempt's error was.
    """
    in_doubt = False
    while True:
        attempt = _NamedAttempt()
        try:
            primary, connection = yield from connect_primary(request)
            tag = yield from _named_attempt(request, primary, connection, attempt)
            position = yield WaitForConfirmation(primary.instance, primary.term)
        except StatementLost as lost:
            in_doubt = in_doubt or attempt.committing
            error = lost.reason or transaction_lost()
            retry = retry_named_write(lost)
        except RequestError as failed:
            if failed.kind is ErrorKind.STATEMENT_FAILED:
                raise
            in_doubt = in_doubt or attempt.committing
            error = failed
            retry = retry_named_commit(failed, attempt.committing, attempt.delivered)
        else:
            assert isinstance(position, Position)
            return Outcome(request.number, tag=tag, instance=primary.instance, position=position)
        if not (yield from may_retry(retry)):
            raise write_lost() if in_doubt else error


@dataclass(slots=True)
class _NamedAttempt:
    """How far an attempt has come."""

    committing: bool = False
    delivered: bool = False


def _named_attempt(
    request: StatementRequest,
    primary: PrimaryReference,
    connection: int,
    attempt: _NamedAttempt,
) -> Generator[Step, StepResult, str]:
    """Claim the ledger row, run the statement, record its outcome and commit; returns the tag.

    If the row already exists, the request has run and the recorded command tag is returned. While
    an earlier attempt still runs, the insert waits on the row's unique index until it has ended.
    """
    claim = yield from run(connection, claim_statement(request.request_id))
    if claim.error is not None and claim.error.sqlstate == UNDEFINED_TABLE:
        yield from run(connection, CREATE_LEDGER)
        claim = yield from run(connection, claim_statement(request.request_id))
    if refused_by_replica(claim):
        yield Release(connection, reusable=False)
        yield Suspect(primary.instance)
        raise StatementLost(sent=False)
    yield from _raise_on_error(connection, claim)
    if claim.tag.endswith(" 0"):
        attempt.committing = True
        return (yield from _recorded_tag(request, connection))
    result = yield from run(connection, request.statement, deliver=True)
    attempt.delivered = result.delivered
    yield from _raise_on_error(connection, result)
    attempt.committing = True
    completed = yield from run(connection, complete_statement(request.request_id, result.tag))
    yield Release(connection, reusable=completed.transaction_status == TRANSACTION_IDLE)
    if completed.error is not None:
        raise completed.error
    return result.tag


def _raise_on_error(connection: int, result: RunResult) -> Generator[Step, StepResult, None]:
    """Raise the error of a failed statement; the connection is closed, which rolls back."""
    if result.error is not None:
        yield Release(connection, reusable=False)
        raise result.error


def _recorded_tag(request: StatementRequest, connection: int) -> Generator[Step, StepResult, str]:
    lookup = yield from run(connection, lookup_statement(request.request_id))
    yield Release(connection, reusable=lookup.transaction_status == TRANSACTION_IDLE)
    if lookup.error is not None:
        raise lookup.error
    return (lookup.first_row[0] or b"").decode() if lookup.first_row else ""
