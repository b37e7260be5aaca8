"""What is tried again, by whom, how often, and what a caller learns where it is not.

| what failed | tried again | bounded by |
|---|---|---|
| no byte left for the instance | always: nothing ran; a named write within the budget | deadline |
| a replica refused a write | on its successor: nothing ran | deadline |
| connection under a read | if no part of its answer went out | attempts, budget, deadline |
| connection under an unnamed write | never: it may have run | |
| connection under a named write | if no part went out; the ledger settles it | budget, deadline |
| a named write's commit is not confirmed | the same | budget, deadline |
| connection of a transaction | never: what it read and wrote is lost | |
| link to the home | see `after_link_loss` | deadline |
| the proxy asked is home no longer | at the home that is known then | deadline |

Only a request for another home pauses before it is sent again, for `HOME_RETRY_SECONDS`.

Owns these rules and the budget of a home; the flows, `request_steps.py` and `network/front.py` ask.
Times are in seconds of the asking proxy's monotonic clock.
"""

from __future__ import annotations

from enum import Enum, unique

from orchidwind.elected.core.sql_text import may_commit
from orchidwind.elected.core.statements import Outcome, RequestKind, StatementRequest
from orchidwind.shared.core.errors import ErrorKind, RequestError

# Bounds what one read costs while several instances fail one after the other.
READ_ATTEMPTS = 3
# The pause before a request is sent to a home again. The request's deadline bounds the
# waits; a new home is known some time after the old one has gone (docs/DECISIONS.md, "Urgent
# membership news is pushed").
HOME_RETRY_SECONDS = 0.05
# A home repeats at most one statement for each ten requests, so that retries add a tenth to
# an overload at most; a burst of twenty covers the statements that one lost instance interrupts.
_EARNED_A_REQUEST = 0.1
_MOST_SAVED = 20.0


class StatementLost(Exception):
    """A connection broke, or the request was given up, while a statement ran.

    `sent` tells whether a byte of it had left, `delivered` whether a part of its answer went on to
    the caller; `reason` is set where the request was given up and the connection did not break.
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
    """Whether something is tried again."""

    NEVER = "never"
    ALWAYS = "always"
    WITHIN_BUDGET = "within_budget"


class RetryBudget:
    """A token bucket that requests fill and retries empty."""

    def __init__(self) -> None:
        self._tokens = _MOST_SAVED

    def earn(self) -> None:
        """A request came."""
        self._tokens = min(self._tokens + _EARNED_A_REQUEST, _MOST_SAVED)

    def take(self) -> bool:
        """Whether a retry is allowed now."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def retry_read(lost: StatementLost, attempts: int) -> Retry:
    """A read changes nothing; `attempts` were sent so far, the lost one among them."""
    if lost.reason is not None:
        return Retry.NEVER
    if not lost.sent:
        return Retry.ALWAYS
    if lost.delivered or attempts >= READ_ATTEMPTS:
        return Retry.NEVER
    return Retry.WITHIN_BUDGET


def retry_write(lost: StatementLost) -> Retry:
    """A write without a name may have run once a byte of it had left."""
    return Retry.NEVER if lost.sent else Retry.ALWAYS


def retry_named_write(lost: StatementLost) -> Retry:
    """The next attempt finds the ledger row of one that ran; the caller must not have seen rows."""
    ended = lost.reason is not None or lost.delivered
    return Retry.NEVER if ended else Retry.WITHIN_BUDGET


def retry_named_commit(error: RequestError, committing: bool, delivered: bool) -> Retry:
    """A commit that was sent and not confirmed: the ledger of the next primary tells its fate."""
    in_doubt = committing and error.kind is ErrorKind.OUTCOME_UNKNOWN
    return Retry.WITHIN_BUDGET if in_doubt and not delivered else Retry.NEVER


def retry_home(now: float, expires_at: float) -> bool:
    """Whether time is left to find a home and send the request once more."""
    return now + HOME_RETRY_SECONDS < expires_at


def after_link_loss(
    request: StatementRequest, *, sent: bool, delivered: bool, now: float
) -> Outcome | None:
    """The outcome of a request whose link broke, None where it may be sent again.

    `sent` tells whether the request had left, `delivered` whether a part of the answer had reached
    the caller. A write that left is not sent again; a transaction died with its home, and unless a
    commit was on its way nothing of it ran.
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
