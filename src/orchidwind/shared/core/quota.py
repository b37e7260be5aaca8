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

Each share consists of two parts. The early part is in force for `EARLY_VALID_SECONDS` after the
share was last confirmed, the late part for `SHARE_VALID_SECONDS`. Once a part may no longer be in
force, it fills no bucket, and what it filled is dropped. The early part can therefore be given to
other proxies soon after its holder was lost, while the late part lasts through an outage of the
store.

Owns: the buckets of one proxy. Its user passes in the time, in seconds of a monotonic clock, the
share of the proxy, and the time as of which the share was last confirmed.
"""

from __future__ import annotations

from math import inf

from msgspec import Struct

from orchidwind.shared.core.tenants import Tenant

# Seconds for which the late part of a share is in force after the share was last confirmed. Other
# proxies take it over only after `quota_shares.SETTLE_SECONDS`, which is longer. During a store
# outage shorter than this, tenants keep the late part of their quotas; a longer value delays the
# replacement of a home proxy that is gone for good.
SHARE_VALID_SECONDS = 9.8
# The same for the early part; `quota_shares.EARLY_SETTLE_SECONDS` is longer. It exceeds the usual
# age of a confirmation.
EARLY_VALID_SECONDS = 2.2
# The early part of each share, as a fraction. With half of a quota, a tenant of usual load is
# served both by holders without news and by the proxies that replace lost holders.
EARLY_PART = 0.5
_LATE_PART = 1.0 - EARLY_PART
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
MIN_RETRY_SECONDS = 0.05
# A quota counts as whole if the proxies that were asked for tokens hold at least this share of it
# together: all of it, within rounding errors.
WHOLE_QUOTA = 0.999
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


def in_both_parts(early: float, late: float) -> float:
    """Return the share of a whole quota that a share of its early and of its late part make up."""
    return EARLY_PART * early + _LATE_PART * late


def seconds_to_turn(tenant: Tenant, share: float, ahead: int) -> float:
    """Return the seconds until there is a token for an operation with `ahead` others before it.

    `share` is the part of the quota in force, 0 to 1. The result is infinite if it is 0.
    """
    rate = tenant.rate * share
    return (ahead + 1) / rate if rate > 0 else inf


class HeldShare(Struct, frozen=True):
    """The share of each quota that a proxy holds, and as of when that was last confirmed.

    `early` and `late` are its shares of the two parts, from 0 to 1; `confirmed_at` is in seconds of
    a monotonic clock.
    """

    early: float
    late: float
    confirmed_at: float

    @property
    def whole(self) -> float:
        """The share of each quota while both parts are in force, from 0 to 1."""
        return in_both_parts(self.early, self.late)

    def in_force(self, now: float) -> float:
        """Return the share of each quota that is in force now, from 0 to 1."""
        if now <= self.confirmed_at + EARLY_VALID_SECONDS:
            return self.whole
        return _LATE_PART * self.late if now <= self.confirmed_at + SHARE_VALID_SECONDS else 0.0


class TokenBucket:
    """The tokens of one tenant at one proxy: `rate` per second of a `ShareClock`, at most `size`.

    `rate` and `size` are those of the tenant's whole quota, except that `size` is multiplied by the
    share of this proxy.
    """

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
        self.keep_at_most(size)

    def keep_at_most(self, tokens: float) -> None:
        """Drop the tokens beyond this number: the part of the share that filled them has ended."""
        self.tokens = min(self.tokens, tokens)

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

    def seconds_to_next(self, share: float) -> float:
        """Seconds until the bucket holds a whole token again; infinite without a share."""
        rate = self.rate * share
        return (1.0 - self.tokens) / rate if rate > 0 else inf


class ShareClock:
    """Adds up, over time, the share of each quota that was in force at a proxy.

    One second with the whole quota counts as one second. `in_force` is the share in force at the
    time of the last advance.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self.in_force = 0.0
        self._early = 0.0
        self._late = 0.0
        self._advanced_at = 0.0
        self._confirmed_at = -inf

    @property
    def share(self) -> float:
        """The share while both parts are in force, 0 to 1."""
        return self._early + self._late

    def set_share(self, early: float, late: float, now: float) -> None:
        """Change the share of both parts; time up to now counts with the former share."""
        self.advance(now, self._confirmed_at)
        self._early = EARLY_PART * early
        self._late = _LATE_PART * late

    def confirmed(self, confirmed_at: float) -> None:
        """Note a time as of which the present share was confirmed, just after it was set."""
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        self.in_force = self._in_force(self._advanced_at)

    def advance(self, now: float, confirmed_at: float) -> None:
        """Advance to `now`; the share was last confirmed as of `confirmed_at`.

        Time that is not known to be covered by a confirmation does not count.
        """
        if now <= self._confirmed_at + EARLY_VALID_SECONDS:
            self.seconds += max(now - self._advanced_at, 0.0) * self.share
            self.in_force = self.share
            self._advanced_at = now
            if confirmed_at > self._confirmed_at:
                self._confirmed_at = confirmed_at
            return
        self.seconds += self._early * self._covered(EARLY_VALID_SECONDS, now, confirmed_at)
        self.seconds += self._late * self._covered(SHARE_VALID_SECONDS, now, confirmed_at)
        self._advanced_at = now
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        self.in_force = self._in_force(now)

    def _covered(self, valid: float, now: float, confirmed_at: float) -> float:
        """Return the seconds since the last advance in which a part was known to be in force.

        The part is in force for `valid` seconds after a confirmation.
        """
        known_until = self._confirmed_at + valid
        if now <= known_until:
            return max(now - self._advanced_at, 0.0)
        covered = max(known_until - self._advanced_at, 0.0)
        confirmed_from = max(confirmed_at, known_until, self._advanced_at)
        return covered + max(min(now, confirmed_at + valid) - confirmed_from, 0.0)

    def _in_force(self, now: float) -> float:
        if now <= self._confirmed_at + EARLY_VALID_SECONDS:
            return self.share
        return self._late if now <= self._confirmed_at + SHARE_VALID_SECONDS else 0.0


