"""Who an API key belongs to, and whether a request with it may be accepted. No I/O, no clock.

The rule. A caller names an API key, which one tenant of the configuration in force holds; a key
that no tenant holds is refused. Each request is judged anew, as an operator may take a key away at
any time. Such a key must be of no use a stated time after that was acknowledged, at every proxy,
also at one that hears of nothing: so a configuration judges keys only for so long after it was last
known to be the newest. After that, requests are refused as not run.

Keys are secrets: only their digests are kept, and go from proxy to proxy.

Owns: nothing. Relies on: its user for the age of the configuration.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from hashlib import blake2b

from msgspec import Struct

from orchidwind.shared.core.errors import ErrorKind, RequestError

# A tenant with so great a part of all quotas is a large one: it asks often enough to keep
# connections of its own in use in each zone.
_LARGE_PART = 1 / 40
# Of a digest. Two keys have the same one with a chance that need not be thought of.
_DIGEST_BYTES = 16
# A configuration judges keys for so much less than the time that is allowed, seconds. Clocks of two
# machines run so little apart in that time that a hundredth of it would do.
_JUDGING_MARGIN_SECONDS = 0.1


def key_digest(api_key: str) -> bytes:
    """What is kept of an API key."""
    return blake2b(api_key.encode(), digest_size=_DIGEST_BYTES).digest()


class Tenant(Struct, frozen=True):
    """One tenant: the digests of its API keys, and how much it may ask of the whole fleet.

    `rate`: operations a second, over a long time; `burst`: so many may come at once.
    """

    name: str
    key_digests: tuple[bytes, ...]
    rate: float
    burst: float


class TenantTable:
    """The tenants of one configuration, by the digests of their keys."""

    def __init__(self, tenants: Iterable[Tenant]) -> None:
        self.tenants = {tenant.name: tenant for tenant in tenants}
        least = sum(tenant.rate for tenant in self.tenants.values()) * _LARGE_PART
        # The tenants with great parts of all quotas.
        self.large = frozenset(item.name for item in self.tenants.values() if item.rate >= least)
        self._holders = {
            digest: tenant for tenant in self.tenants.values() for digest in tenant.key_digests
        }

    def holder(self, digest: bytes) -> Tenant | None:
        """The tenant that holds a key; None where nobody does."""
        return self._holders.get(digest)


def tenant_faults(tenants: Iterable[Tenant]) -> Iterator[str]:
    """What is wrong with the tenants of a configuration, a line each."""
    names: set[str] = set()
    holders: dict[bytes, str] = {}
    for tenant in tenants:
        if tenant.name in names:
            yield f"tenant {tenant.name}: the name stands there twice"
        names.add(tenant.name)
        if tenant.rate <= 0:
            yield f"tenant {tenant.name}: the rate is not above 0"
        if tenant.burst < 1:
            yield f"tenant {tenant.name}: the burst is below 1, so that nothing passes"
        for digest in tenant.key_digests:
            other = holders.setdefault(digest, tenant.name)
            if other != tenant.name:
                yield f"tenant {tenant.name}: one of its keys is also held by tenant {other}"


class KeyJudge(Struct, frozen=True):
    """Judges API keys by a configuration.

    `valid_for`: for how many seconds after it was known to be the newest a configuration may judge;
    None where no bound is promised.
    """

    valid_for: float | None = None

    @classmethod
    def within(cls, revocation_seconds: float | None) -> KeyJudge:
        """A key that was taken away is of no use after so many seconds; None: no bound."""
        if revocation_seconds is None:
            return cls()
        return cls(max(revocation_seconds - _JUDGING_MARGIN_SECONDS, 0.0))

    def may_judge(self, configuration_age: float) -> bool:
        """Whether a configuration that was the newest so many seconds ago judges keys."""
        return self.valid_for is None or configuration_age <= self.valid_for

    def tenant_of(self, table: TenantTable, digest: bytes, configuration_age: float) -> Tenant:
        """The tenant that a request with a key belongs to; raises RequestError."""
        if not self.may_judge(configuration_age):
            raise RequestError(
                ErrorKind.CONFIGURATION_TOO_OLD,
                f"the configuration was last known to be in force {configuration_age:.1f} s ago",
            )
        tenant = table.holder(digest)
        if tenant is None:
            raise RequestError(ErrorKind.AUTHENTICATION_FAILED, "no tenant holds this API key")
        return tenant
