"""What instances and operators publish in the store: the directory and the configuration.

Source: the users' page PROTOCOL.md, "Service discovery" and "The operator's API".
"""

from __future__ import annotations

import msgspec

from orchidwind.platform.stored_objects import MILLISECONDS, StoredObject, decode
from orchidwind.promoted.core.configuration import (
    DatabaseRoute,
    DirectoryEntry,
    PromotedConfiguration,
    PromotedGroupSettings,
    ReadConsistency,
)

_INSTANCES = "servers"
_CONFIGURATION = "config"
_CONFIGURATION_NAME = "main"
_DEFAULT_STALENESS_MS = 1000.0
_DEFAULT_TIMEOUT_MS = 1000.0
_DEFAULT_TARGET_MS = 250.0
_DEFAULT_TRANSACTION_IDLE_MS = 30_000.0


class _InstanceSpec(msgspec.Struct):
    service: str
    address: str
    zone: str = ""
    slots: int = 1
    state: str = "ready"
    db_role: str = "replica"


class _RouteSpec(msgspec.Struct):
    hostname: str
    service: str
    route_type: str = "primary"
    timeout_ms: float | None = None
    target_latency_ms: float | None = None
    max_staleness_ms: float | None = None
    priority: int = 0


class _ServiceSpec(msgspec.Struct):
    name: str
    max_connections: int = 20
    sync_replicas: int = 1


class _LimitsSpec(msgspec.Struct):
    tx_idle_ms: float | None = None


class _ConfigurationSpec(msgspec.Struct):
    version: int
    routes: list[_RouteSpec] = []
    services: list[_ServiceSpec] = []
    limits: _LimitsSpec = msgspec.field(default_factory=_LimitsSpec)


class InstanceTranslation:
    """Entries that the instances write of themselves."""

    kind = _INSTANCES

    def item(self, stored: StoredObject) -> DirectoryEntry | None:
        """The entry of an instance."""
        spec = decode(stored.spec, _InstanceSpec)
        host, _, port = spec.address.rpartition(":")
        return DirectoryEntry(
            instance=stored.meta.name,
            group=spec.service,
            host=host,
            port=int(port),
            zone=spec.zone,
            claims_primary=spec.db_role == "primary",
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

    def item(self, stored: StoredObject) -> PromotedConfiguration | None:
        """The configuration, if this is the object that holds it."""
        if stored.meta.name != _CONFIGURATION_NAME:
            return None
        spec = decode(stored.spec, _ConfigurationSpec)
        databases = {route.hostname: _database(route) for route in spec.routes}
        groups = {
            item.name: PromotedGroupSettings(item.name, item.max_connections, item.sync_replicas)
            for item in spec.services
        }
        idle = _given(spec.limits.tx_idle_ms, _DEFAULT_TRANSACTION_IDLE_MS) / MILLISECONDS
        return PromotedConfiguration(spec.version, databases, groups, idle)


def _given(value: float | None, default: float) -> float:
    return default if value is None else value


def _database(route: _RouteSpec) -> DatabaseRoute:
    return DatabaseRoute(
        name=route.hostname,
        group=route.service,
        consistency=_CONSISTENCY.get(route.route_type, ReadConsistency.LATEST),
        staleness=_given(route.max_staleness_ms, _DEFAULT_STALENESS_MS) / MILLISECONDS,
        statement_timeout=_given(route.timeout_ms, _DEFAULT_TIMEOUT_MS) / MILLISECONDS,
        target_latency=_given(route.target_latency_ms, _DEFAULT_TARGET_MS) / MILLISECONDS,
        priority=route.priority,
    )
