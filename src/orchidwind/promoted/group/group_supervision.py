"""Supervises one promoted group: requests statuses, and starts a change of primary if needed.

`core/supervision` decides. This module schedules its decisions and runs the change of primary, at
most one for each group and proxy. It depends on `FailoverRunner` for the change and on
`GroupService` for the state of the instances.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

from msgspec import Struct

from orchidwind.promoted.core.failover_steps import (
    FailoverOutcome,
    FailoverPlan,
    FailoverReason,
)
from orchidwind.promoted.core.supervision import GroupSupervisor
from orchidwind.promoted.group.failover_runner import FailoverRunner
from orchidwind.promoted.group.group_service import GroupService
from orchidwind.promoted.group.lease_keeper import LeaseKeeper
from orchidwind.promoted.group.promotion_lock_client import PromotionLockClient
from orchidwind.promoted.group.roster_keeper import RosterKeeper
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.promoted.ports import PromotionService
from orchidwind.shared.logs import log_event

# Seconds between checks by a proxy that does not supervise a group of whether it does now. Becoming
# a home or being used wakes the supervisor at once, so nothing waits for this check.
_UNSUPERVISED_CHECK_SECONDS = 1.0


class SupervisionServices(Struct, frozen=True):
    """Services for changes of primary, shared by all groups of a proxy.

    `refresh_views` reads again which instances may hold commits, and returns whether the store
    answered.
    """

    lock: PromotionLockClient
    promotions: PromotionService
    leases: LeaseKeeper
    rosters: RosterKeeper
    refresh_views: Callable[[], Awaitable[bool]]
    metrics: ProxyMetrics


class GroupSupervision:
    """Runs one group's supervisor while this proxy supervises the group."""

    def __init__(
        self, group: GroupService, wake: asyncio.Event, services: SupervisionServices
    ) -> None:
        """`wake` is set when the supervisor should decide again."""
        self._group = group
        self._wake = wake
        self._services = services
        self._supervisor = GroupSupervisor(group.topology)
        self._change_task: asyncio.Task[None] | None = None
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Make decisions until cancelled."""
        try:
            while True:
                await self._wait(self._decide())
        finally:
            if self._change_task is not None:
                self._change_task.cancel()

    async def _wait(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            # Expected: nothing woke the supervisor before its next scheduled decision.
            pass
        self._wake.clear()

    def _decide(self) -> float:
        """Make and carry out one decision; returns the seconds until the next, at the latest."""
        if not self._group.supervised:
            return _UNSUPERVISED_CHECK_SECONDS
        decision = self._supervisor.decide(
            self._loop.time(),
            self._group.suspects(),
            self._group.oldest_write(),
            random.random(),
            self._services.rosters.known,
        )
        for instance in decision.ask:
            self._group.ask_soon(instance)
        if decision.plan is not None and self._may_start():
            self._change_task = self._loop.create_task(self._change_primary(decision.plan))
        return decision.again_after

    def _may_start(self) -> bool:
        """Whether neither this proxy nor another one is changing a primary."""
        runs = self._change_task is not None and not self._change_task.done()
        return not runs and not self._services.leases.held_by_another()

    async def _read_members(self, reason: FailoverReason) -> FailoverPlan | None:
        """Make a plan from refreshed views; None if the store does not answer."""
        if not await self._services.refresh_views():
            return None
        return self._supervisor.plan(self._loop.time(), reason, self._services.rosters.known)

    async def _change_primary(self, planned: FailoverPlan) -> None:
        try:
            outcome = await self._try_change(planned)
        except Exception as error:  # logged, as the next decision tries again
            log_event(
                "failover_broke_off",
                level=logging.ERROR,
                group=planned.group,
                reason=repr(error),
            )
            outcome = FailoverOutcome.NOT_SAFE
        self._supervisor.ended(self._loop.time(), outcome)

    async def _try_change(self, planned: FailoverPlan) -> FailoverOutcome:
        plan = await self._read_members(planned.reason)
        if plan is None:
            log_event("failover_put_off", group=planned.group, reason="the views are not confirmed")
            return FailoverOutcome.LOCK_HELD
        self._log_started(plan)
        result = await self._runner(plan.reason).run(plan)
        log_event(
            "failover_ended",
            group=plan.group,
            reason=plan.reason.value,
            outcome=result.outcome.value,
            primary=result.primary,
            term=result.term,
        )
        self._services.metrics.failover(plan.reason.value, result.outcome.value)
        self._group.changed()
        return result.outcome

    def _runner(self, reason: FailoverReason) -> FailoverRunner:
        services = self._services
        return FailoverRunner(
            self._group,
            services.lock,
            services.promotions,
            services.leases,
            services.rosters,
            lambda: self._read_members(reason),
        )

    def _log_started(self, plan: FailoverPlan) -> None:
        sources = self._group.topology.confirming.sources(self._loop.time())
        log_event(
            "failover_started",
            group=plan.group,
            reason=plan.reason.value,
            old_primary=plan.old_primary,
            members=",".join(plan.members),
            leaving=",".join(sorted(plan.leaving)),
            members_known=plan.members_known,
            led_term=plan.led_term,
            known_by=" ".join(f"{name}:{how}" for name, how in sorted(sources.items())),
        )
