"""When a command is tried again on a promoted group, and how. No I/O, no clock.

The rule. What an instance answered says that the statement did not run, or it is reported to the
caller. What did not run may be sent again:

| answer            | single read, read-only begin     | single write, begin on the primary |
|-------------------|----------------------------------|------------------------------------|
| BEHIND            | at once, on another instance     | after `RETRY_PAUSE_SECONDS`        |
| BUSY              | after a pause that doubles       | after a pause that doubles         |
| READ_ONLY         | after `RETRY_PAUSE_SECONDS`      | at once, on the primary found anew |
| UNKNOWN_STATEMENT | after `RETRY_PAUSE_SECONDS`      | after `RETRY_PAUSE_SECONDS`        |
| any other         | reported                         | reported                           |

A lost connection: a read runs elsewhere, on the primary after `RETRY_PAUSE_SECONDS`; a write is
sent again only if none of it had left, else its outcome is unknown. A lead that was not proven:
nothing is sent until some replica shows the term, asked each `RETRY_PAUSE_SECONDS`.

In an open transaction only BUSY is answered by another attempt, on the same connection, at most
`MOST_ATTEMPTS_IN_TRANSACTION` times; any other failure ends the transaction.

How many: single commands are tried until their time is over. The driver keeps that budget: it gives
up a pause that would end after the deadline of the request, as overloaded, and lets nothing wait
for an instance or a connection after its share of that time.

Owns: nothing. Relies on: `flow_parts`, which counts the busy answers of one command, and drivers
that spread the pauses at random (0.5 to 1.5 times as long).
"""

from __future__ import annotations

from enum import Enum, unique

from orchidwind.promoted.core.commands import Reply, ReplyCode, TransactionState

# Seconds until a command is sent again. A few round trips long.
RETRY_PAUSE_SECONDS = 0.015
# How often the pause doubles while instances are busy, up to 0.12 s: a full queue of the first
# users' instances takes 0.1 to 0.3 s to run empty.
MOST_PAUSE_DOUBLINGS = 3
# Attempts of one statement in an open transaction, 0.6 s of pauses at the mean. The
# transaction holds a connection meanwhile, and what others wait for.
MOST_ATTEMPTS_IN_TRANSACTION = 8


@unique
class NextAttempt(Enum):
    """What follows an answer that was no success."""

    NONE = "reported to the caller"
    OTHER_INSTANCE = "at once, on another instance"
    NEW_PRIMARY = "at once, on the primary found anew"
    AFTER_PAUSE = "after a pause"
    AFTER_BUSY_PAUSE = "after a pause that grows"


_AFTER_READ = {
    ReplyCode.BEHIND: NextAttempt.OTHER_INSTANCE,
    ReplyCode.BUSY: NextAttempt.AFTER_BUSY_PAUSE,
    ReplyCode.READ_ONLY: NextAttempt.AFTER_PAUSE,
    ReplyCode.UNKNOWN_STATEMENT: NextAttempt.AFTER_PAUSE,
}
_AFTER_WRITE = {
    ReplyCode.BEHIND: NextAttempt.AFTER_PAUSE,
    ReplyCode.BUSY: NextAttempt.AFTER_BUSY_PAUSE,
    ReplyCode.READ_ONLY: NextAttempt.NEW_PRIMARY,
    ReplyCode.UNKNOWN_STATEMENT: NextAttempt.AFTER_PAUSE,
}


def after_read(code: ReplyCode) -> NextAttempt:
    """What follows a single read, or the begin of a read-only transaction."""
    return _AFTER_READ.get(code, NextAttempt.NONE)


def after_write(code: ReplyCode) -> NextAttempt:
    """What follows a single write, or the begin of a transaction on the primary."""
    return _AFTER_WRITE.get(code, NextAttempt.NONE)


def again_in_transaction(reply: Reply, attempts: int) -> bool:
    """Whether a statement or COMMIT is sent again in its transaction, after so many attempts."""
    busy = reply.code is ReplyCode.BUSY and reply.state is TransactionState.OPEN
    return busy and attempts < MOST_ATTEMPTS_IN_TRANSACTION


def busy_pause(busy_replies: int) -> float:
    """Seconds until a command asks again that was answered BUSY so many times before.

    Longer each time: a full instance is not helped by one more attempt each some milliseconds of
    all that wait.
    """
    return RETRY_PAUSE_SECONDS * float(2 ** min(busy_replies, MOST_PAUSE_DOUBLINGS))
