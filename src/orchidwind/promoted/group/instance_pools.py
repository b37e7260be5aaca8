"""The connection pools of one group, one for each instance, and their usage.

Holds the pools, their shares of connections and this proxy's parts of the instances' requests.
`pool_driver` carries out the pools' effects.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from functools import partial
from itertools import count

from msgspec import Struct

from orchidwind.promoted.core.demand_shares import DemandShares
from orchidwind.shared.core.concurrency_window import ConcurrencyWindow
from orchidwind.shared.core.pool import InstancePool

# Connections to each instance before the placement of homes is known: one for statements and one
# for other uses at the same time.
_CONNECTIONS_BEFORE_PLACEMENT = 2


class PoolUsage(Struct, frozen=True):
    """The usage of one instance by this proxy.

    The number of connections to it, and of requests that wait for one; `window` requests may run at
    once; `demand` is the average number of running and waiting requests; `base_part` this proxy's
    part of the instance's requests, `part` the same less what it lent and with what it borrowed.
    """

    connections: int
    queued: int
    window: int = 0
    demand: float = 0.0
    part: float = 0.0
    base_part: float = 0.0


class ConnectionShares(Struct, frozen=True):
    """Connection limits of a proxy: to a primary, to a replica in its zone, to one elsewhere."""

    primary: int
    near: int
    far: int


class InstancePools:
    """The pools by instance, in the order of their first use."""

    def __init__(
        self,
        fair_window: Callable[[str], float],
        is_near: Callable[[str], bool],
        is_primary: Callable[[str], bool],
    ) -> None:
        """`fair_window` returns this proxy's fair share of concurrent requests at an instance."""
        before = _CONNECTIONS_BEFORE_PLACEMENT
        self.shares = ConnectionShares(before, before, before)
        self._is_near = is_near
        self._is_primary = is_primary
        self._fair_window = fair_window
        self._pools: dict[str, InstancePool] = {}
        # This proxy's part of the requests of each instance that has a pool.
        self._demand_shares: dict[str, DemandShares] = {}
        self._numbers = count(1)

    def __iter__(self) -> Iterator[InstancePool]:
        return iter(self._pools.values())

    def of(self, instance: str) -> InstancePool:
        """The pool of an instance; created if there is none."""
        pool = self._pools.get(instance)
        if pool is None:
            fair_window = self._fair_window(instance)
            window = ConcurrencyWindow(fair_window)
            pool = InstancePool(
                instance, self.share_of(instance), self._numbers, eager=False, window=window
            )
            self._pools[instance] = pool
            self._demand_shares[instance] = DemandShares(fair_window)
        return pool

    def demand_shares(self, instance: str) -> DemandShares | None:
        """This proxy's part of an instance's requests; None if the instance has no pool."""
        return self._demand_shares.get(instance)

    def share_of(self, instance: str) -> int:
        """How many connections this proxy may hold to an instance."""
        if self._is_primary(instance):
            return self.shares.primary
        return self.shares.near if self._is_near(instance) else self.shares.far

    def update_windows(self, now: float) -> None:
        """Recompute the fair shares after homes, slots or demands changed."""
        for name in self._pools:
            self._demand_shares[name].base = self._fair_window(name)
            self.update_window(name, now)

    def update_window(self, instance: str, now: float) -> None:
        """Set the fair share of one instance's window to this proxy's part."""
        window = self._pools[instance].window
        if window is not None:
            shares = self._demand_shares[instance]
            window.set_fair_share(shares.part(now), reduced=shares.lent(now) > 0)
            # A loan is not used after its end, even if this proxy was stopped for a while.
            window.set_share_end(shares.first_loan_end(now), partial(self._renew_share, instance))

    def _renew_share(self, instance: str, now: float) -> None:
        if instance in self._pools:
            self.update_window(instance, now)

    def known(self, instance: str) -> InstancePool | None:
        """The pool of an instance; None before its first use and after it was forgotten."""
        return self._pools.get(instance)

    def usage(self, instance: str, now: float) -> PoolUsage:
        """The usage of an instance's pool."""
        pool = self._pools.get(instance)
        if pool is None:
            return PoolUsage(0, 0)
        shares = self._demand_shares[instance]
        return PoolUsage(
            connections=pool.size,
            queued=len(pool.queue),
            window=pool.window.size if pool.window is not None else 0,
            demand=shares.demand,
            part=shares.part(now),
            base_part=shares.base,
        )

    @property
    def held_instances(self) -> list[str]:
        """Instances to which requests hold connections."""
        return [name for name, pool in self._pools.items() if pool.busy]

    @property
    def busy(self) -> int:
        """The number of connections that requests or transactions hold."""
        return sum(len(pool.busy) for pool in self._pools.values())

    def lacks_connections(self, instances: Iterable[str]) -> bool:
        """Whether the connections to one of these instances do not suffice.

        True if there is none, or if more requests wait for a connection than hold one.
        """
        return any(self._lacks_connections(self._pools.get(name)) for name in instances)

    def _lacks_connections(self, pool: InstancePool | None) -> bool:
        if pool is None or not (pool.idle or pool.busy):
            return True
        return len(pool.queue) > len(pool.busy)

    def forget(self, instance: str) -> None:
        """Drop the pool of an instance that left long ago."""
        self._pools.pop(instance, None)
        self._demand_shares.pop(instance, None)

    def clear(self) -> None:
        """Drop all pools."""
        self._pools.clear()
        self._demand_shares.clear()
