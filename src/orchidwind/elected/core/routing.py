"""Chooses the instance for a read: a replica, with or without a wait for replay, or the primary.

Owns the rule and its costs. Relies on the reports in `group_view.py`; used by `view_waits.py`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from orchidwind.elected.core.group_view import GroupView
from orchidwind.shared.core.positions import Position


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Bounds and costs for choosing a route, in seconds of expected wait."""

    # The default of `replica_wait_ms`; a read that would wait longer runs on another instance.
    max_replica_wait: float = 0.1
    # Cost of a pool whose load is one request per connection.
    load_cost: float = 0.005
    # Cost of leaving the instance of the session's last read, which needs a status round first.
    # Without this cost, every third read of an indexed load took such a round.
    switch_cost: float = 0.01


@dataclass(frozen=True, slots=True)
class Route:
    """The instance on which to run a read.

    If `must_wait` is set, the read may start only after a report shows that the instance's replay
    covers the floor: an expected wait of zero is only an estimate.
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
    """The replica with the lowest cost within the wait bound, else the primary, else None.

    `load` is the number of running and queued requests of each instance's pool, divided by its
    connections; this home proxy may not use an instance without an entry. `preferred` is the
    instance of the session's last read.
    """
    best: Route | None = None
    best_cost = 0.0
    for report in view.replicas(now):
        if report.instance not in load:
            continue
        wait = view.expected_wait(report, floor, now)
        if wait > settings.max_replica_wait:
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
