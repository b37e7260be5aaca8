"""The rule of a followed view: when others are asked, when the store is read, how long to pause."""

import pytest

from orchidwind.promoted.core.freshness import (
    FIRST_PAUSE_SECONDS,
    LONGEST_WATCH_SECONDS,
    SHORTEST_CHECK_SECONDS,
    FollowRule,
    FollowTimes,
    RetryPause,
    SourceRole,
)

BOUND = 10.0
TIMES = FollowTimes.within(BOUND)
BY_OTHERS = FollowTimes.within(BOUND, watched_by_all=False)
START = 50.0


@pytest.mark.parametrize(
    ("times", "role", "wait"),
    [
        (TIMES, SourceRole.ALONE, TIMES.watch_wait),
        (TIMES, SourceRole.READER, TIMES.watch_wait),
        (TIMES, SourceRole.RELYING, LONGEST_WATCH_SECONDS),
        (BY_OTHERS, SourceRole.READER, TIMES.watch_wait),
        (BY_OTHERS, SourceRole.RELYING, None),
    ],
)
def test_how_long_a_watch_waits(times, role, wait):
    assert FollowRule(times, START).watch_wait(role) == wait


def test_an_early_answer_confirms_only_what_was_when_its_watch_was_sent():
    rule = FollowRule(TIMES, START)
    assert rule.watch_confirms(sent_at=60.0, answered_at=61.0, wait=2.5, told_changes=False) == 60.0
    assert rule.watch_confirms(sent_at=60.0, answered_at=62.5, wait=2.5, told_changes=False) == 62.5


def test_an_answer_with_changes_confirms_only_what_was_when_its_watch_was_sent():
    """The answer was made when the change came, and may have been under way since."""
    rule = FollowRule(TIMES, START)
    assert rule.watch_confirms(sent_at=60.0, answered_at=64.0, wait=2.5, told_changes=True) == 60.0


@pytest.mark.parametrize(
    ("role", "due_in"),
    [
        (SourceRole.ALONE, None),
        (SourceRole.RELYING, TIMES.ask_every),
        (SourceRole.READER, TIMES.watch_wait + TIMES.answer_slack),
    ],
)
def test_when_others_are_asked_first(role, due_in):
    assert FollowRule(TIMES, START).ask_due_in(START, role) == due_in


def test_others_are_asked_again_after_a_pause():
    rule = FollowRule(TIMES, START)
    now = START + TIMES.ask_every
    assert rule.ask_due_in(now, SourceRole.RELYING) == 0.0
    rule.asked(now)
    assert rule.ask_due_in(now, SourceRole.RELYING) == pytest.approx(TIMES.ask_every)


def test_a_view_without_a_bound_is_neither_asked_for_nor_read_again():
    rule = FollowRule(FollowTimes.unbounded(8.0), START)
    for role in SourceRole:
        assert rule.check_due_in(START, role, may_be_old=False) is None
    assert not rule.read_due(START + 1000)
    assert not rule.too_old(START + 1000)
    assert not rule.first_view_outdated(START + 1000, as_of=START)


def test_the_store_is_read_before_the_view_is_too_old():
    rule = FollowRule(TIMES, START)
    read_at = START + TIMES.read_at_age
    assert not rule.read_due(read_at - 0.01)
    assert rule.read_due(read_at)
    assert not rule.too_old(START + BOUND)
    assert rule.too_old(START + BOUND + 0.01)
    rule.confirmed(read_at)
    assert not rule.read_due(read_at)
    assert rule.age(read_at + 1.0) == pytest.approx(1.0)


def test_while_the_store_is_read_its_age_asks_for_no_other_reading():
    rule = FollowRule(TIMES, START)
    assert rule.check_due_in(START, SourceRole.ALONE, may_be_old=True) is None
    due_in = rule.check_due_in(START, SourceRole.ALONE, may_be_old=False)
    assert due_in == pytest.approx(TIMES.read_at_age)
    late = START + BOUND
    assert rule.check_due_in(late, SourceRole.ALONE, may_be_old=False) == SHORTEST_CHECK_SECONDS


def test_when_the_store_counts_as_not_serving():
    rule = FollowRule(TIMES, START)
    assert not rule.store_unserved(START, None)
    assert not rule.store_unserved(START + TIMES.hedge_after, START)
    assert rule.store_unserved(START + TIMES.hedge_after + 0.01, START)
    assert rule.answer_arriving(START, last_byte_at=START - TIMES.hedge_after + 0.01)
    assert not rule.answer_arriving(START, last_byte_at=START - TIMES.hedge_after)


def test_a_first_view_must_be_within_the_bound():
    rule = FollowRule(TIMES, START)
    assert not rule.first_view_outdated(START, as_of=START - BOUND)
    assert rule.first_view_outdated(START, as_of=START - BOUND - 0.01)


@pytest.mark.parametrize(
    ("role", "longest"),
    [
        (SourceRole.ALONE, TIMES.longest_pause),
        (SourceRole.READER, TIMES.longest_pause),
        (SourceRole.RELYING, TIMES.relying_pause),
    ],
)
def test_pauses_double_to_a_bound_until_the_store_answers(role, longest):
    pause = RetryPause(TIMES)
    pause.lengthen(role)
    assert pause.seconds == 2 * FIRST_PAUSE_SECONDS
    for _ in range(10):
        pause.lengthen(role)
    assert pause.seconds == longest
    pause.reset()
    assert pause.seconds == FIRST_PAUSE_SECONDS
