"""The order of steps of each kind of request at a home proxy, as generators without I/O.

A flow yields a step and is sent the step's result, or has an error thrown in. It returns the
outcome, or raises RequestError. `HomeGroup` drives the flows; what a flow has in its hands when an
error reaches it decides what the caller may be told:

- before the first byte left for a back end, the request did not run;
- after a write left, its outcome is unknown until a majority is seen to hold it;
- a read changed nothing, so it may be repeated until a part of its answer went out.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass

from orchidwind.core.errors import BackendConnectionLost, ErrorKind, RequestError
from orchidwind.core.group_view import PrimaryReference
from orchidwind.core.ledger import (
    CREATE_LEDGER,
    UNDEFINED_TABLE,
    claim_statement,
    complete_statement,
    lookup_statement,
)
from orchidwind.core.positions import ORIGIN, Position
from orchidwind.core.routing import Route
from orchidwind.core.statements import (
    TRANSACTION_IDLE,
    FloorMode,
    Outcome,
    RequestKind,
    RunResult,
    SessionSetting,
    Statement,
    StatementRequest,
)

_READ_ATTEMPTS = 3
READ_ONLY_TRANSACTION = "25006"


@dataclass(frozen=True, slots=True)
class NeedPrimary:
    """Wait for a reachable primary; the result is a PrimaryReference."""


@dataclass(frozen=True, slots=True)
class NeedRoute:
    """Wait for an instance that may serve a read at `floor`; the result is a Route."""

    floor: Position
    preferred: str = ""


@dataclass(frozen=True, slots=True)
class NeedFloor:
    """Ask a majority, and `include` if it can be reached; the result is a Position."""

    include: str = ""


@dataclass(frozen=True, slots=True)
class NeedReplay:
    """Wait until an instance's replay covers a floor; the result is whether it did in time."""

    instance: str
    floor: Position


@dataclass(frozen=True, slots=True)
class NeedConnection:
    """Wait for a server connection; the result is its number.

    With `primary_term` the wait ends, by BackendConnectionLost, as soon as the instance is no
    longer known as the primary of that term; in any case when it cannot be reached.
    """

    instance: str
    primary_term: int = 0


@dataclass(frozen=True, slots=True)
class Run:
    """Run a statement; the result is a RunResult, or BackendConnectionLost is thrown in."""

    connection: int
    statement: Statement
    deliver: bool = False
    describe: bool = False


@dataclass(frozen=True, slots=True)
class NeedConfirmation:
    """Wait until a commit is confirmed; the result is its Position."""

    instance: str
    term: int


@dataclass(frozen=True, slots=True)
class Release:
    """Give a connection back; done at once."""

    connection: int
    reusable: bool


@dataclass(frozen=True, slots=True)
class ApplySettings:
    """Ask which statement brings a connection to the session's settings, None for none."""

    connection: int
    settings: tuple[SessionSetting, ...]


@dataclass(frozen=True, slots=True)
class BindTransaction:
    """Keep a connection for the session until its transaction ends; done at once."""

    connection: int
    instance: str
    term: int
    read_only: bool


@dataclass(frozen=True, slots=True)
class EndTransaction:
    """The session's transaction is over; done at once."""


@dataclass(frozen=True, slots=True)
class Suspect:
    """The instance is not what the view says; wait for its next report. Done at once."""

    instance: str


@dataclass(frozen=True, slots=True)
class TakeRetry:
    """Ask the retry budget; the result is a bool."""


Step = (
    NeedPrimary
    | NeedRoute
    | NeedFloor
    | NeedReplay
    | NeedConnection
    | Run
    | NeedConfirmation
    | Release
    | ApplySettings
    | BindTransaction
    | EndTransaction
    | Suspect
    | TakeRetry
)
StepResult = PrimaryReference | Route | Position | RunResult | Statement | int | bool | None
Flow = Generator[Step, StepResult, Outcome]


@dataclass(slots=True)
class OpenTransaction:
    """A transaction of one session, and the connection that belongs to it."""

    connection: int
    instance: str
    term: int
    read_only: bool
    wrote: bool = False
    last_used: float = 0.0


class _Lost(Exception):
    """A connection broke or the request was given up while a statement ran."""

    def __init__(
        self, sent: bool, reason: RequestError | None = None, delivered: bool = False
    ) -> None:
        super().__init__()
        self.sent = sent
        self.reason = reason
        self.delivered = delivered


