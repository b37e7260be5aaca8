"""When callers return that were refused for want of an instance."""

from hypothesis import given
from hypothesis import strategies as st

from orchidwind.promoted.core.return_times import (
    RETURN_SPREAD_SECONDS,
    UNKNOWN_REST_SECONDS,
    USUAL_CHANGE_SECONDS,
    WAIT_IN_CHANGE_SECONDS,
    return_after,
    wait_until,
)

# The deadline within which a caller's two returns must fall.
DEADLINE_SECONDS = 4.0
OUTAGES = st.floats(0.0, 60.0)
SHARES = st.floats(0.0, 1.0)


def test_callers_refused_in_a_usual_change_return_over_the_second_after_its_end():
    for outage in (0.0, 0.4, 1.2):
        assert outage + return_after(outage, 0.0) == USUAL_CHANGE_SECONDS
        assert outage + return_after(outage, 1.0) == USUAL_CHANGE_SECONDS + RETURN_SPREAD_SECONDS


@given(OUTAGES, SHARES, SHARES)
def test_two_returns_in_one_outage_fit_into_the_deadline(outage, first, second):
    once = return_after(outage, first)
    again = return_after(outage + once, second)
    assert once >= UNKNOWN_REST_SECONDS
    assert once + again <= DEADLINE_SECONDS


def test_callers_refused_at_the_same_time_return_evenly():
    returns = [return_after(2.0, number / 100) for number in range(100)]
    for tenth in range(10):
        since = UNKNOWN_REST_SECONDS + tenth / 10
        assert sum(since <= at < since + 0.1 for at in returns) <= 11


@given(st.floats(0.0, 10.0), OUTAGES)
def test_a_request_waits_only_while_the_end_of_a_change_may_come_in_time(left, outage):
    waits = wait_until(100.0, 100.0 + left, outage) - 100.0
    if outage == 0.0:
        assert abs(waits - left) < 0.001
    elif outage + left < USUAL_CHANGE_SECONDS - 0.001:
        assert waits <= WAIT_IN_CHANGE_SECONDS + 0.001
    elif outage + left > USUAL_CHANGE_SECONDS + 0.001:
        assert abs(waits - left) < 0.001
    assert waits <= left + 0.001


@given(st.floats(0.0, 10.0))
def test_a_request_that_is_the_first_to_find_nothing_waits_until_its_deadline(left):
    """Nothing has failed before it: a new home may just be learning of the primary."""
    assert wait_until(100.0, 100.0 + left, 0.0) == 100.0 + left
