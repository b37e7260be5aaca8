"""The platform's object store: calls, objects, and kinds of objects that can be followed.

Source: the users' page PROTOCOL.md, "The platform's metadata store".
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Generic, Protocol, TypeVar
from urllib.parse import quote

import msgspec

from orchidwind.platform.http_call import HttpAnswer, HttpCallFailed, HttpRequest, http_call
from orchidwind.promoted.ports import Changes, Listing
from orchidwind.shared.core.errors import (
    PlatformConflict,
    PlatformError,
    PlatformMissing,
    PlatformUncertain,
    PlatformVersionGone,
)
from orchidwind.shared.logs import log_event
from orchidwind.shared.silence import ConnectionKind, OnSilent, SilentConnection, log_silent

# A call that changes or reads one object: the store answers in 4 ms, or in 0.4 s slowed a
# hundredfold.
CALL_SECONDS = 1.5
OBJECTS = "/orchidwind/objects/"
_OK = (200, 201)
MILLISECONDS = 1000.0

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


Spec = TypeVar("Spec")


def decode(body: bytes, form: type[Spec]) -> Spec:
    """What a body holds; raises PlatformError where it is not as described."""
    try:
        return msgspec.json.decode(body, type=form)
    except msgspec.DecodeError as error:
        raise PlatformError(f"an answer of the store is not as described: {error}") from error


OnCall = Callable[[str, str], None]
OnArrival = Callable[[], None]


class ObjectStore:
    """Calls to the store at one address."""

    def __init__(
        self, address: tuple[str, int], on_call: OnCall, on_silent: OnSilent = log_silent
    ) -> None:
        """`on_call` is told the method and the kind of object of each call."""
        self._address = address
        self._on_call = on_call
        self._on_silent = on_silent

    def _note(self, method: str, path: str) -> None:
        self._on_call(method, _kind(path))

    def _note_failed(self, method: str, path: str, error: HttpCallFailed, decision: str) -> None:
        """A call ended without an answer; one whose time passed was on a silent connection."""
        if error.silent_for is not None:
            to = f"store/{method}/{_kind(path)}"
            self._on_silent(
                SilentConnection(
                    ConnectionKind.STORE, to, error.open_for, error.silent_for, 1, decision
                )
            )

    async def read(
        self, path: str, seconds: float, on_arrival: OnArrival | None = None
    ) -> HttpAnswer:
        """A call that changes nothing; raises PlatformError.

        With `on_arrival` an answer that is arriving is waited for longer.
        """
        self._note("GET", path)
        request = HttpRequest(self._address, "GET", path)
        try:
            answer = await http_call(request, seconds, on_arrival)
        except HttpCallFailed as error:
            self._note_failed("GET", path, error, "the next call has a new one")
            raise PlatformError(f"the store does not answer: {error}") from error
        if answer.status == 410:
            raise PlatformVersionGone("the store has dropped its history")
        if answer.status not in (200, 404):
            raise PlatformError(f"the store answers {answer.status}")
        return answer

    async def change(self, method: str, path: str, body: bytes) -> HttpAnswer:
        """A call that changes an object; raises PlatformConflict, -Uncertain, -Error."""
        self._note(method, path)
        try:
            answer = await http_call(HttpRequest(self._address, method, path, body), CALL_SECONDS)
        except HttpCallFailed as error:
            self._note_failed(method, path, error, "it may have been done")
            if error.sent:
                raise PlatformUncertain(f"the store does not answer: {error}") from error
            raise PlatformError(f"the store cannot be reached: {error}") from error
        if answer.status == 409:
            raise PlatformConflict("the object has changed", held=answer.body)
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
        path = OBJECTS + kept.kind
        if kept.create:
            answer = await self.change("POST", path, body)
        else:
            answer = await self.change("PUT", f"{path}/{quote(kept.name)}", body)
        return decode(answer.body, StoredObject)

    async def put_anyway(self, kind: str, name: str, spec: msgspec.Struct) -> StoredObject:
        """Write an object whatever its revision, or create it; raises as `change`."""
        body = msgspec.json.encode({"meta": {"name": name, "finalizers": []}, "spec": spec})
        path = OBJECTS + kind
        try:
            answer = await self.change("PUT", f"{path}/{quote(name)}", body)
        except PlatformMissing:
            answer = await self.change("POST", path, body)
        return decode(answer.body, StoredObject)

    async def create_or_put(self, kind: str, name: str, spec: msgspec.Struct) -> bool:
        """Create an object, or write it where another is there; whether it was created.

        One call where it is new or holds the same already; raises as `change`.
        """
        body = msgspec.json.encode({"meta": {"name": name, "finalizers": []}, "spec": spec})
        path = OBJECTS + kind
        try:
            await self.change("POST", path, body)
        except PlatformConflict as conflict:
            if not _holds(conflict.held, spec):
                await self.change("PUT", f"{path}/{quote(name)}", body)
            return False
        return True


def _kind(path: str) -> str:
    """The kind of object that a path names."""
    kind, _, _ = path.removeprefix(OBJECTS).partition("?")
    return kind.partition("/")[0]


def _holds(body: bytes, spec: msgspec.Struct) -> bool:
    """Whether an object that the store sent back holds just this."""
    try:
        held = decode(body, StoredObject)
        return decode(held.spec, type(spec)) == spec
    except PlatformError as error:
        log_event("held_object_not_in_answer", reason=error, decision="write it")
        return False


@dataclass(frozen=True, slots=True)
class KeptObject:
    """An object of the product's own, to be created, or replaced at a revision."""

    kind: str
    name: str
    revision: int
    create: bool


