"""What becomes of fences and of the old primary in a change of primary. No I/O, no clock.

What for: a fence keeps a replica from receiving of an old primary. It must be there before logs are
counted, and must go when the change is over or given up, but never so that the replica could
confirm commits of a primary that was replaced. These generators yield the steps of `failover` that
set and lift fences and demote primaries.

Owns: nothing. Relies on: an instance that moves to a newer term drops an older fence by itself, and
a restart drops any.
"""

from __future__ import annotations

from collections.abc import Generator, Mapping

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.failover_primary import fenced_ones, leader_of
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

# Seconds between two polls of instances that are expected to change at once. Some round
# trips long.
POLL_SECONDS = 0.02
# Polls for a replica that has all of a demoted primary's log. What the primary had sent
# arrives within a round trip or two.
_ARRIVAL_POLLS = 3
# Polls for replicas that move to a new primary, 0.12 s and the calls. Who moves later drops
# its fence by itself.
_SETTLE_POLLS = 6

Answers = Generator[FailoverStep, FailoverStepResult, Statuses]


def ask(instances: tuple[str, ...]) -> Answers:
    """The statuses of those that answer."""
    statuses = yield AskAll(instances)
    assert isinstance(statuses, Mapping)
    return statuses


def others(
    plan: FailoverPlan, leader: InstanceStatus | None, left_out: str = ""
) -> tuple[str, ...]:
    """All members but these."""
    named = {left_out, leader.instance if leader is not None else ""}
    return tuple(name for name in plan.members if name not in named)


def fence_term_above(plan: FailoverPlan, statuses: Statuses) -> int:
    """A term above every one that can have begun: an instance takes no fence below that."""
    newest = max([plan.led_term, *(item.newest_term for item in statuses.values())])
    last = plan.last_promotion
    if last is not None and last.instance not in statuses:
        newest = max(newest, last.term)
    return newest + 1


def fence_others(plan: FailoverPlan, leader: InstanceStatus | None, term: int) -> Answers:
    """Fence all that may confirm; an old primary that was lost is asked too, it may be back."""
    statuses = yield FenceAll(others(plan, leader), term)
    assert isinstance(statuses, Mapping)
    return statuses


def demote_leader(
    plan: FailoverPlan, statuses: Statuses, term: int
) -> Generator[FailoverStep, FailoverStepResult, InstanceStatus | None]:
    """Demote the newest primary, if it answers; its status afterwards, None where there was none.

    Primaries of older terms that answer are demoted too: their logs measure nothing.
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


def let_log_arrive(plan: FailoverPlan, demoted: InstanceStatus) -> Answers:
    """Wait a little until some replica has all that the demoted primary had sent.

    Gains a successor that need not be fenced short of it; else the demoted one leads once more.
    """
    for _ in range(_ARRIVAL_POLLS):
        statuses = yield from ask(others(plan, demoted))
        if any(holds(item.received, demoted.received) for item in statuses.values()):
            break
        yield Wait(POLL_SECONDS)
    return statuses


def free_left_fences(plan: FailoverPlan, statuses: Statuses) -> FailoverFlow:
    """The primary is there after all: free what an interrupted change left fenced."""
    leader = leader_of(plan, statuses)
    fenced = fenced_ones(statuses)
    if leader is not None:
        fenced = tuple(
            name for name in fenced if _follows_no_older(plan, statuses[name], leader, statuses)
        )
    if fenced:
        yield UnfenceAll(fenced)
    return FailoverResult(FailoverOutcome.NOT_NEEDED)


def _follows_no_older(
    plan: FailoverPlan, replica: InstanceStatus, leader: InstanceStatus, statuses: Statuses
) -> bool:
    """Whether a replica that is freed can follow no primary older than the leader.

    One that has not moved to the leader's term might, unless all members answer, or the only
    primary between is known to lead no more, or has left. Without that a change that lost its lock
    would leave replicas that follow nobody, and no commit could be proven by them.
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
    """Demote a replaced primary that can be reached, and free the other replicas.

    A replica that is freed before it follows the new primary could confirm commits of the old one.
    So a fence stays until the old primary is known to lead no more, or the replica has moved, which
    ends the fence by itself.
    """
    for _ in range(_SETTLE_POLLS):
        statuses = yield from ask(others(plan, led))
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
    """Whether a replica is fenced and has not moved to a term."""
    return status.fence_term > 0 and status.term < term
