"""The configuration of promoted groups: databases as callers name them, and their groups. No I/O.

What for: the types of one version of the configuration, and of a directory entry, as the adapter
decodes them. Owns: nothing. Relies on: `shared/core/tenants`.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, unique

from msgspec import Struct, field

from orchidwind.shared.core.tenants import Tenant

# Seconds for which an open transaction may rest, where the configuration names no other time.
# It holds a server connection meanwhile.
DEFAULT_TRANSACTION_IDLE_SECONDS = 30.0


@unique
class ReadConsistency(Enum):
    """Which commits a read must see.

    LATEST: all acknowledged ones. BOUNDED: all older than the bound. SESSION: as BOUNDED, and all
    of the session's own.
    """

    LATEST = "latest"
    BOUNDED = "bounded"
    SESSION = "session"


class DatabaseRoute(Struct, frozen=True):
    """A database as callers name it. Times are in seconds; `priority` 0 is the highest."""

    name: str
    group: str
    consistency: ReadConsistency
    staleness: float
    statement_timeout: float
    target_latency: float
    priority: int


class PromotedGroupSettings(Struct, frozen=True):
    """A group: its connection limit over all callers, and how many replicas confirm a commit."""

    name: str
    maximum_connections: int
    synchronous_replicas: int


class PromotedConfiguration(Struct, frozen=True):
    """All databases, groups and tenants of one version. Versions only rise.

    `tenants` is None where callers need no API key; `public` names the databases that need none
    where others do.
    """

    version: int
    databases: Mapping[str, DatabaseRoute] = field(default_factory=dict)
    groups: Mapping[str, PromotedGroupSettings] = field(default_factory=dict)
    transaction_idle: float = DEFAULT_TRANSACTION_IDLE_SECONDS
    tenants: tuple[Tenant, ...] | None = None
    public: frozenset[str] = frozenset()

    def needs_key(self, database: str) -> bool:
        """Whether callers of a database need an API key."""
        return self.tenants is not None and database not in self.public


class DirectoryEntry(Struct, frozen=True):
    """One instance as the directory lists it. `revision` is that of the entry's last change.

    `instance` names this life of it (`instance_lives`).
    """

    instance: str
    group: str
    host: str
    port: int
    zone: str
    claims_primary: bool
    draining: bool
    slots: int
    revision: int
