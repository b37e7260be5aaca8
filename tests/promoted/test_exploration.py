"""Tests of the explorer that searches fault schedules of a change of primary.

They check that a schedule replays exactly, that schedules which once broke a promise no longer do,
and that the explorer detects missing guards: variants defined only in this file lack one guard
each, the explorer finds a broken promise for them, and the product keeps it on the same schedule.
"""

import json
from pathlib import Path

import pytest
from msgspec.structs import replace

from orchidwind.promoted.core import failover, failover_choice
from orchidwind.promoted.core.commands import InstanceRole
from orchidwind.promoted.core.failover import change_primary
from orchidwind.promoted.core.failover_choice import choose_candidate, fenced_replicas
from orchidwind.promoted.core.failover_steps import (
    AwaitRevocation,
    LockLost,
    ReadMembers,
    RecordPromotion,
)
from orchidwind.promoted.core.promotion_lock import LockDecision, LockObserver
from orchidwind.promoted.core.roster import PromotionRecord
from orchidwind_bench.promoted.exploration.acknowledgement import GuardedCommits, at_once
from orchidwind_bench.promoted.exploration.checks import BrokenPromise
from orchidwind_bench.promoted.exploration.choices import Schedule
from orchidwind_bench.promoted.exploration.explorer import Explorer
from orchidwind_bench.promoted.exploration.surroundings import ProductLogic
from orchidwind_bench.promoted.exploration.world import SCENARIOS, play

PRODUCT = ProductLogic()
# A search that finds nothing ends after this time; the whole file takes less than a minute.
SEARCH_SECONDS = 20.0
# For searches that end after a number of schedules: with a limit in seconds, their result would
# depend on the load of the machine.
UNTIL_COMPLETE = float("inf")
RECORDED = json.loads((Path(__file__).parent / "found_schedules.json").read_text())


def regression_schedules(group):
    """Returns the recorded schedules of a group, each of which once broke a promise."""
    return [
        Schedule(item["scenario"], item["deviations"])
        for item in RECORDED
        if item["group"] == group
    ]


def broken_promises(schedule, logic=PRODUCT):
    return {violation.promise for violation in play(schedule, logic).violations}


# --- the model ------------------------------------------------------------------------------------


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_scenarios_without_more_faults_keep_the_promises(scenario):
    result = play(Schedule(scenario), PRODUCT)
    assert result.violations == ()
    assert result.acknowledged > 50


def test_a_schedule_replays_exactly_from_its_seed_and_from_its_deviations():
    by_seed = play(Schedule("deaf", seed=5), PRODUCT, traced=True)
    again = play(Schedule("deaf", seed=5), PRODUCT, traced=True)
    listed = play(Schedule("deaf", by_seed.deviations), PRODUCT, traced=True)
    assert by_seed.deviations
    assert by_seed.trace == again.trace == listed.trace


def test_all_schedules_with_few_deviations_are_played_once():
    among = ("restart i-1", "restart i-2")
    explorer = Explorer(PRODUCT, UNTIL_COMPLETE)
    report = explorer.few_deviations([Schedule("calm")], 2, among)
    ticks = len([item for item in play(Schedule("calm"), PRODUCT).met if "fault" in item.key])
    one = ticks * len(among)
    assert report.complete
    assert report.schedules >= 1 + one + one * (one - len(among)) // 2


# --- regression schedules -------------------------------------------------------------------------


@pytest.mark.parametrize("schedule", regression_schedules("kept"), ids=str)
def test_schedules_that_broke_a_promise_once_keep_all(schedule):
    assert broken_promises(schedule) == set()


def test_no_commit_is_acknowledged_that_the_new_primary_lacks():
    """Guards against a late acknowledgement, after the promotion of a log without the commit."""
    assert [
        schedule for schedule in regression_schedules("told_late") if broken_promises(schedule)
    ] == []


def test_fences_left_by_a_change_of_primary_are_removed():
    """Guards against instances that stay fenced after an unfinished change of primary."""
    assert [
        schedule for schedule in regression_schedules("left_fences") if broken_promises(schedule)
    ] == []


def test_a_primary_that_left_permanently_is_replaced():
    """Guards against a group that stays without a primary after its primary has left."""
    assert [
        schedule for schedule in regression_schedules("departed") if broken_promises(schedule)
    ] == []


def test_random_schedules_keep_the_promises():
    report = Explorer(PRODUCT, UNTIL_COMPLETE).by_chance(range(1, 101))
    assert report.findings == []
    assert report.schedules == 100


# --- guards ---------------------------------------------------------------------------------------


