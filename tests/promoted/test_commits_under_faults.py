"""Commits that a proxy must not acknowledge, or that a change of primary must take into account.

Scripted runs with network cuts and crashes. Each guards against a fault that lost a commit or left
a group without a primary.
"""

import asyncio

import pytest
from support.scripted_days import NODES, crash_and_leave, cut_proxies, deafen, drain, once, play

from orchidwind_bench.promoted.simulation.store import STORE


def isolate_old_primary(system):
    """Cut proxy-a and the replicas off from i-0, and the other proxies off from i-1 and i-2."""
    cut_proxies(system, "i-0", NODES[:1])
    for replica in ("i-1", "i-2"):
        system.world.network.cut("i-0", replica)
        cut_proxies(system, replica, NODES[1:])


def join_when_chosen(cut_off):
    """Return a hook that lets an instance join when a replica was chosen for promotion.

    With `cut_off` the instance reaches neither the replicas nor proxy-a.
    """
    joined = []

    def on_event(system, record):
        if record.getMessage() != "failover_choice" or joined:
            return
        if record.chosen not in ("i-1", "i-2"):
            return
        joined.append(system.world.now)
        if cut_off:
            for other in ("i-1", "i-2"):
                system.world.network.cut("i-3", other)
            cut_proxies(system, "i-3", NODES[:1])
        system.group.join("zone-b", 0.012)

    on_event.joined = joined
    return on_event


@pytest.mark.parametrize("seed", [51, 52])
@pytest.mark.parametrize("cut_off", [True, False])
def test_an_instance_listed_after_the_members_were_read_confirms_no_commits(seed, cut_off):
    """The proxies that use it do not see that the other instances are fenced."""
    joins = join_when_chosen(cut_off)
    system = play(seed, [(3.0, isolate_old_primary)], 8.0, on_event=joins, callers_a_node=4)
    assert joins.joined
    assert system.world.history.broken == []


@pytest.mark.parametrize("how", ["restart", "late_unfence"])
def test_an_unfenced_replica_confirms_no_commits_for_proxies_cut_off_from_the_chosen_one(how):
    def let_receive(system, record):
        other = next(name for name in ("i-1", "i-2") if name != record.instance)
        cut_proxies(system, record.instance, NODES[1:])
        if how == "restart":
            system.group.instances[other].crash()
            system.group.instances[other].restart()
        else:
            system.group.instances[other].fence_term = 0

    sent = once("promotion_sent", let_receive)
    plan = [(3.0, lambda system: cut_proxies(system, "i-0", NODES[:1]))]
    system = play(32, plan, 7.0, on_event=sent, callers_a_node=4)
    assert sent.done
    assert system.world.history.broken == []


def drop_entry_later(system, name):
    asyncio.get_running_loop().call_later(3.6, system.world.store.drop_entry, name)


def leave_alone_with_i3(system):
    """Only i-3 receives the log of the primary, which is in the second term."""
    primary = system.group.primary()
    assert primary.term == 2
    for name in ("i-0", "i-1", "i-2"):
        system.group.instances[name].deaf = name != primary.name


@pytest.mark.parametrize("seed", [51, 52])
def test_starting_proxies_know_of_an_instance_cut_off_from_the_store(seed):
    def cut_off(system):
        system.world.network.cut("i-3", STORE)
        drop_entry_later(system, "i-3")

    plan = [
        (1.0, cut_off),
        (5.5, lambda system: drain(system, "i-0")),
        (8.0, leave_alone_with_i3),
        (8.2, lambda system: system.start_proxies()),
        (10.5, lambda system: system.group.primary().crash()),
    ]
    system = play(seed, plan, 14.0, instances=4)
    assert system.world.history.broken == []


@pytest.mark.parametrize("seed", [51, 52, 53])
def test_commits_acknowledged_by_a_proxy_are_known_after_its_planned_stop(seed):
    def cut_off(system):
        cut_proxies(system, "i-3")
        system.world.network.cut("i-3", STORE)
        drop_entry_later(system, "i-3")

    def leave_alone_and_use_one_proxy(system):
        leave_alone_with_i3(system)
        cut_proxies(system, system.group.primary().name, NODES[1:])

    async def end_proxy(system):
        await system.nodes["proxy-a"].leases.leave()
        system.world.network.cut("proxy-a", STORE)
        for name in ("i-0", "i-1", "i-2"):
            cut_proxies(system, name, ["proxy-a"])
        system.restart_proxy("proxy-a")
        system.group.primary().crash()

    plan = [
        (1.0, cut_off),
        (2.0, lambda system: drain(system, "i-0")),
        (5.0, leave_alone_and_use_one_proxy),
        (5.15, lambda system: asyncio.get_running_loop().create_task(end_proxy(system))),
    ]
    system = play(seed, plan, 9.0, instances=4)
    assert system.world.history.broken == []


@pytest.mark.parametrize("announced_after", [0.012, 0.3])
def test_a_change_waits_for_a_late_entry_if_commits_were_acknowledged(announced_after):
    """The only replica receives no log, a new instance confirms, and the primary crashes.

    The new instance is listed in the directory after a delay.
    """
    join_and_crash(announced_after)


def test_an_entry_that_comes_after_a_change_of_primary_loses_no_commit():
    join_and_crash(0.6)


def join_and_crash(announced_after):
    plan = [
        (3.0, lambda system: deafen(system, "i-1")),
        (3.2, lambda system: system.group.join("zone-a", announced_after)),
        (3.25, lambda system: system.group.primary().crash()),
    ]
    system = play(116, plan, 7.0, instances=2)
    assert system.world.history.broken == []


@pytest.mark.parametrize("restarted", [False, True])
def test_a_permanently_lost_instance_does_not_block_changes_forever(restarted):
    """A proxy is lost, too, so it is unknown which commits it acknowledged.

    The lost instance therefore counts for longer as one that may hold such commits.
    """

    def end_proxy(system):
        if restarted:
            system.restart_proxy("proxy-c")
            return
        for other in ("i-0", "i-1", "i-2", "i-3", "proxy-a", "proxy-b", STORE):
            system.world.network.cut("proxy-c", other)

    def lose_primary(system):
        if restarted:
            for name in ("i-0", "i-1", "i-2", "i-3"):
                cut_proxies(system, name, ["proxy-c"])
        crash_and_leave(system, system.group.primary().name)

    plan = [
        (2.0, lambda system: crash_and_leave(system, "i-0")),
        (7.0, end_proxy),
        (9.0, lose_primary),
    ]
    system = play(116, plan, 40.0, instances=4, callers_a_node=1)
    assert system.world.history.broken == []
    late = [at for at in system.tally.write_times if at > 9.5]
    # It left the directory at 5.6 s and counts for 20 s; a change is tried every second or two.
    assert late
    assert late[0] < 30.0
