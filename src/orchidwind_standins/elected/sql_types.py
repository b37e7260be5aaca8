"""PostgreSQL types of the stand-in: conversion between SQLite values and the wire formats.

Numeric, timestamp, date and uuid values are stored in SQLite as text; numeric values are therefore
ordered as text. Arrays are text literals.
"""

from __future__ import annotations

from datetime import UTC, date, datetime
from decimal import Decimal, InvalidOperation
from uuid import UUID

from pg_mimic import types as codec
from sqlglot import exp

SqlValue = None | int | float | str | bytes

INTEGER_TYPES = frozenset((codec.INT2, codec.INT4, codec.INT8, codec.OID))
FLOAT_TYPES = frozenset((codec.FLOAT4, codec.FLOAT8))
_TEXT_LIKE_TYPES = frozenset(
    (codec.TEXT, codec.VARCHAR, codec.UNKNOWN, codec.BPCHAR, codec.NAME, 0)
)
TYPE_SIZES = {
    codec.BOOL: 1,
    codec.INT2: 2,
    codec.INT4: 4,
    codec.INT8: 8,
    codec.FLOAT4: 4,
    codec.FLOAT8: 8,
    codec.TIMESTAMP: 8,
    codec.TIMESTAMPTZ: 8,
    codec.DATE: 4,
    codec.UUID: 16,
}
_TYPE_OIDS: dict[object, int] = {
    exp.DataType.Type.BOOLEAN: codec.BOOL,
    exp.DataType.Type.SMALLINT: codec.INT2,
    exp.DataType.Type.INT: codec.INT4,
    exp.DataType.Type.BIGINT: codec.INT8,
    exp.DataType.Type.SERIAL: codec.INT4,
    exp.DataType.Type.BIGSERIAL: codec.INT8,
    exp.DataType.Type.FLOAT: codec.FLOAT4,
    exp.DataType.Type.DOUBLE: codec.FLOAT8,
    exp.DataType.Type.DECIMAL: codec.NUMERIC,
    exp.DataType.Type.TEXT: codec.TEXT,
    exp.DataType.Type.VARCHAR: codec.VARCHAR,
    exp.DataType.Type.CHAR: codec.TEXT,
    exp.DataType.Type.VARBINARY: codec.BYTEA,
    exp.DataType.Type.BINARY: codec.BYTEA,
    exp.DataType.Type.TIMESTAMP: codec.TIMESTAMP,
    exp.DataType.Type.TIMESTAMPTZ: codec.TIMESTAMPTZ,
    exp.DataType.Type.DATE: codec.DATE,
    exp.DataType.Type.UUID: codec.UUID,
    exp.DataType.Type.JSON: codec.TEXT,
    exp.DataType.Type.JSONB: codec.TEXT,
}


def type_oid(kind: exp.DataType) -> int:
    """Return the type OID of a declared type; text for arrays and unknown types."""
    return _TYPE_OIDS.get(kind.this, codec.TEXT)


def sqlite_type(oid: int) -> str:
    """Return the SQLite type in which columns of a PostgreSQL type are declared."""
    if oid in INTEGER_TYPES or oid == codec.BOOL:
        return "INTEGER"
    if oid in FLOAT_TYPES:
        return "REAL"
    return "BLOB" if oid == codec.BYTEA else "TEXT"


def decode_parameter(oid: int, format_code: int, data: bytes | None) -> SqlValue:
    """Convert a parameter to an SQLite value.

    Raises ValueError, or ArithmeticError for a numeric, if it is malformed.
    """
    if data is None:
        return None
    if format_code == 1 and oid in _TEXT_LIKE_TYPES:
        return data.decode()
    if format_code == 1 and oid == codec.BYTEA:
        return data
    text = codec.decode_binary_param(oid, data) if format_code == 1 else data.decode()
    return _from_text(oid, str(text))


def _from_text(oid: int, text: str) -> SqlValue:
    if oid in INTEGER_TYPES:
        return int(text)
    if oid in FLOAT_TYPES:
        return float(text)
    if oid == codec.BOOL:
        return int(text.strip().lower() in ("t", "true", "1", "yes", "on"))
    if oid == codec.BYTEA:
        return bytes.fromhex(text.removeprefix("\\x"))
    if oid == codec.NUMERIC:
        return str(Decimal(text))
    return text


def encode_result(oid: int, format_code: int, value: SqlValue) -> bytes | None:
    """Convert an SQLite value to its wire format: text (0) or binary (1)."""
    if value is None:
        return None
    typed = _to_python(oid, value)
    if format_code == 1:
        return bytes(codec.encode_value_binary(oid, typed))
    return str(codec.encode_value(oid, typed)).encode()


def _to_python(oid: int, value: SqlValue) -> object:
    if oid in INTEGER_TYPES:
        return int(value)  # type: ignore[arg-type]
    if oid in FLOAT_TYPES:
        return float(value)  # type: ignore[arg-type]
    if oid == codec.BOOL:
        return bool(value)
    if oid == codec.BYTEA:
        return value if isinstance(value, bytes) else str(value).encode()
    if oid == codec.NUMERIC:
        return _decimal(str(value))
    return _text_to_python(oid, str(value))


def _decimal(text: str) -> Decimal:
    try:
        return Decimal(text)
    except InvalidOperation:
        return Decimal(0)


def _text_to_python(oid: int, text: str) -> object:
    if oid == codec.TIMESTAMP:
        return datetime.fromisoformat(text).replace(tzinfo=None)
    if oid == codec.TIMESTAMPTZ:
        timestamp = datetime.fromisoformat(text)
        return timestamp if timestamp.tzinfo else timestamp.replace(tzinfo=UTC)
    if oid == codec.DATE:
        return date.fromisoformat(text[:10])
    if oid == codec.UUID:
        return UUID(text)
    return text