async def read_all(
    store: ObjectStore, kind_path: str, limit: float, on_arrival: OnArrival | None = None
) -> Listing[StoredObject]:
    """Read all objects of a kind, page by page, each in `limit` seconds; raises PlatformError."""
    items: list[StoredObject] = []
    after = ""
    first_revision = 0
    while True:
        path = f"{kind_path}?after={quote(after)}" if after else kind_path
        answer = await store.read(path, limit, on_arrival)
        if answer.status == 404:
            raise PlatformError("the store does not know the kind")
        page = decode(answer.body, _ObjectList)
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
        self._path = OBJECTS + translation.kind

    async def list(self, limit: float, on_arrival: OnArrival) -> Listing[Item]:
        """Read all objects; raises PlatformError."""
        listing = await read_all(self._store, self._path, limit, on_arrival)
        return Listing(self._items(listing.items), listing.revision)

    async def watch(
        self, revision: int, wait: float, limit: float, on_arrival: OnArrival
    ) -> Changes[Item]:
        """Wait for changes after a revision; raises PlatformVersionGone, PlatformError."""
        milliseconds = int(wait * MILLISECONDS)
        path = f"{self._path}?watch={revision}&wait_ms={milliseconds}"
        answer = await self._store.read(path, limit, on_arrival)
        if answer.status == 404:
            raise PlatformVersionGone("the store does not know the kind")
        events = decode(answer.body, _EventList)
        latest = {event.object.meta.name: event for event in events.events}
        changed = [event.object for event in latest.values() if not event.gone]
        gone = tuple(name for name, event in latest.items() if event.gone)
        return Changes(self._items(changed), gone, events.at)

    def _items(self, objects: Sequence[StoredObject]) -> tuple[Item, ...]:
        found = (self._item(stored) for stored in objects)
        return tuple(item for item in found if item is not None)

    def _item(self, stored: StoredObject) -> Item | None:
        """The item of an object; one that is not as described must not hide the others."""
        try:
            return self._translation.item(stored)
        except (PlatformError, ValueError) as error:
            log_event(
                "object_not_as_described",
                level=logging.ERROR,
                kind=self._translation.kind,
                object=stored.meta.name,
                reason=error,
            )
            return None
