"""Error kinds, the response that a caller gets for each, and the exception classes.

Owns: the SQLSTATE, the information whether the request ran, and the retry delay of each error kind.
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
    """The complete list of errors with which a request can end."""

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
    QUOTA_UNAVAILABLE = "quota_unavailable"
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
    """The response to a caller for one error kind.

    `retry_after_milliseconds` is the default retry delay, None if a retry is of no use.
    """

    sqlstate: str
    ran: Ran
    retry_after_milliseconds: int | None
    severity: str = "ERROR"


# The retry delays, in milliseconds: 500 while the primary is being replaced, which takes about a
# second, and until a proxy receives a newer configuration or a share of a quota; 200 for a queue to
# drain; 50 where a retry may run at once; 1000 where other callers have to finish first. They
# determine how soon refused callers retry. Those refused without a primary or replica in
# the promoted topology are told other times (`promoted/core/return_times`).
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
    ErrorKind.QUOTA_UNAVAILABLE: Answer("57P03", Ran.NO, 500),
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
    """Base class of all errors that this project raises."""


class SettingsError(OrchidwindError):
    """An invalid settings or operators' file: one line with the file, the key and the reason."""

    def __init__(self, source: str, key: str, reason: str) -> None:
        super().__init__(f"{source}: {key}: {reason}")
        self.source = source
        self.key = key
        self.reason = reason


class PlatformError(OrchidwindError):
    """The platform's service did not answer, or refused a call."""


class PlatformConflict(PlatformError):
    """The platform holds a different version of the object than the call named.

    `held` is the body of the platform's answer, which may contain the object that it holds.
    """

    def __init__(self, message: str, held: bytes = b"") -> None:
        super().__init__(message)
        self.held = held


class PlatformMissing(PlatformError):
    """The platform holds no object of this name."""


class PlatformUncertain(PlatformError):
    """A modifying call was not answered: it may have taken effect, or may still do so."""


class PlatformVersionGone(PlatformError):
    """A watch named a version that the platform no longer holds."""


class RequestError(OrchidwindError):
    """A request failed with one of the error kinds.

    `sqlstate` and `detail` differ from `ANSWERS` only for errors that a database instance reported.
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
        """Return the text of the HINT field: whether the request ran, and the retry delay.

        Empty for an error of the statement itself.
        """
        if self.kind is ErrorKind.STATEMENT_FAILED:
            return ""
        words = [f"ran={self.ran.value}"]
        if self.retry_after_milliseconds is not None:
            words.append(f"retry_after_ms={self.retry_after_milliseconds}")
        return " ".join(words)


class BackendConnectionLost(OrchidwindError):
    """The connection to a database instance broke.

    `sent` is true if any byte of the statement had been sent, `delivered` if a part of its answer
    had been passed on to the caller.
    """

    def __init__(self, message: str, *, sent: bool, delivered: bool = False) -> None:
        super().__init__(message)
        self.sent = sent
        self.delivered = delivered


class BackendRefused(OrchidwindError):
    """An instance refused a new connection; `sqlstate` 53300 means its connection limit is met."""

    def __init__(self, message: str, sqlstate: str) -> None:
        super().__init__(message)
        self.sqlstate = sqlstate


class PeerUnavailable(OrchidwindError):
    """The link to another proxy is down; `sent` is true if the request had been sent."""

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class ProofMissing(OrchidwindError):
    """It could not be proven that an instance is still the primary of its group."""
