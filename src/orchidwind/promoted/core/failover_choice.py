"""Who may lead next: an instance whose log surely has every acknowledged commit. No I/O, no clock.

The rule, for one attempt (`choose_for_attempt`), where an acknowledged commit is in the log of its
primary and of `synchronous_replicas` others:

1. The old primary was demoted: its log is the measure. A fenced replica that has as much leads;
   who had confirmed does not matter.
2. Else the fenced members are counted (`needed_fences`): of so many at least one has any
   acknowledged commit, and the longest log of them leads, if it has the log with which the newest
   term began (`has_earlier_terms`), and no absent instance may hold more (`needs_absent`).
3. In the first attempts a log that is shorter than what proxies acknowledged is not taken: an
   instance that holds the rest may be listed late.
4. If no other log is known to be whole after some attempts, the demoted primary's own is: it leads
   again.

Of several equal logs, that of an instance which stays is taken.

Owns: nothing. Relies on: the order of steps in `failover`, under which what is counted here cannot
change between the answers and the promotion.
"""

from __future__ import annotations

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.failover_steps import FailoverPlan, Statuses
from orchidwind.promoted.core.log_positions import holds

# Attempts before a demoted primary's own log is taken. Three attempts are 0.15 s and
# what the calls take; a replica of its log is better, as the primary was demoted for a reason.
ATTEMPTS_FOR_ANOTHER = 3
# Attempts before a log that is shorter than what proxies may have acknowledged is taken: from 0.5 s
# to 1.2 s, as long as the lock's time allows with three attempts left. An instance that holds the
# rest may be listed late: with 2 attempts commits were lost in 9 of 30 plays where it was listed
# 0.3 s late and in 15 of 15 at 0.6 s, with 9 in none of 30. From a crash to the next acknowledged
# write the median of 20 plays stays at 0.59 s (virtual time): most candidates have all.
ATTEMPTS_FOR_ACKNOWLEDGED = 9


def choose_for_attempt(
    plan: FailoverPlan,
    fenced: Statuses,
    demoted: InstanceStatus | None,
    fence_term: int,
    attempt: int,
) -> InstanceStatus | None:
    """The next primary by the answers of one attempt (0 is the first), None where none is known."""
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
    """Whether a candidate may still lead by answers that came right before its promotion.

    Guards against a restart meanwhile, which drops a fence, and against an instance that has gone.
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
    """The instance whose log surely has every acknowledged commit, None where none is known.

    Of several, one that stays is taken.
    """
    replicas = fenced_replicas(fenced, fence_term)
    if demoted is not None:
        whole = [item for item in replicas if holds(item.received, demoted.received)]
        if whole:
            return _best(plan, whole)
    counted = counted_replicas(plan, fenced, demoted, fence_term)
    if len(counted) < needed_fences(plan) or not plan.members_known:
        return None
    longest = max(item.received for item in counted)
    able = [
        item
        for item in counted
        if item.received == longest
        and has_earlier_terms(plan, item, fenced)
        and not needs_absent(plan, item, len(counted))
    ]
    return _best(plan, able)


def fenced_replicas(fenced: Statuses, fence_term: int) -> list[InstanceStatus]:
    """Those that receive nothing of any primary below a term."""
    return [
        item
        for item in fenced.values()
        if item.role is InstanceRole.REPLICA and item.fence_term >= fence_term
    ]


def counted_replicas(
    plan: FailoverPlan, fenced: Statuses, demoted: InstanceStatus | None, fence_term: int
) -> list[InstanceStatus]:
    """The fenced members; a demoted primary's own log, unconfirmed commits and all, is none."""
    left_out = demoted.instance if demoted is not None else ""
    return [
        item
        for item in fenced_replicas(fenced, fence_term)
        if item.instance in plan.members and item.instance != left_out
    ]


def needed_fences(plan: FailoverPlan) -> int:
    """How many fenced members surely share one with the holders of any acknowledged commit.

    A commit is on its primary and on `synchronous_replicas` others. Where that primary may be
    none of the members, it is only known to be on the others. Absent ones are left out: see
    `needs_absent`.
    """
    synchronous = max(plan.synchronous_replicas, 1)
    leaders = {plan.old_primary}
    if plan.last_promotion is not None:
        leaders.add(plan.last_promotion.instance)
    holders = synchronous + 1 if leaders <= set(plan.members) else synchronous
    return max(1, len(plan.members) - holders + 1)


def needs_absent(plan: FailoverPlan, item: InstanceStatus, counted: int) -> bool:
    """Whether an absent instance may hold an acknowledged commit that this log lacks.

    It may have gone on confirming when neither the directory nor this proxy heard of it. It is not
    needed if every proxy, each of which has run since before the newest term began, reports how far
    it acknowledged, and this log reaches that far.
    """
    if counted >= needed_fences(plan) + len(plan.absent):
        return False
    acknowledged, last = plan.acknowledged, plan.last_promotion
    if acknowledged is None or last is None or acknowledged.known_since >= last.token:
        return True
    return not holds(item.received, acknowledged.end)


def has_earlier_terms(plan: FailoverPlan, item: InstanceStatus, statuses: Statuses) -> bool:
    """Whether a log has every commit that was acknowledged before the newest term began.

    The count of fences speaks of the newest term only. What came before is in the log that it began
    with. Where nobody knows that log, the newest term is the first one, or the instance
    has to follow it. Guards against a replica that received nothing for a term, or is catching up.
    """
    last = plan.last_promotion
    if last is None:
        return item.term >= newest_led_term(plan, statuses)
    return holds(item.received, last.start)


def newest_led_term(plan: FailoverPlan, statuses: Statuses) -> int:
    """The newest term in which an instance is known to have led; a fence alone is none."""
    return max([plan.led_term, *(item.term for item in statuses.values())])


def _has_all_acknowledged(plan: FailoverPlan, candidate: InstanceStatus) -> bool:
    """Whether a log has all that proxies acknowledged, or nobody knows how far that goes."""
    return plan.acknowledged is None or holds(candidate.received, plan.acknowledged.end)


def _best(plan: FailoverPlan, able: list[InstanceStatus]) -> InstanceStatus | None:
    staying = [item for item in able if item.instance not in plan.leaving]
    chosen = staying or able
    return max(chosen, key=lambda item: (item.received, item.instance), default=None)
