"""The tenants at one proxy: whose each request is, and how much they may ask.

For: `proxy_runtime`, which tells it the configuration in force and the homes. Owns the tenants of
that configuration, and the parts that keep their quotas. Relies on `shared.core.tenants` for keys,
on `QuotaService` for what passes and on `ShareKeeper` for this proxy's share.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from orchidwind.promoted.core.configuration import PromotedConfiguration
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.quota_shares import QuotaShares
from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.promoted.peers.peer_network import PeerNetwork
from orchidwind.promoted.ports import QuotaShareStore
from orchidwind.promoted.quotas.quota_service import QuotaService
from orchidwind.promoted.quotas.share_keeper import ShareKeeper
from orchidwind.promoted.views.followed_views import ProxyBounds, ProxyViews, Spawn
from orchidwind.shared.core.tenant_connections import NO_TENANT
from orchidwind.shared.core.tenants import KeyChecker, TenantTable


class Tenancy:
    """`homes` gives the proxies that hold connections of any group, this one perhaps among them."""

    def __init__(
        self,
        bounds: ProxyBounds,
        store: QuotaShareStore,
        network: PeerNetwork,
        homes: Callable[[], Iterable[ProxyMember]],
        on_known: Callable[[], None],
    ) -> None:
        """`on_known` is called each time that it was read who holds shares of the quotas."""
        self.table = TenantTable(())
        self._key_checker = KeyChecker.within(bounds.revocation)
        self._network = network
        self._homes = homes
        self._following = False
        self.quotas = QuotaService(bounds.quotas, lambda: self.table.tenants, self._lenders)
        self._shares = ShareKeeper(
            network.own.name, store, self.quotas, self._wanted_holders, on_known
        )

    def adopt(self, configuration: PromotedConfiguration) -> None:
        """A configuration is in force."""
        self.table = TenantTable(configuration.tenants or ())
        self._network.tenants_changed()

    def tenant_of(
        self, configuration: PromotedConfiguration, database: str, key_digest: bytes, age: float
    ) -> str:
        """The tenant that a request belongs to, empty where no key is needed.

        `age` is the configuration's. Raises RequestError where the key is held by nobody, or cannot
        be judged.
        """
        if not configuration.needs_key(database):
            return NO_TENANT
        return self._key_checker.tenant_of(self.table, key_digest, age).name

    # --- shares of the quotas -----------------------------------------------------------------

    def follow(self, views: ProxyViews, spawn: Spawn) -> None:
        """Follow who holds shares of the quotas, from the first call on."""
        if self._following:
            return
        self._following = True
        watch = views.follow_quota_shares(self._shares, self._homes)
        self.quotas.confirmed_by(lambda: watch.confirmed_at)
        spawn(self._shares.run)

    @property
    def ready(self) -> bool:
        """Whether it was read who holds shares, if that is followed."""
        return self._shares.known or not self._following

    @property
    def shares(self) -> QuotaShares:
        """Who holds shares of the quotas, as far as this proxy knows."""
        return self._shares.held

    def _wanted_holders(self) -> list[str]:
        """The homes of all groups, none while the proxies are not known."""
        return [home.name for home in self._homes()] if self._network.known else []

    def _lenders(self) -> list[PeerLink]:
        """Links to the other homes, those of this zone first."""
        own = self._network.own
        homes = sorted(self._homes(), key=lambda home: home.zone != own.zone)
        others = (home for home in homes if home.name != own.name)
        links = (self._network.usable_link(home) for home in others)
        return [link for link in links if link is not None]

    def close(self) -> None:
        """Ask nobody any more."""
        self.quotas.close()
