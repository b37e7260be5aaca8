"""Which home runs a command, and which refused ones are tried again: the rules by themselves."""

from hypothesis import given
from hypothesis import strategies as st

from orchidwind.promoted.core.circuit_breaker import RequestBreakers, found_none
from orchidwind.promoted.core.configuration import ReadConsistency
from orchidwind.promoted.core.home_choice import (
    EXPLORE_SECONDS,
    FORGET_SECONDS,
    FULL_SECONDS,
    MINIMUM_LEFT_SECONDS,
    PROBE_SECONDS,
    REROUTED_BURST,
    REROUTED_SHARE,
    Demand,
    HomeChoice,
    HomeNews,
    HomeRefusal,
    RerouteBudget,
    lack_of,
    may_try_again,
)
from orchidwind.shared.core.errors import ANSWERS, ErrorKind, Ran, RequestError

WRITES = Demand("g", None)
READS = Demand("g", ReadConsistency.LATEST)
HOMES = ("a", "b", "c")


def refusal(home="a", kind=ErrorKind.NO_PRIMARY, **changes):
    facts = {"sent": False, "found_none": True, "in_transaction": False, "seconds_left": 1.0}
    return HomeRefusal(home, kind, **(facts | changes))


def test_without_news_the_first_home_in_the_order_is_chosen_and_no_other_is_looked_at():
    looked = iter(HOMES)
    assert HomeNews().first_home(WRITES, looked, RerouteBudget(), 0.0) == HomeChoice("a")
    assert list(looked) == ["b", "c"]


def test_without_usable_homes_none_is_chosen():
    assert HomeNews().first_home(WRITES, (), RerouteBudget(), 0.0) is None


def test_a_home_that_lacks_a_primary_is_passed_over_but_for_probes_until_it_serves():
    news = HomeNews()
    news.refused(WRITES, refusal(), 0.0)
    assert news.first_home(WRITES, HOMES, RerouteBudget(), 0.01) == HomeChoice("b")
    assert news.first_home(READS, HOMES, RerouteBudget(), 0.01) == HomeChoice("a"), (
        "of another demand"
    )
    assert news.first_home(WRITES, HOMES, RerouteBudget(), PROBE_SECONDS) == HomeChoice(
        "a", probe=True
    )
    assert news.first_home(WRITES, HOMES, RerouteBudget(), PROBE_SECONDS) == HomeChoice("b")
    news.served(WRITES, "a", PROBE_SECONDS + 0.01)
    assert news.first_home(WRITES, HOMES, RerouteBudget(), PROBE_SECONDS + 0.02) == HomeChoice("a")


def test_no_probe_is_sent_whose_second_attempt_is_beyond_the_budget():
    news, budget = HomeNews(), RerouteBudget()
    news.refused(WRITES, refusal(), 0.0)
    while budget.spend():
        pass
    assert news.first_home(WRITES, HOMES, budget, PROBE_SECONDS) == HomeChoice("b")


def test_news_ends_by_its_age():
    news = HomeNews()
    news.refused(WRITES, refusal(), 0.0)
    assert news.lacking("g", FORGET_SECONDS - 0.01) == ["a:no_primary"]
    assert news.first_home(WRITES, HOMES, RerouteBudget(), FORGET_SECONDS) == HomeChoice("a")
    assert news.lacking("g", FORGET_SECONDS) == []


def test_if_all_homes_lack_something_the_first_one_is_chosen_and_none_is_second():
    news = HomeNews()
    for home in HOMES:
        news.refused(WRITES, refusal(home), 0.0)
    assert news.first_home(WRITES, HOMES, RerouteBudget(), 0.1) == HomeChoice("a")
    assert news.second_home(WRITES, HOMES, "a", 0.1) is None


def test_a_full_home_keeps_its_own_commands_and_gets_none_of_others():
    news = HomeNews()
    news.refused(WRITES, refusal("b", ErrorKind.OVERLOADED), 0.0)
    assert news.first_home(WRITES, ("b", "a"), RerouteBudget(), 0.01) == HomeChoice("b")
    news.refused(WRITES, refusal("a", ErrorKind.OVERLOADED), 0.01)
    assert news.second_home(WRITES, HOMES, "a", 0.02) is None, "none is known to have room"
    news.served(WRITES, "c", 0.02)
    assert news.second_home(WRITES, HOMES, "a", 0.03) == "c"
    assert news.second_home(WRITES, ("a", "b"), "a", 0.03) is None
    news.served(WRITES, "b", FULL_SECONDS)
    assert news.second_home(WRITES, ("a", "b"), "a", FULL_SECONDS) == "b"
    news.refused(WRITES, refusal("a", ErrorKind.OVERLOADED), 1.0)
    assert news.second_home(WRITES, HOMES, "a", 1.0) is None, "what is known is too old"


