"""Carries out the steps of a change of primary: the lock in the store, calls to the instances.

`core/failover.py` defines the order of the steps. This module makes each call, logs its result,
and throws LockLost into the flow once the promotion lock has expired.

The runner owns the lock held for one change of primary, and knows whether the outcome of its
promotion is certain. It depends on the group's calls to instances, the promotion service, the lease
keeper and the roster keeper, all of which return in bounded time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.failover import change_primary
from orchidwind.promoted.core.failover_steps import (
    AskAll,
    AwaitRevocation,
    ChoiceReport,
    FailoverPlan,
    FailoverResult,
    FailoverStep,
    FailoverStepResult,
    FenceAll,
    InstanceStep,
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
from orchidwind.promoted.core.promotion_lock import HeldLock
from orchidwind.promoted.core.roster import PromotionRecord
from orchidwind.promoted.flow_driver import drive
from orchidwind.promoted.group.group_service import GroupService
from orchidwind.promoted.group.lease_keeper import LeaseKeeper
from orchidwind.promoted.group.promotion_lock_client import PromotionLockClient
from orchidwind.promoted.group.roster_keeper import RosterKeeper
from orchidwind.promoted.ports import InstanceLink, PromotionService
from orchidwind.shared.logs import log_event


class FailoverRunner:
    """Runs one change of primary."""

    def __init__(
        self,
        group: GroupService,
        lock: PromotionLockClient,
        service: PromotionService,
        leases: LeaseKeeper,
        rosters: RosterKeeper,
        read_members: Callable[[], Awaitable[FailoverPlan | None]],
    ) -> None:
        """`read_members` plans again from refreshed views; None if the store does not answer."""
        self._rosters = rosters
        self._read_members = read_members
        self._leases = leases
        self._lock_taken_at = 0.0
        self._promotion_target = ""
        self._group = group
        self._lock = lock
        self._service = service
        self._held: HeldLock | None = None
        # A promotion that was sent but not yet observed may still take effect. The lock is kept
        # in that case, so that no proxy relies on the old primary and the next holder waits.
        self._promotion_uncertain = False
        self._loop = asyncio.get_running_loop()

    async def run(self, plan: FailoverPlan) -> FailoverResult:
        """Change the primary as planned and return the outcome."""
        async with self._lock.in_use:
            return await drive(
                change_primary(plan), lambda step: self._perform(step, plan), thrown_in=(LockLost,)
            )

    async def _perform(self, step: FailoverStep, plan: FailoverPlan) -> FailoverStepResult:
        if isinstance(step, TakeLock):
            return await self._take_lock(plan)
        if isinstance(step, ReleaseLock):
            if self._held is not None and not self._promotion_uncertain:
                await self._lock.release(self._held)
            return None
        if isinstance(step, ReportChoice):
            _log_choice(plan, step.report)
            return None
        if isinstance(step, AskAll):
            return await self._call_instances(step)
        self._lock_seconds_left()
        if isinstance(step, Wait):
            await asyncio.sleep(step.seconds)
            return None
        if isinstance(step, AwaitRevocation):
            assert self._held is not None
            token = self._held.token
            return await self._leases.wait_for_others(plan.group, token, self._lock_taken_at)
        if isinstance(step, ReadMembers):
            return await self._read_members()
        if isinstance(step, RecordPromotion):
            return await self._record(step, plan)
        if isinstance(step, Promote):
            return await self._promote(step, plan)
        return await self._call_instances(step)

    async def _take_lock(self, plan: FailoverPlan) -> bool:
        self._held = await self._lock.take()
        self._lock_taken_at = self._loop.time()
        log_event(
            "promotion_lock",
            group=plan.group,
            taken=self._held is not None,
            token=self._held.token if self._held else 0,
        )
        return self._held is not None

    async def _record(self, step: RecordPromotion, plan: FailoverPlan) -> bool:
        assert self._held is not None
        record = PromotionRecord(
            step.instance, step.term, step.start, self._held.token, plan.old_primary
        )
        return await self._rosters.record_promotion(plan.group, record)

    def _lock_seconds_left(self) -> float:
        """Seconds for which the lock is certainly held; raises LockLost if it no longer is."""
        seconds = self._lock.usable_seconds(self._held)
        if seconds is None:
            raise LockLost("the promotion lock has expired or belongs to an earlier store era")
        return seconds

    async def _promote(self, step: Promote, plan: FailoverPlan) -> FailoverStepResult:
        seconds = self._lock_seconds_left()
        assert self._held is not None
        token = self._held.token
        answer = await self._service.promote(plan.group, step.instance, int(token), seconds)
        self._lock.note_called(token)
        self._promotion_uncertain = answer is not PromotionAnswer.REFUSED
        self._promotion_target = step.instance
        log_event(
            "promotion_sent",
            group=plan.group,
            instance=step.instance,
            token=token,
            reason=plan.reason.value,
            old_primary=plan.old_primary,
            answer=answer.value,
        )
        return answer

    async def _call_instances(self, step: InstanceStep) -> Statuses:
        statuses = await self._statuses(step)
        _log_statuses(step, statuses)
        promoted = statuses.get(self._promotion_target)
        if promoted is not None and promoted.role is InstanceRole.PRIMARY:
            self._promotion_uncertain = False
        return statuses

    async def _statuses(self, step: InstanceStep) -> Statuses:
        if isinstance(step, AskAll):
            return await self._call_all(step.instances, lambda link: link.status())
        if isinstance(step, FenceAll):
            term = step.term
            return await self._call_all(step.instances, lambda link: link.fence(term))
        if isinstance(step, UnfenceAll):
            return await self._call_all(step.instances, lambda link: link.unfence())
        term = step.term
        return await self._call_all((step.instance,), lambda link: link.demote(term))

    async def _call_all(
        self,
        instances: tuple[str, ...],
        call: Callable[[InstanceLink], Coroutine[Any, Any, InstanceStatus]],
    ) -> Statuses:
        answers = await asyncio.gather(
            *(self._group.ask(name, call, urgent=True) for name in instances)
        )
        return {item.instance: item for item in answers if item is not None}


def _log_choice(plan: FailoverPlan, report: ChoiceReport) -> None:
    log_event(
        "failover_choice",
        group=plan.group,
        reason=plan.reason.value,
        members=",".join(report.members),
        absent=",".join(report.absent),
        members_known=report.members_known,
        needed=report.needed,
        counted=report.counted,
        demoted=report.demoted,
        chosen=report.chosen,
        passed_over=" ".join(f"{name}:{why}" for name, why in report.passed_over),
    )


def _log_statuses(step: InstanceStep, statuses: Statuses) -> None:
    answers = [
        f"{item.instance}:{item.role.value}:{item.term}"
        f":{item.received.term}.{item.received.lsn}:{item.fence_term}"
        for item in statuses.values()
    ]
    log_event("failover_step", step=type(step).__name__, answers=" ".join(answers))
