"""Changes of primary on real processes: short runs, and scenarios that once lost commits."""

import asyncio

import pytest

from orchidwind_bench.platform.soak import run as soak_run
from orchidwind_bench.platform.soak.faults import PART_STEP, PlannedFault
from orchidwind_bench.platform.soak.instances import InstanceTimes
from orchidwind_bench.platform.soak.run import soak
from orchidwind_bench.platform.soak.system import SoakSizes

STEADY = InstanceTimes(
    lag=(0.002, 0.004),
    part=(5, 5),
    promotion=(0.2, 0.2),
    before_draining=(0.0, 0.0),
    draining=(2.0, 2.0),
    before_successor=(0.5, 0.5),
)
FIRST, SECOND = 0, PART_STEP
# Name, faults, and how long callers ask, in seconds.
SCENARIOS = {
    # The replaced primary follows while it drains, is the only one to confirm, and ends.
    "drained_primary_confirmed": (
        [
            PlannedFault(1.0, "release_primary", 0.0, SECOND),
            PlannedFault(2.2, "deafen_replica", 5.0, FIRST),
            PlannedFault(2.2, "deafen_replica", 5.0, SECOND),
            PlannedFault(3.6, "pause_primary", 2.0, FIRST),
        ],
        8.0,
    ),
}


def play_scenario(name, tmp_path, monkeypatch, seed=1):
    plan, seconds = SCENARIOS[name]
    monkeypatch.setattr(soak_run, "draw_promotions", lambda seed, seconds: plan)
    return asyncio.run(soak(seed, seconds, tmp_path, SoakSizes(), promotions=True, times=STEADY))


@pytest.mark.parametrize("name", sorted(SCENARIOS))
def test_no_commit_is_lost_in_scenarios(tmp_path, monkeypatch, name):
    report = play_scenario(name, tmp_path, monkeypatch)
    assert report.changes >= 1
    assert report.broken == []
