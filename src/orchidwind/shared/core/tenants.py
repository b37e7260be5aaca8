"""Maps API keys to tenants and decides whether a request with a key is accepted. No I/O, no clock.

A caller sends an API key, which belongs to one tenant of the configuration in force; an unknown key
is refused. The key is checked for each request, since an operator may revoke it at any time. A
revoked key must stop working at every proxy within a stated time after the revocation was
acknowledged, including proxies that receive no updates. Therefore a configuration may be used to
check keys only for a limited time after it was last known to be the newest. After that, requests
are refused as not run.

Keys are secrets: only their digests are stored and sent between proxies.

Its user passes in the age of the configuration.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from hashlib import blake2b

from msgspec import Struct

from orchidwind.shared.core.errors import ErrorKind, RequestError

# A tenant whose rate is at least this part of the rates of all tenants is large: it sends enough
# requests to keep connections of its own in use in each zone.
_LARGE_TENANT_SHARE = 1 / 40
# Length of a key digest. A collision of two keys is too improbable to matter.
_DIGEST_BYTES = 16
# Safety margin, in seconds, subtracted from the time that a revoked key is allowed to work. The
# clocks of two machines drift so little in that time that a hundredth of it would do.
_REVOCATION_MARGIN_SECONDS = 0.1


def key_digest(api_key: str) -> bytes:
    """Return the digest under which an API key is stored."""
    return blake2b(api_key.encode(), digest_size=_DIGEST_BYTES).digest()


class Tenant(Struct, frozen=True):
    """A tenant: the digests of its API keys and its quota for the whole fleet.

    `rate` is the sustained number of operations per second, `burst` the number of operations that
    may arrive at once.
    """

    name: str
    key_digests: tuple[bytes, ...]
    rate: float
    burst: float


class TenantTable:
    """The tenants of one configuration, indexed by name and by key digest."""

    def __init__(self, tenants: Iterable[Tenant]) -> None:
        self.tenants = {tenant.name: tenant for tenant in tenants}
        threshold = sum(tenant.rate for tenant in self.tenants.values()) * _LARGE_TENANT_SHARE
        # Names of the tenants with a large part of all quotas.
        self.large = frozenset(
            item.name for item in self.tenants.values() if item.rate >= threshold
        )
        self._holders = {
            digest: tenant for tenant in self.tenants.values() for digest in tenant.key_digests
        }

    def holder(self, digest: bytes) -> Tenant | None:
        """Return the tenant that holds a key, or None if no tenant does."""
        return self._holders.get(digest)


def tenant_errors(tenants: Iterable[Tenant]) -> Iterator[str]:
    """Yield one line for each error in the tenants of a configuration."""
    names: set[str] = set()
    holders: dict[bytes, str] = {}
    for tenant in tenants:
        if tenant.name in names:
            yield f"tenant {tenant.name}: duplicate name"
        names.add(tenant.name)
        if tenant.rate <= 0:
            yield f"tenant {tenant.name}: the rate is not above 0"
        if tenant.burst < 1:
            yield f"tenant {tenant.name}: the burst is below 1, so no operation could pass"
        for digest in tenant.key_digests:
            other = holders.setdefault(digest, tenant.name)
            if other != tenant.name:
                yield f"tenant {tenant.name}: one of its keys is also held by tenant {other}"


class KeyChecker(Struct, frozen=True):
    """Checks API keys against a configuration.

    `valid_for` is how many seconds a configuration may be used after it was last known to be the
    newest; None means without limit.
    """

    valid_for: float | None = None

    @classmethod
    def within(cls, revocation_seconds: float | None) -> KeyChecker:
        """Create a checker with which a revoked key stops working within this time.

        None sets no limit.
        """
        if revocation_seconds is None:
            return cls()
        return cls(max(revocation_seconds - _REVOCATION_MARGIN_SECONDS, 0.0))

    def may_check_keys(self, configuration_age: float) -> bool:
        """Return whether a configuration that was the newest this many seconds ago may be used."""
        return self.valid_for is None or configuration_age <= self.valid_for

    def tenant_of(self, table: TenantTable, digest: bytes, configuration_age: float) -> Tenant:
        """Return the tenant that holds a key.

        Raises RequestError if the configuration is too old or no tenant holds the key.
        """
        if not self.may_check_keys(configuration_age):
            raise RequestError(
                ErrorKind.CONFIGURATION_TOO_OLD,
                f"the configuration was last known to be in force {configuration_age:.1f} s ago",
            )
        tenant = table.holder(digest)
        if tenant is None:
            raise RequestError(ErrorKind.AUTHENTICATION_FAILED, "no tenant holds this API key")
        return tenant
