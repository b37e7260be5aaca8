"""The store is restored from an older copy: later changes must take effect within their bound.

Guards against proxies that ignore a restored store. Its revisions go back, for example from 42 to
39; a proxy that takes every listing below 42 for an outdated one discards it and still counts its
own view as current. Once the revisions pass 42 again, a watch from 42 misses all changes written
below it. A database that a later configuration had dropped was thus still served 3.7 s after the
change was acknowledged.

The fault shows in the log as `watch_connected` with revision 39 and `held_revision` 42, a view age
of milliseconds, and `watch_history_gone` thirty times a second until the revisions reach 42 again.
"""

import asyncio
from dataclasses import replace as replace_copy

import pytest
from msgspec.structs import replace
from support.platform_system import with_system
from support.virtual_proxies import PROXIES, apply_configuration, versions, with_proxies

from orchidwind.promoted.core.failover_steps import AcknowledgedCommits
from orchidwind.promoted.core.homes import RELISTING_SECONDS, ProxyMember
from orchidwind.promoted.core.leadership_lease import LeadershipLease, LockReading
from orchidwind.promoted.core.promotion_lock import (
    TAKE_OVER_SECONDS,
    HeldLock,
    LockDecision,
    LockObserver,
    LockRecord,
)
from orchidwind.promoted.core.roster import KnownRoster, PromotionRecord, Roster
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.group.promotion_lock_client import PromotionLockClient
from orchidwind.promoted.group.roster_keeper import RosterKeeper
from orchidwind.promoted.peers.peer_network import PeerNetwork, PlacementInputs
from orchidwind.promoted.ports import Listing
from orchidwind.promoted.store_era import StoreEra
from orchidwind.promoted.views.followed_views import ProxyBounds
from orchidwind.shared.core.positions import Position
from orchidwind_bench.promoted.simulation.callers import PromotedSystem
from orchidwind_bench.promoted.simulation.store import GROUP, STORE, STORE_SECONDS
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual

BOUNDS = {"config_apply_ms": 1500, "contact_ms": 4000}
APPLY_SECONDS = BOUNDS["config_apply_ms"] / 1000
ROUTES = {"latest": "primary"}
LATER_ROUTES = {"latest": "primary", "later": "primary"}
LOST_WRITES = 20


async def lose_writes(system):
    """Writes objects until the proxy has followed them; returns a copy of the store from before."""
    copy = system.store.copy()
    for number in range(LOST_WRITES):
        system.store.put("others", f"object-{number}", {})
    # Longer than a watch waits, so that the proxy's view has the last revision.
    await asyncio.sleep(APPLY_SECONDS)
    return copy


def test_a_change_after_a_restore_is_applied_in_time(tmp_path):
    async def scenario(system):
        copy = await lose_writes(system)
        system.store.restore_from(copy)
        await asyncio.sleep(0.5)
        system.write_configuration(LATER_ROUTES)
        await asyncio.sleep(APPLY_SECONDS)
        assert system.proxy._proxy.configuration.version == system.version

    with_system(tmp_path, scenario, bounds=BOUNDS)


def test_a_change_with_a_reused_revision_is_applied_in_time(tmp_path):
    """Guards against a missed change that is written right after the listing of a restored store.

    The restored store issues revisions again that the proxy already holds.
    """

    async def scenario(system):
        copy = await lose_writes(system)
        held = system.store.revision

        def change_behind_the_listing(kind):
            if kind == "config":
                system.store.on_listed = lambda kind: None
                system.write_configuration(LATER_ROUTES)
                while system.store.revision <= held:
                    system.store.put("others", "object", {})

        system.store.on_listed = change_behind_the_listing
        system.store.restore_from(copy)
        await asyncio.sleep(0.5)
        assert system.store.revision > held
        await asyncio.sleep(APPLY_SECONDS)
        assert system.proxy._proxy.configuration.version == system.version

    with_system(tmp_path, scenario, bounds=BOUNDS)


# --- several proxies, on virtual time -------------------------------------------------------------

BOUND = ProxyBounds().configuration
# Operators and instances rewrite lost objects within this time.
REWRITE_SECONDS = 2.0
# Time from a restore of the store until a primary can be replaced again: the rights of the previous
# era have expired, the change itself takes 0.6 s at the median, and an unreachable primary is
# detected within 0.8 s.
NEXT_CHANGE_SECONDS = TAKE_OVER_SECONDS + 1.4


def restore_store(system, copy):
    system.world.store.restore_from(copy, lambda: system.world.random.random() * REWRITE_SECONDS)


def refuse_one(system):
    system.world.store.refused.add(system.world.random.choice(PROXIES))


def cut_one_off(system):
    system.world.network.cut(system.world.random.choice(PROXIES), STORE)


def restart_one(system):
    system.restart_proxy(system.world.random.choice(PROXIES))


