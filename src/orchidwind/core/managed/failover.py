"""The change of a managed group's primary, as a generator without I/O.

Why the order of steps is safe, with `s` replicas that must receive a commit before the primary
acknowledges it, and `r` instances besides the primary that may have received commits:

1. Only the holder of the promotion lock goes on, under a token that rises with each holder.
2. A primary that answers is demoted first: it then takes no more commits, and its log is complete.
3. The replicas are fenced with a term above every known one: they receive nothing more from the
   old primary, so it can acknowledge nothing more once r - s + 1 of them are fenced.
4. Those r - s + 1 and any `s` replicas that received an acknowledged commit share a replica; so the
   most advanced of the fenced logs has every commit acknowledged in the present term. Commits of
   the terms before are surely in the present primary's log and in those that followed it, so one
   that has not followed the newest term is no candidate. Any log at least as long as that of a
   demoted primary has every acknowledged commit.
5. Lead leases are waited out, or confirmed to be dropped (`lead_lease`).
6. A restart drops a fence: all fences are asked for again right before the promotion.
7. The promotion is sent while the lock is surely held, and settled by asking the instance.
8. Then the old primary is demoted by whoever reaches it. The other replicas are freed when it is
   known to be no primary, or when they follow the new one.
"""

from __future__ import annotations

from collections.abc import Generator, Mapping
from dataclasses import dataclass, replace
from enum import Enum, unique

from orchidwind.core.errors import OrchidwindError
from orchidwind.core.managed.commands import InstanceRole, InstanceStatus

RETRY_SECONDS = 0.05
LEAD_WAIT_SECONDS = 0.02
_LEAD_POLLS = 60
_SETTLE_POLLS = 6
_ATTEMPTS_FOR_ANOTHER = 3
_SELECT_ATTEMPTS = 30


@unique
class FailoverReason(Enum):
    """Why a change of primary is looked into."""

    UNREACHABLE = "unreachable"
    LEAVING = "leaving"
    NOT_CONFIRMING = "not_confirming"


@unique
class FailoverOutcome(Enum):
    """How a change of primary ended."""

    DONE = "done"
    NOT_NEEDED = "not_needed"
    LOCK_HELD = "lock_held"
    LOCK_LOST = "lock_lost"
    NOT_SAFE = "not_safe"


@dataclass(frozen=True, slots=True)
class FailoverPlan:
    """What the proxy believes when it begins.

    `members` are all instances that may have confirmed commits; `leaving` those of them that must
    not lead; `old_primary` is empty where none is known. Without `members_known` there may be
    others, of which this proxy has not been told: then only a demoted primary's log is a measure.
    `led_term` is the newest term in which an instance is known to have led.
    """

    group: str
    reason: FailoverReason
    members: tuple[str, ...]
    leaving: frozenset[str]
    old_primary: str
    synchronous_replicas: int
    members_known: bool = True
    led_term: int = 0


@dataclass(frozen=True, slots=True)
class FailoverResult:
    """The outcome; `primary` and `term` where it is DONE."""

    outcome: FailoverOutcome
    primary: str = ""
    term: int = 0


class LockLost(OrchidwindError):
    """The promotion lock's time has passed."""


@unique
class PromotionAnswer(Enum):
    """What came back from the promotion call."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class TakeLock:
    """Take the promotion lock; the result is a bool."""


@dataclass(frozen=True, slots=True)
class ReleaseLock:
    """Give the lock back."""


@dataclass(frozen=True, slots=True)
class AskAll:
    """Ask instances for their status; the result is a map of those that answered."""

    instances: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FenceAll:
    """Keep instances from receiving of primaries below `term`; the result as for AskAll."""

    instances: tuple[str, ...]
    term: int


@dataclass(frozen=True, slots=True)
class UnfenceAll:
    """Let instances receive again; the result as for AskAll."""

    instances: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Demote:
    """Turn a primary of a lower term into a replica; the result as for AskAll."""

    instance: str
    term: int


@dataclass(frozen=True, slots=True)
class AwaitRevocation:
    """Wait until no proxy relies on the old primary by a lead lease."""


@dataclass(frozen=True, slots=True)
class Promote:
    """Send the promotion, if the lock is surely held (else LockLost is thrown in)."""

    instance: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait for some seconds; LockLost is thrown in where the lock's time has passed."""

    seconds: float


FailoverStep = (
    TakeLock
    | ReleaseLock
    | AskAll
    | FenceAll
    | UnfenceAll
    | Demote
    | AwaitRevocation
    | Promote
    | Wait
)
Statuses = Mapping[str, InstanceStatus]
FailoverStepResult = Statuses | PromotionAnswer | bool | None
FailoverFlow = Generator[FailoverStep, FailoverStepResult, FailoverResult]
_Part = Generator[FailoverStep, FailoverStepResult, Statuses]


