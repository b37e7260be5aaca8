"""Changes of the holders that are completed by their word, or turned round, before shares end.

Extends the properties of `test_share_changes`: shares in force add up to at most one, and never to
nothing, while holders say that they have given up their earlier shares, restart under their names
with old news, and come back from a split.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace
from test_share_changes import (
    HANDOVERS,
    NAME,
    NAMES,
    RESTARTS,
    ROUNDING,
    STEP_SECONDS,
    SUBSET,
    Proxy,
    Site,
    happen,
    restart_in_turn,
)

from orchidwind.promoted.core import share_changes
from orchidwind.promoted.core.own_share import OwnShare
from orchidwind.promoted.core.quota_shares import (
    EARLY_SETTLE_SECONDS,
    SETTLE_SECONDS,
    QuotaShares,
    completed,
    early_part_passed,
    next_shares,
    returned,
    with_next_holders,
)
from orchidwind.promoted.core.share_changes import STANDING_SECONDS, Surroundings
from orchidwind.promoted.core.share_status import ShareState, share_status
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.shared.core.quota import EARLY_VALID_SECONDS

SOON_SECONDS = 1.0


class AskingProxy(Proxy):
    """A proxy that knows when it started and answers others."""

    def __init__(self, name, now):
        super().__init__(name, now)
        self.own = OwnShare(name, now)

    def confirms(self, revision):
        return self.own.gives_up_previous(revision)


class AskingSite(Site):
    """A site whose proxies ask the holders for their word; questions and answers may be late."""

    proxy_type = AskingProxy

    def __init__(self, holders=NAMES[:2]):
        self.in_transit = []
        self.message_delay = 0.0
        super().__init__(holders)
        self.alive = {name: self.proxy_type(name, self.now - 1.0) for name in NAMES}
        self.hear_all()

    def start(self, name, hears_late=0.0):
        self.alive[name] = self.proxy_type(name, self.now)
        self.alive[name].hears_late = hears_late

    def decide(self, proxy, lost):
        self.deliver()
        for holder in proxy.changes.to_ask(self.now, Surroundings(self.wanted, lost)):
            self.ask(proxy, holder, proxy.own.held.revision)
        super().decide(proxy, lost)

    def ask(self, proxy, holder, revision):
        if holder == proxy.name:
            if proxy.confirms(revision):
                proxy.changes.confirmed(holder, revision)
            return
        self.in_transit.append((self.now + self.message_delay, proxy, holder, revision, False))
        self.deliver()

    def deliver(self):
        due = [message for message in self.in_transit if message[0] <= self.now]
        self.in_transit = [message for message in self.in_transit if message[0] > self.now]
        for _, proxy, holder, revision, is_answer in due:
            asked = self.alive.get(holder)
            if is_answer:
                if self.alive.get(proxy.name) is proxy and not proxy.cut_off:
                    proxy.changes.confirmed(holder, revision)
                continue
            if asked is None or asked.cut_off or asked.frozen or proxy.cut_off:
                continue
            if asked.confirms(revision):
                at = self.now + self.message_delay
                self.in_transit.append((at, proxy, holder, revision, True))
        if any(message[0] <= self.now for message in self.in_transit):
            self.deliver()


# --- Safety ---------------------------------------------------------------------------------------

EVENTS = st.one_of(
    st.tuples(st.sampled_from(("kill", "cut", "heal", "freeze", "thaw")), NAME),
    st.tuples(st.just("start_late"), NAME, st.sampled_from((0.0, 0.5, 1.8, 3.0))),
    st.tuples(st.just("split"), SUBSET),
    st.tuples(st.just("believe"), NAME, SUBSET),
    st.tuples(st.just("wanted"), SUBSET),
    st.tuples(st.just("late"), NAME, st.floats(0.0, 3.0)),
    st.tuples(st.just("write_delay"), st.sampled_from((0.0, 0.0, 0.3, 4.0))),
    st.tuples(st.just("message_delay"), st.sampled_from((0.0, 0.0, 0.3, 4.0))),
)
SCHEDULES = st.lists(
    st.tuples(EVENTS, st.sampled_from((0.1, 0.3, 1.0, 2.5, 5.0, 10.3))), min_size=5, max_size=40
)


def strike(site, event):
    """Lets one event of a schedule happen; the others are those of `test_share_changes`."""
    kind, *rest = event
    if kind == "start_late":
        site.start(*rest)
    elif kind == "message_delay":
        site.message_delay = rest[0]
    elif kind == "split":
        for proxy in site.alive.values():
            proxy.cut_off = proxy.name in rest[0]
    else:
        happen(site, event)


@settings(max_examples=400)
@given(SCHEDULES, st.booleans())
def test_shares_never_add_up_to_more_than_one_while_holders_give_their_word(schedule, truthful):
    """`truthful`: each proxy knows whom it cannot reach; else it believes what the events say."""
    site = AskingSite()
    for event, seconds in schedule:
        strike(site, event)
        site.run(seconds, site.unreachable if truthful else None)
    assert site.most <= 1.0 + ROUNDING


def test_a_holder_that_stays_does_not_keep_more_than_is_left_beside_further_next_holders():
    """It is cut off before others add themselves, and the change is completed without it.

    Guards against a change that goes on as if the holder knew of its smaller share: 1.125 of each
    quota were in force.
    """
    site = Site()
    site.alive["b"].frozen = True
    site.wanted = ("a", "c")
    site.run(2.9, site.unreachable)
    assert site.stored.following == ("a", "c")
    site.alive["a"].cut_off = True
    site.run(2.0 * SETTLE_SECONDS, site.unreachable)
    assert {"d", "e"} < set(site.stored.holders)
    assert site.most <= 1.0 + ROUNDING


def site_changed_by_word(restarts=False, site_type=AskingSite):
    """All holders leave and give their word; one hears late, and starts anew if that is wanted."""
    site = site_type(holders=("a", "b"))
    site.run(STANDING_SECONDS + 1.0, site.unreachable)
    site.wanted = ("b", "c")
    for _ in range(100):
        site.run(STEP_SECONDS, site.unreachable)
        if not site.stored.following and site.stored.holders == ("b", "c"):
            break
    if restarts:
        site.kill("a")
        site.start("a", hears_late=2.0)
    site.run(SOON_SECONDS, site.unreachable)
    return site


def test_holders_that_all_answer_are_replaced_at_once():
    site = site_changed_by_word()
    changed_at = next(at for at, shares in site.history if shares.following)
    done_at = next(at for at, shares in site.history if shares.holders == ("b", "c"))
    assert done_at - changed_at <= SOON_SECONDS
    assert site.least > 0.0
    assert site.most <= 1.0 + ROUNDING


def test_the_check_notices_a_holder_that_keeps_what_it_gave_up():
    class Liar(AskingProxy):
        def confirms(self, revision):
            return self.own.held.revision == revision

    class LyingSite(AskingSite):
        proxy_type = Liar

    assert site_changed_by_word(site_type=LyingSite).most > 1.0 + ROUNDING


def test_a_holder_that_starts_anew_with_old_news_uses_no_share_it_gave_up():
    assert site_changed_by_word(restarts=True).most <= 1.0 + ROUNDING


def test_the_check_notices_a_holder_that_starts_anew_and_trusts_old_news():
    class Forgetful(AskingProxy):
        def __init__(self, name, now):
            super().__init__(name, now)
            self.own = OwnShare(name)

    class ForgetfulSite(AskingSite):
        proxy_type = Forgetful

    assert site_changed_by_word(restarts=True, site_type=ForgetfulSite).most > 1.0 + ROUNDING


def test_a_holder_that_cannot_answer_is_waited_for():
    site = AskingSite(holders=("a", "b", "c"))
    site.run(STANDING_SECONDS + 1.0, site.unreachable)
    site.alive["a"].cut_off = True
    site.wanted = ("b", "c")
    site.run(SETTLE_SECONDS - SOON_SECONDS, site.unreachable)
    assert site.stored.following == ("b", "c")
    site.run(3.0 * SOON_SECONDS, site.unreachable)
    assert site.stored.holders == ("b", "c")
    assert site.most <= 1.0 + ROUNDING


def test_a_change_to_holders_that_nobody_wants_is_not_completed_by_word():
    """One proxy alone is cut off from the holders; another that reaches them does not take over."""
    site = AskingSite(holders=("a", "b"))
    site.run(STANDING_SECONDS + 1.0, site.unreachable)
    site.put(with_next_holders(site.stored, ("c",)))
    site.run(SOON_SECONDS, site.unreachable)
    assert site.stored.holders == ("a", "b")
    assert site.least == 1.0


@pytest.mark.parametrize("following", ["e", "cde"])
def test_a_change_from_a_restored_store_is_not_completed_by_word(following):
    """The holders before the restore are not asked, and use their shares until these end."""
    site = AskingSite(holders=("c", "d"))
    site.run(STANDING_SECONDS + 3.0, site.unreachable)
    site.wanted = tuple(following)
    restored = QuotaShares(("a", "b"), site.wanted, StoreRevision.of(1, 1))
    site.history.append((site.now, restored))
    site.run(SETTLE_SECONDS + 2.0, site.unreachable)
    assert site.stored.holders == tuple(following)
    assert site.most <= 1.0 + ROUNDING


# --- The mirror of safety -------------------------------------------------------------------------


@settings(max_examples=200)
@given(HANDOVERS, st.dictionaries(NAME, st.floats(0.0, 0.7)))
def test_some_share_is_in_force_all_through_changes_by_word(changes, late):
    site = AskingSite()
    for name, seconds in late.items():
        site.alive[name].hears_late = seconds
    for wanted, seconds in changes:
        site.wanted = tuple(sorted(wanted))
        site.run(seconds, site.unreachable)
    assert site.least >= 0.5 / len(NAMES) - ROUNDING
    assert site.most <= 1.0 + ROUNDING


@settings(max_examples=200)
@given(HANDOVERS, RESTARTS)
def test_some_share_is_in_force_by_word_while_proxies_restart_one_at_a_time(changes, restarts):
    site = AskingSite()
    restart_in_turn(site, changes, restarts)
    assert site.least > 0.0
    assert site.most <= 1.0 + ROUNDING


SPLITS = st.lists(
    st.tuples(SUBSET, st.sampled_from((0.3, 1.0, 3.0, 5.0, 9.0)), st.sampled_from((0.1, 1.0, 4.0))),
    min_size=1,
    max_size=12,
)


@settings(max_examples=200, deadline=None)
@given(SPLITS, st.frozensets(NAME, min_size=1))
def test_some_share_is_in_force_through_splits_that_leave_a_holder_in_touch(splits, holders):
    """Splits in any order, most of which end before a change of the holders does."""
    site = AskingSite(holders=tuple(sorted(holders)))
    for cut_off, seconds, pause in splits:
        in_touch = site.stored.holders[0]
        for proxy in site.alive.values():
            proxy.cut_off = proxy.name in cut_off and proxy.name != in_touch
        site.run(seconds, site.unreachable)
        for proxy in site.alive.values():
            proxy.cut_off = False
        site.run(pause, site.unreachable)
    assert site.least > 0.0
    assert site.most <= 1.0 + ROUNDING


# --- Back from a split ----------------------------------------------------------------------------


def site_after_a_split(seconds, holders=("a", "b", "c", "d"), near=("a", "e")):
    """All but `near` are cut off for a while; returns the site at the end of the split."""
    site = AskingSite(holders=holders)
    site.run(STANDING_SECONDS + 1.0, site.unreachable)
    far = [proxy for proxy in site.alive.values() if proxy.name not in near]
    for proxy in far:
        proxy.cut_off = True
    site.run(seconds, site.unreachable)
    for proxy in far:
        proxy.cut_off = False
    return site


@pytest.mark.parametrize("seconds", [1.0, 2.0, 3.0, 5.0, 7.0, 9.0, 10.0])
def test_holders_that_lived_through_a_split_have_their_shares_within_a_second(seconds):
    site = site_after_a_split(seconds)
    site.run(SOON_SECONDS, site.unreachable)
    assert site.stored.holders == ("a", "b", "c", "d")
    assert not site.stored.following
    assert sum(proxy.in_force(site.now) for proxy in site.alive.values()) >= 1.0 - ROUNDING
    assert site.most <= 1.0 + ROUNDING


def test_the_one_that_proposed_a_change_withdraws_it_when_the_holders_are_back():
    """The others have not heard of the change yet."""
    site = AskingSite(holders=("a", "b", "c", "d"))
    site.run(STANDING_SECONDS + 1.0, site.unreachable)
    for name in "bcd":
        site.alive[name].cut_off = True
    site.run(1.0, site.unreachable)
    assert site.stored.following
    for name in "bcd":
        site.alive[name].cut_off = False
        site.alive[name].hears_late = 2.0
    site.run(0.4, site.unreachable)
    assert not site.stored.following


@pytest.mark.parametrize("seconds", [3.0, 7.0, 10.0])
def test_the_late_part_is_back_at_once_though_the_one_that_had_the_early_part_is_gone(seconds):
    site = site_after_a_split(seconds)
    site.kill("a")
    site.kill("e")
    site.run(SOON_SECONDS, site.unreachable)
    assert sum(proxy.in_force(site.now) for proxy in site.alive.values()) >= 0.375 - ROUNDING
    site.run(EARLY_SETTLE_SECONDS, site.unreachable)
    assert sum(proxy.in_force(site.now) for proxy in site.alive.values()) >= 0.75 - ROUNDING
    assert site.most <= 1.0 + ROUNDING


def test_a_change_that_is_turned_round_waits_for_the_early_part_only():
    held = QuotaShares(("a", "b"), ("b", "c"), StoreRevision(7), early_passed=True)
    turned = returned(held)
    assert (turned.holders, turned.following) == (("b", "c"), ("a", "b"))
    assert [turned.share_of(name) for name in "abc"] == [0.5, 0.5, 0.0]
    assert [turned.early_share_of(name) for name in "abc"] == [0.0, 0.5, 0.0]
    assert early_part_passed(turned, SETTLE_SECONDS) is None
    assert next_shares(turned, (), EARLY_VALID_SECONDS) is None
    assert next_shares(turned, (), EARLY_SETTLE_SECONDS) == completed(turned)


def test_the_check_notices_a_change_that_is_turned_round_without_a_wait(monkeypatch):
    """The one that has the early part goes on with it while the others have it again."""

    def at_once(held):
        return QuotaShares(held.holders, (), held.revision)

    monkeypatch.setattr(share_changes, "returned", at_once)
    site = site_after_a_split(5.0)
    site.alive["e"].hears_late = 1.5
    site.alive["a"].hears_late = 1.5
    site.run(SOON_SECONDS, site.unreachable)
    assert site.most > 1.0 + ROUNDING


class ChangesBefore(share_changes.ShareChanges):
    """Turns no change round."""

    def _return_due(self, now, around):
        return False


class BuildBefore(AskingProxy):
    """Answers no question, and takes a change that is turned round for one that passed nothing."""

    def __init__(self, name, now):
        super().__init__(name, now)
        self.changes = ChangesBefore(name, now)

    def confirms(self, revision):
        return False

    def hear(self, shares, now, as_of):
        super().hear(replace(shares, late_kept=False), now, as_of)


def test_a_change_is_not_turned_round_where_the_one_left_out_is_of_the_build_before():
    """It would withdraw the change, and have the late part beside those that kept it."""
    site = AskingSite(holders=("a", "b", "c", "d"))
    site.alive["e"] = BuildBefore("e", site.now)
    site.hear_all()
    site.run(STANDING_SECONDS + 1.0, site.unreachable)
    for name in "bcd":
        site.alive[name].cut_off = True
    site.run(5.0, site.unreachable)
    assert site.stored.early_passed
    for name in "bcd":
        site.alive[name].cut_off = False
    site.run(SOON_SECONDS, site.unreachable)
    site.wanted = ("a", "b", "c", "e")
    site.run(3.0 * SETTLE_SECONDS, site.unreachable)
    assert not any(shares.late_kept for _, shares in site.history)
    assert site.stored.holders == ("a", "b", "c", "e")
    assert site.most <= 1.0 + ROUNDING


class DisagreeingSite(AskingSite):
    """A site where `e` has another list of the homes than the others."""

    wanted_of_e = ()

    def decide(self, proxy, lost):
        wanted = self.wanted
        if proxy.name == "e":
            self.wanted = self.wanted_of_e
        super().decide(proxy, lost)
        self.wanted = wanted


@pytest.mark.parametrize(("wanted_of_e", "most_writes"), [("abce", 8), ("ae", 32)])
def test_no_more_is_written_where_a_proxy_disagrees_than_without_changes_taken_back(
    wanted_of_e, most_writes
):
    """A planned change is withdrawn by those that it drops, in turn, as before."""
    site = DisagreeingSite(holders=("a", "b", "c", "d"))
    site.run(STANDING_SECONDS + 1.0, site.unreachable)
    site.wanted_of_e = tuple(wanted_of_e)
    written = len(site.history)
    site.run(10.0, site.unreachable)
    assert len(site.history) - written <= most_writes
    assert site.most <= 1.0 + ROUNDING


# --- Status ---------------------------------------------------------------------------------------


def test_the_status_says_that_a_proxy_that_started_does_not_use_its_share_yet():
    held = QuotaShares(("a", "b"), (), StoreRevision(3))
    own = OwnShare("a", started_at=10.0)
    own.learned(held, now=10.1, confirmed_at=9.0)
    before, after = own.in_use(10.1, 9.0), own.in_use(10.2, 10.1)
    assert share_status("a", held, before, (), 10.1).state is ShareState.STARTED
    assert share_status("a", held, after, (), 10.2).state is ShareState.IN_FORCE
