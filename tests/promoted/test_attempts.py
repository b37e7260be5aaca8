"""The retry rules for commands, for each answer of an instance."""

import pytest

from orchidwind.promoted.core.attempts import (
    MAXIMUM_ATTEMPTS_IN_TRANSACTION,
    MAXIMUM_PAUSE_DOUBLINGS,
    RETRY_PAUSE_SECONDS,
    NextAttempt,
    busy_pause,
    may_retry_in_transaction,
    next_attempt_after_read,
    next_attempt_after_write,
)
from orchidwind.promoted.core.commands import Reply, ReplyCode, TransactionState


@pytest.mark.parametrize(
    ("code", "read", "write"),
    [
        (ReplyCode.BEHIND, NextAttempt.OTHER_INSTANCE, NextAttempt.AFTER_PAUSE),
        (ReplyCode.BUSY, NextAttempt.AFTER_BUSY_PAUSE, NextAttempt.AFTER_BUSY_PAUSE),
        (ReplyCode.READ_ONLY, NextAttempt.AFTER_PAUSE, NextAttempt.NEW_PRIMARY),
        (ReplyCode.UNKNOWN_STATEMENT, NextAttempt.AFTER_PAUSE, NextAttempt.AFTER_PAUSE),
        (ReplyCode.FAILED, NextAttempt.NONE, NextAttempt.NONE),
        (ReplyCode.TIMED_OUT, NextAttempt.NONE, NextAttempt.NONE),
        (ReplyCode.REFUSED, NextAttempt.NONE, NextAttempt.NONE),
    ],
)
def test_only_commands_that_did_not_run_are_retried(code, read, write):
    assert (next_attempt_after_read(code), next_attempt_after_write(code)) == (read, write)


def test_a_busy_statement_is_retried_while_its_transaction_is_open():
    busy = Reply(ReplyCode.BUSY, state=TransactionState.OPEN)
    assert may_retry_in_transaction(busy, MAXIMUM_ATTEMPTS_IN_TRANSACTION - 1)
    assert not may_retry_in_transaction(busy, MAXIMUM_ATTEMPTS_IN_TRANSACTION)
    assert not may_retry_in_transaction(Reply(ReplyCode.BUSY, state=TransactionState.IDLE), 1)
    assert not may_retry_in_transaction(Reply(ReplyCode.FAILED, state=TransactionState.OPEN), 1)


def test_busy_pauses_double_up_to_a_maximum():
    assert busy_pause(0) == RETRY_PAUSE_SECONDS
    longest = RETRY_PAUSE_SECONDS * 2**MAXIMUM_PAUSE_DOUBLINGS
    assert busy_pause(MAXIMUM_PAUSE_DOUBLINGS) == busy_pause(MAXIMUM_PAUSE_DOUBLINGS + 5) == longest
