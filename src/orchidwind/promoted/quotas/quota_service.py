"""Admits the operations of tenants at one proxy by their quotas, and lends tokens to other proxies.

For: `callers.command_runner`, which has each operation admitted before it is sent to an instance,
and `peers.served_link`, which serves the requests of other proxies for tokens. Owns the counts of
what was admitted and refused. Relies on `shared.core.quota` for the token buckets, on
`token_borrower` for tokens of other proxies, and on `share_keeper` for this proxy's share.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from math import inf, isfinite
from typing import Protocol

from msgspec import Struct

from orchidwind.promoted.core.share_status import ShareStatus
from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.promoted.quotas.token_borrower import TokenBorrower
from orchidwind.promoted.quotas.token_queue import TokenQueue
from orchidwind.shared.core.admission import EQUAL_WEIGHT
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.core.quota import (
    MIN_RETRY_SECONDS,
    WHOLE_QUOTA,
    HeldShare,
    QuotaLimiter,
    QuotaRules,
)
from orchidwind.shared.core.tenants import Tenant
from orchidwind.shared.logs import is_power_of_two, log_event

# When to come back where no share is in force here and it is not known when one will be, seconds:
# about the time in which the loss of its holders is noticed.
_UNKNOWN_SHARE_RETRY_SECONDS = 0.5


class Quotas(Protocol):
    """Admission by tenants' quotas, as the runners of commands use it."""

    async def admit_operation(self, name: str, hold_until: float = inf) -> None:
        """Admit one operation of a tenant; raises RequestError if there is no token for it.

        It must be sent to an instance by `hold_until`, in seconds of the event loop's clock.
        """

    def refund(self, name: str) -> None:
        """Return the token of an operation that was admitted and did not run."""

    def weight(self, name: str) -> float:
        """The weight of a tenant where tenants share connections: the rate of its quota."""


class NoQuotas:
    """Admits every operation: for a proxy without tenants."""

    async def admit_operation(self, name: str, hold_until: float = inf) -> None:
        """Admit the operation."""

    def refund(self, name: str) -> None:
        """Do nothing: no token was taken."""

    def weight(self, name: str) -> float:
        """The same weight for every tenant."""
        return EQUAL_WEIGHT


class TenantUse(Struct):
    """How many operations of one tenant this proxy admitted and refused since it started.

    `refused` counts those beyond the tenant's quota, `unavailable` those that were refused because
    not all of the quota was in force at proxies that could be asked. `waited` counts those that
    passed after they had waited for a token for that reason.
    """

    passed: int = 0
    refused: int = 0
    unavailable: int = 0
    waited: int = 0


class KnownShares(Protocol):
    """What is known of the shares of the quotas, here and at other proxies."""

    def share_of(self, proxy: str) -> float:
        """The share of each quota that another proxy holds, 0 to 1."""

    def status(self) -> ShareStatus:
        """How this proxy stands with its own share."""

    def seconds_to_share(self) -> float | None:
        """Seconds until a change of the holders gives out a part of the quotas; None: unknown."""


