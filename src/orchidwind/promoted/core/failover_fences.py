"""Sets and lifts fences and demotes primaries in a change of primary. No I/O, no clock.

A fence keeps a replica from receiving log from an old primary. It must be set before logs are
counted. It must be lifted when the change is over or abandoned, but never while the replica could
still confirm commits of a primary that was replaced. These generators yield the steps of `failover`
that do this.

Owns: nothing. Relies on: an instance drops a fence when it moves to a newer term, and drops any
fence when it restarts.
"""

from __future__ import annotations

from collections.abc import Generator, Mapping

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.failover_primary import fenced_names, leader_of
from orchidwind.promoted.core.failover_steps import (
    AskAll,
    Demote,
    FailoverFlow,
    FailoverOutcome,
    FailoverPlan,
    FailoverResult,
    FailoverStep,
    FailoverStepResult,
    FenceAll,
    Statuses,
    UnfenceAll,
    Wait,
)
from orchidwind.promoted.core.log_positions import holds

# Seconds between two polls of instances whose state is expected to change at once; several round
# trips.
POLL_SECONDS = 0.02
# Polls for a replica that has all of a demoted primary's log. Log that the primary had sent arrives
# within a round trip or two.
_ARRIVAL_POLLS = 3
# Polls for replicas that move to a new primary: 0.12 s and the time of the calls. A replica that
# moves later drops its fence by itself.
_SETTLE_POLLS = 6

Answers = Generator[FailoverStep, FailoverStepResult, Statuses]


def query_statuses(instances: tuple[str, ...]) -> Answers:
    """Return the statuses of the instances that answer."""
    statuses = yield AskAll(instances)
    assert isinstance(statuses, Mapping)
    return statuses


def other_members(
    plan: FailoverPlan, leader: InstanceStatus | None, left_out: str = ""
) -> tuple[str, ...]:
    """Return all members except the leader and `left_out`."""
    named = {left_out, leader.instance if leader is not None else ""}
    return tuple(name for name in plan.members if name not in named)


def fence_term_above(plan: FailoverPlan, statuses: Statuses) -> int:
    """Return a term above every one that can have begun; an instance accepts no lower fence."""
    newest = max([plan.led_term, *(item.newest_term for item in statuses.values())])
    last = plan.last_promotion
    if last is not None and last.instance not in statuses:
        newest = max(newest, last.term)
    return newest + 1


def fence_others(plan: FailoverPlan, leader: InstanceStatus | None, term: int) -> Answers:
    """Fence all members but the leader; returns the statuses of those that answer.

    An old primary that was lost is called too, as it may be back.
    """
    statuses = yield FenceAll(other_members(plan, leader), term)
    assert isinstance(statuses, Mapping)
    return statuses


def demote_leader(
    plan: FailoverPlan, statuses: Statuses, term: int
) -> Generator[FailoverStep, FailoverStepResult, InstanceStatus | None]:
    """Demote the newest primary; returns its status afterwards, None if none was demoted.

    Primaries of older terms that answer are demoted too; their logs are no reference.
    """
    leader = leader_of(plan, statuses)
    newest = max((item.term for item in statuses.values()), default=0)
    demoted: InstanceStatus | None = None
    for item in statuses.values():
        replaced = item.role is InstanceRole.PRIMARY and item.term < newest
        if item != leader and not replaced:
            continue
        answers = yield Demote(item.instance, term)
        assert isinstance(answers, Mapping)
        status = answers.get(item.instance)
        stepped_down = status is not None and status.role is InstanceRole.REPLICA
        if item == leader and stepped_down:
            demoted = status
    return demoted


def await_log_catch_up(plan: FailoverPlan, demoted: InstanceStatus) -> Answers:
    """Wait briefly until a replica has everything that the demoted primary had sent.

    If the replicas were fenced earlier, none of them might have the whole log, and the demoted
    primary would have to lead again.
    """
    for _ in range(_ARRIVAL_POLLS):
        statuses = yield from query_statuses(other_members(plan, demoted))
        if any(holds(item.received, demoted.received) for item in statuses.values()):
            break
        yield Wait(POLL_SECONDS)
    return statuses


def lift_leftover_fences(plan: FailoverPlan, statuses: Statuses) -> FailoverFlow:
    """Lift fences that an interrupted change left behind, as the primary need not be replaced."""
    leader = leader_of(plan, statuses)
    fenced = fenced_names(statuses)
    if leader is not None:
        fenced = tuple(
            name for name in fenced if _cannot_follow_older(plan, statuses[name], leader, statuses)
        )
    if fenced:
        yield UnfenceAll(fenced)
    return FailoverResult(FailoverOutcome.NOT_NEEDED)


def _cannot_follow_older(
    plan: FailoverPlan, replica: InstanceStatus, leader: InstanceStatus, statuses: Statuses
) -> bool:
    """Whether a replica, once unfenced, cannot follow a primary older than the leader.

    A replica that has not moved to the leader's term could, unless all members answer, or the only
    primary in between is known to lead no longer or has left. Without these exceptions a change
    that lost its lock would leave replicas that follow no primary, and no commit could be proven by
    them.
    """
    last = plan.last_promotion
    leading = [item for item in statuses.values() if item.role is InstanceRole.PRIMARY]
    if replica.term >= leader.term or (leading == [leader] and set(plan.members) <= set(statuses)):
        return True
    if last is None or (last.term > leader.term and last.instance != leader.instance):
        return False
    if replica.term < min(last.term, leader.term) - 1:
        return False
    if last.replaced == leader.instance:
        return True
    replaced = statuses.get(last.replaced)
    if replaced is None:
        return last.replaced not in plan.members or last.replaced in plan.unlisted
    return replaced.role is InstanceRole.REPLICA


def settle_promotion(plan: FailoverPlan, led: InstanceStatus) -> FailoverFlow:
    """Demote a replaced primary that can be reached, and unfence the other replicas.

    A replica that is unfenced before it follows the new primary could confirm commits of the old
    one. So a fence stays until the old primary is known to lead no longer, or until the replica has
    moved to the new term, which lifts the fence by itself.
    """
    for _ in range(_SETTLE_POLLS):
        statuses = yield from query_statuses(other_members(plan, led))
        replaced = [
            item
            for item in statuses.values()
            if item.role is InstanceRole.PRIMARY and item.term < led.term
        ]
        for item in replaced:
            yield Demote(item.instance, led.term)
        waiting = [item for item in statuses.values() if _fenced_below(item, led.term)]
        old = statuses.get(plan.old_primary)
        if not waiting:
            break
        if old is not None and old.role is InstanceRole.REPLICA:
            yield UnfenceAll(tuple(item.instance for item in waiting))
            break
        yield Wait(POLL_SECONDS)
    return FailoverResult(FailoverOutcome.DONE, led.instance, led.term)


def _fenced_below(status: InstanceStatus, term: int) -> bool:
    """Whether a replica is fenced and has not yet moved to `term`."""
    return status.fence_term > 0 and status.term < term
