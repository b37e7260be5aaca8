"""Scripted runs in which a change of primary could lose an acknowledged commit.

Each run checks which instances may hold acknowledged commits. It lists faults by the time or the
logged event at which they happen.
"""

import asyncio

import pytest
from support.scripted_days import NODES, crash_and_leave, cut_proxies, deafen, drain, once, play

from orchidwind.promoted.core.promotion_lock import TAKE_OVER_SECONDS
from orchidwind_bench.promoted.simulation.groups import LONGEST_PROMOTE_SECONDS
from orchidwind_bench.promoted.simulation.store import STORE

ANNOUNCEMENT_DELAY_SECONDS = 0.012
# A frozen primary resumes this long after the call for promotion, before that takes effect.
RESUME_DELAY_SECONDS = 0.3


def test_an_instance_that_joins_after_the_members_were_read_is_counted():
    """Only an instance that joined during a change of primary confirms commits.

    One replica left before the term began, the other receives no log.
    """
    joined = []

    def deafen_replica(system):
        primary = system.group.primary().name
        deafen(system, next(name for name in ("i-1", "i-2") if name != primary))

    def join_when_planned(system, record):
        planned = record.getMessage() == "failover_started"
        if planned and len(record.members.split(",")) == 2 and not joined:
            joined.append(system.group.join("zone-a", ANNOUNCEMENT_DELAY_SECONDS))

    system = play(
        116,
        [(2.0, lambda s: crash_and_leave(s, "i-0")), (4.5, deafen_replica)],
        8.0,
        on_event=join_when_planned,
    )
    assert joined, "no change of primary with two members was started"
    assert system.world.history.broken == []


def test_a_proxy_restarted_during_a_change_unfences_no_replica_for_the_old_primary():
    """Its promotion has not taken effect yet when it finds the old primary reachable again."""

    def restart_promoter(system, record):
        group = system.group
        group.instances[record.instance].deaf = True
        system.restart_proxy(system.world.store.lock.holder)
        asyncio.get_running_loop().call_later(RESUME_DELAY_SECONDS, group.primary().resume)

    def freeze_primary(system):
        system.group.promote_seconds = (LONGEST_PROMOTE_SECONDS, LONGEST_PROMOTE_SECONDS)
        system.group.primary().pause(30.0)

    sent = once("promotion_sent", restart_promoter)
    system = play(31, [(3.0, freeze_primary)], 7.0, on_event=sent)
    assert sent.done
    assert system.world.history.broken == []


def restart_instance(system, name):
    system.group.instances[name].crash()
    system.group.instances[name].restart()


def apply_late_unfence(system, name):
    """The unfence call of an earlier change arrives, after its proxy stopped waiting for it."""
    system.group.instances[name].fence_term = 0


def join_unlisted(system, name):
    system.group.join("zone-a", announced_after=1.0)


@pytest.mark.parametrize("fault", [restart_instance, apply_late_unfence, join_unlisted])
def test_commits_confirmed_after_the_last_fence_check_are_not_lost(fault):
    """One proxy does not reach the primary and replaces it, while the other proxies reach it.

    After the proxy last checked the fences, a replica accepts the old primary's log again or an
    instance joins. Commits that it confirms must not be lost.
    """

    def let_receive(system, record):
        other = next(name for name in ("i-1", "i-2") if name != record.instance)
        fault(system, other)

    sent = once("promotion_sent", let_receive)
    cut = [(3.0, lambda system: cut_proxies(system, "i-0", NODES[:1]))]
    system = play(32, cut, 7.0, on_event=sent, callers_a_node=4)
    assert sent.done
    assert system.world.history.broken == []


def test_an_old_primary_that_alone_answers_a_restarted_proxy_stays_replaced():
    """It is primary of a lower term, knows of no later term, and is draining."""

    def isolate_primary(system):
        for other in ("i-1", "i-2"):
            system.world.network.cut("i-0", other)
        cut_proxies(system, "i-0")

    def lose_newer_term(system):
        group = system.group
        assert group.primary().term == 2
        for name in ("i-1", "i-2"):
            group.instances[name].crash()
        system.world.network.heal()
        system.start_proxies()
        drain(system, "i-0")

    plan = [
        (2.0, isolate_primary),
        (5.0, lose_newer_term),
        (9.0, lambda system: system.group.instances["i-1"].restart()),
        (9.0, lambda system: system.group.instances["i-2"].restart()),
    ]
    system = play(33, plan, 12.0)
    assert system.world.history.broken == []


def test_a_candidate_that_stops_answering_does_not_end_the_change():
    """Another replica that also has every commit of the demoted primary is promoted instead."""
    raised = []

    def drain_primary(system):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: raised.append(context.get("exception")))
        drain(system, "i-0")

    def freeze_candidate(system, record):
        if record.getMessage() != "failover_step" or record.step != "FenceAll" or frozen:
            return
        system.group.instances["i-2"].pause(1.5)
        frozen.append(system.world.now)

    frozen = []
    system = play(34, [(2.0, drain_primary)], 7.0, on_event=freeze_candidate)
    assert frozen
    assert system.world.history.broken == []
    assert [error for error in raised if error is not None] == []
    took_effect_at = system.world.history.promotions[0][0]
    assert took_effect_at < frozen[0] + 1.5, "the change must not wait for the frozen instance"


