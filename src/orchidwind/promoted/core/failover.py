"""The change of a promoted group's primary, as a generator without I/O.

It promotes an instance whose log has every commit that any proxy has acknowledged to a caller.
Why the order of steps is safe, with `s` replicas that must receive a commit before the primary
confirms it:

1. Only the holder of the promotion lock goes on, under a token that rises with each holder. Nobody,
   not even a process started anew under the holder's name, takes the lock over for the time in
   which a promotion that was called under it takes effect; one that is late then is met by 6.
2. A primary that answers, and of which no successor can lead out of sight, is demoted: it takes no
   more commits. Any log that has as much as its own has every acknowledged commit; who had
   confirmed does not matter. If there is none, it can lead again itself.
3. The other members are fenced with a term above every known one: they receive nothing more from
   an old primary that does not answer.
4. Lead leases are waited out, or confirmed to be dropped (`lead_lease`). From then on no proxy
   acknowledges a commit unless enough listed replicas hold it and all listed ones answer that
   they are not fenced. So what an instance confirms that is not counted here (it joined, lost its
   fence in a restart, was freed by a late call) is acknowledged by nobody who sees one
   of the fences.
5. Without a demoted primary's log the fenced ones are counted. An acknowledged commit is on its
   primary and `s` others, so of all members but `s` at least one has it, and the longest log
   leads. That holds only if all who confirmed are members: they are read anew now, when nothing
   more is acknowledged, and after the time in which one that has begun to confirm is listed. A
   log counts only from where the newest term began: commits of the terms before are in that
   term's primary, and in those that have caught up with it.
6. The promotion is written down in the store, with the end of the chosen log; until the chosen
   instance has answered otherwise or is gone, no other counts as primary. A restart drops a fence,
   so all fences are asked for again, right before the call.
7. The promotion is sent while the lock is surely held, and settled by asking the instance.
8. Then the old primary is demoted by whoever reaches it. The other replicas are freed when it is
   known to be no primary, or when they follow the new one.

This module has the order of the steps. The rules that it asks: whether a primary must be replaced
(`failover_primary`), who may have confirmed commits (`failover_members`), who may lead next
(`failover_choice`), what becomes of fences and of the old
primary (`failover_fences`). What makes a proxy begin is in `change_reasons`.

Owns: the state of one attempt to change a primary. Relies on: a driver that carries out each step,
and throws LockLost in where the promotion lock's time has passed.
"""

from __future__ import annotations

from collections.abc import Generator

from msgspec import Struct
from msgspec.structs import replace

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.failover_choice import (
    choose_candidate,
    choose_for_attempt,
    is_still_best,
    newest_led_term,
)
from orchidwind.promoted.core.failover_fences import (
    POLL_SECONDS,
    ask,
    demote_leader,
    fence_others,
    fence_term_above,
    free_left_fences,
    let_log_arrive,
    others,
    settle_promotion,
)
from orchidwind.promoted.core.failover_members import (
    LISTING_SECONDS,
    count_answering,
    read_members,
)
from orchidwind.promoted.core.failover_primary import (
    change_is_due,
    fenced_ones,
    leader_of,
    led_already,
    may_succeed,
    primary_answers,
    primary_stays,
    some_keep_up,
    some_replica_follows,
)
from orchidwind.promoted.core.failover_report import report_choice
from orchidwind.promoted.core.failover_steps import (
    AcknowledgedCommits,
    AwaitRevocation,
    ChoiceReport,
    FailoverFlow,
    FailoverOutcome,
    FailoverPlan,
    FailoverReason,
    FailoverResult,
    FailoverStep,
    FailoverStepResult,
    FenceAll,
    LockLost,
    Promote,
    PromotionAnswer,
    RecordPromotion,
    ReleaseLock,
    ReportChoice,
    Statuses,
    TakeLock,
    UnfenceAll,
    Wait,
)
from orchidwind.promoted.core.instance_silence import HURRIED_STATUS_SECONDS
from orchidwind.promoted.core.lead_lease import REVOCATION_WAIT_SECONDS
from orchidwind.promoted.core.promotion_lock import CALL_MARGIN_SECONDS, HOLD_SECONDS

