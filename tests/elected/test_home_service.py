"""A home service follows the placement and closes the runners of databases that moved away."""

import asyncio

from orchidwind.elected.core.placement import Node, Placement
from orchidwind.elected.core.steps import OpenTransaction
from orchidwind.elected.network.home_service import HomeService
from orchidwind_bench.elected.simulation.members import sample_configuration

OWN, OTHER = Node("own", "one/a"), Node("other", "one/a")


class NoLeases:
    def other_homes(self, database):
        return []

    def request_lease(self, lender, database, wanted):
        raise AssertionError("no request is queued in these tests")


def test_former_home_is_closed_once_nothing_runs_there():
    async def work():
        content = sample_configuration(1, ["one/a"], 20).content
        service = HomeService(OWN, NoLeases())
        service.apply(content, Placement([OWN], content.zones))
        assert len(service.runners) == 20
        kept = dict(service.runners)
        service.apply(content, Placement([OWN, OTHER], content.zones))
        assert 0 < len(service.runners) < 20
        moved = [runner for name, runner in kept.items() if name not in service.runners]
        assert all(not runner.group.connections.has_share for runner in moved)
        assert service._former == []
        assert all(runner._closed for runner in moved)
        service.close()

    asyncio.run(work())


def test_former_home_stays_while_a_transaction_is_open():
    async def work():
        content = sample_configuration(1, ["one/a"], 1).content
        service = HomeService(OWN, NoLeases())
        service.apply(content, Placement([OWN], content.zones))
        (runner,) = service.runners.values()
        runner.group.transactions.by_channel["channel"] = OpenTransaction(
            1, "x", 1, read_only=False, last_used=float("inf")
        )
        service.apply(content, Placement([OTHER], content.zones))
        assert service.runners == {}
        assert service._former == [runner]
        assert not service.idle
        del runner.group.transactions.by_channel["channel"]
        service._close_idle()
        assert service._former == []
        service.close()

    asyncio.run(work())


def test_reapplying_the_same_placement_keeps_the_share():
    async def work():
        content = sample_configuration(1, ["one/a"], 1).content
        service = HomeService(OWN, NoLeases())
        placement = Placement([OWN], content.zones)
        service.apply(content, placement)
        service.apply(content, placement)
        (runner,) = service.runners.values()
        assert runner.leases.base_share == content.databases[0].slots
        service.close()

    asyncio.run(work())
