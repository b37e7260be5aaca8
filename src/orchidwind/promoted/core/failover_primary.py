"""Which primary leads according to the instances' answers, and whether it must be replaced.

A proxy starts a change of primary because of what it observed (`change_reasons`), which may be due
to its own network only. These rules look at what the instances answer: before the promotion lock is
taken, again while it is held, and when a lost primary comes back during the change. No I/O, no
clock.

Owns: nothing. Relies on: a plan whose members are all instances that may have confirmed commits.
"""

from __future__ import annotations

from collections.abc import Iterable

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.failover_choice import needed_fences
from orchidwind.promoted.core.failover_steps import FailoverPlan, FailoverReason, Statuses
from orchidwind.promoted.core.log_positions import holds


def primary_stays(plan: FailoverPlan, statuses: Statuses) -> bool:
    """Whether a primary leads that need not be replaced."""
    leader = leader_of(plan, statuses)
    if leader is None or leader.instance in plan.leaving:
        return False
    same = leader.instance == plan.old_primary
    return not (same and plan.reason is FailoverReason.NOT_CONFIRMING)


def may_succeed(plan: FailoverPlan, statuses: Statuses) -> bool:
    """Whether enough instances answer for a change.

    If they do not, holding the lock would only keep other proxies from trying.
    """
    if promotion_is_pending(plan, statuses):
        return False
    if fenced_names(statuses):
        return True
    leader = leader_of(plan, statuses)
    if leader is not None:
        return bool(replicas_among(statuses.values())) or leader.instance not in plan.leaving
    if not plan.members_known:
        return False
    # A replaced primary that answers counts too, as it is demoted and fenced like the others.
    return len(statuses.keys() & set(plan.members)) >= needed_fences(plan)


def promotion_is_pending(plan: FailoverPlan, statuses: Statuses) -> bool:
    """Whether nobody leads and the last promotion may still take effect: no other one is called.

    Guards against an instance that was stopped for longer than a promotion takes: it would lead
    after the next primary, without that one's commits. An instance that stays silent loses its
    entry after a few heartbeats. Nothing else is concluded from that: an earlier primary stays
    replaced.
    """
    last = plan.last_promotion
    if last is None or last.instance in statuses or last.instance in plan.unlisted:
        return False
    if leader_of(plan, statuses) is not None:
        return False
    terms = [plan.led_term, *(item.term for item in statuses.values())]
    return last.instance != plan.old_primary and max(terms) < last.term


def has_caught_up_successor(
    plan: FailoverPlan, led_before: InstanceStatus | None, statuses: Statuses
) -> bool:
    """Whether a primary that is about to leave has a successor with a complete log.

    Without this check such a primary would be demoted and, as only its own log is complete,
    promoted again, once a second, by two proxies that take the lock in turns. `led_before` is the
    primary's earlier answer; a replica that keeps up has received that much by now.
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
    """Whether a replica has since received all that the leader had, and so does confirm commits."""
    return any(item.received >= leader.received for item in replicas_among(later.values()))


def leader_of(plan: FailoverPlan, statuses: Statuses) -> InstanceStatus | None:
    """Return the primary of the newest term that can have begun, None if it does not answer.

    Guards against an old primary that does not know of its successor and is the only one that
    answers: its log has nothing of the newer term.
    """
    best = _newest_answering_primary(statuses)
    last = plan.last_promotion
    if best is None or (last is not None and last.replaces(best.instance, best.term)):
        return None
    return best


def _newest_answering_primary(statuses: Statuses) -> InstanceStatus | None:
    """Return the answering primary of the newest term.

    None if no primary answers, or if an instance knows of a newer term.
    """
    primaries = [item for item in statuses.values() if item.role is InstanceRole.PRIMARY]
    best = max(primaries, key=lambda item: item.term, default=None)
    if best is None or any(item.term > best.term for item in statuses.values()):
        return None
    return best


def find_new_primary(fenced: Statuses, fence_term: int) -> InstanceStatus | None:
    """Return the primary of the new term if an earlier promotion has taken effect, else None."""
    leading = [
        item
        for item in fenced.values()
        if item.role is InstanceRole.PRIMARY and item.term >= fence_term
    ]
    return max(leading, key=lambda item: item.term, default=None)


def any_primary_answers(fenced: Statuses) -> bool:
    """Whether an old primary that was lost answers again."""
    return any(item.role is InstanceRole.PRIMARY for item in fenced.values())


def fenced_names(statuses: Statuses) -> tuple[str, ...]:
    """Return the names of replicas with a fence above the term that they follow."""
    return tuple(
        item.instance for item in replicas_among(statuses.values()) if item.fence_term > item.term
    )


def replicas_among(statuses: Iterable[InstanceStatus]) -> list[InstanceStatus]:
    """Return the statuses that are those of replicas."""
    return [item for item in statuses if item.role is InstanceRole.REPLICA]
