"""The change of a promoted group's primary, as a generator without I/O.

It promotes an instance whose log has every commit that any proxy has told a caller as acknowledged.
Why the order of steps is safe, with `s` replicas that must receive a commit before the primary
acknowledges it:

1. Only the holder of the promotion lock goes on, under a token that rises with each holder. Nobody,
   not even a process started anew under the holder's name, takes the lock over for the time in
   which a promotion that was called under it takes effect; one that is late then is met by 6.
2. A primary that answers, and of which no successor can lead out of sight, is demoted: it takes no
   more commits. Any log that has as much as its own has every acknowledged commit; who had
   confirmed does not matter. If there is none, it can lead again itself.
3. The other members are fenced with a term above every known one: they receive nothing more from
   an old primary that does not answer.
4. Lead leases are waited out, or confirmed to be dropped (`lead_lease`). From then on no proxy
   tells a commit as acknowledged unless a listed replica holds it and all listed ones answer that
   they are not fenced. So what an instance confirms that is not counted here (it joined, lost its
   fence in a restart, was freed by a late call) is told to nobody who sees one of the fences.
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
"""

from __future__ import annotations

from collections.abc import Generator, Mapping
from dataclasses import dataclass, replace

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.failover_choice import (
    choose_candidate,
    leader_of,
    needed_fences,
    newest_led_term,
    report_choice,
)
from orchidwind.promoted.core.failover_steps import (
    AcknowledgedCommits,
    AskAll,
    AwaitRevocation,
    ChoiceReport,
    Demote,
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
    ReadMembers,
    RecordPromotion,
    ReleaseLock,
    ReportChoice,
    Statuses,
    TakeLock,
    UnfenceAll,
    Wait,
)
from orchidwind.promoted.core.log_positions import holds

RETRY_SECONDS = 0.05
LEAD_WAIT_SECONDS = 0.02
# From the first commit that an instance confirms until its entry is listed: it tells the store at
# once, 12 to 14 ms were measured with replacements of the first users; four times that.
LISTING_SECONDS = 0.06
# What a primary had sent when it was demoted arrives within a round trip or two.
_ARRIVAL_POLLS = 3
_LEAD_POLLS = 60
_SETTLE_POLLS = 6
_ATTEMPTS_FOR_ANOTHER = 3
# With 0.12 s each, where an instance is dark, and 1.1 s for leases, the lock is not yet lost.
_SELECT_ATTEMPTS = 12
# A log that is shorter than what proxies may have told is not taken before so many attempts, 0.05
# to 0.12 s: an instance that holds the rest may be listed late.
_ATTEMPTS_FOR_TOLD = 2
# Members are read anew each 0.2 s while no candidate is found: one may have joined meanwhile.
_READ_AGAIN_ATTEMPTS = 4

_Part = Generator[FailoverStep, FailoverStepResult, Statuses]


def change_primary(plan: FailoverPlan) -> FailoverFlow:
    """Replace the primary of a group, if that is still needed."""
    statuses = yield from _ask((*plan.members, *plan.absent))
    plan = _count_answering(plan, statuses)
    stands = _stands(plan, statuses)
    needed = plan.reason is not FailoverReason.LEFT_FENCED
    if not (_fenced_ones(statuses) if stands else needed):
        return FailoverResult(FailoverOutcome.NOT_NEEDED)
    if not _may_succeed(plan, statuses):
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


def _count_answering(plan: FailoverPlan, statuses: Statuses) -> FailoverPlan:
    """Instances of which nothing was heard since the newest term began are members if they answer.

    Guards against one that is cut off from the store alone and goes on confirming.
    """
    answering = [name for name in plan.absent if name in statuses]
    members = tuple(sorted({*plan.members, *answering}))
    absent = tuple(name for name in plan.absent if name not in members)
    return replace(plan, members=members, absent=absent)


def _may_succeed(plan: FailoverPlan, statuses: Statuses) -> bool:
    """Whether enough instances answer; without them the lock would only keep others from trying."""
    if _fenced_ones(statuses):
        return True
    leader = leader_of(plan, statuses)
    replicas = [item for item in statuses.values() if item.role is InstanceRole.REPLICA]
    if leader is not None:
        return bool(replicas) or leader.instance not in plan.leaving
    if not plan.members_known:
        return False
    return len(replicas) >= needed_fences(plan)


def _ask(instances: tuple[str, ...]) -> _Part:
    statuses = yield AskAll(instances)
    assert isinstance(statuses, Mapping)
    return statuses


