"""Schedules of faults around changes of primary: each series of faults overlaps one change.

A series is drawn from several kinds. `_RACES` holds those in which the state of an instance or a
proxy changes between the last check of the instances and the effect of the promotion.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from orchidwind_bench.platform.soak.planned_fault import PART_STEP, PARTS, PlannedFault

# Seconds from one change of primary to the next, over all groups.
_GAP_SECONDS = (0.9, 1.8)
_FIRST_SECONDS = 1.0
_QUIET_END_SECONDS = 4.0
_MAX_EXTRA_FAULTS = 1
_SHARE_OF_RACES = 0.75
Span = tuple[float, float]


@dataclass(frozen=True, slots=True)
class SeriesStep:
    """One fault of a series, drawn from `names`.

    It begins `delay` seconds after the start of the series (or, if negative, before it) and lasts
    `duration` seconds, both drawn from a range. `share` is the probability that it is played.
    """

    names: tuple[str, ...]
    delay: Span
    duration: Span
    share: float = 1.0


_PRIMARY_FAULTS = (
    "crash_primary",
    "release_primary",
    "pause_primary",
    "cut_primary_from_replicas",
)
# The primary fails briefly: it returns while its replacement is being promoted.
_BRIEF_PRIMARY_FAULTS = ("pause_primary", "crash_primary")
_PROXY_FAULTS = ("kill_proxy", "freeze_proxy", "stop_proxy")

_GENERAL = (
    SeriesStep(("deafen_replica", "cut_replication"), (-0.8, 0.0), (0.5, 2.0), 0.4),
    SeriesStep(("crash_replica",), (-0.8, 0.0), (0.1, 0.8), 0.2),
    SeriesStep(("cut_instance_from_store", "lapse_directory"), (-0.8, 0.0), (0.5, 4.0), 0.2),
    SeriesStep(_PRIMARY_FAULTS, (0.0, 0.0), (0.5, 2.0)),
    SeriesStep(
        ("crash_replica", "pause_some_instance", "crash_some_instance"), (0.2, 1.3), (0.05, 0.4)
    ),
    SeriesStep(("deafen_replica", "release_replica"), (0.0, 1.3), (0.2, 1.5), 0.3),
    SeriesStep(_PROXY_FAULTS, (0.0, 1.3), (0.1, 1.0), 0.4),
)
_RACES = (
    # A replica loses its fence during the promotion, and the old primary returns.
    (
        SeriesStep(_BRIEF_PRIMARY_FAULTS, (0.0, 0.0), (0.8, 1.9)),
        SeriesStep(("crash_replica",), (0.5, 1.7), (0.05, 0.1)),
        SeriesStep(("crash_replica",), (0.5, 1.7), (0.05, 0.1), 0.5),
        SeriesStep(("deafen_replica",), (-0.3, 0.5), (0.5, 2.0), 0.3),
    ),
    # The proxies that run the promotion end or freeze during it, and other proxies take over.
    (
        SeriesStep(_BRIEF_PRIMARY_FAULTS, (0.0, 0.0), (0.8, 2.2)),
        SeriesStep(("kill_all_proxies", "kill_proxy", "kill_proxy"), (0.5, 1.7), (0.05, 0.2)),
        SeriesStep(("freeze_proxy",), (0.4, 1.4), (0.3, 1.5), 0.5),
        SeriesStep(("crash_replica",), (0.5, 2.0), (0.05, 0.1), 0.5),
    ),
    # One replica is down before the change begins, one receives nothing, and one joins.
    (
        SeriesStep(("crash_replica",), (-1.0, -0.3), (4.0, 6.0)),
        SeriesStep(("release_primary",), (0.0, 0.0), (0.0, 0.0)),
        SeriesStep(("deafen_replica",), (2.0, 3.5), (2.0, 3.0)),
        SeriesStep(("join",), (3.0, 5.5), (0.0, 0.0)),
    ),
    # The replaced primary follows, is the only one to confirm, and ends; the next change follows
    # immediately.
    (
        SeriesStep(("release_primary",), (0.0, 0.0), (0.0, 0.0)),
        SeriesStep(("deafen_replica",), (0.6, 1.4), (0.8, 2.0)),
        SeriesStep(("deafen_replica", "cut_replication"), (0.6, 1.4), (0.8, 2.0)),
        SeriesStep(_PRIMARY_FAULTS, (1.8, 3.5), (0.8, 2.0)),
    ),
    # The primary can confirm nothing until an instance joins or receives again.
    (
        SeriesStep(("cut_primary_from_replicas",), (0.0, 0.0), (0.7, 2.0)),
        SeriesStep(("join",), (0.5, 2.0), (0.0, 0.0)),
        SeriesStep(("crash_replica",), (0.5, 2.0), (0.05, 0.1), 0.5),
        SeriesStep(("deafen_replica",), (0.3, 1.5), (0.5, 2.0), 0.5),
    ),
    # Changes in quick succession, with replicas that lag.
    (
        SeriesStep(("release_primary", "crash_primary"), (0.0, 0.0), (0.3, 1.2)),
        SeriesStep(("deafen_replica", "cut_replication"), (0.0, 1.0), (0.5, 1.5)),
        SeriesStep(("crash_primary", "pause_primary", "release_primary"), (1.2, 2.2), (0.3, 1.5)),
        SeriesStep(("cut_replication",), (1.2, 2.4), (0.5, 1.5), 0.5),
        SeriesStep(("crash_primary", "pause_primary"), (2.6, 3.6), (0.3, 1.5)),
    ),
)
# The delays of these steps count from the call of a promotion, which takes effect within 0.5 s.
_DURING_PROMOTION = (
    (
        SeriesStep(("return_instances",), (0.0, 0.1), (0.0, 0.0)),
        SeriesStep(("crash_replica",), (0.0, 0.1), (0.01, 0.02)),
    ),
    (
        SeriesStep(("return_instances",), (0.0, 0.1), (0.0, 0.0)),
        SeriesStep(("join",), (0.0, 0.05), (0.0, 0.0)),
    ),
    (SeriesStep(("kill_promoter", "freeze_promoter"), (0.0, 0.3), (0.01, 1.0)),),
    (
        SeriesStep(("crash_some_instance", "pause_some_instance"), (0.0, 0.3), (0.05, 0.6)),
        SeriesStep(("return_instances",), (0.2, 1.0), (0.0, 0.0)),
    ),
    (SeriesStep(("crash_primary", "release_primary"), (0.5, 1.0), (0.3, 1.5)),),
    (
        SeriesStep(("end_deafness",), (0.0, 0.5), (0.0, 0.0)),
        SeriesStep(("crash_primary",), (1.0, 1.5), (1.0, 2.0)),
    ),
)
_DISTURBED_PROMOTIONS = 12
_SHARE_OF_DISTURBED_PROMOTIONS = 0.6
_EXTRA_FAULTS = {
    "change_configuration": (0.0, 0.0),
    "stop_proxy": (0.3, 2.5),
    "kill_proxy": (0.1, 1.5),
    "freeze_proxy": (0.3, 2.0),
    "reload_settings": (0.0, 0.0),
    "refuse_at_store": (0.1, 0.8),
    "lose_answers_of_store": (0.1, 0.8),
    "silence_store": (0.1, 0.6),
    "forget_history": (0.0, 0.0),
    "return_store": (0.3, 3.0),
}


def draw_promotions(seed: int, seconds: float) -> list[PlannedFault]:
    """The faults of a run that changes primaries repeatedly, drawn from a seed."""
    rng = random.Random(seed)
    schedule: list[PlannedFault] = []
    at = _FIRST_SECONDS
    while at < seconds - _QUIET_END_SECONDS:
        series = rng.choice(_RACES) if rng.random() < _SHARE_OF_RACES else _GENERAL
        schedule += _draw_series(rng, series, at)
        for _ in range(rng.randint(0, _MAX_EXTRA_FAULTS)):
            name = rng.choice(sorted(_EXTRA_FAULTS))
            part = rng.randrange(PARTS)
            begin = max(0.0, at + rng.uniform(-0.5, 1.0))
            schedule.append(PlannedFault(begin, name, rng.uniform(*_EXTRA_FAULTS[name]), part))
        at += rng.uniform(*_GAP_SECONDS)
    return [*sorted(schedule, key=lambda item: item.at), *_during_promotions(seed)]


def _during_promotions(seed: int) -> list[PlannedFault]:
    """Faults that begin with the call of a promotion, for some of the first promotions."""
    rng = random.Random(f"{seed}/promotions")
    schedule = []
    for number in range(1, _DISTURBED_PROMOTIONS + 1):
        if rng.random() < _SHARE_OF_DISTURBED_PROMOTIONS:
            for step in rng.choice(_DURING_PROMOTION):
                part = PART_STEP * rng.randrange(PARTS // PART_STEP)
                name = rng.choice(step.names)
                at, duration = rng.uniform(*step.delay), rng.uniform(*step.duration)
                schedule.append(PlannedFault(at, name, duration, part, number))
    return schedule


def _draw_series(
    rng: random.Random, series: tuple[SeriesStep, ...], at: float
) -> list[PlannedFault]:
    """Draw the faults of one series; all of them hit the same group."""
    group = rng.randrange(PART_STEP)
    faults = []
    for step in series:
        if rng.random() >= step.share:
            continue
        name = rng.choice(step.names)
        part = group + PART_STEP * rng.randrange(PARTS // PART_STEP)
        begin = max(0.0, at + rng.uniform(*step.delay))
        faults.append(PlannedFault(begin, name, rng.uniform(*step.duration), part))
    return faults
