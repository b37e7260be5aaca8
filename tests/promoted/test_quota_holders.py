"""Who holds the tenants' quotas while proxies are lost, replaced, cut off and started.

Guards against refusing all operations of all tenants: when all holders of the shares were lost, the
proxies that remained had no share for more than 30 s.
"""

import asyncio
from collections import Counter

import pytest
from test_quotas import RULES, TENANTS, ReadSender, run_scenario

from orchidwind.promoted.core.quota_shares import QuotaShares
from orchidwind.promoted.core.share_changes import STANDING_SECONDS
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.promoted.ports import Listing
from orchidwind.promoted.quotas.quota_service import QuotaService
from orchidwind.promoted.quotas.share_keeper import ShareKeeper
from orchidwind.shared.core.errors import ANSWERS, ErrorKind, Ran
from orchidwind_bench.promoted.simulation.callers import PromotedSystem
from orchidwind_bench.promoted.simulation.store import STORE
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual

# Proxies of which only some are homes: the connection limit allows two homes in each zone.
FLEET = tuple(f"proxy-{letter}" for letter in "abcdefghijkl")
FLEET_CONNECTIONS = 36
# The stated targets, seconds: from the first refusal until part of each quota is in force again,
# and from the loss until all of it is.
PART_AGAIN_SECONDS = 3.0
ALL_AGAIN_SECONDS = 12.0


def holders_of(system):
    return system.world.store.quota_shares.holders


def cut_off(system, names):
    """Cuts proxies off the store and all other proxies; instances and callers still reach them."""
    for name in names:
        for other in (STORE, *system.nodes):
            if other != name:
                system.world.network.cut(name, other)


def test_a_proxy_reads_the_shares_once_it_has_to_admit_operations():
    """Guards against a proxy that refuses every operation for a share that it never reads.

    Only work on a group made a proxy follow the shares; without tokens no operation came so far.
    """

    async def scenario(system):
        holders = holders_of(system)
        front = next(name for name in FLEET if name not in holders)
        assert system.nodes[front].quota_shares.holders == ()
        cut_off(system, holders)
        await ReadSender(system, "tern", 0.5, (front,)).run(2.0)
        assert system.nodes[front].quota_shares.holders == holders

    run_scenario(scenario, FLEET, FLEET_CONNECTIONS)


def test_a_refusal_names_a_quota_that_is_not_in_force():
    """Guards against telling a tenant that used nothing that it has used up its quota."""

    async def scenario(system):
        holders = holders_of(system)
        survivors = tuple(name for name in FLEET if name not in holders)
        sender = ReadSender(system, "heron", 0.5, survivors)
        cut_off(system, holders)
        await sender.run(4.0)
        refused = sender.refused()
        assert refused[ErrorKind.QUOTA_UNAVAILABLE] > 0
        assert ErrorKind.QUOTA_EXCEEDED not in refused
        assert ANSWERS[ErrorKind.QUOTA_UNAVAILABLE].ran is Ran.NO

    run_scenario(scenario, FLEET, FLEET_CONNECTIONS)


# --- Lost holders ---------------------------------------------------------------------------------


def served_share(sender, since, until):
    """The share of the operations begun in a span of time that were served."""
    outcomes = [kind for at, kind in sender.outcomes if since <= at < until]
    assert outcomes
    return sum(kind is None for kind in outcomes) / len(outcomes)


class Refusals:
    """When proxies refused operations of tenants for lack of tokens, as they happen."""

    def __init__(self, system, proxies):
        self.times = []
        for name in proxies:
            self._record(system, system.nodes[name].quotas)

    def _record(self, system, quotas):
        refusal = quotas._refusal

        def recorded(*arguments):
            self.times.append(system.world.now)
            return refusal(*arguments)

        quotas._refusal = recorded


@pytest.mark.parametrize("tenant", list(TENANTS))
def test_tenants_are_served_soon_after_all_holders_are_lost_for_good(tenant):
    """The holders go on serving whoever reaches them, which counts against the quotas, too."""

    async def scenario(system):
        holders = holders_of(system)
        survivors = tuple(name for name in FLEET if name not in holders)
        assert 0 < len(holders) < len(FLEET)
        every = 2.7 / TENANTS[tenant].rate
        sender = ReadSender(system, tenant, every, survivors)
        at_the_lost = ReadSender(system, tenant, every / 20, holders)
        sending = asyncio.create_task(sender.run(25.0))
        await asyncio.sleep(1.0)
        refusals = Refusals(system, survivors)
        lost_at = system.world.now
        cut_off(system, holders)
        await asyncio.gather(sending, at_the_lost.run(24.0))
        part_again, all_again = refusals.times[0] + PART_AGAIN_SECONDS, lost_at + ALL_AGAIN_SECONDS
        assert part_again < all_again
        assert served_share(sender, part_again, all_again) >= 0.95
        assert served_share(sender, all_again, lost_at + 24.0) >= 0.95
        assert ErrorKind.QUOTA_EXCEEDED not in sender.refused()

    run_scenario(scenario, FLEET, FLEET_CONNECTIONS)


def test_a_proxy_that_cannot_reach_the_holders_disturbs_nobody():
    """Guards against a change of the holders by a proxy that is cut off from them alone."""

    async def scenario(system):
        holders = holders_of(system)
        alone, other = [name for name in FLEET if name not in holders][:2]
        for holder in holders:
            system.world.network.cut(alone, holder)
        senders = [ReadSender(system, "tern", 1 / 15, (name,)) for name in (other, alone)]
        await asyncio.gather(*(sender.run(15.0) for sender in senders))
        assert senders[0].refused() == Counter()
        assert holders_of(system) == holders

    run_scenario(scenario, FLEET, FLEET_CONNECTIONS)


