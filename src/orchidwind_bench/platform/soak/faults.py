"""The soak's faults: draws a schedule from a seed, and begins and undoes each fault of it.

Lists all faults; they are implemented in `proxy_faults`, `instance_faults` and `store_faults`.
"""

from __future__ import annotations

import asyncio
import random
from functools import partial

from orchidwind_bench.platform.soak.fault_claims import FaultClaims
from orchidwind_bench.platform.soak.instance_faults import INSTANCE_FAULTS, InstanceFaults
from orchidwind_bench.platform.soak.planned_fault import PART_STEP, PARTS, PlannedFault, Undo
from orchidwind_bench.platform.soak.proxy_faults import PROXY_FAULTS, ProxyFaults
from orchidwind_bench.platform.soak.store_faults import STORE_FAULTS, StoreFaults
from orchidwind_bench.platform.soak.system import CONTACT_SECONDS, SoakSystem

# Seconds between two faults, and how long one lasts, such that faults overlap. Other values would
# change the schedules that the regression seeds draw.
_SHORTEST_GAP_SECONDS = 0.1
_LONGEST_GAP_SECONDS = 1.2
_SHORTEST_SECONDS = 0.3
_LONGEST_SECONDS = 4.0
# All faults end at least 4 s before the end, so that the bounds on the configuration hold again.
_QUIET_END_SECONDS = _LONGEST_SECONDS + CONTACT_SECONDS + 1.0
# The names of all faults, in the order in which a seed draws them.
FAULTS = tuple(sorted([*PROXY_FAULTS, *INSTANCE_FAULTS, *STORE_FAULTS]))


def draw_schedule(seed: int, seconds: float) -> list[PlannedFault]:
    """Draw the faults of a run from a seed; none begins in the last seconds of the run."""
    rng = random.Random(seed)
    schedule = []
    at = 1.0
    while at < seconds - _QUIET_END_SECONDS:
        duration = rng.uniform(_SHORTEST_SECONDS, _LONGEST_SECONDS)
        schedule.append(PlannedFault(at, rng.choice(FAULTS), duration, rng.randrange(PARTS)))
        at += rng.uniform(_SHORTEST_GAP_SECONDS, _LONGEST_GAP_SECONDS)
    return schedule


class FaultPlayer:
    """Plays a schedule of faults against a system."""

    def __init__(self, system: SoakSystem, min_undisturbed: int = 2) -> None:
        """An instance fails only if `min_undisturbed` others of its group are undisturbed."""
        self._system = system
        claims = FaultClaims(system)
        self._proxies = ProxyFaults(system, claims)
        self._instances = InstanceFaults(system, min_undisturbed)
        self._store = StoreFaults(system, claims)
        self._promotions = 0
        self._running: list[asyncio.Task[None]] = []

    async def play(self, schedule: list[PlannedFault]) -> None:
        """Begin and undo each fault at its time.

        A fault that waits for a promotion never begins if that promotion is not called.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        self._system.on_promotion = partial(self._promotion_called, schedule)
        for fault in schedule:
            if not fault.promotion:
                await asyncio.sleep(max(0.0, began + fault.at - loop.time()))
                self._running.append(loop.create_task(self._play_one(fault)))
        # A promotion that is called meanwhile adds further faults.
        while self._running:
            running, self._running = self._running, []
            await asyncio.gather(*running)

    def _promotion_called(self, schedule: list[PlannedFault], service: str) -> None:
        self._promotions += 1
        group = list(self._system.groups).index(service)
        for fault in schedule:
            if fault.promotion == self._promotions:
                part = fault.part - fault.part % PART_STEP + group
                task = asyncio.get_running_loop().create_task(self._play_one(fault, fault.at, part))
                self._running.append(task)

    async def _play_one(
        self, fault: PlannedFault, wait: float = 0.0, part: int | None = None
    ) -> None:
        await asyncio.sleep(wait)
        undo = self._begin(fault.name, fault.part if part is None else part)
        self._system.note(f"fault {fault.name}" + ("" if undo else " (at once or not at all)"))
        if undo is None:
            return
        await asyncio.sleep(fault.seconds)
        undo()
        self._system.note(f"end of fault {fault.name}")

    def _begin(self, name: str, part: int) -> Undo:
        if name in PROXY_FAULTS:
            return PROXY_FAULTS[name](self._proxies, part)
        if name in INSTANCE_FAULTS:
            return INSTANCE_FAULTS[name](self._instances, part)
        return STORE_FAULTS[name](self._store, part)
