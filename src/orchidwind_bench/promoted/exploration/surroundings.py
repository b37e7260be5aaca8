"""What all proxies of a run share, and the logic that is checked.

Owns nothing that changes but `ProxyLife`, whether one proxy runs; relies on the parts of the model.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from orchidwind.promoted.core.failover import change_primary
from orchidwind.promoted.core.failover_steps import FailoverFlow, FailoverPlan
from orchidwind.promoted.core.leadership_proof import shows_no_later_term
from orchidwind.promoted.core.promotion_lock import LockObserver
from orchidwind.promoted.core.status_rounds import StatusRound
from orchidwind.promoted.store_era import StoreEra
from orchidwind_bench.promoted.exploration.acknowledgement import (
    AcknowledgementRule,
    GuardedCommits,
)
from orchidwind_bench.promoted.exploration.checks import Checks
from orchidwind_bench.promoted.exploration.choices import Choices
from orchidwind_bench.promoted.exploration.instance_calls import InstanceCalls
from orchidwind_bench.promoted.exploration.instances import ModelGroup
from orchidwind_bench.promoted.exploration.network import ModelNetwork
from orchidwind_bench.promoted.exploration.platform import ModelPlatform
from orchidwind_bench.promoted.exploration.store import ModelStore
from orchidwind_bench.promoted.exploration.timeline import Process, Timeline
from orchidwind_bench.promoted.exploration.trace import Trace

# The one group of the model.
GROUP = "ledger"
# After this many seconds a proxy calls the store again that did not answer; as in the product.
STORE_RETRY_SECONDS = 0.25


def _everyone(instances: tuple[str, ...]) -> tuple[str, ...]:
    return instances


@dataclass(frozen=True, slots=True)
class ProductLogic:
    """The logic that is checked, each part of which a test may replace by a variant.

    `asked_for_lead`: the instances that are asked for a leadership proof, of the listed ones with
    the primary last.
    """

    change_primary: Callable[[FailoverPlan], FailoverFlow] = change_primary
    acknowledge: AcknowledgementRule = GuardedCommits()
    asked_for_lead: Callable[[tuple[str, ...]], tuple[str, ...]] = _everyone
    proves_lead: Callable[[StatusRound, int, bool], bool] = shows_no_later_term
    lock_observer: Callable[[str], LockObserver] = LockObserver


@dataclass(frozen=True, slots=True)
class Surroundings:
    """The parts that all proxies of a run share."""

    timeline: Timeline
    network: ModelNetwork
    choices: Choices
    store: ModelStore
    platform: ModelPlatform
    group: ModelGroup
    calls: InstanceCalls
    checks: Checks
    trace: Trace
    logic: ProductLogic


class ProxyLife:
    """One life of a proxy: its name, whether it runs, the store's era that it knows, its processes.

    `paused_until` is in seconds of virtual time.
    """

    def __init__(self, name: str, around: Surroundings) -> None:
        self.name = name
        self.alive = True
        self.paused_until = 0.0
        self._around = around
        self.store_era = StoreEra(self.now)
        around.store.known_eras[name] = self.store_era

    def now(self) -> float:
        """The steady clock, in seconds."""
        return self._around.timeline.now

    def start(self, process: Process[None]) -> None:
        """Begin a process, which ends with this life."""
        self._around.timeline.start(self, process)

    def note(self, text: str) -> None:
        """Something happened here, for the trace."""
        self._around.trace.note(f"{self.name} {text}")
