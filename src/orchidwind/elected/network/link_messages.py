"""Converts requests and outcomes to messages of a link between proxies, and back.

Used by both ends of a link. Owns: the conversion between `core/statements.py` and the records of
`codec.py`. Relies on: the values of the enums matching the schema.
"""

from __future__ import annotations

from orchidwind.elected.core.statements import (
    ChannelKey,
    Column,
    Description,
    Floor,
    FloorMode,
    Outcome,
    RequestKind,
    SessionSetting,
    Statement,
    StatementRequest,
)
from orchidwind.elected.network import codec
from orchidwind.shared.core.admission import TrafficClass
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.core.positions import Position


def to_execute(request: StatementRequest, now: float) -> codec.Execute:
    """Convert a request to a message; the deadline is sent as the remaining time."""
    statement, floor, traffic_class = request.statement, request.floor, request.traffic_class
    return codec.Execute(
        number=request.number,
        channel=request.channel.number,
        database=request.database,
        kind=request.kind.value,
        sql=statement.sql,
        simple=statement.simple,
        parameter_types=statement.parameter_types,
        parameters=statement.parameters,
        parameter_formats=statement.parameter_formats,
        result_format=statement.result_format,
        floor_mode=floor.mode.value,
        floor_term=floor.position.term,
        floor_lsn=floor.position.lsn,
        last_read_instance=floor.last_read_instance,
        class_name=traffic_class.name,
        class_weight=traffic_class.weight,
        class_deadline=traffic_class.deadline,
        class_queue_bound=traffic_class.queue_bound,
        remaining=request.expires_at - now,
        in_transaction=request.in_transaction,
        request_id=request.request_id,
        settings=tuple(codec.Setting(item.name, item.value) for item in request.settings),
    )


def from_execute(message: codec.Execute, origin: str, number: int, now: float) -> StatementRequest:
    """Convert a message to a request at the home, under the home's own number."""
    return StatementRequest(
        number=number,
        channel=ChannelKey(origin, message.channel),
        database=message.database,
        kind=RequestKind(message.kind),
        statement=Statement(
            message.sql,
            message.simple,
            message.parameter_types,
            message.parameters,
            message.parameter_formats,
            message.result_format,
        ),
        floor=Floor(
            FloorMode(message.floor_mode),
            Position(message.floor_term, message.floor_lsn),
            message.last_read_instance,
        ),
        traffic_class=TrafficClass(
            message.class_name,
            message.class_weight,
            message.class_deadline,
            message.class_queue_bound,
        ),
        expires_at=now + message.remaining,
        in_transaction=message.in_transaction,
        request_id=message.request_id,
        settings=tuple(SessionSetting(item.name, item.value) for item in message.settings),
    )


def to_answer(outcome: Outcome, number: int) -> codec.Done | codec.Failed:
    """Convert an outcome to a message."""
    error = outcome.error
    if error is not None:
        return codec.Failed(
            number,
            error.kind.value,
            error.sqlstate,
            error.message,
            error.detail,
            error.retry_after_milliseconds,
            outcome.transaction_status,
        )
    description = outcome.description or Description()
    return codec.Done(
        number=number,
        tag=outcome.tag,
        transaction_status=outcome.transaction_status,
        instance=outcome.instance,
        is_replica=outcome.is_replica,
        term=outcome.position.term,
        lsn=outcome.position.lsn,
        described=outcome.description is not None,
        parameter_types=description.parameter_types,
        columns=to_records(description.columns),
    )


def from_answer(answer: codec.Done | codec.Failed) -> Outcome:
    """Convert a message to an outcome at the front proxy."""
    if isinstance(answer, codec.Failed):
        error = RequestError(
            ErrorKind(answer.kind),
            answer.message,
            retry_after_milliseconds=answer.retry_after_milliseconds,
            sqlstate=answer.sqlstate,
            detail=answer.detail,
        )
        return Outcome(answer.number, error, transaction_status=answer.transaction_status)
    description = None
    if answer.described:
        description = Description(answer.parameter_types, from_records(answer.columns))
    return Outcome(
        number=answer.number,
        tag=answer.tag,
        transaction_status=answer.transaction_status,
        instance=answer.instance,
        is_replica=answer.is_replica,
        position=Position(answer.term, answer.lsn),
        description=description,
    )


def to_records(columns: tuple[Column, ...]) -> tuple[codec.ColumnRecord, ...]:
    """Convert columns to records."""
    return tuple(
        codec.ColumnRecord(
            column.name,
            column.type_oid,
            column.type_size,
            column.type_modifier,
            column.table_oid,
            column.column_number,
        )
        for column in columns
    )


def from_records(records: tuple[codec.ColumnRecord, ...]) -> tuple[Column, ...]:
    """Convert records to columns."""
    return tuple(
        Column(
            record.name,
            record.type_oid,
            record.type_size,
            record.type_modifier,
            record.table_oid,
            record.column_number,
        )
        for record in records
    )
