"""Calls to the platform's object store, and kinds of objects that can be followed.

For: the adapters of this folder (`coordination`, `published`), which know what the objects hold.
Owns nothing between two calls: each has a connection of its own. Each answer names the store's era;
what was said in an earlier one than is known changes nothing and confirms nothing. Relies on
`http_call`, on `stored_objects` for the forms and on `promoted.store_era` for what is known. It
repeats no call; how long one may take is set by its caller or by `promoted.core.call_limits`.
Outcomes are the errors of `shared.core.errors`: PlatformConflict, PlatformMissing,
PlatformUncertain (it may have been done), PlatformError (it was not done).
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from typing import Generic, Protocol, TypeVar
from urllib.parse import quote

import msgspec
from msgspec import Struct

from orchidwind.platform.http_call import HttpAnswer, HttpCallFailed, HttpRequest, http_call
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

# Statuses of a write that took effect.
_WRITTEN = (200, 201)
# The header with which each answer says how often the store has come back from an older copy; the
# users' page sets it.
_ERA_HEADER = "Store-Era"

Item = TypeVar("Item")
Translated = TypeVar("Translated", covariant=True)
OnCall = Callable[[str, str], None]
OnArrival = Callable[[], None]


class WrittenObject(Struct, frozen=True):
    """An object as it was written."""

    stored: StoredObject
    revision: StoreRevision


class StoreAnswer(Struct, frozen=True):
    """An answer of the store, and the era that it was given in."""

    status: int
    body: bytes
    era: int

    def at(self, revision: int) -> StoreRevision:
        """A revision that the answer names; raises PlatformError where there is no such one."""
        try:
            return StoreRevision.of(self.era, revision)
        except ValueError as error:
            raise PlatformError(str(error)) from error


class ObjectStore:
    """Calls to the store at one address."""

    def __init__(
        self,
        address: tuple[str, int],
        on_call: OnCall,
        on_silent: OnSilent = log_silent_connection,
        era: StoreEra | None = None,
    ) -> None:
        """`on_call` gets the method and the kind of object of each call; `era` is told of eras."""
        self.era = era or StoreEra()
        self._address = address
        self._on_call = on_call
        self._on_silent = on_silent

    def _in_era(self, answer: HttpAnswer) -> StoreAnswer | None:
        """An answer with its era, None where it was given in one that is over."""
        named = answer.headers.get(_ERA_HEADER, str(FIRST_ERA))
        try:
            era = StoreRevision.of(int(named), 0).era
        except ValueError as error:
            raise PlatformError(f"the store names no era: {named!r}") from error
        current = self.era.saw(era, "store")
        return StoreAnswer(answer.status, answer.body, era) if current else None

    def _note(self, method: str, path: str) -> None:
        self._on_call(method, kind_of(path))

    def _note_failed(self, method: str, path: str, error: HttpCallFailed, decision: str) -> None:
        """A call ended without an answer; one whose time passed was on a silent connection."""
        if error.silent_for is not None:
            to = f"store/{method}/{kind_of(path)}"
            self._on_silent(
                SilentConnection(
                    ConnectionKind.STORE, to, error.open_for, error.silent_for, 1, decision
                )
            )

    async def read(
        self, path: str, seconds: float, on_arrival: OnArrival | None = None
    ) -> StoreAnswer:
        """A call that changes nothing; raises PlatformError.

        With `on_arrival` an answer that is arriving is waited for longer.
        """
        self._note("GET", path)
        request = HttpRequest(self._address, "GET", path)
        try:
            received = await http_call(request, seconds, on_arrival)
        except HttpCallFailed as error:
            self._note_failed("GET", path, error, "the next call has a new one")
            raise PlatformError(f"the store does not answer: {error}") from error
        answer = self._in_era(received)
        if answer is None:
            raise PlatformError("the answer is from before the store came back")
        if answer.status == 410:
            raise PlatformVersionGone("the store has dropped its history")
        if answer.status not in (200, 404):
            raise PlatformError(f"the store answers {answer.status}")
        return answer

    async def change(self, method: str, path: str, body: bytes) -> StoreAnswer:
        """A call that changes an object; raises PlatformConflict, -Uncertain, -Error."""
        self._note(method, path)
        try:
            received = await http_call(
                HttpRequest(self._address, method, path, body), STORE_CALL_SECONDS
            )
        except HttpCallFailed as error:
            self._note_failed(method, path, error, "it may have been done")
            if error.sent:
                raise PlatformUncertain(f"the store does not answer: {error}") from error
            raise PlatformError(f"the store cannot be reached: {error}") from error
        answer = self._in_era(received)
        if answer is None:
            raise PlatformUncertain("the answer is from before the store came back")
        if answer.status == 409:
            raise PlatformConflict("the object has changed", held=answer.body)
        if answer.status == 404:
            raise PlatformMissing("the object is not there")
        if answer.status not in _WRITTEN:
            raise PlatformError(f"the store answers {answer.status}")
        return answer

    async def write(self, version: ObjectVersion, spec: msgspec.Struct) -> WrittenObject:
        """Create an object, or replace it unless it has changed; raises as `change`.

        Revisions are given out again when the store comes back: one of an earlier era says nothing
        about an object. Raises PlatformConflict where that is known, PlatformUncertain where the
        store came back meanwhile: its copy may have had the revision.
        """
        if version.revision.era < self.era.current:
            raise PlatformConflict("the store came back from a copy since the object was read")
        if version.is_new:
            body = encode_object(version.name, spec)
            answer = await self.change("POST", kind_path(version.kind), body)
        else:
            body = encode_object(version.name, spec, version.revision)
            answer = await self.change("PUT", object_path(version.kind, version.name), body)
        if answer.era != version.revision.era:
            raise PlatformUncertain("the store came back from a copy meanwhile")
        return _written(answer)

    async def overwrite_or_create(
        self, kind: str, name: str, spec: msgspec.Struct
    ) -> WrittenObject:
        """Write an object that is expected to be there, whatever its revision.

        One call where it is there, two where it has to be created; raises as `change`.
        """
        body = encode_object(name, spec)
        try:
            answer = await self.change("PUT", object_path(kind, name), body)
        except PlatformMissing:
            answer = await self.change("POST", kind_path(kind), body)
        return _written(answer)

    async def create_or_overwrite(self, kind: str, name: str, spec: msgspec.Struct) -> bool:
        """Write an object that is expected to be new; whether it was created.

        One call where it is new or holds the same already; raises as `change`.
        """
        body = encode_object(name, spec)
        try:
            await self.change("POST", kind_path(kind), body)
        except PlatformConflict as conflict:
            if not _holds(conflict.held, spec):
                await self.change("PUT", object_path(kind, name), body)
            return False
        return True


def _written(answer: StoreAnswer) -> WrittenObject:
    written = decode(answer.body, StoredObject)
    return WrittenObject(written, answer.at(written.meta.revision))


def _holds(body: bytes, spec: msgspec.Struct) -> bool:
    """Whether an object that the store sent back holds just this."""
    try:
        held = decode(body, StoredObject)
        return decode(held.spec, type(spec)) == spec
    except PlatformError as error:
        log_event("held_object_not_in_answer", reason=error, decision="write it")
        return False


async def read_all(
    store: ObjectStore, kind: str, limit: float, on_arrival: OnArrival | None = None
) -> Listing[StoredObject]:
    """Read all objects of a kind, page by page, each in `limit` seconds; raises PlatformError.

    The listing's revision is that of its first page: what changed later may or may not be in it.
    """
    items: list[StoredObject] = []
    path = kind_path(kind)
    first_revision: StoreRevision | None = None
    while True:
        answer = await store.read(path, limit, on_arrival)
        if answer.status == 404:
            raise PlatformError("the store does not know the kind")
        page = decode(answer.body, ObjectPage)
        at = answer.at(page.revision)
        if first_revision is not None and first_revision.era != at.era:
            raise PlatformError("the store came back from a copy between two pages")
        first_revision = at if first_revision is None else min(first_revision, at)
        items.extend(page.items)
        if not page.has_more or not page.items:
            return Listing(tuple(items), first_revision)
        path = f"{kind_path(kind)}?after={quote(page.items[-1].meta.name)}"


class Translation(Protocol[Translated]):
    """From objects of one kind to the product's items."""

    kind: str

    def item(self, stored: StoredObject, era: int) -> Translated | None:
        """The item of an object, read in an era; None where the object is none."""


