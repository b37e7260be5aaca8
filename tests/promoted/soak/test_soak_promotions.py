"""Changes of primary on real processes, by scenarios and fault plans that once lost commits."""

import asyncio
from dataclasses import dataclass, replace
from pathlib import Path

import pytest

from orchidwind_bench.platform.soak.faults import FAULTS
from orchidwind_bench.platform.soak.instance_state import InstanceTimes
from orchidwind_bench.platform.soak.planned_fault import PART_STEP, PlannedFault
from orchidwind_bench.platform.soak.promotions import draw_promotions
from orchidwind_bench.platform.soak.run import read_plan, soak
from orchidwind_bench.platform.soak.system import SoakSizes
from orchidwind_standins.platform.replicated_instance import PositionTerm

PLANS = Path(__file__).parent / "soak_plans"


@dataclass(frozen=True)
class RegressionSeed:
    """A seed whose run lost commits before a fix, with the cause and the options of the run.

    Its faults are kept in a file, so that a change of the schedule generator does not alter them.
    Seeds with `in_tests` run here; `orchidwind-bench soak --plan` runs any of them.
    """

    seed: int
    cause: str
    in_tests: bool = False
    groups: int = 2
    position_term: PositionTerm = "last_entry"


REGRESSION_SEEDS = (
    RegressionSeed(1001, "a drained primary that had confirmed was not counted", in_tests=True),
    RegressionSeed(7005, "entries expired: two confirming instances were not counted", groups=3),
    RegressionSeed(10002, "as 1001; the chosen instance had just joined, in the newest term"),
    RegressionSeed(30017, "an instance that joined after the call confirmed for the old primary"),
    RegressionSeed(40004, "instances still catching up were counted, twice", in_tests=True),
    RegressionSeed(40012, "a fence was lost after the promotion call", in_tests=True),
    RegressionSeed(60002, "an instance catching up seemed ahead", position_term="followed"),
)
REGRESSION_SECONDS = 20.0


def plan_of(item):
    """Reads the faults of a seed's run from its file."""
    return read_plan(PLANS / f"seed-{item.seed}.json")


STEADY = InstanceTimes(
    lag=(0.002, 0.004),
    part=(5, 5),
    promotion=(0.2, 0.2),
    before_draining=(0.0, 0.0),
    draining=(2.0, 2.0),
    before_successor=(0.5, 0.5),
)
# The slowest allowed promotion leaves time for faults during it, even on a busy machine.
SLOW = replace(STEADY, promotion=(1.0, 1.0))
CATCHING_UP = replace(STEADY, lag=(0.02, 0.02), part=(1, 1), position_term="followed")
LAGGING = replace(STEADY, lag=(0.01, 0.01), part=(1, 1))
FIRST, SECOND = 0, PART_STEP


@dataclass(frozen=True)
class Scenario:
    """Faults that once lost commits, the timing of the instances, and the seconds of load."""

    plan: tuple[PlannedFault, ...]
    times: InstanceTimes
    seconds: float


SCENARIOS = {
    # The replaced primary follows while it drains, is the only instance to confirm commits, and
    # ends.
    "a_drained_primary_had_confirmed": Scenario(
        (
            PlannedFault(1.0, "release_primary", 0.0, SECOND),
            PlannedFault(2.2, "deafen_replica", 5.0, FIRST),
            PlannedFault(2.2, "deafen_replica", 5.0, SECOND),
            PlannedFault(3.6, "pause_primary", 2.0, FIRST),
        ),
        STEADY,
        7.0,
    ),
    # After the promotion call the old primary is back, and a replica restarts without its fence.
    "a_fence_is_lost_after_the_call": Scenario(
        (
            PlannedFault(1.0, "pause_primary", 4.0, FIRST),
            PlannedFault(0.0, "return_instances", 0.0, FIRST, promotion=1),
            PlannedFault(0.02, "crash_replica", 0.02, FIRST, promotion=1),
        ),
        SLOW,
        5.0,
    ),
    # After the promotion call the old primary is back, and an unfenced instance joins.
    "an_instance_joins_after_the_call": Scenario(
        (
            PlannedFault(1.0, "pause_primary", 4.0, FIRST),
            PlannedFault(0.0, "return_instances", 0.0, FIRST, promotion=1),
            PlannedFault(0.0, "join", 0.0, FIRST, promotion=1),
        ),
        SLOW,
        5.0,
    ),
    # Log positions carry the followed term: an instance that is still catching up seems ahead.
    "one_that_catches_up_seems_ahead": Scenario(
        (
            PlannedFault(1.0, "deafen_replica", 8.0, FIRST),
            PlannedFault(2.0, "cut_primary_from_replicas", 7.0, FIRST),
            PlannedFault(2.05, "crash_primary", 7.0, FIRST),
            PlannedFault(0.25, "end_deafness", 0.0, FIRST, promotion=1),
            PlannedFault(0.4, "return_instances", 0.0, FIRST, promotion=1),
            PlannedFault(1.2, "crash_primary", 6.0, FIRST, promotion=1),
        ),
        CATCHING_UP,
        7.0,
    ),
    # The only remaining replica follows the newest term and lacks most of the previous one, as its
    # log position shows; the primary that is demoted for it has all entries.
    "one_that_catches_up_is_counted": Scenario(
        (
            PlannedFault(0.8, "deafen_replica", 9.0, FIRST),
            PlannedFault(2.2, "crash_primary", 9.0, FIRST),
            PlannedFault(0.25, "end_deafness", 0.0, FIRST, promotion=1),
            PlannedFault(1.0, "deafen_replica", 9.0, FIRST, promotion=1),
        ),
        LAGGING,
        9.0,
    ),
}


@pytest.mark.parametrize("name", sorted(SCENARIOS))
def test_no_commit_is_lost_where(tmp_path, name):
    given = SCENARIOS[name]
    report = asyncio.run(
        soak(
            1,
            given.seconds,
            tmp_path,
            SoakSizes(),
            promotions=True,
            times=given.times,
            plan=list(given.plan),
        )
    )
    assert report.broken == []
    assert report.answers["ok"] > 20
    assert report.changes >= 1


def test_no_promise_is_broken_by_the_plans_of_seeds_that_lost_commits(tmp_path):
    async def play(item):
        folder = tmp_path / str(item.seed)
        folder.mkdir()
        return await soak(
            item.seed,
            REGRESSION_SECONDS,
            folder,
            SoakSizes(groups=item.groups),
            promotions=True,
            times=InstanceTimes(position_term=item.position_term),
            plan=plan_of(item),
        )

    async def play_all():
        return await asyncio.gather(*(play(item) for item in REGRESSION_SEEDS if item.in_tests))

    broken = [item for report in asyncio.run(play_all()) for item in report.broken]
    assert broken == []


def test_plans_name_only_known_faults():
    plans = [plan_of(item) for item in REGRESSION_SEEDS]
    plans += [list(item.plan) for item in SCENARIOS.values()]
    plans += [draw_promotions(seed, 20.0) for seed in range(40)]
    assert {fault.name for plan in plans for fault in plan} <= set(FAULTS)
