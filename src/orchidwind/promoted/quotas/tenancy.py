"""The tenants at one proxy: which tenant a request belongs to, and the tenants' quotas.

For: `proxy_runtime`, which passes in the configuration in force and the home proxies. Owns the
tenants of that configuration and the parts that enforce their quotas. Relies on
`shared.core.tenants` to check keys, on `QuotaService` to admit operations, and on `ShareKeeper` for
this proxy's share.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from orchidwind.promoted.core.configuration import PromotedConfiguration
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.peer_messages import ViewQuery, ViewReport
from orchidwind.promoted.core.quota_shares import QuotaShares
from orchidwind.promoted.core.share_status import ShareStatus
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.promoted.peers.peer_network import PeerNetwork
from orchidwind.promoted.ports import QuotaShareStore
from orchidwind.promoted.quotas.quota_service import QuotaService
from orchidwind.promoted.quotas.share_keeper import ShareKeeper
from orchidwind.promoted.views.followed_views import ProxyBounds, ProxyViews, Spawn
from orchidwind.shared.core.errors import PeerUnavailable
from orchidwind.shared.core.tenant_connections import NO_TENANT
from orchidwind.shared.core.tenants import KeyChecker, TenantTable
from orchidwind.shared.logs import log_event

# The name by which a proxy is asked, as for a view, from which revision on it uses its share of the
# quotas. A proxy that does not know it answers that it follows no such view.
QUOTA_SHARES_IN_USE = "quota_shares_in_use"
# How long a confirmation may take, seconds: some round trips to another zone. It is asked for again
# until the share ends by its age.
_CONFIRMATION_SECONDS = 0.3


class Tenancy:
    """Identifies tenants by their keys, and enforces their quotas at this proxy."""

    def __init__(
        self,
        bounds: ProxyBounds,
        store: QuotaShareStore,
        network: PeerNetwork,
        homes: Callable[[], Iterable[ProxyMember]],
        on_known: Callable[[], None],
        on_used: Callable[[], None],
    ) -> None:
        """`homes` returns the home proxies of all groups, which may include this one.

        `on_known` is called whenever the holders of quota shares were read from the store,
        `on_used` with each operation of a tenant that is to be admitted here.
        """
        self.table = TenantTable(())
        self._key_checker = KeyChecker.within(bounds.revocation)
        self._network = network
        self._homes = homes
        self._following = False
        self.quotas = QuotaService(
            bounds.quotas, lambda: self.table.tenants, self._lenders, on_used
        )
        self._shares = ShareKeeper(
            network.own.name,
            store,
            self.quotas,
            self._wanted_holders,
            network.unreachable,
            on_known,
            self._ask_confirmation,
        )

    def adopt(self, configuration: PromotedConfiguration) -> None:
        """Use the tenants of a configuration that is now in force."""
        self.table = TenantTable(configuration.tenants or ())
        self._network.tenants_changed()

    def tenant_of(
        self, configuration: PromotedConfiguration, database: str, key_digest: bytes, age: float
    ) -> str:
        """The tenant that a request belongs to; NO_TENANT for a database that needs no key.

        `age` is the age of the configuration. Raises RequestError if no tenant has the key, or the
        configuration is too old to tell.
        """
        if not configuration.needs_key(database):
            return NO_TENANT
        return self._key_checker.tenant_of(self.table, key_digest, age).name

    # --- Shares of the quotas -----------------------------------------------------------------

    def follow(self, views: ProxyViews, spawn: Spawn) -> None:
        """Start to follow the holders of quota shares; further calls do nothing."""
        if self._following:
            return
        self._following = True
        watch = views.follow_quota_shares(self._shares, self._homes)
        self._shares.use_view(lambda: watch.confirmed_at, watch.refresh)
        spawn(self._shares.run)

    @property
    def ready(self) -> bool:
        """Whether the holders of quota shares were read, or are not followed."""
        return self._shares.known or not self._following

    @property
    def shares(self) -> QuotaShares:
        """The holders of quota shares, as last read by this proxy."""
        return self._shares.held

    @property
    def share_status(self) -> ShareStatus | None:
        """How this proxy stands with its share of the quotas; None if it does not follow them."""
        return self._shares.status() if self._following else None

    @property
    def seconds_without_share(self) -> float:
        """For how long no share was in force here or at a reachable proxy, since the start."""
        return self._shares.seconds_without_share

    def report_shares_in_use(self, query: ViewQuery) -> ViewReport:
        """Confirm that this proxy uses no share from before the revision in the query.

        The report says that nothing is known if the proxy holds another revision.
        """
        confirmed = self._shares.gives_up_previous(StoreRevision(query.revision))
        return ViewReport(query.number, confirmed, 0.0, query.revision)

    async def _ask_confirmation(self, proxy: str, revision: StoreRevision) -> bool:
        """Ask another proxy to use no share from before a revision; False without its word."""
        members = self._network.known_members({proxy})
        link = self._network.usable_link(members[0]) if members else None
        if link is None:
            return False
        try:
            async with asyncio.timeout(_CONFIRMATION_SECONDS):
                report = await link.ask_view(QUOTA_SHARES_IN_USE, revision, whole=False)
        except (PeerUnavailable, TimeoutError) as error:
            reason = str(error) or "no answer in time"
            log_event("quota_share_not_confirmed", peer=proxy, revision=revision, reason=reason)
            return False
        return report.known and report.revision == revision

    def _wanted_holders(self) -> list[str]:
        """The home proxies of all groups; empty while the proxies are not known."""
        return [home.name for home in self._homes()] if self._network.known else []

    def _lenders(self) -> list[PeerLink]:
        """The usable links to the other proxies that may hold shares, those of this zone first."""
        own = self._network.own
        held = self._shares.held
        holders = self._network.known_members({*held.holders, *held.following})
        candidates = {member.name: member for member in (*holders, *self._homes())}
        candidates.pop(own.name, None)
        nearest_first = sorted(candidates.values(), key=lambda member: member.zone != own.zone)
        links = (self._network.usable_link(member) for member in nearest_first)
        return [link for link in links if link is not None]

    def close(self) -> None:
        """Stop asking other proxies for tokens and confirmations."""
        self.quotas.close()
        self._shares.close()
