"""The quota of a tenant in a fleet of proxies, each of which holds a share of it.

Guards against more operations passing in a window than are allowed. In five seconds of low load,
more operations of a tenant ran than the 139 allowed; when a tenant sent many times its usual load,
1,487 ran instead of at most 997.
"""

import time
from math import inf

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidwind.promoted.core.quota_shares import SETTLE_SECONDS, QuotaShares, next_shares
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.shared.core.quota import (
    BORROWED_VALID_SECONDS,
    SHARE_VALID_SECONDS,
    QuotaLimiter,
    QuotaRules,
)
from orchidwind.shared.core.tenants import Tenant

# The rules of the deployment in which these excesses were seen.
RULES = QuotaRules(window=5.0, overshoot=0.1, slack=20.0)
SMALL = Tenant("daye371", (), 6.0, 6.0)
LARGE = Tenant("puwu160", (), 177.0, 177.0)


def allowed(tenant, rules=RULES):
    """Return the maximum number of operations that may pass in a window."""
    limit = tenant.rate * rules.window + tenant.burst
    return limit * (1 + rules.overshoot) + rules.slack


def most_in_a_window(passed, window=RULES.window):
    """Return the maximum number of the ascending times that lie in one window."""
    most, first = 0, 0
    for last, at in enumerate(passed):
        while at - passed[first] > window:
            first += 1
        most = max(most, last - first + 1)
    return most


def limiter_with(share, now=0.0, rules=RULES):
    limiter = QuotaLimiter(rules)
    limiter.set_share(share, now, now)
    return limiter


@pytest.mark.parametrize("tenant", [SMALL, LARGE])
def test_a_tenant_that_asks_without_end_gets_its_quota_and_little_more(tenant):
    limiter = limiter_with(1.0)
    passed = []
    for tick in range(3_000):
        now = 10.0 + tick * 0.01
        passed += [now for _ in range(30) if limiter.take(tenant, now, now)]
    assert tenant.rate * 30 <= len(passed) <= tenant.rate * 30 + tenant.burst * 2
    assert most_in_a_window(passed) <= allowed(tenant)


def test_a_tenant_within_its_quota_is_never_refused():
    limiter = limiter_with(1.0)
    for second in range(10, 40):
        assert all(limiter.take(SMALL, second + 0.1, float(second)) for _ in range(6))


def test_without_news_of_its_share_a_proxy_fills_no_bucket():
    """The share may have been given to another proxy in the meantime."""
    limiter = limiter_with(1.0, now=100.0)
    last_heard = 100.0
    for _ in range(1_000):
        limiter.take(SMALL, 100.0 + SHARE_VALID_SECONDS, last_heard)
    assert not limiter.take(SMALL, 100.0 + SHARE_VALID_SECONDS + 30.0, last_heard)
    assert not limiter.take(SMALL, 200.0, last_heard)
    assert not limiter.take(SMALL, 200.0, 200.0), (
        "time without confirmation is not counted afterwards"
    )
    assert limiter.take(SMALL, 200.5, 200.5)


def test_a_proxy_that_starts_anew_has_no_full_bucket():
    """Otherwise a proxy that restarts repeatedly would let a burst pass in each incarnation."""
    begun = [
        sum(limiter_with(1.0, now=float(life)).take(LARGE, float(life), float(life)) for _ in [0])
        for life in range(3)
    ]
    assert begun == [1, 1, 1]
    limiter = limiter_with(1.0, now=5.0)
    at_once = sum(limiter.take(LARGE, 5.0, 5.0) for _ in range(500))
    assert at_once < LARGE.burst / 3


def test_a_proxy_without_a_share_passes_what_others_lend_and_only_soon():
    lender, borrower = limiter_with(1.0), limiter_with(0.0)
    assert not borrower.take(SMALL, 10.0, 10.0)
    borrower.borrow(SMALL, lender.lend(SMALL, 2, 10.0, 10.0), 10.0)
    assert borrower.take(SMALL, 10.0, 10.0)
    assert not borrower.take(SMALL, 10.0 + BORROWED_VALID_SECONDS, 10.0)


