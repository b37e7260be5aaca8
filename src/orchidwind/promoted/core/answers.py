"""What a caller is answered when its command failed on a promoted group. No I/O.

What for: the answer must say what surely happened: a statement that did not run, a transaction that
is rolled back, an outcome that is not known. docs/STATEMENTS.md has the table of all cases.
Owns: nothing. Relies on: `attempts`, which first tries again what did not run.
"""

from __future__ import annotations

from orchidwind.promoted.core.commands import Reply, ReplyCode
from orchidwind.shared.core.errors import ErrorKind, RequestError

_REPORTED: dict[ReplyCode, ErrorKind] = {
    ReplyCode.BUSY: ErrorKind.OVERLOADED,
    ReplyCode.BEHIND: ErrorKind.NO_REPLICA,
    ReplyCode.READ_ONLY: ErrorKind.NO_PRIMARY,
    ReplyCode.UNKNOWN_STATEMENT: ErrorKind.UNKNOWN_STATEMENT,
    ReplyCode.FAILED: ErrorKind.STATEMENT_FAILED,
    ReplyCode.TIMED_OUT: ErrorKind.STATEMENT_TIMEOUT,
    ReplyCode.REFUSED: ErrorKind.STATEMENT_FAILED,
}


def reported(reply: Reply) -> RequestError:
    """The answer to a single statement that an instance did not carry out."""
    return RequestError(_REPORTED[reply.code], reply.text or reply.code.value)


def reported_in_transaction(reply: Reply) -> RequestError:
    """Within a transaction an error rolls all of it back; that is what the caller is answered."""
    if reply.code in (ReplyCode.FAILED, ReplyCode.TIMED_OUT, ReplyCode.REFUSED):
        return reported(reply)
    return transaction_lost()


def transaction_lost() -> RequestError:
    """The answer to a statement whose transaction is known to be rolled back."""
    return RequestError(ErrorKind.TRANSACTION_LOST, "nothing of the transaction is kept")


def write_in_doubt() -> RequestError:
    """The answer to a write or COMMIT that left and was not answered."""
    return RequestError(
        ErrorKind.OUTCOME_UNKNOWN, "the answer to a write was lost; it may or may not have run"
    )


def read_interrupted() -> RequestError:
    """The answer to the COMMIT of a transaction that only read, which was not answered."""
    return RequestError(ErrorKind.READ_INTERRUPTED, "the connection was lost in a read")
