"""Replaces the primary of a promoted group; a generator without I/O.

The instance that is promoted has every commit in its log that any proxy has acknowledged to a
caller. The steps are safe in the order below. `s` is the number of replicas that must receive a
commit before the primary confirms it.

1. Only the holder of the promotion lock continues, under a fencing token that rises with each
   holder. Once a promotion was called under the lock, no process, not even one that was restarted
   under the holder's name, takes the lock over within the time that the promotion needs to take
   effect. A promotion that takes effect even later is handled by step 6.
2. All primaries that answer are demoted, so that they accept no more commits. If one of them leads
   the newest term, and no promotion to a later term is recorded, any log that reaches as far as its
   log contains every acknowledged commit, whichever replicas had confirmed them. If no other log
   reaches as far, this primary itself can lead again.
3. The other members are fenced with a term above every known one: they receive nothing more from an
   old primary that does not answer.
4. The proxy waits until all leadership leases have expired or were confirmed to be dropped
   (`leadership_lease`). From then on a proxy acknowledges a commit only if enough listed replicas
   hold it and all listed instances answer that they are not fenced. An instance that is not
   counted here (it joined, lost its fence in a restart, or was unfenced by a late call) may still
   confirm a commit, but no proxy that sees one of the fences acknowledges that commit.
5. Without a demoted primary's log the fenced members are counted. An acknowledged commit is on its
   primary and `s` other instances. So if all members but `s` are counted, at least one of them has
   the commit, and the one with the longest log becomes primary. This holds only if every instance
   that has confirmed a commit is a member. So the members are read again at this point, when no
   more commits are acknowledged and an instance that has begun to confirm has had the time to be
   listed. A log counts only if it reaches the position at which the newest term began: commits of
   earlier terms are in the log of that term's primary, and in the logs that have caught up with it.
6. The promotion is recorded in the store with the end of the chosen log. From then on no earlier
   primary counts as primary, whether the promotion takes effect or not: only another promotion
   makes it one again. A restart drops a fence, so all instances are asked for their fences again
   right before the call.
7. The promotion is sent while the lock is certainly held. Whether it took effect is found out by
   asking the instance.
8. Afterwards any proxy that reaches the old primary demotes it. The other replicas drop their
   fences when they follow the new one. A fence that was set by a change without a result is lifted
   only if the replica can follow no replaced primary then (`may_be_unfenced`).

This module has the order of the steps. The rules are in `failover_primary` (whether a primary must
be replaced), `failover_members` (which instances may have confirmed commits), `failover_choice`
(which instance may lead next) and `failover_fences` (when fences are lifted and old primaries
demoted). `change_reasons` decides when a proxy starts a change.

Owns: the state of one attempt to change a primary. Relies on: a driver that carries out each step,
and throws LockLost into the generator when the holding time of the promotion lock is over.
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
    as_if_fenced,
    await_log_catch_up,
    demote_primaries,
    fence_others,
    fence_term_above,
    fenced_out,
    lift_fences,
    lift_leftover_fences,
    may_be_unfenced,
    other_members,
    query_statuses,
    settle_promotion,
)
from orchidwind.promoted.core.failover_members import (
    LISTING_SECONDS,
    include_answering,
    read_members,
)
from orchidwind.promoted.core.failover_primary import (
    any_primary_answers,
    find_new_primary,
    has_caught_up_successor,
    leader_of,
    may_succeed,
    primary_stays,
    promotion_is_pending,
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
    Wait,
)
from orchidwind.promoted.core.instance_silence import URGENT_STATUS_SECONDS
from orchidwind.promoted.core.leadership_lease import REVOCATION_WAIT_SECONDS
from orchidwind.promoted.core.promotion_lock import CALL_MARGIN_SECONDS, HOLD_SECONDS

# Seconds between two attempts to find a candidate; several round trips.
RETRY_SECONDS = 0.05
# Polls of a promoted instance until it leads: 1.2 s and the time of the calls. A promotion takes
# effect some hundred milliseconds after its call; otherwise the lock's holding time ends first.
_LEAD_POLLS = 60
# Seconds that one attempt takes while an instance is unreachable: the pause and the limit of a
# call.
_UNREACHABLE_ATTEMPT_SECONDS = RETRY_SECONDS + URGENT_STATUS_SECONDS
# The most attempts that fit, after the wait for leases, into the holding time of the lock.
_SELECT_ATTEMPTS = 12
# The members are read again after this many attempts without a candidate (0.2 s), as an instance
# may have joined meanwhile. Each reading costs a call of the store.
_READ_AGAIN_ATTEMPTS = 4

# The longest search: the wait for leases, the attempts, and the time for late directory entries
# before each reading of the members.
_LONGEST_SEARCH_SECONDS = (
    REVOCATION_WAIT_SECONDS
    + _SELECT_ATTEMPTS * _UNREACHABLE_ATTEMPT_SECONDS
    + _SELECT_ATTEMPTS // _READ_AGAIN_ATTEMPTS * LISTING_SECONDS
)

assert _LONGEST_SEARCH_SECONDS < HOLD_SECONDS - CALL_MARGIN_SECONDS


def change_primary(plan: FailoverPlan) -> FailoverFlow:
    """Replace the primary of a group, if that is still needed; returns the outcome."""
    statuses = yield from query_statuses((*plan.members, *plan.absent))
    plan = include_answering(plan, statuses)
    if not _change_is_needed(plan, statuses):
        return FailoverResult(FailoverOutcome.NOT_NEEDED)
    if not may_succeed(plan, statuses):
        return FailoverResult(FailoverOutcome.NOT_SAFE)
    taken = yield TakeLock()
    if not taken:
        return FailoverResult(FailoverOutcome.LOCK_HELD)
    try:
        result = yield from _change_under_lock(plan, leader_of(plan, statuses))
    except LockLost:
        # Another proxy may have taken the lock by now, so the fences are left to it. Releasing is
        # safe, as the release fails if the lock was taken over.
        result = FailoverResult(FailoverOutcome.LOCK_LOST)
    yield ReleaseLock()
    return result


def _change_is_needed(plan: FailoverPlan, statuses: Statuses) -> bool:
    """Whether there is a primary to replace, or fences that were left behind and may be lifted."""
    if primary_stays(plan, statuses):
        return bool(may_be_unfenced(plan, leader_of(plan, statuses), statuses))
    return plan.reason is not FailoverReason.LEFT_FENCED


def _change_under_lock(plan: FailoverPlan, led_before: InstanceStatus | None) -> FailoverFlow:
    statuses = yield from query_statuses(plan.members)
    if primary_stays(plan, statuses):
        return (yield from lift_leftover_fences(plan, statuses))
    if promotion_is_pending(plan, statuses):
        return FailoverResult(FailoverOutcome.NOT_SAFE)
    if not has_caught_up_successor(plan, led_before, statuses):
        return FailoverResult(FailoverOutcome.NOT_SAFE)
    if plan.reason is FailoverReason.LEFT_FENCED:
        return FailoverResult(FailoverOutcome.NOT_NEEDED)
    fence_term = fence_term_above(plan, statuses)
    plan = replace(plan, led_term=newest_led_term(plan, statuses))
    if plan.reason is FailoverReason.NOT_CONFIRMING:
        refused = yield from _check_not_confirming(plan, statuses, fence_term)
        if refused is not None:
            return refused
    plan, demoted = yield from demote_primaries(plan, statuses, fence_term)
    if demoted is not None and plan.reason is not FailoverReason.NOT_CONFIRMING:
        yield from await_log_catch_up(plan, demoted)
    return (yield from _choose_and_promote(plan, demoted, fence_term))


def _check_not_confirming(
    plan: FailoverPlan, statuses: Statuses, fence_term: int
) -> Generator[FailoverStep, FailoverStepResult, FailoverResult | None]:
    """Check whether a primary that answers but confirms no commit may be replaced.

    Returns the result that ends the change if the primary is kept, None if it may be replaced. It
    is kept if a replica does keep up with it, and also if the other members cannot show that one of
    them has every acknowledged commit: it must not be demoted without a successor. The exception is
    a fence that keeps a replica from following it and may not be lifted: then it has to lead a
    later term itself.
    """
    leader = leader_of(plan, statuses)
    if leader is None:
        return None
    yield Wait(RETRY_SECONDS)
    later = yield from query_statuses(plan.members)
    if some_replica_follows(leader, later):
        return (yield from lift_leftover_fences(plan, later))
    if fenced_out(plan, leader, later):
        return None
    # Absent instances are left out here: whether they are needed is known only after all proxies
    # have reported which commits they acknowledged.
    present = replace(plan, absent=())
    if choose_candidate(present, as_if_fenced(later, fence_term), None, fence_term) is None:
        yield from lift_fences(plan, leader, later)
        return FailoverResult(FailoverOutcome.NOT_SAFE)
    fenced = yield from fence_others(plan, leader, fence_term)
    if choose_candidate(present, fenced, None, fence_term) is None:
        yield from lift_fences(plan, leader, {**fenced, leader.instance: leader})
        return FailoverResult(FailoverOutcome.NOT_SAFE)
    return None


class _Selection(Struct):
    """The search for the next primary, kept from one attempt to the next.

    `reported`: the report of the choice that was logged last. `recorded`: a promotion was recorded,
    so that no earlier primary leads on and no fence may be lifted for one. `may_take_effect`: a
    promotion was called and not refused.
    """

    plan: FailoverPlan
    demoted: InstanceStatus | None
    fence_term: int
    reported: ChoiceReport | None = None
    recorded: bool = False
    may_take_effect: bool = False

    @property
    def needs_members(self) -> bool:
        """Whether the members must be known from the first attempt on."""
        not_confirming = self.plan.reason is FailoverReason.NOT_CONFIRMING
        return self.demoted is None or not_confirming


def _choose_and_promote(
    plan: FailoverPlan, demoted: InstanceStatus | None, fence_term: int
) -> FailoverFlow:
    """Choose the next primary and promote it, in up to `_SELECT_ATTEMPTS` attempts."""
    # The members are fenced before they are read again. Otherwise a proxy could find a commit on a
    # replica that is listed only after that reading, and see no fence that forbids the
    # acknowledgement.
    yield FenceAll(other_members(plan, demoted, plan.old_primary), fence_term)
    acknowledged = yield AwaitRevocation()
    assert acknowledged is None or isinstance(acknowledged, AcknowledgedCommits)
    # The known members were read while proxies could still acknowledge commits, so they do not
    # prove that a count is complete.
    plan = replace(plan, members_known=False, acknowledged=acknowledged)
    selection = _Selection(plan, demoted, fence_term)
    for attempt in range(_SELECT_ATTEMPTS):
        if attempt:
            yield Wait(RETRY_SECONDS)
        result = yield from _attempt(selection, attempt)
        if result is not None:
            return result
    if not selection.recorded:
        statuses = yield from query_statuses(selection.plan.members)
        yield from lift_fences(selection.plan, leader_of(selection.plan, statuses), statuses)
    return FailoverResult(FailoverOutcome.NOT_SAFE)


def _attempt(
    selection: _Selection, attempt: int
) -> Generator[FailoverStep, FailoverStepResult, FailoverResult | None]:
    """Look once for a candidate and promote it; returns None if another attempt is needed."""
    read_again = not selection.plan.members_known or attempt % _READ_AGAIN_ATTEMPTS == 0
    if read_again and (attempt or selection.needs_members):
        selection.plan = yield from read_members(selection.plan)
    fenced = yield from fence_others(selection.plan, selection.demoted, selection.fence_term)
    led = find_new_primary(fenced, selection.fence_term)
    if led is not None:
        return (yield from settle_promotion(selection.plan, led))
    if selection.demoted is None and any_primary_answers(fenced):
        result = yield from _handle_returned_primary(selection)
        if result is not None or selection.demoted is not None:
            return result
    candidate = yield from _choose(selection, fenced, attempt)
    if candidate is None:
        return None
    recorded = yield RecordPromotion(candidate.instance, selection.fence_term, candidate.received)
    if not recorded:
        selection.plan = replace(selection.plan, members_known=False)
        return None
    selection.recorded = True
    if not (yield from _still_best(selection, candidate, fenced)):
        return None
    led = yield from _promote(selection, candidate)
    return None if led is None else (yield from settle_promotion(selection.plan, led))


def _handle_returned_primary(
    selection: _Selection,
) -> Generator[FailoverStep, FailoverStepResult, FailoverResult | None]:
    """Handle an old primary that answers again: it leads on if it need not be replaced.

    Otherwise it is demoted, and None is returned. While a promotion that this change has called may
    take effect, the old primary is left to the next change.
    """
    if selection.may_take_effect:
        return None
    plan = selection.plan
    statuses = yield from query_statuses(plan.members)
    if not selection.recorded and primary_stays(plan, statuses):
        return (yield from lift_leftover_fences(plan, statuses))
    selection.plan, selection.demoted = yield from demote_primaries(
        plan, statuses, selection.fence_term
    )
    return None


def _choose(
    selection: _Selection, fenced: Statuses, attempt: int
) -> Generator[FailoverStep, FailoverStepResult, InstanceStatus | None]:
    """Return the next primary, None if no log is known to be complete.

    Reports the grounds for the choice if they differ from those reported last.
    """
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
    """Ask for all fences again and check that the candidate may still lead.

    A restart drops a fence, and an instance may have gone since the last answers.
    """
    again = yield from query_statuses(tuple(sorted({*fenced, candidate.instance})))
    plan, demoted = selection.plan, selection.demoted
    return is_still_best(plan, candidate, demoted, selection.fence_term, again)


def _promote(
    selection: _Selection, candidate: InstanceStatus
) -> Generator[FailoverStep, FailoverStepResult, InstanceStatus | None]:
    """Promote an instance and wait until it leads; returns its status, None if it does not lead."""
    answer = yield Promote(candidate.instance)
    if answer is PromotionAnswer.REFUSED:
        return None
    selection.may_take_effect = True
    for _ in range(_LEAD_POLLS):
        yield Wait(POLL_SECONDS)
        statuses = yield from query_statuses((candidate.instance,))
        status = statuses.get(candidate.instance)
        if status is not None and status.role is InstanceRole.PRIMARY:
            return status
    return None
