"""Load and faults on proxies and a group of instances with slots: what callers get.

The figures are shares of the credit that callers could have got, in the seconds 1 to 6 after the
first arrival; three instances with three slots each, six proxies, virtual time.
"""

import pytest

from orchidwind.promoted.core.configuration import ReadConsistency
from orchidwind_bench.promoted.laboratory.load import KINDS
from orchidwind_bench.promoted.laboratory.play import LoadPlan, play_load, slots

SINCE, UNTIL = 1.0, 6.0
# The instances could serve all of it in time.
WITHIN_CAPACITY = 0.95
AT_REPLICAS = (ReadConsistency.BOUNDED, ReadConsistency.SESSION)


def from_one_to_six(begin, end):
    return ((SINCE, begin), (UNTIL, end))


def hang(hung):
    def fault(system):
        slots(system, "i-1").hung = hung

    return fault


def slow(factor):
    def fault(system):
        slots(system, "i-1").slowness = factor

    return fault


def credit(plan):
    played = play_load(plan)
    assert played.broken == []
    return played.figures(SINCE, UNTIL).credit


@pytest.mark.parametrize("seed", [1, 2])
def test_load_near_the_capacity_is_spread_over_all_instances(seed):
    """Before, reads ran on the nearest replica, or the same one of two far ones, whatever waited
    there: 0.545 (mean of both seeds) at 0.8 of the capacity. Now 1.000."""
    assert credit(LoadPlan(load=0.8, seed=seed)) >= WITHIN_CAPACITY


@pytest.mark.parametrize("seed", [1, 2])
def test_reads_leave_a_replica_that_hangs(seed):
    """It takes connections and answers status queries, and no statement: 0.466 before, 0.994 now.

    Each status answer made it count as reachable, and reads went there again.
    """
    assert credit(LoadPlan(faults=from_one_to_six(hang(True), hang(False)), seed=seed)) >= (
        WITHIN_CAPACITY
    )


@pytest.mark.parametrize("seed", [1, 2])
def test_reads_leave_a_replica_that_is_slow(seed):
    """Its work takes five times as long: 0.620 before, 0.994 now."""
    assert credit(LoadPlan(faults=from_one_to_six(slow(5.0), slow(1.0)), seed=seed)) >= (
        WITHIN_CAPACITY
    )


def test_on_a_calm_day_reads_stay_at_replicas():
    """The primary takes reads only where replicas would answer much later."""
    played = play_load(LoadPlan(load=0.4))
    assert played.figures(SINCE, UNTIL).credit >= WITHIN_CAPACITY
    reads = sum(kind.share * (1 - kind.writes) for kind in KINDS if kind.consistency in AT_REPLICAS)
    at_replicas = played.completed["i-1"] + played.completed["i-2"]
    assert at_replicas >= 0.9 * reads * sum(played.completed.values())
