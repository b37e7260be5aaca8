"""Who counts as a member during a change of primary: all that may have confirmed. No I/O, no clock.

What for: a count of fences proves something only if everybody who may have confirmed commits is a
member. So the members are read anew once nobody acknowledges any more, and an instance of which
nothing was heard since the newest term began counts if it answers.

Owns: nothing. Relies on: the driver, which reads directory and roster for `ReadMembers`.
"""

from __future__ import annotations

from collections.abc import Generator

from msgspec.structs import replace

from orchidwind.promoted.core.failover_fences import Answers, ask
from orchidwind.promoted.core.failover_steps import (
    FailoverPlan,
    FailoverStep,
    FailoverStepResult,
    ReadMembers,
    Statuses,
    Wait,
)

# Seconds from the first commit that an instance confirms until its entry is listed: it writes
# its entry at once, within 12 to 14 ms (docs/incidents, the one on LOST); four times that.
# One that is listed later is missed: docs/DECISIONS.md, "What a change of primary rests on".
LISTING_SECONDS = 0.06


def count_answering(plan: FailoverPlan, statuses: Statuses) -> FailoverPlan:
    """Instances of which nothing was heard since the newest term began are members if they answer.

    Guards against one that is cut off from the store alone and goes on confirming.
    """
    answering = [name for name in plan.absent if name in statuses]
    members = tuple(sorted({*plan.members, *answering}))
    absent = tuple(name for name in plan.absent if name not in members)
    return replace(plan, members=members, absent=absent)


def read_members(
    plan: FailoverPlan,
) -> Generator[FailoverStep, FailoverStepResult, FailoverPlan]:
    """The members as they are when nobody acknowledges any more."""
    yield Wait(LISTING_SECONDS)
    fresh = yield ReadMembers()
    if not isinstance(fresh, FailoverPlan):
        return replace(plan, members_known=False)
    statuses = yield from ask(fresh.absent) if fresh.absent else _nothing()
    fresh = count_answering(fresh, statuses)
    # Nobody is taken off: who was a member a moment ago may hold a commit.
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


def _nothing() -> Answers:
    yield from ()
    return {}
