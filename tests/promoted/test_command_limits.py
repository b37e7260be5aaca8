"""The time limits of a command, the weight of its traffic class, and randomized pauses."""

import pytest
from msgspec.structs import replace

from orchidwind.promoted.core.command_limits import TimeLimits, spread_pause, traffic_class
from orchidwind.promoted.core.configuration import DatabaseRoute, ReadConsistency

DATABASE = DatabaseRoute("d", "g", ReadConsistency.LATEST, 1.0, 0.8, 0.2, 1)


def test_a_new_command_may_wait_for_half_of_its_timeout():
    limits = TimeLimits.for_new_command(DATABASE, arrived_at=100.0)
    wanted = TimeLimits(pytest.approx(100.8), pytest.approx(100.4), pytest.approx(100.2))
    assert limits == wanted


@pytest.mark.parametrize(("now", "hold_until"), [(100.0, 100.4), (100.2, 100.5), (100.7, 100.75)])
def test_after_a_lost_home_a_command_may_wait_for_half_of_the_time_left(now, hold_until):
    limits = TimeLimits.for_new_command(DATABASE, arrived_at=100.0).after_lost_home(now)
    wanted = TimeLimits(pytest.approx(100.8), pytest.approx(hold_until), pytest.approx(100.2))
    assert limits == wanted


def test_each_lower_priority_has_a_quarter_of_the_weight():
    wanted = traffic_class(DATABASE)
    assert wanted.name == "priority-1"
    assert wanted.weight == 16.0
    lower = traffic_class(replace(DATABASE, priority=2))
    assert lower.weight == 4.0


def test_pauses_are_randomized_around_the_requested_length():
    assert [spread_pause(2.0, share) for share in (0.0, 0.5, 1.0)] == [1.0, 2.0, 3.0]
