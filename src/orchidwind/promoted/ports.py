"""The ports of a proxy for promoted groups. Adapters implement each for a protocol and for tests.

For: `promoted.group`, `peers` and `views`, which call the ports; `platform` and the simulated
systems, which implement them. Owns the contract of each call: what it does and what it raises.
Contains no logic and no I/O. Adapters do not retry a call, and set no time limits beyond those of
`core.call_limits`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Generic, Protocol, TypeVar

from msgspec import Struct, field

from orchidwind.promoted.core.commands import InstanceMessage, InstanceStatus, Reply
from orchidwind.promoted.core.configuration import DirectoryEntry, PromotedConfiguration
from orchidwind.promoted.core.failover_steps import PromotionAnswer
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.peer_messages import PeerMessage
from orchidwind.promoted.core.promotion_lock import LockRecord
from orchidwind.promoted.core.quota_shares import QuotaShares
from orchidwind.promoted.core.roster import Roster
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.store_era import StoreEra
from orchidwind.shared.core.positions import Position

Item = TypeVar("Item", covariant=True)


class InstanceLink(Protocol):
    """One connection to an instance."""

    async def exchange(self, messages: tuple[InstanceMessage, ...]) -> tuple[Reply, ...]:
        """Send messages and return all replies; raises BackendConnectionLost."""

    async def status(self) -> InstanceStatus:
        """Ask for the status; raises BackendConnectionLost, or BackendRefused if it is busy."""

    async def fence(self, term: int) -> InstanceStatus:
        """Have the instance accept no log from primaries below `term`; raises as `status`."""

    async def unfence(self) -> InstanceStatus:
        """Remove the fence, so that the instance receives the log again; raises as `status`."""

    async def demote(self, term: int) -> InstanceStatus:
        """Turn a primary of a term below `term` into a replica; raises as `status`."""

    def close(self) -> None:
        """Close at once; the instance rolls back an open transaction."""


class InstanceConnector(Protocol):
    """Opens connections to instances."""

    async def connect(
        self, entry: DirectoryEntry, on_lost: Callable[[], None], tenant: str
    ) -> InstanceLink:
        """Open a connection for the statements of a tenant.

        An empty `tenant` opens a connection for the proxy itself. `on_lost` is called when the
        connection is lost. Raises BackendRefused or BackendConnectionLost.
        """


class Listing(Struct, Generic[Item], frozen=True):
    """All items of a collection at a revision of the store."""

    items: tuple[Item, ...]
    revision: StoreRevision


class Changes(Struct, Generic[Item], frozen=True):
    """The items that changed and the names that were removed, up to a revision of the store."""

    changed: tuple[Item, ...]
    gone: tuple[str, ...]
    revision: StoreRevision


class WatchedCollection(Protocol[Item]):
    """A collection in the store that can be watched; calls raise PlatformError.

    A call that gets no answer is given up after `limit` seconds. An answer that is arriving is
    waited for longer, and `on_arrival` is called whenever part of it arrives.
    """

    async def list(self, limit: float, on_arrival: Callable[[], None]) -> Listing[Item]:
        """Read the whole collection from the store."""

    async def watch(
        self, revision: StoreRevision, wait: float, limit: float, on_arrival: Callable[[], None]
    ) -> Changes[Item]:
        """Wait up to `wait` seconds for changes after a revision, in the era of that revision.

        Raises PlatformVersionGone if the revision is too old or belongs to another era.
        """


DirectorySource = WatchedCollection[DirectoryEntry]
LockSource = WatchedCollection[LockRecord]
QuotaShareSource = WatchedCollection[QuotaShares]
RosterSource = WatchedCollection[Roster]
MemberSource = WatchedCollection[ProxyMember]
ConfigurationSource = WatchedCollection[PromotedConfiguration]


class PromotionLockStore(Protocol):
    """The promotion lock's object in the store."""

    async def read(self) -> LockRecord:
        """The lock's record in the present era, which may not exist; raises PlatformError."""

    async def write(self, record: LockRecord, create: bool) -> LockRecord:
        """Replace the record at `record.revision`, or create it, in the era of that revision.

        Returns the record as written. Raises PlatformConflict if the stored record has changed or
        the era is over, PlatformUncertain if no answer came, and PlatformError if nothing was
        written.
        """


