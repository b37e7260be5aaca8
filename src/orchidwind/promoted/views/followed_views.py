"""Defines which views a proxy follows, by which times, and which proxies confirm them.

For: `proxy_runtime`. Owns one watch per view. Relies on `core.freshness` to derive times from a
bound, on `collection_watch` to follow the store and on `peer_views` to ask other proxies.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Generic, TypeVar

from msgspec import Struct

from orchidwind.promoted.core.configuration import DirectoryEntry, PromotedConfiguration
from orchidwind.promoted.core.confirming_instances import DEFAULT_ENTRY_OUTLIVES_SECONDS
from orchidwind.promoted.core.freshness import FollowTimes
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.peer_messages import ViewReport
from orchidwind.promoted.core.quota_shares import QuotaShares
from orchidwind.promoted.group.lease_keeper import LeaseKeeper
from orchidwind.promoted.group.roster_keeper import RosterKeeper
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.promoted.peers.peer_network import PeerNetwork
from orchidwind.promoted.ports import ProxyPorts, WatchedCollection
from orchidwind.promoted.views.collection_watch import CollectionWatch
from orchidwind.promoted.views.held_view import CollectionFollower
from orchidwind.promoted.views.peer_views import (
    CONFIGURATION,
    DIRECTORY,
    MEMBERS,
    QUOTA_SHARES,
    PeerViews,
)
from orchidwind.promoted.views.view_conversion import (
    reported_configuration,
    reported_directory,
    reported_members,
    reported_quota_shares,
)
from orchidwind.shared.core.quota import SHARE_VALID_SECONDS, QuotaRules

PROMOTION_LOCK = "promotion_lock"
# The bound on the age of the quota shares' view, as a fraction of the time for which the shares are
# valid. The remainder covers an outage of the store. In normal operation the age stays below 0.4 of
# the bound (`core.freshness`), which is within the time for which the early part is valid.
_QUOTA_SHARES_AGE_FRACTION = 0.45
ROSTERS = "rosters"
# How long a watch of the promotion lock or the rosters waits for a change, seconds. A stale view of
# them only costs time: a revocation that is noticed late delays a change of primary by a second,
# and rosters are read again before a change of primary.
_COORDINATION_WATCH_SECONDS = 8.0
# How long to wait for further changes to the list of proxies after one, seconds. Many proxies may
# change at the same time, and one answer of the store then holds several changes. Proxies of a site
# start within 0.3 s of one another, and a new one gets work some seconds later in any case.
BATCH_MEMBERS_SECONDS = 0.6
# An instance that leaves receives work for this much longer, far below the directory's bound.
_BATCH_DIRECTORY_SECONDS = 0.15
# Rosters are read again before a change of primary, so no operation waits for this delay.
_BATCH_ROSTERS_SECONDS = 0.5

Spawn = Callable[[Callable[[], Awaitable[None]]], None]
ProxiesOf = Callable[[], Iterable[ProxyMember]]
Item = TypeVar("Item")


class ProxyBounds(Struct, frozen=True):
    """Time limits, in seconds, that this proxy must keep or may rely on.

    `entry_outlives`: how long a directory entry remains after its last renewal.
    `configuration` and `directory`: the maximum age of these views; the defaults are those of the
    first users.
    `members`: the maximum age of the list of proxies. No guarantee depends on it: a stale list
    costs an extra hop, or connections from too many homes. New proxies receive work after a seventh
    of it.
    `revocation`: the time from the acknowledgement of a configuration that removes an API key until
    no request with that key is accepted; None where there is no such guarantee.
    `quotas`: how far the operations of a tenant may exceed its quota.
    """

    entry_outlives: float = DEFAULT_ENTRY_OUTLIVES_SECONDS
    configuration: float = 3.0
    directory: float = 4.0
    members: float = 20.0
    revocation: float | None = None
    quotas: QuotaRules = QuotaRules()


class _PeerConfirmation(Struct, Generic[Item], frozen=True):
    """How other proxies confirm a view.

    `followers` returns the proxies that follow the view. `items` extracts the view's items from a
    report, or returns None where the report has none. `replaces_lost_reader`: this proxy watches
    the store while the reader of its zone does not answer.
    """

    times: FollowTimes
    followers: ProxiesOf
    items: Callable[[ViewReport], tuple[Item, ...] | None]
    replaces_lost_reader: bool = False


class ProxyViews:
    """The followed views of one proxy; `watches` holds each watch by the name of its view."""

    def __init__(
        self,
        ports: ProxyPorts,
        bounds: ProxyBounds,
        network: PeerNetwork,
        metrics: ProxyMetrics,
        spawn: Spawn,
    ) -> None:
        """`spawn` runs a coroutine function in the background until the proxy closes."""
        self.watches: dict[str, CollectionWatch[Any]] = {}
        self._ports = ports
        self._bounds = bounds
        self._network = network
        self._metrics = metrics
        self._spawn = spawn

    def follow_configuration(self, follower: CollectionFollower[PromotedConfiguration]) -> None:
        """Follow the configuration. Every proxy follows it, so any proxy may confirm it."""
        peers = _PeerConfirmation(
            FollowTimes.within(self._bounds.configuration, watched_by_all=False),
            lambda: self._network.members,
            reported_configuration,
        )
        self._follow_with_peers(CONFIGURATION, self._ports.configuration, follower, peers)

    def follow_members(self) -> None:
        """Follow the list of proxies. Every proxy follows it, so any proxy may confirm it."""
        peers = _PeerConfirmation(
            FollowTimes.within(self._bounds.members, watched_by_all=False),
            lambda: self._network.members,
            reported_members,
        )
        source = self._ports.member_source
        self._follow_with_peers(MEMBERS, source, self._network, peers, BATCH_MEMBERS_SECONDS)

    def follow_directory(
        self, follower: CollectionFollower[DirectoryEntry], followers: ProxiesOf
    ) -> None:
        """Follow the directory; `followers` returns the proxies that follow and may confirm it."""
        peers = _PeerConfirmation(
            FollowTimes.within(self._bounds.directory), followers, reported_directory
        )
        source = self._ports.directory
        self._follow_with_peers(DIRECTORY, source, follower, peers, _BATCH_DIRECTORY_SECONDS)

    def follow_quota_shares(
        self, follower: CollectionFollower[QuotaShares], followers: ProxiesOf
    ) -> CollectionWatch[QuotaShares]:
        """Follow the proxies' shares of the quotas; returns the watch.

        `followers` returns the proxies that follow the shares and may confirm the view.
        """
        bound = SHARE_VALID_SECONDS * _QUOTA_SHARES_AGE_FRACTION
        peers = _PeerConfirmation(
            FollowTimes.within(bound, watched_by_all=False),
            followers,
            reported_quota_shares,
            replaces_lost_reader=True,
        )
        source = self._ports.quota_share_source
        return self._follow_with_peers(QUOTA_SHARES, source, follower, peers)

    def _follow_with_peers(
        self,
        name: str,
        source: WatchedCollection[Item],
        follower: CollectionFollower[Item],
        peers: _PeerConfirmation[Item],
        batch_seconds: float = 0.0,
    ) -> CollectionWatch[Item]:
        """Follow a view that other proxies confirm as well; returns its watch."""
        peer_source = PeerViews(
            name,
            peers.times,
            self._network,
            peers.followers,
            peers.items,
            self._ports.store_era,
            peers.replaces_lost_reader,
        )
        watch = CollectionWatch(
            name, source, follower, peers.times, batch_seconds, peer_source, self._metrics.silent
        )
        self._follow(watch)
        return watch

    def follow_coordination(self, leases: LeaseKeeper, rosters: RosterKeeper) -> None:
        """Follow the promotion lock and the rosters."""
        times = FollowTimes.unbounded(_COORDINATION_WATCH_SECONDS)
        lock = self._ports.lock_source
        self._follow(
            CollectionWatch(PROMOTION_LOCK, lock, leases, times, on_silent=self._metrics.silent)
        )
        source = self._ports.roster_source
        self._follow(
            CollectionWatch(
                ROSTERS,
                source,
                rosters,
                times,
                _BATCH_ROSTERS_SECONDS,
                on_silent=self._metrics.silent,
            )
        )

    def _follow(self, watch: CollectionWatch[Any]) -> None:
        self.watches[watch.name] = watch
        self._metrics.watch_age(watch.name, lambda: watch.age)
        self._ports.store_era.on_restored(watch.on_store_restored)
        self._spawn(watch.run)

    def evidence(self) -> dict[str, str]:
        """Return, by view, the revision held, its age and the last confirming source."""
        return {name: watch.evidence for name, watch in self.watches.items()}

    @property
    def configuration_age(self) -> float:
        """Seconds since the configuration in force was known to be the newest; inf: unknown."""
        watch = self.watches.get(CONFIGURATION)
        return float("inf") if watch is None else watch.age

    @property
    def configuration_age_ms(self) -> int:
        """The age of the configuration in milliseconds; -1: unknown."""
        age = self.configuration_age
        return -1 if age == float("inf") else int(age * 1000)

    async def refresh_before_failover(self) -> bool:
        """Read directory and rosters from the store again; return whether every read succeeded.

        A view that is stale without this proxy knowing may lack the only replica that confirmed a
        commit, and the change of primary would lose that commit.
        """
        views = [self.watches[name] for name in (DIRECTORY, ROSTERS) if name in self.watches]
        return all(await asyncio.gather(*(view.refresh() for view in views)))
