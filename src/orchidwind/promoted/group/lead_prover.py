"""Proofs that the known primary of a group still leads: by lead lease, or by asking a replica.

What for: `core/lead_proof.py` has the rule; this gathers its inputs for one group and sends the
status queries.

Owns: the status query that is under way, and the lead that was proven last. Relies on: the proxy's
lease keeper, the group's topology, a status call that returns None in bounded time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from orchidwind.promoted.core.commands import InstanceStatus
from orchidwind.promoted.core.lead_proof import (
    LeaseEvidence,
    ProvenLead,
    lease_proves_lead,
    shows_no_later_term,
)
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.group.lease_keeper import LeaseKeeper
from orchidwind.promoted.group.shared_query import SharedQuery

AskStatus = Callable[[str], Awaitable[InstanceStatus | None]]
StatusTask = asyncio.Task[InstanceStatus | None]


class LeadProver:
    """One status query of a replica serves all requests that came before it was sent."""

    def __init__(self, topology: GroupTopology, leases: LeaseKeeper, ask: AskStatus) -> None:
        self._topology = topology
        self._leases = leases
        self._ask = ask
        self._loop = asyncio.get_running_loop()
        self._query: SharedQuery[InstanceStatus | None] = SharedQuery(self._query_replica)
        self._proven: ProvenLead | None = None

    def leased(self, instance: str, arrived_at: float) -> bool:
        """Whether the lead lease spares the proof for a request that came at a time."""
        self._leases.want()
        term = self._topology.primary_term(instance)
        return lease_proves_lead(instance, self.evidence(instance, term, arrived_at))

    def evidence(self, instance: str, term: int, at: float) -> LeaseEvidence:
        """What the lead lease says, for a time, of an instance that led in a term."""
        return LeaseEvidence(
            self._leases.covers(at),
            self._leases.free_revision,
            self._proven,
            self._topology.successor_may_lead(instance, term),
        )

    def covered_now(self) -> bool:
        """Whether nobody can change a primary at this moment, whoever leads."""
        return self._leases.covers(self._loop.time())

    @property
    def lock_revision(self) -> StoreRevision | None:
        """The promotion lock's revision while it is known to be free."""
        return self._leases.free_revision

    def proven_under(self, instance: str, lock_revision: StoreRevision | None) -> None:
        """An instance was proven to lead by a query sent while the lock stood at a revision."""
        if lock_revision is not None:
            self._proven = ProvenLead(instance, lock_revision)

    def want_lease(self) -> None:
        """A commit is under way: have the lease there when its answer comes, or renewed."""
        self._leases.want()

    def join(self) -> StatusTask:
        """A status query of a replica that is sent after now."""
        return self._query.join()

    async def _query_replica(self) -> InstanceStatus | None:
        for replica in self._topology.replicas(self._loop.time()):
            if self._topology.instances[replica].unreachable_since is not None:
                continue
            status = await self._ask(replica)
            if status is not None:
                return status
        return None

    async def proves(self, query: StatusTask, term: int) -> bool:
        """Whether a query shows that no primary after `term` had begun when it was sent."""
        await asyncio.wait({query})
        if query.cancelled():  # this proxy closes its groups
            return False
        status = query.result()
        if status is None or not shows_no_later_term(status, term):
            return False
        primary = self._topology.primary(self._loop.time())
        if primary is None:
            return False
        return not self._topology.successor_may_lead(primary.instance, primary.term)

    def close(self) -> None:
        """Give up what is under way."""
        self._query.close()
