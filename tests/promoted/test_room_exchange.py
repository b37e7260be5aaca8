"""Home proxies lend one another their parts of an instance: when, to whom, and what it gains."""

import asyncio
import random

import pytest

from orchidwind.promoted.core.peer_messages import InstanceDemand, RoomQuery
from orchidwind.promoted.peers.peer_codec import encode_peer
from orchidwind.promoted.peers.peer_link import ROOM_VIEW
from orchidwind.promoted.peers.room_exchange import RoomExchange
from orchidwind.promoted.peers.served_link import ServedLink
from orchidwind.promoted.views.view_reporter import ViewReporter
from orchidwind.shared.core.concurrency_window import fair_share
from orchidwind_bench.promoted.laboratory.play import (
    INSTANCES,
    PROXIES,
    SLOTS,
    LaboratorySystem,
    LoadPlan,
    figures,
)
from orchidwind_bench.promoted.laboratory.scenarios import (
    FAULT_FROM,
    FAULT_UNTIL,
    at_one_proxy,
    wave,
)
from orchidwind_bench.promoted.simulation.callers import PromotedSystem
from orchidwind_bench.promoted.simulation.virtual_time import run_virtual

# As in test_load: the instances have the capacity to serve all requests in time.
WITHIN_CAPACITY = 0.95
NEAR = 0.8
# The names of the instances in the directory.
KNOWN_AS = tuple(f"group/{name}" for name in INSTANCES)
CUT_AT = 2.0
# At most one line in this time about one instance at one proxy.
LOG_SECONDS = 5.0


def play(plan, prepare=lambda system: None, watch=None):
    """Run a plan; returns the system and its figures. `watch` is called every 10 ms."""

    async def work():
        system = LaboratorySystem(plan)
        prepare(system)
        watching = asyncio.create_task(keep_watching(system, watch))
        outcomes = await system.play()
        if watching.done():
            watching.result()
        watching.cancel()
        assert system.broken == []
        began = system.began_at
        return system, figures(outcomes, began + FAULT_FROM, began + FAULT_UNTIL)

    random.seed(plan.seed)  # makes the product's random pauses reproducible
    return run_virtual(work())


async def keep_watching(system, watch):
    while watch is not None:
        watch(system)
        await asyncio.sleep(0.01)


def all_pools(system):
    """The pools of all proxies that know the group."""
    groups = [node.groups.get("group") for node in system.nodes.values()]
    return [group.connections.pools for group in groups if group is not None]


def windows(system, instance):
    """The windows of all proxies at an instance."""
    pools = all_pools(system)
    known = [pool for pool in (item.known(instance) for item in pools) if pool is not None]
    return [pool.window.size for pool in known]


def parts_of_all(system, instance):
    """The parts of all proxies at an instance."""
    now = asyncio.get_running_loop().time()
    pools = all_pools(system)
    shares = [item.demand_shares(instance) for item in pools]
    return [item.part(now) for item in shares if item is not None]


def switch_off(monkeypatch):
    """The rejected design: each home keeps its own part of an instance, whatever its demand."""
    monkeypatch.setattr(RoomExchange, "_ask_others", lambda exchange: None)


@pytest.mark.parametrize("seed", [1, 2])
def test_one_proxy_with_most_of_the_demand_is_served(seed, monkeypatch):
    """Three quarters of all callers are at one of six homes; without loans it runs a third."""
    plan = LoadPlan(NEAR, seed=seed, proxy_weights=at_one_proxy)
    _, found = play(plan)
    assert found.credit >= WITHIN_CAPACITY
    switch_off(monkeypatch)
    assert play(plan)[1].credit < WITHIN_CAPACITY


def test_demand_that_moves_from_proxy_to_proxy_is_followed(monkeypatch):
    """Every two seconds three quarters of all callers move at once to the next of six homes.

    The instances have room for all of them, so over six seeds the credit is to be as with demand
    that stays, and on each seed the loans are to gain.
    """
    plans = [LoadPlan(NEAR, seed=seed, proxy_weights=wave) for seed in range(1, 7)]
    credits = [play(plan)[1].credit for plan in plans]
    assert sum(credits) / len(credits) >= WITHIN_CAPACITY
    switch_off(monkeypatch)
    for plan, credit in zip(plans, credits, strict=True):
        assert play(plan)[1].credit < credit


def test_windows_of_all_homes_stay_within_the_stated_excess():
    """Twice what an instance can have in progress, and one request for each home."""
    largest = []

    def watch(system):
        largest.append(max(sum(windows(system, name)) for name in KNOWN_AS))

    play(LoadPlan(1.1, seed=1, proxy_weights=wave), watch=watch)
    assert max(largest) >= fair_share(SLOTS, 1)
    assert max(largest) <= 2 * fair_share(SLOTS, 1) + len(PROXIES)


def sent(system):
    return system.links.sent["RoomQuery"]


def test_nothing_is_sent_while_there_is_room_everywhere():
    async def work():
        system = LaboratorySystem(LoadPlan())
        await system.settle()
        await asyncio.sleep(10.0)
        return system

    assert sent(run_virtual(work())) == 0


def test_the_only_home_sends_nothing():
    async def work():
        system = PromotedSystem(1, proxies=("proxy-a",))
        await system.run(4.0)
        return system

    assert sent(run_virtual(work())) == 0


def test_messages_under_load_are_few():
    """At most five a second from a home to each other home."""
    plan = LoadPlan(4.0, seconds=4.0)
    system, _ = play(plan)
    pairs = len(PROXIES) * (len(PROXIES) - 1)
    assert 0 < sent(system) <= 5 * pairs * (plan.seconds + 1)