def test_what_several_have_in_parts_is_lent_as_one():
    """Otherwise each proxy keeps a fraction of a token of a small quota that cannot be used."""
    lenders = [limiter_with(1 / 6) for _ in range(5)]
    borrower = limiter_with(1 / 6)
    now = 10.0
    for limiter in (*lenders, borrower):
        while limiter.take(SMALL, now, now):
            pass
    held = [1.0 - limiter.missing(SMALL, 1, now) for limiter in (*lenders, borrower)]
    assert all(0.0 < part < 1.0 for part in held)
    passed = 0
    for lender in lenders:
        missing = borrower.missing(SMALL, 1, now)
        borrower.borrow(SMALL, lender.lend(SMALL, missing, now, now), now)
        passed += borrower.take(SMALL, now, now)
    assert passed == int(sum(held)) > 1


def test_a_lower_limit_binds_at_once_and_a_higher_one_gives_no_burst():
    limiter = limiter_with(1.0)
    assert limiter.take(LARGE, 10.0, 10.0)
    lower = Tenant(LARGE.name, (), 10.0, 10.0)
    taken = sum(limiter.take(lower, 10.0, 10.0) for _ in range(500))
    assert taken <= 10 + RULES.excess(lower)
    assert not any(limiter.take(LARGE, 10.0, 10.0) for _ in range(5))


def test_what_has_not_run_is_given_back():
    limiter = limiter_with(1.0)
    while limiter.take(SMALL, 10.0, 10.0):
        pass
    limiter.give_back(SMALL)
    assert limiter.take(SMALL, 10.0, 10.0)
    assert not limiter.take(SMALL, 10.0, 10.0)


# --- shares ---------------------------------------------------------------------------------------


def test_some_proxy_has_a_share_while_the_holders_are_replaced():
    """Guards against refusing all operations while other proxies become the holders.

    A proxy that starts first names itself the only holder. Once the others run, the homes are
    other proxies, and the object names both sets. A proxy in only one of them has no share, so
    no operation of any tenant passes for `SETTLE_SECONDS`.
    """
    first = next_shares(QuotaShares(), ["proxy-3"], known_for=0.0)
    assert first is not None
    held = QuotaShares(first.holders, first.following, StoreRevision(7))
    during = next_shares(held, ["proxy-0", "proxy-4"], known_for=SETTLE_SECONDS)
    assert during is not None
    total = sum(during.share_of(name) for name in ("proxy-0", "proxy-3", "proxy-4"))
    assert 0.0 < total <= 1.0


def test_shares_change_in_two_steps_and_never_add_up_to_more_than_one():
    held = next_shares(QuotaShares(), ["a", "b"], known_for=0.0)
    assert held == QuotaShares(("a", "b"))
    step = next_shares(held, ["c", "b", "d"], known_for=0.0)
    assert step == QuotaShares(("a", "b"), ("b", "c", "d"))
    assert [step.share_of(name) for name in "abcd"] == [0.0, 1 / 3, 0.0, 0.0]
    assert next_shares(step, ["a"], known_for=SETTLE_SECONDS - 0.01) is None
    after = next_shares(step, ["a"], known_for=SETTLE_SECONDS)
    assert after == QuotaShares(("b", "c", "d"))
    assert next_shares(after, ["d", "c", "b"], known_for=99.0) is None
    assert next_shares(after, [], known_for=99.0) is None, "no proxy is known: no change"


NAMES = ("a", "b", "c", "d")


