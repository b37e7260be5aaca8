"""The errors of requests that fail at a home proxy, grouped by what the caller may conclude.

Owns the texts and kinds. An error states that a request did not run only if no byte of it was sent
to an instance or if the database is known to have rolled it back. A write whose outcome is not
known is never reported as failed.
"""

from __future__ import annotations

from orchidwind.elected.core.steps import Step, WaitForFloor, WaitForPrimary, WaitForRoute
from orchidwind.shared.core.admission import Refusal
from orchidwind.shared.core.errors import ErrorKind, RequestError

# --- nothing ran ------------------------------------------------------------------------------


def home_moved() -> RequestError:
    """This proxy is no longer the home; the front proxy sends the request to the new one."""
    return RequestError(ErrorKind.NO_HOME, "another proxy serves this database now")


def no_connection(refusal: Refusal) -> RequestError:
    """The admission queue refused the request, or it waited there until its deadline."""
    kind = ErrorKind.DEADLINE_PASSED if refusal.expired else ErrorKind.OVERLOADED
    return RequestError(
        kind,
        "no server connection was free in time",
        retry_after_milliseconds=int(refusal.retry_after * 1000),
    )


def deadline_passed(step: Step | None) -> RequestError:
    """The deadline passed; the step that the request waited for determines the reason."""
    if isinstance(step, WaitForPrimary):
        return RequestError(ErrorKind.NO_PRIMARY, "the group has no primary that can be reached")
    if isinstance(step, WaitForRoute | WaitForFloor):
        return RequestError(ErrorKind.NO_REPLICA, "no instance can serve the read in time")
    return RequestError(ErrorKind.DEADLINE_PASSED, "the deadline passed before the request ran")


def cancelled(reason: str) -> RequestError:
    """The caller cancelled the request or disconnected."""
    return RequestError(ErrorKind.CANCELLED, reason)


# --- a transaction that is rolled back --------------------------------------------------------


def transaction_gone() -> RequestError:
    """The transaction ended between two statements of its session."""
    return RequestError(ErrorKind.TRANSACTION_LOST, "the transaction has ended; nothing of it ran")


def transaction_lost() -> RequestError:
    """A transaction's connection was lost, and the transaction cannot have committed."""
    return RequestError(
        ErrorKind.TRANSACTION_LOST,
        "the transaction's server connection was lost; nothing of it ran",
    )


# --- may have run -----------------------------------------------------------------------------


def read_interrupted() -> RequestError:
    """A read lost its connection and is not retried; it changed nothing."""
    return RequestError(ErrorKind.READ_INTERRUPTED, "the server connection was lost in a read")


def write_lost() -> RequestError:
    """The connection was lost after a write or the end of a transaction had been sent."""
    return RequestError(
        ErrorKind.OUTCOME_UNKNOWN, "the answer to a write was lost; it may or may not have run"
    )


def commit_superseded() -> RequestError:
    """A new primary may have started without the commit."""
    return RequestError(ErrorKind.OUTCOME_UNKNOWN, "a later term has begun")


def write_not_confirmed() -> RequestError:
    """The commit was answered, but no majority was known to hold it in time."""
    return RequestError(
        ErrorKind.OUTCOME_UNKNOWN,
        "the write was not confirmed by a majority in time; it may or may not last",
    )
