"""Borrows tokens of tenants' quotas from other proxies for the operations that wait at this one.

For: `quota_service`. Owns the order in which other proxies are asked, the pause after which they
are asked again, and what part of each quota was asked for last. Relies on `shared.core.quota` for
the token buckets of this proxy.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from msgspec import Struct

from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.shared.core.errors import PeerUnavailable
from orchidwind.shared.core.quota import WHOLE_QUOTA, QuotaLimiter, seconds_to_turn
from orchidwind.shared.core.tenants import Tenant
from orchidwind.shared.logs import log_event
from orchidwind.shared.task_set import TaskSet

# How long an operation waits for borrowed tokens at most, seconds. A round trip to another zone
# takes a few milliseconds, and a few dozen on a slow machine.
_BORROW_SECONDS = 0.1
# The next proxy is asked as well if one has not answered after this time, seconds. Otherwise one
# that is lost without notice takes all the time there is, while others have tokens.
_NEXT_LENDER_SECONDS = 0.03
# Pause before other proxies are asked again after they had too few tokens to lend, seconds. Without
# it, a tenant beyond its quota would make every proxy ask all others for each operation.
_BORROW_RETRY_SECONDS = 0.25
# The shortest such pause, seconds, where only a part of the quota is in force and operations wait.
_SHORTEST_BORROW_RETRY_SECONDS = 0.05
# Smaller amounts than this part of a token are not borrowed.
_NEGLIGIBLE_TOKENS = 1e-6


class _Borrowing(Struct):
    """The state of borrowing tokens for one tenant.

    `waiting` operations need a token each. `task` asks other proxies for tokens; it is None while
    no request is in progress. Other proxies are not asked again before the time `not_before`.
    `asked_share` is the share of the quota held by this proxy and those that answered last;
    `asked` counts these proxies, this one included.
    """

    waiting: int = 0
    task: asyncio.Task[None] | None = None
    not_before: float = 0.0
    asked_share: float = 0.0
    asked: int = 1


def _retry_pause(tenant: Tenant, asked_share: float) -> float:
    """How long others are not asked again: until the part that is in force has the next token."""
    if asked_share >= WHOLE_QUOTA:
        return _BORROW_RETRY_SECONDS
    next_token = seconds_to_turn(tenant, asked_share, ahead=0)
    return min(max(next_token, _SHORTEST_BORROW_RETRY_SECONDS), _BORROW_RETRY_SECONDS)


class TokenBorrower:
    """Asks other proxies for tokens. Times are seconds of the event loop's clock."""

    def __init__(
        self,
        limiter: QuotaLimiter,
        lenders: Callable[[], Iterable[PeerLink]],
        own_share: Callable[[], float],
        share_of: Callable[[PeerLink], float],
    ) -> None:
        """`lenders` gives the proxies to ask, in order.

        `own_share` and `share_of` give the shares of each quota that this proxy and another one
        hold, 0 to 1.
        """
        self._limiter = limiter
        self._lenders = lenders
        self._own_share = own_share
        self._share_of = share_of
        self._borrowing: dict[str, _Borrowing] = {}
        self._tasks = TaskSet()
        self._loop = asyncio.get_running_loop()

    def fair_share(self, tenant: Tenant) -> float:
        """The part of a quota that this proxy can count on, 0 to 1, if all ask for as much.

        It and those that answered have the part of `asked_share`, and each lends to the others.
        """
        borrowing = self._borrowing.get(tenant.name)
        asked = 1 if borrowing is None else borrowing.asked
        return self.asked_share(tenant) / asked

    def asked_share(self, tenant: Tenant) -> float:
        """The share of a tenant's quota that was asked for last, here and at other proxies."""
        borrowing = self._borrowing.get(tenant.name)
        return 0.0 if borrowing is None else borrowing.asked_share

    def seconds_to_next_request(self, tenant: Tenant) -> float:
        """How long other proxies are not asked for tokens of a tenant."""
        borrowing = self._borrowing.get(tenant.name)
        return 0.0 if borrowing is None else max(borrowing.not_before - self._loop.time(), 0.0)

    async def borrow(self, tenant: Tenant, operations: int = 1) -> bool:
        """Ask other proxies for tokens. Returns False if none can be expected now."""
        borrowing = self._borrowing.setdefault(tenant.name, _Borrowing())
        if borrowing.task is None:
            if self._loop.time() < borrowing.not_before:
                return False
            borrowing.task = self._tasks.start(self._request_tokens(tenant, borrowing))
        borrowing.waiting += operations
        try:
            async with asyncio.timeout(_BORROW_SECONDS):
                await asyncio.shield(borrowing.task)
        except TimeoutError:
            # Not logged: the operation is refused, and refusals are counted.
            return False
        finally:
            borrowing.waiting -= operations
        return True

    async def _request_tokens(self, tenant: Tenant, borrowing: _Borrowing) -> None:
        """Ask other proxies until there is a token for each waiting operation."""
        await asyncio.sleep(0)  # so that operations that arrived together are all counted
        answered: list[PeerLink] = []
        try:
            await self._ask_in_turn(tenant, borrowing, answered)
        finally:
            borrowing.task = None
            borrowing.asked_share = self._own_share() + sum(map(self._share_of, answered))
            borrowing.asked = 1 + len(answered)
        if self._limiter.missing(tenant, 1, self._loop.time()) > _NEGLIGIBLE_TOKENS:
            pause = _retry_pause(tenant, borrowing.asked_share)
            borrowing.not_before = self._loop.time() + pause

    async def _ask_in_turn(
        self, tenant: Tenant, borrowing: _Borrowing, answered: list[PeerLink]
    ) -> None:
        """Ask one proxy after the other, the next one also where one is slow to answer."""
        pending: set[asyncio.Task[None]] = set()
        for link in self._lenders():
            missing = self._missing(tenant, borrowing)
            if missing <= _NEGLIGIBLE_TOKENS:
                return
            pending.add(self._tasks.start(self._request_from(link, tenant, missing, answered)))
            pending = await self._first_answer(pending, _NEXT_LENDER_SECONDS)
        while pending and self._missing(tenant, borrowing) > _NEGLIGIBLE_TOKENS:
            pending = await self._first_answer(pending, None)

    async def _first_answer(
        self, pending: set[asyncio.Task[None]], limit: float | None
    ) -> set[asyncio.Task[None]]:
        """Wait for the first of these requests to end; return those that go on."""
        done, going_on = await asyncio.wait(
            pending, timeout=limit, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            task.result()
        return going_on

    def _missing(self, tenant: Tenant, borrowing: _Borrowing) -> float:
        return self._limiter.missing(tenant, borrowing.waiting, self._loop.time())

    async def _request_from(
        self, link: PeerLink, tenant: Tenant, wanted: float, answered: list[PeerLink]
    ) -> None:
        """Add the tokens that a proxy lends to the bucket; note it if it answers."""
        try:
            async with asyncio.timeout(_BORROW_SECONDS):
                lent = await link.ask_tokens(tenant.name, wanted)
        except (PeerUnavailable, TimeoutError) as error:
            reason = str(error) or "no answer in time"
            log_event("tokens_not_lent", tenant=tenant.name, peer=link.member.name, reason=reason)
            return
        self._limiter.borrow(tenant, lent, self._loop.time())
        answered.append(link)

    def close(self) -> None:
        """Cancel the requests for tokens that are in progress."""
        self._tasks.cancel()
