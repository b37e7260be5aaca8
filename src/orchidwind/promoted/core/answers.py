"""Errors that are returned to a caller when its command failed on a promoted group. No I/O.

Each error states what is known to have happened: the statement did not run, the transaction was
rolled back, or the outcome is unknown. docs/STATEMENTS.md lists all cases. `attempts` first decides
whether a command that did not run is sent again.
"""

from __future__ import annotations

from orchidwind.promoted.core.commands import Reply, ReplyCode
from orchidwind.shared.core.errors import ErrorKind, RequestError

_ERROR_KINDS: dict[ReplyCode, ErrorKind] = {
    ReplyCode.BUSY: ErrorKind.OVERLOADED,
    ReplyCode.BEHIND: ErrorKind.NO_REPLICA,
    ReplyCode.READ_ONLY: ErrorKind.NO_PRIMARY,
    ReplyCode.UNKNOWN_STATEMENT: ErrorKind.UNKNOWN_STATEMENT,
    ReplyCode.FAILED: ErrorKind.STATEMENT_FAILED,
    ReplyCode.TIMED_OUT: ErrorKind.STATEMENT_TIMEOUT,
    ReplyCode.REFUSED: ErrorKind.STATEMENT_FAILED,
}


def reported(reply: Reply) -> RequestError:
    """Returns the error for a single statement that an instance did not execute."""
    return RequestError(_ERROR_KINDS[reply.code], reply.text or reply.code.value)


def reported_in_transaction(reply: Reply) -> RequestError:
    """Returns the error for a statement that failed in a transaction, which is then rolled back."""
    if reply.code in (ReplyCode.FAILED, ReplyCode.TIMED_OUT, ReplyCode.REFUSED):
        return reported(reply)
    return transaction_lost()


def transaction_lost() -> RequestError:
    """Returns the error for a statement whose transaction is known to be rolled back."""
    return RequestError(ErrorKind.TRANSACTION_LOST, "nothing of the transaction is kept")


def write_in_doubt() -> RequestError:
    """Returns the error for a write or COMMIT that was sent and not answered."""
    return RequestError(
        ErrorKind.OUTCOME_UNKNOWN, "the answer to a write was lost; it may or may not have run"
    )


def read_interrupted() -> RequestError:
    """Returns the error for an unanswered COMMIT of a transaction that only read."""
    return RequestError(ErrorKind.READ_INTERRUPTED, "the connection was lost in a read")
