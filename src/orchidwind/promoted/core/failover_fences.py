"""Sets and lifts fences and demotes primaries in a change of primary. No I/O, no clock.

A fence keeps a replica from receiving log from an old primary. It must be set before logs are
counted. It must be lifted when the change is over or abandoned, but never while the replica could
still confirm commits of a primary that was replaced: `may_be_unfenced` decides that for all places
that lift fences. These generators yield the steps of `failover` that do this.

Owns: nothing. Relies on: an instance drops a fence when it moves to a newer term, and drops any
fence when it restarts; a promotion starts the next term.
"""

from __future__ import annotations

from collections.abc import Generator, Mapping

from msgspec.structs import replace

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.failover_primary import fenced_names, leader_of, replicas_among
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
    """Return a term above every one that can have begun; an instance accepts no lower fence.

    A fence alone starts no term, so fences that an interrupted change left are used again. With
    ever higher fences the new primary's term could stay below them, and no replica could follow it.
    """
    newest = max([plan.led_term, *(item.term for item in statuses.values())])
    last = plan.last_promotion
    if last is not None:
        answer = statuses.get(last.instance)
        if answer is None or answer.term >= last.term:
            newest = max(newest, last.term)
    return max([newest + 1, *(item.fence_term for item in statuses.values())])


def fence_others(plan: FailoverPlan, leader: InstanceStatus | None, term: int) -> Answers:
    """Fence all members but the leader; returns the statuses of those that answer.

    An old primary that was lost is called too, as it may be back.
    """
    statuses = yield FenceAll(other_members(plan, leader), term)
    assert isinstance(statuses, Mapping)
    return statuses


def demote_primaries(
    plan: FailoverPlan, statuses: Statuses, term: int
) -> Generator[FailoverStep, FailoverStepResult, tuple[FailoverPlan, InstanceStatus | None]]:
    """Demote all primaries of terms below `term`.

    Returns the plan with the terms that have ended, and the leader's status afterwards, None if it
    was not demoted. The logs of the others, which have been replaced, are no reference.
    """
    leader = leader_of(plan, statuses)
    demoted: InstanceStatus | None = None
    for item in statuses.values():
        if item.role is not InstanceRole.PRIMARY or item.term >= term:
            continue
        answers = yield Demote(item.instance, term)
        assert isinstance(answers, Mapping)
        status = answers.get(item.instance)
        if status is None or status.role is InstanceRole.PRIMARY:
            continue
        plan = replace(plan, ended_terms=plan.ended_terms | {item.term})
        if item == leader:
            demoted = status
    return plan, demoted


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


def may_be_unfenced(
    plan: FailoverPlan, leader: InstanceStatus | None, statuses: Statuses
) -> tuple[str, ...]:
    """Return the fenced replicas that can follow no replaced primary once they are unfenced.

    `leader` is the primary that stays, None if none answers. A fence up to the leader's term does
    not keep a replica from following it, and is dropped as soon as the replica does: it stays. A
    replica follows no term below its own, and each term has one primary. So what matters is that
    the primaries of the terms in between have answered that they lead no longer. An instance that
    does not answer may lead one of them, whether it is listed or not.
    """
    fenced = [statuses[name] for name in fenced_names(statuses)]
    if leader is None:
        last = plan.last_promotion
        return tuple(item.instance for item in fenced if last is None or item.term >= last.term)
    above = [item for item in fenced if item.fence_term > leader.term]
    if _only_primary(plan, leader, statuses):
        return tuple(item.instance for item in above)
    ended = plan.ended_terms
    return tuple(item.instance for item in above if ended.issuperset(range(item.term, leader.term)))


def fenced_out(plan: FailoverPlan, leader: InstanceStatus, statuses: Statuses) -> tuple[str, ...]:
    """Return the replicas that cannot follow the leader for a fence that may not be lifted."""
    liftable = may_be_unfenced(plan, leader, statuses)
    return tuple(
        name
        for name in fenced_names(statuses)
        if statuses[name].fence_term > leader.term and name not in liftable
    )


def as_if_fenced(statuses: Statuses, term: int) -> Statuses:
    """Return the statuses of the replicas as they would be with a fence."""
    return {
        item.instance: replace(item, fence_term=max(item.fence_term, term))
        for item in replicas_among(statuses.values())
    }


def _only_primary(plan: FailoverPlan, leader: InstanceStatus, statuses: Statuses) -> bool:
    """Whether all instances that may have confirmed commits answer, and no other one leads."""
    others = {*plan.members, *plan.absent} - {leader.instance}
    return all(name in statuses and statuses[name].role is InstanceRole.REPLICA for name in others)


def lift_leftover_fences(plan: FailoverPlan, statuses: Statuses) -> FailoverFlow:
    """Lift fences that an interrupted change left behind, as the primary need not be replaced."""
    yield from lift_fences(plan, leader_of(plan, statuses), statuses)
    return FailoverResult(FailoverOutcome.NOT_NEEDED)


def lift_fences(
    plan: FailoverPlan, leader: InstanceStatus | None, statuses: Statuses
) -> Generator[FailoverStep, FailoverStepResult, None]:
    """Lift the fences that may be lifted (`may_be_unfenced`)."""
    names = may_be_unfenced(plan, leader, statuses)
    if names:
        yield UnfenceAll(names)


def settle_promotion(plan: FailoverPlan, led: InstanceStatus) -> FailoverFlow:
    """Demote replaced primaries that can be reached, and lift fences above the new term.

    A replica drops its fence itself when it follows the new primary, unless the fence is above the
    new term because an earlier change was interrupted.
    """
    for _ in range(_SETTLE_POLLS):
        statuses = yield from query_statuses(other_members(plan, led))
        plan, _ = yield from demote_primaries(plan, statuses, led.term)
        if not any(_fenced_below(item, led.term) for item in statuses.values()):
            break
        yield from lift_fences(plan, led, statuses)
        yield Wait(POLL_SECONDS)
    return FailoverResult(FailoverOutcome.DONE, led.instance, led.term)


def _fenced_below(status: InstanceStatus, term: int) -> bool:
    """Whether a replica is fenced and has not yet moved to `term`."""
    return status.fence_term > 0 and status.term < term