def _run(
    connection: int, statement: Statement, **options: bool
) -> Generator[Step, StepResult, RunResult]:
    """Run a statement; a connection whose state is uncertain afterwards is closed."""
    try:
        result = yield Run(connection, statement, **options)
    except BackendConnectionLost as lost:
        raise _Lost(lost.sent, delivered=lost.delivered) from lost
    except RequestError as error:
        yield Release(connection, reusable=False)
        raise _Lost(True, error) from error
    assert isinstance(result, RunResult)
    return result


def _connect(
    request: StatementRequest, instance: str, primary_term: int = 0
) -> Generator[Step, StepResult, int]:
    """Get a connection that carries the session's settings."""
    try:
        connection = yield NeedConnection(instance, primary_term)
    except BackendConnectionLost as lost:
        raise _Lost(sent=False) from lost
    assert isinstance(connection, int)
    statement = yield ApplySettings(connection, request.settings)
    if isinstance(statement, Statement):
        result = yield from _run(connection, statement)
        if result.error is not None:
            yield Release(connection, reusable=False)
            raise RequestError(ErrorKind.INVALID_SETTING, result.error.message)
    return connection


def _route(request: StatementRequest) -> Generator[Step, StepResult, Route]:
    """Find where a read may run: first the floor, then an instance that covers it."""
    floor = request.floor.position
    asked = False
    if request.floor.mode is FloorMode.QUORUM:
        floor = yield from _fresh_floor(floor, "")
        asked = True
    while True:
        last = request.floor.last_read_instance
        route = yield NeedRoute(floor, last)
        assert isinstance(route, Route)
        if not asked and last and route.instance != last:
            floor = yield from _fresh_floor(floor, last)
            asked = True
            continue
        if route.must_wait:
            covered = yield NeedReplay(route.instance, floor)
            if not covered:
                continue
        return route


def _fresh_floor(floor: Position, include: str) -> Generator[Step, StepResult, Position]:
    position = yield NeedFloor(include)
    assert isinstance(position, Position)
    return max(floor, position)


def read_flow(request: StatementRequest) -> Flow:
    """A read outside a transaction."""
    describe = request.kind is RequestKind.DESCRIBE
    attempt = 0
    while True:
        attempt += 1
        route = yield from _route(request)
        try:
            connection = yield from _connect(request, route.instance)
            result = yield from _run(
                connection, request.statement, deliver=not describe, describe=describe
            )
        except _Lost as lost:
            if lost.reason is not None:
                raise lost.reason from lost
            if not lost.sent:
                attempt -= 1
                continue
            exhausted = lost.delivered or attempt >= _READ_ATTEMPTS
            if exhausted or not (yield TakeRetry()):
                raise _read_interrupted() from lost
            continue
        yield Release(connection, reusable=result.transaction_status == TRANSACTION_IDLE)
        if result.error is not None:
            raise result.error
        return Outcome(
            request.number,
            tag=result.tag,
            instance=route.instance,
            is_replica=route.is_replica,
            description=result.description,
        )


def _read_interrupted() -> RequestError:
    return RequestError(ErrorKind.READ_INTERRUPTED, "the server connection was lost in a read")


def token_flow(request: StatementRequest) -> Flow:
    """A position that covers all that the session wrote and read."""
    floor = yield from _fresh_floor(request.floor.position, request.floor.last_read_instance)
    return Outcome(request.number, tag="SHOW", position=floor)


def write_flow(request: StatementRequest) -> Flow:
    """A write outside a transaction, sent at most once to an instance that takes it."""
    if request.request_id:
        return (yield from _named_flow(request))
    while True:
        primary, connection = yield from _connect_primary(request)
        try:
            result = yield from _run(connection, request.statement, deliver=True)
        except _Lost as lost:
            if not lost.sent:
                continue
            raise _write_lost() from lost
        if _refused_by_replica(result) and result.transaction_status == TRANSACTION_IDLE:
            yield Release(connection, reusable=True)
            yield Suspect(primary.instance)
            continue
        return (yield from _end_write(request, primary, connection, result))


