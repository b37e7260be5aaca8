"""Operations of a tenant that pass while shares of its quota move between proxies.

Guards against more operations in a window than are allowed, as shares change hands within a second
where all holders answer.
"""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from test_share_confirmations import SCHEDULES, AskingSite, strike

from orchidwind.promoted.core.quota_shares import QuotaShares
from orchidwind.shared.core.quota import QuotaLimiter, QuotaRules
from orchidwind.shared.core.tenants import Tenant

# The rules of a deployment, and a small and a large tenant of it.
RULES = QuotaRules(window=5.0, overshoot=0.1, slack=20.0)
SMALL = Tenant("daye371", (), 6.0, 6.0)
LARGE = Tenant("puwu160", (), 177.0, 177.0)
# How often a proxy starts anew, and for how long it is away, seconds.
MOST_STARTS = 2
DOWN_SECONDS = 0.4


def allowed(tenant):
    """The most operations that may pass in a window."""
    limit = tenant.rate * RULES.window + tenant.burst
    return limit * (1 + RULES.overshoot) + RULES.slack


def most_in_a_window(passed):
    """The most of the ascending times that lie in one window."""
    most, first = 0, 0
    for last, at in enumerate(passed):
        while at - passed[first] > RULES.window:
            first += 1
        most = max(most, last - first + 1)
    return most


class GreedySite(AskingSite):
    """A site at which one tenant asks every proxy for more than its quota, all the time."""

    def __init__(self, tenant):
        self.tenant = tenant
        self.passed = []
        self.limiters = {}
        self.starts = Counter()
        super().__init__()

    def start(self, name, hears_late=0.0):
        if self.starts[name] >= MOST_STARTS:
            return
        self.starts[name] += 1
        self.kill(name)
        self.run(DOWN_SECONDS, self.unreachable)
        self.limiters.pop(name, None)
        super().start(name, hears_late)

    def measure(self):
        super().measure()
        for name, proxy in self.alive.items():
            if not proxy.frozen:
                self.ask_for_tokens(name, proxy)

    def ask_for_tokens(self, name, proxy):
        share = proxy.own.in_use(self.now, proxy.confirmed_at)
        limiter, used = self.limiters.get(name, (None, None))
        if limiter is None:
            limiter = QuotaLimiter(RULES)
        if (share.early, share.late) != used:
            limiter.set_share(share.late, self.now, share.confirmed_at, share.early)
            self.limiters[name] = (limiter, (share.early, share.late))
        while limiter.take(self.tenant, self.now, share.confirmed_at):
            self.passed.append(self.now)


@settings(max_examples=60, deadline=None)
@given(st.sampled_from((SMALL, LARGE)), SCHEDULES, st.booleans())
def test_no_more_operations_pass_than_a_quota_allows_however_shares_move(
    tenant, schedule, truthful
):
    """With frozen, cut off, late and lost proxies, and ones that start again under their names."""
    site = GreedySite(tenant)
    for event, seconds in schedule:
        strike(site, event)
        site.run(seconds, site.unreachable if truthful else None)
    assert most_in_a_window(site.passed) <= allowed(tenant)


def test_the_check_of_operations_notices_shares_that_move_at_every_moment():
    """Each second other proxies have all shares for the first time, with a part of the slack."""
    site = GreedySite(LARGE)
    site.run(2.0, site.unreachable)
    for name in ("c", "d", "e", "a", "b", "c", "d", "e"):
        site.put(QuotaShares((name,), (), site.stored.revision))
        site.starts.clear()
        site.start(name)
        site.run(0.2, site.unreachable)
    assert most_in_a_window(site.passed) > allowed(LARGE)
