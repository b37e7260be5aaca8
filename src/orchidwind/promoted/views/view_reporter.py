"""Answers other proxies' queries for the views that this proxy holds.

For: `peers.served_link`, through `HomePorts`. Owns the size limit above which content is sent only
to a proxy that gets no answer from the store. Relies on the watches for revision and age.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

import msgspec
from msgspec import Struct

from orchidwind.promoted.core.configuration import DirectoryEntry, PromotedConfiguration
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.peer_messages import (
    DirectoryView,
    MembersView,
    ViewQuery,
    ViewReport,
)
from orchidwind.promoted.core.quota_shares import QuotaShares
from orchidwind.promoted.core.store_revision import NOTHING_HELD, StoreRevision
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.promoted.store_era import StoreEra
from orchidwind.promoted.views.collection_watch import CollectionWatch
from orchidwind.promoted.views.peer_views import (
    CONFIGURATION,
    DIRECTORY,
    MEMBERS,
    QUOTA_SHARES,
)
from orchidwind.promoted.views.view_conversion import configuration_view, quota_shares_view

# A view with more items is sent only on explicit request: other proxies read it from the store,
# which has the bandwidth. This many items are about 10 KB; sent to 30 proxies at once they take
# 0.25 s of a link of 10 Mbit/s. Small sites stay below it (docs/DECISIONS.md).
MAX_REPORTED_ITEMS = 200

AnswerQuery = Callable[[ViewQuery], ViewReport]


class HeldViews(Protocol):
    """Access to the views of a proxy that it reports to other proxies."""

    configuration: PromotedConfiguration | None
    metrics: ProxyMetrics
    store_era: StoreEra

    @property
    def quota_shares(self) -> QuotaShares:
        """The proxies' shares of the tenants' quotas."""

    @property
    def directory(self) -> Mapping[str, DirectoryEntry]:
        """The known instances, by name."""

    @property
    def members(self) -> Iterable[ProxyMember]:
        """All known proxies."""

    def watch(self, view: str) -> CollectionWatch[Any] | None:
        """Return the watch of a view, None if the proxy does not follow it."""


class _Content(Struct, frozen=True):
    """How one view is reported: `items` counts its items, `fill` adds them to a report."""

    items: Callable[[], int]
    fill: Callable[[ViewReport], ViewReport]


class ViewReporter:
    """Reports this proxy's views to other proxies."""

    def __init__(self, held: HeldViews, answers: Mapping[str, AnswerQuery] | None = None) -> None:
        """`answers` has the functions that answer queries for other things than a view, by name."""
        self._held = held
        self._answers = answers or {}
        self._contents = {
            CONFIGURATION: _Content(self._configured_items, self._with_configuration),
            DIRECTORY: _Content(lambda: len(held.directory), self._with_directory),
            QUOTA_SHARES: _Content(lambda: 1, self._with_quota_shares),
            MEMBERS: _Content(lambda: len(tuple(held.members)), self._with_members),
        }

    def report(self, query: ViewQuery) -> ViewReport:
        """Answer a query: report revision and age, and the content where the requester needs it."""
        asked = StoreRevision(query.revision)
        if asked != NOTHING_HELD:
            self._held.store_era.saw(asked.era, "another proxy")
        answer = self._answers.get(query.view)
        if answer is not None:
            return answer(query)
        watch = self._held.watch(query.view)
        content = self._contents.get(query.view)
        if watch is None or watch.revision == NOTHING_HELD or content is None:
            return ViewReport(query.number, known=False, age=0.0, revision=-1)
        report = ViewReport(query.number, known=True, age=watch.age, revision=int(watch.revision))
        if watch.changed_revision <= asked:
            self._held.metrics.view_reported(query.view, "confirmed", 0)
            return report
        if not query.whole and content.items() > MAX_REPORTED_ITEMS:
            self._held.metrics.view_reported(query.view, "omitted", 0)
            return omitted(report)
        self._held.metrics.view_reported(query.view, "content", content.items())
        return content.fill(report)

    def _configured_items(self) -> int:
        configuration = self._held.configuration
        if configuration is None:
            return 0
        return len(configuration.databases) + len(configuration.tenants or ())

    def _with_configuration(self, report: ViewReport) -> ViewReport:
        configuration = self._held.configuration
        view = None if configuration is None else configuration_view(configuration)
        return msgspec.structs.replace(report, configuration=view)

    def _with_directory(self, report: ViewReport) -> ViewReport:
        view = DirectoryView(tuple(self._held.directory.values()))
        return msgspec.structs.replace(report, directory=view)

    def _with_quota_shares(self, report: ViewReport) -> ViewReport:
        shares = self._held.quota_shares
        if shares.early_passed or shares.first_revision or shares.late_kept:
            # The message has no fields for these; without content, the other proxy reads the store.
            return omitted(report)
        view = quota_shares_view(shares)
        return msgspec.structs.replace(report, quota_shares=view)

    def _with_members(self, report: ViewReport) -> ViewReport:
        return msgspec.structs.replace(report, members=MembersView(tuple(self._held.members)))


def omitted(report: ViewReport) -> ViewReport:
    """Return a copy of a report without content, marked as omitting it."""
    return msgspec.structs.replace(
        report, omitted=True, configuration=None, directory=None, members=None, quota_shares=None
    )
