"""The state of one session at its front proxy: its floor, settings and transaction status.

For: the front proxy, which asks for a plan for each statement text. Owns: this state, which is lost
with the connection unless the caller carries over a token. Relies on: `classification.py` for what
a statement may do.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, replace

from orchidwind.elected.core.classification import (
    Classification,
    StatementKind,
    classify,
    comment_tags,
    split_comment,
)
from orchidwind.elected.core.ledger import is_valid_request_id
from orchidwind.elected.core.statements import (
    TRANSACTION_FAILED,
    TRANSACTION_IDLE,
    Floor,
    FloorMode,
    Outcome,
    RequestKind,
    SessionSetting,
)
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.core.positions import ORIGIN, Position

SETTING_SESSION = "orchidwind.session"
SETTING_TOKEN = "orchidwind.session_token"
SETTING_REQUEST = "orchidwind.request_id"
_OWN_PREFIX = "orchidwind."
_SETTING_NAME = re.compile(r"[a-z_][a-z0-9_.]*")
_SETTING_VALUE = re.compile(r"'(?:[^']|'')*'|[\w.+\-]+(?:\s*,\s*[\w.+\-]+)*|\"[^\"]*\"")
_REFUSED_SETTINGS = frozenset(("role", "session_authorization", "session characteristics"))
# Bounds the size of requests, since each one carries all settings of its session.
_MAXIMUM_SETTINGS = 50

_REQUEST_KINDS = {
    StatementKind.READ: RequestKind.READ,
    StatementKind.WRITE: RequestKind.WRITE,
    StatementKind.BEGIN: RequestKind.BEGIN,
    StatementKind.BEGIN_READ_ONLY: RequestKind.BEGIN_READ_ONLY,
    StatementKind.SHOW: RequestKind.READ,
    StatementKind.COMMIT: RequestKind.CONTROL,
    StatementKind.ROLLBACK: RequestKind.CONTROL,
    StatementKind.SAVEPOINT: RequestKind.CONTROL,
    StatementKind.SET_LOCAL: RequestKind.CONTROL,
}


@dataclass(frozen=True, slots=True)
class LocalAnswer:
    """The front proxy answers itself: with a command tag, and for SHOW a column with a value."""

    tag: str
    column: str = ""
    value: str = ""


@dataclass(frozen=True, slots=True)
class AskToken:
    """The caller requests the session's token, which must be obtained from the home proxy."""


@dataclass(frozen=True, slots=True)
class Forward:
    """The statement goes to the database's home proxy; `sql` replaces its text if not empty."""

    kind: RequestKind
    traffic_tag: str = ""
    request_id: str = ""
    sql: str = ""


Plan = LocalAnswer | AskToken | Forward