class Fleet:
    """Proxies that learn of the share holders at different times, a store and a greedy tenant."""

    def __init__(self, tenant):
        self.tenant = tenant
        self.now = 100.0
        self.history = [(self.now, QuotaShares(NAMES[:2], (), StoreRevision(1)))]
        self.passed = []
        self.limiters = {}
        self.heard = {}
        self.lives = dict.fromkeys(NAMES, 0)
        self.dead_until = dict.fromkeys(NAMES, 0.0)
        for name in NAMES:
            self.restart(name, dead_for=0.0)

    def restart(self, name, dead_for):
        self.limiters[name] = QuotaLimiter(RULES)
        self.heard[name] = None
        self.dead_until[name] = self.now + dead_for

    def confirmed_at(self, name):
        heard = self.heard[name]
        return -inf if heard is None else heard[0]

    def hear(self, name, late):
        """Deliver the stored object as it was `late` seconds ago, unless a newer one is known."""
        as_of = self.now - late
        known = [item for item in self.history if item[0] <= as_of]
        if not known:
            return
        shares = known[-1][1]
        before = self.heard[name]
        if before is not None and before[1].revision > shares.revision:
            return
        since = self.now if before is None or before[1] != shares else before[2]
        self.heard[name] = (as_of, shares, since)
        self.limiters[name].set_share(shares.share_of(name), self.now, as_of)

    def change(self, name, wanted):
        """Let a proxy write the next shares, if the store still holds the version it knows."""
        heard = self.heard[name]
        stored = self.history[-1][1]
        if heard is None or heard[1].revision != stored.revision:
            return
        following = next_shares(stored, wanted, self.now - heard[2])
        if following is not None:
            revision = StoreRevision(stored.revision + 1)
            written = QuotaShares(following.holders, following.following, revision)
            self.history.append((self.now, written))
            self.hear(name, 0.0)

    def ask(self, name, operations):
        for _ in range(operations):
            if self.limiters[name].take(self.tenant, self.now, self.confirmed_at(name)):
                self.passed.append(self.now)

    def lend(self, name, other, wanted):
        at = self.confirmed_at(other)
        lent = self.limiters[other].lend(self.tenant, wanted, self.now, at)
        self.limiters[name].borrow(self.tenant, lent, self.now)

    def step(self, event):
        kind, name, other, amount, seconds = event
        self.now += seconds
        if self.now < max(self.dead_until[name], self.dead_until[other]):
            return
        if kind == "hear":
            self.hear(name, min(amount / 10, 3.0))
        elif kind == "change":
            self.change(name, NAMES[amount % 3 : amount % 3 + 2 + amount % 2])
        elif kind == "ask":
            self.ask(name, amount)
        elif kind == "lend":
            self.lend(name, other, amount)
            self.ask(name, amount)
        elif self.lives[name] < 2:
            self.lives[name] += 1
            self.restart(name, dead_for=0.4)


EVENTS = st.tuples(
    st.sampled_from(("hear", "hear", "change", "ask", "ask", "lend", "lend", "restart")),
    st.sampled_from(NAMES),
    st.sampled_from(NAMES),
    st.integers(1, 40),
    st.floats(0.0, 1.5),
)


@settings(max_examples=300)
@given(st.sampled_from((SMALL, LARGE)), st.lists(EVENTS, min_size=20, max_size=120))
def test_however_the_proxies_hear_of_their_shares_the_sum_holds(tenant, events):
    fleet = Fleet(tenant)
    for event in events:
        fleet.step(event)
    assert most_in_a_window(fleet.passed) <= allowed(tenant)


def test_the_check_notices_holders_that_follow_without_a_time_between():
    """The check must detect an excess over the quota.

    The new holders fill their buckets before the previous holders have learned of the change. They
    hear of their shares all the time, the previous holders never again.
    """
    fleet = Fleet(LARGE)
    for name in NAMES:
        fleet.hear(name, 0.0)
    fleet.now += 2.0
    fleet.history.append((fleet.now, QuotaShares(NAMES[2:], (), StoreRevision(2))))
    for name in NAMES[2:]:
        fleet.hear(name, 0.0)
    for _ in range(20):
        fleet.now += 0.2
        for name in NAMES[2:]:
            fleet.hear(name, 0.0)
        for name in NAMES:
            fleet.ask(name, 500)
    assert most_in_a_window(fleet.passed) > allowed(LARGE)


def test_a_decision_takes_few_microseconds():
    """A decision takes at most 5 microseconds of processor time; the best of ten rounds counts.

    Processor time is used because wall clock time includes the load of other processes: at a load
    of 20 it was 8.8 where an idle machine took 4.0. With the shortcut of the share clock while the
    share stays confirmed, a decision takes 2.3 on an idle machine.
    """
    limiter = limiter_with(0.5)
    rounds = []
    for turn in range(10):
        began = time.process_time()
        for number in range(10_000):
            now = 10.0 + turn + number / 10_000
            limiter.take(LARGE, now, now - 1.0)
        rounds.append((time.process_time() - began) / 10_000)
    assert min(rounds) <= 5e-6
