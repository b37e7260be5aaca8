"""Checks the promises on real processes while the store is restored from older copies."""

import asyncio

from orchidwind_bench.platform.soak.planned_fault import PlannedFault
from orchidwind_bench.platform.soak.run import soak
from orchidwind_bench.platform.soak.system import SoakSizes

SECONDS = 24.0
# Each restore loses all writes since its fault began: first a change of the configuration and a
# change of primary, then the entries of a proxy. A primary crashes just after the second restore.
PLAN = [
    PlannedFault(1.5, "return_store", 2.0, 0),
    PlannedFault(1.8, "change_configuration", 0.0, 0),
    PlannedFault(2.0, "crash_primary", 1.5, 0),
    PlannedFault(4.5, "change_configuration", 0.0, 1),
    PlannedFault(8.0, "return_store", 1.0, 0),
    PlannedFault(8.2, "kill_proxy", 0.5, 120),
    PlannedFault(9.2, "crash_primary", 1.0, 0),
    PlannedFault(9.5, "change_configuration", 0.0, 2),
]


def test_promises_hold_while_the_store_is_restored_twice(tmp_path):
    report = asyncio.run(soak(7, SECONDS, tmp_path, SoakSizes(), promotions=True, plan=PLAN))
    assert report.broken == []
    assert report.answers["ok"] > 50
    returns = [
        sum(" event=store_came_back" in line for line in log.read_text().splitlines())
        for log in tmp_path.glob("proxy-*.log")
    ]
    assert sum(returns) >= 2 * len(returns) - 1, "all proxies but the killed one saw both restores"
