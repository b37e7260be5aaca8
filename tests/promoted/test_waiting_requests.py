"""Requests that wait for a primary or an instance continue in the order of their arrival."""

import asyncio

import pytest

from orchidwind.promoted.core.circuit_breaker import (
    NOT_FOUND_SECONDS,
    PROBE_SECONDS,
    Dependency,
)
from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.configuration import DirectoryEntry, PromotedGroupSettings
from orchidwind.promoted.group.group_breakers import GroupBreakers
from orchidwind.promoted.group.group_service import GroupEnvironment, GroupService
from orchidwind.promoted.group.waiting_requests import WaitingRequests
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.shared.core.errors import ANSWERS, ErrorKind, RequestError
from orchidwind.shared.core.positions import Position
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual

REQUESTS = 500
PRIMARY = DirectoryEntry("i-0", "g", "127.0.0.1", 1, "zone", True, False, 4, 1)
PRIMARY_STATUS = InstanceStatus("i-0", InstanceRole.PRIMARY, 1, Position(1, 0), 0, 0)


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


def order_of_continuation(wakes_without_primary):
    """Wake the first half of the requests without a primary `wakes_without_primary` times.

    The second half arrives meanwhile. Returns the order in which the requests continue once a
    primary is known.
    """
    continued = []

    async def wait(group, number):
        deadline = asyncio.get_running_loop().time() + 1.0
        await group.wait_for_primary(deadline, leadership_proof=False, commit=False)
        continued.append(number)

    async def work():
        group = waiting_group()
        group.view_changes.entry_changed(PRIMARY)
        tasks = [asyncio.create_task(wait(group, number)) for number in range(REQUESTS // 2)]
        await asyncio.sleep(0)
        tasks += [
            asyncio.create_task(wait(group, number)) for number in range(REQUESTS // 2, REQUESTS)
        ]
        for _ in range(wakes_without_primary):
            group.changed()
        await asyncio.sleep(0.01)
        assert continued == []
        group.view_changes.take_status(PRIMARY_STATUS)
        await asyncio.gather(*tasks)

    run_virtual(work())
    return continued


def test_requests_continue_in_the_order_of_their_arrival():
    assert order_of_continuation(wakes_without_primary=0) == list(range(REQUESTS))


def test_a_request_woken_without_a_primary_stays_before_later_ones():
    assert order_of_continuation(wakes_without_primary=1) == list(range(REQUESTS))


def test_writes_without_a_primary_are_refused_at_once_although_reads_are_served():
    """A served read does not close the circuit breaker of the writes."""
    waited, delays = [], []

    async def write(waiting):
        began = asyncio.get_running_loop().time()
        try:
            await waiting.wait_for(lambda: None, began + 0.25, ErrorKind.NO_PRIMARY)
        except RequestError as error:
            waited.append((began, asyncio.get_running_loop().time() - began))
            delays.append(error.retry_after_milliseconds)

    async def work():
        loop = asyncio.get_running_loop()
        waiting = WaitingRequests(GroupBreakers("g"), on_wait=lambda: None)
        writes = []
        while loop.time() < 3.0:
            writes.append(asyncio.create_task(write(waiting)))
            await waiting.wait_for(lambda: "i-1", loop.time() + 0.25, ErrorKind.NO_REPLICA)
            await asyncio.sleep(0.05)
        await asyncio.gather(*writes)
        assert await waiting.wait_for(lambda: "i-0", loop.time(), ErrorKind.NO_PRIMARY) == "i-0"

    run_virtual(work())
    late = [seconds for began, seconds in waited if began > NOT_FOUND_SECONDS + 0.3]
    assert len(late) > 10
    assert sum(seconds > 0 for seconds in late) <= 1.5 / PROBE_SECONDS
    assert len(set(delays[-10:])) > 5, "callers return at different times"


def test_a_missing_replica_tells_of_a_change_of_primary_only_while_the_primary_is_missing():
    async def work():
        breakers = GroupBreakers("g")
        loop = asyncio.get_running_loop()
        breakers.failed(Dependency.INSTANCE, loop.time())
        await asyncio.sleep(0.1)
        usual = breakers.refusal(Dependency.INSTANCE, ErrorKind.NO_REPLICA, "")
        assert (
            usual.retry_after_milliseconds == ANSWERS[ErrorKind.NO_REPLICA].retry_after_milliseconds
        )
        breakers.failed(Dependency.PRIMARY, loop.time())
        await asyncio.sleep(0.1)
        changing = breakers.refusal(Dependency.INSTANCE, ErrorKind.NO_REPLICA, "")
        assert changing.retry_after_milliseconds >= 1000

    run_virtual(work())


def test_a_primary_shown_by_the_view_ends_its_outage_without_a_waiting_write():
    async def work():
        group = waiting_group()
        group.view_changes.entry_changed(PRIMARY)
        loop = asyncio.get_running_loop()
        with pytest.raises(RequestError):
            await group.wait_for_primary(loop.time() + 0.1, leadership_proof=False, commit=False)
        await asyncio.sleep(0.5)
        deadline = loop.time() + 0.5
        assert group._breakers.wait_until(ErrorKind.NO_REPLICA, deadline) < deadline
        group.view_changes.take_status(PRIMARY_STATUS)
        assert group._breakers.wait_until(ErrorKind.NO_REPLICA, deadline) == deadline

    run_virtual(work())
