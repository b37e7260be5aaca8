"""Prepared statements and portals of one session of the extended query protocol.

Used by `extended_query.py`. Holds them by name, with the rows of portals not yet fetched
completely.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidwind.elected.postgres.executor import Description, Statement
from orchidwind.elected.postgres.wire import codec
from orchidwind.shared.core.errors import ErrorKind, RequestError

# Limit of prepared statements in one session; limits memory.
MAXIMUM_PREPARED_STATEMENTS = 2_000
_OID_MASK = 0xFFFFFFFF  # the codec reads type OIDs as signed integers


@dataclass(slots=True)
class PreparedStatement:
    """A parsed statement; its description is fetched at the first Describe."""

    sql: str
    parameter_types: tuple[int, ...]
    description: Description | None = None


@dataclass(slots=True)
class Portal:
    """A bound statement, and the rows that an Execute with a row limit has not sent yet."""

    prepared: PreparedStatement
    statement: Statement
    result_formats: tuple[int, ...]
    started: bool = False
    remaining_rows: list[bytes] = field(default_factory=list)
    command_tag: str = ""
    describe_on_execute: bool = False


class PortalTable:
    """The prepared statements and portals of a session, by name."""

    def __init__(self) -> None:
        self.statements: dict[str, PreparedStatement] = {}
        self.portals: dict[str, Portal] = {}

    def parse(self, body: bytes) -> None:
        """Create a prepared statement from the body of a Parse message; raises RequestError."""
        parsed = codec.parse_parse(body)
        if parsed.statement_name and parsed.statement_name in self.statements:
            raise RequestError(
                ErrorKind.STATEMENT_FAILED,
                f'prepared statement "{parsed.statement_name}" already exists',
                sqlstate="42P05",
            )
        is_new = parsed.statement_name not in self.statements
        if is_new and len(self.statements) >= MAXIMUM_PREPARED_STATEMENTS:
            raise RequestError(ErrorKind.OVERLOADED, "too many prepared statements in one session")
        types = tuple(oid & _OID_MASK for oid in parsed.param_oids)
        self.statements[parsed.statement_name] = PreparedStatement(parsed.sql, types)

    def statement(self, name: str) -> PreparedStatement:
        """Look up a prepared statement; raises RequestError if it does not exist."""
        prepared = self.statements.get(name)
        if prepared is None:
            raise RequestError(
                ErrorKind.STATEMENT_FAILED,
                f'prepared statement "{name}" does not exist',
                sqlstate="26000",
            )
        return prepared

    def portal(self, name: str) -> Portal:
        """Look up a portal; raises RequestError if it does not exist."""
        portal = self.portals.get(name)
        if portal is None:
            raise RequestError(
                ErrorKind.STATEMENT_FAILED, f'portal "{name}" does not exist', sqlstate="34000"
            )
        return portal

    def bind(self, body: bytes) -> None:
        """Create a portal from the body of a Bind message; raises RequestError."""
        bound = codec.parse_bind(body)
        prepared = self.statement(bound.statement_name)
        formats = tuple(bound.result_format_codes)
        if len(set(formats)) > 1:
            raise RequestError(
                ErrorKind.NOT_SUPPORTED, "text and binary columns in one result are not supported"
            )
        types = prepared.parameter_types
        if prepared.description is not None:
            types = prepared.description.parameter_types
        statement = Statement(
            sql=prepared.sql,
            parameter_types=types,
            parameters=tuple(bound.params),
            parameter_formats=tuple(bound.param_format_codes),
            result_format=formats[0] if formats else 0,
        )
        self.portals[bound.portal_name] = Portal(prepared, statement, formats)

    def close(self, body: bytes) -> None:
        """Close the target of a Close message; an unknown name is no error."""
        target = codec.parse_close(body)
        if target.kind == codec.TARGET_STATEMENT:
            self.statements.pop(target.name, None)
        else:
            self.portals.pop(target.name, None)

    def end_transaction(self) -> None:
        """Drop all portals, which live until the end of their transaction."""
        self.portals.clear()
