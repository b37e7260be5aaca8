"""Parts of flows shared by several kinds of request: connections, statements, retries.

Relies on `retries.py` for what may be retried.
"""

from __future__ import annotations

from collections.abc import Generator

from orchidwind.elected.core.group_view import PrimaryReference
from orchidwind.elected.core.retries import Retry, StatementLost
from orchidwind.elected.core.statements import RunResult, Statement, StatementRequest
from orchidwind.elected.core.steps import (
    ApplySettings,
    Release,
    Run,
    Step,
    StepResult,
    TakeRetry,
    WaitForConnection,
    WaitForPrimary,
)
from orchidwind.shared.core.errors import BackendConnectionLost, ErrorKind, RequestError

# SQLSTATE read_only_sql_transaction: a replica refused a write.
READ_ONLY_TRANSACTION = "25006"


def run(
    connection: int, statement: Statement, **options: bool
) -> Generator[Step, StepResult, RunResult]:
    """Run a statement; raises StatementLost, after which the connection is lost or closed."""
    try:
        result = yield Run(connection, statement, **options)
    except BackendConnectionLost as lost:
        raise StatementLost(lost.sent, delivered=lost.delivered) from lost
    except RequestError as error:
        yield Release(connection, reusable=False)
        raise StatementLost(True, error) from error
    assert isinstance(result, RunResult)
    return result


def connect(
    request: StatementRequest, instance: str, primary_term: int = 0
) -> Generator[Step, StepResult, int]:
    """Get a connection and apply the session's settings; raises StatementLost or RequestError."""
    try:
        connection = yield WaitForConnection(instance, primary_term)
    except BackendConnectionLost as lost:
        raise StatementLost(sent=False) from lost
    assert isinstance(connection, int)
    statement = yield ApplySettings(connection, request.settings)
    if isinstance(statement, Statement):
        result = yield from run(connection, statement)
        if result.error is not None:
            yield Release(connection, reusable=False)
            raise RequestError(ErrorKind.INVALID_SETTING, result.error.message)
    return connection


def connect_primary(
    request: StatementRequest,
) -> Generator[Step, StepResult, tuple[PrimaryReference, int]]:
    """Get a connection to the primary; a lost one is replaced, since nothing was sent yet."""
    while True:
        primary = yield WaitForPrimary()
        assert isinstance(primary, PrimaryReference)
        try:
            connection = yield from connect(request, primary.instance, primary.term)
        except StatementLost as lost:
            if lost.reason is not None:
                raise lost.reason from lost
            continue
        return primary, connection


def refused_by_replica(result: RunResult) -> bool:
    """Whether the instance refused a write because it is not the primary: then nothing ran."""
    refused = result.error is not None and result.error.sqlstate == READ_ONLY_TRANSACTION
    return refused and not result.delivered


def may_retry(retry: Retry) -> Generator[Step, StepResult, bool]:
    """Whether a retry is allowed; takes a token from the retry budget if the rule requires it."""
    if retry is Retry.WITHIN_BUDGET:
        return bool((yield TakeRetry()))
    return retry is Retry.ALWAYS
