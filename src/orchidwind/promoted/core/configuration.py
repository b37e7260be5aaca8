"""The configuration of promoted groups: databases, groups, tenants and directory entries. No I/O.

The adapter decodes each version of the configuration, and each entry of the directory, into these
types.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, unique

from msgspec import Struct, field

from orchidwind.shared.core.tenants import Tenant

# Default for the number of seconds that an open transaction may be idle. It holds a server
# connection meanwhile.
DEFAULT_TRANSACTION_IDLE_SECONDS = 30.0


@unique
class ReadConsistency(Enum):
    """The commits that a read must see.

    LATEST: all acknowledged commits. BOUNDED: all commits older than the staleness bound. SESSION:
    as BOUNDED, and also all commits of the same session.
    """

    LATEST = "latest"
    BOUNDED = "bounded"
    SESSION = "session"


class DatabaseRoute(Struct, frozen=True):
    """A database by its public name. Times are in seconds; `priority` 0 is the highest."""

    name: str
    group: str
    consistency: ReadConsistency
    staleness: float
    statement_timeout: float
    target_latency: float
    priority: int


class PromotedGroupSettings(Struct, frozen=True):
    """The settings of a group.

    `maximum_connections` limits the connections of all proxies to each instance.
    `synchronous_replicas` is the number of replicas that must receive a commit before the primary
    confirms it.
    """

    name: str
    maximum_connections: int
    synchronous_replicas: int


class PromotedConfiguration(Struct, frozen=True):
    """All databases, groups and tenants of one version of the configuration; versions increase.

    `tenants` is None if callers need no API key. Otherwise `public` names the databases that can be
    used without one.
    """

    version: int
    databases: Mapping[str, DatabaseRoute] = field(default_factory=dict)
    groups: Mapping[str, PromotedGroupSettings] = field(default_factory=dict)
    transaction_idle: float = DEFAULT_TRANSACTION_IDLE_SECONDS
    tenants: tuple[Tenant, ...] | None = None
    public: frozenset[str] = frozenset()

    def needs_key(self, database: str) -> bool:
        """Whether callers need an API key to use a database."""
        return self.tenants is not None and database not in self.public


class DirectoryEntry(Struct, frozen=True):
    """The entry of one instance in the directory.

    `instance` identifies this incarnation of the instance (`instance_incarnations`). `revision` is
    the revision of the entry's last change.
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
