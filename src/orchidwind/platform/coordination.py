"""Objects that the proxies write: promotion lock, rosters, leadership leases, quotas, members.

For: the ports `PromotionLockStore`, `RosterStore`, `LeaseRegistry`, `QuotaShareStore`,
`MemberStore` and the watched collections of these kinds. Owns the stored names of kinds, objects
and fields. They must not change: processes of different versions read each other's objects. Relies
on `store` for the calls.

Source: the users' page PROTOCOL.md, "The platform's metadata store".
"""

from __future__ import annotations

import msgspec

from orchidwind.platform.store import ObjectStore, read_all
from orchidwind.platform.stored_objects import (
    ObjectVersion,
    StoredObject,
    decode,
    object_path,
)
from orchidwind.promoted.core.call_limits import STORE_CALL_SECONDS
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.promotion_lock import LockRecord
from orchidwind.promoted.core.quota_shares import QuotaShares
from orchidwind.promoted.core.roster import PromotionRecord, Roster
from orchidwind.promoted.core.store_revision import FIRST_ERA, StoreRevision
from orchidwind.promoted.ports import LeaseConfirmation, Listing
from orchidwind.shared.core.errors import PlatformError
from orchidwind.shared.core.positions import Position

_LOCKS = "promotion-locks"
_LOCK_NAME = "promotions"
_LEASES = "lead-leases"
_ROSTERS = "group-members"
_MEMBERS = "proxies"
_QUOTAS = "tenant-quotas"
_QUOTA_SHARES = "shares"


class _LockSpec(msgspec.Struct):
    holder: str = ""
    attempt: str = ""
    released: bool = True


class _PromotionSpec(msgspec.Struct):
    instance: str
    term: int
    # The end of the new primary's log when it was promoted, where its term begins.
    start_term: int
    start_number: int
    # The fencing token of the promotion: the revision of the promotion lock.
    token: int
    # The previous primary; empty if none was known.
    replaced: str = ""


class _RosterSpec(msgspec.Struct):
    members: list[str] = []
    last_promotion: _PromotionSpec | None = None


class _LogEndSpec(msgspec.Struct):
    term: int
    number: int


class _LeaseSpec(msgspec.Struct):
    # Revisions of the promotion lock: the last one that this proxy saw, and the one at which its
    # process started.
    revision: int = 0
    first_revision: int = 0
    # By group: the highest log position up to which this proxy may have acknowledged commits.
    acknowledged: dict[str, _LogEndSpec] = msgspec.field(default_factory=dict, name="told")
    left: bool = False


class _QuotaSharesSpec(msgspec.Struct):
    holders: list[str] = []
    following: list[str] = []
    # Only written during a change, and only where they are not the defaults. Processes that do not
    # know these fields wait for the end of the change.
    early_passed: bool | msgspec.UnsetType = msgspec.UNSET
    first_revision: int | msgspec.UnsetType = msgspec.UNSET
    late_kept: bool | msgspec.UnsetType = msgspec.UNSET


class _MemberSpec(msgspec.Struct):
    zone: str
    host: str
    port: int
    capacity: float = 1.0


class LockTranslation:
    """Decodes the promotion lock, a collection of one object."""

    kind = _LOCKS

    def item(self, stored: StoredObject, era: int) -> LockRecord | None:
        """The lock's record, or None if the object isn't the lock of that era."""
        if stored.meta.name != _lock_name(era):
            return None
        return _lock_record(stored, StoreRevision.of(era, stored.meta.revision))


class RosterTranslation:
    """Decodes the rosters of the groups."""

    kind = _ROSTERS

    def item(self, stored: StoredObject, era: int) -> Roster | None:
        """The roster of a group."""
        return _roster(stored, StoreRevision.of(era, stored.meta.revision))


def _roster(stored: StoredObject, revision: StoreRevision) -> Roster:
    spec = decode(stored.spec, _RosterSpec)
    last = _promotion(spec.last_promotion)
    return Roster(stored.meta.name, tuple(spec.members), revision, last)


def _promotion(spec: _PromotionSpec | None) -> PromotionRecord | None:
    if spec is None:
        return None
    start = Position(spec.start_term, spec.start_number)
    token = StoreRevision(spec.token)
    return PromotionRecord(spec.instance, spec.term, start, token, spec.replaced)


def _promotion_spec(record: PromotionRecord | None) -> _PromotionSpec | None:
    if record is None:
        return None
    start = record.start
    return _PromotionSpec(
        record.instance, record.term, start.term, start.lsn, int(record.token), record.replaced
    )


class RosterObjects:
    """Writes the rosters: one object for each group."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def write(self, roster: Roster, create: bool) -> Roster:
        """Create or replace a roster and return it with its new revision.

        Raises PlatformConflict, PlatformUncertain or PlatformError.
        """
        version = ObjectVersion(_ROSTERS, roster.group, roster.revision, is_new=create)
        spec = _RosterSpec(list(roster.members), _promotion_spec(roster.last_promotion))
        written = await self._store.write(version, spec)
        return _roster(written.stored, written.revision)


class LeaseObjects:
    """The leadership leases: one object for each proxy that may hold one."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def confirm(self, confirmation: LeaseConfirmation) -> StoreRevision:
        """Create or overwrite the proxy's object; return its revision. Raises PlatformError."""
        spec = _lease_spec(confirmation)
        written = await self._store.overwrite_or_create(_LEASES, confirmation.proxy, spec)
        return written.revision

    async def confirmations(self) -> Listing[LeaseConfirmation]:
        """Read the confirmations of all proxies; raises PlatformError."""
        listing = await read_all(self._store, _LEASES, STORE_CALL_SECONDS)
        return Listing(tuple(_confirmation(item) for item in listing.items), listing.revision)

    async def leave(self, confirmation: LeaseConfirmation, revision: StoreRevision) -> None:
        """Write a confirmation that gives up the lease, if the object is still at `revision`.

        Raises PlatformConflict, PlatformUncertain or PlatformError.
        """
        version = ObjectVersion(_LEASES, confirmation.proxy, revision, is_new=False)
        await self._store.write(version, _lease_spec(confirmation))


