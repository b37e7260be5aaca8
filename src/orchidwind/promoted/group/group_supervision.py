"""Watches over one promoted group: asks for statuses, and has a primary changed when needed."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

from orchidwind.promoted.core.failover_steps import (
    FailoverOutcome,
    FailoverPlan,
    FailoverReason,
)
from orchidwind.promoted.core.supervision import GroupSupervisor, Look
from orchidwind.promoted.group.failover_runner import FailoverRunner, PromotionLockClient
from orchidwind.promoted.group.group_service import GroupService
from orchidwind.promoted.group.lease_keeper import LeaseKeeper
from orchidwind.promoted.group.roster_keeper import RosterKeeper
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.promoted.ports import PromotionService
from orchidwind.shared.logs import log_event

_UNSUPERVISED_LOOK_SECONDS = 1.0


class GroupSupervision:
    """One group's supervisor, while this proxy has a part in the group."""

    def __init__(
        self,
        group: GroupService,
        wake: asyncio.Event,
        lock: PromotionLockClient,
        promotions: PromotionService,
        leases: LeaseKeeper,
        rosters: RosterKeeper,
        refresh_views: Callable[[], Awaitable[bool]],
        metrics: ProxyMetrics,
    ) -> None:
        """`refresh_views` reads anew who may hold commits; whether the store answered."""
        self._refresh_views = refresh_views
        self._group = group
        self._wake = wake
        self._lock = lock
        self._promotions = promotions
        self._leases = leases
        self._rosters = rosters
        self._metrics = metrics
        self._supervisor = GroupSupervisor(group.topology)
        self._running: asyncio.Task[None] | None = None
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Look again and again, until cancelled."""
        try:
            await self._look_again_and_again()
        finally:
            if self._running is not None:
                self._running.cancel()

    async def _look_again_and_again(self) -> None:
        while True:
            again_after = _UNSUPERVISED_LOOK_SECONDS
            if self._group.supervised:
                again_after = self._look().again_after
            try:
                async with asyncio.timeout(again_after):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    def _look(self) -> Look:
        group = self._group
        look = self._supervisor.look(
            self._loop.time(),
            group.suspects(),
            group.oldest_write(),
            random.random(),
            self._rosters.known,
        )
        for instance in look.ask:
            group.ask_soon(instance)
        may_start = self._running is None or self._running.done()
        if look.plan is not None and may_start and not self._leases.held_by_another():
            self._running = self._loop.create_task(self._change_primary(look.plan))
        return look

    async def _read_members(self, reason: FailoverReason) -> FailoverPlan | None:
        """Plan from views that are read anew; None where the store does not answer."""
        if not await self._refresh_views():
            return None
        return self._supervisor.plan(self._loop.time(), reason, self._rosters.known)

    async def _change_primary(self, planned: FailoverPlan) -> None:
        try:
            await self._look_into_change(planned)
        except Exception as error:  # the next look tries again; what went wrong must be seen
            log_event(
                "failover_broke_off",
                level=logging.ERROR,
                group=planned.group,
                reason=repr(error),
            )
            self._supervisor.ended(self._loop.time(), FailoverOutcome.NOT_SAFE)

    async def _look_into_change(self, planned: FailoverPlan) -> None:
        reason = planned.reason
        plan = await self._read_members(reason)
        if plan is None:
            log_event("failover_put_off", group=planned.group, reason="the views are not confirmed")
            self._supervisor.ended(self._loop.time(), FailoverOutcome.LOCK_HELD)
            return
        log_event(
            "failover_started",
            group=plan.group,
            reason=plan.reason.value,
            old_primary=plan.old_primary,
            members=",".join(plan.members),
            leaving=",".join(sorted(plan.leaving)),
            members_known=plan.members_known,
            led_term=plan.led_term,
            known_by=" ".join(
                f"{name}:{how}"
                for name, how in sorted(
                    self._group.topology.confirming.sources(self._loop.time()).items()
                )
            ),
        )
        runner = FailoverRunner(
            self._group,
            self._lock,
            self._promotions,
            self._leases,
            self._rosters,
            lambda: self._read_members(reason),
        )
        result = await runner.run(plan)
        log_event(
            "failover_ended",
            group=plan.group,
            reason=plan.reason.value,
            outcome=result.outcome.value,
            primary=result.primary,
            term=result.term,
        )
        self._metrics.failover(plan.reason.value, result.outcome.value)
        self._supervisor.ended(self._loop.time(), result.outcome)
        self._group.changed()
