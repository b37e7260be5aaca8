"""How the views that proxies report to one another are put into messages and taken out again.

For: `view_reporter`, which fills reports, and `followed_views`, which reads them. No I/O.
"""

from __future__ import annotations

from orchidwind.promoted.core.configuration import DirectoryEntry, PromotedConfiguration
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.peer_messages import ConfigurationView, QuotaSharesView, ViewReport
from orchidwind.promoted.core.quota_shares import QuotaShares
from orchidwind.promoted.core.store_revision import StoreRevision


def configuration_view(configuration: PromotedConfiguration) -> ConfigurationView:
    """A configuration as it is sent."""
    return ConfigurationView(
        configuration.version,
        tuple(configuration.databases.values()),
        tuple(configuration.groups.values()),
        configuration.transaction_idle,
        configuration.tenants,
        tuple(sorted(configuration.public)),
    )


def reported_configuration(report: ViewReport) -> tuple[PromotedConfiguration, ...] | None:
    """The configuration that a report holds, None where there is none."""
    view = report.configuration
    if view is None:
        return None
    databases = {database.name: database for database in view.databases}
    groups = {group.name: group for group in view.groups}
    return (
        PromotedConfiguration(
            view.version,
            databases,
            groups,
            view.transaction_idle,
            view.tenants,
            frozenset(view.public),
        ),
    )


def reported_members(report: ViewReport) -> tuple[ProxyMember, ...] | None:
    """The members that a report holds, None where there are none."""
    return None if report.members is None else report.members.proxies


def quota_shares_view(shares: QuotaShares) -> QuotaSharesView:
    """The quota shares as they are sent."""
    return QuotaSharesView(shares.holders, shares.following, int(shares.revision))


def reported_quota_shares(report: ViewReport) -> tuple[QuotaShares, ...] | None:
    """The quota shares that a report holds, None where there are none."""
    view = report.quota_shares
    if view is None:
        return None
    return (QuotaShares(view.holders, view.following, StoreRevision(view.revision)),)


def reported_directory(report: ViewReport) -> tuple[DirectoryEntry, ...] | None:
    """The directory that a report holds, None where there is none."""
    return None if report.directory is None else report.directory.entries
