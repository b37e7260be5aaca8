"""The schedule by which a proxy ends its sessions at a planned shutdown."""

import pytest

from orchidwind.promoted.core.drain_plan import DrainPlan


def test_sessions_are_closed_at_an_even_rate():
    plan = DrainPlan(grace_seconds=6.0, sessions=100)
    assert plan.closable_sessions(0.0, closed=0, present=100) == 0
    assert plan.closable_sessions(1.3, closed=0, present=100) == 50
    assert plan.closable_sessions(1.3, closed=49, present=51) == 1
    assert plan.accepts_sessions(2.59)
    assert not plan.accepts_sessions(2.6)
    assert plan.closable_sessions(2.6, closed=90, present=17) == 17


@pytest.mark.parametrize(("grace", "accept"), [(6.0, 2.6), (2.0, 0.9)])
def test_new_sessions_are_accepted_for_a_share_of_a_short_grace_period(grace, accept):
    plan = DrainPlan(grace, 10)
    assert plan.accepts_sessions(accept - 0.01)
    assert not plan.accepts_sessions(accept + 0.01)


def test_transactions_have_half_of_the_grace_period_and_waiting_ends_within_it():
    plan = DrainPlan(grace_seconds=6.0, sessions=1)
    assert not plan.ends_transactions(3.0)
    assert plan.ends_transactions(3.01)
    assert not plan.is_over(5.0)
    assert plan.is_over(5.1)