# Seconds between two attempts to find a candidate. Some round trips long.
RETRY_SECONDS = 0.05
# Polls of a promoted instance until it leads: 1.2 s and the calls. A promotion takes effect
# some hundred milliseconds after its call, or the lock is lost first.
_LEAD_POLLS = 60
# Seconds that one attempt takes where an instance is dark: the pause, and the limit of a call.
_DARK_ATTEMPT_SECONDS = RETRY_SECONDS + HURRIED_STATUS_SECONDS
# As many as fit, after the wait for leases, into the time for which the lock is held.
_SELECT_ATTEMPTS = 12
# Members are read anew each so many attempts, 0.2 s, while no candidate is found: one may have
# joined meanwhile. Each reading costs a call of the store.
_READ_AGAIN_ATTEMPTS = 4

# The longest search: the wait for leases, the attempts, and the time for late entries before each
# reading of the members.
_LONGEST_SEARCH_SECONDS = (
    REVOCATION_WAIT_SECONDS
    + _SELECT_ATTEMPTS * _DARK_ATTEMPT_SECONDS
    + _SELECT_ATTEMPTS // _READ_AGAIN_ATTEMPTS * LISTING_SECONDS
)

assert _LONGEST_SEARCH_SECONDS < HOLD_SECONDS - CALL_MARGIN_SECONDS


def change_primary(plan: FailoverPlan) -> FailoverFlow:
    """Replace the primary of a group, if that is still needed."""
    statuses = yield from ask((*plan.members, *plan.absent))
    plan = count_answering(plan, statuses)
    if not change_is_due(plan, statuses):
        return FailoverResult(FailoverOutcome.NOT_NEEDED)
    if not may_succeed(plan, statuses):
        return FailoverResult(FailoverOutcome.NOT_SAFE)
    taken = yield TakeLock()
    if not taken:
        return FailoverResult(FailoverOutcome.LOCK_HELD)
    try:
        result = yield from _change_under_lock(plan, leader_of(plan, statuses))
    except LockLost:
        # Another proxy may be at work by now: fences are left to it. To give the lock back is
        # safe, as that only succeeds while nobody has taken it over.
        result = FailoverResult(FailoverOutcome.LOCK_LOST)
    yield ReleaseLock()
    return result


def _change_under_lock(plan: FailoverPlan, led_before: InstanceStatus | None) -> FailoverFlow:
    statuses = yield from ask(plan.members)
    if primary_stays(plan, statuses):
        return (yield from free_left_fences(plan, statuses))
    if not some_keep_up(plan, led_before, statuses):
        return FailoverResult(FailoverOutcome.NOT_SAFE)
    if plan.reason is FailoverReason.LEFT_FENCED:
        return FailoverResult(FailoverOutcome.NOT_NEEDED)
    fence_term = fence_term_above(plan, statuses)
    plan = replace(plan, led_term=newest_led_term(plan, statuses))
    if plan.reason is FailoverReason.NOT_CONFIRMING:
        refused = yield from _check_not_confirming(plan, statuses, fence_term)
        if refused is not None:
            return refused
    demoted = yield from demote_leader(plan, statuses, fence_term)
    if demoted is not None and plan.reason is not FailoverReason.NOT_CONFIRMING:
        yield from let_log_arrive(plan, demoted)
    return (yield from _choose_and_promote(plan, demoted, fence_term))


def _check_not_confirming(
    plan: FailoverPlan, statuses: Statuses, fence_term: int
) -> Generator[FailoverStep, FailoverStepResult, FailoverResult | None]:
    """Why a primary that answers but confirms no commit is kept, None where it may be replaced.

    It is kept where a replica does keep up with it, and where the others cannot show that one of
    them has every acknowledged commit: it must not be demoted without a successor.
    """
    leader = leader_of(plan, statuses)
    if leader is None:
        return None
    yield Wait(RETRY_SECONDS)
    later = yield from ask(plan.members)
    if some_replica_follows(leader, later):
        return (yield from free_left_fences(plan, later))
    fenced = yield from fence_others(plan, leader, fence_term)
    # Whether absent ones are needed is known once all proxies have reported what they acknowledged.
    if choose_candidate(replace(plan, absent=()), fenced, None, fence_term) is None:
        yield UnfenceAll(tuple(fenced))
        return FailoverResult(FailoverOutcome.NOT_SAFE)
    return None


class _Selection(Struct):
    """The search for the next primary, from one attempt to the next.

    `reported`: the last line of the log on what the choice rests. `sent`: a promotion may have been
    called, so fences below the new term stay.
    """

    plan: FailoverPlan
    demoted: InstanceStatus | None
    fence_term: int
    reported: ChoiceReport | None = None
    sent: bool = False

    @property
    def counts(self) -> bool:
        """Whether the members are needed from the first attempt on."""
        not_confirming = self.plan.reason is FailoverReason.NOT_CONFIRMING
        return self.demoted is None or not_confirming