class WatchedKind(Generic[Item]):
    """A kind of objects as a collection that can be followed."""

    def __init__(self, store: ObjectStore, translation: Translation[Item]) -> None:
        self._store = store
        self._translation = translation
        # Of objects that could not be read: the revision at which that was logged.
        self._unreadable: dict[str, int] = {}
        self._path = kind_path(translation.kind)

    async def list(self, limit: float, on_arrival: OnArrival) -> Listing[Item]:
        """Read all objects; raises PlatformError."""
        listing = await read_all(self._store, self._translation.kind, limit, on_arrival)
        items, _ = self._translate(listing.items, listing.revision.era)
        return Listing(items, listing.revision)

    async def watch(
        self, revision: StoreRevision, wait: float, limit: float, on_arrival: OnArrival
    ) -> Changes[Item]:
        """Wait for changes after a revision; raises PlatformVersionGone, PlatformError."""
        if revision.era != self._store.era.current:
            raise PlatformVersionGone("the store came back from a copy since that revision")
        milliseconds = int(wait * MILLISECONDS)
        path = f"{self._path}?watch={revision.in_era}&wait_ms={milliseconds}"
        answer = await self._store.read(path, limit, on_arrival)
        if answer.status == 404:
            raise PlatformVersionGone("the store does not know the kind")
        if answer.era != revision.era:
            # It tells what changed after a revision that was given out again.
            raise PlatformVersionGone("the store came back from a copy meanwhile")
        answered = decode(answer.body, ObjectEvents)
        latest = {event.object.meta.name: event for event in answered.events}
        changed = [event.object for event in latest.values() if not event.gone]
        gone = [name for name, event in latest.items() if event.gone]
        items, unreadable = self._translate(changed, answer.era)
        for name in gone:
            self._unreadable.pop(name, None)
        # What can't be read any more is not what was held before.
        return Changes(items, (*gone, *unreadable), answer.at(answered.revision))

    def _translate(
        self, objects: Sequence[StoredObject], era: int
    ) -> tuple[tuple[Item, ...], tuple[str, ...]]:
        """The items of objects, and the names of those that are not as described.

        These must not hide the others; each revision of one is logged once.
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
