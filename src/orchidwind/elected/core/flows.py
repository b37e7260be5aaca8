"""The flow of each kind of request at a home proxy: a generator that yields steps, without I/O.

A flow yields a step and is sent the step's result, or has an error thrown in. It returns the
outcome, or raises RequestError. `HomeGroup` drives the flows. How far a flow has come when an error
reaches it decides what the caller is told:

- before the first byte is sent to an instance, the request did not run;
- once a write is sent, its outcome is unknown until a majority is known to hold it;
- a read changes nothing, so it may be repeated until a part of its answer is delivered.
"""

from __future__ import annotations

from collections.abc import Generator

from orchidwind.elected.core.flow_parts import (
    connect,
    connect_primary,
    may_retry,
    refused_by_replica,
    run,
)
from orchidwind.elected.core.group_view import PrimaryReference
from orchidwind.elected.core.ledger import claim_statement
from orchidwind.elected.core.named_write import named_write_flow
from orchidwind.elected.core.request_errors import (
    read_interrupted,
    transaction_lost,
    write_lost,
    write_not_confirmed,
)
from orchidwind.elected.core.retries import StatementLost, retry_read, retry_write
from orchidwind.elected.core.routing import Route
from orchidwind.elected.core.statements import (
    TRANSACTION_IDLE,
    FloorMode,
    Outcome,
    RequestKind,
    RunResult,
    StatementRequest,
)
from orchidwind.elected.core.steps import (
    BindTransaction,
    EndTransaction,
    Flow,
    OpenTransaction,
    Release,
    Step,
    StepResult,
    Suspect,
    WaitForConfirmation,
    WaitForFloor,
    WaitForReplay,
    WaitForRoute,
)
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.core.positions import ORIGIN, Position


def _route(request: StatementRequest) -> Generator[Step, StepResult, Route]:
    """Choose an instance for a read: determine the floor, then find an instance that covers it."""
    floor = request.floor.position
    asked = False
    if request.floor.mode is FloorMode.QUORUM:
        floor = yield from _fresh_floor(floor, "")
        asked = True
    while True:
        last = request.floor.last_read_instance
        route = yield WaitForRoute(floor, last)
        assert isinstance(route, Route)
        if not asked and last and route.instance != last:
            floor = yield from _fresh_floor(floor, last)
            asked = True
            continue
        if route.must_wait:
            covered = yield WaitForReplay(route.instance, floor)
            if not covered:
                continue
        return route


def _fresh_floor(floor: Position, include: str) -> Generator[Step, StepResult, Position]:
    position = yield WaitForFloor(include)
    assert isinstance(position, Position)
    return max(floor, position)


def read_flow(request: StatementRequest) -> Flow:
    """Run a read, or describe a statement, outside a transaction."""
    describe = request.kind is RequestKind.DESCRIBE
    attempts = 0
    while True:
        route = yield from _route(request)
        try:
            connection = yield from connect(request, route.instance)
            result = yield from run(
                connection, request.statement, deliver=not describe, describe=describe
            )
        except StatementLost as lost:
            attempts += int(lost.sent)
            if not (yield from may_retry(retry_read(lost, attempts))):
                raise (lost.reason or read_interrupted()) from lost
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


def token_flow(request: StatementRequest) -> Flow:
    """Return a position that covers everything that the session wrote and read."""
    floor = yield from _fresh_floor(request.floor.position, request.floor.last_read_instance)
    return Outcome(request.number, tag="SHOW", position=floor)


def write_flow(request: StatementRequest) -> Flow:
    """Run a write outside a transaction, at most once."""
    if request.request_id:
        return (yield from named_write_flow(request))
    while True:
        primary, connection = yield from connect_primary(request)
        try:
            result = yield from run(connection, request.statement, deliver=True)
        except StatementLost as lost:
            if not (yield from may_retry(retry_write(lost))):
                raise write_lost() from lost
            continue
        if refused_by_replica(result) and result.transaction_status == TRANSACTION_IDLE:
            yield Release(connection, reusable=True)
            yield Suspect(primary.instance)
            continue
        return (yield from _end_write(request, primary, connection, result))


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


def _confirmed(request: StatementRequest, primary: PrimaryReference, tag: str) -> Flow:
    try:
        position = yield WaitForConfirmation(primary.instance, primary.term)
    except RequestError as error:
        raise write_not_confirmed() from error
    assert isinstance(position, Position)
    return Outcome(request.number, tag=tag, instance=primary.instance, position=position)


def begin_flow(request: StatementRequest) -> Flow:
    """Run BEGIN, and bind a connection to the session until the transaction ends."""
    read_only = request.kind is RequestKind.BEGIN_READ_ONLY
    is_replica = False
    try:
        if read_only:
            route = yield from _route(request)
            instance, term, is_replica = route.instance, route.term, route.is_replica
            connection = yield from connect(request, instance)
        else:
            primary, connection = yield from connect_primary(request)
            instance, term = primary.instance, primary.term
        result = yield from run(connection, request.statement, deliver=True)
        if request.request_id and not read_only and result.error is None:
            yield from _claim_in_transaction(request, connection)
    except StatementLost as lost:
        raise (lost.reason or transaction_lost()) from lost
    if result.error is not None or result.transaction_status == TRANSACTION_IDLE:
        yield Release(connection, reusable=False)
        raise result.error or transaction_lost()
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
    claim = yield from run(connection, claim_statement(request.request_id, begin=False))
    if claim.error is not None or claim.tag.endswith(" 0"):
        yield Release(connection, reusable=False)
        raise claim.error or RequestError(
            ErrorKind.STATEMENT_FAILED,
            f'request "{request.request_id}" has run already',
            sqlstate="23505",
        )


def transaction_flow(request: StatementRequest, transaction: OpenTransaction, ends: bool) -> Flow:
    """Run a statement inside a transaction; `ends` means that it may commit."""
    describe = request.kind is RequestKind.DESCRIBE
    if request.kind is RequestKind.WRITE and not transaction.read_only:
        transaction.wrote = True
    try:
        result = yield from run(
            transaction.connection, request.statement, deliver=not describe, describe=describe
        )
    except StatementLost as lost:
        yield EndTransaction()
        if ends and transaction.wrote:
            raise write_lost() from lost
        raise (lost.reason or transaction_lost()) from lost
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
