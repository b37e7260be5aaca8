"""A proxy drops all state of an instance when it forgets the instance."""

import asyncio
from dataclasses import dataclass, field

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.configuration import DirectoryEntry, PromotedGroupSettings
from orchidwind.promoted.core.confirming_instances import MAY_CONFIRM_SECONDS
from orchidwind.promoted.group.group_service import GroupEnvironment, GroupService
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.shared.core.admission import TrafficClass
from orchidwind.shared.core.positions import Position
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual

GONE = "i-2"
INSTANCES = ("i-0", "i-1", GONE)


@dataclass
class Link:
    closed: bool = False

    async def status(self):
        """Answer at once, so that the connection does not count as silent."""

    def close(self):
        self.closed = True


@dataclass
class Connector:
    links: list[Link] = field(default_factory=list)

    async def connect(self, entry, on_lost, tenant):
        self.links.append(Link())
        return self.links[-1]


def new_group(connector):
    environment = GroupEnvironment(
        zone="zone",
        connector=connector,
        metrics=ProxyMetrics(),
        leases=None,
        entry_outlives=3.6,
        on_used=lambda: None,
    )
    group = GroupService(PromotedGroupSettings("g", 100, 1), environment, on_wake=lambda: None)
    for number, name in enumerate(INSTANCES):
        group.view_changes.entry_changed(
            DirectoryEntry(name, "g", "127.0.0.1", number, "zone", number == 0, False, 4, 1)
        )
    report_statuses(group, INSTANCES)
    return group


def report_statuses(group, instances):
    now = asyncio.get_running_loop().time()
    for name in instances:
        role = InstanceRole.PRIMARY if name == "i-0" else InstanceRole.REPLICA
        group.view_changes.take_status(
            InstanceStatus(name, role, 1, Position(1, 5), 0, 0, asked_at=now)
        )


async def forget(group):
    """Remove the instance, and report much later that the other instances have its log."""
    group.view_changes.entry_gone(GONE)
    await asyncio.sleep(MAY_CONFIRM_SECONDS + 1.0)
    report_statuses(group, ("i-0", "i-1"))
    await group.forget_departed()
    assert GONE not in group.topology.instances


def dicts_with_key(part, name, seen):
    """Find the dicts that have a name as a key, in a proxy object and all objects that it holds."""
    if id(part) in seen or not type(part).__module__.startswith("orchidwind.promoted"):
        return []
    seen.add(id(part))
    found = []
    for attribute, value in getattr(part, "__dict__", {}).items():
        if isinstance(value, dict) and name in value:
            found.append(f"{type(part).__name__}.{attribute}")
        found += dicts_with_key(value, name, seen)
    return found


def test_no_dict_of_a_group_keeps_a_forgotten_instance():
    async def work():
        group = new_group(Connector())
        now = asyncio.get_running_loop().time()
        group.connections.pools.of(GONE)
        group.connections.opener.note_full(GONE)
        group._writes.confirmed(GONE, now)
        group._silent.check(GONE, now)
        group.status_calls._hedge_pauses.begin(GONE, now)
        await forget(group)
        assert dicts_with_key(group, GONE, set()) == []

    run_virtual(work())


def test_a_connection_of_a_forgotten_instance_is_closed_on_release():
    async def work():
        connector = Connector()
        group = new_group(connector)
        deadline = asyncio.get_running_loop().time() + 1.0
        connection = await group.wait_for_connection(GONE, TrafficClass("any"), deadline)
        await forget(group)
        group.release(connection, True)
        assert [link.closed for link in connector.links] == [True]
        assert group.connections.records.links == {}
        await asyncio.sleep(1.0)
        assert dicts_with_key(group, GONE, set()) == []

    run_virtual(work())
