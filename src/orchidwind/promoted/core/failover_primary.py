"""Which primary leads, as the answers of the instances show, and whether it must be replaced.

What for: a change of primary begins on what a proxy saw (`change_reasons`), which may be no more
than its own bad network. These rules look at what the instances answer, before the promotion lock
is taken, again under it, and when a lost primary comes back meanwhile. No I/O, no clock.

Owns: nothing. Relies on: a plan whose members are all that may have confirmed commits.
"""

from __future__ import annotations

from collections.abc import Iterable

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.failover_choice import needed_fences
from orchidwind.promoted.core.failover_steps import FailoverPlan, FailoverReason, Statuses
from orchidwind.promoted.core.log_positions import holds


def change_is_due(plan: FailoverPlan, statuses: Statuses) -> bool:
    """Whether there is something to do: a primary to replace, or fences that were left behind."""
    if primary_stays(plan, statuses):
        return bool(fenced_ones(statuses))
    return plan.reason is not FailoverReason.LEFT_FENCED


def primary_stays(plan: FailoverPlan, statuses: Statuses) -> bool:
    """Whether a primary leads that need not be replaced."""
    leader = leader_of(plan, statuses)
    if leader is None or leader.instance in plan.leaving:
        return False
    same = leader.instance == plan.old_primary
    return not (same and plan.reason is FailoverReason.NOT_CONFIRMING)


def may_succeed(plan: FailoverPlan, statuses: Statuses) -> bool:
    """Whether enough instances answer; without them the lock would only keep others from trying."""
    if fenced_ones(statuses):
        return True
    leader = leader_of(plan, statuses)
    replicas = replicas_among(statuses.values())
    if leader is not None:
        return bool(replicas) or leader.instance not in plan.leaving
    if not plan.members_known:
        return False
    return len(replicas) >= needed_fences(plan)


def some_keep_up(plan: FailoverPlan, led_before: InstanceStatus | None, statuses: Statuses) -> bool:
    """Whether a primary that leaves has a successor in sight.

    Guards against one that is demoted and, as its log alone is whole, promoted again, by one proxy
    after the other, each second: two holders of the lock alternate then. `led_before` is what it
    answered a moment ago; who keeps up has that by now.
    """
    leader = leader_of(plan, statuses)
    if leader is None or leader.instance not in plan.leaving:
        return True
    due = led_before if led_before is not None else leader
    return any(
        item.instance not in plan.leaving and holds(item.received, due.received)
        for item in replicas_among(statuses.values())
    )


def some_replica_follows(leader: InstanceStatus, later: Statuses) -> bool:
    """Whether a replica received, meanwhile, all that the leader had: it does confirm commits."""
    return any(item.received >= leader.received for item in replicas_among(later.values()))


def leader_of(plan: FailoverPlan, statuses: Statuses) -> InstanceStatus | None:
    """The primary of the newest term that can have begun; None where none of them answers."""
    best = _newest_answering_primary(statuses)
    if best is None or _successor_may_lead(plan, best, statuses):
        return None
    return best


def _newest_answering_primary(statuses: Statuses) -> InstanceStatus | None:
    """The primary of the newest term among those that answered, if no other knows a later one."""
    primaries = [item for item in statuses.values() if item.role is InstanceRole.PRIMARY]
    best = max(primaries, key=lambda item: item.term, default=None)
    if best is None or any(item.term > best.term for item in statuses.values()):
        return None
    return best


def _successor_may_lead(plan: FailoverPlan, leader: InstanceStatus, statuses: Statuses) -> bool:
    """Whether another instance, promoted later, may lead out of this proxy's sight.

    Guards against an old primary that does not know of its successor, and is the only one that
    answers: its log has nothing of the newer term.
    """
    last = plan.last_promotion
    if last is None or last.term <= leader.term or last.instance == leader.instance:
        return False
    if last.instance in statuses:
        # It answers, and it does not know the term that it was promoted to: it never led.
        return statuses[last.instance].term >= last.term
    if last.instance in plan.members and last.instance not in plan.unlisted:
        # It runs, as the directory says: it may yet lead, or leads for others.
        return True
    followers = [name for name in plan.members if name not in (leader.instance, last.instance)]
    # It acknowledged nothing in its term if nobody followed it.
    followed = any(name not in statuses or statuses[name].term >= last.term for name in followers)
    return followed or not followers


def led_already(fenced: Statuses, fence_term: int) -> InstanceStatus | None:
    """An instance that leads the new term: an earlier promotion has taken effect."""
    leading = [
        item
        for item in fenced.values()
        if item.role is InstanceRole.PRIMARY and item.term >= fence_term
    ]
    return max(leading, key=lambda item: item.term, default=None)


def primary_answers(fenced: Statuses) -> bool:
    """Whether an old primary, lost before, is back."""
    return any(item.role is InstanceRole.PRIMARY for item in fenced.values())


def fenced_ones(statuses: Statuses) -> tuple[str, ...]:
    """Replicas that hold a fence above the term they follow."""
    return tuple(
        item.instance for item in replicas_among(statuses.values()) if item.fence_term > item.term
    )


def replicas_among(statuses: Iterable[InstanceStatus]) -> list[InstanceStatus]:
    """Those that are replicas."""
    return [item for item in statuses if item.role is InstanceRole.REPLICA]
