"""A client of the platform's object store, and collections of objects that can be watched.

For: the adapters of this folder (`coordination`, `published`), which decode the objects' content.
Keeps no connection between calls: each call opens its own. Every response carries the store's era;
a response from an era earlier than the latest known one is rejected and neither changes nor
confirms anything. Relies on `http_call`, on `stored_objects` for the encoding and on
`promoted.store_era` for the latest known era. It retries nothing; the caller or
`promoted.core.call_limits` sets the time limit of a call. Failures are raised as errors of
`shared.core.errors`: PlatformConflict, PlatformMissing, PlatformUncertain (the change may have been
applied), PlatformError (the change was not applied).
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from typing import Generic, Protocol, TypeVar
from urllib.parse import quote

import msgspec
from msgspec import Struct

from orchidwind.platform.http_call import HttpCallFailed, HttpRequest, HttpResponse, http_call
from orchidwind.platform.stored_objects import (
    MILLISECONDS,
    ObjectEvents,
    ObjectPage,
    ObjectVersion,
    StoredObject,
    decode,
    encode_object,
    kind_of,
    kind_path,
    object_path,
)
from orchidwind.promoted.core.call_limits import STORE_CALL_SECONDS
from orchidwind.promoted.core.store_revision import FIRST_ERA, StoreRevision
from orchidwind.promoted.ports import Changes, Listing
from orchidwind.promoted.store_era import StoreEra
from orchidwind.shared.core.errors import (
    PlatformConflict,
    PlatformError,
    PlatformMissing,
    PlatformUncertain,
    PlatformVersionGone,
)
from orchidwind.shared.logs import log_event
from orchidwind.shared.silence import (
    ConnectionKind,
    OnSilent,
    SilentConnection,
    log_silent_connection,
)

# HTTP statuses of a write that was applied.
_WRITE_APPLIED = (200, 201)
# The header of each response that holds the store's era: how often the store was restored from an
# older copy. The users' page defines it.
_ERA_HEADER = "Store-Era"

Item = TypeVar("Item")
Translated = TypeVar("Translated", covariant=True)
OnCall = Callable[[str, str], None]
OnArrival = Callable[[], None]


class WrittenObject(Struct, frozen=True):
    """An object as the store holds it after a write, and its revision."""

    stored: StoredObject
    revision: StoreRevision


class StoreResponse(Struct, frozen=True):
    """A response of the store, and the era that the store was in when it sent it."""

    status: int
    body: bytes
    era: int

    def revision_in_era(self, revision: int) -> StoreRevision:
        """`revision` in the era of this response; raises PlatformError if it is out of range."""
        try:
            return StoreRevision.of(self.era, revision)
        except ValueError as error:
            raise PlatformError(str(error)) from error


class ObjectStore:
    """A client of the object store at one address."""

    def __init__(
        self,
        address: tuple[str, int],
        on_call: OnCall,
        on_silent: OnSilent = log_silent_connection,
        era: StoreEra | None = None,
    ) -> None:
        """Record each call and the store's era.

        `on_call` is called with the HTTP method and the kind of object of each call, `on_silent`
        when a call times out on an open connection. `era` keeps the latest era that was seen.
        """
        self.era = era or StoreEra()
        self._address = address
        self._on_call = on_call
        self._on_silent = on_silent

    def _check_era(self, response: HttpResponse) -> StoreResponse | None:
        """The response with its era, or None if that era is over; raises PlatformError."""
        header = response.headers.get(_ERA_HEADER, str(FIRST_ERA))
        try:
            era = StoreRevision.of(int(header), 0).era
        except ValueError as error:
            raise PlatformError(f"invalid {_ERA_HEADER} header: {header!r}") from error
        current = self.era.saw(era, "store")
        return StoreResponse(response.status, response.body, era) if current else None

    def _count_call(self, method: str, path: str) -> None:
        self._on_call(method, kind_of(path))

    def _report_silent(self, method: str, path: str, error: HttpCallFailed, decision: str) -> None:
        """Report a call that timed out on an open connection as a silent connection."""
        if error.silent_for is not None:
            to = f"store/{method}/{kind_of(path)}"
            self._on_silent(
                SilentConnection(
                    ConnectionKind.STORE, to, error.open_for, error.silent_for, 1, decision
                )
            )

    async def read(
        self, path: str, seconds: float, on_arrival: OnArrival | None = None
    ) -> StoreResponse:
        """Send a GET request, which changes nothing; raises PlatformError.

        Statuses 200 and 404 are returned, 410 raises PlatformVersionGone. With `on_arrival`, the
        limit is extended while the body of the response is arriving.
        """
        self._count_call("GET", path)
        request = HttpRequest(self._address, "GET", path)
        try:
            http_response = await http_call(request, seconds, on_arrival)
        except HttpCallFailed as error:
            self._report_silent("GET", path, error, "the next call opens a new connection")
            raise PlatformError(f"no response from the store: {error}") from error
        response = self._check_era(http_response)
        if response is None:
            raise PlatformError("the response is from before the store was restored")
        if response.status == 410:
            raise PlatformVersionGone("the store no longer has the history since that revision")
        if response.status not in (200, 404):
            raise PlatformError(f"unexpected status {response.status} from the store")
        return response

    async def change(self, method: str, path: str, body: bytes) -> StoreResponse:
        """Send a request that changes an object.

        Raises PlatformConflict (with the object that the store holds), PlatformMissing,
        PlatformUncertain (the change may have been applied) or PlatformError (it was not applied).
        """
        self._count_call(method, path)
        try:
            http_response = await http_call(
                HttpRequest(self._address, method, path, body), STORE_CALL_SECONDS
            )
        except HttpCallFailed as error:
            self._report_silent(method, path, error, "the change may have been applied")
            if error.sent:
                raise PlatformUncertain(f"no response from the store: {error}") from error
            raise PlatformError(f"the store cannot be reached: {error}") from error
        response = self._check_era(http_response)
        if response is None:
            raise PlatformUncertain("the response is from before the store was restored")
        if response.status == 409:
            raise PlatformConflict("the object was changed since it was read", held=response.body)
        if response.status == 404:
            raise PlatformMissing("the object does not exist")
        if response.status not in _WRITE_APPLIED:
            raise PlatformError(f"unexpected status {response.status} from the store")
        return response

    async def write(self, version: ObjectVersion, spec: msgspec.Struct) -> WrittenObject:
        """Create an object, or replace it if it is still at `version`; raises as `change`.

        A restored store assigns the same revisions again, so a revision of an earlier era doesn't
        identify the state of an object. Raises PlatformConflict if the store is known to have been
        restored since the object was read, and PlatformUncertain if it was restored during the
        call: the object in the restored copy may have had the same revision.
        """
        if version.revision.era < self.era.current:
            raise PlatformConflict("the store was restored from a copy since the object was read")
        if version.is_new:
            body = encode_object(version.name, spec)
            response = await self.change("POST", kind_path(version.kind), body)
        else:
            body = encode_object(version.name, spec, version.revision)
            response = await self.change("PUT", object_path(version.kind, version.name), body)
        if response.era != version.revision.era:
            raise PlatformUncertain("the store was restored from a copy during the write")
        return _decode_written(response)

    async def overwrite_or_create(
        self, kind: str, name: str, spec: msgspec.Struct
    ) -> WrittenObject:
        """Write an object that is expected to exist, at whatever revision it has.

        Takes one call if the object exists, two if it has to be created; raises as `change`.
        """
        body = encode_object(name, spec)
        try:
            response = await self.change("PUT", object_path(kind, name), body)
        except PlatformMissing:
            response = await self.change("POST", kind_path(kind), body)
        return _decode_written(response)

    async def create_or_overwrite(self, kind: str, name: str, spec: msgspec.Struct) -> bool:
        """Write an object that is expected not to exist; return whether it was created.

        Takes one call if the object is new or already has this content, else two; raises as
        `change`.
        """
        body = encode_object(name, spec)
        try:
            await self.change("POST", kind_path(kind), body)
        except PlatformConflict as conflict:
            if not _has_spec(conflict.held, spec):
                await self.change("PUT", object_path(kind, name), body)
            return False
        return True


def _decode_written(response: StoreResponse) -> WrittenObject:
    written = decode(response.body, StoredObject)
    return WrittenObject(written, response.revision_in_era(written.meta.revision))


def _has_spec(body: bytes, spec: msgspec.Struct) -> bool:
    """Whether the object that the store returned with a conflict has exactly this content."""
    try:
        held = decode(body, StoredObject)
        return decode(held.spec, type(spec)) == spec
    except PlatformError as error:
        log_event("held_object_not_in_answer", reason=error, decision="overwrite the object")
        return False


async def read_all(
    store: ObjectStore, kind: str, limit: float, on_arrival: OnArrival | None = None
) -> Listing[StoredObject]:
    """Read all objects of a kind, page by page; raises PlatformError.

    `limit` is the time limit of each page in seconds. The revision of the listing is the lowest of
    its pages: later changes may or may not be included.
    """
    items: list[StoredObject] = []
    path = kind_path(kind)
    first_revision: StoreRevision | None = None
    while True:
        response = await store.read(path, limit, on_arrival)
        if response.status == 404:
            raise PlatformError(f"the store has no objects of kind {kind!r}")
        page = decode(response.body, ObjectPage)
        revision = response.revision_in_era(page.revision)
        if first_revision is not None and first_revision.era != revision.era:
            raise PlatformError("the store was restored from a copy between two pages")
        first_revision = revision if first_revision is None else min(first_revision, revision)
        items.extend(page.items)
        if not page.has_more or not page.items:
            return Listing(tuple(items), first_revision)
        path = f"{kind_path(kind)}?after={quote(page.items[-1].meta.name)}"


class Translation(Protocol[Translated]):
    """Decodes the stored objects of one kind."""

    kind: str

    def item(self, stored: StoredObject, era: int) -> Translated | None:
        """Decode an object that was read in store era `era`.

        Returns None for an object of the kind that isn't part of the collection. Raises
        PlatformError or ValueError if the object can't be decoded.
        """


class WatchedKind(Generic[Item]):
    """The objects of one kind as a collection that can be listed and watched."""

    def __init__(self, store: ObjectStore, translation: Translation[Item]) -> None:
        self._store = store
        self._translation = translation
        # By name of an object that can't be decoded: the revision for which that was logged.
        self._unreadable: dict[str, int] = {}
        self._path = kind_path(translation.kind)

    async def list(self, limit: float, on_arrival: OnArrival) -> Listing[Item]:
        """Read all objects; raises PlatformError. Those that can't be decoded are left out."""
        listing = await read_all(self._store, self._translation.kind, limit, on_arrival)
        items, _ = self._translate(listing.items, listing.revision.era)
        return Listing(items, listing.revision)

    async def watch(
        self, revision: StoreRevision, wait: float, limit: float, on_arrival: OnArrival
    ) -> Changes[Item]:
        """Wait up to `wait` seconds for changes after a revision; the call ends after `limit`.

        Raises PlatformVersionGone if the collection has to be listed again, else PlatformError.
        """
        if revision.era != self._store.era.current:
            raise PlatformVersionGone("the store was restored from a copy since that revision")
        milliseconds = int(wait * MILLISECONDS)
        path = f"{self._path}?watch={revision.in_era}&wait_ms={milliseconds}"
        response = await self._store.read(path, limit, on_arrival)
        if response.status == 404:
            raise PlatformVersionGone(
                f"the store has no objects of kind {self._translation.kind!r}"
            )
        if response.era != revision.era:
            # The events are those after the same number of the new era, which is another revision.
            raise PlatformVersionGone("the store was restored from a copy during the watch")
        object_events = decode(response.body, ObjectEvents)
        latest = {event.object.meta.name: event for event in object_events.events}
        changed = [event.object for event in latest.values() if not event.gone]
        gone = [name for name, event in latest.items() if event.gone]
        items, unreadable = self._translate(changed, response.era)
        for name in gone:
            self._unreadable.pop(name, None)
        # An object that can no longer be decoded counts as gone: its earlier state is outdated.
        return Changes(
            items, (*gone, *unreadable), response.revision_in_era(object_events.revision)
        )

    def _translate(
        self, objects: Sequence[StoredObject], era: int
    ) -> tuple[tuple[Item, ...], tuple[str, ...]]:
        """Decode objects; return the items and the names of objects that can't be decoded.

        One such object doesn't prevent the others from being used. It is logged once per revision.
        """
        items = []
        unreadable = []
        for stored in objects:
            name = stored.meta.name
            try:
                item = self._translation.item(stored, era)
            except (PlatformError, ValueError) as error:
                unreadable.append(name)
                self._log_unreadable(stored, error)
                continue
            self._unreadable.pop(name, None)
            if item is not None:
                items.append(item)
        return tuple(items), tuple(unreadable)

    def _log_unreadable(self, stored: StoredObject, error: Exception) -> None:
        if self._unreadable.get(stored.meta.name) == stored.meta.revision:
            return
        self._unreadable[stored.meta.name] = stored.meta.revision
        log_event(
            "object_not_as_described",
            level=logging.ERROR,
            kind=self._translation.kind,
            object=stored.meta.name,
            revision=stored.meta.revision,
            reason=error,
        )
