"""Reads the parts of libpq's answer to one statement and forwards rows and tags as they arrive.

Holds back the newest command tag, since the caller must receive the last one only once the outcome
of the request is known. Relies on `BackendConnection` for the order of the parts.
"""

from __future__ import annotations

from psycopg import pq
from psycopg.pq.abc import PGresult

from orchidwind.elected.core.statements import Column, Description, RunResult
from orchidwind.elected.network.answer_port import AnswerPort
from orchidwind.elected.postgres.wire import codec
from orchidwind.shared.core.errors import ErrorKind, RequestError

_ROW_STATUSES = (pq.ExecStatus.TUPLES_OK, pq.ExecStatus.TUPLES_CHUNK)
_ERROR_STATUSES = (pq.ExecStatus.FATAL_ERROR, pq.ExecStatus.BAD_RESPONSE)


class AnswerReader:
    """Collects an answer in a `RunResult` and forwards its rows to a port.

    Without a port, only the first row is kept.
    """

    def __init__(self, port: AnswerPort | None) -> None:
        self.result = RunResult()
        self._port = port
        self._tag_held = False
        self._columns_sent = False
        self._chunk_tag = ""

    async def add_part(self, part: PGresult) -> None:
        """Process the next part of the answer."""
        error = error_of(part)
        if error is not None:
            self.result.error = self.result.error or error
            return
        if part.status in _ROW_STATUSES:
            await self._deliver_rows(part)
        # libpq attaches the tag to the part that it was building when CommandComplete arrived.
        tag = (part.command_status or b"").decode()
        if part.status == pq.ExecStatus.TUPLES_CHUNK:
            self._chunk_tag = tag or self._chunk_tag
            return
        await self._hold_tag(tag or self._chunk_tag)
        self._chunk_tag = ""

    async def _hold_tag(self, tag: str) -> None:
        await self._deliver_held_tag()
        self.result.tag = tag
        self._tag_held = True

    async def _deliver_held_tag(self) -> None:
        if self._tag_held and self._port is not None:
            self.result.delivered = True
            await self._port.tag(self.result.tag)
        self._tag_held = False

    async def _deliver_rows(self, part: PGresult) -> None:
        if self._port is None:
            if part.ntuples and not self.result.first_row:
                self.result.first_row = tuple(_row_values(part, 0))
            return
        self.result.delivered = True
        if not self._columns_sent:
            await self._deliver_held_tag()
            await self._port.columns(_columns(part))
        self._columns_sent = part.status == pq.ExecStatus.TUPLES_CHUNK
        if part.ntuples:
            rows = (codec.make_data_row(_row_values(part, row)) for row in range(part.ntuples))
            await self._port.rows(b"".join(rows), part.ntuples)


def error_of(part: PGresult) -> RequestError | None:
    """Return the error that a part of an answer carries, or None if it carries none."""
    return _request_error(part) if part.status in _ERROR_STATUSES else None


def _row_values(part: PGresult, row: int) -> list[bytes | None]:
    return [part.get_value(row, column) for column in range(part.nfields)]


def _columns(part: PGresult) -> tuple[Column, ...]:
    return tuple(
        Column(
            (part.fname(index) or b"").decode(),
            part.ftype(index),
            part.fsize(index),
            part.fmod(index),
            part.ftable(index),
            part.ftablecol(index),
        )
        for index in range(part.nfields)
    )


def description_of(part: PGresult) -> Description:
    """Return the types of a prepared statement from the answer to Describe."""
    types = tuple(part.param_type(index) for index in range(part.nparams))
    return Description(types, _columns(part))


def _request_error(part: PGresult) -> RequestError:
    def read(name: pq.DiagnosticField) -> str:
        return (part.error_field(name) or b"").decode(errors="replace")

    return RequestError(
        ErrorKind.STATEMENT_FAILED,
        read(pq.DiagnosticField.MESSAGE_PRIMARY) or part.error_message.decode(errors="replace"),
        sqlstate=read(pq.DiagnosticField.SQLSTATE) or None,
        detail=read(pq.DiagnosticField.MESSAGE_DETAIL),
    )
