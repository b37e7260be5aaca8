"""The JSON structures of the platform's store (objects, listings, events), and its paths.

For: every module of this folder that reads or writes the store. Owns the field names around an
object's content; the content itself (`spec`) is decoded by the module of its kind. No I/O.

Source: the users' page PROTOCOL.md, "The platform's metadata store".
"""

from __future__ import annotations

from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
from msgspec import Struct

from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.shared.core.errors import PlatformError

# Milliseconds per second.
MILLISECONDS = 1000.0
_OBJECTS = "/orchidwind/objects/"

Form = TypeVar("Form")


class Meta(msgspec.Struct):
    """Metadata of an object. `revision` increases with each write within a store era."""

    name: str
    revision: int = 0


class StoredObject(msgspec.Struct):
    """An object of the store; `spec` is its content, still encoded."""

    meta: Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class ObjectPage(msgspec.Struct):
    """One page of a listing."""

    items: list[StoredObject] = []
    has_more: bool = False
    # The store's revision when the page was read. Despite its key, it isn't a time.
    revision: int = msgspec.field(default=0, name="at")


class ObjectEvent(msgspec.Struct):
    """A change of one object; `gone` is whether it was deleted."""

    object: StoredObject
    gone: bool = False


class ObjectEvents(msgspec.Struct):
    """The response to a watch."""

    events: list[ObjectEvent] = []
    # All changes up to this revision are among the events. Despite its key, it isn't a time.
    revision: int = msgspec.field(default=0, name="at")


class ObjectVersion(Struct, frozen=True):
    """The precondition of a write: the object is new, or still at `revision`."""

    kind: str
    name: str
    revision: StoreRevision
    is_new: bool


def decode(body: bytes, form: type[Form]) -> Form:
    """Decode a body as type `form`; raises PlatformError if it doesn't match."""
    try:
        return msgspec.json.decode(body, type=form)
    except msgspec.DecodeError as error:
        raise PlatformError(f"invalid response of the store: {error}") from error


def encode_object(name: str, spec: msgspec.Struct, revision: StoreRevision | None = None) -> bytes:
    """The body of a write; with `revision`, the store rejects it if the object has changed."""
    # Without finalizers, no other party has to agree before the object is deleted.
    meta: dict[str, Any] = {"name": name, "finalizers": []}
    if revision is not None:
        meta["revision"] = revision.in_era
    return msgspec.json.encode({"meta": meta, "spec": spec})


def kind_path(kind: str) -> str:
    """The path of all objects of a kind."""
    return _OBJECTS + kind


def object_path(kind: str, name: str) -> str:
    """The path of one object."""
    return f"{_OBJECTS}{kind}/{quote(name)}"


def kind_of(path: str) -> str:
    """The kind of object that a path refers to."""
    kind, _, _ = path.removeprefix(_OBJECTS).partition("?")
    return kind.partition("/")[0]
