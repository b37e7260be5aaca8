"""When a proxy of the model acknowledges a commit: the product's rule, each part removable.

What for: the product's guard waits by asyncio, so its loop is written here again as a process. The
rule itself is the product's (`core/commit_acknowledgement.py`); a guard is left out by hiding from
the rule what the guard looks at. Owns: nothing. Relies on: the model's proxy for all inputs.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from msgspec.structs import replace

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.commit_acknowledgement import (
    PROOF_RETRY_SECONDS,
    CommitDecision,
    ConfirmedCommit,
    ReplicaEvidence,
    decide_by_lease,
    decide_by_replicas,
    decide_by_successor,
)
from orchidwind.promoted.core.leadership_proof import LeaseEvidence
from orchidwind.promoted.core.roster import PromotionRecord
from orchidwind.promoted.core.status_rounds import StatusRound, must_answer
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.shared.core.positions import Position
from orchidwind_bench.promoted.exploration.instances import Commit
from orchidwind_bench.promoted.exploration.timeline import Process


class AcknowledgingProxy(Protocol):
    """What a rule needs of the proxy."""

    def now(self) -> float:
        """The proxy's steady clock, in seconds."""

    def lease_evidence(self, instance: str, term: int) -> LeaseEvidence:
        """What the lead lease says now of an instance that led in a term."""

    def free_revision(self) -> StoreRevision | None:
        """The promotion lock's revision while it is known to be free."""

    def proven_under(self, instance: str, revision: StoreRevision | None) -> None:
        """An instance was proven to lead by a query sent while the lock stood at a revision."""

    @property
    def topology(self) -> GroupTopology:
        """What the proxy knows of the group."""

    def listed(self) -> tuple[str, ...]:
        """The instances that the directory lists, as this proxy knows."""

    def stays(self, instance: str) -> bool:
        """Whether an instance is not about to leave, as the directory says."""

    def last_promotion(self) -> PromotionRecord | None:
        """The last promotion, as far as this proxy knows the roster."""

    def ask_other_listed(self) -> Process[dict[str, InstanceStatus]]:
        """The statuses of all listed instances but the primary; others share the query."""


AcknowledgementRule = Callable[[AcknowledgingProxy, str, Commit, float], Process[bool]]


def at_once(
    proxy: AcknowledgingProxy, primary: str, commit: Commit, give_up: float
) -> Process[bool]:
    """A commit that the primary confirms is acknowledged."""
    return True
    yield 0.0


@dataclass(frozen=True, slots=True)
class GuardedCommits:
    """A commit is acknowledged by the product's rule.

    `give_up` of a call is when the caller's time is over, in seconds of the steady clock.
    `asks_fences`: no replica that answers may be fenced or know of a later term. `asks_holder`: a
    listed replica has to hold the commit. `asks_lead`: the lead has to be proven under the lease.
    """

    asks_fences: bool = True
    asks_holder: bool = True
    asks_lead: bool = True

    def __call__(
        self, proxy: AcknowledgingProxy, primary: str, commit: Commit, give_up: float
    ) -> Process[bool]:
        """Whether the commit may be acknowledged; returns once that is known."""
        confirmed = ConfirmedCommit(primary, Position(commit.term, commit.number))
        while proxy.now() < give_up:
            decision = self._decide_without_asking(proxy, confirmed)
            if decision is CommitDecision.NOT_PROVEN:
                revision = proxy.free_revision()
                statuses = yield from proxy.ask_other_listed()
                decision = self._decide_by_replicas(proxy, confirmed, statuses)
                if decision is CommitDecision.ACKNOWLEDGE:
                    proxy.proven_under(primary, revision)
            if decision is not CommitDecision.NOT_PROVEN:
                return decision is CommitDecision.ACKNOWLEDGE
            yield PROOF_RETRY_SECONDS
        return False

    def _decide_without_asking(
        self, proxy: AcknowledgingProxy, commit: ConfirmedCommit
    ) -> CommitDecision:
        if not self.asks_lead and proxy.free_revision() is not None:
            return CommitDecision.ACKNOWLEDGE
        term = proxy.topology.primary_term(commit.primary)
        decision = CommitDecision.NOT_PROVEN
        if self.asks_lead:
            decision = decide_by_lease(commit, proxy.lease_evidence(commit.primary, term))
        if decision is not CommitDecision.NOT_PROVEN:
            return decision
        last = proxy.last_promotion()
        led_term = proxy.topology.primary_term(last.instance) if last is not None else 0
        return decide_by_successor(commit, last, led_term)

    def _decide_by_replicas(
        self,
        proxy: AcknowledgingProxy,
        commit: ConfirmedCommit,
        statuses: dict[str, InstanceStatus],
    ) -> CommitDecision:
        lease = proxy.lease_evidence(commit.primary, commit.position.term)
        required = must_answer(proxy.listed(), commit.primary, proxy.last_promotion())
        evidence = ReplicaEvidence(
            StatusRound(commit.primary, required, tuple(statuses.values())),
            frozenset(name for name in statuses if proxy.stays(name)),
            proxy.topology.settings.synchronous_replicas,
        )
        if not self.asks_fences:
            evidence = _without_fences(evidence)
        if not self.asks_holder:
            evidence = _with_a_holder(evidence, commit)
        return decide_by_replicas(commit, lease, evidence)


def _without_fences(evidence: ReplicaEvidence) -> ReplicaEvidence:
    """The same answers, as if none was fenced or knew of a later term."""
    unfenced = tuple(replace(item, term=0, fence_term=0) for item in evidence.answered.statuses)
    answered = replace(evidence.answered, statuses=unfenced, must_answer=frozenset())
    return replace(evidence, answered=answered)


def _with_a_holder(evidence: ReplicaEvidence, commit: ConfirmedCommit) -> ReplicaEvidence:
    """The same answers, and enough replicas that hold the commit."""
    wanted = max(evidence.synchronous_replicas, 1)
    names = [f"holder {number}" for number in range(wanted)]
    holders = tuple(
        InstanceStatus(name, InstanceRole.REPLICA, 0, commit.position, 0, 0) for name in names
    )
    answered = replace(evidence.answered, statuses=(*evidence.answered.statuses, *holders))
    return replace(evidence, answered=answered, staying=evidence.staying | set(names))