class QuotaLimiter:
    """The token buckets of one proxy, which holds a share of each tenant's quota."""

    def __init__(self, rules: QuotaRules) -> None:
        self._rules = rules
        self._clock = ShareClock()
        self._buckets: dict[str, TokenBucket] = {}
        self._tenants: dict[str, Tenant] = {}
        # Time of the share clock at which the current share came into force.
        self._share_since = 0.0
        # Initial fill of a new bucket, as a share of the excess. Zero once the first share of this
        # incarnation of the proxy has been replaced.
        self._start_share = _START_SHARE

    @property
    def share(self) -> float:
        """This proxy's share of each quota while both parts are in force, 0 to 1."""
        return self._clock.share

    def in_force(self, now: float, confirmed_at: float) -> float:
        """Return this proxy's share of each quota that is in force now, 0 to 1."""
        self._clock.advance(now, confirmed_at)
        return self._clock.in_force

    def set_share(
        self, share: float, now: float, confirmed_at: float, early: float | None = None
    ) -> None:
        """Set the share of this proxy and adapt all buckets to it.

        `share` is its share of each quota, `early` its share of the early part if that differs.
        Tokens of a part that ended before remain dropped.
        """
        before = self._clock.share
        self._clock.set_share(share if early is None else early, share, now)
        held_before = self._clock.in_force
        self._clock.confirmed(confirmed_at)
        if before and self._clock.share != before:
            self._start_share = 0.0
        self._share_since = self._clock.seconds
        for name, bucket in self._buckets.items():
            tenant = self._tenants[name]
            bucket.fill(self._clock.seconds)
            bucket.keep_at_most(self._whole_size(tenant) * held_before)
            bucket.resize(tenant.rate, self._whole_size(tenant) * self._clock.share)
            if not before:
                bucket.tokens = min(self._start_tokens(tenant), bucket.size)

    def _whole_size(self, tenant: Tenant) -> float:
        """Return the size of a tenant's bucket for the whole quota."""
        return tenant.burst + self._rules.excess(tenant) * _BUCKET_SHARE

    def _start_tokens(self, tenant: Tenant) -> float:
        """Return the tokens with which a bucket begins at the first share of this incarnation."""
        return self._rules.excess(tenant) * self._start_share * self._clock.share

    def _bucket(self, tenant: Tenant) -> TokenBucket:
        """Return the bucket of a tenant, created or resized as needed and filled up to now."""
        clock = self._clock
        bucket = self._buckets.get(tenant.name)
        if bucket is None:
            size = self._whole_size(tenant) * clock.share
            bucket = TokenBucket(self._start_tokens(tenant), tenant.rate, size)
            bucket.filled_at = self._share_since
            self._buckets[tenant.name] = bucket
            self._tenants[tenant.name] = tenant
        elif self._tenants[tenant.name] is not tenant:
            self._tenants[tenant.name] = tenant
            bucket.resize(tenant.rate, self._whole_size(tenant) * clock.share)
        bucket.fill(clock.seconds)
        if clock.in_force != clock.share:
            bucket.keep_at_most(self._whole_size(tenant) * clock.in_force)
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
        seconds = self._bucket(tenant).seconds_to_next(self._clock.in_force)
        return min(max(seconds, MIN_RETRY_SECONDS), _MAX_RETRY_SECONDS)
