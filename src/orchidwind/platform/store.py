"""The platform's object store: instances, configuration and the promotion lock, as ports.

Source: the users' page PROTOCOL.md, "The platform's metadata store".
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Generic, Protocol, TypeVar
from urllib.parse import quote

import msgspec

from orchidwind.core.errors import (
    PlatformConflict,
    PlatformError,
    PlatformMissing,
    PlatformUncertain,
    PlatformVersionGone,
)
from orchidwind.core.managed.configuration import (
    DirectoryEntry,
    ManagedConfiguration,
    ManagedDatabase,
    ManagedGroupSettings,
    ReadConsistency,
)
from orchidwind.core.managed.promotion_lock import LockRecord
from orchidwind.core.managed.roster import Roster
from orchidwind.managed.ports import Changes, LeaseConfirmation, Listing
from orchidwind.network.http_call import HttpAnswer, HttpCallFailed, HttpRequest, http_call

CALL_SECONDS = 1.5
LIST_SECONDS = 4.0
WATCH_MILLISECONDS = 8000
_WATCH_EXTRA_SECONDS = 3.0
_OBJECTS = "/orchidwind/objects/"
_INSTANCES = "servers"
_CONFIGURATION = "config"
_CONFIGURATION_NAME = "main"
_LOCKS = "promotion-locks"
_LOCK_NAME = "promotions"
_LEASES = "lead-leases"
_ROSTERS = "group-members"
_OK = (200, 201)
_MILLISECONDS = 1000.0
_DEFAULT_STALENESS_MS = 1000.0
_DEFAULT_TIMEOUT_MS = 1000.0
_DEFAULT_TARGET_MS = 250.0
_DEFAULT_TRANSACTION_IDLE_MS = 30_000.0

Item = TypeVar("Item")
Translated = TypeVar("Translated", covariant=True)


class Meta(msgspec.Struct):
    """What the store keeps of each object."""

    name: str
    revision: int = 0
    deleting: bool = False


class StoredObject(msgspec.Struct):
    """One object."""

    meta: Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _ObjectList(msgspec.Struct):
    items: list[StoredObject] = []
    has_more: bool = False
    at: int = 0


class _Event(msgspec.Struct):
    object: StoredObject
    gone: bool = False


class _EventList(msgspec.Struct):
    events: list[_Event] = []
    at: int = 0


class _InstanceSpec(msgspec.Struct):
    service: str
    address: str
    zone: str = ""
    slots: int = 1
    state: str = "ready"
    db_role: str = "replica"


class _RouteSpec(msgspec.Struct):
    hostname: str
    service: str
    route_type: str = "primary"
    timeout_ms: float | None = None
    target_latency_ms: float | None = None
    max_staleness_ms: float | None = None
    priority: int = 0


class _ServiceSpec(msgspec.Struct):
    name: str
    max_connections: int = 20
    sync_replicas: int = 1


class _LimitsSpec(msgspec.Struct):
    tx_idle_ms: float | None = None


class _ConfigurationSpec(msgspec.Struct):
    version: int
    routes: list[_RouteSpec] = []
    services: list[_ServiceSpec] = []
    limits: _LimitsSpec = msgspec.field(default_factory=_LimitsSpec)


class _LockSpec(msgspec.Struct):
    holder: str = ""
    attempt: str = ""
    released: bool = True


class _RosterSpec(msgspec.Struct):
    members: list[str] = []


class _LeaseSpec(msgspec.Struct):
    revision: int = 0


Spec = TypeVar("Spec")


def _decode(body: bytes, form: type[Spec]) -> Spec:
    try:
        return msgspec.json.decode(body, type=form)
    except msgspec.DecodeError as error:
        raise PlatformError(f"an answer of the store is not as described: {error}") from error


class ObjectStore:
    """Calls to the store at one address."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address

    async def read(self, path: str, seconds: float) -> HttpAnswer:
        """A call that changes nothing; raises PlatformError."""
        try:
            answer = await http_call(HttpRequest(self._address, "GET", path), seconds)
        except HttpCallFailed as error:
            raise PlatformError(f"the store does not answer: {error}") from error
        if answer.status == 410:
            raise PlatformVersionGone("the store has dropped its history")
        if answer.status not in (200, 404):
            raise PlatformError(f"the store answers {answer.status}")
        return answer

    async def change(self, method: str, path: str, body: bytes) -> HttpAnswer:
        """A call that changes an object; raises PlatformConflict, -Uncertain, -Error."""
        try:
            answer = await http_call(HttpRequest(self._address, method, path, body), CALL_SECONDS)
        except HttpCallFailed as error:
            if error.sent:
                raise PlatformUncertain(f"the store does not answer: {error}") from error
            raise PlatformError(f"the store cannot be reached: {error}") from error
        if answer.status == 409:
            raise PlatformConflict("the object has changed")
        if answer.status == 404:
            raise PlatformMissing("the object is not there")
        if answer.status not in _OK:
            raise PlatformError(f"the store answers {answer.status}")
        return answer

    async def keep(self, kept: KeptObject, spec: msgspec.Struct) -> StoredObject:
        """Create or replace an object by compare-and-put; raises as `change`."""
        meta: dict[str, Any] = {"name": kept.name, "finalizers": []}
        if not kept.create:
            meta["revision"] = kept.revision
        body = msgspec.json.encode({"meta": meta, "spec": spec})
        path = _OBJECTS + kept.kind
        if kept.create:
            answer = await self.change("POST", path, body)
        else:
            answer = await self.change("PUT", f"{path}/{quote(kept.name)}", body)
        return _decode(answer.body, StoredObject)