def _choose_and_promote(
    plan: FailoverPlan, demoted: InstanceStatus | None, fence_term: int
) -> FailoverFlow:
    """Choose the next primary and have it promoted."""
    # Fenced before the members are read: else a proxy could find a commit held by a replica that
    # is listed after that reading, and no fence that warns it.
    yield FenceAll(others(plan, demoted, plan.old_primary), fence_term)
    acknowledged = yield AwaitRevocation()
    assert acknowledged is None or isinstance(acknowledged, AcknowledgedCommits)
    # These members were read before anybody had stopped to acknowledge: they count nobody.
    plan = replace(plan, members_known=False, acknowledged=acknowledged)
    selection = _Selection(plan, demoted, fence_term)
    for attempt in range(_SELECT_ATTEMPTS):
        if attempt:
            yield Wait(RETRY_SECONDS)
        result = yield from _attempt(selection, attempt)
        if result is not None:
            return result
    if not selection.sent:
        statuses = yield from ask(selection.plan.members)
        yield UnfenceAll(fenced_ones(statuses))
    return FailoverResult(FailoverOutcome.NOT_SAFE)


def _attempt(
    selection: _Selection, attempt: int
) -> Generator[FailoverStep, FailoverStepResult, FailoverResult | None]:
    """Look once for a candidate and promote it; None where another attempt is due."""
    read_again = not selection.plan.members_known or attempt % _READ_AGAIN_ATTEMPTS == 0
    if read_again and (attempt or selection.counts):
        selection.plan = yield from read_members(selection.plan)
    fenced = yield from fence_others(selection.plan, selection.demoted, selection.fence_term)
    led = led_already(fenced, selection.fence_term)
    if led is not None:
        return (yield from settle_promotion(selection.plan, led))
    if selection.demoted is None and primary_answers(fenced):
        result = yield from _old_primary_is_back(selection)
        if result is not None or selection.demoted is not None:
            return result
    candidate = yield from _choose(selection, fenced, attempt)
    if candidate is None:
        return None
    recorded = yield RecordPromotion(candidate.instance, selection.fence_term, candidate.received)
    if not recorded:
        selection.plan = replace(selection.plan, members_known=False)
        return None
    if not (yield from _still_best(selection, candidate, fenced)):
        return None
    selection.sent = True
    led = yield from _promote(candidate)
    return None if led is None else (yield from settle_promotion(selection.plan, led))


def _old_primary_is_back(
    selection: _Selection,
) -> Generator[FailoverStep, FailoverStepResult, FailoverResult | None]:
    """An old primary answers: let it lead after all, else demote it."""
    statuses = yield from ask(selection.plan.members)
    if primary_stays(selection.plan, statuses):
        return (yield from free_left_fences(selection.plan, statuses))
    selection.demoted = yield from demote_leader(selection.plan, statuses, selection.fence_term)
    return None


def _choose(
    selection: _Selection, fenced: Statuses, attempt: int
) -> Generator[FailoverStep, FailoverStepResult, InstanceStatus | None]:
    """The next primary, None where no log is known to be whole; reports on what that rests."""
    plan, demoted, fence_term = selection.plan, selection.demoted, selection.fence_term
    candidate = choose_for_attempt(plan, fenced, demoted, fence_term, attempt)
    report = report_choice(plan, fenced, demoted, fence_term, candidate)
    if report != selection.reported:
        selection.reported = report
        yield ReportChoice(report)
    return candidate


def _still_best(
    selection: _Selection, candidate: InstanceStatus, fenced: Statuses
) -> Generator[FailoverStep, FailoverStepResult, bool]:
    """Ask for all fences once more: a restart drops them, and an instance may have gone."""
    again = yield from ask(tuple(sorted({*fenced, candidate.instance})))
    plan, demoted = selection.plan, selection.demoted
    return is_still_best(plan, candidate, demoted, selection.fence_term, again)


def _promote(
    candidate: InstanceStatus,
) -> Generator[FailoverStep, FailoverStepResult, InstanceStatus | None]:
    """Promote, and wait until the instance leads; its status then, None where it does not."""
    answer = yield Promote(candidate.instance)
    if answer is PromotionAnswer.REFUSED:
        return None
    for _ in range(_LEAD_POLLS):
        yield Wait(POLL_SECONDS)
        statuses = yield from ask((candidate.instance,))
        status = statuses.get(candidate.instance)
        if status is not None and status.role is InstanceRole.PRIMARY:
            return status
    return None
