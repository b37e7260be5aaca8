"""When the known primary of a group is proven to lead. No I/O, no clock.

Reads of the latest state, and commits, may rely on a primary only while no other instance leads.
There are two proofs:

- A round of status queries (`shows_no_later_term`). Before it promotes another instance, a change
  of primary has the primary's own answer that it leads no longer, or has fenced all members but
  `synchronous_replicas` of them. A fence stays until the replica follows a later term, or the
  primary has answered that it leads no longer (`failover_fences`). So the primary must answer that
  it leads, and no other listed instance may follow or be fenced by a later term. One replica would
  not do: it may have missed the fence, or lost it in a restart. The same instances have to answer
  as for a commit (`status_rounds`); under the lease, where no change is going on, those that can be
  reached.
- The leadership lease covers the moment, and the leadership was proven by a query after the
  promotion lock was last released: under a lease no primary can be replaced.

Neither counts if the roster names a later promotion (`PromotionRecord.replaces`).

Owns: nothing. Relies on: `leadership_lease` for how long a lease covers, `failover` for the fences.
"""

from __future__ import annotations

from msgspec import Struct

from orchidwind.promoted.core.commands import InstanceRole
from orchidwind.promoted.core.status_rounds import StatusRound
from orchidwind.promoted.core.store_revision import StoreRevision


class ProvenLeadership(Struct, frozen=True):
    """Proof that an instance led, by a query that was sent while the promotion lock was free.

    `lock_revision` is the revision of the lock at that time: while it stays the same, no change of
    primary has begun.
    """

    instance: str
    lock_revision: StoreRevision


class LeaseEvidence(Struct, frozen=True):
    """What a proxy knows from its leadership lease.

    `covers`: no primary of any group can be replaced at the moment in question. `lock_revision`:
    the revision of the promotion lock while it is known to be free, else None. `proven`: the last
    proof of leadership. `replaced`: the roster names a later promotion of another instance.
    """

    covers: bool
    lock_revision: StoreRevision | None
    proven: ProvenLeadership | None
    replaced: bool


def lease_proves_leadership(instance: str, lease: LeaseEvidence) -> bool:
    """Whether the lease proves that an instance leads, so that no replica need be asked."""
    proven = lease.proven
    if not lease.covers or proven is None or lease.replaced:
        return False
    return proven.instance == instance and proven.lock_revision == lease.lock_revision


def shows_no_later_term(answered: StatusRound, term: int, lease_covers: bool) -> bool:
    """Whether answers prove that no primary after `term` had begun when they were asked for.

    The answer of the primary itself has to be one of them.
    """
    leads = any(
        status.instance == answered.primary
        and status.role is InstanceRole.PRIMARY
        and status.term == term
        for status in answered.statuses
    )
    return leads and others_show_no_later_term(answered, term, lease_covers)


def others_show_no_later_term(answered: StatusRound, term: int, lease_covers: bool) -> bool:
    """Whether the answers of the other instances agree with that; the primary's is still needed."""
    others = [status for status in answered.statuses if status.instance != answered.primary]
    if any(status.newest_term > term for status in others):
        return False
    replicas = [status for status in others if status.role is InstanceRole.REPLICA]
    return bool(replicas) and (lease_covers or not answered.missing)
