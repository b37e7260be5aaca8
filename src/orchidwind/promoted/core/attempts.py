"""Decides whether and how a command is sent again on a promoted group. No I/O, no clock.

A command is sent again only if the instance's answer says that it did not run. All other failures
are reported to the caller:

| answer            | single read, read-only begin     | single write, begin on the primary |
|-------------------|----------------------------------|------------------------------------|
| BEHIND            | at once, on another instance     | after `RETRY_PAUSE_SECONDS`        |
| BUSY              | after a pause that doubles       | after a pause that doubles         |
| READ_ONLY         | after `RETRY_PAUSE_SECONDS`      | at once, on the new primary        |
| UNKNOWN_STATEMENT | after `RETRY_PAUSE_SECONDS`      | after `RETRY_PAUSE_SECONDS`        |
| any other         | reported                         | reported                           |

After a lost connection, a read runs on another replica, or on the primary after
`RETRY_PAUSE_SECONDS`. A write is sent again only if no byte of it was sent; otherwise its outcome
is unknown. If the primary's leadership was not proven, nothing is sent until a replica confirms its
term; the replicas are asked every `RETRY_PAUSE_SECONDS`.

In an open transaction only BUSY leads to another attempt, on the same connection, with at most
`MAXIMUM_ATTEMPTS_IN_TRANSACTION` attempts. Any other failure ends the transaction.

The number of attempts of a single command is limited by time only. The driver enforces this: it
ends a pause that would exceed the request's deadline with an "overloaded" error, and limits the
time for which a command may wait for an instance or a connection.

`flow_parts` counts the busy answers of a command. Drivers randomize the pauses (0.5 to 1.5 times
their length).
"""

from __future__ import annotations

from enum import Enum, unique

from orchidwind.promoted.core.commands import Reply, ReplyCode, TransactionState

# Seconds until a command is sent again: a few network round trips.
RETRY_PAUSE_SECONDS = 0.015
# The pause doubles this many times while instances are busy, up to 0.12 s. A full queue of the
# first users' instances takes 0.1 to 0.3 s to drain.
MAXIMUM_PAUSE_DOUBLINGS = 3
# Attempts of one statement in an open transaction, with 0.6 s of pauses on average. Meanwhile the
# transaction holds a connection, and locks that other transactions may wait for.
MAXIMUM_ATTEMPTS_IN_TRANSACTION = 8


@unique
class NextAttempt(Enum):
    """The reaction to an answer other than success."""

    NONE = "reported to the caller"
    OTHER_INSTANCE = "at once, on another instance"
    NEW_PRIMARY = "at once, on the new primary"
    AFTER_PAUSE = "after a pause"
    AFTER_BUSY_PAUSE = "after a pause that doubles"


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


def next_attempt_after_read(code: ReplyCode) -> NextAttempt:
    """Returns the reaction to the answer to a single read or a read-only begin."""
    return _AFTER_READ.get(code, NextAttempt.NONE)


def next_attempt_after_write(code: ReplyCode) -> NextAttempt:
    """Returns the reaction to the answer to a single write or a begin on the primary."""
    return _AFTER_WRITE.get(code, NextAttempt.NONE)


def may_retry_in_transaction(reply: Reply, attempts: int) -> bool:
    """Whether a statement or COMMIT is sent again in its transaction after `attempts` attempts."""
    busy = reply.code is ReplyCode.BUSY and reply.state is TransactionState.OPEN
    return busy and attempts < MAXIMUM_ATTEMPTS_IN_TRANSACTION


def busy_pause(busy_replies: int) -> float:
    """Returns the pause in seconds after a BUSY answer that `busy_replies` others preceded.

    The pause grows each time, because frequent attempts by all waiting commands would add to the
    load of an instance whose queue is full.
    """
    return RETRY_PAUSE_SECONDS * float(2 ** min(busy_replies, MAXIMUM_PAUSE_DOUBLINGS))
