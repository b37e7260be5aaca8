"""The forms in which the platform's store holds and lists objects, and the paths to them.

For: every module of this folder that reads or writes the store. Owns the wire names of the store's
envelope; what an object holds (its `spec`) is decoded by the module that knows its kind. No I/O.

Source: the users' page PROTOCOL.md, "The platform's metadata store".
"""

from __future__ import annotations

from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
from msgspec import Struct

from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.shared.core.errors import PlatformError

# In a second.
MILLISECONDS = 1000.0
_OBJECTS = "/orchidwind/objects/"

Form = TypeVar("Form")


class Meta(msgspec.Struct):
    """What the store keeps of each object. `revision` rises with each write in an era."""

    name: str
    revision: int = 0


class StoredObject(msgspec.Struct):
    """One object; `spec` is its content, not decoded yet."""

    meta: Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class ObjectPage(msgspec.Struct):
    """One page of a listing."""

    items: list[StoredObject] = []
    has_more: bool = False
    # The store's revision when the page was read: `at` is no time.
    revision: int = msgspec.field(default=0, name="at")


class ObjectEvent(msgspec.Struct):
    """A change of one object; with `gone` it was deleted."""

    object: StoredObject
    gone: bool = False


class ObjectEvents(msgspec.Struct):
    """The answer to a watch."""

    events: list[ObjectEvent] = []
    # The revision up to which the events tell all: `at` is no time.
    revision: int = msgspec.field(default=0, name="at")


class ObjectVersion(Struct, frozen=True):
    """An object that is to be written: a new one, or one that has not changed since a revision."""

    kind: str
    name: str
    revision: StoreRevision
    is_new: bool


def decode(body: bytes, form: type[Form]) -> Form:
    """What a body holds; raises PlatformError where it has another form."""
    try:
        return msgspec.json.decode(body, type=form)
    except msgspec.DecodeError as error:
        raise PlatformError(f"an answer of the store has another form: {error}") from error


def encode_object(name: str, spec: msgspec.Struct, revision: StoreRevision | None = None) -> bytes:
    """The body of a write; with `revision` the store refuses it where the object has changed."""
    # An empty list of finalizers: nobody else has to agree before the object can be deleted.
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
    """The kind of object that a path names."""
    kind, _, _ = path.removeprefix(_OBJECTS).partition("?")
    return kind.partition("/")[0]
