"""A store that comes back from an older copy: what it is told afterwards is in force in time.

What users saw: a database that a later configuration had dropped was still served, 3.7 s after the
change was acknowledged. The store had been away for two seconds and had come back as it was some
seconds before. Its revisions went back from 42 to 39, and each proxy took every listing below 42
for one that had been overtaken: dropped its content, and called its own view current by it. Once
the counter had passed 42 again, watches from 42 brought nothing of what was written below.

The evidence: `watch_connected` with revision 39 beside `held_revision` 42, an age of milliseconds
all the while, and `watch_history_gone` thirty times a second until the counter stood at 42 again.
"""

import asyncio
from dataclasses import replace as replace_copy

import pytest
from msgspec.structs import replace
from support.platform_system import with_system
from support.virtual_proxies import PROXIES, apply_configuration, versions, with_proxies

from orchidwind.promoted.core.failover_steps import AcknowledgedCommits
from orchidwind.promoted.core.homes import RELISTING_SECONDS
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
    """The proxy follows the store some revisions further; returns the copy of before."""
    copy = system.store.copy()
    for number in range(LOST_WRITES):
        system.store.put("others", f"object-{number}", {})
    # Longer than a watch waits, so that its view is of the last revision.
    await asyncio.sleep(APPLY_SECONDS)
    return copy


def test_a_change_after_the_return_is_in_force_in_time(tmp_path):
    async def scenario(system):
        copy = await lose_writes(system)
        system.store.restore_from(copy)
        await asyncio.sleep(0.5)
        system.write_configuration(LATER_ROUTES)
        await asyncio.sleep(APPLY_SECONDS)
        assert system.proxy._proxy.configuration.version == system.version

    with_system(tmp_path, scenario, bounds=BOUNDS)


def test_a_change_with_a_revision_that_is_given_out_again_is_in_force_in_time(tmp_path):
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
# Operators and instances write again what was lost after so many seconds at the latest.
AGAIN_SECONDS = 2.0
# From a return on until a primary can be changed again: rights of the era before have run out, the
# change itself takes 0.6 s at the median, and a dark primary is found within 0.8 s.
CHANGE_AGAIN_SECONDS = TAKE_OVER_SECONDS + 1.4


def come_back(system, copy):
    system.world.store.restore_from(copy, lambda: system.world.random.random() * AGAIN_SECONDS)


def refuse_one(system):
    system.world.store.refused.add(system.world.random.choice(PROXIES))


def cut_one_off(system):
    system.world.network.cut(system.world.random.choice(PROXIES), STORE)


def restart_one(system):
    system.restart_proxy(system.world.random.choice(PROXIES))


TROUBLES = (None, refuse_one, cut_one_off, restart_one)
# 0 to 199 were played by hand and keep the bound; these are for each run.
SEEDS = range(60)


def change_after_a_return(seed):
    """The versions that proxies hold one bound after a change that follows a return."""
    held = []

    async def scenario(system):
        random, store = system.world.random, system.world.store
        copy = store.copy()
        for _ in range(random.randrange(4)):
            apply_configuration(system)
            await asyncio.sleep(random.random() * BOUND)
        trouble = random.choice(TROUBLES)
        await asyncio.sleep(random.random())
        before = versions(system)
        come_back(system, copy)
        if trouble is not None:
            trouble(system)
        await asyncio.sleep(random.random() * 2 * AGAIN_SECONDS)
        store.configuration = max(store.configuration, lost(before, store), key=by_version)
        version = apply_configuration(system)
        await asyncio.sleep(BOUND)
        held.append((version, before, versions(system)))

    with_proxies(scenario, seed=seed)
    return held[0]


def lost(before, store):
    """The newest configuration that an operator knows to be acknowledged."""
    newest = max([*before.values(), store.configuration.version])
    return replace(store.configuration, version=newest)


def by_version(configuration):
    return configuration.version


@pytest.mark.parametrize("seed", SEEDS)
def test_a_change_after_a_return_is_in_force_at_all_proxies_in_time(seed):
    version, _, after = change_after_a_return(seed)
    assert set(after.values()) == {version}


def test_nothing_confirmed_goes_back_though_the_copy_stays_at_an_older_version():
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


