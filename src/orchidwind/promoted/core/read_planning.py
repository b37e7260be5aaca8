"""Chooses the instance that runs a read. No I/O, no clock.

A read that needs the latest state runs on the primary, and its answer counts only with a proof of
leadership. Any other read takes the lowest proven floor that its staleness bound allows, raised to
the position that its session has written, and runs at that floor on a replica that

- is reachable and has not already failed this read;
- did not recently turn out to lack the floor (ignored while there is no primary);
- did not recently refuse work or fail to answer (ignored while the primary is busy or unknown).

Of these replicas it chooses the one with the shortest expected answer time, and one in another zone
only if that saves more than the additional network latency. Other costs of a replica, such as that
of an opening (`opening_cost`), may be added to this choice. If the replica with the shortest answer
time would answer much later than the primary, the primary runs the read, although it is the only
instance that can take writes. Without a floor or an eligible replica, the read runs on the primary
as a read of the latest state.

Reads thus move away from an instance that is busy, slow or unreachable, and a load that is too high
for one instance spreads over all of them.

The instances and the primary come from `topology`, floors from `proven_floors`, and expected answer
times from `shared/core/answer_times`.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from msgspec import Struct

from orchidwind.promoted.core.configuration import DatabaseRoute, ReadConsistency
from orchidwind.promoted.core.topology import GroupTopology, PrimaryView
from orchidwind.shared.core.positions import Position

# Seconds that an instance in another zone must save to be preferred: the latency between zones.
_CROSS_ZONE_SECONDS = 0.004
# The primary runs a read that a replica could serve only if it is expected to answer this many
# times faster: a read on the primary delays writes, which no other instance can run.
_PRIMARY_SPEEDUP = 3.0
# The primary must also save at least this many seconds: a smaller difference may be noise in a few
# answer times.
_PRIMARY_MINIMUM_SAVING_SECONDS = 0.05

# Returns the expected answer time of an instance, in seconds.
ExpectedAnswerTime = Callable[[str], float]


def _equal_answer_time(instance: str) -> float:
    """The default without measured answer times: all instances count as equally fast."""
    return 0.0


class ReadRequest(Struct, frozen=True):
    """The requirements of one read.

    `session_floor` is the log position up to which its session has written, None if it has not
    written. `arrived_at` is in seconds of the monotonic clock. `excluded` names the replicas that
    have already failed this read.
    """

    database: DatabaseRoute
    session_floor: Position | None
    arrived_at: float
    excluded: Collection[str] = ()


class ReadPlan(Struct, frozen=True):
    """The instance that runs a read, and the floor that its log must have reached, if any.

    If `proof_of_term` is not 0, the answer needs a proof that the instance was still the primary of
    that term when the read arrived. It is 0 if the floor alone makes the read fresh enough.
    """

    instance: str
    floor: Position | None
    proof_of_term: int = 0


def plan_read(
    topology: GroupTopology,
    request: ReadRequest,
    now: float,
    expected_answer: ExpectedAnswerTime = _equal_answer_time,
    replica_cost: ExpectedAnswerTime | None = None,
) -> ReadPlan | None:
    """Returns the next attempt of a read, or None if no instance may serve it now.

    `replica_cost` replaces `expected_answer` in the choice among replicas. It has no part in the
    decision whether the primary runs the read.
    """
    primary = topology.primary(now)
    floor = _required_floor(topology, request)
    if floor is not None:
        replica = _fastest_replica(topology, request, primary, floor, now, expected_answer)
        if replica is not None:
            if primary is not None and _primary_is_much_faster(
                topology, primary, replica, request, now, expected_answer
            ):
                return ReadPlan(primary.instance, floor)
            if replica_cost is not None:
                cheapest = _fastest_replica(topology, request, primary, floor, now, replica_cost)
                replica = cheapest or replica
            return ReadPlan(replica, floor)
    if primary is None:
        return None
    return ReadPlan(primary.instance, None, primary.term)


def _primary_is_much_faster(
    topology: GroupTopology,
    primary: PrimaryView,
    replica: str,
    request: ReadRequest,
    now: float,
    expected_answer: ExpectedAnswerTime,
) -> bool:
    """Whether the primary accepts work and would answer much sooner than the replica."""
    view = topology.instances[primary.instance]
    if primary.instance in request.excluded or not view.reachable or view.busy_recently(now):
        return False
    at_primary, at_replica = expected_answer(primary.instance), expected_answer(replica)
    saves = at_replica - at_primary >= _PRIMARY_MINIMUM_SAVING_SECONDS
    return saves and at_primary * _PRIMARY_SPEEDUP < at_replica


def _required_floor(topology: GroupTopology, request: ReadRequest) -> Position | None:
    """Returns the floor for a replica, or None if only the primary may serve the read."""
    database = request.database
    if database.consistency is ReadConsistency.LATEST:
        return None
    floor = topology.floors.floor_since(request.arrived_at - database.staleness)
    written = request.session_floor
    if floor is None or written is None or database.consistency is not ReadConsistency.SESSION:
        return floor
    return max(floor, written)


def _fastest_replica(
    topology: GroupTopology,
    request: ReadRequest,
    primary: PrimaryView | None,
    floor: Position,
    now: float,
    expected_answer: ExpectedAnswerTime,
) -> str | None:
    """Returns the replica with the lowest expected cost, or None if none is eligible."""
    eligible = _eligible_replicas(topology, request, primary, floor, now)
    if not eligible:
        return None

    def cost(name: str) -> tuple[bool, float]:
        view = topology.instances[name]
        zone_penalty = 0.0 if topology.is_near(name) else _CROSS_ZONE_SECONDS
        return view.avoid_until > now, expected_answer(name) + zone_penalty

    return min(eligible, key=cost)


def _eligible_replicas(
    topology: GroupTopology,
    request: ReadRequest,
    primary: PrimaryView | None,
    floor: Position,
    now: float,
) -> list[str]:
    """Returns the replicas that may serve a read at `floor`, by the rules of this module."""
    primary_takes_work = primary is not None and not topology.instances[
        primary.instance
    ].busy_recently(now)
    eligible = []
    for name in topology.replicas(now):
        view = topology.instances[name]
        if name in request.excluded or not view.reachable:
            continue
        if view.lacks(floor, now) and primary is not None:
            continue
        if view.avoid_until > now and primary_takes_work:
            continue
        eligible.append(name)
    return eligible
