"""How much service each tenant was given at one instance, compared with the others that wait.

Start-time fair queueing over all traffic classes: each tenant has a virtual start, the service that
it was given divided by its weight. The virtual time is the lowest virtual start of all tenants with
waiting requests that may be granted a connection, and never goes back. A tenant that begins to wait
starts at the virtual time at least, so room that others leave unused is not saved up. No I/O, no
clock.

Owns: the virtual starts and the virtual time. Service times are in seconds.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

# Number of tenants that are kept before those are dropped that wait for nothing and have been given
# no more than the others.
_KEPT_TENANTS = 256
# A tenant that is ahead of the others by more than the service that all slots give in this time,
# in seconds of service, has used up its share: its requests go after those of the others, also
# after those of a lower priority. Less would make short bursts lose their priority.
_ALLOWED_LEAD_SECONDS = 2.0
# The lead of a tenant that begins to wait again is at most this, in seconds of service: what it was
# given long ago delays it no longer.
_LONGEST_LEAD_SECONDS = 4.0
# A tenant that waits while it may not be granted a connection falls behind the others by at most
# this, in seconds of service: it does not hold all slots for longer afterwards.
_LONGEST_LAG_SECONDS = 2.0


class TenantAccount(Struct):
    """One tenant; `waiting` is the number of its waiting requests."""

    weight: float
    virtual_start: float
    waiting: int = 0


class TenantAccounts:
    """The tenants at one instance."""

    def __init__(self) -> None:
        self._accounts: dict[str, TenantAccount] = {}
        # The tenants with waiting requests, and the sum of their weights.
        self._busy: dict[str, TenantAccount] = {}
        self._busy_weight = 0.0
        self.virtual_time = 0.0

    def joined(self, tenant: str, weight: float) -> None:
        """Record that a request of a tenant begins to wait."""
        account = self.of(tenant, weight)
        if not account.waiting:
            account.weight = weight
            self._busy[tenant] = account
            self._busy_weight += weight
            latest = self.virtual_time + _LONGEST_LEAD_SECONDS / self._busy_weight
            account.virtual_start = max(min(account.virtual_start, latest), self.virtual_time)
        elif account.weight != weight:
            self._busy_weight += weight - account.weight
            account.weight = weight
        account.waiting += 1

    def left(self, tenant: str) -> None:
        """Record that a request of a tenant no longer waits."""
        account = self._busy[tenant]
        account.waiting -= 1
        if not account.waiting:
            del self._busy[tenant]
            self._busy_weight = self._busy_weight - account.weight if self._busy else 0.0

    def charge(self, tenant: str, service: float) -> None:
        """Charge a tenant for service; negative if it was charged too much before."""
        account = self._accounts.get(tenant)
        if account is not None:
            account.virtual_start += service / account.weight

    def advance(self, eligible: Callable[[str], bool]) -> None:
        """Advance the virtual time to the lowest virtual start of the eligible waiting tenants."""
        lowest = min(
            (account.virtual_start for name, account in self._busy.items() if eligible(name)),
            default=self.virtual_time,
        )
        if lowest <= self.virtual_time:
            return
        self.virtual_time = lowest
        earliest = lowest - _LONGEST_LAG_SECONDS / self._busy_weight
        for account in self._busy.values():
            account.virtual_start = max(account.virtual_start, earliest)

    def virtual_start(self, tenant: str) -> float:
        """Return the virtual start of a tenant's next request, also of a tenant not known yet."""
        account = self._accounts.get(tenant)
        if account is None:
            return self.virtual_time
        return max(account.virtual_start, self.virtual_time)

    def has_share_left(self, tenant: str, more: float = 0.0) -> bool:
        """Return whether a waiting tenant has not used up its share, after `more` service."""
        account = self._accounts.get(tenant)
        if account is None or len(self._busy) < 2:
            return True
        lead = account.virtual_start + more / account.weight - self.virtual_time
        return lead * self._busy_weight <= _ALLOWED_LEAD_SECONDS

    def of(self, tenant: str, weight: float) -> TenantAccount:
        """Return the account of a tenant; created if there is none."""
        account = self._accounts.get(tenant)
        if account is None:
            if len(self._accounts) >= _KEPT_TENANTS:
                self._drop_accounts()
            account = self._accounts[tenant] = TenantAccount(weight, self.virtual_time)
        return account

    def _drop_accounts(self) -> None:
        """Drop the tenants that wait for nothing and are not ahead of the virtual time."""
        self._accounts = {
            name: account
            for name, account in self._accounts.items()
            if account.waiting or account.virtual_start > self.virtual_time
        }
