"""The explorer of the change of primary: it replays exactly, it bites, and what it found stays.

Each guard is taken away in a variant that lives here alone; the explorer then finds a broken
promise, which the product keeps under the same schedule.
"""

import json
from pathlib import Path

import pytest
from msgspec.structs import replace

from orchidwind.promoted.core import failover, failover_choice
from orchidwind.promoted.core.failover import change_primary
from orchidwind.promoted.core.failover_choice import choose_candidate, fenced_replicas
from orchidwind.promoted.core.failover_steps import (
    AwaitRevocation,
    LockLost,
    ReadMembers,
    RecordPromotion,
)
from orchidwind.promoted.core.promotion_lock import LockDecision, LockObserver
from orchidwind_bench.promoted.exploration.acknowledgement import GuardedCommits, at_once
from orchidwind_bench.promoted.exploration.checks import BrokenPromise
from orchidwind_bench.promoted.exploration.choices import Schedule
from orchidwind_bench.promoted.exploration.explorer import Explorer
from orchidwind_bench.promoted.exploration.surroundings import ProductLogic
from orchidwind_bench.promoted.exploration.world import SCENARIOS, play

PRODUCT = ProductLogic()
# The whole of this file takes less than a minute; a search that finds nothing ends after this.
SEARCH_SECONDS = 20.0
FOUND = json.loads((Path(__file__).parent / "found_schedules.json").read_text())


def found(group):
    """Schedules that broke a promise once, as they were found."""
    return [
        Schedule(item["scenario"], item["deviations"]) for item in FOUND if item["group"] == group
    ]


def broken(schedule, logic=PRODUCT):
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
    explorer = Explorer(PRODUCT, SEARCH_SECONDS)
    report = explorer.few_deviations([Schedule("calm")], 2, among)
    ticks = len([item for item in play(Schedule("calm"), PRODUCT).met if "fault" in item.key])
    one = ticks * len(among)
    assert report.complete
    assert report.schedules >= 1 + one + one * (one - len(among)) // 2


# --- what was found -------------------------------------------------------------------------------


@pytest.mark.parametrize("schedule", found("kept"), ids=str)
def test_schedules_that_broke_a_promise_once_keep_all(schedule):
    assert broken(schedule) == set()


def test_no_commit_is_told_that_a_log_which_leads_already_lacks():
    assert [schedule for schedule in found("told_late") if broken(schedule)] == []


def test_fences_that_a_change_left_are_freed():
    assert [schedule for schedule in found("left_fences") if broken(schedule)] == []


def test_a_group_whose_primary_left_for_good_gets_another():
    assert [schedule for schedule in found("departed") if broken(schedule)] == []


def test_random_schedules_keep_the_promises():
    report = Explorer(PRODUCT, SEARCH_SECONDS).by_chance(range(1, 101))
    assert report.findings == []


# --- guards ---------------------------------------------------------------------------------------


def answering(flow, answer):
    """The same flow, with the steps for which `answer` gives a result answered by it."""
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


def members_as_planned(plan):
    def answer(step):
        return (plan,) if isinstance(step, ReadMembers) else None

    return answering(change_primary(plan), answer)


def without_record(plan):
    def answer(step):
        return (True,) if isinstance(step, RecordPromotion) else None

    return answering(change_primary(replace(plan, last_promotion=None)), answer)


def leases_ignored(plan):
    def answer(step):
        return (None,) if isinstance(step, AwaitRevocation) else None

    return answering(change_primary(plan), answer)


class TakingOwnLock(LockObserver):
    """Takes its own lock over at once, whatever was called under it."""

    def decide(self, now, record, promotion_called=False):
        return super().decide(now, record, promotion_called=False)


def longest_fenced(plan, fenced, demoted, fence_term):
    if demoted is None:
        return choose_candidate(plan, fenced, demoted, fence_term)
    replicas = fenced_replicas(fenced, fence_term)
    return max(replicas, key=lambda item: (item.received, item.instance), default=None)


