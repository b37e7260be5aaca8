"""The second path of views that a promise depends on: proxies confirm them to one another.

In each zone one proxy, the reader, watches the store closely; the others of the zone ask it, and
the readers of other zones where it does not answer or is behind itself. All proxies compute the
same readers from the same members. Weighed: each proxy watches closely (its calls grow with the
number of proxies, and are the dearest price on large sites), and readers that push (one more
message type, and silence of a reader still needs a clock at the other side).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Generic, Protocol, TypeVar

import msgspec

from orchidwind.promoted.core.configuration import DirectoryEntry, PromotedConfiguration
from orchidwind.promoted.core.freshness import FollowTimes
from orchidwind.promoted.core.homes import ProxyMember, zone_readers
from orchidwind.promoted.core.link_silence import LINK_REST_PROBE_SECONDS
from orchidwind.promoted.core.peer_messages import (
    ConfigurationView,
    DirectoryView,
    MembersView,
    ViewQuery,
    ViewReport,
)
from orchidwind.promoted.metrics import ProxyMetrics
from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.promoted.peers.peer_network import PeerNetwork
from orchidwind.promoted.ports import Changes, Listing
from orchidwind.promoted.views.collection_watch import CollectionWatch, ReportedView
from orchidwind.shared.core.errors import PeerUnavailable
from orchidwind.shared.logs import log_event

CONFIGURATION = "configuration"
DIRECTORY = "directory"
MEMBERS = "members"
# Between two zones an answer takes some milliseconds, on a machine slowed fivefold some dozens. A
# link that says nothing finds that out by itself after 0.4 s (`promoted.peers.peer_link`).
_ANSWER_SECONDS = 0.5
# A longer content is not told unasked: the others read it at the store, which has the bandwidth. A
# report with so many has about 10 KB; told to 30 proxies at once it takes 0.25 s of a link of 10
# Mbit/s.
MOST_TOLD_ITEMS = 200
# The reader of the zone, and one more: each costs a message, and a silent one costs its time.
_MOST_ASKED = 2

Item = TypeVar("Item")


class PeerViews(Generic[Item]):
    """The other proxies' views of one collection, to a proxy that follows it too."""

    def __init__(
        self,
        view: str,
        times: FollowTimes,
        network: PeerNetwork,
        followers: Callable[[], Iterable[ProxyMember]],
        items: Callable[[ViewReport], tuple[Item, ...] | None],
    ) -> None:
        """`followers` gives the proxies that follow the collection, this one among them."""
        self._view = view
        # With an older view the store would be read at once: then the next proxy is asked, too.
        self._fresh_seconds = times.read_at_age or 0.0
        self._whole_seconds = times.whole_wait
        self._seldom = times.ask_every is None or times.ask_every > LINK_REST_PROBE_SECONDS
        self._network = network
        self._followers = followers
        self._items = items
        self._asked = 0
        self._generation = -1
        self._zone_readers: Mapping[str, ProxyMember] = {}
        self._loop = asyncio.get_running_loop()

    def relied_upon(self) -> bool:
        """Whether others ask this proxy; also where there is nobody else to ask.

        Not while the others are still being read: the view's age then has the store read again.
        """
        if not self._network.known:
            return False
        readers = self._readers()
        own = self._network.own
        return readers.get(own.zone, own).name == own.name

    def _readers(self) -> Mapping[str, ProxyMember]:
        if self._generation != self._network.generation:
            self._generation = self._network.generation
            self._zone_readers = zone_readers(self._view, self._followers())
        return self._zone_readers

    async def ask(self, revision: int, whole: bool) -> ReportedView[Item] | None:
        """Ask one or two readers; the best that was told, None where nobody knows.

        With `whole` they send the content however long it is.
        """
        best: ReportedView[Item] | None = None
        for link in self._links()[:_MOST_ASKED]:
            told = await self._ask_one(link, revision, whole)
            if told is not None and (best is None or _better(told, best)):
                best = told
            if best is not None and self._suffices(best, whole):
                break
        return best

    def _suffices(self, told: ReportedView[Item], whole: bool) -> bool:
        """Whether nobody else need be asked."""
        if whole and told.omitted:
            return False
        return self._loop.time() - told.as_of <= self._fresh_seconds

    def _links(self) -> list[PeerLink]:
        """Links to the readers that can be asked: first that of the zone, then others in turn."""
        own = self._network.own
        readers = self._readers()
        others = [readers[zone] for zone in sorted(readers) if zone != own.zone]
        self._asked += 1
        turn = self._asked % len(others) if others else 0
        order = [readers[own.zone]] if own.zone in readers else []
        order += others[turn:] + others[:turn]
        links = [self._network.usable_link(member) for member in order if member.name != own.name]
        return [link for link in links if link is not None]

    async def _ask_one(
        self, link: PeerLink, revision: int, whole: bool
    ) -> ReportedView[Item] | None:
        asked_at = self._loop.time()
        try:
            async with asyncio.timeout(self._whole_seconds if whole else _ANSWER_SECONDS):
                report = await link.ask_view(self._view, revision, whole, self._seldom)
        except (PeerUnavailable, TimeoutError) as error:
            reason = str(error) or "no answer in time"
            log_event(
                "view_not_reported", collection=self._view, peer=link.member.name, reason=reason
            )
            return None
        if not report.known:
            return None
        items = self._items(report)
        listing = Listing(items, report.revision) if items is not None else None
        return ReportedView(link.member.name, asked_at - report.age, listing, report.omitted)


