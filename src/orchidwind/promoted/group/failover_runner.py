"""Carries out the steps of a change of primary: the lock in the store, calls to the instances.

What for: `core/failover.py` has the order of the steps; this makes each call, logs what came back,
and throws LockLost into the flow where the lock's time has passed.

Owns: the lock that one change of primary holds, and whether its promotion is settled. Relies on:
the group's calls to instances, the promotion service, the lease keeper and the roster keeper, all
of which end in bounded time.
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
    """Drives one change of primary."""

    def __init__(
        self,
        group: GroupService,
        lock: PromotionLockClient,
        service: PromotionService,
        leases: LeaseKeeper,
        rosters: RosterKeeper,
        read_members: Callable[[], Awaitable[FailoverPlan | None]],
    ) -> None:
        """`read_members` plans anew from views read anew; None where the store is silent."""
        self._rosters = rosters
        self._read_members = read_members
        self._leases = leases
        self._taken_at = 0.0
        self._promoted = ""
        self._group = group
        self._lock = lock
        self._service = service
        self._held: HeldLock | None = None
        # A promotion that has not been seen to take effect may do so yet: the lock is not given
        # back then, so that nobody relies on the old primary, and the next holder waits.
        self._unsettled = False
        self._loop = asyncio.get_running_loop()

    async def run(self, plan: FailoverPlan) -> FailoverResult:
        """Change the primary by a plan."""
        async with self._lock.in_use:
            return await drive(
                change_primary(plan), lambda step: self._perform(step, plan), thrown_in=(LockLost,)
            )

    async def _perform(self, step: FailoverStep, plan: FailoverPlan) -> FailoverStepResult:
        if isinstance(step, TakeLock):
            return await self._take_lock(plan)
        if isinstance(step, ReleaseLock):
            if self._held is not None and not self._unsettled:
                await self._lock.release(self._held)
            return None
        if isinstance(step, ReportChoice):
            _log_choice(plan, step.report)
            return None
        if isinstance(step, AskAll):
            return await self._call_instances(step)
        self._remaining()
        if isinstance(step, Wait):
            await asyncio.sleep(step.seconds)
            return None
        if isinstance(step, AwaitRevocation):
            assert self._held is not None
            token = self._held.token
            return await self._leases.wait_for_others(plan.group, token, self._taken_at)
        if isinstance(step, ReadMembers):
            return await self._read_members()
        if isinstance(step, RecordPromotion):
            return await self._record(step, plan)
        if isinstance(step, Promote):
            return await self._promote(step, plan)
        return await self._call_instances(step)

    async def _take_lock(self, plan: FailoverPlan) -> bool:
        self._held = await self._lock.take()
        self._taken_at = self._loop.time()
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

    def _remaining(self) -> float:
        """Seconds for which the lock is surely held; raises LockLost where there are none."""
        seconds = self._lock.usable_seconds(self._held)
        if seconds is None:
            raise LockLost("the promotion lock's time, or its era of the store, has passed")
        return seconds

    async def _promote(self, step: Promote, plan: FailoverPlan) -> FailoverStepResult:
        seconds = self._remaining()
        assert self._held is not None
        token = self._held.token
        answer = await self._service.promote(plan.group, step.instance, int(token), seconds)
        self._lock.note_called(token)
        self._unsettled = answer is not PromotionAnswer.REFUSED
        self._promoted = step.instance
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
        promoted = statuses.get(self._promoted)
        if promoted is not None and promoted.role is InstanceRole.PRIMARY:
            self._unsettled = False
        return statuses

    async def _statuses(self, step: InstanceStep) -> Statuses:
        if isinstance(step, AskAll):
            return await self._all(step.instances, lambda link: link.status())
        if isinstance(step, FenceAll):
            term = step.term
            return await self._all(step.instances, lambda link: link.fence(term))
        if isinstance(step, UnfenceAll):
            return await self._all(step.instances, lambda link: link.unfence())
        term = step.term
        return await self._all((step.instance,), lambda link: link.demote(term))

    async def _all(
        self,
        instances: tuple[str, ...],
        call: Callable[[InstanceLink], Coroutine[Any, Any, InstanceStatus]],
    ) -> Statuses:
        answers = await asyncio.gather(
            *(self._group.ask(name, call, hurried=True) for name in instances)
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
