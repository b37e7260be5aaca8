"""The second path of views that a promise depends on: proxies confirm them to one another.

For: `followed_views`, as the `SecondPath` of a watch. Owns whom to ask next. Relies on `core.homes`
for who the readers are, on `core.freshness` for times, and on the links to other proxies.

In each zone one proxy, the reader, watches the store closely; the others of the zone ask it, and
the readers of other zones where it does not answer or is behind itself. All proxies compute the
same readers from the same members. Weighed: each proxy watches closely (its calls grow with the
number of proxies, and are the dearest price on large sites), and readers that push (one more
message type, and silence of a reader still needs a clock at the other side).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Generic, TypeVar

from orchidwind.promoted.core.freshness import FollowTimes
from orchidwind.promoted.core.homes import ProxyMember, zone_readers
from orchidwind.promoted.core.link_silence import LINK_REST_PROBE_SECONDS
from orchidwind.promoted.core.peer_messages import ViewReport
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.peers.peer_link import PeerLink
from orchidwind.promoted.peers.peer_network import PeerNetwork
from orchidwind.promoted.ports import Listing
from orchidwind.promoted.store_era import StoreEra
from orchidwind.promoted.views.second_path import ReportedView
from orchidwind.shared.core.errors import PeerUnavailable
from orchidwind.shared.logs import log_event

# The names of the views on the wire between proxies.
CONFIGURATION = "configuration"
DIRECTORY = "directory"
MEMBERS = "members"
QUOTA_SHARES = "quota_shares"
# An answer is waited for so many seconds. Between two zones it takes some milliseconds, on
# a machine slowed fivefold some dozens; a silent link is found after 0.4 s (`core.link_silence`).
_ANSWER_SECONDS = 0.5
# So many proxies are asked at a time: the reader of the zone, and one more. Each costs a
# message, and a silent one costs its time.
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
        store_era: StoreEra,
    ) -> None:
        """`followers` gives the proxies that follow the collection, this one among them."""
        self._store_era = store_era
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

    async def ask(self, revision: StoreRevision, whole: bool) -> ReportedView[Item] | None:
        """Ask one or two readers; the best that was reported, None where nobody knows.

        With `whole` they send the content however long it is.
        """
        best: ReportedView[Item] | None = None
        for link in self._links()[:_MOST_ASKED]:
            reported = await self._ask_one(link, revision, whole)
            if reported is not None and (best is None or _better(reported, best)):
                best = reported
            if best is not None and self._suffices(best, whole):
                break
        return best

    def _suffices(self, reported: ReportedView[Item], whole: bool) -> bool:
        """Whether nobody else need be asked."""
        if whole and reported.omitted:
            return False
        return self._loop.time() - reported.as_of <= self._fresh_seconds

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
        self, link: PeerLink, revision: StoreRevision, whole: bool
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
        as_of = StoreRevision(report.revision)
        if not self._store_era.saw(as_of.era, link.member.name):
            return None  # it does not know yet that the store came back
        items = self._items(report)
        listing = Listing(items, as_of) if items is not None else None
        current_at = asked_at - report.age
        return ReportedView(link.member.name, current_at, as_of, listing, report.omitted)


def _better(reported: ReportedView[Any], best: ReportedView[Any]) -> bool:
    """Whether a report is of more use than another."""
    return (reported.listing is not None, reported.as_of) > (best.listing is not None, best.as_of)
