"""Chooses the next primary: an instance whose log certainly has every acknowledged commit.

The rule, for one attempt (`choose_for_attempt`), given that an acknowledged commit is in the log of
its primary and of `synchronous_replicas` other instances:

1. If the old primary was demoted, its log is the reference. A fenced replica whose log reaches as
   far may lead, whichever replicas had confirmed the commits.
2. Otherwise the fenced members are counted. If there are at least `needed_fences`, one of them has
   any given acknowledged commit, and the one with the longest log may lead, provided that this log
   has everything from before the newest term (`has_earlier_terms`) and that no absent instance may
   hold more (`needs_absent`).
3. In the first attempts a log that is shorter than what proxies acknowledged is not accepted: an
   instance that holds the rest may be listed late.
4. If after some attempts no other log is known to be complete, the demoted primary, whose log is,
   leads again.

Among equal logs, an instance that is not about to leave is preferred, then one in the region of the
old primary: the homes there have sent their writes over the shortest way, and replicas there
confirm commits without crossing between regions.

Owns: nothing. Relies on: the order of steps in `failover`, which ensures that what is counted here
cannot change between the answers and the promotion. No I/O, no clock.
"""

from __future__ import annotations

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.failover_steps import FailoverPlan, Statuses
from orchidwind.promoted.core.log_positions import holds
from orchidwind.shared.core.positions import Position

# Attempts before the demoted primary itself may lead again. Three attempts take 0.15 s and the time
# of the calls. A replica with the same log is preferred, as the primary was demoted for a reason.
ATTEMPTS_FOR_ANOTHER = 3
# Attempts before a log that is shorter than what proxies may have acknowledged is accepted: 0.5 to
# 1.2 s, the most that the lock's holding time allows with three attempts left. An instance that
# holds the rest may be listed late. With 2 attempts commits were lost in 9 of 30 simulated runs in
# which it was listed 0.3 s late and in 15 of 15 at 0.6 s; with 9 attempts in none of 30. The median
# time from a crash to the next acknowledged write, over 20 runs, stays at 0.59 s (virtual time), as
# most candidates have everything.
ATTEMPTS_FOR_ACKNOWLEDGED = 9


def choose_for_attempt(
    plan: FailoverPlan,
    fenced: Statuses,
    demoted: InstanceStatus | None,
    fence_term: int,
    attempt: int,
) -> InstanceStatus | None:
    """Return the next primary for the answers of one attempt, None if none is known.

    `attempt` is 0 for the first one.
    """
    candidate = choose_candidate(plan, fenced, demoted, fence_term)
    if candidate is not None and demoted is None and attempt < ATTEMPTS_FOR_ACKNOWLEDGED:
        candidate = candidate if _has_all_acknowledged(plan, candidate) else None
    if candidate is None and attempt >= ATTEMPTS_FOR_ANOTHER:
        return demoted
    return candidate


def is_still_best(
    plan: FailoverPlan,
    candidate: InstanceStatus,
    demoted: InstanceStatus | None,
    fence_term: int,
    again: Statuses,
) -> bool:
    """Whether a candidate may still lead, by answers that came right before its promotion.

    Guards against a restart in the meantime, which drops a fence, and an instance that has gone.
    """
    now = again.get(candidate.instance)
    if now is None or now.role is InstanceRole.PRIMARY:
        return False
    if demoted is not None and candidate.instance == demoted.instance:
        return holds(now.received, demoted.received)
    still = choose_candidate(plan, again, demoted, fence_term)
    return still is not None and now.received >= still.received


