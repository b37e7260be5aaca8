"""Lets proxies confirm views to one another, so that a bound on their age holds without the store.

For: `followed_views`, as the `PeerSource` of a watch. Owns the choice of the proxies to ask next.
Relies on `core.homes` for the choice of readers, on `core.freshness` for times, and on the links to
other proxies.

In each zone one proxy, the reader, watches the store closely. The other proxies of the zone ask the
reader; where it does not answer or holds a stale view, they ask the readers of other zones. With
several regions there is one reader for each region, and a substitute for it, so that one proxy of a
region reads across its border. Where a reader of another region is stale, its substitute is
asked. All proxies compute the same readers from the same members.

Alternatives considered: every proxy watches closely (the number of calls grows with the number of
proxies, and is the highest cost on large sites), and readers push changes (one more message type,
and the receiver still needs a timer to detect a silent reader).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Generic, TypeVar

from orchidwind.promoted.core.freshness import FollowTimes
from orchidwind.promoted.core.homes import ProxyMember, substitute_readers, zone_readers
from orchidwind.promoted.core.link_silence import LINK_IDLE_PROBE_SECONDS
from orchidwind.promoted.core.peer_messages import ViewReport
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.promoted.peers.peer_network import PeerNetwork
from orchidwind.promoted.ports import Listing
from orchidwind.promoted.store_era import StoreEra
from orchidwind.promoted.views.peer_source import ReportedView
from orchidwind.shared.core.errors import PeerUnavailable
from orchidwind.shared.logs import log_event

# The names of the views in messages between proxies.
CONFIGURATION = "configuration"
DIRECTORY = "directory"
MEMBERS = "members"
QUOTA_SHARES = "quota_shares"
# Time limit for an answer, seconds. Between two zones an answer takes some milliseconds, and some
# dozens on a machine slowed fivefold; a silent link is detected after 0.4 s (`core.link_silence`).
_ANSWER_SECONDS = 0.5
# How many proxies are asked per query, one after the other: the reader of the zone, and one more.
# Each costs a message, and a silent one costs its time limit.
_MAX_ASKED = 2

Item = TypeVar("Item")


class PeerViews(Generic[Item]):
    """Asks other proxies for their views of one collection that this proxy follows as well."""

    def __init__(
        self,
        view: str,
        times: FollowTimes,
        network: PeerNetwork,
        followers: Callable[[], Iterable[ProxyMember]],
        items: Callable[[ViewReport], tuple[Item, ...] | None],
        store_era: StoreEra,
        replaces_lost_reader: bool = False,
    ) -> None:
        """`followers` returns the proxies that follow the collection, including this one.

        `items` extracts the collection's items from a report, or returns None if it has none. With
        `replaces_lost_reader` this proxy watches the store itself while the reader of its zone does
        not answer; only for views that few proxies follow.
        """
        self._replaces_lost_reader = replaces_lost_reader
        self._store_era = store_era
        self._view = view
        # A report older than this would not avoid a read of the store: the next proxy is asked.
        self._fresh_seconds = times.read_at_age or 0.0
        self._whole_seconds = times.large_content_wait
        self._infrequent = times.ask_every is None or times.ask_every > LINK_IDLE_PROBE_SECONDS
        self._network = network
        self._followers = followers
        self._items = items
        self._queries_sent = 0
        self._generation = -1
        # By area: a zone, or a region if there are several.
        self._readers_by_area: Mapping[str, ProxyMember] = {}
        self._substitutes: Mapping[str, ProxyMember] = {}
        # Whether this proxy was last seen to read in place of its region's reader, for the log.
        self._substituting = False
        # Other areas whose substitute is asked next, in place of the reader.
        self._substitute_next: set[str] = set()
        self._own_area = network.regions.reading_area(network.own.zone)
        self._loop = asyncio.get_running_loop()

    def is_reader(self) -> bool:
        """Whether this proxy is its zone's reader, or its zone has no reader to ask.

        With several regions, this is about its region, and the substitute is a reader while the
        region's reader cannot be reached. False until the list of proxies was read; meanwhile the
        view's age triggers reads of the store.
        """
        if not self._network.known:
            return False
        own = self._network.own
        reader = self._readers().get(self._own_area, own)
        if reader.name == own.name:
            return True
        is_substitute = self._is_own(self._substitutes.get(self._own_area))
        if not (self._replaces_lost_reader or is_substitute):
            return False
        reader_lost = self._network.usable_link(reader) is None
        if is_substitute and reader_lost != self._substituting:
            self._substituting = reader_lost
            log_event(
                "substitute_reads" if reader_lost else "substitute_stops",
                collection=self._view,
                reader=reader.name,
            )
        return reader_lost

    def _readers(self) -> Mapping[str, ProxyMember]:
        if self._generation != self._network.generation:
            self._generation = self._network.generation
            followers, regions = list(self._followers()), self._network.regions
            self._readers_by_area = zone_readers(self._view, followers, regions)
            self._substitutes = substitute_readers(self._view, followers, regions)
        return self._readers_by_area

    async def ask(self, revision: StoreRevision, whole: bool) -> ReportedView[Item] | None:
        """Ask one or two readers; return the best report, None if no reader reported the view.

        With `whole` the readers send the content however long it is.
        """
        best: ReportedView[Item] | None = None
        for link in self._links()[:_MAX_ASKED]:
            reported = await self._ask_one(link, revision, whole)
            if reported is None or not self._is_sufficient(reported, whole):
                self._note_insufficient(link.member)
            if reported is not None and (best is None or _is_better(reported, best)):
                best = reported
            if best is not None and self._is_sufficient(best, whole):
                break
        return best

    def _is_sufficient(self, reported: ReportedView[Item], whole: bool) -> bool:
        """Whether no further proxy needs to be asked."""
        if whole and reported.omitted:
            return False
        return self._loop.time() - reported.as_of <= self._fresh_seconds

    def _links(self) -> list[PeerLink]:
        """Links to the proxies to ask, the first ones first; the other areas in rotation.

        This area's reader comes first. If this proxy is that reader, it asks because the store does
        not answer it: the other areas come first, and its own substitute after them.
        """
        readers, area = self._readers(), self._own_area
        others = [other for other in sorted(readers) if other != area]
        self._queries_sent += 1
        turn = self._queries_sent % len(others) if others else 0
        links = [self._other_area_link(other) for other in others[turn:] + others[:turn]]
        if self._is_own(readers.get(area)):
            links.append(self._usable_link(self._substitutes.get(area)))
        else:
            links.insert(0, self._reader_link(area))
        return [link for link in links if link is not None]

    def _other_area_link(self, area: str) -> PeerLink | None:
        """The link to another area's reader, or to its substitute after a stale answer.

        The store may be silent to the reader and still serve the substitute.
        """
        if area in self._substitute_next:
            substitute = self._usable_link(self._substitutes.get(area))
            if substitute is not None:
                return substitute
        return self._reader_link(area)

    def _note_insufficient(self, asked: ProxyMember) -> None:
        """Ask the other one of reader and substitute the next time, where areas have both."""
        area = self._network.regions.reading_area(asked.zone)
        if area != self._own_area:
            self._substitute_next ^= {area}

    def _reader_link(self, area: str) -> PeerLink | None:
        """The link to an area's reader, or to its substitute if the reader cannot be reached."""
        link = self._usable_link(self._readers().get(area))
        return link or self._usable_link(self._substitutes.get(area))

    def _is_own(self, member: ProxyMember | None) -> bool:
        return member is not None and member.name == self._network.own.name

    def _usable_link(self, member: ProxyMember | None) -> PeerLink | None:
        if member is None or self._is_own(member):
            return None
        return self._network.usable_link(member)

    async def _ask_one(
        self, link: PeerLink, revision: StoreRevision, whole: bool
    ) -> ReportedView[Item] | None:
        asked_at = self._loop.time()
        try:
            async with asyncio.timeout(self._whole_seconds if whole else _ANSWER_SECONDS):
                report = await link.ask_view(self._view, revision, whole, self._infrequent)
        except (PeerUnavailable, TimeoutError) as error:
            reason = str(error) or "no answer in time"
            log_event(
                "view_not_reported", collection=self._view, peer=link.member.name, reason=reason
            )
            return None
        if not report.known:
            return None
        as_of = StoreRevision(report.revision)
        if not self._store_era.saw(as_of.era, link.member.name):
            return None  # the report precedes the restore of the store that this proxy knows of
        items = self._items(report)
        listing = Listing(items, as_of) if items is not None else None
        current_at = asked_at - report.age
        return ReportedView(link.member.name, current_at, as_of, listing, report.omitted)


def _is_better(reported: ReportedView[Any], best: ReportedView[Any]) -> bool:
    """Whether a report is more useful than another: content comes first, then the later time."""
    return (reported.listing is not None, reported.as_of) > (best.listing is not None, best.as_of)
