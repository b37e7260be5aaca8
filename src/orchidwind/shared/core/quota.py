"""Rate limiting of each tenant's operations at one proxy, as a share of a quota of the whole fleet.

A tenant's quota is a token bucket for the whole fleet: `rate` tokens per second, at most `burst` of
them. The quota is divided into shares. A proxy that holds a share fills a local bucket at that
share of the rate, up to that share of the burst. The shares in force at any moment add up to at
most one (`promoted.core.quota_shares`), so the proxies keep the quota without coordinating each
operation. A proxy whose bucket is empty borrows tokens from another proxy, which removes them from
its own bucket. Borrowed tokens expire quickly, so that only few are in transit at any time.

A stated excess over the quota may pass in each window. It is divided as follows:

    _BUCKET_SHARE    increases the bucket size, for callers spread unevenly over the proxies,
    _START_SHARE    fills the buckets of a proxy that has just started, once per incarnation,
    the rest        covers borrowed tokens and successive incarnations.

A proxy fills its buckets only while it knows that its share is in force, which is until
`confirmed_at` plus `SHARE_VALID_SECONDS`. Tokens already in a bucket may be spent later.

Owns: the buckets of one proxy. Its user passes in the time, in seconds of a monotonic clock, the
share of the proxy, and the time as of which the share was last confirmed.
"""

from __future__ import annotations

from math import inf

from msgspec import Struct

from orchidwind.shared.core.tenants import Tenant

# Seconds for which a share keeps filling buckets after it was last known to be in force. Other
# proxies take the share over only after `quota_shares.SETTLE_SECONDS`, which is longer. A store
# outage shorter than this costs no tenant any tokens; a longer value delays the replacement of a
# home proxy that is gone for good.
SHARE_VALID_SECONDS = 9.8
_BUCKET_SHARE = 0.15
_START_SHARE = 0.26
# Seconds after which unused borrowed tokens are dropped. Long compared to the time that they need
# to reach a waiting request.
BORROWED_VALID_SECONDS = 0.15
# Fractions of a token borrowed from several proxies add up to one only within rounding errors.
_WHOLE_TOKEN = 1.0 - 1e-9
# Bounds on the retry delay after a quota was exceeded, in seconds. Earlier retries would cost more
# than they gain; later ones would keep callers waiting although their tenant is below its quota
# again.
_MIN_RETRY_SECONDS = 0.05
_MAX_RETRY_SECONDS = 1.0


class QuotaRules(Struct, frozen=True):
    """How far all proxies together may exceed a quota in any period of `window` seconds.

    The excess is the fraction `overshoot` of what the quota allows in the window, plus `slack`
    operations.
    """

    window: float = 1.0
    overshoot: float = 0.0
    slack: float = 0.0

    def excess(self, tenant: Tenant) -> float:
        """Return how many operations of a tenant may pass in a window beyond its quota."""
        return self.overshoot * (tenant.rate * self.window + tenant.burst) + self.slack


class TokenBucket:
    """The tokens of one tenant at one proxy: `rate` per second, at most `size`."""

    def __init__(self, tokens: float, rate: float, size: float) -> None:
        self.tokens = min(tokens, size)
        self.rate = rate
        self.size = size
        # The time up to which the bucket has been filled, in seconds of a `ShareClock`.
        self.filled_at = 0.0
        self._borrowed = 0.0
        self._borrowed_until = -inf

    def fill(self, clock: float) -> None:
        """Add the tokens due up to this time of the `ShareClock`."""
        tokens = self.tokens + self.rate * (clock - self.filled_at)
        self.tokens = tokens if tokens < self.size else self.size
        self.filled_at = clock

    def resize(self, rate: float, size: float) -> None:
        """Set a new rate and size after the quota or the share has changed."""
        self.rate = rate
        self.size = size
        self.tokens = min(self.tokens, size)

    def take(self, now: float) -> bool:
        """Take one token, borrowed ones first; return False if there is none."""
        if not self._borrowed and self.tokens >= 1.0:
            self.tokens -= 1.0
            return True
        borrowed = min(self._valid_borrowed(now), 1.0)
        if borrowed + self.tokens < _WHOLE_TOKEN:
            return False
        self._borrowed -= borrowed
        self.tokens = max(self.tokens - (1.0 - borrowed), 0.0)
        return True

    def _valid_borrowed(self, now: float) -> float:
        if now >= self._borrowed_until:
            self._borrowed = 0.0
        return self._borrowed

    def missing(self, operations: int, now: float) -> float:
        """Return how many tokens are missing to run this many operations."""
        return max(operations - self.tokens - self._valid_borrowed(now), 0.0)

    def give_back(self) -> None:
        """Put back the token of an operation that did not run."""
        self.tokens = min(self.tokens + 1.0, self.size)

    def lend(self, wanted: float) -> float:
        """Remove up to `wanted` tokens for another proxy, fractions included; return how many."""
        lent = min(max(wanted, 0.0), self.tokens)
        self.tokens -= lent
        return lent

    def borrow(self, tokens: float, now: float) -> None:
        """Add tokens that another proxy has removed from its bucket for this one."""
        self._borrowed = self._valid_borrowed(now) + tokens
        self._borrowed_until = now + BORROWED_VALID_SECONDS

    @property
    def seconds_to_next(self) -> float:
        """Seconds until the bucket holds a whole token again; infinite without a rate."""
        return (1.0 - self.tokens) / self.rate if self.rate > 0 else inf


