"""Fairness of one home's queue among tenants whose kinds of requests differ by several times.

The aims are those for any tenant that sends what it usually sends, whatever another one sends.
"""

from functools import cache
from statistics import mean

import pytest

from orchidwind_bench.promoted.laboratory.load import MIXED_KINDS
from orchidwind_bench.promoted.laboratory.one_queue import play_one_queue
from orchidwind_bench.promoted.laboratory.play import LoadPlan

TENANTS = 8
SEEDS = (1, 2, 3)
# With less, the p99 of a small tenant differs by more than the aim from one seed to the next.
SECONDS = 240.0
# How much less of a tenant's requests may be in time, and by how much its p99 may grow.
IN_TIME_LOSS = 0.02
SLOWEST_GROWTH = 0.1


@cache
def play(greedy):
    """Return the mean over the seeds of each tenant's share in time and p99."""
    plans = [
        LoadPlan(
            1.1, SECONDS, seed=seed, tenants=TENANTS, greedy=greedy, slots=2, kinds=MIXED_KINDS
        )
        for seed in SEEDS
    ]
    played = [play_one_queue(plan) for plan in plans]
    in_time = [mean(run[tenant].in_time for run in played) for tenant in range(TENANTS)]
    return in_time, [mean(run[tenant].slowest for run in played) for tenant in range(TENANTS)]


# The first tenant has the largest usual load.
GREEDY = [
    pytest.param((3,), id="fourth"),
    pytest.param((6,), id="seventh"),
    pytest.param((0,), id="largest"),
    pytest.param((0, 3, 6), id="three"),
]


@pytest.mark.parametrize("greedy", GREEDY)
def test_tenants_at_eight_times_their_usual_load_cost_the_others_little(greedy):
    """In order of class and target alone, each other tenant lost a third of its requests."""
    in_time, slowest = play(())
    loaded_in_time, loaded_slowest = play(greedy)
    for tenant in set(range(TENANTS)) - set(greedy):
        assert loaded_in_time[tenant] >= in_time[tenant] - IN_TIME_LOSS
        assert loaded_slowest[tenant] <= (1 + SLOWEST_GROWTH) * slowest[tenant]
