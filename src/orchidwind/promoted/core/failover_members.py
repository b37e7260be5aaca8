"""The members of a change of primary: all instances that may have confirmed commits.

A count of fences is a proof only if every instance that may have confirmed commits is a member. So
the members are read again once no more commits are acknowledged, and an instance of which nothing
was heard since the newest term began is a member if it answers.

Owns: nothing. Relies on: the driver, which reads directory and roster for `ReadMembers`. No I/O, no
clock.
"""

from __future__ import annotations

from collections.abc import Generator

from msgspec.structs import replace

from orchidwind.promoted.core.failover_fences import Answers, query_statuses
from orchidwind.promoted.core.failover_steps import (
    FailoverPlan,
    FailoverStep,
    FailoverStepResult,
    ReadMembers,
    Statuses,
    Wait,
)

# Seconds from the first commit that an instance confirms until its directory entry is listed. It
# writes its entry at once, which takes 12 to 14 ms (docs/incidents, the one on LOST); this is four
# times as long. An instance that is listed later is missed: docs/DECISIONS.md, "What a change of
# primary rests on".
LISTING_SECONDS = 0.06


def include_answering(plan: FailoverPlan, statuses: Statuses) -> FailoverPlan:
    """Return the plan with absent instances that answer made members.

    Absent instances are those of which nothing was heard since the newest term began. Guards
    against an instance that is cut off from the store only and goes on confirming.
    """
    answering = [name for name in plan.absent if name in statuses]
    members = tuple(sorted({*plan.members, *answering}))
    absent = tuple(name for name in plan.absent if name not in members)
    return replace(plan, members=members, absent=absent)


def read_members(
    plan: FailoverPlan,
) -> Generator[FailoverStep, FailoverStepResult, FailoverPlan]:
    """Return the plan with the members as read after the last acknowledgement."""
    yield Wait(LISTING_SECONDS)
    fresh = yield ReadMembers()
    if not isinstance(fresh, FailoverPlan):
        return replace(plan, members_known=False)
    statuses = yield from query_statuses(fresh.absent) if fresh.absent else _no_statuses()
    fresh = include_answering(fresh, statuses)
    # No member is removed: one that was a member before may hold a commit.
    members = {*plan.members, *fresh.members}
    return replace(
        plan,
        members=tuple(sorted(members)),
        absent=tuple(sorted({*plan.absent, *fresh.absent} - members)),
        leaving=fresh.leaving,
        unlisted=fresh.unlisted,
        members_known=fresh.members_known,
        led_term=max(plan.led_term, fresh.led_term),
        last_promotion=fresh.last_promotion,
    )


def _no_statuses() -> Answers:
    yield from ()
    return {}
