"""What a proxy follows from afar: which views, by which times, and who confirms them.

For: `proxy_runtime`. Owns one watch a view. Relies on `core.freshness` for the times of a bound, on
`collection_watch` to follow and on `peer_views` for the other proxies.
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
from orchidwind.promoted.views.view_forms import (
    reported_configuration,
    reported_directory,
    reported_members,
    reported_quota_shares,
)
from orchidwind.shared.core.quota import SHARE_VALID_SECONDS, QuotaRules

PROMOTION_LOCK = "promotion_lock"
# The age below which the view of the quota shares is kept, as a share of the time for which they
# are valid: the rest is for a store that is down.
_QUOTA_SHARES_FOLLOWED = 0.6
ROSTERS = "rosters"
# How long a watch of lock and rosters waits, seconds. These cost time at most when they are
# old: a revocation that goes unnoticed delays a change of primary by a second, and rosters are read
# anew before one.
_COORDINATION_WATCH_SECONDS = 8.0
# How long further changes are waited for after one, seconds: many proxies or instances change at
# the same time, and one answer then tells of several. Proxies of a site start within 0.3 s
# of one another, and a new one gets work some seconds later in any case.
GATHER_MEMBERS_SECONDS = 0.6
# An instance that leaves gets work for so much longer, far below the directory's bound.
_GATHER_DIRECTORY_SECONDS = 0.15
# As rosters are read anew before a change of primary, nobody waits for them.
_GATHER_ROSTERS_SECONDS = 0.5

Spawn = Callable[[Callable[[], Awaitable[None]]], None]
ProxiesOf = Callable[[], Iterable[ProxyMember]]
Item = TypeVar("Item")


class ProxyBounds(Struct, frozen=True):
    """Times, in seconds, that others hold this proxy to, or that it may count on.

    `entry_outlives`: how long a directory entry stays after its last renewal. `configuration` and
    `directory`: the greatest age of these views; the defaults are those of the first users.
    `members`: the age that the list of proxies is kept below. No promise rests on it: an old one
    costs a hop, or connections of too many homes; new proxies take work after a seventh of it.
    `revocation`: from the acknowledgement of a configuration that takes an API key away until no
    request with it is accepted; None where that is not promised. `quotas`: how far the operations
    of a tenant may exceed its quota.
    """

    entry_outlives: float = DEFAULT_ENTRY_OUTLIVES_SECONDS
    configuration: float = 3.0
    directory: float = 4.0
    members: float = 20.0
    revocation: float | None = None
    quotas: QuotaRules = QuotaRules()


class _PeerConfirmation(Struct, Generic[Item], frozen=True):
    """How a view is confirmed by other proxies: by which times, by whom, and what they report."""

    times: FollowTimes
    followers: ProxiesOf
    items: Callable[[ViewReport], tuple[Item, ...] | None]


class ProxyViews:
    """The followed views of one proxy; `watches` by their names."""

    def __init__(
        self,
        ports: ProxyPorts,
        bounds: ProxyBounds,
        network: PeerNetwork,
        metrics: ProxyMetrics,
        spawn: Spawn,
    ) -> None:
        """`spawn` runs work in the background until the proxy closes."""
        self.watches: dict[str, CollectionWatch[Any]] = {}
        self._ports = ports
        self._bounds = bounds
        self._network = network
        self._metrics = metrics
        self._spawn = spawn

    def follow_configuration(self, follower: CollectionFollower[PromotedConfiguration]) -> None:
        """Follow the configuration; every proxy does, and any may confirm it."""
        peers = _PeerConfirmation(
            FollowTimes.within(self._bounds.configuration, watched_by_all=False),
            lambda: self._network.members,
            reported_configuration,
        )
        self._follow_confirmed(CONFIGURATION, self._ports.configuration, follower, peers)

    def follow_members(self) -> None:
        """Follow the list of proxies; every proxy does, and any may confirm it."""
        peers = _PeerConfirmation(
            FollowTimes.within(self._bounds.members, watched_by_all=False),
            lambda: self._network.members,
            reported_members,
        )
        source = self._ports.member_source
        self._follow_confirmed(MEMBERS, source, self._network, peers, GATHER_MEMBERS_SECONDS)

    def follow_directory(
        self, follower: CollectionFollower[DirectoryEntry], followers: ProxiesOf
    ) -> None:
        """Follow the directory; `followers` gives the proxies that do so and may confirm it."""
        peers = _PeerConfirmation(
            FollowTimes.within(self._bounds.directory), followers, reported_directory
        )
        source = self._ports.directory
        self._follow_confirmed(DIRECTORY, source, follower, peers, _GATHER_DIRECTORY_SECONDS)

    def follow_quota_shares(
        self, follower: CollectionFollower[QuotaShares], followers: ProxiesOf
    ) -> CollectionWatch[QuotaShares]:
        """Follow who holds shares of the quotas; `followers` gives the proxies that do so."""
        bound = SHARE_VALID_SECONDS * _QUOTA_SHARES_FOLLOWED
        peers = _PeerConfirmation(
            FollowTimes.within(bound, watched_by_all=False), followers, reported_quota_shares
        )
        source = self._ports.quota_share_source
        return self._follow_confirmed(QUOTA_SHARES, source, follower, peers)

    def _follow_confirmed(
        self,
        name: str,
        source: WatchedCollection[Item],
        follower: CollectionFollower[Item],
        peers: _PeerConfirmation[Item],
        gather_seconds: float = 0.0,
    ) -> CollectionWatch[Item]:
        """Follow a view that other proxies confirm, too."""
        second_path = PeerViews(
            name, peers.times, self._network, peers.followers, peers.items, self._ports.store_era
        )
        watch = CollectionWatch(
            name, source, follower, peers.times, gather_seconds, second_path, self._metrics.silent
        )
        self._follow(watch)
        return watch

    def follow_coordination(self, leases: LeaseKeeper, rosters: RosterKeeper) -> None:
        """Follow the promotion lock and the rosters."""
        times = FollowTimes.unhurried(_COORDINATION_WATCH_SECONDS)
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
                _GATHER_ROSTERS_SECONDS,
                on_silent=self._metrics.silent,
            )
        )

    def _follow(self, watch: CollectionWatch[Any]) -> None:
        self.watches[watch.name] = watch
        self._metrics.watch_age(watch.name, lambda: watch.age)
        self._ports.store_era.on_return(watch.store_came_back)
        self._spawn(watch.run)

    def evidence(self) -> dict[str, str]:
        """Of each view what is held, how old it is, and who confirmed it last."""
        return {name: watch.evidence for name, watch in self.watches.items()}

    @property
    def configuration_age(self) -> float:
        """Seconds since the configuration in force was last known to be the newest."""
        watch = self.watches.get(CONFIGURATION)
        return float("inf") if watch is None else watch.age

    @property
    def configuration_age_ms(self) -> int:
        """The same in milliseconds; -1: unknown."""
        age = self.configuration_age
        return -1 if age == float("inf") else int(age * 1000)

    async def refresh_before_failover(self) -> bool:
        """Read anew who may hold commits; whether the store answered.

        A view that is old without this proxy's knowing would miss a replica that alone confirmed a
        commit, and the change of primary would lose it.
        """
        views = [self.watches[name] for name in (DIRECTORY, ROSTERS) if name in self.watches]
        return all(await asyncio.gather(*(view.refresh() for view in views)))