def _better(told: ReportedView[Any], best: ReportedView[Any]) -> bool:
    """Whether an answer tells more than another."""
    return (told.listing is not None, told.as_of) > (best.listing is not None, best.as_of)


class FollowedViews(Protocol):
    """What a proxy holds of the views that it tells others."""

    configuration: PromotedConfiguration | None
    directory: dict[str, DirectoryEntry]
    metrics: ProxyMetrics

    @property
    def members(self) -> Iterable[ProxyMember]:
        """All proxies that are known."""

    def watch(self, view: str) -> CollectionWatch[Any] | None:
        """The watch of a view, None where the proxy does not follow it."""


class ViewReporter:
    """Tells other proxies what this one knows."""

    def __init__(self, node: FollowedViews) -> None:
        self._node = node

    def report(self, query: ViewQuery) -> ViewReport:
        """Answer a query."""
        watch = self._node.watch(query.view)
        if watch is None or watch.revision < 0:
            return ViewReport(query.number, known=False, age=0.0, revision=-1)
        report = ViewReport(query.number, known=True, age=watch.age, revision=watch.revision)
        if watch.changed_revision <= query.revision:
            self._node.metrics.view_reported(query.view, "confirmed", 0)
            return report
        if not query.whole and self._items(query.view) > MOST_TOLD_ITEMS:
            self._node.metrics.view_reported(query.view, "omitted", 0)
            return omitted(report)
        self._node.metrics.view_reported(query.view, "content", self._items(query.view))
        return self._with_content(report, query.view)

    def _items(self, view: str) -> int:
        """How many items a view holds."""
        if view == CONFIGURATION:
            held = self._node.configuration
            return 0 if held is None else len(held.databases)
        if view == DIRECTORY:
            return len(self._node.directory)
        return len(tuple(self._node.members))

    def _with_content(self, report: ViewReport, view: str) -> ViewReport:
        """The same report, which holds what the view shows."""
        if view == CONFIGURATION:
            return msgspec.structs.replace(report, configuration=self._configuration())
        if view == DIRECTORY:
            return msgspec.structs.replace(report, directory=self._directory())
        return msgspec.structs.replace(report, members=MembersView(tuple(self._node.members)))

    def _configuration(self) -> ConfigurationView | None:
        held = self._node.configuration
        if held is None:
            return None
        return ConfigurationView(
            held.version,
            tuple(held.databases.values()),
            tuple(held.groups.values()),
            held.transaction_idle,
        )

    def _directory(self) -> DirectoryView:
        return DirectoryView(tuple(self._node.directory.values()))


def omitted(report: ViewReport) -> ViewReport:
    """The same report without content; it tells that there is one."""
    return msgspec.structs.replace(
        report, omitted=True, configuration=None, directory=None, members=None
    )


def reported_configuration(report: ViewReport) -> tuple[PromotedConfiguration, ...] | None:
    """The configuration that a report holds, None where there is none."""
    told = report.configuration
    if told is None:
        return None
    databases = {database.name: database for database in told.databases}
    groups = {group.name: group for group in told.groups}
    return (PromotedConfiguration(told.version, databases, groups, told.transaction_idle),)


def reported_members(report: ViewReport) -> tuple[ProxyMember, ...] | None:
    """The members that a report holds, None where there are none."""
    return None if report.members is None else report.members.proxies


def reported_directory(report: ViewReport) -> tuple[DirectoryEntry, ...] | None:
    """The directory that a report holds, None where there is none."""
    return None if report.directory is None else report.directory.entries


class ConfigurationFollower:
    """Passes configurations on."""

    def __init__(self, adopt: Callable[[PromotedConfiguration], bool]) -> None:
        """`adopt` puts a configuration in force; whether it is a later one."""
        self._adopt = adopt

    def listed(self, listing: Listing[PromotedConfiguration]) -> bool:
        """The configuration as it is; whether it is a later one."""
        return any([self._adopt(item) for item in listing.items])

    def changed(self, changes: Changes[PromotedConfiguration]) -> None:
        """A later one."""
        for item in changes.changed:
            self._adopt(item)


class DirectoryFollower:
    """Passes the directory on."""

    def __init__(
        self,
        all_listed: Callable[[tuple[DirectoryEntry, ...]], bool],
        listed: Callable[[DirectoryEntry], None],
        gone: Callable[[str], None],
    ) -> None:
        self._all_listed = all_listed
        self._listed = listed
        self._gone = gone

    def listed(self, listing: Listing[DirectoryEntry]) -> bool:
        """All entries; whether they differ from those that were held."""
        return self._all_listed(listing.items)

    def changed(self, changes: Changes[DirectoryEntry]) -> None:
        """Later changes."""
        for entry in changes.changed:
            self._listed(entry)
        for name in changes.gone:
            self._gone(name)
