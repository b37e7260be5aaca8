"""Chooses where a read runs: which replica, after what wait, or the primary.

Owns the rule and its costs; relies on the reports in `group_view.py`. `view_waits.py` asks it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from orchidwind.elected.core.group_view import GroupView
from orchidwind.shared.core.positions import Position


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Bounds and costs of the choice, in seconds of expected wait."""

    # The default of `replica_wait_ms`; a read that would wait longer runs elsewhere.
    longest_replica_wait: float = 0.1
    # What a pool with one request for each connection counts for.
    load_cost: float = 0.005
    # What it counts to leave the instance of the session's last read, since that takes a
    # status round first. Without it every third read of an indexed load took such a round.
    switch_cost: float = 0.01


@dataclass(frozen=True, slots=True)
class Route:
    """Run on `instance`; where `must_wait` is set, only once its replay is seen to cover the floor.

    An expected wait of zero does not say that the floor is covered: it is an estimate.
    """

    instance: str
    is_replica: bool
    must_wait: bool = False
    term: int = 0


def choose_read_route(
    view: GroupView,
    floor: Position,
    now: float,
    load: Mapping[str, float],
    settings: RoutingSettings,
    preferred: str = "",
) -> Route | None:
    """The replica expected to serve first, within the bound, else the primary, else None.

    `load` is the requests at each instance's pool, running or queued, divided by its connections;
    an instance without an entry is not open to this home.
    """
    best: Route | None = None
    best_cost = 0.0
    for report in view.replicas(now):
        if report.instance not in load:
            continue
        wait = view.expected_wait(report, floor, now)
        if wait > settings.longest_replica_wait:
            continue
        cost = wait + load[report.instance] * settings.load_cost
        if report.instance != preferred:
            cost += settings.switch_cost
        if best is None or cost < best_cost:
            must_wait = not report.replayed_covers(floor)
            best = Route(report.instance, True, must_wait, report.term)
            best_cost = cost
    if best is not None:
        return best
    primary = view.primary()
    if primary is None or primary.term < floor.term:
        return None
    return Route(primary.instance, False, term=primary.term)