def override_steps(flow, answer):
    """Runs a flow, but answers a step by `answer` where that returns a tuple with the result."""
    result, thrown = None, None
    while True:
        try:
            step = flow.send(result) if thrown is None else flow.throw(thrown)
        except StopIteration as ended:
            return ended.value
        result, thrown = None, None
        own = answer(step)
        if own is not None:
            result = own[0]
            continue
        try:
            result = yield step
        except LockLost as lost:
            thrown = lost


def skip_member_read(plan):
    def answer(step):
        return (plan,) if isinstance(step, ReadMembers) else None

    return override_steps(change_primary(plan), answer)


def skip_promotion_record(plan):
    def answer(step):
        return (True,) if isinstance(step, RecordPromotion) else None

    return override_steps(change_primary(replace(plan, last_promotion=None)), answer)


def skip_lease_wait(plan):
    def answer(step):
        return (None,) if isinstance(step, AwaitRevocation) else None

    return override_steps(change_primary(plan), answer)


class ImmediateOwnLockTakeover(LockObserver):
    """Takes over its own lock at once, even if a promotion was called under it."""

    def decide(self, now, record, promotion_called=False):
        return super().decide(now, record, promotion_called=False)


def choose_longest_fenced(plan, fenced, demoted, fence_term):
    if demoted is None:
        return choose_candidate(plan, fenced, demoted, fence_term)
    replicas = fenced_replicas(fenced, fence_term)
    return max(replicas, key=lambda item: (item.received, item.instance), default=None)


def replaces_nothing(record, instance, term):
    return False


def skip_fence_check(selection, candidate, fenced):
    yield from ()
    return True


# p-2 is cut off from the store, so it does not learn from the roster that i-0 is replaced.
UNAWARE_PROXY = Schedule(
    "calm",
    {"fault:time#0": "cut p-1 i-0 for long", "fault:p-1:AskAll#0": "cut p-2 store for long"},
)


def find_lost_commit(logic, beginning, among, depth=1):
    """Returns a schedule on which `logic` loses a commit; raises StopIteration if none is found."""
    explorer = Explorer(logic, SEARCH_SECONDS, findings=3)
    report = explorer.few_deviations([beginning], depth, among)
    lost = (BrokenPromise.LOST, BrokenPromise.TOLD_TOO_LATE)
    return next(item.schedule for item in report.findings if item.promise in lost)


def test_commits_acknowledged_without_confirmation_are_lost():
    logic = ProductLogic(acknowledge=at_once)
    schedule = find_lost_commit(logic, UNAWARE_PROXY, ("restart i-1",))
    assert broken_promises(schedule) == set()


def test_skipping_the_member_read_loses_commits():
    logic = ProductLogic(change_primary=skip_member_read)
    beginning = Schedule(
        "not-confirming",
        {
            "store:views:p-2#1": "not done",
            "store:views:p-1#1": "slow",
            "store:take:p-1#0": "carried out late",
            "store:views:p-2#2": "slow",
        },
    )
    assert broken_promises(find_lost_commit(logic, beginning, ("join i-3 in parts",))) == set()


def test_skipping_the_lease_wait_loses_commits():
    logic = ProductLogic(change_primary=skip_lease_wait)
    beginning = Schedule(
        "calm", {"fault:time#0": "cut p-1 i-0", "fault:p-1:AskAll#0": "cut p-2 store"}
    )
    assert broken_promises(find_lost_commit(logic, beginning, ("join i-3",))) == set()


def test_unrecorded_promotions_lose_commits():
    logic = ProductLogic(change_primary=skip_promotion_record)
    beginning = Schedule(
        "leaving",
        {
            "positions:group#0": "term that is followed",
            "fault:p-1:Promote#0": "cut i-0 i-2",
            "fault:p-1:Wait#0": "cut i-1 i-2",
            "fault:p-1:Wait#1": "join i-3 in parts",
            "fault:time#4": "crash i-2",
        },
    )
    assert broken_promises(find_lost_commit(logic, beginning, ("lag i-3",))) == set()


def test_taking_over_the_own_lock_at_once_loses_commits(monkeypatch):
    """The wait for the own lock and the recorded promotion both keep an old primary from leading.

    Either alone keeps the commit on this schedule, so both are removed to lose it.
    """
    logic = ProductLogic(lock_observer=ImmediateOwnLockTakeover)
    beginning = Schedule(
        "deaf",
        {
            "fault:time#0": "deaf i-0",
            "fault:time#5": "cut i-0 i-2",
            "promotion:p-1#0": "very late",
        },
    )
    with monkeypatch.context() as patch:
        patch.setattr(PromotionRecord, "replaces", replaces_nothing)
        schedule = find_lost_commit(logic, beginning, ("restart p-1",))
        assert broken_promises(schedule) == set(), "the wait for the own lock"
    assert broken_promises(schedule, logic) == set(), "the recorded promotion"
    assert broken_promises(schedule) == set()


