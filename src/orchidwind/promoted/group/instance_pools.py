"""The connection pools of one group, one for each instance, and their usage.

Holds the pools and their shares of connections. `pool_driver` carries out the pools' effects.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from itertools import count

from msgspec import Struct

from orchidwind.shared.core.concurrency_window import ConcurrencyWindow
from orchidwind.shared.core.pool import InstancePool

# Connections to each instance before the placement of homes is known: one for statements and one
# for other uses at the same time.
_CONNECTIONS_BEFORE_PLACEMENT = 2


class PoolUsage(Struct, frozen=True):
    """The number of connections to one instance, and of requests that wait for one."""

    connections: int
    queued: int


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
        self._numbers = count(1)

    def __iter__(self) -> Iterator[InstancePool]:
        return iter(self._pools.values())

    def of(self, instance: str) -> InstancePool:
        """The pool of an instance; created if there is none."""
        pool = self._pools.get(instance)
        if pool is None:
            window = ConcurrencyWindow(self._fair_window(instance))
            pool = InstancePool(
                instance, self.share_of(instance), self._numbers, eager=False, window=window
            )
            self._pools[instance] = pool
        return pool

    def share_of(self, instance: str) -> int:
        """How many connections this proxy may hold to an instance."""
        if self._is_primary(instance):
            return self.shares.primary
        return self.shares.near if self._is_near(instance) else self.shares.far

    def share_windows(self) -> None:
        """Recompute the fair shares after the number of homes changed."""
        for name, pool in self._pools.items():
            if pool.window is not None:
                pool.window.set_fair_share(self._fair_window(name))

    def known(self, instance: str) -> InstancePool | None:
        """The pool of an instance; None before its first use and after it was forgotten."""
        return self._pools.get(instance)

    def usage(self, instance: str) -> PoolUsage:
        """The usage of an instance's pool."""
        pool = self._pools.get(instance)
        return PoolUsage(pool.size, len(pool.queue)) if pool else PoolUsage(0, 0)

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

    def clear(self) -> None:
        """Drop all pools."""
        self._pools.clear()