def choose_candidate(
    plan: FailoverPlan, fenced: Statuses, demoted: InstanceStatus | None, fence_term: int
) -> InstanceStatus | None:
    """Return an instance whose log certainly has every acknowledged commit, None if none is known.

    Among several, the order of this module's preferences applies.
    """
    replicas = fenced_replicas(fenced, fence_term)
    if demoted is not None:
        complete = [item for item in replicas if holds(item.received, demoted.received)]
        if complete:
            return _prefer_staying(plan, complete)
    counted = counted_replicas(plan, fenced, demoted, fence_term)
    if len(counted) < needed_fences(plan) or not plan.members_known:
        return None
    longest = max(item.received for item in counted)
    eligible = [
        item
        for item in counted
        if item.received == longest
        and has_earlier_terms(plan, item, fenced)
        and not needs_absent(plan, item, len(counted))
    ]
    return _prefer_staying(plan, eligible)


def fenced_replicas(fenced: Statuses, fence_term: int) -> list[InstanceStatus]:
    """Return the replicas that accept no log from any primary below `fence_term`."""
    return [
        item
        for item in fenced.values()
        if item.role is InstanceRole.REPLICA and item.fence_term >= fence_term
    ]


def counted_replicas(
    plan: FailoverPlan, fenced: Statuses, demoted: InstanceStatus | None, fence_term: int
) -> list[InstanceStatus]:
    """Return the fenced members whose logs count.

    A demoted primary is left out, as its log may end with commits that no replica has confirmed.
    """
    left_out = demoted.instance if demoted is not None else ""
    return [
        item
        for item in fenced_replicas(fenced, fence_term)
        if item.instance in plan.members and item.instance != left_out
    ]


def needed_fences(plan: FailoverPlan) -> int:
    """Return how many fenced members are enough to include a holder of any acknowledged commit.

    A commit is on its primary and on `synchronous_replicas` other instances. If that primary may
    not be a member, only the other instances are certain to be. Absent instances are not considered
    here: see `needs_absent`.
    """
    synchronous = max(plan.synchronous_replicas, 1)
    leaders = {plan.old_primary}
    if plan.last_promotion is not None:
        leaders.add(plan.last_promotion.instance)
    holders = synchronous + 1 if leaders <= set(plan.members) else synchronous
    return max(1, len(plan.members) - holders + 1)


def needs_absent(plan: FailoverPlan, item: InstanceStatus, counted: int) -> bool:
    """Whether an absent instance may hold an acknowledged commit that this log lacks.

    An absent instance may have gone on confirming while neither the directory nor this proxy heard
    of it. Its log is not needed if all proxies have run since before the newest term began and have
    reported how far they acknowledged, and this log reaches that far.
    """
    if counted >= needed_fences(plan) + len(plan.absent):
        return False
    acknowledged, last = plan.acknowledged, plan.last_promotion
    if acknowledged is None or last is None or acknowledged.known_since >= last.token:
        return True
    return not holds(item.received, acknowledged.end)


def has_earlier_terms(plan: FailoverPlan, item: InstanceStatus, statuses: Statuses) -> bool:
    """Whether a log has every commit that was acknowledged before the newest term began.

    The count of fences covers only the newest term. Earlier commits are in the log with which that
    term began. If no promotion is recorded, the newest term is the first one, or the instance must
    have followed it. Guards against a replica that received nothing for a whole term, or is still
    catching up.
    """
    last = plan.last_promotion
    if last is None:
        return item.term >= newest_led_term(plan, statuses)
    return holds(item.received, last.start)


def newest_led_term(plan: FailoverPlan, statuses: Statuses) -> int:
    """Return the newest term in which an instance is known to have led; a fence starts no term."""
    return max([plan.led_term, *(item.term for item in statuses.values())])


def _has_all_acknowledged(plan: FailoverPlan, candidate: InstanceStatus) -> bool:
    """Whether a log has everything that proxies acknowledged; True if that is not known."""
    return plan.acknowledged is None or holds(candidate.received, plan.acknowledged.end)


def _prefer_staying(plan: FailoverPlan, eligible: list[InstanceStatus]) -> InstanceStatus | None:
    staying = [item for item in eligible if item.instance not in plan.leaving]
    chosen = staying or eligible

    def rank(item: InstanceStatus) -> tuple[Position, bool, str]:
        return item.received, item.instance in plan.near_old_primary, item.instance

    return max(chosen, key=rank, default=None)
