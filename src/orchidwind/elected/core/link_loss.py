"""What a caller may be told when the link to its home proxy breaks under a request."""

from __future__ import annotations

from orchidwind.elected.core.statements import Outcome, RequestKind, StatementRequest
from orchidwind.shared.core.errors import ErrorKind, RequestError

_COMMIT_WORDS = ("COMMIT", "END")


def may_commit(sql: str) -> bool:
    """Whether a statement inside a transaction may commit it."""
    text = sql.lstrip().upper()
    return text.startswith(_COMMIT_WORDS) or ";" in text.rstrip("; \n")


def after_link_loss(
    request: StatementRequest, *, sent: bool, delivered: bool, now: float
) -> Outcome | None:
    """The outcome of a request whose link broke, None where it may be sent again.

    `sent` tells whether the request had left, `delivered` whether a part of the answer had reached
    the caller. A write that left is not sent again; a transaction died with its home, and unless a
    commit was on its way nothing of it ran.
    """
    error = _error(request, sent=sent, delivered=delivered, now=now)
    return None if error is None else Outcome(request.number, error=error)


def _error(
    request: StatementRequest, *, sent: bool, delivered: bool, now: float
) -> RequestError | None:
    if request.in_transaction:
        if sent and may_commit(request.statement.sql):
            return RequestError(ErrorKind.OUTCOME_UNKNOWN, "the answer to a commit was lost")
        return RequestError(
            ErrorKind.TRANSACTION_LOST,
            "the proxy that held the transaction is gone; nothing of it ran",
        )
    if not sent:
        return None
    if request.kind is RequestKind.WRITE:
        return RequestError(
            ErrorKind.OUTCOME_UNKNOWN,
            "the link to the home proxy was lost; the write may or may not have run",
        )
    if delivered or now >= request.expires_at:
        return RequestError(ErrorKind.READ_INTERRUPTED, "the answer was cut off")
    return None
