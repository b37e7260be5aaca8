"""Parameters and results of a statement: from the wire to SQLite values, and back."""

from __future__ import annotations

from pg_mimic.types import TEXT

from orchidwind.elected.postgres import wire
from orchidwind.elected.postgres.executor import Statement
from orchidwind.elected.postgres.wire import Column, codec
from orchidwind_standins.elected.sql_errors import sql_error
from orchidwind_standins.elected.sql_translation import Translated
from orchidwind_standins.elected.sql_types import (
    TYPE_SIZES,
    SqlValue,
    decode_parameter,
    encode_result,
)


def text_oid() -> int:
    """Return the type OID of text."""
    return int(TEXT)


def decode_parameters(translated: Translated, statement: Statement) -> list[SqlValue]:
    """Return the values of a statement's parameters; raises RequestError, ValueError."""
    if len(statement.parameters) != len(translated.parameter_types):
        raise sql_error(
            "08P01",
            f"bind message supplies {len(statement.parameters)} parameters, but the statement"
            f" requires {len(translated.parameter_types)}",
        )
    return [
        decode_parameter(oid, wire.format_code(statement.parameter_formats, index), data)
        for index, (oid, data) in enumerate(
            zip(translated.parameter_types, statement.parameters, strict=True)
        )
    ]


def wire_columns(translated: Translated) -> tuple[Column, ...]:
    """Return the description of the result's columns."""
    return tuple(
        Column(column.name, column.oid, TYPE_SIZES.get(column.oid, -1))
        for column in translated.columns
    )


def encode_row(oids: list[int], result_format: int, row: tuple[SqlValue, ...]) -> bytes:
    """Return the message of one row; raises ValueError, TypeError if a value does not fit."""
    values = [encode_result(oid, result_format, v) for oid, v in zip(oids, row, strict=True)]
    return bytes(codec.make_data_row(values))


def command_tag(translated: Translated, affected: int) -> str:
    """Return the tag with which PostgreSQL reports the end of a command."""
    if translated.command == "INSERT":
        return f"INSERT 0 {affected}"
    if translated.command in ("SELECT", "UPDATE", "DELETE"):
        return f"{translated.command} {affected}"
    return translated.command
