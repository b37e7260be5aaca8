"""Lets the operations of tenants pass at one proxy, and lends what is left to the others.

For: `callers.command_runner`, which has each operation pass before an instance sees it;
`peers.served_link`, which has it lend. Owns whom to ask for tokens, and when again. Relies on
`shared.core.quota` for the buckets and on `share_keeper` for this proxy's share.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from msgspec import Struct

from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.shared.core.errors import ErrorKind, PeerUnavailable, RequestError
from orchidwind.shared.core.quota import QuotaLimiter, QuotaRules
from orchidwind.shared.core.tenants import Tenant
from orchidwind.shared.logs import is_power_of_two, log_event
from orchidwind.shared.task_set import TaskSet

# An operation waits for borrowed tokens for so many seconds at most. A way to another zone and back
# takes some milliseconds, on a slow machine some dozens.
_BORROW_SECONDS = 0.1
# Where others had nothing to lend, they are asked again after so many seconds: a tenant that asks
# for more than its quota would else have every proxy ask all others for each operation.
_ASK_AGAIN_SECONDS = 0.25
# So little of a token is not asked for.
_HARDLY_ANY = 1e-6


class Quotas(Protocol):
    """What the runners of commands ask."""

    async def pass_operation(self, name: str) -> None:
        """Let one operation of a tenant pass; raises RequestError where its quota is used up."""

    def give_back(self, name: str) -> None:
        """An operation that passed has not run."""


class NoQuotas:
    """Where there are no tenants: everything passes."""

    async def pass_operation(self, name: str) -> None:
        """Let an operation pass."""

    def give_back(self, name: str) -> None:
        """Nothing was taken."""


class TenantUse(Struct):
    """What became of one tenant's operations at this proxy since it started."""

    passed: int = 0
    refused: int = 0


class _Borrowing(Struct):
    """Tokens that are asked for, for one tenant; `waiting` operations need one."""

    waiting: int = 0
    task: asyncio.Task[None] | None = None
    not_before: float = 0.0


class QuotaService:
    """The quotas at one proxy. Times are in seconds of the loop's clock."""

    def __init__(
        self,
        rules: QuotaRules,
        tenants: Callable[[], Mapping[str, Tenant]],
        lenders: Callable[[], Iterable[PeerLink]],
    ) -> None:
        """`tenants` are those in force, by name; `lenders` are asked in their order."""
        self.use: dict[str, TenantUse] = {}
        self._limiter = QuotaLimiter(rules)
        self._tenants = tenants
        self._lenders = lenders
        # When the share was last known to be in force.
        self._share_confirmed_at = lambda: float("-inf")
        self._borrowing: dict[str, _Borrowing] = {}
        self._tasks = TaskSet()
        self._loop = asyncio.get_running_loop()

    @property
    def share(self) -> float:
        """This proxy's share of each quota, 0 to 1."""
        return self._limiter.share

    def confirmed_by(self, confirmed_at: Callable[[], float]) -> None:
        """From now on this tells when the share was last known to be in force."""
        self._share_confirmed_at = confirmed_at

    def set_share(self, share: float) -> None:
        """This proxy's share, as it was just heard of."""
        self._limiter.set_share(share, self._loop.time(), self._share_confirmed_at())

    async def pass_operation(self, name: str) -> None:
        """Let one operation of a tenant pass; raises RequestError where its quota is used up."""
        tenant = self._tenants().get(name)
        if tenant is None:
            raise RequestError(ErrorKind.CONFIGURATION_TOO_OLD, f"tenant {name} is not known here")
        use = self.use.setdefault(name, TenantUse())
        if self._take(tenant) or (await self._borrow(tenant) and self._take(tenant)):
            use.passed += 1
            return
        use.refused += 1
        retry_after = self._limiter.retry_after(tenant)
        if is_power_of_two(use.refused):
            log_event(
                "quota_exceeded",
                tenant=name,
                refused=use.refused,
                passed=use.passed,
                rate=tenant.rate,
                burst=tenant.burst,
                share=round(self.share, 3),
                share_age=round(self._loop.time() - self._share_confirmed_at(), 3),
            )
        raise RequestError(
            ErrorKind.QUOTA_EXCEEDED,
            f"tenant {name} has used up its quota",
            retry_after_milliseconds=int(retry_after * 1000),
        )

    def _take(self, tenant: Tenant) -> bool:
        return self._limiter.take(tenant, self._loop.time(), self._share_confirmed_at())

    def give_back(self, name: str) -> None:
        """An operation that passed has not run."""
        tenant = self._tenants().get(name)
        if tenant is not None:
            self._limiter.give_back(tenant)

    # --- tokens of other proxies --------------------------------------------------------------

    def lend(self, name: str, wanted: float) -> float:
        """Tokens of a tenant for another proxy, which this one has no longer."""
        tenant = self._tenants().get(name)
        if tenant is None:
            return 0.0
        return self._limiter.lend(tenant, wanted, self._loop.time(), self._share_confirmed_at())

    async def _borrow(self, tenant: Tenant) -> bool:
        """Wait for tokens of other proxies; whether it is worth while to look for one."""
        borrowing = self._borrowing.setdefault(tenant.name, _Borrowing())
        if borrowing.task is None:
            if self._loop.time() < borrowing.not_before:
                return False
            borrowing.task = self._tasks.start(self._ask(tenant, borrowing))
        borrowing.waiting += 1
        try:
            async with asyncio.timeout(_BORROW_SECONDS):
                await asyncio.shield(borrowing.task)
        except TimeoutError:
            # No line: the operation is refused, which is counted.
            return False
        finally:
            borrowing.waiting -= 1
        return True

    async def _ask(self, tenant: Tenant, borrowing: _Borrowing) -> None:
        """Ask one proxy after the other, until those that wait have a token each."""
        await asyncio.sleep(0)  # those that arrived together are counted first
        try:
            for link in self._lenders():
                missing = self._limiter.missing(tenant, borrowing.waiting, self._loop.time())
                if missing <= _HARDLY_ANY:
                    break
                lent = await self._ask_one(link, tenant.name, missing)
                self._limiter.borrow(tenant, lent, self._loop.time())
        finally:
            borrowing.task = None
        if self._limiter.missing(tenant, 1, self._loop.time()) > _HARDLY_ANY:
            borrowing.not_before = self._loop.time() + _ASK_AGAIN_SECONDS

    async def _ask_one(self, link: PeerLink, tenant: str, wanted: float) -> float:
        try:
            async with asyncio.timeout(_BORROW_SECONDS):
                return await link.ask_tokens(tenant, wanted)
        except (PeerUnavailable, TimeoutError) as error:
            reason = str(error) or "no answer in time"
            log_event("tokens_not_lent", tenant=tenant, peer=link.member.name, reason=reason)
            return 0.0

    def close(self) -> None:
        """Ask no more."""
        self._tasks.cancel()
