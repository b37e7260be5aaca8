"""How many operations of each tenant one proxy lets pass, so that the fleet keeps its quota.

The rule. A tenant's quota is a token bucket of the whole fleet: `rate` tokens a second, `burst` at
most. It is cut into shares. A proxy that holds a share of it fills a bucket of its own with that
share of the rate, up to that share of the burst. The shares that are in force at any moment add up
to one at most (`promoted.core.quota_shares`), so no two proxies need know of one another for the
sum to hold. Where a bucket is empty, tokens are borrowed from another proxy's, which has them no
longer; they are of no use a moment later, so that few are on their way at any time.

More than the quota may pass in a window by a stated slack. Of it,

    _STOCK_SHARE    is added to what the buckets hold, for callers that are unevenly spread,
    _START_SHARE    is in the buckets of proxies that have just started, once for each life,
    the rest        is for borrowed tokens, and for lives that follow one another.

A proxy fills its buckets only while it knows that its share is in force: `confirmed_at` plus
`SHARE_VALID_SECONDS` bounds that. It may spend later what it has.

Owns: the buckets of one proxy. Relies on: its user for the time, in seconds of one steady clock,
for its share and when that was last confirmed.
"""

from __future__ import annotations

from math import inf

from msgspec import Struct

from orchidwind.shared.core.tenants import Tenant

# For so long after it was known to be in force a share fills buckets, seconds. The others take more
# only after `quota_shares.SETTLE_SECONDS`, which is longer. A store that is down for less costs no
# tenant anything; the longer it is, the later a home that is gone for good is replaced.
SHARE_VALID_SECONDS = 9.8
_STOCK_SHARE = 0.15
_START_SHARE = 0.26
# Borrowed tokens that are not used so soon are dropped, seconds. Long beside the way to a request
# that waits for one.
BORROWED_VALID_SECONDS = 0.15
# What is lent in parts adds up to a token but for rounding.
_WHOLE = 1.0 - 1e-9
# When to come back, where more than the quota was asked, seconds. Sooner would cost more than it
# gains; later, callers of a tenant that is below its quota again would wait for nothing.
_SOONEST_RETRY_SECONDS = 0.05
_LATEST_RETRY_SECONDS = 1.0


class QuotaRules(Struct, frozen=True):
    """How far the sum over all proxies may exceed a quota in any span of `window` seconds.

    By the share `overshoot` of what the quota allows in it, and by `slack` operations more.
    """

    window: float = 1.0
    overshoot: float = 0.0
    slack: float = 0.0

    def excess(self, tenant: Tenant) -> float:
        """How many operations of a tenant may pass in a window beyond its quota."""
        return self.overshoot * (tenant.rate * self.window + tenant.burst) + self.slack


class TokenBucket:
    """The tokens of one tenant at one proxy; `rate` a second, `size` at most."""

    def __init__(self, tokens: float, rate: float, size: float) -> None:
        self.tokens = min(tokens, size)
        self.rate = rate
        self.size = size
        # Up to when it is filled, on the clock of `ShareClock`.
        self.filled_at = 0.0
        self._borrowed = 0.0
        self._borrowed_until = -inf

    def fill(self, clock: float) -> None:
        """Fill it up to a time of the clock of the share."""
        tokens = self.tokens + self.rate * (clock - self.filled_at)
        self.tokens = tokens if tokens < self.size else self.size
        self.filled_at = clock

    def resize(self, rate: float, size: float) -> None:
        """The quota or the share of it has changed."""
        self.rate = rate
        self.size = size
        self.tokens = min(self.tokens, size)

    def take(self, now: float) -> bool:
        """Take one token, of what was borrowed first; whether there was one."""
        if not self._borrowed and self.tokens >= 1.0:
            self.tokens -= 1.0
            return True
        borrowed = min(self._borrowed_now(now), 1.0)
        if borrowed + self.tokens < _WHOLE:
            return False
        self._borrowed -= borrowed
        self.tokens = max(self.tokens - (1.0 - borrowed), 0.0)
        return True

    def _borrowed_now(self, now: float) -> float:
        if now >= self._borrowed_until:
            self._borrowed = 0.0
        return self._borrowed

    def missing(self, operations: int, now: float) -> float:
        """How many tokens are missing for so many operations."""
        return max(operations - self.tokens - self._borrowed_now(now), 0.0)

    def give_back(self) -> None:
        """A token was taken for a request that has not run."""
        self.tokens = min(self.tokens + 1.0, self.size)

    def lend(self, wanted: float) -> float:
        """Take tokens out for another proxy, parts of one too."""
        lent = min(max(wanted, 0.0), self.tokens)
        self.tokens -= lent
        return lent

    def borrow(self, tokens: float, now: float) -> None:
        """Another proxy has taken tokens out for this one."""
        self._borrowed = self._borrowed_now(now) + tokens
        self._borrowed_until = now + BORROWED_VALID_SECONDS

    @property
    def seconds_to_next(self) -> float:
        """Until it holds a token again."""
        return (1.0 - self.tokens) / self.rate if self.rate > 0 else inf


