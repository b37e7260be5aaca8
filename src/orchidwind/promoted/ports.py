"""The ports of a proxy of promoted groups, each with an adapter for a protocol and for tests.

For: `promoted.group`, `peers` and `views`, which call them; `platform` and the simulated worlds,
which fill them in. Owns the contract of each call: what it does, what it raises. No code and no
I/O. Adapters neither repeat a call nor choose how long it may take beyond `core.call_limits`.
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
    """One server connection."""

    async def exchange(self, messages: tuple[InstanceMessage, ...]) -> tuple[Reply, ...]:
        """Send messages and wait for all replies; raises BackendConnectionLost."""

    async def status(self) -> InstanceStatus:
        """Ask for the status; raises BackendConnectionLost, or BackendRefused where busy."""

    async def fence(self, term: int) -> InstanceStatus:
        """Keep the instance from receiving of primaries below `term`; raises as `status`."""

    async def unfence(self) -> InstanceStatus:
        """Let the instance receive again; raises as `status`."""

    async def demote(self, term: int) -> InstanceStatus:
        """Turn a primary of a lower term into a replica; raises as `status`."""

    def close(self) -> None:
        """Close at once; the instance rolls back what is open."""


class InstanceConnector(Protocol):
    """Opens server connections."""

    async def connect(
        self, entry: DirectoryEntry, on_lost: Callable[[], None], tenant: str
    ) -> InstanceLink:
        """Open a connection for a tenant's statements, or the proxy's own where it is empty.

        Raises BackendRefused or BackendConnectionLost.
        """


class Listing(Struct, Generic[Item], frozen=True):
    """All items of a collection, as of a revision."""

    items: tuple[Item, ...]
    revision: StoreRevision


class Changes(Struct, Generic[Item], frozen=True):
    """Items that changed and names that went, up to a revision."""

    changed: tuple[Item, ...]
    gone: tuple[str, ...]
    revision: StoreRevision


class WatchedCollection(Protocol[Item]):
    """A collection in the store that can be followed; calls raise PlatformError.

    `limit` is after how many seconds a call without an answer is given up; one that is arriving is
    waited for longer, and `on_arrival` called as it comes.
    """

    async def list(self, limit: float, on_arrival: Callable[[], None]) -> Listing[Item]:
        """Read all of it, freshly."""

    async def watch(
        self, revision: StoreRevision, wait: float, limit: float, on_arrival: Callable[[], None]
    ) -> Changes[Item]:
        """Wait some seconds for changes after a revision, in its era.

        Raises PlatformVersionGone where the revision is too old, or of another era.
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
        """The record of the present era, which may be absent; raises PlatformError."""

    async def write(self, record: LockRecord, create: bool) -> LockRecord:
        """Write over `record.revision`, or create it, in its era; the record as it is now.

        Raises PlatformConflict where it has changed or its era is over, PlatformUncertain where no
        answer came, and PlatformError where nothing was done.
        """


class LeaseConfirmation(Struct, frozen=True):
    """A proxy that may hold a lead lease, and what it wrote when it last dropped it.

    `revision` is the lock's at that time, `first_revision` the lock's when the process began.
    `acknowledged` is, by group, the end of the primary's log up to which it may have acknowledged
    commits. One that has `left` holds no lease any more.
    """

    proxy: str
    revision: StoreRevision
    first_revision: StoreRevision = StoreRevision(0)
    acknowledged: Mapping[str, Position] = field(default_factory=dict)
    left: bool = False


class MemberStore(Protocol):
    """The proxies' own objects in the store; calls raise PlatformError."""

    async def write(self, member: ProxyMember) -> bool:
        """Write a proxy's object, whether or not it is there; whether it was not there."""

    async def remove(self, name: str) -> None:
        """Delete a proxy's object."""


class PeerConnection(Protocol):
    """An open connection to another proxy."""

    @property
    def last_byte_at(self) -> float:
        """When bytes came last, also of a message that is not whole yet; steady clock, seconds."""

    def send(self, message: PeerMessage) -> None:
        """Send a message; nothing happens where the connection is gone."""

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
        """Open a connection; raises PeerUnavailable. `on_lost` gets the reason."""


class RosterStore(Protocol):
    """The rosters' objects in the store."""

    async def write(self, roster: Roster, create: bool) -> Roster:
        """Write over `roster.revision`, or create it; the roster as it is now.

        Raises as `PromotionLockStore.write`.
        """


class QuotaShareStore(Protocol):
    """The object in the store that names who holds shares of the tenants' quotas."""

    async def write(self, shares: QuotaShares, create: bool) -> QuotaShares:
        """Write over `shares.revision`, or create it; the object as it is now.

        Raises as `PromotionLockStore.write`.
        """


class LeaseRegistry(Protocol):
    """The proxies that may hold a lead lease; calls raise PlatformError."""

    async def confirm(self, confirmation: LeaseConfirmation) -> StoreRevision:
        """Register a proxy, or record that it dropped its lease; the revision of its object."""

    async def confirmations(self) -> Listing[LeaseConfirmation]:
        """All registered proxies, read freshly."""

    async def leave(self, confirmation: LeaseConfirmation, revision: StoreRevision) -> None:
        """A proxy holds no lease any more; written only if its object is at a revision."""


class PromotionService(Protocol):
    """Makes an instance the primary of its group."""

    async def promote(
        self, group: str, instance: str, token: int, seconds: float
    ) -> PromotionAnswer:
        """Send one promotion, broken off after some seconds."""


class ProxyPorts(Struct, frozen=True):
    """The adapters that a proxy is built on, and the store's era as they find it."""

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
