"""The rule by which instances and connections count as silent."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidwind.promoted.core.instance_silence import (
    ANSWER_OVERDUE_SECONDS,
    FIRST_STATUS_SECONDS,
    HELD_REST_PROBE_SECONDS,
    RESTING_SILENT_SECONDS,
    STATUS_HEDGE_SECONDS,
    STATUS_SECONDS,
    URGENT_STATUS_SECONDS,
    InstancePauses,
    answer_overdue,
    instance_suspect,
    overdue_check,
    rest_probe_before,
    resting_answer_time_left,
    status_time_limit,
)

NEVER = float("-inf")
TIMES = st.floats(0.0, 1000.0)


def test_an_answer_is_overdue_from_its_time_on():
    assert not answer_overdue(1.0, 1.0 + ANSWER_OVERDUE_SECONDS / 2)
    assert answer_overdue(1.0, 1.0 + ANSWER_OVERDUE_SECONDS)


def test_an_instance_that_answers_on_another_connection_is_no_suspect():
    now = 2.0
    pending_since = now - 2 * ANSWER_OVERDUE_SECONDS
    assert instance_suspect(pending_since, NEVER, now)
    assert not instance_suspect(pending_since, now - ANSWER_OVERDUE_SECONDS / 2, now)


@given(TIMES, TIMES, TIMES)
def test_a_suspect_always_has_an_overdue_answer(pending_since, answered_at, now):
    if instance_suspect(pending_since, answered_at, now):
        assert answer_overdue(pending_since, now)


@given(TIMES, st.floats(0.0, 1.0))
def test_the_next_check_comes_in_time_and_not_at_once(pending_since, waited):
    check = overdue_check(pending_since, pending_since + waited)
    assert 0.01 <= check.again_in <= ANSWER_OVERDUE_SECONDS + 1e-9
    if not check.overdue and waited < ANSWER_OVERDUE_SECONDS - 0.01:
        assert answer_overdue(pending_since, pending_since + waited + check.again_in + 1e-6)


@pytest.mark.parametrize(
    ("ever_answered", "unreachable", "urgent", "seconds"),
    [
        (True, False, False, STATUS_SECONDS),
        (True, True, False, STATUS_SECONDS),
        (True, False, True, STATUS_SECONDS),
        (True, True, True, URGENT_STATUS_SECONDS),
        (False, True, True, FIRST_STATUS_SECONDS),
        (False, False, False, FIRST_STATUS_SECONDS),
    ],
)
def test_the_time_of_a_status_call(ever_answered, unreachable, urgent, seconds):
    assert status_time_limit(ever_answered, unreachable, urgent) == seconds


def test_a_hedge_comes_before_any_status_call_ends():
    assert min(URGENT_STATUS_SECONDS, STATUS_SECONDS, FIRST_STATUS_SECONDS) > STATUS_HEDGE_SECONDS


def test_a_connection_at_rest_is_asked_late_and_given_time():
    assert rest_probe_before(5.0) == 5.0 - HELD_REST_PROBE_SECONDS
    assert resting_answer_time_left(5.0, 5.1) == pytest.approx(RESTING_SILENT_SECONDS - 0.1)


def test_pauses_are_kept_for_each_instance_alone():
    pauses = InstancePauses(1.0)
    pauses.begin("a", 3.0)
    assert not pauses.due("a", 3.9)
    assert pauses.due("b", 3.9)
    assert pauses.due("a", 4.0)
    pauses.begin("a", 4.0)
    pauses.forget("a")
    assert pauses.due("a", 4.1)
