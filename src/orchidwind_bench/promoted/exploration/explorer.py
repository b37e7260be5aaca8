"""Searches the schedules of the model for broken promises.

Two searches, over the same choices:

- *Few deviations, all of them.* Each schedule with at most a number of deviations from the harmless
  run of its scenario is played, depth first: a schedule is extended only by choices that came up
  after its last deviation, so each is played once. Runs are replayed from the beginning. A search
  that stores states would need to copy and compare the frames of the product's generator, which
  Python does not allow; and what breaks promises here needs few things to go wrong at the right
  moments, so all schedules with few deviations cover more than a part of the deep ones.
- *Many deviations, by chance.* Each seed plays one schedule, with its own mixture of faults.

What is found is made smaller: deviations are left out as long as the same promise breaks.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from orchidwind_bench.promoted.exploration.checks import BrokenPromise
from orchidwind_bench.promoted.exploration.choices import Schedule, without
from orchidwind_bench.promoted.exploration.surroundings import ProductLogic
from orchidwind_bench.promoted.exploration.world import SCENARIOS, RunResult, play


@dataclass(frozen=True, slots=True)
class Finding:
    """A schedule that breaks a promise, made as small as it could be."""

    promise: BrokenPromise
    schedule: Schedule
    first_found: Schedule
    text: str


@dataclass(slots=True)
class ExplorationReport:
    """What an exploration has done. `seconds` are of the machine's clock."""

    schedules: int = 0
    events: int = 0
    promotions: int = 0
    seconds: float = 0.0
    broken: int = 0
    complete: bool = True
    findings: list[Finding] = field(default_factory=list)

    def speed(self) -> str:
        """How much was played a second."""
        seconds = max(self.seconds, 1e-9)
        return (
            f"{self.schedules} schedules, {self.events} events, {self.promotions} promotions in"
            f" {self.seconds:.1f} s: {self.schedules / seconds:.0f} schedules/s,"
            f" {self.events / seconds:.0f} states/s"
        )


class Explorer:
    """Plays schedules until the time is over, and keeps what breaks a promise."""

    def __init__(self, logic: ProductLogic, seconds: float, findings: int = 8) -> None:
        """`seconds` is the time for one search; `findings` is how many different ones are kept."""
        self._logic = logic
        self._seconds = seconds
        self._wanted = findings
        self._known: set[tuple[object, ...]] = set()
        self.report = ExplorationReport()

    def few_deviations(
        self, beginnings: Sequence[Schedule], depth: int, among: Collection[str] = ()
    ) -> ExplorationReport:
        """Play all schedules with at most `depth` deviations more than those they begin with.

        Only options named in `among` are taken, where it names any: a list of what may happen next.
        """
        began = time.monotonic()
        for number in range(depth + 1):
            searches = [self._extended(item, number, among) for item in beginnings]
            for schedule in _in_turn(searches):
                if self._over(began):
                    self.report.complete = False
                    break
                self._play(schedule)
        self.report.seconds += time.monotonic() - began
        return self.report

    def _extended(
        self, schedule: Schedule, more: int, among: Collection[str], after: str = ""
    ) -> Iterator[Schedule]:
        """All schedules with exactly so many more deviations, made after a choice."""
        if not more:
            yield schedule
            return
        met = play(schedule, self._logic).met
        keys = [choice.key for choice in met]
        for choice in met[keys.index(after) + 1 if after in keys else 0 :]:
            if choice.deviates:
                continue
            for option in choice.options[1:]:
                if among and option not in among:
                    continue
                longer = Schedule(schedule.scenario, {**schedule.deviations, choice.key: option})
                yield from self._extended(longer, more - 1, among, choice.key)

    def by_chance(self, seeds: Iterable[int]) -> ExplorationReport:
        """Play the schedule of each seed."""
        began = time.monotonic()
        scenarios = tuple(SCENARIOS)
        for seed in seeds:
            if self._over(began):
                self.report.complete = False
                break
            scenario = scenarios[random.Random(seed).randrange(len(scenarios))]
            self._play(Schedule(scenario, seed=seed))
        self.report.seconds += time.monotonic() - began
        return self.report

    def _over(self, began: float) -> bool:
        late = time.monotonic() - began > self._seconds
        return late or len(self.report.findings) >= self._wanted

    def _play(self, schedule: Schedule) -> None:
        result = play(schedule, self._logic)
        report = self.report
        report.schedules += 1
        report.events += result.events
        report.promotions += result.promotions
        if not result.violations:
            return
        report.broken += 1
        for promise in {violation.promise for violation in result.violations}:
            if len(report.findings) < self._wanted:
                self._keep(schedule, result, promise)

    def _keep(self, schedule: Schedule, result: RunResult, promise: BrokenPromise) -> None:
        small = smaller(result, promise, self._logic)
        kind = _kind(small, promise)
        if kind in self._known:
            return
        self._known.add(kind)
        text = next(
            item.text for item in play(small, self._logic).violations if item.promise is promise
        )
        self.report.findings.append(Finding(promise, small, schedule, text))


def _in_turn(searches: Iterable[Iterator[Schedule]]) -> Iterator[Schedule]:
    """One of each search, again and again: a search that is cut short has seen all scenarios."""
    going = list(searches)
    while going:
        for search in list(going):
            schedule = next(search, None)
            if schedule is None:
                going.remove(search)
            else:
                yield schedule


def _kind(schedule: Schedule, promise: BrokenPromise) -> tuple[object, ...]:
    """What findings of one cause mostly share: the promise and the deviations, without number."""
    kinds = sorted(
        (key.partition("#")[0].partition(":")[0], option)
        for key, option in schedule.deviations.items()
    )
    return (promise, schedule.scenario, *kinds)


def smaller(result: RunResult, promise: BrokenPromise, logic: ProductLogic) -> Schedule:
    """The schedule of a run with as few deviations as still break the promise."""

    def breaks(deviations: dict[str, str]) -> bool:
        again = play(Schedule(result.schedule.scenario, deviations), logic)
        return any(item.promise is promise for item in again.violations)

    return Schedule(result.schedule.scenario, _reduced(result.deviations, breaks))


def _reduced(
    deviations: dict[str, str], breaks: Callable[[dict[str, str]], bool]
) -> dict[str, str]:
    """Leave out halves, quarters and so on, down to single ones, while it still breaks."""
    part = max(len(deviations) // 2, 1)
    while deviations:
        keys = list(deviations)
        left_out = False
        for start in range(0, len(keys), part):
            rest = without(deviations, keys[start : start + part])
            if len(rest) < len(deviations) and breaks(rest):
                deviations, left_out = rest, True
        if part == 1 and not left_out:
            break
        part = max(part // 2, 1)
    return deviations