def leader_of(statuses: Statuses) -> InstanceStatus | None:
    """The primary of the newest term among those that answered, if no other knows a later one."""
    primaries = [item for item in statuses.values() if item.role is InstanceRole.PRIMARY]
    best = max(primaries, key=lambda item: item.term, default=None)
    if best is None or any(item.term > best.term for item in statuses.values()):
        return None
    return best


def change_primary(plan: FailoverPlan) -> FailoverFlow:
    """Replace the primary of a group, if that is still needed."""
    statuses = yield from _ask(plan.members)
    if _stands(plan, statuses) and not _fenced_ones(statuses):
        return FailoverResult(FailoverOutcome.NOT_NEEDED)
    if not _may_succeed(plan, statuses):
        return FailoverResult(FailoverOutcome.NOT_SAFE)
    taken = yield TakeLock()
    if not taken:
        return FailoverResult(FailoverOutcome.LOCK_HELD)
    try:
        result = yield from _change_under_lock(plan)
    except LockLost:
        # Another proxy may be at work by now: fences are left to it. To give the lock back is
        # safe, as that only succeeds while nobody has taken it over.
        result = FailoverResult(FailoverOutcome.LOCK_LOST)
    yield ReleaseLock()
    return result


def _may_succeed(plan: FailoverPlan, statuses: Statuses) -> bool:
    """Whether enough instances answer; without them the lock would only keep others from trying."""
    if leader_of(statuses) is not None or _fenced_ones(statuses):
        return True
    replicas = [name for name in statuses if name != plan.old_primary]
    if not plan.members_known:
        return False
    return len(replicas) >= _needed(plan, plan.old_primary)


def _needed(plan: FailoverPlan, old_primary: str) -> int:
    """How many fenced replicas surely share one with the confirmations of any commit."""
    confirming = sum(1 for name in plan.members if name != old_primary)
    return max(1, confirming - max(plan.synchronous_replicas, 1) + 1)


def _ask(instances: tuple[str, ...]) -> _Part:
    statuses = yield AskAll(instances)
    assert isinstance(statuses, Mapping)
    return statuses


def _stands(plan: FailoverPlan, statuses: Statuses) -> bool:
    """Whether a primary is there that need not be replaced."""
    leader = leader_of(statuses)
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


def _change_under_lock(plan: FailoverPlan) -> FailoverFlow:
    statuses = yield from _ask(plan.members)
    if _stands(plan, statuses):
        return (yield from _stand_down(statuses))
    newest = max((item.newest_term for item in statuses.values()), default=0)
    fence_term = newest + 1
    plan = replace(plan, led_term=_newest_led(plan, statuses))
    if plan.reason is FailoverReason.NOT_CONFIRMING:
        refused = yield from _check_not_confirming(plan, statuses, fence_term)
        if refused is not None:
            return refused
    demoted = yield from _demote_leader(statuses, fence_term)
    sent = False  # once a promotion may have been sent, fences below the new term stay
    for attempt in range(_SELECT_ATTEMPTS):
        if attempt:
            yield Wait(RETRY_SECONDS)
        fenced = yield from _fence(plan, demoted, fence_term)
        returned = fenced.get(plan.old_primary)
        if returned is not None and demoted is None and returned.role is InstanceRole.PRIMARY:
            statuses = yield from _ask(plan.members)
            if _stands(plan, statuses):
                return (yield from _stand_down(statuses))
            demoted = yield from _demote_leader(statuses, fence_term)
            continue
        candidate = choose_candidate(plan, fenced, demoted, fence_term)
        if candidate is None and attempt >= _ATTEMPTS_FOR_ANOTHER:
            # No other log is known to be whole, but the demoted primary's own is.
            candidate = demoted
        if candidate is None:
            continue
        sent = True
        led = yield from _promote(plan, candidate, fenced, demoted, fence_term)
        if led is not None:
            yield from _settle(plan, led)
            return FailoverResult(FailoverOutcome.DONE, led.instance, led.term)
    if not sent:
        statuses = yield from _ask(plan.members)
        yield UnfenceAll(_fenced_ones(statuses))
    return FailoverResult(FailoverOutcome.NOT_SAFE)


def _newest_led(plan: FailoverPlan, statuses: Statuses) -> int:
    """The newest term in which an instance is known to have led; a fence alone is none."""
    return max([plan.led_term, *(item.term for item in statuses.values())])