def _refused_by_replica(result: RunResult) -> bool:
    """The instance is no longer the primary; it refused the statement, so nothing ran."""
    refused = result.error is not None and result.error.sqlstate == READ_ONLY_TRANSACTION
    return refused and not result.delivered


def _end_write(
    request: StatementRequest, primary: PrimaryReference, connection: int, result: RunResult
) -> Flow:
    if result.transaction_status != TRANSACTION_IDLE:
        yield BindTransaction(connection, primary.instance, primary.term, read_only=False)
    else:
        yield Release(connection, reusable=True)
    if result.error is not None:
        raise result.error
    if result.transaction_status != TRANSACTION_IDLE:
        return Outcome(request.number, tag=result.tag, transaction_status=result.transaction_status)
    return (yield from _confirmed(request, primary, result.tag))


def _connect_primary(
    request: StatementRequest,
) -> Generator[Step, StepResult, tuple[PrimaryReference, int]]:
    """A connection to the primary; nothing was sent yet, so a lost one is simply replaced."""
    while True:
        primary = yield NeedPrimary()
        assert isinstance(primary, PrimaryReference)
        try:
            connection = yield from _connect(request, primary.instance, primary.term)
        except _Lost as lost:
            if lost.reason is not None:
                raise lost.reason from lost
            continue
        return primary, connection


def _write_lost() -> RequestError:
    return RequestError(
        ErrorKind.OUTCOME_UNKNOWN, "the answer to a write was lost; it may or may not have run"
    )


def _confirmed(request: StatementRequest, primary: PrimaryReference, tag: str) -> Flow:
    try:
        position = yield NeedConfirmation(primary.instance, primary.term)
    except RequestError as error:
        raise RequestError(
            ErrorKind.OUTCOME_UNKNOWN,
            "the write was not confirmed by a majority in time; it may or may not last",
        ) from error
    assert isinstance(position, Position)
    return Outcome(request.number, tag=tag, instance=primary.instance, position=position)


def _named_flow(request: StatementRequest) -> Flow:
    """A named write: what may have run is settled by the ledger, so it is tried again here.

    Where an attempt's commit lasted, the next attempt finds its row and returns the recorded
    outcome; where it did not, nothing of it is left, and what the database says of the next attempt
    is definite. Only a part of the answer that went out already, a cancel, or the deadline ends the
    attempts; if one of them had sent its commit, the outcome is then unknown, however the last one
    ended.
    """
    in_doubt = False
    while True:
        attempt = _NamedAttempt()
        try:
            primary, connection = yield from _connect_primary(request)
            tag = yield from _named_attempt(request, primary, connection, attempt)
            position = yield NeedConfirmation(primary.instance, primary.term)
        except _Lost as lost:
            in_doubt = in_doubt or attempt.committing
            error = lost.reason or _transaction_lost()
            ends = lost.reason is not None or lost.delivered or not (yield TakeRetry())
        except RequestError as failed:
            if failed.kind is ErrorKind.STATEMENT_FAILED:
                raise
            superseded = attempt.committing and failed.kind is ErrorKind.OUTCOME_UNKNOWN
            in_doubt = in_doubt or attempt.committing
            error = failed
            ends = not superseded or attempt.delivered or not (yield TakeRetry())
        else:
            assert isinstance(position, Position)
            return Outcome(request.number, tag=tag, instance=primary.instance, position=position)
        if ends:
            raise _write_lost() if in_doubt else error


@dataclass(slots=True)
class _NamedAttempt:
    """How far an attempt came."""

    committing: bool = False
    delivered: bool = False


def _named_attempt(
    request: StatementRequest,
    primary: PrimaryReference,
    connection: int,
    attempt: _NamedAttempt,
) -> Generator[Step, StepResult, str]:
    """Claim the ledger row, run the statement, record its outcome and commit; the command tag.

    Where the row is there already, the request ran, and the recorded tag is returned. A repeat that
    meets the first attempt still running waits on the row's unique index until that has ended.
    """
    claim = yield from _run(connection, claim_statement(request.request_id))
    if claim.error is not None and claim.error.sqlstate == UNDEFINED_TABLE:
        yield from _run(connection, CREATE_LEDGER)
        claim = yield from _run(connection, claim_statement(request.request_id))
    if _refused_by_replica(claim):
        yield Release(connection, reusable=False)
        yield Suspect(primary.instance)
        raise _Lost(sent=False)
    yield from _stop_on_error(connection, claim)
    if claim.tag.endswith(" 0"):
        attempt.committing = True
        return (yield from _recorded_tag(request, connection))
    result = yield from _run(connection, request.statement, deliver=True)
    attempt.delivered = result.delivered
    yield from _stop_on_error(connection, result)
    attempt.committing = True
    completed = yield from _run(connection, complete_statement(request.request_id, result.tag))
    yield Release(connection, reusable=completed.transaction_status == TRANSACTION_IDLE)
    if completed.error is not None:
        raise completed.error
    return result.tag


