"""Decides whether a commit may be acknowledged or was lost in a change of primary.

`core/commit_acknowledgement.py` has the rules. The guard gathers their inputs for one group: it
asks the listed instances for their statuses, and retries until the rules reach a decision.

The guard owns the current round of status queries, which all waiting commits share. It depends on
the group's topology and leadership prover, and on a status call that returns in bounded time, None
if there is no answer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

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
from orchidwind.promoted.core.status_rounds import StatusRound
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.group.leadership_prover import LeadershipProver
from orchidwind.promoted.group.listed_statuses import (
    AskStatus,
    ListedInstances,
    answers_since,
    ask_listed,
)
from orchidwind.promoted.group.shared_query import SharedQuery


class CommitGuard:
    """Decides when a commit that the group's primary confirmed may be acknowledged."""

    def __init__(
        self,
        topology: GroupTopology,
        prover: LeadershipProver,
        ask: AskStatus,
    ) -> None:
        self._topology = topology
        self._prover = prover
        self._ask = ask
        self._loop = asyncio.get_running_loop()
        self._round: SharedQuery[StatusRound] = SharedQuery(self._ask_listed)

    def lease_allows_acknowledgement(self, commit: ConfirmedCommit) -> bool:
        """Whether the leadership lease alone permits acknowledging a commit now."""
        return self._decide_by_lease(commit) is CommitDecision.ACKNOWLEDGE

    async def may_acknowledge(
        self, commit: ConfirmedCommit, on_unproven: Callable[[], None]
    ) -> bool:
        """Wait for a decision: True if a commit may be acknowledged, False if it was lost.

        Retries until it is cancelled while there is no decision. `on_unproven` is called after each
        attempt that reached none.
        """
        while True:
            decision = self._decide_without_asking(commit)
            if decision is CommitDecision.NOT_PROVEN:
                decision = await self._decide_by_replicas(commit)
            if decision is not CommitDecision.NOT_PROVEN:
                return decision is CommitDecision.ACKNOWLEDGE
            on_unproven()
            await asyncio.sleep(PROOF_RETRY_SECONDS)

    def _decide_by_lease(self, commit: ConfirmedCommit) -> CommitDecision:
        self._prover.request_lease()
        term = self._topology.primary_term(commit.primary)
        lease = self._prover.evidence(commit.primary, term, self._loop.time())
        return decide_by_lease(commit, lease)

    def _decide_without_asking(self, commit: ConfirmedCommit) -> CommitDecision:
        decision = self._decide_by_lease(commit)
        if decision is not CommitDecision.NOT_PROVEN:
            return decision
        last = self._topology.last_promotion
        led_term = self._topology.primary_term(last.instance) if last is not None else 0
        return decide_by_successor(commit, last, led_term)

    async def _decide_by_replicas(self, commit: ConfirmedCommit) -> CommitDecision:
        lock_revision = self._prover.lock_revision
        query = self._round.join()
        await asyncio.wait({query})
        if query.cancelled():  # the group is being closed
            return CommitDecision.NOT_PROVEN
        lease = self._lease_evidence(commit)
        decision = decide_by_replicas(commit, lease, self._replica_evidence(query.result()))
        if decision is CommitDecision.ACKNOWLEDGE:
            self._prover.note_proven(commit.primary, lock_revision)
        return decision

    def _lease_evidence(self, commit: ConfirmedCommit) -> LeaseEvidence:
        """The lease's evidence now for the primary in the commit's own term."""
        return self._prover.evidence(commit.primary, commit.position.term, self._loop.time())

    def _replica_evidence(self, answered: StatusRound) -> ReplicaEvidence:
        views = self._topology.instances.items()
        return ReplicaEvidence(
            answered,
            frozenset(name for name, view in views if not view.entry.draining),
            self._topology.settings.synchronous_replicas,
        )

    async def _ask_listed(self) -> StatusRound:
        covers, since = self._prover.lease_covers_now(), self._loop.time()
        listed = ListedInstances.of(self._topology)
        await ask_listed(self._topology, listed, self._ask, covers, since)
        return answers_since(self._topology, since)

    def close(self) -> None:
        """Cancel the pending queries."""
        self._round.close()
