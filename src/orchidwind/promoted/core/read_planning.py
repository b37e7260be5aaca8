"""Where a read runs next. No I/O, no clock.

The rule. A read that needs the latest state runs on the primary, and its answer counts only with a
proof of the lead. Any other read takes the least proven floor that its bound allows, raised to what
its session has written, and runs at that floor on the first replica, in the order of
`GroupTopology.replicas`, that

- has not failed this very read, and answers;
- was not found a moment ago to lack the floor (unless there is no primary);
- did not refuse work or fail to answer a moment ago, while the primary could take the read.

Without such a floor or replica it runs on the primary, as a read of the latest state.

Owns: nothing. Relies on: `topology` for instances and primary, `proven_floors` for floors.
"""

from __future__ import annotations

from collections.abc import Collection

from msgspec import Struct

from orchidwind.promoted.core.configuration import DatabaseRoute, ReadConsistency
from orchidwind.promoted.core.topology import GroupTopology, PrimaryView
from orchidwind.shared.core.positions import Position


class ReadRequest(Struct, frozen=True):
    """What a read asks for.

    `session_floor`: up to where its session has written, None where it has not. `arrived_at`: in
    seconds of the steady clock. `excluded`: replicas that have failed this read.
    """

    database: DatabaseRoute
    session_floor: Position | None
    arrived_at: float
    excluded: Collection[str] = ()


class ReadPlan(Struct, frozen=True):
    """Run a read on `instance`, at `floor` where given.

    `proof_of_term` asks for the proof that this is still the primary in that term, as of the
    read's arrival; it is 0 where the floor alone makes the read fresh enough.
    """

    instance: str
    floor: Position | None
    proof_of_term: int = 0


def plan_read(topology: GroupTopology, request: ReadRequest, now: float) -> ReadPlan | None:
    """Where a read runs next, None while no instance may serve it."""
    primary = topology.primary(now)
    floor = _floor(topology, request)
    if floor is not None:
        replica = _replica_for_read(topology, request, primary, floor, now)
        if replica is not None:
            return ReadPlan(replica, floor)
    if primary is None:
        return None
    return ReadPlan(primary.instance, None, primary.term)


def _floor(topology: GroupTopology, request: ReadRequest) -> Position | None:
    """What a replica must hold to serve a read, None where only the primary may serve it."""
    database = request.database
    if database.consistency is ReadConsistency.LATEST:
        return None
    floor = topology.floors.floor_since(request.arrived_at - database.staleness)
    written = request.session_floor
    if floor is None or written is None or database.consistency is not ReadConsistency.SESSION:
        return floor
    return max(floor, written)


def _replica_for_read(
    topology: GroupTopology,
    request: ReadRequest,
    primary: PrimaryView | None,
    floor: Position,
    now: float,
) -> str | None:
    primary_has_room = primary is not None and not topology.instances[
        primary.instance
    ].busy_recently(now)
    for name in topology.replicas(now):
        view = topology.instances[name]
        if name in request.excluded or not view.reachable:
            continue
        if view.lacks(floor, now) and primary is not None:
            continue
        if view.avoid_until > now and primary_has_room:
            continue
        return name
    return None
