"""What a read costs more at an instance to which its tenant has no free connection. No I/O.

A connection belongs to one tenant. A read whose tenant has no free connection at an instance opens
one there: the read waits for it, the opening holds a slot of the instance, and in a full pool
another tenant's connection is closed for it, which that tenant opens again later. A read therefore
prefers a replica where its tenant has a free connection. The cost decides among replicas only: the
primary alone can take writes, and runs no more reads for it. Times are in seconds.
"""

from __future__ import annotations

from orchidwind.shared.core.tenant_connections import NO_TENANT, TenantConnections

# Cost of an opening, seconds. It takes 12 to 32 ms, and as long of a slot. The tenant whose
# connection was closed pays it again, and may close another tenant's connection in turn.
OPENING_COST_SECONDS = 0.2


def opening_cost(tenant: str, connections: TenantConnections, idle: list[int]) -> float:
    """Return the cost of the opening that a read of a tenant needs; 0 if it needs none.

    `idle` are the free connections to the instance. Without tenants any connection serves any
    request, so that there is no difference between instances.
    """
    if tenant == NO_TENANT or connections.last_connection_of(tenant, idle) is not None:
        return 0.0
    return OPENING_COST_SECONDS
