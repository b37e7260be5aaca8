"""The simulated instances behave as badly as real ones.

They ship the log in parts, freeze, are released, and answer late.
"""

import asyncio

import pytest

from orchidwind.promoted.core.commands import InstanceMessage, InstanceRole, MessageKind
from orchidwind.promoted.core.configuration import ReadConsistency
from orchidwind_bench.promoted.simulation.connections import SimulatedConnector
from orchidwind_bench.promoted.simulation.groups import (
    DRAIN_SECONDS,
    LONGEST_PROMOTE_SECONDS,
    SHORTEST_PROMOTE_SECONDS,
    SimulatedGroup,
)
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual
from orchidwind_bench.promoted.simulation.world import ConfirmedCommit, ExpectedRequest, World

ZONES = ("zone-a", "zone-b", "zone-c")
ENTRIES = 100


def with_group(work):
    """Run a coroutine function on a group of three instances, without proxies."""

    async def run():
        group = SimulatedGroup(World(1), ZONES, seed=1)
        shipping = asyncio.get_running_loop().create_task(group.keep_shipping())
        try:
            return await work(group)
        finally:
            shipping.cancel()

    return run_virtual(run())


async def link_to(group, name):
    return await SimulatedConnector("proxy-a", group).connect(
        group.world.store.entries[name], lambda: None
    )


def test_a_replica_in_a_new_term_lacks_log_entries_until_it_receives_them():
    async def work(group):
        group.be_unkind()
        late = group.instances["i-2"]
        late.deaf = True
        await group.primary().commit([f"a-{number}" for number in range(ENTRIES)])
        assert group.promote("i-1")
        await asyncio.sleep(LONGEST_PROMOTE_SECONDS + 0.01)
        assert group.primary().name == "i-1"
        late.receive_seconds = 0.02
        late.deaf = False
        seen = set()
        while len(late.log) < ENTRIES:
            await asyncio.sleep(0.005)
            if late.term == 2:
                seen.add(len(late.log))
        assert min(seen) == 0, "it enters the new term before it receives any of its log"
        assert len(seen) > 3, "the log arrives in parts"
        assert late.log == group.primary().log

    with_group(work)


def test_a_position_has_the_term_of_the_last_entry_unless_configured_otherwise():
    async def work(group):
        await group.primary().commit(["a"])
        group.promote("i-1")
        await asyncio.sleep(1.0)
        replica = group.instances["i-2"]
        assert (replica.term, replica.status().received.term) == (2, 1)
        group.positions_carry_followed_term = True
        assert replica.status().received.term == 2

    with_group(work)


def test_a_frozen_instance_processes_messages_after_it_resumes():
    async def work(group):
        link = await link_to(group, "i-1")
        replica = group.instances["i-1"]
        replica.pause(0.5)
        fencing = asyncio.get_running_loop().create_task(link.fence(2))
        await asyncio.sleep(0.4)
        assert not fencing.done()
        assert replica.fence_term == 0
        await asyncio.sleep(0.2)
        assert fencing.result().fence_term == 2

    with_group(work)


def test_a_frozen_primary_answers_nothing_until_it_resumes():
    async def work(group):
        primary = group.primary()
        committing = asyncio.get_running_loop().create_task(primary.commit(["a"]))
        await asyncio.sleep(0.0)
        primary.pause(0.5)
        await asyncio.sleep(0.4)
        assert group.instances["i-1"].log == primary.log, "what was sent before the freeze arrives"
        assert not committing.done()
        await asyncio.sleep(0.2)
        assert committing.done()

    with_group(work)


def test_a_released_instance_is_replaced_and_its_address_and_log_are_reused():
    async def work(group):
        await group.primary().commit(["a"])
        old = group.instances["i-2"]
        joined = group.release("i-2")
        await asyncio.sleep(0.1)
        entries = group.world.store.entries
        assert joined.log == group.primary().log
        assert joined.name in entries
        assert entries["i-2"].draining
        old.deaf = True
        await group.primary().commit(["b"])
        await asyncio.sleep(DRAIN_SECONDS)
        assert "i-2" not in entries
        old.restart()
        assert not old.alive, "a released instance does not restart"
        kept = [entry.request_id for entry in old.log]
        assert kept == ["a"]
        for replica in group.instances.values():
            replica.deaf = True
        await asyncio.sleep(1.0)
        (successor,) = [
            item
            for item in group.instances.values()
            if item.name not in ("i-0", "i-1", "i-2", joined.name)
        ]
        assert successor.port == old.port
        assert successor.role is InstanceRole.REPLICA
        assert [entry.request_id for entry in successor.log][:1] == kept

    with_group(work)


def test_promotions_take_effect_after_varying_times():
    async def work(group):
        group.be_unkind()
        loop = asyncio.get_running_loop()
        times = []
        for name in ("i-1", "i-2", "i-0", "i-1", "i-2", "i-0"):
            sent_at = loop.time()
            assert group.promote(name)
            await asyncio.sleep(LONGEST_PROMOTE_SECONDS + 0.1)
            times.append(group.world.history.promotions[-1][0] - sent_at)
        assert min(times) >= SHORTEST_PROMOTE_SECONDS
        assert max(times) <= LONGEST_PROMOTE_SECONDS
        assert max(times) - min(times) > 0.05

    with_group(work)


def test_acknowledging_a_commit_that_a_promotion_lost_breaks_a_promise():
    async def work(group):
        for name in ("i-1", "i-2"):
            group.instances[name].deaf = name == "i-2"
        await group.primary().commit(["a"])
        history = group.world.history
        history.confirmed["a"] = ConfirmedCommit(group.primary().position, "")
        history.acknowledge(group.world.now, "a")
        assert history.broken == []
        history.roll_back(group.world.now, "i-1", {"a"})
        assert history.broken == []
        history.roll_back(group.world.now, "i-2", set())
        assert len(history.broken) == 1
        history.acknowledge(group.world.now, "a")
        assert len(history.broken) == 2

    with_group(work)


@pytest.mark.parametrize(
    ("received", "frozen", "broken"),
    [(True, False, "ONE"), (False, False, "ONE"), (False, True, "LOST"), (True, True, "")],
)
def test_a_replaced_primary_may_answer_only_after_a_pause_and_for_a_kept_commit(
    received, frozen, broken
):
    async def work(group):
        old, history = group.primary(), group.world.history
        history.expected["w"] = ExpectedRequest(0.0, ReadConsistency.LATEST, 0.0, 1, (), ())
        old.confirm = lambda number: (
            None
        )  # the confirmations of the replicas are still on their way
        for name in ("i-1", "i-2"):
            group.instances[name].deaf = not received
        link = await link_to(group, "i-0")
        write = InstanceMessage(MessageKind.STATEMENT, "w", "WRITE x y")
        writing = asyncio.get_running_loop().create_task(link.exchange((write,)))
        await asyncio.sleep(0.1)
        group.promote("i-1")
        if frozen:
            old.pause(0.4)
        await asyncio.sleep(0.42)
        assert group.primary().name == "i-1"
        assert not writing.done()
        del old.confirm
        old.confirm(1)
        await writing
        assert history.broken == [], "no caller has got the answer yet"
        history.acknowledge(group.world.now, "w")
        assert [item.split(": ")[1] for item in history.broken] == ([broken] if broken else [])

    with_group(work)
