"""Carries out the steps of the product's change of primary on the model.

What each step does, and for how long the lock counts, is as in the product's own runner.
"""

from __future__ import annotations

from typing import Protocol

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.failover_steps import (
    AcknowledgedCommits,
    AskAll,
    AwaitRevocation,
    Demote,
    FailoverFlow,
    FailoverPlan,
    FailoverReason,
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
    TakeLock,
    UnfenceAll,
    Wait,
)
from orchidwind.promoted.core.promotion_lock import HeldLock
from orchidwind.promoted.core.roster import PromotionRecord
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind_bench.promoted.exploration.instance_calls import InstanceOperation
from orchidwind_bench.promoted.exploration.timeline import Process

Statuses = dict[str, InstanceStatus]


class PromotingProxy(Protocol):
    """What the performer needs of its proxy."""

    name: str

    def now(self) -> float:
        """The proxy's steady clock, in seconds."""

    def take_lock(self) -> Process[HeldLock | None]:
        """Take the promotion lock."""

    def release_lock(self, held: HeldLock) -> Process[None]:
        """Give it back."""

    def lock_usable(self, held: HeldLock) -> bool:
        """Whether a call may still be begun under the promotion lock."""

    def wait_for_others(
        self, token: StoreRevision, taken_at: float
    ) -> Process[AcknowledgedCommits | None]:
        """Wait until no proxy relies on the old primary; what all have acknowledged, if known."""

    def call_all(
        self, instances: tuple[str, ...], name: str, operation: InstanceOperation, urgent: bool
    ) -> Process[Statuses]:
        """Call instances; the statuses of those that answered."""

    def promote(self, instance: str, token: int) -> Process[PromotionAnswer]:
        """Call the platform."""

    def read_members(self, reason: FailoverReason) -> Process[FailoverPlan | None]:
        """Plan from views read anew; None where the store does not answer."""

    def record_promotion(self, record: PromotionRecord) -> Process[bool]:
        """Write a promotion into the roster; whether it surely stands there."""

    def before_step(self, step: FailoverStep) -> None:
        """A step of a change of primary begins."""


class Performer:
    """One change of primary."""

    def __init__(self, proxy: PromotingProxy, plan: FailoverPlan) -> None:
        self._proxy = proxy
        self._plan = plan
        self._held: HeldLock | None = None
        self._taken_at = 0.0
        self._unsettled = False
        self._promoted = ""

    def drive(self, flow: FailoverFlow) -> Process[FailoverResult]:
        """Carry out a flow to its end."""
        outcome: FailoverStepResult = None
        lost: LockLost | None = None
        while True:
            try:
                step = flow.send(outcome) if lost is None else flow.throw(lost)
            except StopIteration as ended:
                result: FailoverResult = ended.value
                return result
            outcome = lost = None
            self._proxy.before_step(step)
            # Whatever was inflicted on this proxy now takes hold before the step begins.
            yield 0.0
            try:
                outcome = yield from self._perform(step)
            except LockLost as raised:
                lost = raised

    def _perform(self, step: FailoverStep) -> Process[FailoverStepResult]:
        if isinstance(step, ReportChoice):
            return None
        if isinstance(step, TakeLock):
            self._held = yield from self._proxy.take_lock()
            self._taken_at = self._proxy.now()
            return self._held is not None
        if isinstance(step, ReleaseLock):
            if self._held is not None and not self._unsettled:
                yield from self._proxy.release_lock(self._held)
            return None
        if isinstance(step, AskAll):
            return (yield from self._call_instances(step))
        held = self._require_lock()
        return (yield from self._perform_under_lock(step, held))

    def _perform_under_lock(
        self, step: FailoverStep, held: HeldLock
    ) -> Process[FailoverStepResult]:
        if isinstance(step, Wait):
            yield step.seconds
            return None
        if isinstance(step, AwaitRevocation):
            return (yield from self._proxy.wait_for_others(held.token, self._taken_at))
        if isinstance(step, ReadMembers):
            return (yield from self._proxy.read_members(self._plan.reason))
        if isinstance(step, RecordPromotion):
            old_primary = self._plan.old_primary
            record = PromotionRecord(step.instance, step.term, step.start, held.token, old_primary)
            return (yield from self._proxy.record_promotion(record))
        if isinstance(step, Promote):
            answer = yield from self._proxy.promote(step.instance, held.token)
            self._unsettled = answer is not PromotionAnswer.REFUSED
            self._promoted = step.instance
            return answer
        assert isinstance(step, FenceAll | UnfenceAll | Demote)
        return (yield from self._call_instances(step))

    def _require_lock(self) -> HeldLock:
        held = self._held
        if held is None or not self._proxy.lock_usable(held):
            raise LockLost("the promotion lock's time has passed")
        return held

    def _call_instances(self, step: InstanceStep) -> Process[Statuses]:
        statuses = yield from self._statuses(step)
        promoted = statuses.get(self._promoted)
        if promoted is not None and promoted.role is InstanceRole.PRIMARY:
            self._unsettled = False
        return statuses

    def _statuses(self, step: InstanceStep) -> Process[Statuses]:
        call_all = self._proxy.call_all
        if isinstance(step, AskAll):
            return call_all(step.instances, "status", lambda item: None, urgent=True)
        if isinstance(step, FenceAll):
            term = step.term
            return call_all(step.instances, "fence", lambda item: item.fence(term), urgent=True)
        if isinstance(step, UnfenceAll):
            return call_all(step.instances, "unfence", lambda item: item.unfence(), urgent=True)
        term = step.term
        return call_all((step.instance,), "demote", lambda item: item.demote(term), urgent=True)
