"""Proves that a group's known primary still leads: by leadership lease or by asking the instances.

The rules are in `core/leadership_proof.py`. This module gathers their inputs for one group and
sends the status queries.

It owns the pending round of status queries and the last proof of leadership. It depends on the
proxy's lease keeper, the group's topology, and a status call that returns in bounded time, None if
there is no answer. Times are in seconds of the loop's clock.
"""

from __future__ import annotations

import asyncio

from orchidwind.promoted.core.leadership_proof import (
    LeaseEvidence,
    ProvenLeadership,
    lease_proves_leadership,
    others_show_no_later_term,
    shows_no_later_term,
)
from orchidwind.promoted.core.status_rounds import StatusRound
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.group.lease_keeper import LeaseKeeper
from orchidwind.promoted.group.listed_statuses import (
    AskStatus,
    ListedInstances,
    answers_since,
    ask_listed,
)
from orchidwind.promoted.group.shared_query import SharedQuery

StatusTask = asyncio.Task[None]


class LeadershipProver:
    """Proves leadership for requests; they share the status queries sent after their arrival.

    An instance that has answered since a request arrived is not asked again for this request. The
    primary is not asked here: each exchange that needs a proof asks it on its own connection.
    """

    def __init__(self, topology: GroupTopology, leases: LeaseKeeper, ask: AskStatus) -> None:
        self._topology = topology
        self._leases = leases
        self._ask = ask
        self._loop = asyncio.get_running_loop()
        self._query: SharedQuery[None] = SharedQuery(self._ask_listed)
        # The latest arrival of the requests that share the queries.
        self._asked_since = float("-inf")
        self._proven: ProvenLeadership | None = None
        # The lock's revision while it is free, and since when this proxy has known it.
        self._revision: StoreRevision | None = None
        self._revision_since = float("-inf")

    def lease_proves(self, instance: str, arrived_at: float) -> bool:
        """Whether the leadership lease alone proves leadership for a request that arrived then."""
        self._leases.request_renewal()
        term = self._topology.primary_term(instance)
        return lease_proves_leadership(instance, self.evidence(instance, term, arrived_at))

    def evidence(self, instance: str, term: int, at: float) -> LeaseEvidence:
        """The lease's evidence at a time for an instance that was primary in a term."""
        return LeaseEvidence(
            self._leases.covers(at),
            self._leases.free_revision,
            self._proven,
            self._topology.is_replaced(instance, term),
        )

    def lease_covers_now(self) -> bool:
        """Whether the lease now rules out a change of the primary of any group."""
        return self._leases.covers(self._loop.time())

    @property
    def lock_revision(self) -> StoreRevision | None:
        """The promotion lock's revision while the lock is known to be free, else None."""
        return self._leases.free_revision

    def note_proven(self, instance: str, lock_revision: StoreRevision | None) -> None:
        """Record a proof of leadership by a query sent while the lock had this revision."""
        if lock_revision is not None:
            self._proven = ProvenLeadership(instance, lock_revision)

    def request_lease(self) -> None:
        """Acquire or renew the lease for a commit that was sent, before its answer arrives."""
        self._leases.request_renewal()

    def join(self, arrived_at: float) -> StatusTask:
        """Join a round of queries to the instances that have not answered since a time."""
        self._asked_since = max(self._asked_since, arrived_at)
        self._note_revision()
        return self._query.join()

    async def _ask_listed(self) -> None:
        covers, listed = self.lease_covers_now(), ListedInstances.of(self._topology)
        if not covers and listed.required & listed.silent:
            # No proof is possible. The supervisor of the group asks silent instances again.
            return
        await ask_listed(self._topology, listed, self._ask, covers, self._asked_since)

    def _note_revision(self) -> None:
        if self._revision != self._leases.free_revision:
            self._revision = self._leases.free_revision
            self._revision_since = self._loop.time()

    async def others_agree(self, query: StatusTask, term: int, arrived_at: float) -> bool:
        """Whether the other instances' answers since a time show that no later term had begun.

        This is no proof yet, as it lacks the primary's own answer.
        """
        answered = await self._answers(query, arrived_at)
        if answered is None:
            return False
        return others_show_no_later_term(answered, term, self.lease_covers_now())

    async def _answers(self, query: StatusTask, arrived_at: float) -> StatusRound | None:
        """The answers since a time; None if no primary is known or the group is being closed."""
        await asyncio.wait({query})
        if query.cancelled():
            return None
        answered = answers_since(self._topology, arrived_at)
        return answered if answered.primary else None

    async def proves(self, query: StatusTask, term: int, arrived_at: float) -> bool:
        """Whether the answers since a time prove that no primary of a later term existed then."""
        answered = await self._answers(query, arrived_at)
        if answered is None or not shows_no_later_term(answered, term, self.lease_covers_now()):
            return False
        self._note_revision()
        if min(status.asked_at for status in answered.statuses) >= self._revision_since:
            self.note_proven(answered.primary, self._revision)
        return True

    def close(self) -> None:
        """Cancel the pending queries."""
        self._query.close()