def test_operators_see_who_has_which_part(caplog):
    """In `/status`, in the metrics and, seldom, in the log."""
    caplog.set_level("INFO", logger="orchidwind")
    seen, base = [], round(fair_share(SLOTS, len(PROXIES)), 2)

    def watch(system):
        if system.began_at and asyncio.get_running_loop().time() > system.began_at + FAULT_FROM:
            statuses = [node.status().groups[0].instances[1] for node in system.nodes.values()]
            seen.append([(status.part, status.demand, status.window) for status in statuses])
            assert all(status.base_part == base for status in statuses)

    system, _ = play(LoadPlan(NEAR, seconds=3.0, proxy_weights=at_one_proxy), watch=watch)
    assert any(first[0] > 2 * base and first[1] > base for first, *_ in seen)
    assert any(min(rest)[0] < base for _, *rest in seen)
    metrics = system.nodes[PROXIES[0]].metrics.render().decode()
    assert 'orchidwind_room_queries_total{outcome="lent"}' in metrics
    lines = [record for record in caplog.records if record.message == "instance_room_changed"]
    seconds = 2.0 + 3.0 + 1.0
    assert 0 < len(lines) <= len(PROXIES) * len(INSTANCES) * (1 + seconds / LOG_SECONDS)


# --- Proxies of the build before ------------------------------------------------------------------

OLD = PROXIES[1:3]


def make_old(monkeypatch):
    """Two proxies know neither the messages nor the name by which others ask for them.

    Returns the unknown messages that they get.
    """
    unknown = []
    report, handle = ViewReporter.report, ServedLink.handle_message

    def old_report(reporter, query):
        if reporter._held.name in OLD and query.view == ROOM_VIEW:
            query = type(query)(query.number, "unknown to any build", query.revision)
        return report(reporter, query)

    def old_handle(served, message):
        home = served._home.report_view.__self__._held.name
        if home in OLD and isinstance(message, RoomQuery):
            unknown.append(message)
            return
        handle(served, message)

    monkeypatch.setattr(ViewReporter, "report", old_report)
    monkeypatch.setattr(ServedLink, "handle_message", old_handle)
    return unknown


def test_proxies_of_the_build_before_are_sent_no_unknown_message(monkeypatch, caplog):
    caplog.set_level("INFO", logger="orchidwind")
    unknown = make_old(monkeypatch)
    system, _ = play(LoadPlan(NEAR, proxy_weights=at_one_proxy))
    assert sent(system) > 0
    assert unknown == []
    assert "home_lost" not in [record.message for record in caplog.records]


# --- Failures -------------------------------------------------------------------------------------


def test_without_news_each_home_has_its_own_part_again():
    """The ways between all proxies are cut: loans end on both sides, and all serve on."""
    unequal = []

    def cut(system):
        system.world.network.passes = lambda sender, receiver: (
            not (sender in PROXIES and receiver in PROXIES)
        )

    def watch(system):
        if system.began_at and asyncio.get_running_loop().time() > system.began_at + CUT_AT + 1.0:
            base = fair_share(SLOTS, len(PROXIES))
            parts = parts_of_all(system, KNOWN_AS[1])
            assert len(parts) == len(PROXIES)
            unequal.extend(part for part in parts if part != base)
            seen.append(len(parts))

    seen = []
    plan = LoadPlan(NEAR, seconds=5.0, proxy_weights=at_one_proxy, faults=((CUT_AT, cut),))
    play(plan, watch=watch)
    assert len(seen) > 50
    assert unequal == []


def test_what_left_is_forgotten():
    """An instance, a group and a proxy that are gone leave no record behind."""

    async def work():
        system = LaboratorySystem(LoadPlan())
        await system.settle()
        exchange = system.nodes[PROXIES[0]]._room
        now = asyncio.get_running_loop().time()
        exchange._logged["group", "gone"] = exchange._logged["no group", "gone"] = (1.0, now)
        exchange._ask_at["gone"] = exchange._failure_logged_at["gone"] = now
        exchange._ask_at["asked now"] = float("inf")
        await asyncio.sleep(60.0)
        assert exchange._logged == {}
        assert exchange._ask_at == {"asked now": float("inf")}
        assert exchange._failure_logged_at == {}

    run_virtual(work())


def test_a_report_of_a_proxy_that_is_no_home_is_lent_nothing():
    async def work():
        system = LaboratorySystem(LoadPlan())
        await system.settle()
        node = system.nodes[PROXIES[0]]
        await asyncio.sleep(1.0)
        instance = next(iter(node.groups["group"].topology.instances))
        demands = (InstanceDemand("group", instance, 50.0),)
        assert node._room.lend("stranger", demands) == ()
        assert node._room.lend("", demands) == ()
        assert node._room.lend(PROXIES[1], (InstanceDemand("no group", instance, 50.0),)) == ()
        assert node._room.lend(PROXIES[1], (InstanceDemand("group", "gone", 50.0),)) == ()
        (loan,) = node._room.lend(PROXIES[1], demands)
        assert 0 < loan.amount <= fair_share(SLOTS, len(PROXIES))

    run_virtual(work())


def test_a_report_is_short():
    """One group of four instances takes less than 200 bytes."""
    demands = tuple(InstanceDemand("group", f"instance-{n}", 5.0) for n in range(4))
    assert len(encode_peer(RoomQuery(70_000, demands))) < 200