def _stop_on_error(connection: int, result: RunResult) -> Generator[Step, StepResult, None]:
    """A failed statement ends the attempt; closing the connection rolls back."""
    if result.error is not None:
        yield Release(connection, reusable=False)
        raise result.error


def _recorded_tag(request: StatementRequest, connection: int) -> Generator[Step, StepResult, str]:
    lookup = yield from _run(connection, lookup_statement(request.request_id))
    yield Release(connection, reusable=lookup.transaction_status == TRANSACTION_IDLE)
    if lookup.error is not None:
        raise lookup.error
    return (lookup.first_row[0] or b"").decode() if lookup.first_row else ""


def begin_flow(request: StatementRequest) -> Flow:
    """BEGIN: a connection is bound to the session until the transaction ends."""
    read_only = request.kind is RequestKind.BEGIN_READ_ONLY
    is_replica = False
    try:
        if read_only:
            route = yield from _route(request)
            instance, term, is_replica = route.instance, route.term, route.is_replica
            connection = yield from _connect(request, instance)
        else:
            primary, connection = yield from _connect_primary(request)
            instance, term = primary.instance, primary.term
        result = yield from _run(connection, request.statement, deliver=True)
        if request.request_id and not read_only and result.error is None:
            yield from _claim_in_transaction(request, connection)
    except _Lost as lost:
        raise (lost.reason or _transaction_lost()) from lost
    if result.error is not None or result.transaction_status == TRANSACTION_IDLE:
        yield Release(connection, reusable=False)
        raise result.error or _transaction_lost()
    yield BindTransaction(connection, instance, term, read_only)
    return Outcome(
        request.number,
        tag=result.tag,
        transaction_status=result.transaction_status,
        instance=instance,
        is_replica=is_replica,
    )


def _claim_in_transaction(
    request: StatementRequest, connection: int
) -> Generator[Step, StepResult, None]:
    claim = yield from _run(connection, claim_statement(request.request_id, begin=False))
    if claim.error is not None or claim.tag.endswith(" 0"):
        yield Release(connection, reusable=False)
        raise claim.error or RequestError(
            ErrorKind.STATEMENT_FAILED,
            f'request "{request.request_id}" has run already',
            sqlstate="23505",
        )


def transaction_flow(request: StatementRequest, transaction: OpenTransaction, ends: bool) -> Flow:
    """A statement inside a transaction; `ends` marks one that may commit."""
    describe = request.kind is RequestKind.DESCRIBE
    if request.kind is RequestKind.WRITE and not transaction.read_only:
        transaction.wrote = True
    try:
        result = yield from _run(
            transaction.connection, request.statement, deliver=not describe, describe=describe
        )
    except _Lost as lost:
        yield EndTransaction()
        if ends and transaction.wrote:
            raise _write_lost() from lost
        raise (lost.reason or _transaction_lost()) from lost
    if result.transaction_status == TRANSACTION_IDLE:
        yield EndTransaction()
        yield Release(transaction.connection, reusable=True)
    if result.error is not None:
        raise result.error
    committed = result.transaction_status == TRANSACTION_IDLE and result.tag != "ROLLBACK"
    if committed and transaction.wrote:
        primary = PrimaryReference(transaction.instance, transaction.term)
        return (yield from _confirmed(request, primary, result.tag))
    return Outcome(
        request.number,
        tag=result.tag,
        transaction_status=result.transaction_status,
        instance=transaction.instance,
        is_replica=transaction.read_only,
        position=ORIGIN,
        description=result.description,
    )


def _transaction_lost() -> RequestError:
    return RequestError(
        ErrorKind.TRANSACTION_LOST,
        "the transaction's server connection was lost; nothing of it ran",
    )
