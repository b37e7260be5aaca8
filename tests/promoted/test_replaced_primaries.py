"""Scripted runs in which a proxy could go on with a primary that another instance has replaced.

Each run is on virtual time with the real code of the proxies.
"""

import asyncio
import itertools

import pytest
from msgspec.structs import replace
from support.scripted_days import NODES, cut_proxies, drain, once, play

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.failover_fences import fence_term_above, may_be_unfenced
from orchidwind.promoted.core.failover_primary import leader_of
from orchidwind.promoted.core.failover_steps import FailoverPlan, FailoverReason
from orchidwind.promoted.core.roster import KnownRoster, PromotionRecord, Roster
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.shared.core.positions import Position
from orchidwind_bench.promoted.simulation.store import STORE

# Cut off from the primary, and cut off from the store and the other proxies.
CUT_OFF, ALONE = NODES[0], NODES[2]
# Much shorter than any call of a proxy takes to show who leads.
LOOK_SECONDS = 0.002
# Three heartbeats.
ENTRY_OUTLIVES_SECONDS = 3.6


def when_it_leads(system, name, act):
    """Calls back as soon as an instance leads."""
    if system.group.instances[name].leads:
        act()
    else:
        loop = asyncio.get_running_loop()
        loop.call_later(LOOK_SECONDS, when_it_leads, system, name, act)


def lose(system, name):
    """Crashes an instance; it is dark, and its entry goes."""
    system.group.resets = False
    system.group.instances[name].crash()
    loop = asyncio.get_running_loop()
    loop.call_later(ENTRY_OUTLIVES_SECONDS, system.world.store.drop_entry, name)


def lose_successor_as_it_leads(returns_after):
    """Returns an event hook: the promoted instance reaches no other one, and is lost as it leads.

    It returns with its log some seconds later, or never.
    """

    def on_promotion(system, record):
        successor = record.instance
        for other in system.group.instances:
            if other != successor:
                system.world.network.cut(successor, other)

        def lose_successor():
            lose(system, successor)
            if returns_after is not None:
                asyncio.get_running_loop().call_later(returns_after, bring_back)

        def bring_back():
            system.world.network.heal()
            system.group.instances[successor].restart()

        when_it_leads(system, successor, lose_successor)

    return once("promotion_sent", on_promotion)


def test_no_commit_of_a_replaced_primary_is_acknowledged_while_its_successor_is_gone():
    """Guards against using an old primary again because its successor's entry has lapsed.

    One proxy is cut off from the primary and has it replaced; the others reach it all the time.
    """
    lost = lose_successor_as_it_leads(returns_after=9.0)
    plan = [
        (2.0, lambda system: cut_proxies(system, "i-0", [CUT_OFF])),
        (9.0, lambda system: system.world.network.join(CUT_OFF, "i-0")),
    ]
    system = play(51, plan, 18.0, on_event=lost, callers_a_node=3)
    assert lost.done
    assert system.world.history.broken == []


def isolate_proxy(system, proxy):
    """Cuts a proxy off from the store and from the other proxies; it reaches all instances."""
    for other in (STORE, *(name for name in NODES if name != proxy)):
        system.world.network.cut(proxy, other)


def test_a_proxy_without_the_store_reads_nothing_from_a_replaced_primary():
    """Guards against a proof of leadership by one replica whose fence was lifted too early.

    The successor joined while the proxy was cut off, so the proxy does not know it. The old primary
    and the replica that is nearest to the proxy do not hear of their new primary.
    """

    def deafen_two(system, record):
        assert record.instance == "i-3"
        for name in ("i-0", "i-2"):
            system.group.instances[name].deaf = True

    def hear_again(system):
        system.world.network.heal()
        for instance in system.group.instances.values():
            instance.deaf = False

    sent = once("promotion_sent", deafen_two)
    plan = [
        (2.0, lambda system: isolate_proxy(system, ALONE)),
        (2.3, lambda system: system.group.join("zone-a")),
        (2.8, lambda system: drain(system, "i-0")),
        (9.0, hear_again),
    ]
    system = play(61, plan, 12.0, on_event=sent, read_only_proxies=(ALONE,))
    assert sent.done
    assert system.world.history.broken == []


