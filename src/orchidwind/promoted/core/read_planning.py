"""Chooses the instance that runs a read. No I/O, no clock.

A read that needs the latest state runs on the primary, and its answer counts only with a proof of
leadership. Any other read takes the lowest proven floor that its staleness bound allows, raised to
the position that its session has written, and runs at that floor on a replica that

- is reachable and has not already failed this read;
- did not recently turn out to lack the floor (ignored while there is no primary);
- did not recently refuse work or fail to answer (ignored while the primary is busy or unknown).

Of these replicas it chooses the one with the shortest expected answer time, and one in another zone
only if that saves more than the additional network latency. A replica in another region runs it
only if none of this region may, or if those of this region would answer too late for the target of
the read (`region_spill`). If the replica with the shortest answer time would answer much later than
the primary, the primary runs the read, although it is the only instance that can take writes; a
primary in another region does so only if no replica of this region is chosen. Other costs of a
replica, such as that of an opening (`opening_cost`), count only in the choice among the replicas of
one side. Without a floor or an eligible replica, the read runs on the primary as a read of the
latest state.

Reads thus move away from an instance that is busy, slow or unreachable, and a load that is too high
for one instance spreads over all of them.

The instances and the primary come from `topology`, floors from `proven_floors`, expected answer
times from `shared/core/answer_times`, and round trips from `distances`.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from msgspec import Struct

from orchidwind.promoted.core.configuration import DatabaseRoute, ReadConsistency
from orchidwind.promoted.core.region_spill import SideAnswers
from orchidwind.promoted.core.topology import GroupTopology, PrimaryView
from orchidwind.shared.core.positions import Position

# A replica of this region keeps a read while it is expected to answer within this share of the time
# that is left until the target, on top of the round trip to the other region. The rest is for
# answers that take longer than expected.
_TARGET_RESERVE = 0.25
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
    `grounds` is for the log: with several regions, what each side was expected to take.
    """

    instance: str
    floor: Position | None
    proof_of_term: int = 0
    grounds: str = ""


class _ReplicaChoice(Struct, frozen=True):
    """A replica that may run a read, and the grounds of the choice for the log."""

    instance: str
    grounds: str = ""


def plan_read(
    topology: GroupTopology,
    request: ReadRequest,
    now: float,
    expected_answer: ExpectedAnswerTime = _equal_answer_time,
    expected_work: ExpectedAnswerTime | None = None,
    replica_cost: ExpectedAnswerTime | None = None,
) -> ReadPlan | None:
    """Returns the next attempt of a read, or None if no instance may serve it now.

    `expected_work` is the expected answer time without the round trip that it contains
    (`GroupTopology.way_in_answers`); the comparison of replicas adds that round trip once. Without
    it, `expected_answer` takes its place. `replica_cost` replaces it in the final choice among the
    replicas in the region that runs the read. It has no part in the decisions whether the primary
    runs the read and whether it crosses to another region.
    """
    work = expected_work or expected_answer
    primary = topology.primary(now)
    floor = _required_floor(topology, request)
    eligible = (
        _eligible_replicas(topology, request, primary, floor, now) if floor is not None else []
    )
    if eligible:
        replica = _fastest_replica(topology, request, now, eligible, work)
        if primary is not None and _primary_is_much_faster(
            topology, primary, replica.instance, request, now, expected_answer
        ):
            return ReadPlan(primary.instance, floor)
        if replica_cost is not None:
            replica = _cheapest_beside(topology, now, eligible, replica, replica_cost)
        return ReadPlan(replica.instance, floor, grounds=replica.grounds)
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
    if topology.crosses_region(primary.instance) and not topology.crosses_region(replica):
        return False
    at_primary = expected_answer(primary.instance)
    at_replica = expected_answer(replica)
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
    now: float,
    eligible: list[str],
    expected_work: ExpectedAnswerTime,
) -> _ReplicaChoice:
    """Returns the eligible replica with the lowest expected cost."""

    def cost(name: str) -> tuple[bool, float]:
        return _cost(topology, name, now, expected_work)

    if not topology.distances.several_regions:
        return _ReplicaChoice(min(eligible, key=cost))
    return _on_the_better_side(topology, request, now, eligible, cost)


def _cost(
    topology: GroupTopology, name: str, now: float, expected: ExpectedAnswerTime
) -> tuple[bool, float]:
    """Returns whether a replica is to be avoided, and its expected time with the round trip."""
    avoided = topology.instances[name].avoid_until > now
    return avoided, expected(name) + topology.round_trip(name, now)


def _cheapest_beside(
    topology: GroupTopology,
    now: float,
    eligible: list[str],
    chosen: _ReplicaChoice,
    replica_cost: ExpectedAnswerTime,
) -> _ReplicaChoice:
    """Returns the replica of lowest cost among those that cross regions as the chosen one does."""
    crosses = topology.crosses_region(chosen.instance)

    def cost(name: str) -> tuple[bool, float]:
        return _cost(topology, name, now, replica_cost)

    beside = [name for name in eligible if topology.crosses_region(name) == crosses]
    return _ReplicaChoice(min(beside, key=cost), chosen.grounds)


def _on_the_better_side(
    topology: GroupTopology,
    request: ReadRequest,
    now: float,
    eligible: list[str],
    cost: Callable[[str], tuple[bool, float]],
) -> _ReplicaChoice:
    """Returns the replica of lowest cost in this region, or in another one if the read crosses."""
    far = [name for name in eligible if topology.crosses_region(name)]
    near = [name for name in eligible if name not in far]
    if not near or not far:
        return _ReplicaChoice(min(eligible, key=cost), "" if near else ":none_here")
    best_near, best_far = min(near, key=cost), min(far, key=cost)
    (near_avoided, near_answer), (far_avoided, far_answer) = cost(best_near), cost(best_far)
    grounds = f":here={near_answer:.3f}:there={far_answer:.3f}"
    if near_avoided != far_avoided:
        return _ReplicaChoice(best_near if far_avoided else best_far, f"{grounds}:one_avoided")
    target_left = max(request.arrived_at + request.database.target_latency - now, 0.0)
    longest = topology.round_trip(best_far, now) + _TARGET_RESERVE * target_left
    crosses = topology.region_spill.crosses(SideAnswers(near_answer, far_answer, longest), now)
    # A replica that may not answer at all, as it hangs, is left at once.
    time_left = request.arrived_at + request.database.statement_timeout - now
    crosses = crosses or (near_answer > time_left and far_answer < time_left)
    return _ReplicaChoice(best_far if crosses else best_near, f"{grounds}:crosses={crosses}")


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