def _lease_spec(confirmation: LeaseConfirmation) -> _LeaseSpec:
    ends = {
        group: _LogEndSpec(end.term, end.lsn) for group, end in confirmation.acknowledged.items()
    }
    revision, first = int(confirmation.revision), int(confirmation.first_revision)
    return _LeaseSpec(revision, first, ends, confirmation.left)


def _confirmation(stored: StoredObject) -> LeaseConfirmation:
    spec = decode(stored.spec, _LeaseSpec)
    ends = {group: Position(end.term, end.number) for group, end in spec.acknowledged.items()}
    revision, first = StoreRevision(spec.revision), StoreRevision(spec.first_revision)
    return LeaseConfirmation(stored.meta.name, revision, first, ends, spec.left)


class PromotionLockObject:
    """Reads and writes the promotion lock, which is one object in each era of the store."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def read(self) -> LockRecord:
        """Read the lock of the store's current era; raises PlatformError.

        Returns an absent record if the lock wasn't created in this era yet.
        """
        era = self._store.era.current
        response = await self._store.read(_lock_path(era), STORE_CALL_SECONDS)
        if response.era != era:  # the store entered an era that this proxy didn't know yet
            era = response.era
            response = await self._store.read(_lock_path(era), STORE_CALL_SECONDS)
        if response.era != era:
            raise PlatformError("the store was restored from a copy twice while the lock was read")
        if response.status == 404:
            return LockRecord.absent(era)
        stored = decode(response.body, StoredObject)
        return _lock_record(stored, response.revision_in_era(stored.meta.revision))

    async def write(self, record: LockRecord, create: bool) -> LockRecord:
        """Create or replace the lock and return it with its new revision.

        Raises PlatformConflict, PlatformUncertain or PlatformError.
        """
        spec = _LockSpec(record.holder, record.attempt, record.released)
        name = _lock_name(record.revision.era)
        version = ObjectVersion(_LOCKS, name, record.revision, is_new=create)
        written = await self._store.write(version, spec)
        return _lock_record(written.stored, written.revision)


def _lock_name(era: int) -> str:
    """The name of the lock object of an era; `promotion_lock` says why each era has its own."""
    return _LOCK_NAME if era == FIRST_ERA else f"{_LOCK_NAME}-{era}"


def _lock_path(era: int) -> str:
    return object_path(_LOCKS, _lock_name(era))


def _lock_record(stored: StoredObject, revision: StoreRevision) -> LockRecord:
    spec = decode(stored.spec, _LockSpec)
    return LockRecord(spec.holder, spec.attempt, spec.released, revision)


class QuotaShareTranslation:
    """Decodes the list of proxies that hold shares of the tenants' quotas, a single object."""

    kind = _QUOTAS

    def item(self, stored: StoredObject, era: int) -> QuotaShares | None:
        """The quota shares, or None if the object is another one."""
        if stored.meta.name != _QUOTA_SHARES:
            return None
        return _quota_shares(stored, StoreRevision.of(era, stored.meta.revision))


def _quota_shares(stored: StoredObject, revision: StoreRevision) -> QuotaShares:
    spec = decode(stored.spec, _QuotaSharesSpec)
    return QuotaShares(
        holders=tuple(spec.holders),
        following=tuple(spec.following),
        revision=revision,
        early_passed=spec.early_passed is True,
        first_revision=StoreRevision(spec.first_revision or 0),
        late_kept=spec.late_kept is True,
    )


class QuotaShareObject:
    """Writes the list of proxies that hold quota shares: one object for all tenants."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def write(self, shares: QuotaShares, create: bool) -> QuotaShares:
        """Create or replace the object and return it with its new revision.

        Raises PlatformConflict, PlatformUncertain or PlatformError.
        """
        version = ObjectVersion(_QUOTAS, _QUOTA_SHARES, shares.revision, is_new=create)
        spec = _QuotaSharesSpec(
            holders=list(shares.holders),
            following=list(shares.following),
            early_passed=shares.early_passed or msgspec.UNSET,
            first_revision=int(shares.first_revision) or msgspec.UNSET,
            late_kept=shares.late_kept or msgspec.UNSET,
        )
        written = await self._store.write(version, spec)
        return _quota_shares(written.stored, written.revision)


class MemberTranslation:
    """Decodes the registrations of the proxies."""

    kind = _MEMBERS

    def item(self, stored: StoredObject, era: int) -> ProxyMember | None:
        """The proxy that the object registers."""
        spec = decode(stored.spec, _MemberSpec)
        return ProxyMember(stored.meta.name, spec.zone, spec.host, spec.port, spec.capacity)


class MemberObjects:
    """Writes the registrations of the proxies: one object for each."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def write(self, member: ProxyMember) -> bool:
        """Write a proxy's object; return whether it was created. Raises PlatformError."""
        spec = _MemberSpec(member.zone, member.host, member.port, member.capacity)
        return await self._store.create_or_overwrite(_MEMBERS, member.name, spec)

    async def remove(self, name: str) -> None:
        """Delete a proxy's object; raises PlatformError."""
        await self._store.change("DELETE", object_path(_MEMBERS, name), b"")
