"""Proves that a group's known primary still leads: by leadership lease or by asking the instances.

The rules are in `core/leadership_proof.py`. This module gathers their inputs for one group and
sends the status queries.

It owns the pending round of status queries and the last proof of leadership. It depends on the
proxy's lease keeper, the group's topology, and a status call that returns in bounded time, None if
there is no answer.
"""

from __future__ import annotations

import asyncio

from orchidwind.promoted.core.leadership_proof import (
    LeaseEvidence,
    ProvenLeadership,
    lease_proves_leadership,
    shows_no_later_term,
)
from orchidwind.promoted.core.status_rounds import StatusRound
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.group.lease_keeper import LeaseKeeper
from orchidwind.promoted.group.listed_statuses import AskStatus, ask_listed
from orchidwind.promoted.group.shared_query import SharedQuery

StatusTask = asyncio.Task[StatusRound]


class LeadershipProver:
    """Proves leadership for requests; they share the status queries sent after their arrival."""

    def __init__(self, topology: GroupTopology, leases: LeaseKeeper, ask: AskStatus) -> None:
        self._topology = topology
        self._leases = leases
        self._ask = ask
        self._loop = asyncio.get_running_loop()
        self._query: SharedQuery[StatusRound] = SharedQuery(self._ask_listed)
        self._proven: ProvenLeadership | None = None

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

    def join(self) -> StatusTask:
        """Join a round of status queries that are sent after this call."""
        return self._query.join()

    async def _ask_listed(self) -> StatusRound:
        covers = self.lease_covers_now()
        return await ask_listed(self._topology, self._ask, covers, with_primary=True)

    async def proves(self, query: StatusTask, term: int) -> bool:
        """Whether a round shows that no primary of a later term existed when it was sent."""
        await asyncio.wait({query})
        if query.cancelled():  # the group is being closed
            return False
        if not shows_no_later_term(query.result(), term, self.lease_covers_now()):
            return False
        return self._topology.primary(self._loop.time()) is not None

    def close(self) -> None:
        """Cancel the pending queries."""
        self._query.close()
