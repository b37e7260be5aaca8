"""What instances and operators publish in the store: the directory and the configuration.

For: the watched collections of these kinds. Owns the names of their fields, which are decoded here
into the types of `promoted.core.configuration`; unknown fields are passed over. No I/O.

Source: the users' page PROTOCOL.md, "Service discovery" and "The operator's API".
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from orchidwind.platform.stored_objects import MILLISECONDS, StoredObject, decode
from orchidwind.promoted.core.configuration import (
    DatabaseRoute,
    DirectoryEntry,
    PromotedConfiguration,
    PromotedGroupSettings,
    ReadConsistency,
)
from orchidwind.promoted.core.instance_incarnations import NO_START, incarnation_name
from orchidwind.shared.core.tenants import Tenant, key_digest, tenant_errors
from orchidwind.shared.settings import parse_address

_INSTANCES = "servers"
_CONFIGURATION = "config"
_CONFIGURATION_NAME = "main"
# What holds where the configuration names no value, milliseconds; the users' page sets them.
_DEFAULT_STALENESS_MS = 1000.0
_DEFAULT_TIMEOUT_MS = 1000.0
_DEFAULT_TARGET_MS = 250.0
_DEFAULT_TRANSACTION_IDLE_MS = 30_000.0


class _InstanceSpec(msgspec.Struct):
    # A service of the platform is a database group here.
    group: str = msgspec.field(name="service")
    # HOST:PORT.
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    # What the instance says of itself: it may be out of date, and two may say "primary".
    claimed_role: Literal["primary", "replica"] = msgspec.field(name="db_role")
    # Unix milliseconds of the instance's start; not every deployment has it.
    started_at_ms: Annotated[int, msgspec.Meta(ge=1)] | msgspec.UnsetType = msgspec.field(
        default=msgspec.UNSET, name="born"
    )

    def host_and_port(self) -> tuple[str, int]:
        """Where the instance listens; raises ValueError."""
        host, port = parse_address(self.address)
        if not host:
            raise ValueError(f"{self.address!r} names no host")
        return host, port


class _RouteSpec(msgspec.Struct):
    # No name of a host: what a caller names when it connects.
    database: str = msgspec.field(name="hostname")
    group: str = msgspec.field(name="service")
    # Not where requests go, but how fresh reads must be.
    consistency: str = msgspec.field(default="primary", name="route_type")
    statement_timeout_ms: float | None = msgspec.field(default=None, name="timeout_ms")
    target_latency_ms: float | None = None
    staleness_ms: float | None = msgspec.field(default=None, name="max_staleness_ms")
    # 0 is the most important.
    priority: int = 0
    # Callers need no API key, and belong to no tenant.
    public: bool = False


class _GroupSpec(msgspec.Struct):
    name: str
    # Of each instance, over all proxies.
    maximum_connections: int = msgspec.field(default=20, name="max_connections")
    # How many replicas have received a commit before its primary answers.
    synchronous_replicas: int = msgspec.field(default=1, name="sync_replicas")


class _TenantSpec(msgspec.Struct):
    name: str
    api_keys: list[str] = msgspec.field(default_factory=list)
    # Operations a second over all proxies, and so many at once.
    rate_per_s: float = float("inf")
    burst: float = float("inf")


class _LimitsSpec(msgspec.Struct):
    transaction_idle_ms: float | None = msgspec.field(default=None, name="tx_idle_ms")


class _ConfigurationSpec(msgspec.Struct):
    version: int
    databases: list[_RouteSpec] = msgspec.field(default_factory=list, name="routes")
    groups: list[_GroupSpec] = msgspec.field(default_factory=list, name="services")
    limits: _LimitsSpec = msgspec.field(default_factory=_LimitsSpec)
    # Not every deployment has tenants.
    tenants: list[_TenantSpec] | None = None


class InstanceTranslation:
    """Entries that the instances write of themselves.

    An entry may come from another writer: one that lacks a field, or has another type or word in
    it, names no instance.
    """

    kind = _INSTANCES

    def item(self, stored: StoredObject, era: int) -> DirectoryEntry | None:
        """The entry of an instance."""
        spec = decode(stored.spec, _InstanceSpec)
        host, port = spec.host_and_port()
        started_at_ms = NO_START if spec.started_at_ms is msgspec.UNSET else spec.started_at_ms
        return DirectoryEntry(
            instance=incarnation_name(stored.meta.name, started_at_ms),
            group=spec.group,
            host=host,
            port=port,
            zone=spec.zone,
            claims_primary=spec.claimed_role == "primary",
            draining=spec.state == "draining",
            slots=spec.slots,
            revision=stored.meta.revision,
        )


_CONSISTENCY = {
    "primary": ReadConsistency.LATEST,
    "bounded_staleness": ReadConsistency.BOUNDED,
    "read_own_writes": ReadConsistency.SESSION,
}


class ConfigurationTranslation:
    """The operators' configuration."""

    kind = _CONFIGURATION

    def item(self, stored: StoredObject, era: int) -> PromotedConfiguration | None:
        """The configuration, if this is the object that holds it."""
        if stored.meta.name != _CONFIGURATION_NAME:
            return None
        spec = decode(stored.spec, _ConfigurationSpec)
        databases = {route.database: _database(route) for route in spec.databases}
        groups = {
            group.name: PromotedGroupSettings(
                group.name, group.maximum_connections, group.synchronous_replicas
            )
            for group in spec.groups
        }
        idle = _given(spec.limits.transaction_idle_ms, _DEFAULT_TRANSACTION_IDLE_MS) / MILLISECONDS
        return PromotedConfiguration(
            spec.version,
            databases,
            groups,
            idle,
            tenants=_tenants(spec.tenants),
            public=frozenset(route.database for route in spec.databases if route.public),
        )


def _tenants(specs: list[_TenantSpec] | None) -> tuple[Tenant, ...] | None:
    """The tenants; raises ValueError where they contradict one another."""
    if specs is None:
        return None
    tenants = tuple(_tenant(spec) for spec in specs)
    faults = list(tenant_errors(tenants))
    if faults:
        raise ValueError("; ".join(faults))
    return tenants


def _tenant(spec: _TenantSpec) -> Tenant:
    """A tenant; of its keys only the digests are kept."""
    digests = tuple(key_digest(api_key) for api_key in spec.api_keys)
    return Tenant(spec.name, digests, spec.rate_per_s, spec.burst)


def _given(value: float | None, default: float) -> float:
    return default if value is None else value


def _database(route: _RouteSpec) -> DatabaseRoute:
    return DatabaseRoute(
        name=route.database,
        group=route.group,
        consistency=_CONSISTENCY.get(route.consistency, ReadConsistency.LATEST),
        staleness=_given(route.staleness_ms, _DEFAULT_STALENESS_MS) / MILLISECONDS,
        statement_timeout=_given(route.statement_timeout_ms, _DEFAULT_TIMEOUT_MS) / MILLISECONDS,
        target_latency=_given(route.target_latency_ms, _DEFAULT_TARGET_MS) / MILLISECONDS,
        priority=route.priority,
    )