def _check_not_confirming(
    plan: FailoverPlan, statuses: Statuses, fence_term: int
) -> Generator[FailoverStep, FailoverStepResult, FailoverResult | None]:
    """Why a primary that answers but confirms no commit is kept, None where it may be replaced.

    It is kept where a replica does keep up with it, and where the others cannot show that one of
    them has every acknowledged commit: it must not be demoted without a successor.
    """
    leader = leader_of(statuses)
    if leader is None:
        return None
    yield Wait(RETRY_SECONDS)
    later = yield from _ask(plan.members)
    replicas = [item for item in later.values() if item.role is InstanceRole.REPLICA]
    if any(item.received >= leader.received for item in replicas):
        return (yield from _stand_down(later))
    fenced = yield from _fence(plan, leader, fence_term)
    if choose_candidate(plan, fenced, None, fence_term) is None:
        yield UnfenceAll(tuple(fenced))
        return FailoverResult(FailoverOutcome.NOT_SAFE)
    return None


def _stand_down(statuses: Statuses) -> FailoverFlow:
    """The primary is there after all: free what an interrupted change left fenced."""
    leader = leader_of(statuses)
    fenced = _fenced_ones(statuses)
    if leader is not None:
        # One that has not moved to the leader's term might follow an older primary.
        fenced = tuple(name for name in fenced if statuses[name].term >= leader.term)
    if fenced:
        yield UnfenceAll(fenced)
    return FailoverResult(FailoverOutcome.NOT_NEEDED)


def _demote_leader(
    statuses: Statuses, term: int
) -> Generator[FailoverStep, FailoverStepResult, InstanceStatus | None]:
    """Demote a primary that answers; its status afterwards, None where there was none."""
    leader = leader_of(statuses)
    if leader is None:
        return None
    answers = yield Demote(leader.instance, term)
    assert isinstance(answers, Mapping)
    status = answers.get(leader.instance)
    if status is None or status.role is InstanceRole.PRIMARY:
        return None
    return status


def _fence(plan: FailoverPlan, leader: InstanceStatus | None, term: int) -> _Part:
    """Fence all that may confirm; an old primary that was lost is asked too, it may be back."""
    others = tuple(name for name in plan.members if leader is None or name != leader.instance)
    statuses = yield FenceAll(others, term)
    assert isinstance(statuses, Mapping)
    return statuses


def choose_candidate(
    plan: FailoverPlan, fenced: Statuses, demoted: InstanceStatus | None, fence_term: int
) -> InstanceStatus | None:
    """The instance whose log surely has every acknowledged commit, None where none is known.

    Of several, one that stays is taken.
    """
    replicas = [
        item
        for item in fenced.values()
        if item.role is InstanceRole.REPLICA and item.fence_term >= fence_term
    ]
    old = demoted.instance if demoted is not None else plan.old_primary
    if old:
        replicas = [item for item in replicas if item.instance != old] or replicas
    if not replicas:
        return None
    longest = max(item.received for item in replicas)
    if demoted is not None and longest >= demoted.received:
        return _best(plan, [item for item in replicas if item.received >= demoted.received])
    counted = sum(1 for item in replicas if item.instance in plan.members and item.instance != old)
    if counted < _needed(plan, old) or not plan.members_known:
        return None
    led = _newest_led(plan, fenced)
    able = [item for item in replicas if item.received == longest and item.term >= led]
    return _best(plan, able)


def _best(plan: FailoverPlan, able: list[InstanceStatus]) -> InstanceStatus | None:
    staying = [item for item in able if item.instance not in plan.leaving]
    chosen = staying or able
    return max(chosen, key=lambda item: (item.received, item.instance), default=None)


def _promote(
    plan: FailoverPlan,
    candidate: InstanceStatus,
    fenced: Statuses,
    demoted: InstanceStatus | None,
    fence_term: int,
) -> Generator[FailoverStep, FailoverStepResult, InstanceStatus | None]:
    """Check the fences once more, promote, and wait until the instance leads."""
    yield AwaitRevocation()
    if demoted is None or candidate.instance != demoted.instance:
        again = yield from _ask(tuple(fenced))
        still = choose_candidate(plan, again, demoted, fence_term)
        if still is None or again[candidate.instance].received < still.received:
            return None
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


def _settle(
    plan: FailoverPlan, led: InstanceStatus
) -> Generator[FailoverStep, FailoverStepResult, None]:
    """Demote a replaced primary that can be reached, and free the other replicas.

    A replica that is freed before it follows the new primary could confirm commits of the old one.
    So a fence stays until the old primary is known to lead no more, or the replica has moved, which
    ends the fence by itself.
    """
    others = tuple(name for name in plan.members if name != led.instance)
    for _ in range(_SETTLE_POLLS):
        statuses = yield from _ask(others)
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


def _fenced_below(status: InstanceStatus, term: int) -> bool:
    """Whether a replica is fenced and has not moved to a term."""
    return status.fence_term > 0 and status.term < term