def test_an_instance_whose_entry_expired_before_the_term_is_counted():
    """It is cut off from store and proxies, and is the only one that receives the new log."""

    def cut_off(system):
        cut_proxies(system, "i-3")
        system.world.network.cut("i-3", STORE)
        asyncio.get_running_loop().call_later(3.6, system.world.store.drop_entry, "i-3")

    def leave_alone_with_primary(system):
        primary = system.group.primary()
        assert primary.term == 2
        for name in ("i-0", "i-1", "i-2"):
            system.group.instances[name].deaf = name != primary.name

    def lose_primary(system):
        system.group.resets = False
        system.group.primary().crash()

    plan = [
        (1.0, cut_off),
        (2.0, lambda system: drain(system, "i-0")),
        (5.0, leave_alone_with_primary),
        (5.5, lose_primary),
    ]
    system = play(36, plan, 9.0, instances=4)
    assert system.world.history.broken == []


def test_a_departed_replica_with_the_only_log_is_remembered_while_the_primary_is_down():
    """It is the only one that confirmed commits; the logs of the others lack them."""

    def leave_alone_with_primary(system):
        system.group.instances["i-2"].deaf = True
        drain(system, "i-1")

    def end_both(system):
        system.group.resets = False
        leaving = system.group.instances["i-1"]
        leaving.crash()
        leaving.ended = True
        system.world.store.drop_entry("i-1")
        system.group.primary().crash()

    def return_primary(system):
        system.group.instances["i-0"].restart()
        system.group.instances["i-2"].deaf = False

    plan = [
        (2.0, leave_alone_with_primary),
        (2.5, end_both),
        (28.0, return_primary),
    ]
    system = play(37, plan, 31.0, callers_a_node=1)
    assert system.world.history.broken == []
    assert max(system.tally.write_times) > 30.0, "writes resume when the log is available again"


def test_a_replica_still_catching_up_in_a_newer_term_is_not_promoted():
    """If positions carry the followed term, a partial log compares as longer than a full one."""

    def fall_behind(system):
        system.group.positions_carry_followed_term = True
        system.group.replication.part_entries = 5
        system.group.instances["i-2"].deaf = True

    def leave_primary(system):
        system.group.instances["i-2"].receive_seconds = 0.1
        drain(system, "i-0")

    def follow_slowly(system, record):
        primary = system.group.instances[record.instance]
        assert primary.name == "i-1"
        system.group.instances["i-0"].deaf = True
        system.group.instances["i-2"].deaf = False

    def lose_primary(system):
        system.group.resets = False
        late = system.group.instances["i-2"]
        assert system.group.primary().name == "i-1"
        assert late.term == 2 and len(late.log) < len(system.group.primary().log)
        system.group.primary().crash()

    sent = once("promotion_sent", follow_slowly)
    plan = [(1.0, fall_behind), (2.5, leave_primary), (3.3, lose_primary)]
    system = play(38, plan, 8.0, on_event=sent)
    assert sent.done
    assert system.world.history.broken == []


def test_a_promotion_that_takes_effect_while_others_consider_a_change_loses_no_commit():
    """The chosen instance freezes before it is primary; meanwhile the old primary returns.

    The lock's holder is cut off from the store, and the other proxies could take its lock over.
    """

    returned_at = []
    considered = []
    lock_free_at = []

    def freeze_chosen(system, record):
        system.group.instances[record.instance].pause(11.0)
        lock_free_at.append(system.world.now + TAKE_OVER_SECONDS)
        loop = asyncio.get_running_loop()
        loop.call_later(1.0, return_primary, system, system.world.store.lock.holder)

    def return_primary(system, holder):
        returned_at.append(system.world.now)
        system.world.network.heal()
        system.world.network.cut(holder, STORE)

    def on_event(system, record):
        sent(system, record)
        if record.getMessage() == "failover_started" and returned_at:
            considered.append(system.world.now)

    sent = once("promotion_sent", freeze_chosen)
    plan = [(2.0, lambda system: cut_proxies(system, "i-0"))]
    system = play(39, plan, 16.0, on_event=on_event)
    assert sent.done
    assert any(at > lock_free_at[0] for at in considered), "a change was possible meanwhile"
    assert len(system.world.history.promotions) == 1
    assert system.world.history.broken == []


@pytest.mark.parametrize("moment", ["promotion_lock", "promotion_sent"])
def test_a_crashed_primary_that_returns_during_a_change_loses_no_commit(moment):
    returns = once(moment, lambda system, record: system.group.instances["i-0"].restart())
    plan = [(2.0, lambda system: system.group.primary().crash())]
    system = play(40, plan, 7.0, on_event=returns)
    assert returns.done
    assert system.world.history.broken == []
    assert max(system.tally.write_times) > 6.5


def test_an_abandoned_change_unfences_no_replica_for_an_old_primary():
    """The new primary reaches no replica; the old one does not know that its term is over."""

    def isolate_new_primary(system, record):
        assert record.instance == "i-2"
        for other in ("i-0", "i-1"):
            system.world.network.cut("i-2", other)

    def note_next_change(system, record):
        if record.getMessage() == "failover_started" and system.group.primary().name == "i-2":
            begun.append(system.world.now)

    begun = []
    sent = once("promotion_sent", isolate_new_primary)

    def on_event(system, record):
        sent(system, record)
        note_next_change(system, record)

    cut = [(3.0, lambda system: cut_proxies(system, "i-0", NODES[:1]))]
    system = play(41, cut, 8.0, on_event=on_event, callers_a_node=6)
    assert sent.done
    assert begun, "no further change of primary was started in the new term"
    assert system.world.history.broken == []
