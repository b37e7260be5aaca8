"""When a proxy may acknowledge a commit that the primary has confirmed. No I/O, no clock.

An instance confirms a commit once a replica has received it. The instance does not know whether a
change of primary counts that replica: it may have joined a moment ago, or have lost its fence in a
restart. So a proxy acknowledges a commit only if no change of primary can lose it, which one of
three rules shows:

1. `decide_by_lease`: the leadership lease covers this moment and the primary's leadership is
   proven. A proxy that changes a primary waits until all leases have ended, and only then reads
   which instances may have confirmed commits.
2. `decide_by_successor`: a change of primary is over, and the log with which the new primary began
   has the commit. If that log lacks it, the commit is lost for good.
3. `decide_by_replicas`: enough listed replicas hold the commit and are not about to leave, namely
   as many as must receive a commit, and at least one. In addition, all listed instances (under the
   lease: only those that answer) answer that they are not fenced and know of no later term. A proxy
   that fences them afterwards finds the commit there.

Rules 1 and 3 acknowledge no commit of a primary that is replaced by a later promotion in the roster
(`PromotionRecord.replaces`). While nothing is proven, the driver asks again after
`PROOF_RETRY_SECONDS`, until the deadline of the caller's request.

Without these rules the fault schedules of `test_change_of_primary.py` and
`test_commits_under_faults.py` (tests/promoted) break promises, 4 to 250 times each in one run.

Owns: nothing. Relies on: `leadership_proof` for the lease, `log_positions` for the comparison of
logs, `status_rounds` for who is asked, `failover` for the order of lock, fences and leases that
makes each of the three rules safe.
"""

from __future__ import annotations

from enum import Enum, unique

from msgspec import Struct

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.leadership_proof import LeaseEvidence, lease_proves_leadership
from orchidwind.promoted.core.log_positions import holds
from orchidwind.promoted.core.roster import PromotionRecord
from orchidwind.promoted.core.status_rounds import StatusRound
from orchidwind.shared.core.positions import Position

# Seconds between two rounds of status queries for one commit. A replica receives a commit within
# some milliseconds; more frequent queries would only keep it busy.
PROOF_RETRY_SECONDS = 0.02


@unique
class CommitDecision(Enum):
    """What the proxy knows about a commit that the primary has confirmed."""

    ACKNOWLEDGE = "acknowledge"
    LEFT_OUT = "left out"
    NOT_PROVEN = "not yet proven"


class ConfirmedCommit(Struct, frozen=True):
    """A commit that `primary` confirmed; `position` is the end of its log with the commit."""

    primary: str
    position: Position


class ReplicaEvidence(Struct, frozen=True):
    """What the listed instances answered to one round of status queries.

    `staying`: known instances that have not announced their end. `synchronous_replicas`: how many
    replicas must receive a commit before the primary confirms it.
    """

    answered: StatusRound
    staying: frozenset[str]
    synchronous_replicas: int


def decide_by_lease(commit: ConfirmedCommit, lease: LeaseEvidence) -> CommitDecision:
    """Decide by the leadership lease alone, without any query."""
    proven = lease_proves_leadership(commit.primary, lease)
    return CommitDecision.ACKNOWLEDGE if proven else CommitDecision.NOT_PROVEN


def decide_by_successor(
    commit: ConfirmedCommit, last_promotion: PromotionRecord | None, led_term: int
) -> CommitDecision:
    """Decide by the log with which the next primary began.

    `last_promotion` is the record in the group's roster. `led_term` is the term in which that
    instance is known to lead, 0 if it is not: a recorded promotion may not take effect.
    """
    last, position = last_promotion, commit.position
    if last is None or last.term <= position.term or last.start.term > position.term:
        return CommitDecision.NOT_PROVEN
    if led_term < last.term:
        return CommitDecision.NOT_PROVEN
    return CommitDecision.ACKNOWLEDGE if holds(last.start, position) else CommitDecision.LEFT_OUT


def decide_by_replicas(
    commit: ConfirmedCommit, lease: LeaseEvidence, replicas: ReplicaEvidence
) -> CommitDecision:
    """Decide by a round of status queries that began after the commit was confirmed."""
    answered = replicas.answered
    if any(status.newest_term > commit.position.term for status in answered.statuses):
        return CommitDecision.NOT_PROVEN
    if not lease.covers and answered.missing - {commit.primary}:
        return CommitDecision.NOT_PROVEN
    if lease.replaced:
        return CommitDecision.NOT_PROVEN
    holding = [status for status in answered.statuses if _holds_and_stays(status, commit, replicas)]
    enough = len(holding) >= max(replicas.synchronous_replicas, 1)
    return CommitDecision.ACKNOWLEDGE if enough else CommitDecision.NOT_PROVEN


def _holds_and_stays(
    status: InstanceStatus, commit: ConfirmedCommit, replicas: ReplicaEvidence
) -> bool:
    """Whether a replica holds the commit and is not about to leave."""
    return (
        status.role is InstanceRole.REPLICA
        and status.instance != commit.primary
        and status.instance in replicas.staying
        and holds(status.received, commit.position)
    )