def test_a_replica_that_lost_its_fence_proves_no_lead_of_a_replaced_primary():
    """Guards against trusting one replica: it was restarted, so that it is no longer fenced.

    The old primary does not know that it was replaced. The proxy reaches it, this replica, and one
    that follows the successor.
    """

    def restart_replica(system, record):
        assert record.instance == "i-3"
        replica = system.group.instances["i-2"]
        replica.crash()
        replica.restart()
        replica.deaf = True

    def replace_primary(system):
        isolate_proxy(system, ALONE)
        cut_proxies(system, "i-0", NODES[:2])
        for other in ("i-1", "i-2", "i-3"):
            system.world.network.cut("i-0", other)
        system.world.network.cut(ALONE, "i-3")

    sent = once("promotion_sent", restart_replica)
    plan = [(2.0, replace_primary), (9.0, lambda system: system.world.network.heal())]
    system = play(62, plan, 12.0, instances=4, on_event=sent, read_only_proxies=(ALONE,))
    assert sent.done
    assert system.world.history.broken == []


# --- rules ----------------------------------------------------------------------------------------


def plan(**changes):
    members = ("a", "b", "c")
    plan = FailoverPlan("g", FailoverReason.LEFT_FENCED, members, frozenset(), "a", 1)
    return replace(plan, **changes)


def primary(name, term):
    return InstanceStatus(name, InstanceRole.PRIMARY, term, Position(term, 9), 0, 0)


def replica(name, term, fence_term=0):
    return InstanceStatus(name, InstanceRole.REPLICA, term, Position(term, 9), fence_term, 0)


def named(*statuses):
    return {item.instance: item for item in statuses}


RECORD = PromotionRecord("c", 2, Position(1, 5), StoreRevision(7), "a")


@pytest.mark.parametrize(
    "statuses, liftable",
    [
        (named(replica("b", 1, 3)), ()),
        (named(replica("b", 2, 3)), ("b",)),
        (named(primary("a", 1), replica("b", 1, 2)), ()),
        (named(primary("c", 2), replica("b", 1, 3)), ()),
        (named(primary("c", 2), replica("b", 1, 3), primary("a", 1)), ()),
        (named(primary("c", 2), replica("b", 1, 3), replica("a", 1)), ("b",)),
        (named(primary("c", 2), replica("b", 1, 2), replica("a", 1)), ()),
        (named(primary("c", 2), replica("b", 2, 3)), ("b",)),
    ],
)
def test_a_fence_is_lifted_only_if_the_replica_can_follow_no_replaced_primary(statuses, liftable):
    change = plan(last_promotion=RECORD)
    assert may_be_unfenced(change, leader_of(change, statuses), statuses) == liftable


def test_a_fence_is_lifted_if_the_primaries_of_all_terms_in_between_were_demoted():
    statuses = named(primary("c", 3), replica("b", 1, 4))
    leader = statuses["c"]
    assert may_be_unfenced(plan(ended_terms=frozenset({1})), leader, statuses) == ()
    assert may_be_unfenced(plan(ended_terms=frozenset({1, 2})), leader, statuses) == ("b",)


def test_a_fence_that_an_interrupted_change_left_is_not_exceeded():
    """Otherwise the new primary's term could stay below the fences, and no replica follow it."""
    assert fence_term_above(plan(), named(replica("b", 1, 2), replica("c", 1, 2))) == 2
    silent = plan(last_promotion=RECORD)
    assert fence_term_above(silent, named(replica("b", 1, 2))) == 3
    assert fence_term_above(silent, named(replica("b", 1, 2), replica("c", 1))) == 2


