"""The state of a proxy of promoted groups as `orchidwind status` shows it.

Operators' tools depend on the names of the fields. The group services are only read.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from orchidwind.promoted.core.distances import Distances
from orchidwind.promoted.core.share_status import ShareStatus
from orchidwind.promoted.group.group_service import GroupService
from orchidwind.promoted.quotas.quota_service import QuotaService, TenantUse
from orchidwind.shared.core.tenants import Tenant


class OperatorInstanceStatus(msgspec.Struct, frozen=True):
    """One instance. `view_age_ms` is the age of its last status, or -1 if none is known.

    `refused` counts the requests that this proxy's queue for the instance has refused, by reason.
    `window` is the number of requests that this proxy may run there at once, `demand` the average
    number that run and wait. `base_part` is this proxy's equal part of the instance's requests,
    `part` the same less what it lent to other homes and with what it borrowed.
    """

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
    refused: dict[str, int] = {}
    window: int = 0
    demand: float = 0.0
    part: float = 0.0
    base_part: float = 0.0


class OperatorGroupStatus(msgspec.Struct, frozen=True):
    """One group; `primary` is empty while no primary is known.

    `homes_lacking` are the homes that refused this proxy's commands of late, as `home:reason`.
    `homes` are the proxies that hold its server connections. `crossing_share` is the share of the
    reads that this proxy sends to another region although its own has a replica for them, 0 to 1.
    """

    name: str
    primary: str
    term: int
    instances: list[OperatorInstanceStatus]
    homes_lacking: list[str] = []
    homes: list[str] = []
    crossing_share: float = 0.0


class OperatorDistance(msgspec.Struct, frozen=True):
    """The expected round trip to a zone; `age_ms` is -1 while the default counts."""

    zone: str
    region: str
    round_trip_ms: float
    age_ms: int


class OperatorTenantStatus(msgspec.Struct, frozen=True):
    """One tenant: its quota over all proxies, and this proxy's counts since its start.

    `rate` is in operations per second; `share` is this proxy's fraction of the quota that is in
    force, 0 to 1. `passed`, `refused` (beyond the quota) and `unavailable` (not all of the quota
    was in force at proxies that could be asked) count operations at this proxy; `waited` those that
    passed after they had waited for a token for that reason, and `waiting` wait now.
    """

    name: str
    rate: float
    burst: float
    share: float
    passed: int
    refused: int
    unavailable: int = 0
    waited: int = 0
    waiting: int = 0


class OperatorQuotaShare(msgspec.Struct, frozen=True):
    """This proxy's share of every tenant's quota, each figure from 0 to 1.

    `state` says why it has just this share. `in_force` may be used here now, `share` once it is
    confirmed; `reachable` is in force here or held by other proxies that answer. `holders` hold the
    shares; `following` are to hold them next.
    """

    state: str
    share: float
    in_force: float
    reachable: float
    holders: list[str]
    following: list[str]


class OperatorStatus(msgspec.Struct, frozen=True):
    """One proxy.

    `configuration_age_ms` is the time since the configuration was last confirmed to be the newest.
    `promotion_lock_holder` is the proxy that is changing a primary now, if any. `quota_share` is
    None where this proxy does not follow the shares of the quotas. `distances` has each zone of a
    deployment with several regions, and is empty elsewhere.
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
    quota_share: OperatorQuotaShare | None = None
    region: str = ""
    distances: list[OperatorDistance] = []


def distance_statuses(distances: Distances, now: float) -> list[OperatorDistance]:
    """The distances to all zones; empty if there is only one region."""
    return [
        OperatorDistance(
            zone=item.zone,
            region=item.region,
            round_trip_ms=round(item.round_trip * 1000, 2),
            age_ms=-1 if item.age is None else int(item.age * 1000),
        )
        for item in distances.known(now)
    ]


def quota_share_status(status: ShareStatus | None) -> OperatorQuotaShare | None:
    """This proxy's share of the quotas; None if it does not follow the shares."""
    if status is None:
        return None
    return OperatorQuotaShare(
        state=status.state.value,
        share=round(status.share, 3),
        in_force=round(status.in_force, 3),
        reachable=round(status.reachable, 3),
        holders=list(status.holders),
        following=list(status.following),
    )


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
                share=round(quotas.share_in_force(), 3),
                passed=use.passed,
                refused=use.refused,
                unavailable=use.unavailable,
                waited=use.waited,
                waiting=quotas.waiting(tenant.name),
            )
        )
    return sorted(statuses, key=lambda status: (-status.refused, status.name))


def group_status(
    group: GroupService, homes: list[str], homes_lacking: list[str], now: float
) -> OperatorGroupStatus:
    """The state of one group at a time of the monotonic clock, in seconds."""
    primary = group.topology.primary(now)
    instances = []
    for name, view in group.topology.instances.items():
        status = view.status
        usage = group.connections.pools.usage(name, now)
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
                refused=group.connections.refused(name),
                window=usage.window,
                demand=round(usage.demand, 2),
                part=round(usage.part, 2),
                base_part=round(usage.base_part, 2),
            )
        )
    return OperatorGroupStatus(
        name=group.settings.name,
        primary=primary.instance if primary else "",
        term=primary.term if primary else 0,
        instances=instances,
        homes_lacking=homes_lacking,
        homes=homes,
        crossing_share=round(group.topology.region_spill.share, 3),
    )
