"""The connection pools of one group, one an instance, and how they are used.

Owns: the pools and the share that each may hold. Their effects are carried out in `connections`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from itertools import count

from msgspec import Struct

from orchidwind.shared.core.concurrency_window import ConcurrencyWindow
from orchidwind.shared.core.pool import InstancePool

# Connections to each instance before the placement of homes is known. One for statements
# and one beside it.
_CONNECTIONS_BEFORE_PLACEMENT = 2


class PoolUsage(Struct, frozen=True):
    """The connections to one instance, and the requests that wait for one."""

    connections: int
    queued: int


class ConnectionShares(Struct, frozen=True):
    """How many connections a proxy may hold to a primary, and to a replica of its zone or not."""

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
        """`fair_window` gives how much this proxy may have under way at an instance."""
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
        """The pool of an instance; a new one where there is none."""
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
        """The proxies that share the instances have changed."""
        for name, pool in self._pools.items():
            if pool.window is not None:
                pool.window.set_fair_share(self._fair_window(name))

    def known(self, instance: str) -> InstancePool | None:
        """The pool of an instance; None before its first use, and once it is forgotten."""
        return self._pools.get(instance)

    def usage(self, instance: str) -> PoolUsage:
        """How many connections to an instance are open, and how many requests wait."""
        pool = self._pools.get(instance)
        return PoolUsage(pool.size, len(pool.queue)) if pool else PoolUsage(0, 0)

    @property
    def held_instances(self) -> list[str]:
        """Instances to which a request holds a connection."""
        return [name for name, pool in self._pools.items() if pool.busy]

    @property
    def busy(self) -> int:
        """Connections that requests or transactions hold."""
        return sum(len(pool.busy) for pool in self._pools.values())

    def lacks_connections(self, instances: Iterable[str]) -> bool:
        """Whether requests wait for want of connections to one of these instances."""
        return any(self._lacks_connections(self._pools.get(name)) for name in instances)

    def _lacks_connections(self, pool: InstancePool | None) -> bool:
        if pool is None or not (pool.idle or pool.busy):
            return True
        return len(pool.queue) > len(pool.busy)

    def forget(self, instance: str) -> None:
        """An instance left long ago."""
        self._pools.pop(instance, None)

    def clear(self) -> None:
        """Forget all of them."""
        self._pools.clear()
