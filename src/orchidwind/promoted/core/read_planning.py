"""Where a read runs next. No I/O, no clock.

The rule. A read that needs the latest state runs on the primary, and its answer counts only with a
proof of the lead. Any other read takes the least proven floor that its bound allows, raised to what
its session has written, and runs at that floor on a replica that

- has not failed this very read, and answers;
- was not found a moment ago to lack the floor (unless there is no primary);
- did not refuse work or fail to answer a moment ago, while the primary could take the read.

Of these it takes the one that is expected to answer first, one in another zone only where that
gains more than the way there costs. The primary, which has work that nobody else can do, takes it
where all of them would answer much later. Without such a floor or replica it runs on the primary,
as a read of the latest state.

So reads leave an instance that is busy, slow or answers nothing, and load that one instance could
not bear is spread over all.

Owns: nothing. Relies on: `topology` for instances and primary, `proven_floors` for floors,
`shared/core/answer_times` for what an instance is expected to take.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from msgspec import Struct

from orchidwind.promoted.core.configuration import DatabaseRoute, ReadConsistency
from orchidwind.promoted.core.topology import GroupTopology, PrimaryView
from orchidwind.shared.core.positions import Position

# What the way to another zone costs, in seconds of waiting that it must save.
_OTHER_ZONE_SECONDS = 0.004
# The primary takes a read that a replica could serve where it is expected to answer so many times
# as soon: a read there delays writes, which no other instance takes.
_PRIMARY_SOONER = 3.0
# And where it gains at least so many seconds: less may be the noise of a few answers.
_PRIMARY_SAVES_SECONDS = 0.05

# In how many seconds an instance is expected to answer.
ExpectedAnswer = Callable[[str], float]


def _alike(instance: str) -> float:
    """Where nothing is known of answers, all instances are alike."""
    return 0.0


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


def plan_read(
    topology: GroupTopology,
    request: ReadRequest,
    now: float,
    expected_answer: ExpectedAnswer = _alike,
) -> ReadPlan | None:
    """Where a read runs next, None while no instance may serve it."""
    primary = topology.primary(now)
    floor = _floor(topology, request)
    if floor is not None:
        replica = _replica_for_read(topology, request, primary, floor, now, expected_answer)
        if replica is not None:
            if primary is not None and _primary_relieves(
                topology, primary, replica, request, now, expected_answer
            ):
                return ReadPlan(primary.instance, floor)
            return ReadPlan(replica, floor)
    if primary is None:
        return None
    return ReadPlan(primary.instance, None, primary.term)


def _primary_relieves(
    topology: GroupTopology,
    primary: PrimaryView,
    replica: str,
    request: ReadRequest,
    now: float,
    expected_answer: ExpectedAnswer,
) -> bool:
    view = topology.instances[primary.instance]
    if primary.instance in request.excluded or not view.reachable or view.busy_recently(now):
        return False
    at_primary, at_replica = expected_answer(primary.instance), expected_answer(replica)
    saves = at_replica - at_primary >= _PRIMARY_SAVES_SECONDS
    return saves and at_primary * _PRIMARY_SOONER < at_replica


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
    expected_answer: ExpectedAnswer,
) -> str | None:
    able = _able_replicas(topology, request, primary, floor, now)
    if not able:
        return None

    def cost(name: str) -> tuple[bool, float]:
        view = topology.instances[name]
        way = 0.0 if topology.is_near(name) else _OTHER_ZONE_SECONDS
        return view.avoid_until > now, expected_answer(name) + way

    return min(able, key=cost)


def _able_replicas(
    topology: GroupTopology,
    request: ReadRequest,
    primary: PrimaryView | None,
    floor: Position,
    now: float,
) -> list[str]:
    primary_has_room = primary is not None and not topology.instances[
        primary.instance
    ].busy_recently(now)
    able = []
    for name in topology.replicas(now):
        view = topology.instances[name]
        if name in request.excluded or not view.reachable:
            continue
        if view.lacks(floor, now) and primary is not None:
            continue
        if view.avoid_until > now and primary_has_room:
            continue
        able.append(name)
    return able