def test_holders_that_come_back_get_their_shares_without_a_gap():
    """All holders are out of reach for 16 s; two changes bring the quotas back to the homes."""

    async def scenario(system):
        holders = holders_of(system)
        survivors = tuple(name for name in FLEET if name not in holders)
        sender = ReadSender(system, "tern", 2.7 / TENANTS["tern"].rate, survivors)
        sending = asyncio.create_task(sender.run(50.0))
        await asyncio.sleep(1.0)
        lost_at = system.world.now
        cut_off(system, holders)
        await asyncio.sleep(16.0)
        system.world.network.heal()
        await sending
        assert served_share(sender, lost_at + ALL_AGAIN_SECONDS, lost_at + 49.0) >= 0.95
        assert holders_of(system) == holders

    run_scenario(scenario, FLEET, FLEET_CONNECTIONS)


# --- Splits of the fleet --------------------------------------------------------------------------

SPLIT_SECONDS = 7.0
# From the end of a split until every tenant within its quota is served again, seconds.
SERVED_AFTER_SPLIT_SECONDS = 1.0


def split(system, cut_off_side):
    """Cuts these proxies off the store and the other proxies, but not off each other."""
    for name in cut_off_side:
        for other in (STORE, *system.nodes):
            if other not in cut_off_side:
                system.world.network.cut(name, other)


def test_living_holders_serve_again_as_soon_as_a_split_ends():
    """One holder of several is with the store; the others live all the while, cut off from it.

    Guards against holders that wait 15 s after a split until they have shares again.
    """

    async def scenario(system):
        holders = holders_of(system)
        near_store = holders[:1] + tuple(name for name in FLEET if name not in holders)[:3]
        far = tuple(name for name in FLEET if name not in near_store)
        senders = {
            side: ReadSender(system, "tern", 1.6 * 2 / TENANTS["tern"].rate, names)
            for side, names in (("near", near_store), ("far", far))
        }
        sending = [asyncio.create_task(sender.run(25.0)) for sender in senders.values()]
        await asyncio.sleep(1.0)
        split_at = system.world.now
        split(system, far)
        await asyncio.sleep(SPLIT_SECONDS)
        system.world.network.heal()
        await asyncio.gather(*sending)
        healed_at = split_at + SPLIT_SECONDS
        served_from = healed_at + SERVED_AFTER_SPLIT_SECONDS
        for sender in senders.values():
            assert sender.refused(since=served_from) == Counter()
        assert holders_of(system) == holders

    run_scenario(scenario, FLEET, FLEET_CONNECTIONS)


def test_a_quota_holds_while_shares_move_to_and_fro_in_one_window():
    """A tenant asks without end on both sides of splits that end as shares change hands."""

    async def scenario(system):
        holders = holders_of(system)
        near_store = holders[:1] + tuple(name for name in FLEET if name not in holders)[:3]
        far = tuple(name for name in FLEET if name not in near_store)
        senders = [
            ReadSender(system, "tern", 1 / (3 * TENANTS["tern"].rate), names)
            for names in (near_store, far)
        ]
        sending = [asyncio.create_task(sender.run(40.0)) for sender in senders]
        for seconds in (3.9, 4.5, 7.0, 9.0):
            await asyncio.sleep(2.0)
            split(system, far)
            await asyncio.sleep(seconds)
            system.world.network.heal()
        await asyncio.gather(*sending)
        assert holders_of(system) == holders

    run_scenario(scenario, FLEET, FLEET_CONNECTIONS)


def test_without_tenants_no_proxy_asks_or_waits_or_reads_shares(monkeypatch):
    asked = []
    monkeypatch.setattr(PeerLink, "ask_tokens", lambda *arguments: asked.append(arguments))
    ask_view = PeerLink.ask_view

    async def recorded(link, view, *arguments, **named):
        asked.extend([view] if "quota" in view else [])
        return await ask_view(link, view, *arguments, **named)

    monkeypatch.setattr(PeerLink, "ask_view", recorded)

    async def work():
        system = PromotedSystem(1, proxies=FLEET, connection_limit=FLEET_CONNECTIONS)
        shipping = asyncio.create_task(system.group.keep_shipping())
        await asyncio.sleep(3.0)
        split(system, FLEET[:4])
        await asyncio.sleep(SPLIT_SECONDS)
        system.world.network.heal()
        await asyncio.sleep(5.0)
        shipping.cancel()
        return system

    assert run_virtual(work()).world.store.quota_shares is None
    assert asked == []


def test_a_holder_that_does_not_confirm_is_asked_with_pauses(caplog):
    """It has not read the version, or is of a build that does not know the question."""
    caplog.set_level("INFO", logger="orchidwind")

    async def work():
        asked = []

        async def not_known(holder, revision):
            asked.append(holder)
            return False

        service = QuotaService(RULES, lambda: TENANTS, list)
        keeper = ShareKeeper(
            "a", None, service, lambda: ("a", "b", "c"), lambda names: set(), bool, not_known
        )
        loop = asyncio.get_running_loop()
        keeper.use_view(loop.time, bool)
        before = QuotaShares(("a", "b"), (), StoreRevision(1))
        keeper.listed(Listing((before,), StoreRevision(1)))
        await asyncio.sleep(STANDING_SECONDS)
        change = QuotaShares(("a", "b"), ("a", "b", "c"), StoreRevision(2))
        keeper.listed(Listing((change,), StoreRevision(2)))
        checks = asyncio.ensure_future(keeper.run())
        await asyncio.sleep(2.0)
        checks.cancel()
        keeper.close()
        assert set(asked) == {"b"}
        assert 3 <= len(asked) <= 8

    run_virtual(work())
    lines = [line for line in caplog.records if line.message == "quota_share_asked_again"]
    assert [line.failed for line in lines] == [1, 2, 4]
