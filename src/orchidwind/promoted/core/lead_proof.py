"""When the known primary of a group is proven to lead. No I/O, no clock.

What for: reads of the latest state, and commits, may rely on a primary only while no other leads.
Two proofs count:

- a replica answers that it neither follows nor is fenced by a later term. A change of primary
  fences the replicas that could confirm commits before it promotes, so one without a later fence
  shows that no later primary had begun when the query was sent;
- the lead lease covers the moment, and the lead was proven once by a query since the promotion lock
  was last given back: under a lease nobody can change a primary.

Neither counts where the roster names a later promotion that may have taken effect out of sight.

Owns: nothing. Relies on: `lead_lease` for how long a lease covers, `failover` for the fences.
"""

from __future__ import annotations

from msgspec import Struct

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.store_revision import StoreRevision


class ProvenLead(Struct, frozen=True):
    """An instance was shown to lead by a query sent while the promotion lock was free.

    `lock_revision` is the lock's revision then: while it is the same, nobody has begun a change.
    """

    instance: str
    lock_revision: StoreRevision


class LeaseEvidence(Struct, frozen=True):
    """What a proxy knows by its lead lease.

    `covers`: nobody can change a primary of any group at the moment in question. `lock_revision`:
    the promotion lock's revision while it is known to be free, else None. `proven`: the lead that
    was proven last. `successor_may_lead`: the roster names a later promotion of another instance,
    which may have taken effect out of this proxy's sight.
    """

    covers: bool
    lock_revision: StoreRevision | None
    proven: ProvenLead | None
    successor_may_lead: bool


def lease_proves_lead(instance: str, lease: LeaseEvidence) -> bool:
    """Whether the lead lease spares the query of a replica."""
    proven = lease.proven
    if not lease.covers or proven is None or lease.successor_may_lead:
        return False
    return proven.instance == instance and proven.lock_revision == lease.lock_revision


def shows_no_later_term(status: InstanceStatus, term: int) -> bool:
    """Whether an instance's status proves that no primary after `term` had begun when it was asked.

    The proof holds for a replica only: a replaced primary does not know that it was replaced.
    """
    return status.role is InstanceRole.REPLICA and status.newest_term <= term
