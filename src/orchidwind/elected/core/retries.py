"""Retry rules: what is retried, how often, and which error the caller gets otherwise.

| failure | retried | bounded by |
|---|---|---|
| nothing was sent | always: nothing ran; named writes within budget | deadline |
| a replica refused a write | on the new primary: nothing ran | deadline |
| connection lost in a read | if no part of the answer was delivered | attempts, budget, deadline |
| connection lost in an unnamed write | never: it may have run | |
| connection lost in a named write | if no part was delivered; see the ledger | budget, deadline |
| commit of a named write not confirmed | as above | budget, deadline |
| connection of a transaction lost | never: its reads and writes are lost | |
| link to the home proxy lost | see `after_link_loss` | deadline |
| the proxy is no longer the home | at the home known at that time | deadline |

Only a request that is sent to a home proxy again is delayed first, by `HOME_RETRY_SECONDS`.

Owns these rules and the retry budget of a home proxy; used by the flows, `request_steps.py` and
`network/front.py`. Times are in seconds of the calling proxy's monotonic clock.
"""

from __future__ import annotations

from enum import Enum, unique

from orchidwind.elected.core.sql_text import may_commit
from orchidwind.elected.core.statements import Outcome, RequestKind, StatementRequest
from orchidwind.shared.core.errors import ErrorKind, RequestError

# Bounds the cost of one read while several instances fail in succession.
READ_ATTEMPTS = 3
# The delay before a request is sent to a home proxy again. The request's deadline bounds the
# retries; a new home becomes known some time after the old one is gone (docs/DECISIONS.md, "Urgent
# membership news is pushed").
HOME_RETRY_SECONDS = 0.05
# A home proxy retries at most one statement per ten requests, so that retries add at most a tenth
# to an overload; a burst of twenty covers the statements interrupted by the loss of one instance.
_TOKENS_PER_REQUEST = 0.1
_MAX_TOKENS = 20.0


class StatementLost(Exception):
    """The connection broke, or the request was abandoned, while a statement ran.

    `sent` tells whether any byte of the statement was sent, `delivered` whether any part of its
    answer was passed on to the caller. `reason` is set if the request was abandoned while the
    connection was intact.
    """

    def __init__(
        self, sent: bool, reason: RequestError | None = None, delivered: bool = False
    ) -> None:
        super().__init__()
        self.sent = sent
        self.reason = reason
        self.delivered = delivered


@unique
class Retry(Enum):
    """Whether a failed statement is retried."""

    NEVER = "never"
    ALWAYS = "always"
    WITHIN_BUDGET = "within_budget"


class RetryBudget:
    """A token bucket that requests fill and retries drain."""

    def __init__(self) -> None:
        self._tokens = _MAX_TOKENS

    def earn(self) -> None:
        """Credit the budget for a new request."""
        self._tokens = min(self._tokens + _TOKENS_PER_REQUEST, _MAX_TOKENS)

    def try_take(self) -> bool:
        """Spend one token; returns False if the budget allows no retry now."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def retry_read(lost: StatementLost, attempts: int) -> Retry:
    """The rule for a read, which changes nothing; `attempts` were sent, including the lost one."""
    if lost.reason is not None:
        return Retry.NEVER
    if not lost.sent:
        return Retry.ALWAYS
    if lost.delivered or attempts >= READ_ATTEMPTS:
        return Retry.NEVER
    return Retry.WITHIN_BUDGET


def retry_write(lost: StatementLost) -> Retry:
    """The rule for an unnamed write: it may have run once any byte of it was sent."""
    return Retry.NEVER if lost.sent else Retry.ALWAYS


def retry_named_write(lost: StatementLost) -> Retry:
    """The rule for a named write: not retried if abandoned or if part of an answer was delivered.

    If the lost attempt ran, the next attempt finds its ledger row.
    """
    ended = lost.reason is not None or lost.delivered
    return Retry.NEVER if ended else Retry.WITHIN_BUDGET


def retry_named_commit(error: RequestError, committing: bool, delivered: bool) -> Retry:
    """The rule for a named write that failed with `error`: retried only if its commit is in doubt.

    The next attempt finds in the ledger whether a commit that was not confirmed took effect.
    """
    in_doubt = committing and error.kind is ErrorKind.OUTCOME_UNKNOWN
    return Retry.WITHIN_BUDGET if in_doubt and not delivered else Retry.NEVER


def retry_home(now: float, expires_at: float) -> bool:
    """Whether the deadline leaves time to find a home proxy and send the request again."""
    return now + HOME_RETRY_SECONDS < expires_at


def after_link_loss(
    request: StatementRequest, *, sent: bool, delivered: bool, now: float
) -> Outcome | None:
    """The outcome of a request whose link to the home proxy broke; None if it may be sent again.

    `sent` tells whether the request was sent, `delivered` whether any part of the answer reached
    the caller. A write that was sent is not sent again. A transaction is lost with its home proxy;
    unless a commit had been sent, none of it took effect.
    """
    error = _link_loss_error(request, sent=sent, delivered=delivered, now=now)
    return None if error is None else Outcome(request.number, error=error)


def _link_loss_error(
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
