"""One proxy for promoted groups: wires its parts together and applies configurations to its groups.

For: `platform.main`, which passes in the ports, and the simulated systems. Owns the configuration
in force and the groups. The parts created here own the directory, the members, the views, the
leadership lease and the links. Relies on `core.homes` (through `PeerNetwork`) to decide which
groups this proxy holds server connections for. A group is never removed: no database of the
configuration routes to a group that the configuration dropped, so it receives no requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from typing import Any

from orchidwind.promoted.background_tasks import BackgroundTasks
from orchidwind.promoted.callers.session_registry import SessionRegistry
from orchidwind.promoted.core.commands import Command
from orchidwind.promoted.core.configuration import (
    DEFAULT_TRANSACTION_IDLE_SECONDS,
    DatabaseRoute,
    DirectoryEntry,
    PromotedConfiguration,
)
from orchidwind.promoted.core.distances import ONE_REGION, Distances, Regions
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.quota_shares import QuotaShares
from orchidwind.promoted.group.group_service import GroupEnvironment, GroupService
from orchidwind.promoted.group.group_supervision import GroupSupervision, SupervisionServices
from orchidwind.promoted.group.instance_pools import ConnectionShares
from orchidwind.promoted.group.lease_keeper import LeaseKeeper
from orchidwind.promoted.group.operator_status import (
    OperatorStatus,
    distance_statuses,
    group_status,
    quota_share_status,
    tenant_statuses,
)
from orchidwind.promoted.group.promotion_lock_client import PromotionLockClient
from orchidwind.promoted.group.roster_keeper import RosterKeeper
from orchidwind.promoted.instance_directory import InstanceDirectory
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.promoted.peers.home_ports import HomePorts
from orchidwind.promoted.peers.home_selection import HomeSelection
from orchidwind.promoted.peers.peer_link import ROOM_VIEW
from orchidwind.promoted.peers.peer_network import PeerNetwork, PlacementInputs
from orchidwind.promoted.peers.peer_service import PeerService
from orchidwind.promoted.peers.room_exchange import RoomExchange, report_known
from orchidwind.promoted.ports import ProxyPorts
from orchidwind.promoted.quotas.tenancy import QUOTA_SHARES_IN_USE, Tenancy
from orchidwind.promoted.upkeep import Upkeep
from orchidwind.promoted.views.collection_watch import CollectionWatch
from orchidwind.promoted.views.configuration_follower import ConfigurationFollower
from orchidwind.promoted.views.followed_views import BATCH_MEMBERS_SECONDS, ProxyBounds, ProxyViews
from orchidwind.promoted.views.view_reporter import ViewReporter
from orchidwind.shared.core.errors import ErrorKind
from orchidwind.shared.core.tenant_connections import NO_TENANT
from orchidwind.shared.logs import log_event

# One of this many successful commands is logged; every failure is. At a few hundred requests a
# second this gives one or two lines a second, enough to see how an ordinary request runs.
_SUCCESS_LOG_INTERVAL = 200


class ProxyRuntime:
    """Keeps the groups in line with the configuration and the directory."""

    def __init__(
        self,
        own: ProxyMember,
        ports: ProxyPorts,
        bounds: ProxyBounds | None = None,
        metrics: ProxyMetrics | None = None,
        regions: Regions = ONE_REGION,
    ) -> None:
        """`regions` are those of the zones of all proxies and instances."""
        self._bounds = bounds or ProxyBounds()
        self.name = name = own.name
        self.zone = own.zone
        self.distances = Distances(own.zone, regions)
        self.metrics = metrics or ProxyMetrics()
        self.configuration: PromotedConfiguration | None = None
        self.transaction_idle = DEFAULT_TRANSACTION_IDLE_SECONDS
        self.groups: dict[str, GroupService] = {}
        self._ports = ports
        self._background = BackgroundTasks()
        self._directory = InstanceDirectory(self.groups, self._update_prepared)
        self._upkeep = Upkeep(self.groups, self.metrics, lambda: self.views.evidence())
        self.rosters = RosterKeeper(self.groups, ports.roster_store)
        self.store_era = era = ports.store_era
        self.metrics.store_era(lambda: era.current, lambda: era.returns)
        self._lock = PromotionLockClient(name, ports.lock_store, self.rosters, self.store_era)
        self.registry = SessionRegistry()
        self.homes = self._peer_network(own)
        self.home_selection = HomeSelection(self.homes, self.metrics.rerouted)
        self._room = RoomExchange(name, self.homes, self.groups, self.metrics)
        self.views = ProxyViews(
            ports, self._bounds, self.homes, self.metrics, self._background.spawn
        )
        self.leases = LeaseKeeper(
            name,
            ports.lock_store,
            ports.leases,
            self.store_era,
            self._lock,
            self.homes.lock_readers,
        )
        self.store_era.on_restored(self.homes.member_registration.on_store_restored)
        self._tenancy = Tenancy(
            self._bounds,
            ports.quota_share_store,
            self.homes,
            self._directory_followers,
            self._update_prepared,
            self._start_coordination,
        )
        self.quotas = self._tenancy.quotas
        self.metrics.tenant_operations(lambda: self.quotas.use)
        self.metrics.seconds_without_quota_share(lambda: self._tenancy.seconds_without_share)
        self.peer_service = PeerService(self._home_ports())
        self._coordinating = False
        self._prepared = asyncio.Event()
        self._success_count = 0

    def _peer_network(self, own: ProxyMember) -> PeerNetwork:
        facts = PlacementInputs(
            self._connection_limit,
            lambda: len(self.groups),
            self._starved,
            lambda tenant: tenant in self._tenancy.table.large,
            lambda: bool(self._tenancy.table.tenants),
        )
        return PeerNetwork(
            own,
            self._ports.peers,
            self._ports.member_store,
            facts,
            self._homes_changed,
            self.metrics.silent,
            self.distances,
        )

    def _home_ports(self) -> HomePorts:
        answers = {
            QUOTA_SHARES_IN_USE: self._tenancy.report_shares_in_use,
            ROOM_VIEW: report_known,
        }
        return HomePorts(
            groups=self.group,
            registry=self.registry,
            read_lock=self.leases.report,
            transaction_idle=lambda: self.transaction_idle,
            report_view=ViewReporter(self, answers).report,
            target_latency=self._target_latency,
            quotas=self.quotas,
            lend_tokens=self.quotas.lend,
            lend_room=self._room.lend,
        )

    def start(self) -> None:
        """Start to follow the store, and start the periodic maintenance."""
        self.views.follow_configuration(ConfigurationFollower(self.adopt))
        self._background.spawn(self._follow_members)
        self._background.spawn(self._upkeep.forget_old_instances)
        self._background.spawn(self._upkeep.trim_connections)
        self._background.spawn(self._upkeep.log_metrics)

    async def _follow_members(self) -> None:
        is_new = await self.homes.member_registration.write()
        self._background.spawn(self.homes.member_registration.keep_listed)
        if is_new:
            # A proxy that was never listed may be one of many that start at the same moment. The
            # pause lets all of them list themselves, so that one read shows them.
            await asyncio.sleep(BATCH_MEMBERS_SECONDS)
        self.views.follow_members()

    def _start_coordination(self) -> None:
        """Start to follow what only home proxies need, unless that has been done.

        This covers the directory, the promotion lock, the rosters, the leadership lease and the
        shares of the quotas. A proxy that is not a home starts it when it has to serve requests
        itself.
        """
        if self._coordinating:
            return
        self._coordinating = True
        self.views.follow_directory(self._directory, self._directory_followers)
        self.views.follow_coordination(self.leases, self.rosters)
        self._background.spawn(self.rosters.run)
        self._background.spawn(self.leases.run)
        self._background.spawn(self.leases.confirm_drops)
        self._background.spawn(self._room.run)
        self._follow_quota_shares()

    def _follow_quota_shares(self) -> None:
        """Follow the holders of quota shares, if there are tenants and this proxy serves groups."""
        configuration = self.configuration
        if self._coordinating and configuration is not None and configuration.tenants is not None:
            self._tenancy.follow(self.views, self._background.spawn)

    @property
    def quota_shares(self) -> QuotaShares:
        """The holders of shares of the tenants' quotas, as last read by this proxy."""
        return self._tenancy.shares

    def _directory_followers(self) -> Iterable[ProxyMember]:
        """The home proxies of all groups, which are the ones that follow the directory."""
        homes = (home for name in self.groups for home in self.homes.placement(name).homes)
        return {home.name: home for home in homes}.values()

    @property
    def prepared(self) -> bool:
        """Whether this proxy can serve requests."""
        return self._prepared.is_set()

    async def wait_prepared(self, seconds: float) -> bool:
        """Wait until this proxy can serve requests; False if that takes longer than `seconds`."""
        try:
            async with asyncio.timeout(seconds):
                await self._prepared.wait()
        except TimeoutError:
            # An expected outcome: the code that waits refuses its session and logs that itself.
            return False
        return True

    def close(self) -> None:
        """Stop all background work and close every connection."""
        self._background.close()
        self._tenancy.close()
        self._room.close()
        self.homes.close()
        for group in self.groups.values():
            group.close()

    # --- Databases ----------------------------------------------------------------------------

    def database(self, name: str) -> DatabaseRoute | None:
        """The route of a database by the name that callers use; None if it does not exist."""
        return None if self.configuration is None else self.configuration.databases.get(name)

    def tenant_of(self, database: str, key_digest: bytes) -> str:
        """The tenant that a request belongs to; NO_TENANT for a database that needs no key.

        Raises RequestError if no tenant has the key, or the configuration is too old to tell.
        """
        if self.configuration is None:
            return NO_TENANT
        age = self.views.configuration_age
        return self._tenancy.tenant_of(self.configuration, database, key_digest, age)

    def _target_latency(self, name: str) -> float | None:
        database = self.database(name)
        return None if database is None else database.target_latency

    def group(self, name: str) -> GroupService | None:
        """A group by name; None if it does not exist."""
        return self.groups.get(name)

    def forwarded(self, outcome: str) -> None:
        """Count a command that was forwarded to a home proxy and has ended."""
        self.metrics.forwarded(outcome)

    def should_log_success(self) -> bool:
        """Count a successful command. Returns whether it is to be logged."""
        self._success_count += 1
        return self._success_count % _SUCCESS_LOG_INTERVAL == 0

    def finished(
        self, database: DatabaseRoute, command: Command, error: ErrorKind | None, seconds: float
    ) -> None:
        """Record the metrics of a command that has ended."""
        self.metrics.finished(database.consistency.value, command.kind, error, seconds)

    @property
    def directory(self) -> Mapping[str, DirectoryEntry]:
        """The directory entries of all known instances, by name."""
        return self._directory.entries

    @property
    def members(self) -> Iterable[ProxyMember]:
        """All listed proxies, and this one."""
        return self.homes.listed_members

    def watch(self, view: str) -> CollectionWatch[Any] | None:
        """The watch of a view; None if this proxy does not follow that view."""
        return self.views.watches.get(view)

    # --- Configuration ------------------------------------------------------------------------

    def adopt(self, configuration: PromotedConfiguration) -> bool:
        """Put a configuration in force. Returns False if this version or a later one already is."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self._tenancy.adopt(configuration)
        self.transaction_idle = configuration.transaction_idle
        self.metrics.configuration_version.set(configuration.version)
        log_event(
            "configuration_in_force",
            version=configuration.version,
            databases=len(configuration.databases),
            groups=len(configuration.groups),
            tenants=len(self._tenancy.table.tenants),
        )
        for name, settings in configuration.groups.items():
            if name in self.groups:
                self.groups[name].topology.settings = settings
            else:
                self._add_group(name)
        self._follow_quota_shares()
        had_tenants = current is not None and bool(current.tenants)
        if (
            current is None
            or current.groups != configuration.groups
            or had_tenants != bool(configuration.tenants)
        ):
            self.homes.limits_changed()
        self._update_prepared()
        return True

    def _add_group(self, name: str) -> None:
        assert self.configuration is not None
        wake = asyncio.Event()
        settings = self.configuration.groups[name]
        environment = GroupEnvironment(
            zone=self.zone,
            connector=self._ports.connector,
            metrics=self.metrics,
            leases=self.leases,
            entry_outlives=self._bounds.entry_outlives,
            on_used=self._start_coordination,
            distances=self.distances,
        )
        group = GroupService(settings, environment, wake.set)
        self.groups[name] = group
        self._directory.add_group(group)
        self.rosters.apply(name)
        services = SupervisionServices(
            lock=self._lock,
            promotions=self._ports.promotions,
            leases=self.leases,
            rosters=self.rosters,
            refresh_views=self.views.refresh_before_failover,
            metrics=self.metrics,
        )
        self._background.spawn(GroupSupervision(group, wake, services).run)

    def _connection_limit(self, group: str) -> int:
        """How many connections an instance of a group accepts from all proxies together."""
        settings = None if self.configuration is None else self.configuration.groups.get(group)
        return 0 if settings is None else settings.maximum_connections

    def _starved(self, group: str) -> bool:
        """Whether this proxy fails to get a connection to an instance of a group."""
        service = self.groups.get(group)
        return service is not None and service.connections.starved

    def _homes_changed(self) -> None:
        """Apply changed members or limits: become a home proxy of groups or cease to be one."""
        if not self.homes.known:
            return
        for name, group in self.groups.items():
            placed = self.homes.placement(name)
            home = placed.includes(self.name)
            shares = ConnectionShares(
                placed.connections, placed.near_connections, placed.far_connections
            )
            group.set_home(home, shares, max(len(placed.homes), 1))
            if home:
                self._start_coordination()
        self._update_prepared()

    def _update_prepared(self) -> None:
        """Mark this proxy as able to serve requests once everything that it needs was read."""
        if self.configuration is None or not self.homes.known:
            return
        if self._coordinating and not self._directory.read:
            return
        if not self._tenancy.ready:
            return
        if not self._prepared.is_set():
            log_event("prepared", version=self.configuration.version)
        self._prepared.set()

    def status(self) -> OperatorStatus:
        """The state of this proxy as it knows it, for operators."""
        now = asyncio.get_running_loop().time()
        return OperatorStatus(
            node=self.name,
            zone=self.zone,
            prepared=self.prepared,
            configuration_version=self.configuration.version if self.configuration else 0,
            configuration_age_ms=self.views.configuration_age_ms,
            lead_lease=self.leases.covers(now),
            promotion_lock_holder=self.leases.holder,
            groups=[
                group_status(
                    group, self.homes.home_names(name), self.home_selection.lacking(name), now
                )
                for name, group in self.groups.items()
            ],
            tenants=tenant_statuses(self._tenancy.table.tenants, self.quotas),
            quota_share=quota_share_status(self._tenancy.share_status),
            region=self.distances.regions.table.get(self.zone, ""),
            distances=distance_statuses(self.distances, now),
        )