STORE_FAULTS = (None, refuse_one, cut_one_off, restart_one)
# Seeds 0 to 199 keep the bound; each test run plays only these.
SEEDS = range(60)


def change_after_a_restore(seed):
    """Applies a configuration after a restore of the store and waits for the bound.

    Returns its version, and the versions held by the proxies before the restore and at the end.
    """
    held = []

    async def scenario(system):
        random, store = system.world.random, system.world.store
        copy = store.copy()
        for _ in range(random.randrange(4)):
            apply_configuration(system)
            await asyncio.sleep(random.random() * BOUND)
        fault = random.choice(STORE_FAULTS)
        await asyncio.sleep(random.random())
        before = versions(system)
        restore_store(system, copy)
        if fault is not None:
            fault(system)
        await asyncio.sleep(random.random() * 2 * REWRITE_SECONDS)
        store.configuration = max(
            store.configuration, newest_acknowledged(before, store), key=by_version
        )
        version = apply_configuration(system)
        await asyncio.sleep(BOUND)
        held.append((version, before, versions(system)))

    with_proxies(scenario, seed=seed)
    return held[0]


def newest_acknowledged(before, store):
    """Returns the newest acknowledged configuration, which the restore may have lost."""
    newest = max([*before.values(), store.configuration.version])
    return replace(store.configuration, version=newest)


def by_version(configuration):
    return configuration.version


@pytest.mark.parametrize("seed", SEEDS)
def test_a_change_after_a_restore_is_applied_by_all_proxies_in_time(seed):
    version, _, after = change_after_a_restore(seed)
    assert set(after.values()) == {version}


def test_no_proxy_reverts_while_the_store_holds_an_older_configuration():
    async def scenario(system):
        store = system.world.store
        copy = store.copy()
        version = apply_configuration(system)
        await asyncio.sleep(BOUND)
        store.restore_from(copy, lambda: 3600.0)
        for _ in range(20):
            await asyncio.sleep(1.0)
            assert set(versions(system).values()) == {version}

    with_proxies(scenario)


def test_proxies_report_a_restore_to_each_other_and_register_again_within_a_second():
    placed = []

    async def scenario(system):
        store = system.world.store
        copy = replace_copy(store.copy(), members={}, leases={})
        for node in system.nodes.values():
            node.homes.limits_changed = count_calls(node.homes.limits_changed, placed)
        restore_store(system, copy)
        await asyncio.sleep(0.15 * BOUND + STORE_SECONDS * 4)
        assert {node.store_era.current for node in system.nodes.values()} == {1}
        await asyncio.sleep(1.0)
        assert set(store.members) == set(PROXIES)
        await asyncio.sleep(RELISTING_SECONDS)
        members = [{item.name for item in node.homes.members} for node in system.nodes.values()]
        assert members == [set(PROXIES)] * len(PROXIES)

    with_proxies(scenario)
    assert placed == []


def test_a_second_restore_retains_the_members_for_the_whole_time():
    """Guards against the timer of a first restore that ends the time of a second one."""

    async def work():
        own, other = (ProxyMember(name, "zone-a", name, 1) for name in ("proxy-a", "proxy-b"))
        inputs = PlacementInputs(lambda _: 9, lambda: 1, lambda _: False, bool, lambda: False)
        network = PeerNetwork(own, None, None, inputs, lambda: None)

        def restored(era, *members):
            network.listed(Listing(members, StoreRevision.of(era, 5)))

        restored(0, own, other)
        restored(1, own)
        await asyncio.sleep(RELISTING_SECONDS - 0.5)
        restored(2, own)
        await asyncio.sleep(RELISTING_SECONDS - 0.5)
        assert {member.name for member in network.members} == {"proxy-a", "proxy-b"}
        await asyncio.sleep(1.0)
        assert {member.name for member in network.members} == {"proxy-a"}

    run_virtual(work())


def count_calls(function, calls):
    def counted():
        calls.append(function)
        function()

    return counted


def test_rosters_keep_members_that_the_restored_copy_lacks():
    async def scenario(system):
        store = system.world.store
        copy = replace_copy(store.copy(), rosters={})
        known = store.rosters[GROUP]
        restore_store(system, copy)
        await asyncio.sleep(2.0)
        assert set(known.members) <= set(store.rosters[GROUP].members)

    with_proxies(scenario)


