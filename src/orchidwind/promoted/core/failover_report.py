"""The grounds for a choice of the next primary, for the log. No I/O, no clock.

After a lost commit, or when a group is left without a primary, the log shows whose logs were
counted and why each other instance was not chosen. Owns: nothing. Relies on: `failover_choice` for
the rule.
"""

from __future__ import annotations

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.failover_choice import (
    counted_replicas,
    has_earlier_terms,
    needed_fences,
    needs_absent,
)
from orchidwind.promoted.core.failover_steps import ChoiceReport, FailoverPlan, Statuses


def report_choice(
    plan: FailoverPlan,
    fenced: Statuses,
    demoted: InstanceStatus | None,
    fence_term: int,
    chosen: InstanceStatus | None,
) -> ChoiceReport:
    """Return the grounds for a choice, or for choosing no instance."""
    counted = counted_replicas(plan, fenced, demoted, fence_term)
    passed_over = [
        (name, _reason_not_chosen(plan, name, fenced, chosen, fence_term, len(counted)))
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


def _reason_not_chosen(
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
    if not has_earlier_terms(plan, status, fenced):
        return "lacks_earlier_terms"
    if chosen is None and needs_absent(plan, status, counted):
        return "may_lack_what_absent_ones_hold"
    if chosen is None:
        return "not_proven"
    if status.received < chosen.received:
        return "shorter_log"
    return "leaving" if name in plan.leaving else "equal"
