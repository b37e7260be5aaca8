"""Proofs of leadership by a round of status queries, and waits for them that are cut short.

A wait that is cut short, by a closing proxy or by cancellation, must not report a proof, and must
not cancel the query that other waits share.
"""

import asyncio

import pytest
from msgspec.structs import replace

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.configuration import DirectoryEntry, PromotedGroupSettings
from orchidwind.promoted.core.leadership_proof import shows_no_later_term
from orchidwind.promoted.core.status_rounds import StatusRound
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.group.leadership_prover import LeadershipProver
from orchidwind.promoted.group.listed_statuses import answers_since
from orchidwind.shared.core.positions import Position
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual

PRIMARY = InstanceStatus("p", InstanceRole.PRIMARY, 2, Position(2, 7), 0, 0)
REPLICA = InstanceStatus("a", InstanceRole.REPLICA, 2, Position(2, 7), 0, 0)


def answers(*statuses, must_answer="a"):
    return StatusRound("p", frozenset(must_answer), statuses)


@pytest.mark.parametrize("lease_covers", [False, True])
def test_a_primary_that_answers_and_an_unfenced_replica_prove_the_lead(lease_covers):
    assert shows_no_later_term(answers(PRIMARY, REPLICA), 2, lease_covers)


@pytest.mark.parametrize(
    "answered",
    [
        answers(PRIMARY),
        answers(REPLICA),
        answers(replace(PRIMARY, role=InstanceRole.REPLICA), REPLICA),
        answers(replace(PRIMARY, term=3), REPLICA),
        answers(PRIMARY, replace(REPLICA, fence_term=3)),
        answers(PRIMARY, replace(REPLICA, term=3)),
        answers(PRIMARY, REPLICA, replace(REPLICA, instance="b", fence_term=3)),
        answers(PRIMARY, replace(PRIMARY, instance="b")),
    ],
)
def test_each_part_of_the_proof_is_needed(answered):
    assert not shows_no_later_term(answered, 2, lease_covers=True)


def test_without_the_lease_one_replica_does_not_speak_for_all():
    one_of_two = answers(PRIMARY, REPLICA, must_answer="ab")
    assert not shows_no_later_term(one_of_two, 2, lease_covers=False)
    assert shows_no_later_term(one_of_two, 2, lease_covers=True)


def listed(instance):
    return DirectoryEntry(
        instance=instance,
        group="g",
        host="host",
        port=1,
        zone="zone",
        claims_primary=False,
        draining=False,
        slots=3,
        revision=1,
    )


def test_a_refused_write_is_no_answer_about_a_fence():
    """Guards against a proof by an instance that was not asked since the request arrived.

    That the instance leads no longer is known from the refusal, and its fence from before.
    """

    async def work():
        topology = GroupTopology(PromotedGroupSettings("g", 100, 1), "zone")
        topology.entry_changed(listed("p"))
        topology.take_status(replace(PRIMARY, asked_at=1.0))
        topology.not_primary("p", now=5.0)
        assert answers_since(topology, 1.0).statuses != ()
        assert answers_since(topology, 4.0).statuses == ()

    run_virtual(work())


def prover_of_a_silent_replica():
    class Leases:
        free_revision = None

    prover = LeadershipProver(
        GroupTopology(PromotedGroupSettings("g", 100, 1), "zone"), leases=Leases(), ask=None
    )
    # The query is sent and never answered.
    prover._query._send = asyncio.Event().wait
    return prover


def test_a_wait_ends_without_a_proof_when_the_proxy_closes():
    async def work():
        prover = prover_of_a_silent_replica()
        waiting = asyncio.create_task(prover.proves(prover.join(0.0), 1, 0.0))
        await asyncio.sleep(0.1)
        prover.close()
        assert await waiting is False

    run_virtual(work())


def test_cancelling_a_wait_does_not_cancel_the_shared_query():
    async def work():
        prover = prover_of_a_silent_replica()
        query = prover.join(0.0)
        waiting = asyncio.create_task(prover.proves(query, 1, 0.0))
        await asyncio.sleep(0.1)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        assert not query.done()
        prover.close()

    run_virtual(work())