@dataclass(frozen=True, slots=True)
class KeptObject:
    """An object of the product's own, to be created, or replaced at a revision."""

    kind: str
    name: str
    revision: int
    create: bool


async def read_all(store: ObjectStore, kind_path: str) -> Listing[StoredObject]:
    """Read all objects of a kind, page by page; raises PlatformError."""
    items: list[StoredObject] = []
    after = ""
    first_revision = 0
    while True:
        path = f"{kind_path}?after={quote(after)}" if after else kind_path
        answer = await store.read(path, LIST_SECONDS)
        if answer.status == 404:
            raise PlatformError("the store does not know the kind")
        page = _decode(answer.body, _ObjectList)
        first_revision = page.at if not after else min(first_revision, page.at)
        items.extend(page.items)
        if not page.has_more or not page.items:
            return Listing(tuple(items), first_revision)
        after = page.items[-1].meta.name


class Translation(Protocol[Translated]):
    """From objects of one kind to the product's items."""

    kind: str

    def item(self, stored: StoredObject) -> Translated | None:
        """The item of an object; None where the object is none."""


class WatchedKind(Generic[Item]):
    """A kind of objects as a collection that can be followed."""

    def __init__(self, store: ObjectStore, translation: Translation[Item]) -> None:
        self._store = store
        self._translation = translation
        self._path = _OBJECTS + translation.kind

    async def list(self) -> Listing[Item]:
        """Read all objects."""
        listing = await read_all(self._store, self._path)
        return Listing(self._items(listing.items), listing.revision)

    async def watch(self, revision: int) -> Changes[Item]:
        """Wait for changes after a revision."""
        path = f"{self._path}?watch={revision}&wait_ms={WATCH_MILLISECONDS}"
        seconds = WATCH_MILLISECONDS / _MILLISECONDS + _WATCH_EXTRA_SECONDS
        answer = await self._store.read(path, seconds)
        if answer.status == 404:
            raise PlatformVersionGone("the store does not know the kind")
        events = _decode(answer.body, _EventList)
        latest = {event.object.meta.name: event for event in events.events}
        changed = [event.object for event in latest.values() if not event.gone]
        gone = tuple(name for name, event in latest.items() if event.gone)
        return Changes(self._items(changed), gone, events.at)

    def _items(self, objects: Sequence[StoredObject]) -> tuple[Item, ...]:
        found = (self._translation.item(stored) for stored in objects)
        return tuple(item for item in found if item is not None)


class InstanceTranslation:
    """Entries that the instances write of themselves."""

    kind = _INSTANCES

    def item(self, stored: StoredObject) -> DirectoryEntry | None:
        """The entry of an instance."""
        spec = _decode(stored.spec, _InstanceSpec)
        host, _, port = spec.address.rpartition(":")
        return DirectoryEntry(
            instance=stored.meta.name,
            group=spec.service,
            host=host,
            port=int(port),
            zone=spec.zone,
            claims_primary=spec.db_role == "primary",
            draining=spec.state == "draining",
            slots=spec.slots,
            revision=stored.meta.revision,
        )


_CONSISTENCY = {
    "primary": ReadConsistency.LATEST,
    "bounded_staleness": ReadConsistency.BOUNDED,
    "read_own_writes": ReadConsistency.SESSION,
}


