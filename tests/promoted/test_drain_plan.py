"""How the sessions of a proxy end at its planned stop."""

import pytest

from orchidwind.promoted.core.drain_plan import DrainPlan


def test_resting_sessions_are_closed_in_even_steps():
    plan = DrainPlan(grace_seconds=6.0, sessions=100)
    assert plan.may_close(0.0, closed=0, present=100) == 0
    assert plan.may_close(1.3, closed=0, present=100) == 50
    assert plan.may_close(1.3, closed=49, present=51) == 1
    assert plan.accepts(2.59)
    assert not plan.accepts(2.6)
    assert plan.may_close(2.6, closed=90, present=17) == 17


@pytest.mark.parametrize(("grace", "accept"), [(6.0, 2.6), (2.0, 0.9)])
def test_new_sessions_are_taken_for_a_share_of_a_short_grace(grace, accept):
    plan = DrainPlan(grace, 10)
    assert plan.accepts(accept - 0.01)
    assert not plan.accepts(accept + 0.01)


def test_transactions_have_half_of_the_grace_and_the_end_comes_before_it():
    plan = DrainPlan(grace_seconds=6.0, sessions=1)
    assert not plan.ends_transactions(3.0)
    assert plan.ends_transactions(3.01)
    assert not plan.over(5.0)
    assert plan.over(5.1)
