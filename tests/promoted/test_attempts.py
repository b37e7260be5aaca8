"""The rule by which a command is tried again, answer by answer."""

import pytest

from orchidwind.promoted.core.attempts import (
    MOST_ATTEMPTS_IN_TRANSACTION,
    MOST_PAUSE_DOUBLINGS,
    RETRY_PAUSE_SECONDS,
    NextAttempt,
    after_read,
    after_write,
    again_in_transaction,
    busy_pause,
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
def test_only_what_did_not_run_is_tried_again(code, read, write):
    assert (after_read(code), after_write(code)) == (read, write)


def test_a_busy_statement_is_sent_again_while_its_transaction_is_open():
    busy = Reply(ReplyCode.BUSY, state=TransactionState.OPEN)
    assert again_in_transaction(busy, MOST_ATTEMPTS_IN_TRANSACTION - 1)
    assert not again_in_transaction(busy, MOST_ATTEMPTS_IN_TRANSACTION)
    assert not again_in_transaction(Reply(ReplyCode.BUSY, state=TransactionState.IDLE), 1)
    assert not again_in_transaction(Reply(ReplyCode.FAILED, state=TransactionState.OPEN), 1)


def test_pauses_double_up_to_a_bound():
    assert busy_pause(0) == RETRY_PAUSE_SECONDS
    longest = RETRY_PAUSE_SECONDS * 2**MOST_PAUSE_DOUBLINGS
    assert busy_pause(MOST_PAUSE_DOUBLINGS) == busy_pause(MOST_PAUSE_DOUBLINGS + 5) == longest