class LeaseConfirmation(Struct, frozen=True):
    """A proxy that may hold a leadership lease, and what it wrote when it last dropped the lease.

    `revision` is the revision of the promotion lock at that time, `first_revision` the one at the
    start of the proxy's process. `acknowledged` is, by group, the position in the primary's log up
    to which the proxy may have acknowledged commits. A proxy that has `left` holds no lease.
    """

    proxy: str
    revision: StoreRevision
    first_revision: StoreRevision = StoreRevision(0)
    acknowledged: Mapping[str, Position] = field(default_factory=dict)
    left: bool = False


class MemberStore(Protocol):
    """The objects in the store that list the proxies; calls raise PlatformError."""

    async def write(self, member: ProxyMember) -> bool:
        """Create or replace a proxy's object. Returns whether it was created."""

    async def remove(self, name: str) -> None:
        """Delete a proxy's object."""


class PeerConnection(Protocol):
    """An open connection to another proxy."""

    @property
    def last_byte_at(self) -> float:
        """When bytes last arrived, also of an incomplete message; monotonic clock, seconds."""

    def send(self, message: PeerMessage) -> None:
        """Send a message; does nothing if the connection is closed."""

    def close(self) -> None:
        """Close at once."""


class PeerConnector(Protocol):
    """Opens connections to other proxies."""

    async def connect(
        self,
        member: ProxyMember,
        on_message: Callable[[PeerMessage], None],
        on_lost: Callable[[str], None],
    ) -> PeerConnection:
        """Open a connection; raises PeerUnavailable. `on_lost` is called with the reason."""


class RosterStore(Protocol):
    """The objects in the store that hold the rosters."""

    async def write(self, roster: Roster, create: bool) -> Roster:
        """Replace the roster at `roster.revision`, or create it. Returns the roster as written.

        Raises as `PromotionLockStore.write`.
        """


class QuotaShareStore(Protocol):
    """The object in the store that names the holders of shares of the tenants' quotas."""

    async def write(self, shares: QuotaShares, create: bool) -> QuotaShares:
        """Replace the object at `shares.revision`, or create it. Returns the object as written.

        Raises as `PromotionLockStore.write`.
        """


class LeaseRegistry(Protocol):
    """The registered proxies that may hold a leadership lease; calls raise PlatformError."""

    async def confirm(self, confirmation: LeaseConfirmation) -> StoreRevision:
        """Register a proxy, or record that it dropped its lease. Returns its object's revision."""

    async def confirmations(self) -> Listing[LeaseConfirmation]:
        """All registered proxies, read from the store."""

    async def leave(self, confirmation: LeaseConfirmation, revision: StoreRevision) -> None:
        """Record that a proxy holds no lease any more, if its object is still at `revision`."""


class PromotionService(Protocol):
    """Promotes an instance to the primary of its group."""

    async def promote(
        self, group: str, instance: str, token: int, seconds: float
    ) -> PromotionAnswer:
        """Send one promotion with a fencing token; the call is given up after `seconds`."""


class ProxyPorts(Struct, frozen=True):
    """The adapters that a proxy is built on, and the store era that they observe."""

    store_era: StoreEra
    connector: InstanceConnector
    directory: DirectorySource
    configuration: ConfigurationSource
    lock_store: PromotionLockStore
    lock_source: LockSource
    leases: LeaseRegistry
    roster_source: RosterSource
    roster_store: RosterStore
    promotions: PromotionService
    quota_share_source: QuotaShareSource
    quota_share_store: QuotaShareStore
    member_source: MemberSource
    member_store: MemberStore
    peers: PeerConnector
