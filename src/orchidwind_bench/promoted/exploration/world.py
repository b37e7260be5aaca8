"""One run of the model under one schedule."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from orchidwind.promoted.core.failover_steps import FailoverStep
from orchidwind.promoted.core.roster import PromotionRecord
from orchidwind_bench.promoted.exploration.checks import Checks, Violation
from orchidwind_bench.promoted.exploration.choices import Choices, OpenChoice, Schedule
from orchidwind_bench.promoted.exploration.faults import Faults
from orchidwind_bench.promoted.exploration.instance_calls import InstanceCalls
from orchidwind_bench.promoted.exploration.instances import ModelGroup, ModelInstance, PositionTerm
from orchidwind_bench.promoted.exploration.network import ModelNetwork
from orchidwind_bench.promoted.exploration.platform import ModelPlatform
from orchidwind_bench.promoted.exploration.proxy import ModelProxy
from orchidwind_bench.promoted.exploration.store import ModelStore
from orchidwind_bench.promoted.exploration.surroundings import ProductLogic, Surroundings
from orchidwind_bench.promoted.exploration.timeline import Timeline
from orchidwind_bench.promoted.exploration.trace import Trace

INSTANCES = ("i-0", "i-1", "i-2")
JOINING = ("i-3",)
PROXIES = ("p-1", "p-2")
# Faults may be inflicted between these times, in seconds, at each multiple of the interval.
QUIET_SECONDS = 0.9
FAULTS_UNTIL_SECONDS = 4.0
FAULT_EVERY_SECONDS = 0.25
# How long after the last fault was mended commits must be acknowledged again, in seconds: an
# instance that left for good is counted for 20 s.
STUCK_SECONDS = 30.0
# A run goes on for so long with a primary, in seconds, as something late may still come.
SETTLED_SECONDS = 0.6
# While the same one or two steps are repeated, faults are inflicted before these first ones only.
_SAME_STEPS = 4

# What the caller of the second proxy does. One that only reads is never refused by a demoted
# primary, so its proxy learns from the proofs alone who leads.
_CALLER = "p-2"
_READS_AND_WRITES, _ONLY_READS = "reads and writes", "only reads"
_POSITION_TERMS = tuple(kind.value for kind in PositionTerm)
_NO_FAULT = "none"

# What each scenario begins with: faults by time in seconds.
SCENARIOS: dict[str, tuple[tuple[float, str], ...]] = {
    "calm": (),
    "crash": ((1.0, "crash i-0"),),
    "restart": ((1.0, "restart i-0"),),
    "leaving": ((1.0, "leave i-0"),),
    "deaf": ((1.0, "deaf i-0"),),
    "not-confirming": ((1.0, "cut primary off"),),
    "unreached": ((1.0, "cut p-1 i-0 for long"),),
    "one-replica": ((0.5, "leave i-2"), (2.8, "crash i-0")),
    "replaced-replica": ((0.5, "leave i-2"), (2.45, "cut primary off"), (3.0, "join i-3")),
    "return": ((1.0, "store returns, three seconds older"), (1.5, "crash i-0")),
    "return-in-a-change": ((2.0, "crash i-0"), (2.25, "store returns, a second older")),
    "twice": ((1.0, "crash i-0"), (2.3, "crash i-1"), (2.3, "crash i-2")),
}


@dataclass(frozen=True, slots=True)
class RunResult:
    """How a run ended. `ended_at` is in seconds of virtual time.

    `record` is of the last promotion, as it stands in the store.
    """

    schedule: Schedule
    violations: tuple[Violation, ...]
    met: tuple[OpenChoice, ...]
    deviations: dict[str, str]
    promotions: int
    acknowledged: int
    events: int
    ended_at: float
    trace: tuple[str, ...]
    record: PromotionRecord | None


class World:
    """Everything of one run."""

    def __init__(self, schedule: Schedule, logic: ProductLogic, traced: bool = False) -> None:
        self._schedule = schedule
        self.choices = choices = Choices(schedule)
        self.timeline = timeline = Timeline()
        self.network = network = ModelNetwork(timeline)
        self.checks = checks = Checks()
        self.trace = trace = Trace(lambda: timeline.now, traced)
        self.store = store = ModelStore(timeline, network, choices)
        positions = PositionTerm(choices.pick("positions", "group", _POSITION_TERMS))
        self.group = group = ModelGroup(
            timeline, network, choices, store, INSTANCES, JOINING, positions
        )
        group.on_lead.append(self._led)
        calls = InstanceCalls(timeline, network, choices, group, trace)
        platform = ModelPlatform(timeline, choices, group, checks, trace)
        self._around = Surroundings(
            timeline, network, choices, store, platform, group, calls, checks, trace, logic
        )
        self.faults = Faults(timeline, network, store, group, self, trace)
        work = choices.pick("caller", _CALLER, (_READS_AND_WRITES, _ONLY_READS))
        self._writing = set(PROXIES) - ({_CALLER} if work == _ONLY_READS else set())
        self._promotions = 0
        self._noted_violations = 0
        self._last_steps: tuple[tuple[str, str], ...] = ()
        self._repeated = 0
        for instance in group.instances.values():
            store.tell(instance)
        self._proxies = {name: self._new_proxy(name) for name in PROXIES}
        for at, fault in SCENARIOS[schedule.scenario]:
            timeline.after(at, partial(self._inflict, fault))
        timeline.after(QUIET_SECONDS, self._tick)

    # --- proxies ------------------------------------------------------------------------------

    @property
    def names(self) -> tuple[str, ...]:
        """The names of the proxies."""
        return PROXIES

    def pause(self, name: str, seconds: float) -> None:
        """Have a proxy do nothing for a while."""
        life = self._proxies[name].life
        life.paused_until = max(life.paused_until, self.timeline.now + seconds)

    def kill(self, name: str, back_after: float) -> None:
        """End a proxy, and begin it again under its name after a while."""
        if not self._proxies[name].life.alive:
            return
        self._proxies[name].life.alive = False
        self.timeline.after(back_after, lambda: self._begin(name))

    def _begin(self, name: str) -> None:
        self._proxies[name] = self._new_proxy(name)

    def _new_proxy(self, name: str) -> ModelProxy:
        return ModelProxy(name, self._around, self, writes=name in self._writing)

    # --- faults -------------------------------------------------------------------------------

    def before_step(self, proxy: str, step: FailoverStep) -> None:
        """A step of a change of primary begins: something may happen first."""
        kind = (proxy, str(step))
        self._repeated = self._repeated + 1 if kind in self._last_steps else 0
        self._last_steps = (*self._last_steps[-1:], kind)
        if self._repeated > _SAME_STEPS:
            return
        if QUIET_SECONDS <= self.timeline.now < FAULTS_UNTIL_SECONDS:
            self._choose(f"{proxy}:{type(step).__name__}")

    def _tick(self) -> None:
        if self.timeline.now >= FAULTS_UNTIL_SECONDS:
            self.choices.calm = True
            return
        self._choose("time")
        self.timeline.after(FAULT_EVERY_SECONDS, self._tick)

    def _inflict(self, name: str) -> None:
        self.faults.inflict(self.faults.named(name))

    def _choose(self, when: str) -> None:
        taken = self.choices.pick("fault", when, (_NO_FAULT, *self.faults.names))
        if taken != _NO_FAULT:
            self._inflict(taken)

    # --- the run ------------------------------------------------------------------------------

    def _led(self, instance: ModelInstance, replaced: ModelInstance) -> None:
        self._promotions += 1
        self.trace.note(
            f"{instance.name} LEADS term {instance.term} with {len(instance.log)},"
            f" after {replaced.name} with {len(replaced.log)}"
        )
        self.checks.led(self.timeline.now, instance)

    def run(self) -> RunResult:
        """Play the schedule to its end."""
        self.timeline.run(self._over)
        return RunResult(
            schedule=self._schedule,
            violations=tuple(self.checks.violations),
            met=tuple(self.choices.met),
            deviations=self.choices.deviations(),
            promotions=self._promotions,
            acknowledged=len(self.checks.acknowledged),
            events=self.timeline.events,
            ended_at=self.timeline.now,
            trace=tuple(self.trace.lines),
            record=self.store.roster.last_promotion if self.store.roster is not None else None,
        )

    def _over(self) -> bool:
        if len(self.checks.violations) > self._noted_violations:
            for violation in self.checks.violations[self._noted_violations :]:
                self.trace.note(f"BROKEN {violation.promise.name}: {violation.text}")
            self._noted_violations = len(self.checks.violations)
        now = self.timeline.now
        mended_at = max(FAULTS_UNTIL_SECONDS, self.faults.mended_at)
        if now < mended_at + SETTLED_SECONDS:
            return False
        if self.checks.newest_at > mended_at and not self._changing():
            return True
        if now > mended_at + STUCK_SECONDS:
            roles = ", ".join(
                f"{item.name} {item.role.value} {item.term}"
                for item in self.group.instances.values()
                if item.runs
            )
            self.checks.stuck(now, roles)
            return True
        return False

    def _changing(self) -> bool:
        return any(proxy.life.alive and proxy.changing for proxy in self._proxies.values())


def play(schedule: Schedule, logic: ProductLogic, traced: bool = False) -> RunResult:
    """Run one schedule."""
    return World(schedule, logic, traced).run()
