"""Requests that wait for a primary or an instance go on in the order of their arrival."""

import asyncio

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.configuration import DirectoryEntry, PromotedGroupSettings
from orchidwind.promoted.group.group_service import GroupEnvironment, GroupService
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.shared.core.positions import Position
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual

MANY = 500
PRIMARY = DirectoryEntry("i-0", "g", "127.0.0.1", 1, "zone", True, False, 4, 1)
LEADS = InstanceStatus("i-0", InstanceRole.PRIMARY, 1, Position(1, 0), 0, 0)


def waiting_group():
    environment = GroupEnvironment(
        zone="zone",
        connector=None,
        metrics=ProxyMetrics(),
        leases=None,
        entry_outlives=3.6,
        on_used=lambda: None,
    )
    return GroupService(PromotedGroupSettings("g", 100, 1), environment, on_wake=lambda: None)


def order_of_going_on(wakes_in_vain):
    """Half of the requests are woken in vain so many times, while the others arrive."""
    went_on = []

    async def wait(group, number):
        deadline = asyncio.get_running_loop().time() + 1.0
        await group.wait_for_primary(deadline, lead_proof=False, commit=False)
        went_on.append(number)

    async def work():
        group = waiting_group()
        group.view_changes.entry_changed(PRIMARY)
        tasks = [asyncio.create_task(wait(group, number)) for number in range(MANY // 2)]
        await asyncio.sleep(0)
        tasks += [asyncio.create_task(wait(group, number)) for number in range(MANY // 2, MANY)]
        for _ in range(wakes_in_vain):
            group.changed()
        await asyncio.sleep(0.01)
        assert went_on == []
        group.view_changes.take_status(LEADS)
        await asyncio.gather(*tasks)

    run_virtual(work())
    return went_on


def test_requests_go_on_in_the_order_of_their_arrival():
    assert order_of_going_on(wakes_in_vain=0) == list(range(MANY))


def test_a_request_that_was_woken_in_vain_stays_before_later_ones():
    assert order_of_going_on(wakes_in_vain=1) == list(range(MANY))
