"""Counts the failed commands of a log by second, group and cause.

Shows where commands failed and why, as a basis for changes of the proxy's rules. Reads the log
lines `request_failed` (docs/OPERATIONS.md). Every such line is counted; those that fit no cause are
counted as unexplained. Successful commands are only sampled in the logs, so late answers are not
counted.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from enum import Enum, unique

from msgspec import Struct

from orchidwind.commands.explain import LogLine
from orchidwind.shared.core.errors import ErrorKind

_FAILED = "request_failed"
# A refusal within this time counts as a refusal on arrival.
_AT_ONCE_MILLISECONDS = 20


@unique
class Cause(Enum):
    """Why a command failed."""

    CALLER_LEFT = "the caller left"
    NO_PRIMARY = "waited for a primary"
    NO_REPLICA = "no instance had what the read must see"
    REFUSED_AT_ONCE = "refused on arrival"
    REFUSED_AFTER_WAITING = "refused after waiting for an instance"
    INSTANCE_LOST = "the instance's connection was lost"
    HOME_LOST = "the home was lost"
    NOT_ANSWERED = "the instance did not answer in time"
    TRANSACTION_LOST = "its transaction was rolled back"
    CONFIGURATION_OLD = "no news of the configuration for too long"
    QUOTA = "more than its tenant's quota"
    QUOTA_NOT_IN_FORCE = "the shares of its tenant's quota were not all in force or reachable"
    REJECTED = "rejected by the proxy or the instance for what it asks"
    UNEXPLAINED = "unexplained"


_BY_KIND: dict[ErrorKind, Cause] = {
    ErrorKind.CANCELLED: Cause.CALLER_LEFT,
    ErrorKind.NO_PRIMARY: Cause.NO_PRIMARY,
    ErrorKind.NO_REPLICA: Cause.NO_REPLICA,
    ErrorKind.NO_HOME: Cause.HOME_LOST,
    ErrorKind.DEADLINE_PASSED: Cause.REFUSED_AFTER_WAITING,
    ErrorKind.STATEMENT_TIMEOUT: Cause.NOT_ANSWERED,
    ErrorKind.OUTCOME_UNKNOWN: Cause.NOT_ANSWERED,
    ErrorKind.READ_INTERRUPTED: Cause.NOT_ANSWERED,
    ErrorKind.TRANSACTION_LOST: Cause.TRANSACTION_LOST,
    ErrorKind.STATEMENT_FAILED: Cause.REJECTED,
    ErrorKind.UNKNOWN_STATEMENT: Cause.REJECTED,
    ErrorKind.AUTHENTICATION_FAILED: Cause.REJECTED,
    ErrorKind.CONFIGURATION_TOO_OLD: Cause.CONFIGURATION_OLD,
    ErrorKind.QUOTA_EXCEEDED: Cause.QUOTA,
    ErrorKind.QUOTA_UNAVAILABLE: Cause.QUOTA_NOT_IN_FORCE,
    ErrorKind.UNKNOWN_DATABASE: Cause.REJECTED,
    ErrorKind.PROTOCOL_VIOLATION: Cause.REJECTED,
}


class FailedCommandCount(Struct, frozen=True, order=True):
    """The number of a group's commands that failed for one cause in one second of the log.

    `second` counts from the first line of the log.
    """

    second: int
    group: str
    cause: str
    count: int


def cause_of(line: LogLine) -> Cause:
    """The cause of failure of the command of a `request_failed` line."""
    attempts = line.fields.get("attempts", "")
    if "home_lost" in attempts:
        return Cause.HOME_LOST
    if "connection_lost" in attempts:
        return Cause.INSTANCE_LOST
    reason = line.fields.get("reason", "")
    if reason == ErrorKind.OVERLOADED.value:
        at_once = float(line.fields.get("milliseconds", "inf")) < _AT_ONCE_MILLISECONDS
        return Cause.REFUSED_AT_ONCE if at_once else Cause.REFUSED_AFTER_WAITING
    known = {kind.value: cause for kind, cause in _BY_KIND.items()}
    return known.get(reason, Cause.UNEXPLAINED)


def failed_commands(lines: Iterable[LogLine]) -> list[FailedCommandCount]:
    """Count the failed commands of log lines; the rows are ordered by time."""
    counted: Counter[tuple[int, str, str]] = Counter()
    ordered = sorted(lines, key=lambda line: line.at)
    for line in ordered:
        if line.event == _FAILED:
            second = int((line.at - ordered[0].at).total_seconds())
            counted[second, line.fields.get("group", ""), cause_of(line).value] += 1
    return sorted(FailedCommandCount(*key, count) for key, count in counted.items())