def _stands(plan: FailoverPlan, statuses: Statuses) -> bool:
    """Whether a primary is there that need not be replaced."""
    leader = leader_of(plan, statuses)
    if leader is None or leader.instance in plan.leaving:
        return False
    same = leader.instance == plan.old_primary
    return not (same and plan.reason is FailoverReason.NOT_CONFIRMING)


def _fenced_ones(statuses: Statuses) -> tuple[str, ...]:
    """Replicas that hold a fence above the term they follow."""
    return tuple(
        name
        for name, item in statuses.items()
        if item.role is InstanceRole.REPLICA and item.fence_term > item.term
    )


def _change_under_lock(plan: FailoverPlan, led_before: InstanceStatus | None) -> FailoverFlow:
    statuses = yield from _ask(plan.members)
    if _stands(plan, statuses):
        return (yield from _stand_down(plan, statuses))
    if not _some_keep_up(plan, led_before, statuses):
        return FailoverResult(FailoverOutcome.NOT_SAFE)
    if plan.reason is FailoverReason.LEFT_FENCED:
        return FailoverResult(FailoverOutcome.NOT_NEEDED)
    fence_term = _next_term(plan, statuses)
    plan = replace(plan, led_term=newest_led_term(plan, statuses))
    if plan.reason is FailoverReason.NOT_CONFIRMING:
        refused = yield from _check_not_confirming(plan, statuses, fence_term)
        if refused is not None:
            return refused
    demoted = yield from _demote_leader(plan, statuses, fence_term)
    if demoted is not None and plan.reason is not FailoverReason.NOT_CONFIRMING:
        yield from _let_arrive(plan, demoted)
    return (yield from _replace(plan, demoted, fence_term))


def _some_keep_up(
    plan: FailoverPlan, led_before: InstanceStatus | None, statuses: Statuses
) -> bool:
    """Whether a primary that leaves has a successor in sight.

    Guards against one that is demoted and, as its log alone is whole, promoted again, by one proxy
    after the other, each second: two holders of the lock alternate then. `led_before` is what it
    told a moment ago; who keeps up has that by now.
    """
    leader = leader_of(plan, statuses)
    if leader is None or leader.instance not in plan.leaving:
        return True
    due = led_before if led_before is not None else leader
    return any(
        item.role is InstanceRole.REPLICA
        and item.instance not in plan.leaving
        and holds(item.received, due.received)
        for item in statuses.values()
    )


def _next_term(plan: FailoverPlan, statuses: Statuses) -> int:
    """A term above every one that can have begun: an instance takes no fence below that."""
    newest = max([plan.led_term, *(item.newest_term for item in statuses.values())])
    last = plan.last_promotion
    if last is not None and last.instance not in statuses:
        newest = max(newest, last.term)
    return newest + 1


def _let_arrive(plan: FailoverPlan, demoted: InstanceStatus) -> _Part:
    """Wait a little until some replica has all that the demoted primary had sent.

    Gains a successor that need not be fenced short of it; else the demoted one leads once more.
    """
    for _ in range(_ARRIVAL_POLLS):
        statuses = yield from _ask(_others(plan, demoted))
        if any(holds(item.received, demoted.received) for item in statuses.values()):
            break
        yield Wait(LEAD_WAIT_SECONDS)
    return statuses


