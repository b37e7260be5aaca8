"""Asks the rule for one commit until it may be acknowledged or is known to be left out.

What for: `core/commit_acknowledgement.py` has the rule; this gathers its inputs for one group, asks
the listed instances for their statuses, and tries again while nothing is proven.

Owns: the round of status queries that is under way, shared by all commits that wait for it.
Relies on: the group's topology and lead prover; a status call that returns None in bounded time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec import Struct

from orchidwind.promoted.core.commands import InstanceStatus
from orchidwind.promoted.core.commit_acknowledgement import (
    PROOF_RETRY_SECONDS,
    CommitVerdict,
    ConfirmedCommit,
    ReplicaEvidence,
    must_answer,
    verdict_by_lease,
    verdict_by_replicas,
    verdict_by_successor,
    worth_asking,
)
from orchidwind.promoted.core.lead_proof import LeaseEvidence
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.group.lead_prover import AskStatus, LeadProver
from orchidwind.promoted.group.shared_query import SharedQuery


class _StatusRound(Struct, frozen=True):
    """One round of status queries: who has to answer, and what came."""

    must_answer: frozenset[str]
    statuses: tuple[InstanceStatus, ...]


class CommitGuard:
    """Decides for one group when a commit that its primary confirmed may be acknowledged."""

    def __init__(
        self,
        topology: GroupTopology,
        prover: LeadProver,
        ask: AskStatus,
    ) -> None:
        self._topology = topology
        self._prover = prover
        self._ask = ask
        self._loop = asyncio.get_running_loop()
        self._round: SharedQuery[_StatusRound] = SharedQuery(self._ask_listed)

    def lease_acknowledges(self, commit: ConfirmedCommit) -> bool:
        """Whether the lead lease alone lets a commit be acknowledged at this moment."""
        return self._verdict_by_lease(commit) is CommitVerdict.ACKNOWLEDGE

    async def may_acknowledge(
        self, commit: ConfirmedCommit, on_unproven: Callable[[], None]
    ) -> bool:
        """Wait until a commit may be acknowledged, False where it is left out.

        Ends when it is cancelled where neither is found. `on_unproven` is called after each attempt
        that proved nothing.
        """
        while True:
            verdict = self._verdict_without_asking(commit)
            if verdict is CommitVerdict.NOT_PROVEN:
                verdict = await self._verdict_by_replicas(commit)
            if verdict is not CommitVerdict.NOT_PROVEN:
                return verdict is CommitVerdict.ACKNOWLEDGE
            on_unproven()
            await asyncio.sleep(PROOF_RETRY_SECONDS)

    def _verdict_by_lease(self, commit: ConfirmedCommit) -> CommitVerdict:
        self._prover.want_lease()
        term = self._topology.primary_term(commit.primary)
        lease = self._prover.evidence(commit.primary, term, self._loop.time())
        return verdict_by_lease(commit, lease)

    def _verdict_without_asking(self, commit: ConfirmedCommit) -> CommitVerdict:
        verdict = self._verdict_by_lease(commit)
        if verdict is not CommitVerdict.NOT_PROVEN:
            return verdict
        last = self._topology.last_promotion
        led_term = self._topology.primary_term(last.instance) if last is not None else 0
        return verdict_by_successor(commit, last, led_term)

    async def _verdict_by_replicas(self, commit: ConfirmedCommit) -> CommitVerdict:
        lock_revision = self._prover.lock_revision
        query = self._round.join()
        await asyncio.wait({query})
        if query.cancelled():  # this proxy closes its groups
            return CommitVerdict.NOT_PROVEN
        lease = self._lease_for(commit)
        verdict = verdict_by_replicas(commit, lease, self._evidence(query.result()))
        if verdict is CommitVerdict.ACKNOWLEDGE:
            self._prover.proven_under(commit.primary, lock_revision)
        return verdict

    def _lease_for(self, commit: ConfirmedCommit) -> LeaseEvidence:
        """What the lease says now of the primary in the commit's own term."""
        return self._prover.evidence(commit.primary, commit.position.term, self._loop.time())

    def _evidence(self, answered: _StatusRound) -> ReplicaEvidence:
        views = self._topology.instances.items()
        return ReplicaEvidence(
            answered.statuses,
            answered.must_answer,
            frozenset(name for name, view in views if not view.entry.draining),
            self._topology.settings.synchronous_replicas,
        )

    async def _ask_listed(self) -> _StatusRound:
        """The statuses of the listed instances but the primary, if they answer."""
        primary = self._topology.primary(self._loop.time())
        led = primary.instance if primary is not None else ""
        views = {name: view for name, view in self._topology.instances.items() if view.listed}
        required = must_answer(views, led, self._topology.last_promotion)
        unreachable = frozenset(
            name for name, view in views.items() if view.unreachable_since is not None
        )
        asked = worth_asking(views, led, required, unreachable, self._prover.covered_now())
        answers = await asyncio.gather(*(self._ask(name) for name in sorted(asked)))
        return _StatusRound(required, tuple(item for item in answers if item is not None))

    def close(self) -> None:
        """Give up what is under way."""
        self._round.close()
