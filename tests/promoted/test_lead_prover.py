"""Waits for a proof of the lead end with the proxy, and tell nothing that was not shown."""

import asyncio

import pytest

from orchidwind.promoted.core.configuration import PromotedGroupSettings
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.group.lead_prover import LeadProver
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual


def prover_of_a_silent_replica():
    prover = LeadProver(
        GroupTopology(PromotedGroupSettings("g", 100, 1), "zone"), leases=None, ask=None
    )
    # The query is under way and nobody answers it.
    prover._query._send = asyncio.Event().wait
    return prover


def test_a_command_that_waits_while_its_proxy_closes_goes_on_without_the_proof():
    async def work():
        prover = prover_of_a_silent_replica()
        waiting = asyncio.create_task(prover.proves(prover.join(), 1))
        await asyncio.sleep(0.1)
        prover.close()
        assert await waiting is False

    run_virtual(work())


def test_a_wait_that_is_given_up_leaves_the_query_to_the_others():
    async def work():
        prover = prover_of_a_silent_replica()
        query = prover.join()
        waiting = asyncio.create_task(prover.proves(query, 1))
        await asyncio.sleep(0.1)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        assert not query.done()
        prover.close()

    run_virtual(work())