@dataclass(slots=True)
class _Selection:
    """The search for the next primary, from one attempt to the next.

    `sent` tells that a promotion may have been called: fences below the new term stay then.
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


def _replace(plan: FailoverPlan, demoted: InstanceStatus | None, fence_term: int) -> FailoverFlow:
    """Choose the next primary and have it promoted."""
    # Fenced before the members are read: else a proxy could find a commit held by a replica that
    # is listed after that reading, and no fence that warns it.
    yield FenceAll(_others(plan, demoted, plan.old_primary), fence_term)
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
        statuses = yield from _ask(selection.plan.members)
        yield UnfenceAll(_fenced_ones(statuses))
    return FailoverResult(FailoverOutcome.NOT_SAFE)


def _attempt(
    selection: _Selection, attempt: int
) -> Generator[FailoverStep, FailoverStepResult, FailoverResult | None]:
    """Look once for a candidate and promote it; None where another attempt is due."""
    read_again = not selection.plan.members_known or attempt % _READ_AGAIN_ATTEMPTS == 0
    if read_again and (attempt or selection.counts):
        selection.plan = yield from _read_members(selection.plan)
    fenced = yield from _fence(selection.plan, selection.demoted, selection.fence_term)
    led = _led_already(fenced, selection.fence_term)
    if led is not None:
        return (yield from _settle(selection.plan, led))
    if selection.demoted is None and _primary_answers(fenced):
        stands = yield from _old_primary_is_back(selection)
        if stands is not None or selection.demoted is not None:
            return stands
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
    return None if led is None else (yield from _settle(selection.plan, led))


def _old_primary_is_back(
    selection: _Selection,
) -> Generator[FailoverStep, FailoverStepResult, FailoverResult | None]:
    """An old primary answers: leave it where it stands after all, else demote it."""
    statuses = yield from _ask(selection.plan.members)
    if _stands(selection.plan, statuses):
        return (yield from _stand_down(selection.plan, statuses))
    selection.demoted = yield from _demote_leader(selection.plan, statuses, selection.fence_term)
    return None


def _choose(
    selection: _Selection, fenced: Statuses, attempt: int
) -> Generator[FailoverStep, FailoverStepResult, InstanceStatus | None]:
    """The next primary, None where no log is known to be whole; tells on what that rests."""
    plan, demoted, fence_term = selection.plan, selection.demoted, selection.fence_term
    candidate = choose_candidate(plan, fenced, demoted, fence_term)
    if candidate is not None and demoted is None and attempt < _ATTEMPTS_FOR_TOLD:
        candidate = candidate if _has_all_acknowledged(plan, candidate) else None
    if candidate is None and attempt >= _ATTEMPTS_FOR_ANOTHER:
        # No other log is known to be whole, but the demoted primary's own is.
        candidate = demoted
    report = report_choice(plan, fenced, demoted, fence_term, candidate)
    if report != selection.reported:
        selection.reported = report
        yield ReportChoice(report)
    return candidate


def _has_all_acknowledged(plan: FailoverPlan, candidate: InstanceStatus) -> bool:
    """Whether a log has all that was told, or nobody knows how far that goes."""
    return plan.acknowledged is None or holds(candidate.received, plan.acknowledged.end)


def _read_members(
    plan: FailoverPlan,
) -> Generator[FailoverStep, FailoverStepResult, FailoverPlan]:
    """The members as they are when nobody acknowledges any more."""
    yield Wait(LISTING_SECONDS)
    fresh = yield ReadMembers()
    if not isinstance(fresh, FailoverPlan):
        return replace(plan, members_known=False)
    statuses = yield from _ask(fresh.absent) if fresh.absent else _nothing()
    fresh = _count_answering(fresh, statuses)
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


def _nothing() -> _Part:
    yield from ()
    return {}


def _led_already(fenced: Statuses, fence_term: int) -> InstanceStatus | None:
    """An instance that leads the new term: an earlier promotion has taken effect."""
    leading = [
        item
        for item in fenced.values()
        if item.role is InstanceRole.PRIMARY and item.term >= fence_term
    ]
    return max(leading, key=lambda item: item.term, default=None)


def _primary_answers(fenced: Statuses) -> bool:
    """Whether an old primary, lost before, is back."""
    return any(item.role is InstanceRole.PRIMARY for item in fenced.values())


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
    later = yield from _ask(plan.members)
    replicas = [item for item in later.values() if item.role is InstanceRole.REPLICA]
    if any(item.received >= leader.received for item in replicas):
        return (yield from _stand_down(plan, later))
    fenced = yield from _fence(plan, leader, fence_term)
    # Whether absent ones are needed is known when all proxies have told how far they acknowledged.
    if choose_candidate(replace(plan, absent=()), fenced, None, fence_term) is None:
        yield UnfenceAll(tuple(fenced))
        return FailoverResult(FailoverOutcome.NOT_SAFE)
    return None


def _stand_down(plan: FailoverPlan, statuses: Statuses) -> FailoverFlow:
    """The primary is there after all: free what an interrupted change left fenced."""
    leader = leader_of(plan, statuses)
    fenced = _fenced_ones(statuses)
    if leader is not None:
        fenced = tuple(
            name for name in fenced if _follows_no_older(plan, statuses[name], leader, statuses)
        )
    if fenced:
        yield UnfenceAll(fenced)
    return FailoverResult(FailoverOutcome.NOT_NEEDED)


def _follows_no_older(
    plan: FailoverPlan, replica: InstanceStatus, leader: InstanceStatus, statuses: Statuses
) -> bool:
    """Whether a replica that is freed can follow no primary older than the leader.

    One that has not moved to the leader's term might, unless all members answer, or the only
    primary between is known to lead no more, or has left. Without that a change that lost its lock
    would leave replicas that follow nobody, and no commit could be proven by them.
    """
    last = plan.last_promotion
    leading = [item for item in statuses.values() if item.role is InstanceRole.PRIMARY]
    if replica.term >= leader.term or (leading == [leader] and set(plan.members) <= set(statuses)):
        return True
    if last is None or (last.term > leader.term and last.instance != leader.instance):
        return False
    if replica.term < min(last.term, leader.term) - 1:
        return False
    if last.replaced == leader.instance:
        return True
    replaced = statuses.get(last.replaced)
    if replaced is None:
        return last.replaced not in plan.members or last.replaced in plan.unlisted
    return replaced.role is InstanceRole.REPLICA


def _demote_leader(
    plan: FailoverPlan, statuses: Statuses, term: int
) -> Generator[FailoverStep, FailoverStepResult, InstanceStatus | None]:
    """Demote the newest primary, if it answers; its status afterwards, None where there was none.

    Primaries of older terms that answer are demoted too: their logs measure nothing.
    """
    leader = leader_of(plan, statuses)
    newest = max((item.term for item in statuses.values()), default=0)
    demoted: InstanceStatus | None = None
    for item in statuses.values():
        replaced = item.role is InstanceRole.PRIMARY and item.term < newest
        if item != leader and not replaced:
            continue
        answers = yield Demote(item.instance, term)
        assert isinstance(answers, Mapping)
        status = answers.get(item.instance)
        stepped_down = status is not None and status.role is InstanceRole.REPLICA
        if item == leader and stepped_down:
            demoted = status
    return demoted


def _fence(plan: FailoverPlan, leader: InstanceStatus | None, term: int) -> _Part:
    """Fence all that may confirm; an old primary that was lost is asked too, it may be back."""
    statuses = yield FenceAll(_others(plan, leader), term)
    assert isinstance(statuses, Mapping)
    return statuses


def _others(
    plan: FailoverPlan, leader: InstanceStatus | None, left_out: str = ""
) -> tuple[str, ...]:
    """All members but these."""
    named = {left_out, leader.instance if leader is not None else ""}
    return tuple(name for name in plan.members if name not in named)


def _still_best(
    selection: _Selection, candidate: InstanceStatus, fenced: Statuses
) -> Generator[FailoverStep, FailoverStepResult, bool]:
    """Ask for all fences once more: a restart drops them, and an instance may have gone."""
    again = yield from _ask(tuple(sorted({*fenced, candidate.instance})))
    now = again.get(candidate.instance)
    if now is None or now.role is InstanceRole.PRIMARY:
        return False
    demoted = selection.demoted
    if demoted is not None and candidate.instance == demoted.instance:
        return holds(now.received, demoted.received)
    still = choose_candidate(selection.plan, again, demoted, selection.fence_term)
    return still is not None and now.received >= still.received


def _promote(
    candidate: InstanceStatus,
) -> Generator[FailoverStep, FailoverStepResult, InstanceStatus | None]:
    """Promote, and wait until the instance leads; its status then, None where it does not."""
    answer = yield Promote(candidate.instance)
    if answer is PromotionAnswer.REFUSED:
        return None
    for _ in range(_LEAD_POLLS):
        yield Wait(LEAD_WAIT_SECONDS)
        statuses = yield from _ask((candidate.instance,))
        status = statuses.get(candidate.instance)
        if status is not None and status.role is InstanceRole.PRIMARY:
            return status
    return None


def _settle(plan: FailoverPlan, led: InstanceStatus) -> FailoverFlow:
    """Demote a replaced primary that can be reached, and free the other replicas.

    A replica that is freed before it follows the new primary could confirm commits of the old one.
    So a fence stays until the old primary is known to lead no more, or the replica has moved, which
    ends the fence by itself.
    """
    for _ in range(_SETTLE_POLLS):
        statuses = yield from _ask(_others(plan, led))
        replaced = [
            item
            for item in statuses.values()
            if item.role is InstanceRole.PRIMARY and item.term < led.term
        ]
        for item in replaced:
            yield Demote(item.instance, led.term)
        waiting = [item for item in statuses.values() if _fenced_below(item, led.term)]
        old = statuses.get(plan.old_primary)
        if not waiting:
            break
        if old is not None and old.role is InstanceRole.REPLICA:
            yield UnfenceAll(tuple(item.instance for item in waiting))
            break
        yield Wait(LEAD_WAIT_SECONDS)
    return FailoverResult(FailoverOutcome.DONE, led.instance, led.term)


def _fenced_below(status: InstanceStatus, term: int) -> bool:
    """Whether a replica is fenced and has not moved to a term."""
    return status.fence_term > 0 and status.term < term
