"""What the flows of all kinds of request have in common."""

from __future__ import annotations

from collections.abc import Generator

from orchidwind.elected.core.group_view import PrimaryReference
from orchidwind.elected.core.statements import RunResult, Statement, StatementRequest
from orchidwind.elected.core.steps import (
    ApplySettings,
    Release,
    Run,
    Step,
    StepResult,
    WaitForConnection,
    WaitForPrimary,
)
from orchidwind.shared.core.errors import BackendConnectionLost, ErrorKind, RequestError

READ_ONLY_TRANSACTION = "25006"


class Lost(Exception):
    """A connection broke or the request was given up while a statement ran."""

    def __init__(
        self, sent: bool, reason: RequestError | None = None, delivered: bool = False
    ) -> None:
        super().__init__()
        self.sent = sent
        self.reason = reason
        self.delivered = delivered


def run(
    connection: int, statement: Statement, **options: bool
) -> Generator[Step, StepResult, RunResult]:
    """Run a statement; a connection whose state is uncertain afterwards is closed."""
    try:
        result = yield Run(connection, statement, **options)
    except BackendConnectionLost as lost:
        raise Lost(lost.sent, delivered=lost.delivered) from lost
    except RequestError as error:
        yield Release(connection, reusable=False)
        raise Lost(True, error) from error
    assert isinstance(result, RunResult)
    return result


def connect(
    request: StatementRequest, instance: str, primary_term: int = 0
) -> Generator[Step, StepResult, int]:
    """Get a connection that carries the session's settings."""
    try:
        connection = yield WaitForConnection(instance, primary_term)
    except BackendConnectionLost as lost:
        raise Lost(sent=False) from lost
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
    """A connection to the primary; nothing was sent yet, so a lost one is simply replaced."""
    while True:
        primary = yield WaitForPrimary()
        assert isinstance(primary, PrimaryReference)
        try:
            connection = yield from connect(request, primary.instance, primary.term)
        except Lost as lost:
            if lost.reason is not None:
                raise lost.reason from lost
            continue
        return primary, connection


def refused_by_replica(result: RunResult) -> bool:
    """The instance is no longer the primary; it refused the statement, so nothing ran."""
    refused = result.error is not None and result.error.sqlstate == READ_ONLY_TRANSACTION
    return refused and not result.delivered
