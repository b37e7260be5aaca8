"""The closed list of error kinds, the table from kind to answer, and the exception tree.

Owns: what a caller gets for each kind: its SQLSTATE, whether the request ran and when to come back.
Source of the SQLSTATE codes: PostgreSQL manual, appendix A.
"""

from __future__ import annotations

from enum import Enum, unique

from msgspec import Struct


@unique
class Ran(Enum):
    """Whether the request had an effect on a database."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


@unique
class ErrorKind(Enum):
    """Every way a request can end other than by its own answer."""

    OVERLOADED = "overloaded"
    DEADLINE_PASSED = "deadline_passed"
    NO_PRIMARY = "no_primary"
    NO_REPLICA = "no_replica"
    NO_HOME = "no_home"
    PROXY_STOPPING = "proxy_stopping"
    TRANSACTION_LOST = "transaction_lost"
    READ_INTERRUPTED = "read_interrupted"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CANCELLED = "cancelled"
    AUTHENTICATION_FAILED = "authentication_failed"
    CONFIGURATION_TOO_OLD = "configuration_too_old"
    QUOTA_EXCEEDED = "quota_exceeded"
    UNKNOWN_DATABASE = "unknown_database"
    NOT_SUPPORTED = "not_supported"
    PROTOCOL_VIOLATION = "protocol_violation"
    TOO_MANY_CALLERS = "too_many_callers"
    INVALID_SETTING = "invalid_setting"
    STATEMENT_FAILED = "statement_failed"
    STATEMENT_TIMEOUT = "statement_timeout"
    UNKNOWN_STATEMENT = "unknown_statement"
    MESSAGE_TOO_LARGE = "message_too_large"
    INTERNAL = "internal"


class Answer(Struct, frozen=True):
    """What a caller gets for an error kind.

    `retry_after_milliseconds` is the default time to come back, None where a repeat is of no use.
    """

    sqlstate: str
    ran: Ran
    retry_after_milliseconds: int | None
    severity: str = "ERROR"


# The times to come back, in milliseconds: 500 within a change of primary, which takes about a
# second, and until a proxy has news of its configuration, 200 for a queue to drain, 50 where
# another attempt may run at once, 1000 where other callers have to end first. How soon refused
# callers repeat depends on them.
ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.OVERLOADED: Answer("53000", Ran.NO, 200),
    ErrorKind.DEADLINE_PASSED: Answer("57014", Ran.NO, 200),
    ErrorKind.NO_PRIMARY: Answer("57P03", Ran.NO, 500),
    ErrorKind.NO_REPLICA: Answer("57P03", Ran.NO, 500),
    ErrorKind.NO_HOME: Answer("57P03", Ran.NO, 500),
    ErrorKind.PROXY_STOPPING: Answer("57P01", Ran.NO, 0, "FATAL"),
    ErrorKind.TRANSACTION_LOST: Answer("40003", Ran.NO, 50),
    ErrorKind.READ_INTERRUPTED: Answer("08006", Ran.NO, 50),
    ErrorKind.OUTCOME_UNKNOWN: Answer("08007", Ran.UNKNOWN, None),
    ErrorKind.CANCELLED: Answer("57014", Ran.NO, None),
    ErrorKind.AUTHENTICATION_FAILED: Answer("28P01", Ran.NO, None, "FATAL"),
    ErrorKind.CONFIGURATION_TOO_OLD: Answer("57P03", Ran.NO, 500),
    ErrorKind.QUOTA_EXCEEDED: Answer("53400", Ran.NO, 1000),
    ErrorKind.UNKNOWN_DATABASE: Answer("3D000", Ran.NO, None, "FATAL"),
    ErrorKind.NOT_SUPPORTED: Answer("0A000", Ran.NO, None),
    ErrorKind.PROTOCOL_VIOLATION: Answer("08P01", Ran.NO, None, "FATAL"),
    ErrorKind.TOO_MANY_CALLERS: Answer("53300", Ran.NO, 1000, "FATAL"),
    ErrorKind.INVALID_SETTING: Answer("22023", Ran.NO, None),
    ErrorKind.STATEMENT_FAILED: Answer("XX000", Ran.NO, None),
    ErrorKind.STATEMENT_TIMEOUT: Answer("57014", Ran.UNKNOWN, None),
    ErrorKind.UNKNOWN_STATEMENT: Answer("26000", Ran.NO, None),
    ErrorKind.MESSAGE_TOO_LARGE: Answer("54000", Ran.NO, None, "FATAL"),
    ErrorKind.INTERNAL: Answer("XX000", Ran.UNKNOWN, None),
}


class OrchidwindError(Exception):
    """Root of all errors that this project raises."""


class SettingsError(OrchidwindError):
    """A settings or operator file is wrong: one line with file, key and reason."""

    def __init__(self, source: str, key: str, reason: str) -> None:
        super().__init__(f"{source}: {key}: {reason}")
        self.source = source
        self.key = key
        self.reason = reason


class PlatformError(OrchidwindError):
    """The platform's service did not answer, or refused."""


class PlatformConflict(PlatformError):
    """The platform holds another version of the object than the one named.

    `held` is the body of its answer, which may contain that object.
    """

    def __init__(self, message: str, held: bytes = b"") -> None:
        super().__init__(message)
        self.held = held


class PlatformMissing(PlatformError):
    """The platform holds no such object."""


class PlatformUncertain(PlatformError):
    """No answer came to a call that changes something: it may have been done, or may be yet."""


class PlatformVersionGone(PlatformError):
    """A watch asked for a version that the platform no longer holds."""


class RequestError(OrchidwindError):
    """A request ended with one of the closed list of error kinds.

    `sqlstate` and `detail` differ from the table only for errors that a back end reported.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        retry_after_milliseconds: int | None = None,
        sqlstate: str | None = None,
        detail: str = "",
    ) -> None:
        super().__init__(message)
        answer = ANSWERS[kind]
        self.kind = kind
        self.message = message
        self.ran = answer.ran
        self.sqlstate = sqlstate or answer.sqlstate
        self.severity = answer.severity
        self.detail = detail
        if retry_after_milliseconds is None:
            retry_after_milliseconds = answer.retry_after_milliseconds
        self.retry_after_milliseconds = retry_after_milliseconds

    def hint(self) -> str:
        """Text of the HINT field: whether the request ran, and when to come back."""
        if self.kind is ErrorKind.STATEMENT_FAILED:
            return ""
        words = [f"ran={self.ran.value}"]
        if self.retry_after_milliseconds is not None:
            words.append(f"retry_after_ms={self.retry_after_milliseconds}")
        return " ".join(words)


class BackendConnectionLost(OrchidwindError):
    """The connection to a database instance broke.

    `sent` tells whether a byte of the statement had left, `delivered` whether a part of its answer
    had gone on to the caller.
    """

    def __init__(self, message: str, *, sent: bool, delivered: bool = False) -> None:
        super().__init__(message)
        self.sent = sent
        self.delivered = delivered


class BackendRefused(OrchidwindError):
    """A database instance refused a new connection; `sqlstate` 53300 means its limit is met."""

    def __init__(self, message: str, sqlstate: str) -> None:
        super().__init__(message)
        self.sqlstate = sqlstate


class PeerUnavailable(OrchidwindError):
    """The link to another proxy is not up; `sent` tells whether the request had left."""

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class ProofMissing(OrchidwindError):
    """It could not be shown that an instance is still the primary of its group."""