@pytest.mark.parametrize("lost_seconds", [0.0, 3.0])
@pytest.mark.parametrize("seed", range(10))
def test_promises_hold_and_a_primary_can_be_changed_again(seed, lost_seconds):
    """Guards against broken promises, and a group left without a primary, after a restore.

    The store is restored under load; the primary crashes within half a second of it.
    """

    async def work():
        system = PromotedSystem(seed, proxies=PROXIES)
        loop, random = asyncio.get_running_loop(), system.world.random
        copies = []
        returned_at = 4.0 + random.random()
        crashed_at = returned_at + random.random() - 0.5

        def restore():
            # A loop runs calls of the same instant in any order, so the copy is made here then.
            restore_store(system, copies[0] if copies else system.world.store.copy())

        if lost_seconds:
            made_at = returned_at - lost_seconds
            loop.call_at(made_at, lambda: copies.append(system.world.store.copy()))
        loop.call_at(returned_at, restore)
        loop.call_at(crashed_at, lambda: system.group.primary().crash())
        await system.run(15.0)
        history = system.world.history
        assert system.world.store.era == 1, "the store was not restored"
        assert len(copies) == bool(lost_seconds)
        assert history.broken == []
        promoted_at = [at for at, _, _ in history.promotions]
        assert promoted_at
        assert max(promoted_at) < max(returned_at, crashed_at) + NEXT_CHANGE_SECONDS
        later = [commit for commit in history.acknowledged if commit.at > max(promoted_at)]
        assert later

    run_virtual(work())


def test_the_tokens_of_a_later_era_are_greater_whatever_the_revisions():
    before, after = StoreRevision.of(3, 70_000), StoreRevision.of(4, 1)
    assert before < after
    assert (after.era, after.in_era) == (4, 1)
    assert StoreRevision(int(after)).era == 4
    assert StoreRevision.of(0, 70_000) == 70_000, "as stored and sent by proxies without eras"
    assert StoreRevision.of(2**13 - 1, 2**40 - 1) < 2**53


# --- single rules ---------------------------------------------------------------------------------


def test_a_lease_counts_only_from_readings_that_were_sent_after_the_registration():
    lease, free = LeadershipLease(), StoreRevision.of(1, 7)
    lease.lock_seen(LockReading(1.0, free, free=True))
    assert not lease.covers(1.0)
    lease.registered(2.0)
    lease.lock_seen(LockReading(1.9, free, free=True))
    assert not lease.covers(1.9)
    lease.lock_seen(LockReading(2.1, free, free=True))
    assert lease.covers(2.1)
    lease.not_registered()
    assert not lease.covers(2.1)


def test_the_lock_of_a_new_era_is_taken_once_rights_of_the_previous_era_have_expired():
    observer, absent = LockObserver("me"), LockRecord.absent(1)
    seen_at = 10.0
    observer.saw(seen_at, absent.revision)
    late = seen_at + TAKE_OVER_SECONDS
    assert observer.decide(late - 0.01, absent) is LockDecision.WAIT
    assert observer.decide(late, absent) is LockDecision.CREATE
    assert LockRecord.absent(0).released, "in the first era no proxy can have held it"


def test_a_lock_ends_with_its_era_for_a_holder_that_knows_of_the_restore():
    async def work():
        era = StoreEra()
        era.saw(0, "store")
        client = PromotionLockClient("me", None, RosterKeeper({}, None), era)
        held = HeldLock(StoreRevision.of(0, 9), asyncio.get_running_loop().time() + 3.0)
        assert client.usable_seconds(held) is not None
        era.saw(1, "another proxy")
        assert client.usable_seconds(held) is None

    run_virtual(work())


def test_acknowledgements_do_not_cover_terms_that_began_in_an_earlier_era():
    """A proxy's confirmation may be lost by the restore after the proxy itself has left."""
    token = StoreRevision.of(0, 9)
    ends = [Position(1, 5)]
    same = AcknowledgedCommits.by_all(ends, [StoreRevision(3)], era=0)
    later = AcknowledgedCommits.by_all(ends, [StoreRevision(3)], era=1)
    assert same.known_since < token < later.known_since


def test_a_roster_is_merged_with_the_known_one_and_its_promotion_never_reverts():
    old = PromotionRecord("i-0", 2, Position(1, 5), StoreRevision.of(0, 7))
    new = PromotionRecord("i-1", 3, Position(2, 9), StoreRevision.of(0, 12))
    known = KnownRoster(GROUP)
    known.take(Roster(GROUP, ("i-0", "i-1", "i-2"), StoreRevision.of(0, 13), new))
    known.take(Roster(GROUP, ("i-0", "i-1"), StoreRevision.of(1, 8), old))
    assert known.known.members == ("i-0", "i-1", "i-2")
    assert known.known.last_promotion == new
    written = known.wanted(tuple)
    assert written.revision == StoreRevision.of(1, 8)
    known.take(replace(written, revision=StoreRevision.of(1, 9)))
    assert known.wanted(tuple) is None
    known.take(Roster(GROUP, ("i-0", "i-1"), StoreRevision.of(1, 10), old))
    assert known.known.members == ("i-0", "i-1"), "removed by another proxy, in the same era"
    assert known.known.last_promotion == new, "a late write from before the restore"
