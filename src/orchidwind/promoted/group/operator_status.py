"""The state of a proxy of promoted groups as `orchidwind status` shows it.

Operators' tools depend on the names of the fields. The group services are only read.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from orchidwind.promoted.group.group_service import GroupService
from orchidwind.promoted.quotas.quota_service import QuotaService, TenantUse
from orchidwind.shared.core.tenants import Tenant


class OperatorInstanceStatus(msgspec.Struct, frozen=True):
    """One instance. `view_age_ms` is the age of its last status, or -1 if none is known."""

    name: str
    role: str
    term: int
    received: str
    fence_term: int
    listed: bool
    leaving: bool
    reachable: bool
    view_age_ms: int
    connections: int
    queued: int


class OperatorGroupStatus(msgspec.Struct, frozen=True):
    """One group; `primary` is empty while no primary is known."""

    name: str
    primary: str
    term: int
    instances: list[OperatorInstanceStatus]


class OperatorTenantStatus(msgspec.Struct, frozen=True):
    """One tenant: its quota over all proxies, and this proxy's counts since its start.

    `rate` is in operations per second; `share` is this proxy's fraction of the quota, 0 to 1.
    `passed`, `refused` (beyond the quota) and `unavailable` (not all of the quota was in force at
    proxies that could be asked) count operations at this proxy.
    """

    name: str
    rate: float
    burst: float
    share: float
    passed: int
    refused: int
    unavailable: int = 0


class OperatorStatus(msgspec.Struct, frozen=True):
    """One proxy.

    `configuration_age_ms` is the time since the configuration was last confirmed to be the newest.
    `promotion_lock_holder` is the proxy that is changing a primary now, if any.
    """

    node: str
    zone: str
    prepared: bool
    configuration_version: int
    configuration_age_ms: int
    lead_lease: bool
    promotion_lock_holder: str
    groups: list[OperatorGroupStatus]
    tenants: list[OperatorTenantStatus] = []


def tenant_statuses(
    tenants: Mapping[str, Tenant], quotas: QuotaService
) -> list[OperatorTenantStatus]:
    """The tenants of the configuration, in descending order of refusals by this proxy."""
    statuses = []
    for tenant in tenants.values():
        use = quotas.use.get(tenant.name, TenantUse())
        statuses.append(
            OperatorTenantStatus(
                name=tenant.name,
                rate=tenant.rate,
                burst=tenant.burst,
                share=round(quotas.share, 3),
                passed=use.passed,
                refused=use.refused,
                unavailable=use.unavailable,
            )
        )
    return sorted(statuses, key=lambda status: (-status.refused, status.name))


def group_status(group: GroupService, now: float) -> OperatorGroupStatus:
    """The state of one group at a time of the monotonic clock, in seconds."""
    primary = group.topology.primary(now)
    instances = []
    for name, view in group.topology.instances.items():
        status = view.status
        usage = group.connections.pools.usage(name)
        instances.append(
            OperatorInstanceStatus(
                name=name,
                role=status.role.value if status else "",
                term=status.term if status else 0,
                received=str(status.received) if status else "",
                fence_term=status.fence_term if status else 0,
                listed=view.listed,
                leaving=view.entry.draining,
                reachable=view.unreachable_since is None,
                view_age_ms=int((now - status.asked_at) * 1000) if status else -1,
                connections=usage.connections,
                queued=usage.queued,
            )
        )
    return OperatorGroupStatus(
        name=group.settings.name,
        primary=primary.instance if primary else "",
        term=primary.term if primary else 0,
        instances=instances,
    )