class ShareClock:
    """Counts the seconds for which the share of a proxy was known to be in force."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self._advanced_at = 0.0
        self._valid_until = -inf

    def advance(self, now: float, confirmed_at: float) -> None:
        """Advance to `now`; the share was last confirmed as of `confirmed_at`.

        Time that is not known to be covered by a confirmation does not count.
        """
        valid_until = confirmed_at + SHARE_VALID_SECONDS
        if now <= self._valid_until:
            self.seconds += max(now - self._advanced_at, 0.0)
        else:
            covered = max(self._valid_until - self._advanced_at, 0.0)
            confirmed_from = max(confirmed_at, self._valid_until, self._advanced_at)
            self.seconds += covered + max(min(now, valid_until) - confirmed_from, 0.0)
        self._advanced_at = now
        if valid_until > self._valid_until:
            self._valid_until = valid_until


class QuotaLimiter:
    """The token buckets of one proxy; `share` is its share of each tenant's quota, 0 to 1."""

    def __init__(self, rules: QuotaRules) -> None:
        self.share = 0.0
        self._rules = rules
        self._clock = ShareClock()
        self._buckets: dict[str, TokenBucket] = {}
        self._tenants: dict[str, Tenant] = {}
        # Time of the share clock at which the current share came into force.
        self._share_since = 0.0
        # Initial fill of a new bucket, as a share of the excess. Zero once the first share of this
        # incarnation of the proxy has been replaced.
        self._start_share = _START_SHARE

    def set_share(self, share: float, now: float, confirmed_at: float) -> None:
        """Set the share of this proxy and adapt all buckets to it."""
        self._clock.advance(now, confirmed_at)
        if share == self.share:
            return
        if self.share:
            self._start_share = 0.0
        self.share = share
        self._share_since = self._clock.seconds
        for name, bucket in self._buckets.items():
            bucket.fill(self._clock.seconds)
            bucket.resize(*self._rate_and_size(self._tenants[name]))

    def _rate_and_size(self, tenant: Tenant) -> tuple[float, float]:
        """Return the rate and the size of a tenant's bucket at the current share."""
        size = tenant.burst + self._rules.excess(tenant) * _BUCKET_SHARE
        return tenant.rate * self.share, size * self.share

    def _bucket(self, tenant: Tenant) -> TokenBucket:
        """Return the bucket of a tenant, created or resized as needed and filled up to now."""
        bucket = self._buckets.get(tenant.name)
        if bucket is None:
            rate, size = self._rate_and_size(tenant)
            start = self._rules.excess(tenant) * self._start_share * self.share
            bucket = TokenBucket(start, rate, size)
            bucket.filled_at = self._share_since
            self._buckets[tenant.name] = bucket
            self._tenants[tenant.name] = tenant
        elif self._tenants[tenant.name] is not tenant:
            self._tenants[tenant.name] = tenant
            bucket.resize(*self._rate_and_size(tenant))
        bucket.fill(self._clock.seconds)
        return bucket

    def take(self, tenant: Tenant, now: float, confirmed_at: float) -> bool:
        """Take a token for one operation of a tenant; return False if its quota is exhausted."""
        self._clock.advance(now, confirmed_at)
        return self._bucket(tenant).take(now)

    def give_back(self, tenant: Tenant) -> None:
        """Put back the token of an operation that did not run."""
        self._bucket(tenant).give_back()

    def missing(self, tenant: Tenant, operations: int, now: float) -> float:
        """Return how many tokens are missing here to run this many operations."""
        return self._bucket(tenant).missing(operations, now)

    def lend(self, tenant: Tenant, wanted: float, now: float, confirmed_at: float) -> float:
        """Remove up to `wanted` tokens for another proxy; return how many were removed."""
        self._clock.advance(now, confirmed_at)
        return self._bucket(tenant).lend(wanted)

    def borrow(self, tenant: Tenant, tokens: float, now: float) -> None:
        """Add tokens that another proxy has lent to this one."""
        self._bucket(tenant).borrow(tokens, now)

    def retry_after(self, tenant: Tenant) -> float:
        """Return the seconds after which a refused operation may be retried."""
        seconds = self._bucket(tenant).seconds_to_next
        return min(max(seconds, _MIN_RETRY_SECONDS), _MAX_RETRY_SECONDS)