def test_the_later_of_two_promotions_under_one_token_counts():
    """Guards against going on with the first one, and against writing it back to the store."""
    later = replace(RECORD, instance="b")
    known = KnownRoster("g")
    for revision, record in ((5, RECORD), (6, later)):
        known.take(Roster("g", ("a", "b", "c"), StoreRevision.of(0, revision), record))
    assert known.known.last_promotion == later
    assert known.wanted(lambda members: tuple(members)) is None
    known.take(Roster("g", ("a", "b", "c"), StoreRevision.of(1, 3), RECORD))
    assert known.known.last_promotion == later, "the store was restored from an older copy"


# --- the mirror: a group whose successor is gone for good serves again ----------------------------

# The users' target for a change of primary.
LONGEST_WITHOUT_WRITES_SECONDS = 7.0


def lose_successor_before_it_leads(system, record):
    lose(system, record.instance)


def lose_successor_once_followed(system, record):
    """A replica follows it already, and the old primary does not know of it."""
    successor = record.instance
    system.world.network.cut(successor, "i-0")
    loop = asyncio.get_running_loop()
    when_it_leads(system, successor, lambda: loop.call_later(0.1, lose, system, successor))


def longest_gap(times):
    return max(later - earlier for earlier, later in itertools.pairwise(sorted(times)))


@pytest.mark.parametrize(
    "new_hook",
    [
        pytest.param(
            lambda: once("promotion_sent", lose_successor_before_it_leads), id="before_it_leads"
        ),
        pytest.param(lambda: lose_successor_as_it_leads(returns_after=None), id="as_it_leads"),
        pytest.param(
            lambda: once("promotion_sent", lose_successor_once_followed), id="once_followed"
        ),
    ],
)
def test_a_group_whose_successor_is_gone_for_good_takes_writes_and_reads_again(new_hook):
    """The old primary is up and does not know of the change; one proxy is cut off from it."""
    on_event = new_hook()
    plan = [
        (2.0, lambda system: cut_proxies(system, "i-0", [CUT_OFF])),
        (5.0, lambda system: system.world.network.join(CUT_OFF, "i-0")),
    ]
    system = play(52, plan, 20.0, on_event=on_event, callers_a_node=3)
    assert on_event.done
    assert system.world.history.broken == []
    assert longest_gap([*system.tally.write_times, 20.0]) < LONGEST_WITHOUT_WRITES_SECONDS
    assert longest_gap([*system.tally.read_times, 20.0]) < LONGEST_WITHOUT_WRITES_SECONDS


# A proxy that reaches the store again has its lease within a reading of the lock.
LONGEST_WITHOUT_READS_SECONDS = 2.0


def test_reads_go_on_while_a_replica_is_lost_for_good():
    """All proxies have their leases, under which an instance that is silent need not answer."""
    system = play(53, [(2.0, lambda system: lose(system, "i-2"))], 10.0, callers_a_node=3)
    assert system.world.history.broken == []
    assert longest_gap([*system.tally.read_times, 10.0]) < LONGEST_WITHOUT_READS_SECONDS


def test_a_proxy_without_the_store_and_a_replica_reads_again_once_it_reaches_the_store():
    """Without a lease all listed instances have to answer, and one of them is lost for good."""

    def reach_store(system):
        system.world.network.join(ALONE, STORE)

    plan = [
        (2.0, lambda system: isolate_proxy(system, ALONE)),
        (3.5, lambda system: lose(system, "i-1")),
        (7.0, reach_store),
    ]
    system = play(54, plan, 11.0, callers_a_node=3, read_only_proxies=NODES)
    assert system.world.history.broken == []
    at_alone = [at for at, node in system.tally.reads_at if node == ALONE]
    assert any(3.2 < at < 3.5 for at in at_alone), "while all instances answer"
    assert not any(4.5 < at < 7.0 for at in at_alone)
    assert any(7.0 < at < 7.0 + LONGEST_WITHOUT_READS_SECONDS for at in at_alone)
