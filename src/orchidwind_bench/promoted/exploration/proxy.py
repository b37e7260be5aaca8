"""A proxy of the model: the product's supervisor and change of primary over modelled parts.

Owns nothing but whether a change of primary runs; the parts own the rest: `ProxyViews` what is
known of the store, `ProxyCalls` the calls to instances, `ProxyLock` the lock, `ProxyLease` the lead
lease, `ProxyCommits` and `ProxyReads` the caller. It is what the performer and the acknowledgement
rule ask.
"""

from __future__ import annotations

from typing import Protocol

from orchidwind.promoted.core.call_limits import PROMOTION_CALL_SECONDS
from orchidwind.promoted.core.failover_steps import (
    AcknowledgedCommits,
    FailoverOutcome,
    FailoverPlan,
    FailoverReason,
    FailoverStep,
    PromotionAnswer,
)
from orchidwind.promoted.core.leadership_proof import LeaseEvidence
from orchidwind.promoted.core.promotion_lock import HeldLock
from orchidwind.promoted.core.roster import PromotionRecord
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.core.supervision import GroupSupervisor
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind_bench.promoted.exploration.instance_calls import InstanceOperation
from orchidwind_bench.promoted.exploration.performer import Performer, Statuses
from orchidwind_bench.promoted.exploration.proxy_calls import ProxyCalls
from orchidwind_bench.promoted.exploration.proxy_commits import ProxyCommits
from orchidwind_bench.promoted.exploration.proxy_lease import ProxyLease
from orchidwind_bench.promoted.exploration.proxy_lock import ProxyLock
from orchidwind_bench.promoted.exploration.proxy_reads import ProxyReads
from orchidwind_bench.promoted.exploration.proxy_views import ProxyViews
from orchidwind_bench.promoted.exploration.surroundings import ProxyLife, Surroundings
from orchidwind_bench.promoted.exploration.timeline import Answers, Process

# A proxy supervises its group again after this many seconds at the latest; chosen: no cause of a
# change of primary is then found later than one call to an instance takes.
SUPERVISE_SECONDS = 0.06


class StepListener(Protocol):
    """Called before each step of a change of primary."""

    def before_step(self, proxy: str, step: FailoverStep) -> None:
        """A step begins."""