class ShareClock:
    """For how many seconds, so far, the share of a proxy was known to be in force."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self._seen_at = 0.0
        self._valid_until = -inf

    def advance(self, now: float, confirmed_at: float) -> None:
        """The share was confirmed last as of a time. What is not surely covered does not count."""
        valid_until = confirmed_at + SHARE_VALID_SECONDS
        if now <= self._valid_until:
            self.seconds += max(now - self._seen_at, 0.0)
        else:
            covered = max(self._valid_until - self._seen_at, 0.0)
            begins = max(confirmed_at, self._valid_until, self._seen_at)
            self.seconds += covered + max(min(now, valid_until) - begins, 0.0)
        self._seen_at = now
        if valid_until > self._valid_until:
            self._valid_until = valid_until


class QuotaKeeper:
    """The buckets of one proxy; `share` is its share of each tenant's quota, 0 to 1."""

    def __init__(self, rules: QuotaRules) -> None:
        self.share = 0.0
        self._rules = rules
        self._clock = ShareClock()
        self._buckets: dict[str, TokenBucket] = {}
        self._limits: dict[str, Tenant] = {}
        # On the clock: since when the share is as it is.
        self._share_since = 0.0
        # Of the first share of this life: what a bucket then begins with, in shares of the excess.
        self._start_share = _START_SHARE

    def share_is(self, share: float, now: float, confirmed_at: float) -> None:
        """The share as of now."""
        self._clock.advance(now, confirmed_at)
        if share == self.share:
            return
        if self.share:
            self._start_share = 0.0
        self.share = share
        self._share_since = self._clock.seconds
        for name, bucket in self._buckets.items():
            bucket.fill(self._clock.seconds)
            bucket.resize(*self._rate_and_size(self._limits[name]))

    def _rate_and_size(self, tenant: Tenant) -> tuple[float, float]:
        size = tenant.burst + self._rules.excess(tenant) * _STOCK_SHARE
        return tenant.rate * self.share, size * self.share

    def _bucket(self, tenant: Tenant) -> TokenBucket:
        bucket = self._buckets.get(tenant.name)
        if bucket is None:
            rate, size = self._rate_and_size(tenant)
            start = self._rules.excess(tenant) * self._start_share * self.share
            bucket = TokenBucket(start, rate, size)
            bucket.filled_at = self._share_since
            self._buckets[tenant.name] = bucket
            self._limits[tenant.name] = tenant
        elif self._limits[tenant.name] is not tenant:
            self._limits[tenant.name] = tenant
            bucket.resize(*self._rate_and_size(tenant))
        bucket.fill(self._clock.seconds)
        return bucket

    def take(self, tenant: Tenant, now: float, confirmed_at: float) -> bool:
        """Let one operation of a tenant pass; whether it may."""
        self._clock.advance(now, confirmed_at)
        return self._bucket(tenant).take(now)

    def give_back(self, tenant: Tenant) -> None:
        """An operation that passed has not run."""
        self._bucket(tenant).give_back()

    def missing(self, tenant: Tenant, operations: int, now: float) -> float:
        """How many tokens are missing here for so many operations."""
        return self._bucket(tenant).missing(operations, now)

    def lend(self, tenant: Tenant, wanted: float, now: float, confirmed_at: float) -> float:
        """How many operations another proxy may let pass in the place of this one."""
        self._clock.advance(now, confirmed_at)
        return self._bucket(tenant).lend(wanted)

    def borrow(self, tenant: Tenant, tokens: float, now: float) -> None:
        """Another proxy lets so many operations pass here."""
        self._bucket(tenant).borrow(tokens, now)

    def retry_after(self, tenant: Tenant) -> float:
        """In how many seconds a refused operation may come back."""
        seconds = self._bucket(tenant).seconds_to_next
        return min(max(seconds, _SOONEST_RETRY_SECONDS), _LATEST_RETRY_SECONDS)
