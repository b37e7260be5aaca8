"""The rule by which a confirmed commit may be acknowledged, one input at a time."""

import pytest
from msgspec.structs import replace

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.commit_acknowledgement import (
    CommitDecision,
    ConfirmedCommit,
    ReplicaEvidence,
    decide_by_lease,
    decide_by_replicas,
    decide_by_successor,
)
from orchidwind.promoted.core.leadership_proof import LeaseEvidence, ProvenLeadership
from orchidwind.promoted.core.roster import PromotionRecord
from orchidwind.promoted.core.status_rounds import StatusRound, instances_to_ask, must_answer
from orchidwind.shared.core.positions import Position

COMMIT = ConfirmedCommit("p", Position(2, 7))
LEASED = LeaseEvidence(True, 4, ProvenLeadership("p", 4), replaced=False)
UNLEASED = replace(LEASED, covers=False)
HOLDER = InstanceStatus("a", InstanceRole.REPLICA, 2, Position(2, 7), 0, 0)
ROUND = StatusRound("p", frozenset("a"), (HOLDER,))
ANSWERS = ReplicaEvidence(ROUND, frozenset("pa"), 1)


def answers_of(*statuses, must_answer="a"):
    return replace(ANSWERS, answered=StatusRound("p", frozenset(must_answer), statuses))


def test_a_proven_lead_under_the_lease_acknowledges_without_asking():
    assert decide_by_lease(COMMIT, LEASED) is CommitDecision.ACKNOWLEDGE


@pytest.mark.parametrize(
    "lease",
    [
        UNLEASED,
        replace(LEASED, proven=None),
        replace(LEASED, proven=ProvenLeadership("a", 4)),
        replace(LEASED, lock_revision=6),
        replace(LEASED, lock_revision=None),
        replace(LEASED, replaced=True),
    ],
)
def test_each_part_of_the_leases_proof_is_needed(lease):
    assert decide_by_lease(COMMIT, lease) is CommitDecision.NOT_PROVEN


@pytest.mark.parametrize(
    ("start", "led_term", "decision"),
    [
        (Position(2, 7), 3, CommitDecision.ACKNOWLEDGE),
        (Position(2, 6), 3, CommitDecision.LEFT_OUT),
        (Position(2, 7), 0, CommitDecision.NOT_PROVEN),
        (Position(3, 9), 3, CommitDecision.NOT_PROVEN),
    ],
)
def test_the_log_that_a_successor_began_with_decides_once_it_leads(start, led_term, decision):
    last = PromotionRecord("a", 3, start, token=5)
    assert decide_by_successor(COMMIT, last, led_term) is decision
    assert decide_by_successor(COMMIT, None, led_term) is CommitDecision.NOT_PROVEN
    same_term = replace(last, term=2)
    assert decide_by_successor(COMMIT, same_term, led_term) is CommitDecision.NOT_PROVEN


def test_a_listed_replica_that_holds_the_commit_is_enough_where_no_fence_is_seen():
    assert decide_by_replicas(COMMIT, UNLEASED, ANSWERS) is CommitDecision.ACKNOWLEDGE
    assert decide_by_replicas(COMMIT, LEASED, ANSWERS) is CommitDecision.ACKNOWLEDGE


@pytest.mark.parametrize(
    "answers",
    [
        answers_of(),
        replace(ANSWERS, staying=frozenset("p")),
        replace(ANSWERS, synchronous_replicas=2),
        answers_of(replace(HOLDER, fence_term=3)),
        answers_of(replace(HOLDER, term=3)),
        answers_of(replace(HOLDER, received=Position(2, 6))),
        answers_of(replace(HOLDER, role=InstanceRole.PRIMARY)),
        answers_of(replace(HOLDER, instance="p")),
    ],
)
def test_each_part_of_the_replicas_proof_is_needed(answers):
    assert decide_by_replicas(COMMIT, LEASED, answers) is CommitDecision.NOT_PROVEN


def test_without_the_lease_all_that_may_be_fenced_have_to_answer():
    silent = answers_of(HOLDER, must_answer="ab")
    assert decide_by_replicas(COMMIT, UNLEASED, silent) is CommitDecision.NOT_PROVEN
    assert decide_by_replicas(COMMIT, LEASED, silent) is CommitDecision.ACKNOWLEDGE


def test_replicas_are_no_proof_if_an_unseen_promotion_may_have_taken_effect():
    unseen = replace(LEASED, replaced=True)
    assert decide_by_replicas(COMMIT, unseen, ANSWERS) is CommitDecision.NOT_PROVEN


def test_which_instances_are_asked_and_which_must_answer():
    last = PromotionRecord("p", 2, Position(1, 3), token=5, replaced="old")
    required = must_answer(["p", "a", "b", "old"], "p", last)
    assert required == frozenset("ab")
    listed, unreachable = ["p", "a", "b", "old"], frozenset(["b", "old"])
    assert instances_to_ask(listed, "p", required, unreachable, lease_covers=False) == frozenset(
        "ab"
    )
    assert instances_to_ask(listed, "p", required, unreachable, lease_covers=True) == frozenset("a")
