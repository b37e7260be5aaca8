"""Admits the operations of tenants at one proxy by their quotas, and lends tokens to other proxies.

For: `callers.command_runner`, which has each operation admitted before it is sent to an instance,
and `peers.served_link`, which serves the requests of other proxies for tokens. Owns the order in
which other proxies are asked for tokens, and the pause after which they are asked again. Relies on
`shared.core.quota` for the token buckets and on `share_keeper` for this proxy's share.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from math import isfinite
from typing import Protocol

from msgspec import Struct

from orchidwind.promoted.core.share_status import ShareStatus
from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.shared.core.admission import EQUAL_WEIGHT
from orchidwind.shared.core.errors import ErrorKind, PeerUnavailable, RequestError
from orchidwind.shared.core.quota import MIN_RETRY_SECONDS, HeldShare, QuotaLimiter, QuotaRules
from orchidwind.shared.core.tenants import Tenant
from orchidwind.shared.logs import is_power_of_two, log_event
from orchidwind.shared.task_set import TaskSet

# How long an operation waits for borrowed tokens at most, seconds. A round trip to another zone
# takes a few milliseconds, and a few dozen on a slow machine.
_BORROW_SECONDS = 0.1
# Pause before other proxies are asked again after they had too few tokens to lend, seconds. Without
# it, a tenant beyond its quota would make every proxy ask all others for each operation.
_BORROW_RETRY_SECONDS = 0.25
# Smaller amounts than this part of a token are not borrowed.
_NEGLIGIBLE_TOKENS = 1e-6
# A quota counts as used up if the proxies that were asked for tokens hold at least this share of it
# together: all of it, within rounding errors.
_WHOLE_QUOTA = 0.999
# When to come back where no share is in force here and it is not known when one will be, seconds:
# about the time in which the loss of its holders is noticed.
_UNKNOWN_SHARE_RETRY_SECONDS = 0.5


class Quotas(Protocol):
    """Admission by tenants' quotas, as the runners of commands use it."""

    async def admit_operation(self, name: str) -> None:
        """Admit one operation of a tenant; raises RequestError if there is no token for it."""

    def refund(self, name: str) -> None:
        """Return the token of an operation that was admitted and did not run."""

    def weight(self, name: str) -> float:
        """The weight of a tenant where tenants share connections: the rate of its quota."""


class NoQuotas:
    """Admits every operation: for a proxy without tenants."""

    async def admit_operation(self, name: str) -> None:
        """Admit the operation."""

    def refund(self, name: str) -> None:
        """Do nothing: no token was taken."""

    def weight(self, name: str) -> float:
        """The same weight for every tenant."""
        return EQUAL_WEIGHT


class TenantUse(Struct):
    """How many operations of one tenant this proxy admitted and refused since it started.

    `refused` counts those beyond the tenant's quota, `unavailable` those that were refused because
    not all of the quota was in force at proxies that could be asked.
    """

    passed: int = 0
    refused: int = 0
    unavailable: int = 0


class KnownShares(Protocol):
    """What is known of the shares of the quotas, here and at other proxies."""

    def share_of(self, proxy: str) -> float:
        """The share of each quota that another proxy holds, 0 to 1."""

    def status(self) -> ShareStatus:
        """How this proxy stands with its own share."""

    def seconds_to_share(self) -> float | None:
        """Seconds until a change of the holders gives out a part of the quotas; None: unknown."""


class _Borrowing(Struct):
    """The state of borrowing tokens for one tenant.

    `waiting` operations need a token each. `task` asks other proxies for tokens; it is None while
    no request is in progress. Other proxies are not asked again before the time `not_before`.
    `asked_share` is the share of the quota held by this proxy and those that answered last.
    """

    waiting: int = 0
    task: asyncio.Task[None] | None = None
    not_before: float = 0.0
    asked_share: float = 0.0


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
        self._lenders = lenders
        self._on_used = on_used
        # Returns when the share was last known to be in force.
        self._share_confirmed_at = lambda: float("-inf")
        self._shares: KnownShares | None = None
        self._borrowing: dict[str, _Borrowing] = {}
        self._tasks = TaskSet()
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

    async def admit_operation(self, name: str) -> None:
        """Admit one operation of a tenant; raises RequestError if there is no token for it."""
        self._on_used()
        tenant = self._tenants().get(name)
        if tenant is None:
            raise RequestError(ErrorKind.CONFIGURATION_TOO_OLD, f"tenant {name} is not known here")
        use = self.use.setdefault(name, TenantUse())
        if self._take(tenant) or (await self._borrow(tenant) and self._take(tenant)):
            use.passed += 1
            return
        raise self._refusal(tenant, use)

    def _refusal(self, tenant: Tenant, use: TenantUse) -> RequestError:
        """Count and log the refusal of an operation; return the error that names its reason."""
        asked_share = self._borrowing[tenant.name].asked_share
        if asked_share >= _WHOLE_QUOTA:
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

    async def _borrow(self, tenant: Tenant) -> bool:
        """Ask other proxies for tokens. Returns False if none can be expected now."""
        borrowing = self._borrowing.setdefault(tenant.name, _Borrowing())
        if borrowing.task is None:
            if self._loop.time() < borrowing.not_before:
                return False
            borrowing.task = self._tasks.start(self._request_tokens(tenant, borrowing))
        borrowing.waiting += 1
        try:
            async with asyncio.timeout(_BORROW_SECONDS):
                await asyncio.shield(borrowing.task)
        except TimeoutError:
            # Not logged: the operation is refused, and refusals are counted.
            return False
        finally:
            borrowing.waiting -= 1
        return True

    async def _request_tokens(self, tenant: Tenant, borrowing: _Borrowing) -> None:
        """Ask one proxy after the other until there is a token for each waiting operation."""
        await asyncio.sleep(0)  # so that operations that arrived together are all counted
        asked_share = self.share_in_force()
        try:
            for link in self._lenders():
                missing = self._limiter.missing(tenant, borrowing.waiting, self._loop.time())
                if missing <= _NEGLIGIBLE_TOKENS:
                    break
                lent = await self._request_from(link, tenant.name, missing)
                if lent is None:
                    continue
                self._limiter.borrow(tenant, lent, self._loop.time())
                if self._shares is not None:
                    asked_share += self._shares.share_of(link.member.name)
        finally:
            borrowing.task = None
            borrowing.asked_share = asked_share
        if self._limiter.missing(tenant, 1, self._loop.time()) > _NEGLIGIBLE_TOKENS:
            borrowing.not_before = self._loop.time() + _BORROW_RETRY_SECONDS

    async def _request_from(self, link: PeerLink, tenant: str, wanted: float) -> float | None:
        """Return how many tokens a proxy lent, None if it did not answer."""
        try:
            async with asyncio.timeout(_BORROW_SECONDS):
                return await link.ask_tokens(tenant, wanted)
        except (PeerUnavailable, TimeoutError) as error:
            reason = str(error) or "no answer in time"
            log_event("tokens_not_lent", tenant=tenant, peer=link.member.name, reason=reason)
            return None

    def close(self) -> None:
        """Cancel the requests for tokens that are in progress."""
        self._tasks.cancel()
