"""When a proxy may acknowledge a commit that the primary has confirmed. No I/O, no clock.

What for: an instance confirms a commit once a replica has received it. Whether a change of primary
counts that replica is not known to the instance: it may have joined a moment ago, or have lost its
fence in a restart. So a proxy acknowledges only what no change of primary can leave out:

1. `verdict_by_lease`: the lead lease covers this moment and the lead is proven. Whoever changes a
   primary waits for the end of all leases, and reads afterwards who may have confirmed.
2. `verdict_by_successor`: a change of primary is over, and the new primary's log began with the
   commit in it. Began it without, the commit is left out for good.
3. `verdict_by_replicas`: as many listed replicas as must receive a commit, at least one, hold it
   and are not about to leave, and all listed instances answer that they are neither fenced nor
   know of a later term (under the lease: those that answer). Whoever fences them afterwards finds
   the commit there.

None of them acknowledges where the roster names a later promotion that may have taken effect out
of this proxy's sight. While nothing is proven, the driver asks again after `PROOF_RETRY_SECONDS`;
how long it may go on is the deadline of the caller's request.

With the whole rule removed scripted days of `test_change_of_primary.py` and
`test_commits_under_faults.py` (tests/promoted) break promises, 4 to 250 times each (one play).

Owns: nothing. Relies on: `lead_proof` for the lease, `log_positions` for what a log holds,
`failover` for the order of lock, fences and leases that makes each of the three safe.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, unique

from msgspec import Struct

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.lead_proof import LeaseEvidence, lease_proves_lead
from orchidwind.promoted.core.log_positions import holds
from orchidwind.promoted.core.roster import PromotionRecord
from orchidwind.shared.core.positions import Position

# Seconds between two rounds of status queries for one commit. A replica receives within
# some milliseconds, and asked more often it would only be kept busy.
PROOF_RETRY_SECONDS = 0.02


@unique
class CommitVerdict(Enum):
    """What is known of a commit that the primary has confirmed."""

    ACKNOWLEDGE = "acknowledge"
    LEFT_OUT = "left out"
    NOT_PROVEN = "not yet proven"


class ConfirmedCommit(Struct, frozen=True):
    """A commit that `primary` confirmed; `position` is the end of its log with the commit."""

    primary: str
    position: Position


class ReplicaEvidence(Struct, frozen=True):
    """What the listed instances answered to one round of status queries.

    `statuses`: of those that answered. `must_answer`: see `must_answer`. `staying`: known instances
    that have not announced their end. `synchronous_replicas`: how many must receive a commit before
    the primary confirms it.
    """

    statuses: tuple[InstanceStatus, ...]
    must_answer: frozenset[str]
    staying: frozenset[str]
    synchronous_replicas: int


def verdict_by_lease(commit: ConfirmedCommit, lease: LeaseEvidence) -> CommitVerdict:
    """The verdict without any query: the lead lease alone."""
    proven = lease_proves_lead(commit.primary, lease)
    return CommitVerdict.ACKNOWLEDGE if proven else CommitVerdict.NOT_PROVEN


def verdict_by_successor(
    commit: ConfirmedCommit, last_promotion: PromotionRecord | None, led_term: int
) -> CommitVerdict:
    """The verdict by the log that the next primary began with.

    `last_promotion` is what the group's roster names; `led_term` the term in which that instance is
    known to lead, 0 where it is not: a promotion that is written down may not take effect.
    """
    last, position = last_promotion, commit.position
    if last is None or last.term <= position.term or last.start.term > position.term:
        return CommitVerdict.NOT_PROVEN
    if led_term < last.term:
        return CommitVerdict.NOT_PROVEN
    return CommitVerdict.ACKNOWLEDGE if holds(last.start, position) else CommitVerdict.LEFT_OUT


def must_answer(
    listed: Iterable[str], primary: str, last_promotion: PromotionRecord | None
) -> frozenset[str]:
    """Listed instances whose fence may be the only sign of a change of primary.

    The primary that was replaced last is none of them: the others were fenced against it.
    """
    replaced = last_promotion.replaced if last_promotion is not None else ""
    return frozenset(listed) - {primary, replaced}


def worth_asking(
    listed: Iterable[str],
    primary: str,
    required: frozenset[str],
    unreachable: frozenset[str],
    lease_covers: bool,
) -> frozenset[str]:
    """Whom to ask for a status: the listed instances, without the primary and the hopeless ones.

    One that is known not to answer is asked only where its answer is required (`must_answer`),
    which it is not while the lead lease covers the moment.
    """
    passed_over = unreachable if lease_covers else unreachable - required
    return frozenset(listed) - {primary} - passed_over


def verdict_by_replicas(
    commit: ConfirmedCommit, lease: LeaseEvidence, replicas: ReplicaEvidence
) -> CommitVerdict:
    """The verdict by a round of status queries that began after the commit was confirmed."""
    if any(status.newest_term > commit.position.term for status in replicas.statuses):
        return CommitVerdict.NOT_PROVEN
    if not lease.covers and _some_fence_unseen(commit, replicas):
        return CommitVerdict.NOT_PROVEN
    if lease.successor_may_lead:
        return CommitVerdict.NOT_PROVEN
    holding = [status for status in replicas.statuses if _keeps(status, commit, replicas)]
    enough = len(holding) >= max(replicas.synchronous_replicas, 1)
    return CommitVerdict.ACKNOWLEDGE if enough else CommitVerdict.NOT_PROVEN


def _some_fence_unseen(commit: ConfirmedCommit, replicas: ReplicaEvidence) -> bool:
    """Whether an instance that a change of primary may have fenced has not answered."""
    answered = {status.instance for status in replicas.statuses}
    return bool(replicas.must_answer - answered - {commit.primary})


def _keeps(status: InstanceStatus, commit: ConfirmedCommit, replicas: ReplicaEvidence) -> bool:
    """Whether a replica holds the commit and is not about to leave with it."""
    return (
        status.role is InstanceRole.REPLICA
        and status.instance != commit.primary
        and status.instance in replicas.staying
        and holds(status.received, commit.position)
    )