def no_second_look(selection, candidate, fenced):
    yield from ()
    return True


def lost_in(logic, beginning, among, depth=1):
    """A schedule by which the explorer shows that a commit is lost; the product keeps it."""
    explorer = Explorer(logic, SEARCH_SECONDS, findings=3)
    report = explorer.few_deviations([beginning], depth, among)
    lost = (BrokenPromise.LOST, BrokenPromise.TOLD_TOO_LATE)
    return next(item.schedule for item in report.findings if item.promise in lost)


def test_commits_that_are_told_at_once_are_lost():
    logic = ProductLogic(acknowledge=at_once)
    schedule = lost_in(logic, Schedule("deaf"), ("restart i-1",))
    assert broken(schedule) == set()


def test_members_that_are_not_read_anew_lose_commits():
    logic = ProductLogic(change_primary=members_as_planned)
    beginning = Schedule(
        "not-confirming",
        {
            "store:views:p-2#1": "not done",
            "store:views:p-1#1": "slow",
            "store:take:p-1#0": "carried out late",
            "store:views:p-2#2": "slow",
        },
    )
    assert broken(lost_in(logic, beginning, ("join i-3 in parts",))) == set()


def test_leases_that_are_not_waited_for_lose_commits():
    logic = ProductLogic(change_primary=leases_ignored)
    beginning = Schedule(
        "calm", {"fault:time#0": "cut p-1 i-0", "fault:p-1:AskAll#0": "cut p-2 store"}
    )
    assert broken(lost_in(logic, beginning, ("join i-3",))) == set()


def test_promotions_that_are_not_written_down_lose_commits():
    logic = ProductLogic(change_primary=without_record)
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
    assert broken(lost_in(logic, beginning, ("lag i-3",))) == set()


def test_an_own_lock_that_is_taken_over_at_once_loses_commits():
    logic = ProductLogic(lock_observer=TakingOwnLock)
    beginning = Schedule(
        "deaf",
        {
            "fault:time#0": "deaf i-0",
            "fault:time#5": "cut i-0 i-2",
            "promotion:p-1#0": "very late",
        },
    )
    assert broken(lost_in(logic, beginning, ("restart p-1",))) == set()


def test_a_shorter_log_than_the_demoted_primarys_loses_commits(monkeypatch):
    beginning = Schedule("leaving", {"fault:time#0": "lag i-1"})
    with monkeypatch.context() as patch:
        patch.setattr(failover_choice, "choose_candidate", longest_fenced)
        schedule = lost_in(PRODUCT, beginning, ("restart i-2",))
    assert broken(schedule) == set()


def test_fences_that_nobody_looks_at_again_lose_commits(monkeypatch):
    """Neither before the call nor before a commit is told: each of the two is enough here."""
    logic = ProductLogic(acknowledge=GuardedCommits(asks_fences=False))
    beginning = Schedule("calm", {"fault:time#0": "cut p-1 i-0"})
    with monkeypatch.context() as patch:
        patch.setattr(failover, "_still_best", no_second_look)
        schedule = lost_in(logic, beginning, ("restart i-1",))
        assert broken(schedule) == set(), "the look before a commit is told"
    assert broken(schedule) == set()


class TakingAbsentLock(LockObserver):
    """Takes the lock of a new era of the store at once: nobody is known to hold it."""

    def decide(self, now, record, promotion_called=False):
        if not record.exists:
            return LockDecision.CREATE
        return super().decide(now, record, promotion_called)


def test_a_lock_that_is_taken_at_once_after_a_return_of_the_store_has_two_promoters():
    """The holder of before is paused right before its promotion, and goes on after the other's."""
    schedule = Schedule(
        "crash",
        {
            "fault:p-2:AskAll#2": "store returns, three seconds older",
            "fault:p-2:Promote#0": "pause p-2",
        },
    )
    logic = ProductLogic(lock_observer=TakingAbsentLock)
    assert BrokenPromise.TWO_PROMOTERS in broken(schedule, logic)
    assert broken(schedule) == set()