class QuotaService:
    """The quotas at one proxy. Times are seconds of the event loop's clock."""

    def __init__(
        self,
        rules: QuotaRules,
        tenants: Callable[[], Mapping[str, Tenant]],
        lenders: Callable[[], Iterable[PeerLink]],
        on_used: Callable[[], None] = lambda: None,
    ) -> None:
        """`tenants` gives the tenants in force by name, `lenders` the proxies to ask, in order.

        `on_used` is called with each operation that is to be admitted here.
        """
        self.use: dict[str, TenantUse] = {}
        self._limiter = QuotaLimiter(rules)
        self._tenants = tenants
        self._on_used = on_used
        # Returns when the share was last known to be in force.
        self._share_confirmed_at = lambda: float("-inf")
        self._shares: KnownShares | None = None
        self._borrower = TokenBorrower(
            self._limiter, lenders, self.share_in_force, self._share_of_lender
        )
        self._queue = TokenQueue(
            self._limiter, self._borrower, lambda name: tenants().get(name), self._take
        )
        self._loop = asyncio.get_running_loop()

    def use_shares(self, shares: KnownShares) -> None:
        """Set what is known of the shares of the quotas."""
        self._shares = shares

    def set_confirmation_time(self, confirmed_at: Callable[[], float]) -> None:
        """Set the function that returns when the share in use was last known to be in force."""
        self._share_confirmed_at = confirmed_at

    def hold(self, share: HeldShare) -> None:
        """Use a share of each quota from now on."""
        now = self._loop.time()
        self._limiter.set_share(share.late, now, share.confirmed_at, share.early)

    def share_in_force(self) -> float:
        """This proxy's share of each quota that is in force now, 0 to 1."""
        return self._limiter.in_force(self._loop.time(), self._share_confirmed_at())

    def weight(self, name: str) -> float:
        """The rate of a tenant's quota.

        Requests without a tenant, and tenants without a quota, have the mean of all quotas.
        """
        tenants = self._tenants()
        tenant = tenants.get(name)
        if tenant is not None and isfinite(tenant.rate):
            return tenant.rate
        rates = [other.rate for other in tenants.values() if isfinite(other.rate)]
        return sum(rates) / len(rates) if rates else EQUAL_WEIGHT

    async def admit_operation(self, name: str, hold_until: float = inf) -> None:
        """Admit one operation of a tenant; raises RequestError if there is no token for it.

        It must be sent to an instance by `hold_until`, in seconds of the event loop's clock.
        """
        self._on_used()
        tenant = self._tenants().get(name)
        if tenant is None:
            raise RequestError(ErrorKind.CONFIGURATION_TOO_OLD, f"tenant {name} is not known here")
        use = self.use.setdefault(name, TenantUse())
        if await self._obtain(tenant, use, hold_until):
            use.passed += 1
            return
        raise self._refusal(tenant, use)

    def waiting(self, name: str) -> int:
        """How many operations of a tenant wait for a token now."""
        return self._queue.waiting(name)

    async def _obtain(self, tenant: Tenant, use: TenantUse, hold_until: float) -> bool:
        """Take a token, behind the operations that wait for one already."""
        if not self._queue.waiting(tenant.name):
            if self._take(tenant):
                return True
            if await self._borrower.borrow(tenant) and self._take(tenant):
                return True
        if not await self._queue.obtain(tenant, hold_until):
            return False
        use.waited += 1
        if is_power_of_two(use.waited):
            log_event(
                "quota_waited",
                tenant=tenant.name,
                waited=use.waited,
                waiting=self._queue.waiting(tenant.name),
                asked_share=round(self._borrower.asked_share(tenant), 3),
                share=round(self.share_in_force(), 3),
            )
        return True

    def _refusal(self, tenant: Tenant, use: TenantUse) -> RequestError:
        """Count and log the refusal of an operation; return the error that names its reason."""
        asked_share = self._borrower.asked_share(tenant)
        if asked_share >= WHOLE_QUOTA:
            return self._quota_exceeded(tenant, use)
        return self._quota_unavailable(tenant, use, asked_share)

    def _quota_exceeded(self, tenant: Tenant, use: TenantUse) -> RequestError:
        use.refused += 1
        if is_power_of_two(use.refused):
            log_event(
                "quota_exceeded",
                tenant=tenant.name,
                refused=use.refused,
                passed=use.passed,
                rate=tenant.rate,
                burst=tenant.burst,
                share=round(self.share_in_force(), 3),
                share_age=round(self._loop.time() - self._share_confirmed_at(), 3),
            )
        return RequestError(
            ErrorKind.QUOTA_EXCEEDED,
            f"tenant {tenant.name} has used up its quota",
            retry_after_milliseconds=int(self._limiter.retry_after(tenant) * 1000),
        )

    def _quota_unavailable(
        self, tenant: Tenant, use: TenantUse, asked_share: float
    ) -> RequestError:
        use.unavailable += 1
        retry_after = self._seconds_to_tokens(tenant)
        if is_power_of_two(use.unavailable):
            status = self._shares.status() if self._shares is not None else None
            log_event(
                "quota_unavailable",
                tenant=tenant.name,
                unavailable=use.unavailable,
                passed=use.passed,
                asked_share=round(asked_share, 3),
                share=round(self.share_in_force(), 3),
                share_age=round(self._loop.time() - self._share_confirmed_at(), 3),
                state="" if status is None else status.state.value,
                holders="" if status is None else ",".join(status.holders),
                following="" if status is None else ",".join(status.following),
                retry_after=round(retry_after, 3),
            )
        return RequestError(
            ErrorKind.QUOTA_UNAVAILABLE,
            f"the quota of tenant {tenant.name} is in force in part only ({asked_share:.2f} of it)",
            retry_after_milliseconds=int(retry_after * 1000),
        )

    def _seconds_to_tokens(self, tenant: Tenant) -> float:
        """When to come back: with the next token here, or with the next share of the quota."""
        if self.share_in_force() > 0:
            return self._limiter.retry_after(tenant)
        seconds = None if self._shares is None else self._shares.seconds_to_share()
        return _UNKNOWN_SHARE_RETRY_SECONDS if seconds is None else max(seconds, MIN_RETRY_SECONDS)

    def _take(self, tenant: Tenant) -> bool:
        return self._limiter.take(tenant, self._loop.time(), self._share_confirmed_at())

    def refund(self, name: str) -> None:
        """Return the token of an operation that was admitted and did not run."""
        tenant = self._tenants().get(name)
        if tenant is not None:
            self._limiter.give_back(tenant)

    # --- Tokens of other proxies --------------------------------------------------------------

    def lend(self, name: str, wanted: float) -> float:
        """Take up to `wanted` tokens of a tenant out of this proxy's bucket. Returns how many."""
        tenant = self._tenants().get(name)
        if tenant is None:
            return 0.0
        return self._limiter.lend(tenant, wanted, self._loop.time(), self._share_confirmed_at())

    def _share_of_lender(self, lender: PeerLink) -> float:
        return 0.0 if self._shares is None else self._shares.share_of(lender.member.name)

    def close(self) -> None:
        """Cancel the requests for tokens that are in progress."""
        self._borrower.close()
