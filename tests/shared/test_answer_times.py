"""Estimated response times, from the answers of an instance and its requests in progress."""

import pytest

from orchidwind.shared.core.answer_times import AnswerTimes


def answered(times, seconds, count, start=0.0):
    now = start
    for _ in range(count):
        times.began(1, now)
        now += seconds
        times.ended(1, now, answered=True)
    return now


def test_it_follows_the_answers():
    times = AnswerTimes()
    now = answered(times, 0.02, 50)
    assert times.expected(0, now) == pytest.approx(0.02, rel=0.1)
    assert times.expected(3, now) == pytest.approx(0.08, rel=0.1), (
        "the requests ahead are answered first"
    )
    now = answered(times, 0.1, 50, now)
    assert times.expected(0, now) == pytest.approx(0.1, rel=0.1)


def test_an_answer_that_does_not_come_counts_while_it_is_owed():
    times = AnswerTimes()
    now = answered(times, 0.02, 50)
    times.began(2, now)
    assert times.expected(1, now + 0.5) == pytest.approx(1.0, rel=0.1)


def test_a_request_that_was_given_up_counts_for_a_while():
    times = AnswerTimes()
    now = answered(times, 0.02, 50)
    times.began(2, now)
    times.ended(2, now + 0.4, answered=False)
    assert times.expected(0, now + 0.4) == pytest.approx(0.4, rel=0.1)
    assert times.expected(0, now + 0.4 + 6.0) <= 0.02, "the instance is tried again"


def test_an_instance_that_was_slow_from_the_start_is_tried_again():
    """The estimate must decay without answers.

    The only answer of each replica had been slow on a busy machine. No further reads were sent to
    the replicas, so nothing corrected their estimates, and reads ran at no replica for long.
    """
    times = AnswerTimes()
    now = answered(times, 0.06, 1)
    assert times.expected(0, now) == pytest.approx(0.06)
    assert times.expected(0, now + 3.0) <= 0.015


def test_what_was_not_run_says_nothing():
    times = AnswerTimes()
    now = answered(times, 0.02, 50)
    times.began(2, now)
    times.rejected(2)
    assert times.expected(0, now) == pytest.approx(0.02, rel=0.1)


def test_what_was_given_up_says_nothing_of_the_answers_that_came():
    times = AnswerTimes()
    now = answered(times, 0.02, 50)
    times.began(2, now)
    times.ended(2, now + 0.8, answered=False)
    assert not times.is_queueing(now + 0.8)


def test_an_answer_that_takes_much_longer_than_the_last_ones_is_overdue():
    times = AnswerTimes()
    now = answered(times, 0.02, 50)
    times.began(2, now)
    times.began(3, now + 0.05)
    assert [times.overdue(now + after) for after in (0.09, 0.11, 0.2)] == [0, 1, 2]


def test_the_way_is_neither_multiplied_nor_contained():
    """An idle instance 40 ms away works for 5 ms: with three requests ahead, 20 ms and the way."""
    times = AnswerTimes()
    now = answered(times, 0.045, 50)
    assert times.expected(0, now, 0.04) == pytest.approx(0.005, abs=0.001)
    assert times.expected(3, now, 0.04) == pytest.approx(0.02, abs=0.004)
    assert times.expected(3, now, 0.1) == 0.0