class CallerSession:
    """The state of one caller connection, without I/O."""

    def __init__(self, options: dict[str, str]) -> None:
        self.identity = ""
        self.floor = Floor(FloorMode.KNOWN)
        self.settings: tuple[SessionSetting, ...] = ()
        self.transaction_status = TRANSACTION_IDLE
        self._request_id = ""
        self._transaction_lost = False
        self._failed_at_proxy = False
        for name, value in options.items():
            if name.startswith(_OWN_PREFIX):
                self._set_own(name, value)

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction block is open, including a failed one."""
        return self.transaction_status != TRANSACTION_IDLE

    def plan(self, sql: str) -> Plan:
        """Decide how to handle a statement; raises RequestError if the front proxy refuses it."""
        text, comment = split_comment(sql)
        classification = classify(text)
        kind = classification.kind
        if kind is StatementKind.NOT_SUPPORTED:
            raise RequestError(ErrorKind.NOT_SUPPORTED, classification.reason)
        if self._transaction_lost or self._failed_at_proxy:
            return self._plan_after_failure(kind, text)
        local = self._plan_locally(classification)
        if local is not None:
            return local
        return self._forward(kind, comment)

    def describe_plan(self, sql: str) -> Plan:
        """Decide how to describe a statement; unlike `plan`, changes no state."""
        classification = classify(split_comment(sql)[0])
        kind = classification.kind
        if kind is StatementKind.NOT_SUPPORTED:
            raise RequestError(ErrorKind.NOT_SUPPORTED, classification.reason)
        if kind is StatementKind.SHOW:
            plan = self._show(classification.name)
            if plan is not None:
                return plan
        if kind not in (StatementKind.READ, StatementKind.WRITE, StatementKind.SHOW):
            return LocalAnswer("")
        if self._transaction_lost or self._failed_at_proxy:
            raise _aborted()
        return Forward(RequestKind.DESCRIBE)

    def _plan_after_failure(self, kind: StatementKind, sql: str) -> Plan:
        """Accept only the end of a failed block; COMMIT then rolls back, as in PostgreSQL."""
        if kind is StatementKind.SAVEPOINT and self._failed_at_proxy and _rolls_back(sql):
            return Forward(RequestKind.CONTROL)
        if kind not in (StatementKind.COMMIT, StatementKind.ROLLBACK):
            raise _aborted()
        if self._transaction_lost:
            self._end_transaction()
            return LocalAnswer("ROLLBACK")
        return Forward(RequestKind.CONTROL, sql="ROLLBACK")

    def _plan_locally(self, classification: Classification) -> Plan | None:
        kind = classification.kind
        if kind is StatementKind.EMPTY:
            return LocalAnswer("")
        if kind is StatementKind.SET:
            return self._set(classification)
        if kind is StatementKind.RESET:
            return self._reset(classification)
        if kind is StatementKind.SHOW:
            return self._show(classification.name)
        if not self.in_transaction:
            if kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
                return LocalAnswer(kind.value.upper())
            if kind is StatementKind.SET_LOCAL:
                return LocalAnswer("SET")
        return None

    def _forward(self, kind: StatementKind, comment: str) -> Forward:
        tags = comment_tags(comment)
        request_id = ""
        names_request = kind in (StatementKind.WRITE, StatementKind.BEGIN)
        if names_request and not self.in_transaction:
            request_id = self._take_request_id(tags.request_id)
        return Forward(_REQUEST_KINDS[kind], tags.traffic_class, request_id)

    def _take_request_id(self, tagged: str) -> str:
        request_id = tagged or self._request_id
        self._request_id = ""
        if request_id and not is_valid_request_id(request_id):
            raise RequestError(
                ErrorKind.INVALID_SETTING,
                "a request_id has 1 to 128 letters, digits, and the signs _ . : -",
            )
        return request_id

    def _set(self, classification: Classification) -> Plan:
        name, value = classification.name, classification.value.strip()
        if not _SETTING_NAME.fullmatch(name) or not _SETTING_VALUE.fullmatch(value):
            raise RequestError(
                ErrorKind.INVALID_SETTING, f"this form of SET {name} is not supported"
            )
        if name in _REFUSED_SETTINGS:
            raise RequestError(ErrorKind.NOT_SUPPORTED, f"SET {name} is not supported")
        if name.startswith(_OWN_PREFIX):
            self._set_own(name, _unquote(value))
            return LocalAnswer("SET")
        if self.in_transaction:
            raise RequestError(
                ErrorKind.NOT_SUPPORTED, "SET inside a transaction must be SET LOCAL"
            )
        others = tuple(item for item in self.settings if item.name != name)
        if len(others) >= _MAXIMUM_SETTINGS:
            raise RequestError(ErrorKind.INVALID_SETTING, "too many settings in one session")
        self.settings = (*others, SessionSetting(name, value))
        return LocalAnswer("SET")

    def _set_own(self, name: str, value: str) -> None:
        if name == SETTING_SESSION:
            self.identity = value
            if self.floor.position == ORIGIN:
                mode = FloorMode.QUORUM if value else FloorMode.KNOWN
                self.floor = Floor(mode)
        elif name == SETTING_TOKEN:
            try:
                position = Position.parse(value)
            except ValueError as error:
                raise RequestError(ErrorKind.INVALID_SETTING, f"bad token: {error}") from error
            known = max(position, self.floor.position)
            last_read = self.floor.last_read_instance
            self.floor = Floor(FloorMode.KNOWN, known, last_read)
        elif name == SETTING_REQUEST:
            self._request_id = value
        else:
            raise RequestError(ErrorKind.INVALID_SETTING, f"unknown setting {name}")

    def _reset(self, classification: Classification) -> Plan:
        name = classification.name
        if name == "none":
            return LocalAnswer("DEALLOCATE")
        if name == "all":
            self.settings = ()
        else:
            self.settings = tuple(item for item in self.settings if item.name != name)
        return LocalAnswer("RESET")

    def _show(self, name: str) -> Plan | None:
        if name == SETTING_TOKEN:
            if self.in_transaction:
                reason = "ask for the session's token outside a transaction"
                raise RequestError(ErrorKind.NOT_SUPPORTED, reason)
            return AskToken()
        if name == SETTING_SESSION:
            return LocalAnswer("SHOW", name, self.identity)
        for item in self.settings:
            if item.name == name:
                return LocalAnswer("SHOW", name, _unquote(item.value))
        return None

    def finished(self, outcome: Outcome) -> None:
        """Update the transaction status and the floor from the outcome of a request."""
        error = outcome.error
        if error is not None and error.kind is ErrorKind.TRANSACTION_LOST and self.in_transaction:
            self.lose_transaction()
            return
        self.transaction_status = outcome.transaction_status
        if outcome.transaction_status == TRANSACTION_IDLE or error is None:
            self._failed_at_proxy = False
        self._raise_floor(outcome)

    def _raise_floor(self, outcome: Outcome) -> None:
        if self.floor.mode is FloorMode.QUORUM:
            return
        if outcome.position > self.floor.position:
            covered = outcome.instance == self.floor.last_read_instance
            last_read = "" if covered else self.floor.last_read_instance
            self.floor = Floor(FloorMode.KNOWN, outcome.position, last_read)
        elif outcome.instance and outcome.position == ORIGIN:
            self.floor = replace(self.floor, last_read_instance=outcome.instance)

    def lose_transaction(self) -> None:
        """Mark the transaction as lost; statements are refused until the block is ended."""
        self._transaction_lost = True
        self.transaction_status = TRANSACTION_FAILED

    def mark_failed(self) -> None:
        """Mark the open transaction as failed after an error that did not reach the home proxy."""
        if self.in_transaction and self.transaction_status != TRANSACTION_FAILED:
            self._failed_at_proxy = True
            self.transaction_status = TRANSACTION_FAILED

    def _end_transaction(self) -> None:
        self._transaction_lost = False
        self._failed_at_proxy = False
        self.transaction_status = TRANSACTION_IDLE


def _aborted() -> RequestError:
    return RequestError(
        ErrorKind.STATEMENT_FAILED,
        "current transaction is aborted, commands ignored until end of transaction block",
        sqlstate="25P02",
    )


def _rolls_back(sql: str) -> bool:
    return sql.lstrip().upper().startswith("ROLLBACK")


def _unquote(value: str) -> str:
    if len(value) >= 2 and value[0] == value[-1] == "'":
        return value[1:-1].replace("''", "'")
    return value