def test_using_a_replaced_primary_again_acknowledges_its_commits(monkeypatch):
    """Guards against a proxy that uses an old primary again once its successor is gone."""
    beginning = Schedule(
        "calm", {"fault:time#0": "cut p-1 i-0 for long", "fault:p-1:Promote#0": "cut i-1 i-2"}
    )
    with monkeypatch.context() as patch:
        patch.setattr(PromotionRecord, "replaces", replaces_nothing)
        explorer = Explorer(PRODUCT, UNTIL_COMPLETE, findings=3)
        report = explorer.few_deviations([beginning], 1, ("crash i-2 for long",))
    found = [item for item in report.findings if item.promise is BrokenPromise.TWO_PRIMARIES]
    assert found
    assert broken_promises(found[0].schedule) == set()


# p-2 does not know i-3, which joined while p-2 was cut off from the store; i-0 and i-1 do not hear
# that i-3 leads.
UNKNOWN_SUCCESSOR = Schedule(
    "calm",
    {
        "caller:p-2#0": "only reads",
        "fault:time#0": "cut p-2 store for long",
        "fault:time#1": "join i-3",
        "fault:time#3": "leave i-0",
        "fault:p-1:RecordPromotion#0": "cut i-0 i-3",
        "fault:p-1:Promote#0": "cut i-1 i-3",
    },
)


def one_replica_shows_no_later_term(answered, term, lease_covers):
    return any(
        status.role is InstanceRole.REPLICA and status.newest_term <= term
        for status in answered.statuses
    )


def test_a_proof_by_one_replica_reads_from_a_replaced_primary():
    """Guards against trusting one replica, which may have lost its fence in a restart."""
    logic = ProductLogic(
        asked_for_lead=lambda instances: instances[:1], proves_lead=one_replica_shows_no_later_term
    )
    explorer = Explorer(logic, UNTIL_COMPLETE, findings=3)
    report = explorer.few_deviations([UNKNOWN_SUCCESSOR], 1, ("restart i-1",))
    found = [item for item in report.findings if item.promise is BrokenPromise.STALE]
    assert found
    assert broken_promises(found[0].schedule) == set()


def test_promoting_a_shorter_log_than_the_demoted_primarys_loses_commits(monkeypatch):
    beginning = Schedule("leaving", {"fault:time#0": "lag i-1"})
    with monkeypatch.context() as patch:
        patch.setattr(failover_choice, "choose_candidate", choose_longest_fenced)
        schedule = find_lost_commit(PRODUCT, beginning, ("restart i-2",))
    assert broken_promises(schedule) == set()


def test_unchecked_fences_lose_commits(monkeypatch):
    """The fences are checked before the promotion call and before a commit is acknowledged.

    Either check alone keeps the commit on this schedule, so both are removed to lose it.
    """
    logic = ProductLogic(acknowledge=GuardedCommits(asks_fences=False))
    with monkeypatch.context() as patch:
        patch.setattr(failover, "_still_best", skip_fence_check)
        schedule = find_lost_commit(logic, UNAWARE_PROXY, ("restart i-1",))
        assert broken_promises(schedule) == set(), "the check before a commit is acknowledged"
    assert broken_promises(schedule) == set()


class ImmediateAbsentLockTakeover(LockObserver):
    """Takes an absent lock at once, without waiting out the rights of the previous store era."""

    def decide(self, now, record, promotion_called=False):
        if not record.exists:
            return LockDecision.CREATE
        return super().decide(now, record, promotion_called)


def test_taking_an_absent_lock_at_once_after_a_restore_has_two_promoters():
    """Guards against two promoters after the store was restored from a copy without the lock.

    The previous holder is paused right before its promotion call and resumes after the new
    holder's promotion.
    """
    schedule = Schedule(
        "crash",
        {
            "fault:p-2:AskAll#2": "store returns, three seconds older",
            "fault:p-2:Promote#0": "pause p-2",
        },
    )
    logic = ProductLogic(lock_observer=ImmediateAbsentLockTakeover)
    assert BrokenPromise.TWO_PROMOTERS in broken_promises(schedule, logic)
    assert broken_promises(schedule) == set()
