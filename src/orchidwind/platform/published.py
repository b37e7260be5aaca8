"""Objects that instances and operators write to the store: the directory and the configuration.

For: the watched collections of these kinds. Owns the names of their fields and decodes them into
the types of `promoted.core.configuration`; unknown fields are ignored. No I/O.

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
# Defaults in milliseconds for values missing from the configuration, defined by the users' page.
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
    # The role that the instance reports. It may be outdated, and two may report "primary".
    claimed_role: Literal["primary", "replica"] = msgspec.field(name="db_role")
    # Start of the instance's process in Unix milliseconds; missing in some deployments.
    started_at_ms: Annotated[int, msgspec.Meta(ge=1)] | msgspec.UnsetType = msgspec.field(
        default=msgspec.UNSET, name="born"
    )

    def host_and_port(self) -> tuple[str, int]:
        """The address on which the instance listens; raises ValueError."""
        host, port = parse_address(self.address)
        if not host:
            raise ValueError(f"address {self.address!r} has no host")
        return host, port


class _RouteSpec(msgspec.Struct):
    # The database that a caller names when it connects. Despite its key, it isn't a host name.
    database: str = msgspec.field(name="hostname")
    group: str = msgspec.field(name="service")
    # How fresh reads must be. Despite its key, it doesn't choose where requests are sent.
    consistency: str = msgspec.field(default="primary", name="route_type")
    statement_timeout_ms: float | None = msgspec.field(default=None, name="timeout_ms")
    target_latency_ms: float | None = None
    staleness_ms: float | None = msgspec.field(default=None, name="max_staleness_ms")
    # 0 is the highest priority.
    priority: int = 0
    # Callers need no API key and belong to no tenant.
    public: bool = False


class _GroupSpec(msgspec.Struct):
    name: str
    # Limit of connections to each instance, counted over all proxies.
    maximum_connections: int = msgspec.field(default=20, name="max_connections")
    # Number of replicas that must receive a commit before the primary acknowledges it.
    synchronous_replicas: int = msgspec.field(default=1, name="sync_replicas")


class _TenantSpec(msgspec.Struct):
    name: str
    api_keys: list[str] = msgspec.field(default_factory=list)
    # Quota over all proxies: operations per second, and the size of a burst.
    rate_per_s: float = float("inf")
    burst: float = float("inf")


class _LimitsSpec(msgspec.Struct):
    transaction_idle_ms: float | None = msgspec.field(default=None, name="tx_idle_ms")


class _ConfigurationSpec(msgspec.Struct):
    version: int
    databases: list[_RouteSpec] = msgspec.field(default_factory=list, name="routes")
    groups: list[_GroupSpec] = msgspec.field(default_factory=list, name="services")
    limits: _LimitsSpec = msgspec.field(default_factory=_LimitsSpec)
    # None in deployments without tenants.
    tenants: list[_TenantSpec] | None = None


class InstanceTranslation:
    """Decodes the directory entries, which the instances write themselves.

    Other writers can put invalid entries there: one with a missing field, a wrong type or an
    unknown value raises an error and isn't used as an instance.
    """

    kind = _INSTANCES

    def item(self, stored: StoredObject, era: int) -> DirectoryEntry | None:
        """The instance that the entry lists; raises PlatformError, ValueError if it is invalid."""
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
    """Decodes the configuration that operators write."""

    kind = _CONFIGURATION

    def item(self, stored: StoredObject, era: int) -> PromotedConfiguration | None:
        """The configuration, or None if this object doesn't hold it.

        Raises PlatformError or ValueError if it is invalid.
        """
        if stored.meta.name != _CONFIGURATION_NAME:
            return None
        spec = decode(stored.spec, _ConfigurationSpec)
        databases = {route.database: _database_route(route) for route in spec.databases}
        groups = {
            group.name: PromotedGroupSettings(
                group.name, group.maximum_connections, group.synchronous_replicas
            )
            for group in spec.groups
        }
        idle = (
            _value_or_default(spec.limits.transaction_idle_ms, _DEFAULT_TRANSACTION_IDLE_MS)
            / MILLISECONDS
        )
        return PromotedConfiguration(
            spec.version,
            databases,
            groups,
            idle,
            tenants=_tenants(spec.tenants),
            public=frozenset(route.database for route in spec.databases if route.public),
        )


def _tenants(specs: list[_TenantSpec] | None) -> tuple[Tenant, ...] | None:
    """Decode the tenants; raises ValueError if their definitions conflict."""
    if specs is None:
        return None
    tenants = tuple(_tenant(spec) for spec in specs)
    errors = list(tenant_errors(tenants))
    if errors:
        raise ValueError("; ".join(errors))
    return tenants


def _tenant(spec: _TenantSpec) -> Tenant:
    """Decode a tenant; only the digests of its API keys are kept."""
    digests = tuple(key_digest(api_key) for api_key in spec.api_keys)
    return Tenant(spec.name, digests, spec.rate_per_s, spec.burst)


def _value_or_default(value: float | None, default: float) -> float:
    return default if value is None else value


def _database_route(route: _RouteSpec) -> DatabaseRoute:
    return DatabaseRoute(
        name=route.database,
        group=route.group,
        consistency=_CONSISTENCY.get(route.consistency, ReadConsistency.LATEST),
        staleness=_value_or_default(route.staleness_ms, _DEFAULT_STALENESS_MS) / MILLISECONDS,
        statement_timeout=_value_or_default(route.statement_timeout_ms, _DEFAULT_TIMEOUT_MS)
        / MILLISECONDS,
        target_latency=_value_or_default(route.target_latency_ms, _DEFAULT_TARGET_MS)
        / MILLISECONDS,
        priority=route.priority,
    )
