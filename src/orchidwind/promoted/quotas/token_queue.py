"""Operations that wait here for tokens while only a part of their tenant's quota is in force.

For: `quota_service`. A refused caller would come back later, and find the tokens gone to whoever
came in between. So an operation waits its turn, with no slot and no connection, if the part in
force is expected to have a token for it soon. A tenant that has used up its whole quota is
refused at once.

Owns: the order of the waiting operations of each tenant. Relies on `token_borrower` for what part
of a quota is in force at proxies that answer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec import Struct, field

from orchidwind.promoted.quotas.token_borrower import TokenBorrower
from orchidwind.shared.core.quota import WHOLE_QUOTA, QuotaLimiter, seconds_to_turn
from orchidwind.shared.core.tenants import Tenant

# How long an operation waits for a token at most, seconds: about as long as it takes until others
# have the early part of lost holders.
LONGEST_TOKEN_WAIT_SECONDS = 2.5
# The part of the time left until an operation must be sent for which it waits for a token at most.
# The rest is for the wait for a connection.
_TOKEN_WAIT_SHARE = 0.5
# The part of its fair share that a home counts on where other homes may take tokens, too: they come
# unevenly then.
_CERTAIN_PART = 0.7
# Shortest pause between two looks for a token, seconds.
_SHORTEST_PAUSE_SECONDS = 0.02


class _Queue(Struct):
    """The operations of one tenant that wait; the one that holds `turn` looks for a token."""

    turn: asyncio.Lock = field(default_factory=asyncio.Lock)
    waiting: int = 0


class TokenQueue:
    """Lets operations wait for tokens, those of one tenant in the order of their arrival."""

    def __init__(
        self,
        limiter: QuotaLimiter,
        borrower: TokenBorrower,
        tenant: Callable[[str], Tenant | None],
        take: Callable[[Tenant], bool],
    ) -> None:
        """`tenant` returns the tenant of a name in the configuration in force, if there is one.

        `take` takes a token of a tenant out of the bucket, and returns False if there is none.
        """
        self._limiter = limiter
        self._borrower = borrower
        self._tenant = tenant
        self._take = take
        self._queues: dict[str, _Queue] = {}

    def waiting(self, name: str) -> int:
        """How many operations of a tenant wait now."""
        queue = self._queues.get(name)
        return 0 if queue is None else queue.waiting

    async def obtain(self, tenant: Tenant, hold_until: float) -> bool:
        """Wait for a token and take it; return False if there will be none soon.

        The operation must be sent to an instance by `hold_until`, in seconds of the loop's clock.
        The wait is bounded by half of the time until then, whatever the target of the operation,
        and by `LONGEST_TOKEN_WAIT_SECONDS`. One whose turn would come later is refused at once;
        its turn is reckoned as if the other homes that answer had as many operations waiting.
        """
        left = hold_until - asyncio.get_running_loop().time()
        longest = min(LONGEST_TOKEN_WAIT_SECONDS, left * _TOKEN_WAIT_SHARE)
        ahead = self.waiting(tenant.name)
        share = self._borrower.asked_share(tenant)
        if share >= WHOLE_QUOTA and not ahead:
            return False
        if self._seconds_to_turn(tenant, ahead) > longest:
            return False
        queue = self._queues.setdefault(tenant.name, _Queue())
        queue.waiting += 1
        try:
            async with asyncio.timeout(longest), queue.turn:
                return await self._look_for_token(tenant.name, queue)
        except TimeoutError:
            # Not logged: the operation is refused, and refusals are counted.
            return False
        finally:
            queue.waiting -= 1
            if not queue.waiting:
                self._queues.pop(tenant.name, None)

    def _seconds_to_turn(self, tenant: Tenant, ahead: int) -> float:
        share = self._borrower.fair_share(tenant)
        if share < self._borrower.asked_share(tenant):
            share *= _CERTAIN_PART
        return seconds_to_turn(tenant, share, ahead)

    async def _look_for_token(self, name: str, queue: _Queue) -> bool:
        """Take the next token, an own one or a borrowed one; False if the quota is used up."""
        while True:
            tenant = self._tenant(name)
            if tenant is None:
                return False
            if self._take(tenant):
                return True
            if await self._borrower.borrow(tenant, queue.waiting) and self._take(tenant):
                return True
            share = self._borrower.asked_share(tenant)
            if share >= WHOLE_QUOTA or share <= 0.0:
                return False
            await asyncio.sleep(self._pause(tenant))

    def _pause(self, tenant: Tenant) -> float:
        """Seconds until this proxy has a token or may ask others again, whichever is sooner."""
        own = self._limiter.retry_after(tenant)
        others = self._borrower.seconds_to_next_request(tenant)
        return max(min(own, others), _SHORTEST_PAUSE_SECONDS)
