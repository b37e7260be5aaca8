"""A proxy's state about its cluster: members, links to them, configuration, and roles.

Used by the front, which looks up the home of a database, and by the home service, which applies the
placement. Owns: the links by proxy, the history of configurations, and whether this proxy watches
the object API. Relies on: `core/membership.py` for the members and `core/placement.py` for the
homes of each database.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import msgspec

from orchidwind.elected.core.configuration import (
    ClassMatcher,
    ConfigurationDocument,
    DatabaseSettings,
    OperatorFile,
)
from orchidwind.elected.core.configuration_history import (
    Adopt,
    ConfigurationHistory,
    FetchLimiter,
    HistoryEffect,
)
from orchidwind.elected.core.member_table import Member, MemberState
from orchidwind.elected.core.membership import Membership
from orchidwind.elected.core.placement import Node, Placement
from orchidwind.elected.core.slot_leases import LeaseAnswer
from orchidwind.elected.network import codec
from orchidwind.elected.network.datagrams import MembershipService
from orchidwind.elected.network.front import Home
from orchidwind.elected.network.peer_link import PeerLink
from orchidwind.shared.core.admission import TrafficClass
from orchidwind.shared.core.errors import PeerUnavailable
from orchidwind.shared.logs import log_event
from orchidwind.shared.settings import ProxySettings, parse_address
from orchidwind.shared.task_set import TaskSet

# Membership changes within this time are applied to the roles together.
_VIEW_BATCH_SECONDS = 0.05
# One watcher remains if the other fails, and the platform still serves few watches.
WATCHERS_PER_ZONE = 2


class Cluster:
    """Implements `Router` and `LeasePort` on the membership and the configuration."""

    def __init__(self, settings: ProxySettings, on_roles: Callable[[], None]) -> None:
        """`on_roles` is called when the configuration or the placement has changed."""
        self.node = Node(settings.name, settings.zone)
        self.history = ConfigurationHistory()
        self.databases: dict[str, DatabaseSettings] = {}
        self.placement = Placement([], [])
        self._settings = settings
        self._on_roles = on_roles
        self.on_lease: Callable[[str, str, LeaseAnswer], None] = lambda database, peer, answer: None
        self._tasks = TaskSet()
        self._loop = asyncio.get_running_loop()
        self._classes = ClassMatcher([])
        self._homes: dict[str, Home | None] = {}
        self._links: dict[str, PeerLink] = {}
        self._fetch_limiter = FetchLimiter()
        self._roles_timer: asyncio.TimerHandle | None = None
        own = Member(
            settings.name,
            settings.zone,
            settings.host,
            settings.peer_port,
            settings.gossip_port,
        )
        membership = Membership(
            own, [parse_address(seed) for seed in settings.seeds], random.Random()
        )
        self.members = MembershipService(membership, self._on_view, self._on_peer_version)

    async def start(self) -> None:
        """Open the membership socket and join the cluster."""
        await self.members.start(self._settings.host, self._settings.gossip_port)

    # --- Router -------------------------------------------------------------------------------

    def home(self, database: str) -> Home | None:
        """Return the home of a database for this node's zone, or None if there is none."""
        if database in self._homes:
            return self._homes[database]
        settings = self.databases.get(database)
        found = None
        if settings is not None:
            name = self.placement.home(settings, self.node.zone)
            found = self._home_at(name) if name is not None else None
        self._homes[database] = found
        return found

    def traffic_class(self, user: str, application_name: str, tag: str) -> TrafficClass:
        """Return the traffic class that the configuration assigns to a request."""
        return self._classes.match(user, application_name, tag)

    def _home_at(self, name: str) -> Home | None:
        if name == self.node.name:
            return Home(name, None)
        link = self._link(name)
        return None if link is None else Home(name, link)

    def _link(self, name: str) -> PeerLink | None:
        member = self.members.membership.members.get(name)
        if member is None:
            return None
        address = (member.host, member.peer_port)
        link = self._links.get(name)
        if link is not None and link.address == address:
            return link
        if link is not None:
            link.close()
        link = PeerLink(self.node.name, *address, on_notice=self._notice_handler(name))
        self._links[name] = link
        return link

    # --- configuration ------------------------------------------------------------------------

    @property
    def content(self) -> OperatorFile | None:
        """The configuration in force, or None if none was received."""
        return self.history.current.content if self.history.current else None

    def on_platform(self, document: ConfigurationDocument) -> None:
        """Process a configuration received from the object API."""
        self._perform(self.history.on_platform(document))

    def reply(self) -> codec.ConfigurationReply | None:
        """Return the configuration in force as a reply to a peer, or None if there is none."""
        current = self.history.current
        if current is None:
            return None
        return codec.ConfigurationReply(current.version, msgspec.json.encode(current.content))

    def is_watcher(self) -> bool:
        """Return whether this node is one of its zone's watchers of the platform."""
        return self.node.name in self.placement.watchers(self.node.zone, WATCHERS_PER_ZONE)

    def _reachable_peers(self) -> int:
        return len(self.members.membership.reachable()) - 1

    def _on_peer_version(self, peer: str, version: int) -> None:
        self._perform(self.history.on_peer_version(peer, version, self._reachable_peers()))

    def _notice_handler(
        self, peer: str
    ) -> Callable[[codec.ConfigurationReply | codec.LeaseReply], None]:
        def handle(notice: codec.ConfigurationReply | codec.LeaseReply) -> None:
            if isinstance(notice, codec.LeaseReply):
                answer = LeaseAnswer(notice.slots, notice.number, notice.duration)
                self.on_lease(notice.database, peer, answer)
            else:
                self._on_peer_document(peer, notice)

        return handle

    def _on_peer_document(self, peer: str, reply: codec.ConfigurationReply) -> None:
        self._fetch_limiter.ended()
        try:
            content = msgspec.json.decode(reply.content, type=OperatorFile)
        except msgspec.DecodeError:
            log_event("peer_configuration_not_understood", peer=peer)
            return
        document = ConfigurationDocument(reply.version, content)
        self._perform(self.history.on_peer_document(peer, document, self._reachable_peers()))

    def _perform(self, effects: list[HistoryEffect]) -> None:
        for effect in effects:
            if isinstance(effect, Adopt):
                self._adopt(effect.document)
            else:
                self._fetch(effect.peer)

    def _fetch(self, peer: str) -> None:
        link = self._link(peer)
        if link is not None and self._fetch_limiter.begin(self._loop.time()):
            request = codec.ConfigurationRequest(self.history.version)
            self._send_soon(link, request, self._fetch_limiter.ended)

    def _send_soon(
        self,
        link: PeerLink,
        message: codec.LinkMessage,
        on_unsent: Callable[[], None] = lambda: None,
    ) -> None:
        self._tasks.start(self._send(link, message, on_unsent))

    async def _send(
        self, link: PeerLink, message: codec.LinkMessage, on_unsent: Callable[[], None]
    ) -> None:
        try:
            await link.open()
        except PeerUnavailable as error:  # the sender of the message repeats it
            log_event("peer_unavailable", reason=error)
            on_unsent()
            return
        link.send(message)

    # --- leases -------------------------------------------------------------------------------

    def other_homes(self, database: DatabaseSettings) -> list[str]:
        """Return the names of a database's homes in the other zones."""
        return [name for name in self.placement.homes(database) if name != self.node.name]

    def request_lease(self, lender: str, database: str, wanted: int) -> None:
        """Send a lease request to another home; dropped if that proxy is not a member."""
        link = self._link(lender)
        if link is not None:
            self._send_soon(link, codec.LeaseAsk(database, wanted))

    def _adopt(self, document: ConfigurationDocument) -> None:
        log_event("configuration_in_force", version=document.version)
        self.databases = {item.name: item for item in document.content.databases}
        self._classes = ClassMatcher(document.content.classes)
        self._update_roles()
        membership = self.members.membership
        self.members.perform(membership.set_configuration_version(document.version))

    # --- view ---------------------------------------------------------------------------------

    def _on_view(self) -> None:
        """Schedule an update of the roles, so that a burst of changes is applied once."""
        if self._roles_timer is None:
            self._roles_timer = self._loop.call_later(_VIEW_BATCH_SECONDS, self._apply_view)

    def _apply_view(self) -> None:
        self._roles_timer = None
        for name in list(self._links):
            member = self.members.membership.members.get(name)
            if member is None or member.state == MemberState.DEAD:
                self._links.pop(name).close()
                self.history.forget_peer(name)
        self._update_roles()

    def _update_roles(self) -> None:
        nodes = [Node(item.name, item.zone) for item in self.members.membership.usable()]
        content = self.content
        self.placement = Placement(nodes, content.zones if content else [])
        self._homes.clear()
        self._on_roles()

    def leave(self) -> None:
        """Announce a planned stop to the other members."""
        self.members.perform(self.members.membership.leave())

    def close(self) -> None:
        """Close the links and the membership socket."""
        if self._roles_timer is not None:
            self._roles_timer.cancel()
        for link in self._links.values():
            link.close()
        self.members.close()