def test_writes_leave_a_home_with_an_unconfirming_primary_only_for_one_that_serves_writes():
    """Another home that sends them to the same primary makes their outcome unknown."""
    news = HomeNews()
    news.served(WRITES, "b", 0.0)
    news.refused(WRITES, refusal(found_none=False), 1.0)
    assert news.first_home(WRITES, HOMES, RerouteBudget(), 1.1) == HomeChoice("a")
    explored = [
        now for now in (1.0 + step * 0.05 for step in range(60)) if second(news, now) is not None
    ]
    assert all(b - a >= EXPLORE_SECONDS for a, b in zip(explored, explored[1:], strict=False))
    news.served(WRITES, "c", 4.0)
    assert second(news, 4.01) == "c"
    assert news.first_home(WRITES, HOMES, RerouteBudget(), 4.02) == HomeChoice("a", probe=True)
    assert news.first_home(WRITES, HOMES, RerouteBudget(), 4.02) == HomeChoice("c")


def test_writes_are_held_back_also_if_their_home_first_found_no_primary_at_all():
    news = HomeNews()
    news.refused(WRITES, refusal(), 0.0)
    assert news.first_home(WRITES, HOMES, RerouteBudget(), 0.1) == HomeChoice("b")
    news.refused(WRITES, refusal(found_none=False), 0.2)
    assert news.first_home(WRITES, HOMES, RerouteBudget(), 0.2) == HomeChoice("a")


def second(news, now):
    news.refused(WRITES, refusal(found_none=False), now)
    return news.second_home(WRITES, HOMES, "a", now)


def test_only_what_surely_did_not_run_is_tried_again():
    for kind in ErrorKind:
        allowed = may_try_again(refusal(kind=kind), small_tenant=False)
        assert allowed == (lack_of(kind) is not None)
        if allowed:
            assert ANSWERS[kind].ran is Ran.NO
        for unfit in (
            {"sent": True},
            {"in_transaction": True},
            {"seconds_left": MINIMUM_LEFT_SECONDS / 2},
        ):
            assert not may_try_again(refusal(kind=kind, **unfit), small_tenant=False)


def test_small_tenants_stay_at_their_full_home():
    assert not may_try_again(refusal(kind=ErrorKind.OVERLOADED), small_tenant=True)
    assert may_try_again(refusal(kind=ErrorKind.NO_PRIMARY), small_tenant=True)


def test_a_refused_probe_of_which_nothing_was_sent_goes_to_an_able_home():
    """Its wait at a home that is able again may be too short for a new connection there."""
    for kind in (ErrorKind.DEADLINE_PASSED, ErrorKind.OVERLOADED, ErrorKind.NO_PRIMARY):
        news = HomeNews()
        news.refused(WRITES, refusal(), 0.0)
        probe = refusal(kind=kind, probe=True)
        assert may_try_again(probe, small_tenant=True)
        assert not may_try_again(refusal(kind=kind, probe=True, sent=True), small_tenant=True)
        news.refused(WRITES, probe, PROBE_SECONDS)
        assert news.second_home(WRITES, HOMES, "a", PROBE_SECONDS) == "b"
    assert ANSWERS[ErrorKind.DEADLINE_PASSED].ran is Ran.NO
    assert not may_try_again(refusal(kind=ErrorKind.DEADLINE_PASSED), small_tenant=False)


@given(st.lists(st.booleans(), max_size=500))
def test_second_attempts_stay_within_their_share_whatever_is_refused(refused):
    budget, again = RerouteBudget(), 0
    for commands, is_refused in enumerate(refused, 1):
        budget.earn()
        again += is_refused and budget.spend()
        assert again <= REROUTED_SHARE * commands + REROUTED_BURST


def test_a_refusal_tells_whether_no_instance_was_found():
    breakers = RequestBreakers()
    assert found_none(RequestError(ErrorKind.NO_PRIMARY, ErrorKind.NO_PRIMARY.value))
    breakers.commit_waited(5.0, 10.0)
    breakers.refuse_at_primary(False, 5.0, 10.0)
    unconfirming = breakers.refuse_at_primary(False, 5.0, 10.01)
    assert unconfirming is not None
    assert not found_none(RequestError(unconfirming.kind, unconfirming.reason))
