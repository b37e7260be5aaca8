"""Schedules aimed at changes of primary: each with something before it, beside it and after it."""

from __future__ import annotations

import random

from orchidwind_bench.platform.soak.faults import PART_STEP, PARTS, PlannedFault

# Seconds from one change of primary to the next, over all groups.
_GAP_SECONDS = (1.0, 2.2)
_FIRST_SECONDS = 1.0
_CALM_AT_END_SECONDS = 4.0
_LONGEST_BEFORE_SECONDS = 0.8
_LONGEST_AFTER_SECONDS = 1.3
_MOST_BESIDE = 2

# Each with the shortest and the longest time until it is undone, in seconds.
_CHANGES = {
    "crash_primary": (0.3, 3.0),
    "release_primary": (0.0, 0.0),
    "pause_primary": (0.8, 2.5),
    "cut_primary_from_replicas": (1.0, 2.5),
}
_BEFORE = {
    "deafen_replica": (0.5, 2.5),
    "cut_replication": (0.5, 2.5),
    "crash_replica": (0.3, 1.5),
    "release_replica": (0.0, 0.0),
    "release_primary": (0.0, 0.0),
    "cut_instance_from_store": (0.5, 4.0),
    "lapse_directory": (0.5, 2.0),
}
_AFTER = {
    "crash_replica": (0.05, 0.4),
    "crash_some_instance": (0.05, 0.6),
    "deafen_replica": (0.2, 1.5),
    "pause_some_instance": (0.1, 0.8),
    "release_replica": (0.0, 0.0),
    "kill_proxy": (0.1, 0.8),
    "freeze_proxy": (0.3, 2.0),
    "stop_proxy": (0.3, 2.0),
}
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
}


def draw_promotions(seed: int, seconds: float) -> list[PlannedFault]:
    """The faults of a run that changes primaries again and again."""
    drawn = random.Random(seed)
    schedule: list[PlannedFault] = []

    def add(kinds: dict[str, tuple[float, float]], at: float, group: int) -> None:
        name = drawn.choice(sorted(kinds))
        part = group + PART_STEP * drawn.randrange(PARTS // PART_STEP)
        schedule.append(PlannedFault(max(0.0, at), name, drawn.uniform(*kinds[name]), part))

    at = _FIRST_SECONDS
    while at < seconds - _CALM_AT_END_SECONDS:
        group = drawn.randrange(PART_STEP)
        for _ in range(drawn.randint(0, 2)):
            add(_BEFORE, at - drawn.uniform(0.0, _LONGEST_BEFORE_SECONDS), group)
        add(_CHANGES, at, group)
        for _ in range(drawn.randint(0, 2)):
            add(_AFTER, at + drawn.uniform(0.0, _LONGEST_AFTER_SECONDS), group)
        for _ in range(drawn.randint(0, _MOST_BESIDE)):
            add(_BESIDE, at + drawn.uniform(-0.5, 1.0), drawn.randrange(PART_STEP))
        at += drawn.uniform(*_GAP_SECONDS)
    return sorted(schedule, key=lambda item: item.at)