class ConfigurationTranslation:
    """The operators' configuration."""

    kind = _CONFIGURATION

    def item(self, stored: StoredObject) -> ManagedConfiguration | None:
        """The configuration, if this is the object that holds it."""
        if stored.meta.name != _CONFIGURATION_NAME:
            return None
        spec = _decode(stored.spec, _ConfigurationSpec)
        databases = {route.hostname: _database(route) for route in spec.routes}
        groups = {
            item.name: ManagedGroupSettings(item.name, item.max_connections, item.sync_replicas)
            for item in spec.services
        }
        idle = _given(spec.limits.tx_idle_ms, _DEFAULT_TRANSACTION_IDLE_MS) / _MILLISECONDS
        return ManagedConfiguration(spec.version, databases, groups, idle)


def _given(value: float | None, default: float) -> float:
    return default if value is None else value


def _database(route: _RouteSpec) -> ManagedDatabase:
    return ManagedDatabase(
        name=route.hostname,
        group=route.service,
        consistency=_CONSISTENCY.get(route.route_type, ReadConsistency.LATEST),
        staleness=_given(route.max_staleness_ms, _DEFAULT_STALENESS_MS) / _MILLISECONDS,
        statement_timeout=_given(route.timeout_ms, _DEFAULT_TIMEOUT_MS) / _MILLISECONDS,
        target_latency=_given(route.target_latency_ms, _DEFAULT_TARGET_MS) / _MILLISECONDS,
        priority=route.priority,
    )


class LockTranslation:
    """The promotion lock, as a collection of one."""

    kind = _LOCKS

    def item(self, stored: StoredObject) -> LockRecord | None:
        """The lock's record."""
        return _record(stored)


class RosterTranslation:
    """The rosters of the groups."""

    kind = _ROSTERS

    def item(self, stored: StoredObject) -> Roster | None:
        """The roster of a group."""
        return _roster(stored)


def _roster(stored: StoredObject) -> Roster:
    members = _decode(stored.spec, _RosterSpec).members
    return Roster(stored.meta.name, tuple(members), stored.meta.revision)


class RosterObjects:
    """One object for each group."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def write(self, roster: Roster, create: bool) -> Roster:
        """Create or replace one; raises PlatformConflict, -Uncertain, -Error."""
        kept = KeptObject(_ROSTERS, roster.group, roster.revision, create)
        return _roster(await self._store.keep(kept, _RosterSpec(list(roster.members))))


class LeaseObjects:
    """One object for each proxy that may hold a lead lease."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._path = _OBJECTS + _LEASES

    async def confirm(self, node: str, revision: int) -> None:
        """Write the proxy's object, whether or not it is there; raises PlatformError."""
        content = {"meta": {"name": node, "finalizers": []}, "spec": _LeaseSpec(revision)}
        body = msgspec.json.encode(content)
        try:
            await self._store.change("PUT", f"{self._path}/{quote(node)}", body)
        except PlatformMissing:
            await self._store.change("POST", self._path, body)

    async def confirmations(self) -> tuple[LeaseConfirmation, ...]:
        """All objects; raises PlatformError."""
        listing = await read_all(self._store, self._path)
        return tuple(
            LeaseConfirmation(item.meta.name, _decode(item.spec, _LeaseSpec).revision)
            for item in listing.items
        )

    async def remove(self, node: str) -> None:
        """Delete the proxy's object; raises PlatformError."""
        await self._store.change("DELETE", f"{self._path}/{quote(node)}", b"")


class PromotionLockObject:
    """The promotion lock as an object of the store."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._path = f"{_OBJECTS}{_LOCKS}/{_LOCK_NAME}"

    async def read(self) -> LockRecord | None:
        """The record; raises PlatformError."""
        answer = await self._store.read(self._path, CALL_SECONDS)
        return None if answer.status == 404 else _lock_record(answer.body)

    async def write(self, record: LockRecord, create: bool) -> LockRecord:
        """Create or replace it; raises PlatformConflict, -Uncertain, -Error."""
        spec = _LockSpec(record.holder, record.attempt, record.released)
        kept = KeptObject(_LOCKS, _LOCK_NAME, record.revision, create)
        return _record(await self._store.keep(kept, spec))


def _lock_record(body: bytes) -> LockRecord:
    return _record(_decode(body, StoredObject))


def _record(stored: StoredObject) -> LockRecord:
    spec = _decode(stored.spec, _LockSpec)
    return LockRecord(spec.holder, spec.attempt, spec.released, stored.meta.revision)
