"""Homes come and go with placement; nothing is left behind by one that has moved."""

import asyncio

from orchidwind.elected.core.placement import Node, Placement
from orchidwind.elected.core.steps import OpenTransaction
from orchidwind.elected.network.home_service import HomeService
from orchidwind_bench.elected.simulation.members import sample_configuration

OWN, OTHER = Node("own", "one/a"), Node("other", "one/a")


class NoLeases:
    def other_homes(self, database):
        return []

    def ask(self, lender, database, wanted):
        raise AssertionError("nobody waits here")


def test_former_home_is_closed_once_nothing_runs_there():
    async def work():
        content = sample_configuration(1, ["one/a"], 20).content
        here = HomeService(OWN, NoLeases())
        here.apply(content, Placement([OWN], content.zones))
        assert len(here.runners) == 20
        kept = dict(here.runners)
        here.apply(content, Placement([OWN, OTHER], content.zones))
        assert 0 < len(here.runners) < 20
        moved = [runner for name, runner in kept.items() if name not in here.runners]
        assert all(not runner.group.connections.has_share for runner in moved)
        assert here._former == []
        assert all(runner._closed for runner in moved)
        here.close()

    asyncio.run(work())


def test_former_home_stays_while_a_transaction_is_open():
    async def work():
        content = sample_configuration(1, ["one/a"], 1).content
        here = HomeService(OWN, NoLeases())
        here.apply(content, Placement([OWN], content.zones))
        (runner,) = here.runners.values()
        runner.group.transactions.by_channel["channel"] = OpenTransaction(
            1, "x", 1, read_only=False, last_used=float("inf")
        )
        here.apply(content, Placement([OTHER], content.zones))
        assert here.runners == {}
        assert here._former == [runner]
        assert not here.idle
        del runner.group.transactions.by_channel["channel"]
        here._close_idle()
        assert here._former == []
        here.close()

    asyncio.run(work())


def test_idle_homes_do_not_forget_their_share():
    async def work():
        content = sample_configuration(1, ["one/a"], 1).content
        here = HomeService(OWN, NoLeases())
        placement = Placement([OWN], content.zones)
        here.apply(content, placement)
        here.apply(content, placement)
        (runner,) = here.runners.values()
        assert runner.leases.base_share == content.databases[0].slots
        here.close()

    asyncio.run(work())