class ModelProxy:
    """One life of a proxy: after a kill, a new one of the same name begins."""

    def __init__(
        self, name: str, around: Surroundings, steps: StepListener, writes: bool = True
    ) -> None:
        """`writes`: its caller sends commits, not reads only."""
        self.name = name
        self.life = ProxyLife(name, around)
        # Whether a change of primary runs.
        self.changing = False
        self._around = around
        self._steps = steps
        self._views = ProxyViews(self.life, around)
        self._calls = ProxyCalls(self.life, around, self._views)
        self._lock = ProxyLock(self.life, around, self._views)
        self._lease = ProxyLease(self.life, around, self._lock, self._calls)
        self._commits = ProxyCommits(self, self.life, around, self._lease)
        reads = ProxyReads(self.life, around, self._lease, self.topology)
        self._supervisor = GroupSupervisor(self.topology)
        self._views.on_watched = self._lock.watched
        self.life.start(self._views.follow())
        self.life.start(self._supervise())
        self.life.start(self._lease.keep())
        if writes:
            self.life.start(self._commits.send())
        self.life.start(reads.send())
        self.life.start(self._views.keep_roster())
        self.life.start(self._calls.forget())

    def now(self) -> float:
        """The steady clock, in seconds."""
        return self.life.now()

    # --- what the acknowledgement rule asks ---------------------------------------------------

    @property
    def topology(self) -> GroupTopology:
        """What the proxy knows of the group."""
        return self._views.topology

    def lease_evidence(self, instance: str, term: int) -> LeaseEvidence:
        """What the lead lease says now of an instance that led in a term."""
        return self._lease.lease_evidence(instance, term)

    def free_revision(self) -> StoreRevision | None:
        """The promotion lock's revision while it is known to be free."""
        return self._lease.free_revision()

    def proven_under(self, instance: str, revision: StoreRevision | None) -> None:
        """An instance was proven to lead by a query sent while the lock stood at a revision."""
        self._lease.proven_under(instance, revision)

    def listed(self) -> tuple[str, ...]:
        """The instances that the directory lists, as this proxy knows."""
        return self._views.listed()

    def stays(self, instance: str) -> bool:
        """Whether an instance is not about to leave, as the directory says."""
        return self._views.stays(instance)

    def last_promotion(self) -> PromotionRecord | None:
        """The last promotion, as far as this proxy knows the roster."""
        return self._views.last_promotion()

    def ask_other_listed(self) -> Process[Statuses]:
        """The statuses of all listed instances but the primary; others share the query."""
        return self._calls.ask_other_listed()

    # --- what the performer asks --------------------------------------------------------------

    def take_lock(self) -> Process[HeldLock | None]:
        """Take the promotion lock; None where another holds it or the store does not answer."""
        return self._lock.take()

    def release_lock(self, held: HeldLock) -> Process[None]:
        """Give the lock back."""
        return self._lock.release(held)

    def lock_usable(self, held: HeldLock) -> bool:
        """Whether a call may still be begun under the promotion lock."""
        return self._lock.usable(held)

    def wait_for_others(
        self, token: StoreRevision, taken_at: float
    ) -> Process[AcknowledgedCommits | None]:
        """Wait until no proxy relies on the old primary; what all have acknowledged."""
        return self._lease.wait_for_others(token, taken_at)

    def call_all(
        self, instances: tuple[str, ...], name: str, operation: InstanceOperation, urgent: bool
    ) -> Process[Statuses]:
        """Call instances at the same time; the statuses of those that answered."""
        return self._calls.call_all(instances, name, operation, urgent)

    def record_promotion(self, record: PromotionRecord) -> Process[bool]:
        """Write a promotion into the roster; whether it surely stands there."""
        return self._views.record_promotion(record)

    def promote(self, instance: str, token: int) -> Process[PromotionAnswer]:
        """Call the platform."""
        answers = Answers({"answer"}, self.now() + PROMOTION_CALL_SECONDS)
        self._around.platform.promote(self.name, instance, token, answers)
        yield answers
        answer = answers.got.get("answer", PromotionAnswer.UNKNOWN)
        assert isinstance(answer, PromotionAnswer)
        return answer

    def read_members(self, reason: FailoverReason) -> Process[FailoverPlan | None]:
        """Plan from views read anew; None where the store does not answer."""
        if not (yield from self._views.read_views()):
            return None
        return self._supervisor.plan(self.now(), reason, self._views.roster_known)

    def before_step(self, step: FailoverStep) -> None:
        """A step of a change of primary begins."""
        self.life.note(str(step))
        self._steps.before_step(self.name, step)

    # --- supervision --------------------------------------------------------------------------

    def _supervise(self) -> Process[None]:
        fraction = 0.1 if self.name.endswith("1") else 0.6
        while True:
            decision = self._supervisor.decide(
                self.now(),
                self._commits.take_suspects(),
                self._commits.oldest_write(),
                fraction,
                self._views.roster_known,
            )
            for instance in decision.ask:
                self.life.start(self._ask_soon(instance))
            held = self._lock.held_by_another()
            if decision.plan is not None and not self.changing and not held:
                self.changing = True
                self.life.start(self._change_primary(decision.plan.reason))
            yield min(decision.again_after, SUPERVISE_SECONDS)

    def _ask_soon(self, instance: str) -> Process[None]:
        yield from self._calls.ask((instance,))

    def _change_primary(self, reason: FailoverReason) -> Process[None]:
        plan = yield from self.read_members(reason)
        if plan is None:
            self._supervisor.ended(self.now(), FailoverOutcome.LOCK_HELD)
            self.changing = False
            return
        self.life.note(
            f"plans, {reason.value}: members {','.join(plan.members)}"
            f" old primary {plan.old_primary} led term {plan.led_term}"
        )
        flow = self._around.logic.change_primary(plan)
        try:
            result = yield from Performer(self, plan).drive(flow)
        except Exception as error:  # noqa: BLE001 - as in the product, the task ends, the proxy goes on
            self._around.checks.ended_by_error(self.now(), self.name, error)
            self.changing = False
            return
        self.life.note(f"ends: {result.outcome.value} {result.primary} {result.term}")
        self._supervisor.ended(self.now(), result.outcome)
        self.changing = False
