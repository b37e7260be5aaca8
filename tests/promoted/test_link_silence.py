"""The rules for a link between proxies: when it is probed, given up and reopened."""

import pytest

from orchidwind.promoted.core.link_silence import (
    FIRST_REOPEN_PAUSE_SECONDS,
    LINK_IDLE_PROBE_SECONDS,
    LINK_IN_USE_SECONDS,
    LINK_PROBE_AFTER_SECONDS,
    LINK_SILENT_SECONDS,
    LONGEST_REOPEN_PAUSE_SECONDS,
    LinkCheck,
    LinkSilence,
    ReopenPause,
)

OPENED_AT = 100.0
NEVER = float("-inf")


def opened_link():
    silence = LinkSilence()
    silence.opened(OPENED_AT)
    return silence


@pytest.mark.parametrize(
    ("silent_for", "expected"),
    [
        (LINK_PROBE_AFTER_SECONDS - 0.01, LinkCheck.WAIT),
        (LINK_PROBE_AFTER_SECONDS + 0.01, LinkCheck.PROBE),
        (LINK_SILENT_SECONDS - 0.01, LinkCheck.PROBE),
        (LINK_SILENT_SECONDS + 0.01, LinkCheck.GIVE_UP),
    ],
)
def test_a_link_with_a_pending_answer_is_probed_then_given_up(silent_for, expected):
    silence = opened_link()
    silence.request_sent(OPENED_AT + 7)
    assert silence.check(OPENED_AT + 7 + silent_for, NEVER) is expected


def test_silence_is_counted_from_the_first_pending_answer():
    silence = opened_link()
    silence.request_sent(OPENED_AT)
    silence.request_sent(OPENED_AT + LINK_SILENT_SECONDS)
    assert silence.check(OPENED_AT + LINK_SILENT_SECONDS + 0.01, NEVER) is LinkCheck.GIVE_UP


def test_bytes_of_an_incomplete_message_end_the_silence():
    silence = opened_link()
    silence.request_sent(OPENED_AT)
    now = OPENED_AT + 10
    assert silence.check(now, last_byte_at=now - 0.01) is LinkCheck.WAIT
    assert silence.silent_for(now, now - 0.01) == pytest.approx(0.01)


def test_a_link_without_a_pending_answer_is_never_silent():
    silence = opened_link()
    assert silence.check(OPENED_AT + 60, NEVER) is LinkCheck.WAIT
    silence.request_sent(OPENED_AT)
    silence.received(OPENED_AT + 1, more_pending=False)
    assert not silence.answer_pending
    silence.request_sent(OPENED_AT + 2)
    silence.ended()
    assert not silence.answer_pending
    assert silence.silent_for(OPENED_AT + 60, NEVER) == 0.0


def test_a_message_restarts_the_wait_for_further_answers():
    silence = opened_link()
    silence.request_sent(OPENED_AT)
    silence.received(OPENED_AT + 0.3, more_pending=True)
    assert silence.check(OPENED_AT + 0.6, NEVER) is LinkCheck.PROBE


def test_a_recently_used_link_is_probed_while_idle():
    silence = opened_link()
    silence.used(OPENED_AT)
    due_at = OPENED_AT + LINK_IDLE_PROBE_SECONDS
    assert not silence.idle_probe_due(due_at - 0.01)
    assert silence.idle_probe_due(due_at)
    assert silence.in_use(OPENED_AT + LINK_IN_USE_SECONDS)
    assert not silence.in_use(OPENED_AT + LINK_IN_USE_SECONDS + 0.01)
    silence.request_sent(due_at)
    assert not silence.idle_probe_due(due_at)


def test_a_link_that_was_never_used_is_not_in_use():
    assert not opened_link().in_use(OPENED_AT)


def test_reopen_pauses_grow_to_a_maximum_until_the_other_side_answers():
    pause = ReopenPause()
    taken = [pause.next_pause() for _ in range(5)]
    assert taken[:2] == [FIRST_REOPEN_PAUSE_SECONDS, 2 * FIRST_REOPEN_PAUSE_SECONDS]
    assert taken[-1] == LONGEST_REOPEN_PAUSE_SECONDS
    pause.reset()
    assert pause.next_pause() == FIRST_REOPEN_PAUSE_SECONDS