def test_proxies_learn_of_a_return_from_one_another_and_list_themselves_within_a_second():
    placed = []

    async def scenario(system):
        store = system.world.store
        copy = replace_copy(store.copy(), members={}, leases={})
        for node in system.nodes.values():
            node.homes.limits_changed = count_calls(node.homes.limits_changed, placed)
        come_back(system, copy)
        await asyncio.sleep(0.15 * BOUND + STORE_SECONDS * 4)
        assert {node.store_era.current for node in system.nodes.values()} == {1}
        await asyncio.sleep(1.0)
        assert set(store.members) == set(PROXIES)
        await asyncio.sleep(RELISTING_SECONDS)
        members = [{item.name for item in node.homes.members} for node in system.nodes.values()]
        assert members == [set(PROXIES)] * len(PROXIES)

    with_proxies(scenario)
    assert placed == []


def count_calls(function, calls):
    def counted():
        calls.append(function)
        function()

    return counted


def test_rosters_say_no_less_than_the_copy_and_what_was_known():
    async def scenario(system):
        store = system.world.store
        copy = replace_copy(store.copy(), rosters={})
        known = store.rosters[GROUP]
        come_back(system, copy)
        await asyncio.sleep(2.0)
        assert set(known.members) <= set(store.rosters[GROUP].members)

    with_proxies(scenario)


@pytest.mark.parametrize("lost_seconds", [0.0, 3.0])
@pytest.mark.parametrize("seed", range(10))
def test_promises_hold_and_a_primary_can_be_changed_again(seed, lost_seconds):
    """The store returns while callers ask; the primary crashes just before, with or just after."""

    async def work():
        system = PromotedSystem(seed, proxies=PROXIES)
        loop, random = asyncio.get_running_loop(), system.world.random
        copies = []
        returned_at = 4.0 + random.random()
        crashed_at = returned_at + random.random() - 0.5
        loop.call_at(returned_at - lost_seconds, lambda: copies.append(system.world.store.copy()))
        loop.call_at(returned_at, lambda: come_back(system, copies[0]))
        loop.call_at(crashed_at, lambda: system.group.primary().crash())
        await system.run(15.0)
        history = system.world.history
        assert history.broken == []
        led = [at for at, _, _ in history.promotions]
        assert led
        assert max(led) < max(returned_at, crashed_at) + CHANGE_AGAIN_SECONDS
        later = [commit for commit in history.acknowledged if commit.at > max(led)]
        assert later

    run_virtual(work())


def test_the_tokens_of_a_later_era_are_greater_whatever_the_revisions():
    before, after = StoreRevision.of(3, 70_000), StoreRevision.of(4, 1)
    assert before < after
    assert (after.era, after.in_era) == (4, 1)
    assert StoreRevision(int(after)).era == 4
    assert StoreRevision.of(0, 70_000) == 70_000, "as stored and sent before eras were known"
    assert StoreRevision.of(2**13 - 1, 2**40 - 1) < 2**53


# --- the rules, each by itself --------------------------------------------------------------------


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


def test_the_lock_of_a_new_era_is_taken_once_all_rights_of_before_have_run_out():
    observer, absent = LockObserver("me"), LockRecord.absent(1)
    seen_at = 10.0
    observer.saw(seen_at, absent.revision)
    late = seen_at + TAKE_OVER_SECONDS
    assert observer.decide(late - 0.01, absent) is LockDecision.WAIT
    assert observer.decide(late, absent) is LockDecision.CREATE
    assert LockRecord.absent(0).released, "in the first era nobody can have had it"


def test_a_lock_ends_with_its_era_for_a_holder_that_knows_of_the_return():
    async def work():
        era = StoreEra()
        era.saw(0, "store")
        client = PromotionLockClient("me", None, RosterKeeper({}, None), era)
        held = HeldLock(StoreRevision.of(0, 9), asyncio.get_running_loop().time() + 3.0)
        assert client.usable_seconds(held) is not None
        era.saw(1, "another proxy")
        assert client.usable_seconds(held) is None

    run_virtual(work())


def test_what_proxies_acknowledged_says_nothing_of_terms_that_began_in_an_earlier_era():
    """A proxy's report may be lost with the copy, and the proxy gone."""
    token = StoreRevision.of(0, 9)
    ends = [Position(1, 5)]
    same = AcknowledgedCommits.by_all(ends, [StoreRevision(3)], era=0)
    later = AcknowledgedCommits.by_all(ends, [StoreRevision(3)], era=1)
    assert same.known_since < token < later.known_since


def test_a_roster_is_united_with_what_was_known_and_its_promotion_never_goes_back():
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
    assert known.known.members == ("i-0", "i-1"), "taken off by another proxy, in the same era"
    assert known.known.last_promotion == new, "a late write of before the return"
