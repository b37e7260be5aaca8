"""Converts views between their in-memory form and the messages in which proxies report them.

For: `view_reporter`, which fills reports, and `followed_views`, which reads them. No I/O.
"""

from __future__ import annotations

from orchidwind.promoted.core.configuration import DirectoryEntry, PromotedConfiguration
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.peer_messages import ConfigurationView, QuotaSharesView, ViewReport
from orchidwind.promoted.core.quota_shares import QuotaShares
from orchidwind.promoted.core.store_revision import StoreRevision


def configuration_view(configuration: PromotedConfiguration) -> ConfigurationView:
    """Return the message form of a configuration."""
    return ConfigurationView(
        configuration.version,
        tuple(configuration.databases.values()),
        tuple(configuration.groups.values()),
        configuration.transaction_idle,
        configuration.tenants,
        tuple(sorted(configuration.public)),
    )


def reported_configuration(report: ViewReport) -> tuple[PromotedConfiguration, ...] | None:
    """Return the configuration in a report as the only item, None if the report has none."""
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
    """Return the proxies in a report, None if the report has none."""
    return None if report.members is None else report.members.proxies


def quota_shares_view(shares: QuotaShares) -> QuotaSharesView:
    """Return the message form of the quota shares."""
    return QuotaSharesView(shares.holders, shares.following, int(shares.revision))


def reported_quota_shares(report: ViewReport) -> tuple[QuotaShares, ...] | None:
    """Return the quota shares in a report as the only item, None if the report has none."""
    view = report.quota_shares
    if view is None:
        return None
    return (QuotaShares(view.holders, view.following, StoreRevision(view.revision)),)


def reported_directory(report: ViewReport) -> tuple[DirectoryEntry, ...] | None:
    """Return the directory entries in a report, None if the report has none."""
    return None if report.directory is None else report.directory.entries
