"""Which instance may lead next: whose log surely has every acknowledged commit. No I/O."""

from __future__ import annotations

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.failover_steps import ChoiceReport, FailoverPlan, Statuses
from orchidwind.promoted.core.log_positions import holds


def newest_answering_primary(statuses: Statuses) -> InstanceStatus | None:
    """The primary of the newest term among those that answered, if no other knows a later one."""
    primaries = [item for item in statuses.values() if item.role is InstanceRole.PRIMARY]
    best = max(primaries, key=lambda item: item.term, default=None)
    if best is None or any(item.term > best.term for item in statuses.values()):
        return None
    return best


def leader_of(plan: FailoverPlan, statuses: Statuses) -> InstanceStatus | None:
    """The primary of the newest term that can have begun; None where none of them answers."""
    best = newest_answering_primary(statuses)
    if best is None or _may_have_successor(plan, best, statuses):
        return None
    return best


def _may_have_successor(plan: FailoverPlan, leader: InstanceStatus, statuses: Statuses) -> bool:
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
        and _has_earlier_terms(plan, item, fenced)
        and not needs_absent(plan, item, len(counted))
    ]
    return _best(plan, able)


def needs_absent(plan: FailoverPlan, item: InstanceStatus, counted: int) -> bool:
    """Whether an absent instance may hold a commit that was told and that this log lacks.

    It may have gone on confirming when neither the directory nor this proxy heard of it. It is not
    needed if every proxy, each of which has run since before the newest term began, tells how far
    commits were told, and this log reaches that far.
    """
    if counted >= needed_fences(plan) + len(plan.absent):
        return False
    acknowledged, last = plan.acknowledged, plan.last_promotion
    if acknowledged is None or last is None or acknowledged.known_since >= last.token:
        return True
    return not holds(item.received, acknowledged.end)


def newest_led_term(plan: FailoverPlan, statuses: Statuses) -> int:
    """The newest term in which an instance is known to have led; a fence alone is none."""
    return max([plan.led_term, *(item.term for item in statuses.values())])


def _has_earlier_terms(plan: FailoverPlan, item: InstanceStatus, statuses: Statuses) -> bool:
    """Whether a log has every commit that was acknowledged before the newest term began.

    The count of fences speaks of the newest term only. What came before is in the log that it began
    with. Where nobody tells of that log, the newest term is the first one, or the instance
    has to follow it. Guards against a replica that heard nothing for a term, or is catching up.
    """
    last = plan.last_promotion
    if last is None:
        return item.term >= newest_led_term(plan, statuses)
    return holds(item.received, last.start)


def _best(plan: FailoverPlan, able: list[InstanceStatus]) -> InstanceStatus | None:
    staying = [item for item in able if item.instance not in plan.leaving]
    chosen = staying or able
    return max(chosen, key=lambda item: (item.received, item.instance), default=None)


def report_choice(
    plan: FailoverPlan,
    fenced: Statuses,
    demoted: InstanceStatus | None,
    fence_term: int,
    chosen: InstanceStatus | None,
) -> ChoiceReport:
    """On what a choice rested."""
    counted = counted_replicas(plan, fenced, demoted, fence_term)
    passed_over = [
        (name, _why_not(plan, name, fenced, chosen, fence_term, len(counted)))
        for name in sorted({*plan.members, *fenced})
        if chosen is None or name != chosen.instance
    ]
    return ChoiceReport(
        plan.members,
        plan.absent,
        plan.members_known,
        needed_fences(plan),
        len(counted),
        f"{demoted.instance}:{demoted.received.term}.{demoted.received.lsn}" if demoted else "",
        chosen.instance if chosen else "",
        tuple(passed_over),
    )


def _why_not(
    plan: FailoverPlan,
    name: str,
    fenced: Statuses,
    chosen: InstanceStatus | None,
    fence_term: int,
    counted: int,
) -> str:
    status = fenced.get(name)
    if status is None:
        return "not_answered"
    if status.role is InstanceRole.PRIMARY:
        return "leads"
    if status.fence_term < fence_term:
        return "not_fenced"
    if not _has_earlier_terms(plan, status, fenced):
        return "lacks_earlier_terms"
    if chosen is None and needs_absent(plan, status, counted):
        return "may_lack_what_absent_ones_hold"
    if chosen is None:
        return "not_proven"
    if status.received < chosen.received:
        return "shorter_log"
    return "leaving" if name in plan.leaving else "equal"
