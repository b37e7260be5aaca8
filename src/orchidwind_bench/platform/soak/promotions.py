"""Schedules aimed at changes of primary: series of faults that overlap one change.

A series is drawn from several kinds. `_RACES` are those in which something moves between the last
look at the instances and the effect of the promotion.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from orchidwind_bench.platform.soak.planned_fault import PART_STEP, PARTS, PlannedFault

# Seconds from one change of primary to the next, over all groups.
_GAP_SECONDS = (0.9, 1.8)
_FIRST_SECONDS = 1.0
_CALM_AT_END_SECONDS = 4.0
_MOST_BESIDE = 1
_SHARE_OF_RACES = 0.75
Span = tuple[float, float]


@dataclass(frozen=True, slots=True)
class Beat:
    """One of `names`, begun so long after the series and undone so much later, in seconds."""

    names: tuple[str, ...]
    after: Span
    lasting: Span
    share: float = 1.0


_CHANGES = (
    "crash_primary",
    "release_primary",
    "pause_primary",
    "cut_primary_from_replicas",
)
# The primary falls away for a moment: it is back when its replacement is on the way.
_BRIEF = ("pause_primary", "crash_primary")
_PROXY = ("kill_proxy", "freeze_proxy", "stop_proxy")

_GENERAL = (
    Beat(("deafen_replica", "cut_replication"), (-0.8, 0.0), (0.5, 2.0), 0.4),
    Beat(("crash_replica",), (-0.8, 0.0), (0.1, 0.8), 0.2),
    Beat(("cut_instance_from_store", "lapse_directory"), (-0.8, 0.0), (0.5, 4.0), 0.2),
    Beat(_CHANGES, (0.0, 0.0), (0.5, 2.0)),
    Beat(("crash_replica", "pause_some_instance", "crash_some_instance"), (0.2, 1.3), (0.05, 0.4)),
    Beat(("deafen_replica", "release_replica"), (0.0, 1.3), (0.2, 1.5), 0.3),
    Beat(_PROXY, (0.0, 1.3), (0.1, 1.0), 0.4),
)
_RACES = (
    # A fence is lost while the promotion is on the way, and the old primary is back.
    (
        Beat(_BRIEF, (0.0, 0.0), (0.8, 1.9)),
        Beat(("crash_replica",), (0.5, 1.7), (0.05, 0.1)),
        Beat(("crash_replica",), (0.5, 1.7), (0.05, 0.1), 0.5),
        Beat(("deafen_replica",), (-0.3, 0.5), (0.5, 2.0), 0.3),
    ),
    # Those that change the primary end or stand still in the middle, and others take over.
    (
        Beat(_BRIEF, (0.0, 0.0), (0.8, 2.2)),
        Beat(("kill_all_proxies", "kill_proxy", "kill_proxy"), (0.5, 1.7), (0.05, 0.2)),
        Beat(("freeze_proxy",), (0.4, 1.4), (0.3, 1.5), 0.5),
        Beat(("crash_replica",), (0.5, 2.0), (0.05, 0.1), 0.5),
    ),
    # One replica is down since before the change, one hears nothing, one joins.
    (
        Beat(("crash_replica",), (-1.0, -0.3), (4.0, 6.0)),
        Beat(("release_primary",), (0.0, 0.0), (0.0, 0.0)),
        Beat(("deafen_replica",), (2.0, 3.5), (2.0, 3.0)),
        Beat(("join",), (3.0, 5.5), (0.0, 0.0)),
    ),
    # The replaced primary follows, confirms alone, and ends; the next change comes at once.
    (
        Beat(("release_primary",), (0.0, 0.0), (0.0, 0.0)),
        Beat(("deafen_replica",), (0.6, 1.4), (0.8, 2.0)),
        Beat(("deafen_replica", "cut_replication"), (0.6, 1.4), (0.8, 2.0)),
        Beat(_CHANGES, (1.8, 3.5), (0.8, 2.0)),
    ),
    # The primary confirms nothing until an instance joins or hears again.
    (
        Beat(("cut_primary_from_replicas",), (0.0, 0.0), (0.7, 2.0)),
        Beat(("join",), (0.5, 2.0), (0.0, 0.0)),
        Beat(("crash_replica",), (0.5, 2.0), (0.05, 0.1), 0.5),
        Beat(("deafen_replica",), (0.3, 1.5), (0.5, 2.0), 0.5),
    ),
    # Changes in quick succession, with replicas that lag.
    (
        Beat(("release_primary", "crash_primary"), (0.0, 0.0), (0.3, 1.2)),
        Beat(("deafen_replica", "cut_replication"), (0.0, 1.0), (0.5, 1.5)),
        Beat(("crash_primary", "pause_primary", "release_primary"), (1.2, 2.2), (0.3, 1.5)),
        Beat(("cut_replication",), (1.2, 2.4), (0.5, 1.5), 0.5),
        Beat(("crash_primary", "pause_primary"), (2.6, 3.6), (0.3, 1.5)),
    ),
)
# Beats of these count from the call of a promotion, whose effect follows within half a second.
_DURING = (
    (
        Beat(("return_instances",), (0.0, 0.1), (0.0, 0.0)),
        Beat(("crash_replica",), (0.0, 0.1), (0.01, 0.02)),
    ),
    (
        Beat(("return_instances",), (0.0, 0.1), (0.0, 0.0)),
        Beat(("join",), (0.0, 0.05), (0.0, 0.0)),
    ),
    (Beat(("kill_promoter", "freeze_promoter"), (0.0, 0.3), (0.01, 1.0)),),
    (
        Beat(("crash_some_instance", "pause_some_instance"), (0.0, 0.3), (0.05, 0.6)),
        Beat(("return_instances",), (0.2, 1.0), (0.0, 0.0)),
    ),
    (Beat(("crash_primary", "release_primary"), (0.5, 1.0), (0.3, 1.5)),),
    (
        Beat(("end_deafness",), (0.0, 0.5), (0.0, 0.0)),
        Beat(("crash_primary",), (1.0, 1.5), (1.0, 2.0)),
    ),
)
_DISTURBED_PROMOTIONS = 12
_SHARE_OF_DISTURBED_PROMOTIONS = 0.6
_BESIDE = {
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
    """The faults of a run that changes primaries again and again."""
    drawn = random.Random(seed)
    schedule: list[PlannedFault] = []
    at = _FIRST_SECONDS
    while at < seconds - _CALM_AT_END_SECONDS:
        series = drawn.choice(_RACES) if drawn.random() < _SHARE_OF_RACES else _GENERAL
        schedule += _play(drawn, series, at)
        for _ in range(drawn.randint(0, _MOST_BESIDE)):
            name = drawn.choice(sorted(_BESIDE))
            part = drawn.randrange(PARTS)
            begin = max(0.0, at + drawn.uniform(-0.5, 1.0))
            schedule.append(PlannedFault(begin, name, drawn.uniform(*_BESIDE[name]), part))
        at += drawn.uniform(*_GAP_SECONDS)
    return [*sorted(schedule, key=lambda item: item.at), *_during_promotions(seed)]


def _during_promotions(seed: int) -> list[PlannedFault]:
    """What begins with the calls of promotions, of some of the first ones."""
    drawn = random.Random(f"{seed}/promotions")
    schedule = []
    for number in range(1, _DISTURBED_PROMOTIONS + 1):
        if drawn.random() < _SHARE_OF_DISTURBED_PROMOTIONS:
            for beat in drawn.choice(_DURING):
                part = PART_STEP * drawn.randrange(PARTS // PART_STEP)
                name = drawn.choice(beat.names)
                at, lasting = drawn.uniform(*beat.after), drawn.uniform(*beat.lasting)
                schedule.append(PlannedFault(at, name, lasting, part, number))
    return schedule


def _play(drawn: random.Random, series: tuple[Beat, ...], at: float) -> list[PlannedFault]:
    """One series, in one group."""
    group = drawn.randrange(PART_STEP)
    played = []
    for beat in series:
        if drawn.random() >= beat.share:
            continue
        name = drawn.choice(beat.names)
        part = group + PART_STEP * drawn.randrange(PARTS // PART_STEP)
        begin = max(0.0, at + drawn.uniform(*beat.after))
        played.append(PlannedFault(begin, name, drawn.uniform(*beat.lasting), part))
    return played
