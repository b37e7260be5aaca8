"""A stand-in for the users' object store and promotion service: HTTP, objects in memory.

Source: the users' page PROTOCOL.md, "The platform's metadata store" and "Singleton duties".
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import tornado.web
from tornado.httpserver import HTTPServer

_HISTORY_EVENTS = 500
_PAGE_ITEMS = 100

# Kinds written by operators and instances, which write lost objects again after a restore.
_PUBLISHED_KINDS = ("servers", "config")
_ERA_HEADER = "Store-Era"

OnPromotion = Callable[[str, str], bool]
ObjectKey = tuple[str, str]


@dataclass(slots=True)
class _Object:
    name: str
    revision: int
    created: int
    spec: Any

    def document(self) -> dict[str, Any]:
        """The JSON structure of the object on the wire."""
        meta = {
            "name": self.name,
            "revision": self.revision,
            "created": self.created,
            "finalizers": [],
            "deleting": False,
        }
        return {"meta": meta, "spec": self.spec, "status": None}


@dataclass(slots=True)
class _Event:
    revision: int
    kind: str
    document: dict[str, Any]
    gone: bool


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """A copy of the store's content at one time, which it can be restored from."""

    revision: int
    objects: dict[ObjectKey, _Object]


@dataclass(slots=True)
class StoreState:
    """All objects, the history of changes, and the active faults.

    `era` counts how often the store was restored from a copy. `on_listed` is called with the kind
    after each page of a listing was sent. `dropped_revision` is the revision up to which the
    history was dropped. `refuse_with` is the HTTP status of all responses, 0 if calls are served.
    With `lose_answers`, calls other than GET are executed and their connection is closed without an
    answer. `promotions` holds service, instance, holder and fencing token of each promotion, and
    `on_promotion` decides whether it is accepted.
    """

    revision: int = 1
    era: int = 0
    on_listed: Callable[[str], None] = lambda kind: None
    objects: dict[ObjectKey, _Object] = field(default_factory=dict)
    history: deque[_Event] = field(default_factory=lambda: deque(maxlen=_HISTORY_EVENTS))
    dropped_revision: int = 0
    refuse_with: int = 0
    lose_answers: bool = False
    silent: bool = False
    silence_count: int = 0
    promotions: list[tuple[str, str, str, int]] = field(default_factory=list)
    on_promotion: OnPromotion = lambda group, instance: True
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def stop_answering(self) -> None:
        """Accept calls without ever answering them, including those in progress."""
        self.silent = True
        self.silence_count += 1

    def resume_answering(self) -> None:
        """Answer calls that arrive from now on."""
        self.silent = False

    def put(self, kind: str, name: str, spec: Any) -> _Object:
        """Create or replace an object."""
        self.revision += 1
        current = self.objects.get((kind, name))
        created = current.created if current else self.revision
        item = _Object(name, self.revision, created, spec)
        self.objects[(kind, name)] = item
        self._record_event(_Event(self.revision, kind, item.document(), gone=False))
        return item

    def remove(self, kind: str, name: str) -> bool:
        """Delete an object; return whether it existed."""
        item = self.objects.pop((kind, name), None)
        if item is None:
            return False
        self.revision += 1
        self._record_event(_Event(self.revision, kind, item.document(), gone=True))
        return True

    def forget_history(self) -> None:
        """Drop the history: a watch from an earlier revision is answered with 410."""
        self.history.clear()
        self.dropped_revision = self.revision
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self) -> StoreCopy:
        """Copy the current content; a shallow copy, as objects are never changed in place."""
        return StoreCopy(self.revision, dict(self.objects))

    def restore_from(self, copy: StoreCopy) -> dict[ObjectKey, Any]:
        """Restore the store from a copy; later changes are lost and their revisions assigned again.

        Calls in progress are cut off without an answer. Returns the lost objects of operators and
        instances, so that the caller can have them written again.
        """
        lost = {
            key: current.spec
            for key, current in self.objects.items()
            if key[0] in _PUBLISHED_KINDS and copy.objects.get(key) != current
        }
        self.era += 1
        self.revision = copy.revision
        self.objects = dict(copy.objects)
        kept = [event for event in self.history if event.revision <= copy.revision]
        self.history = deque(kept, maxlen=_HISTORY_EVENTS)
        self.changed.set()
        self.changed = asyncio.Event()
        return lost

    def _record_event(self, event: _Event) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def events_after(self, kind: str, revision: int) -> list[_Event]:
        """The changes of objects of a kind after a revision."""
        return [item for item in self.history if item.revision > revision and item.kind == kind]


class _Handler(tornado.web.RequestHandler):
    """Base of all handlers: applies the active faults to a call and its answer."""

    state: StoreState

    def initialize(self, state: StoreState) -> None:
        """Keep the state that the application passes to each handler."""
        self.state = state

    def prepare(self) -> None:
        """Note the state at the start of the call; reject it while `refuse_with` is set."""
        self._silence_count_at_start = self.state.silence_count
        self._received_while_silent = self.state.silent
        self._era_at_start = self.state.era
        if self.state.refuse_with:
            self.set_status(self.state.refuse_with)
            self.set_header(_ERA_HEADER, str(self.state.era))
            self.finish()

    def answer(self, status: int, document: object) -> None:
        """Send the answer, unless a fault closes the connection or keeps it silent."""
        if self._received_while_silent or self._silence_count_at_start != self.state.silence_count:
            self._auto_finish = False
            return
        restored = self._era_at_start != self.state.era
        if restored or (self.state.lose_answers and self.request.method != "GET"):
            self.detach().close()
            return
        self.set_status(status)
        self.set_header(_ERA_HEADER, str(self.state.era))
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(document))

    def body(self) -> dict[str, Any]:
        """Decode the body of the call."""
        document = msgspec.json.decode(self.request.body)
        assert isinstance(document, dict)
        return document


class _KindHandler(_Handler):
    """`/orchidwind/objects/KIND`: list, watch, create."""

    async def get(self, kind: str) -> None:
        """List the objects, or wait for changes if the query has `watch`."""
        watch = self.get_query_argument("watch", "")
        if watch:
            await self._watch(kind, int(watch))
            return
        after = self.get_query_argument("after", "")
        names = sorted(name for key, name in self.state.objects if key == kind and name > after)
        page = names[:_PAGE_ITEMS]
        items = [self.state.objects[(kind, name)].document() for name in page]
        more = len(names) > len(page)
        self.answer(200, {"items": items, "has_more": more, "at": self.state.revision})
        self.state.on_listed(kind)

    async def _watch(self, kind: str, revision: int) -> None:
        state = self.state
        if not state.dropped_revision <= revision <= state.revision:
            self.answer(410, {})
            return
        seconds = int(self.get_query_argument("wait_ms", "1000")) / 1000.0
        deadline = asyncio.get_running_loop().time() + seconds
        while not (events := state.events_after(kind, revision)):
            try:
                async with asyncio.timeout_at(deadline):
                    await state.changed.wait()
            except TimeoutError:
                break
            if not state.dropped_revision <= revision <= state.revision:
                self.answer(410, {})
                return
        # The events are read again together with the revision: a change may have been written after
        # the wait ended, and all changes up to `at` must be among the events.
        events = state.events_after(kind, revision)
        documents = [{"object": event.document, "gone": event.gone} for event in events]
        self.answer(200, {"events": documents, "at": state.revision})

    def post(self, kind: str) -> None:
        """Create an object."""
        document = self.body()
        name = document["meta"]["name"]
        current = self.state.objects.get((kind, name))
        if current is not None:
            self.answer(409, current.document())
            return
        self.answer(201, self.state.put(kind, name, document["spec"]).document())


class _ObjectHandler(_Handler):
    """`/orchidwind/objects/KIND/NAME`: read, replace, delete."""

    def get(self, kind: str, name: str) -> None:
        """Read one object."""
        current = self.state.objects.get((kind, name))
        self.answer(404 if current is None else 200, {} if current is None else current.document())

    def put(self, kind: str, name: str) -> None:
        """Replace an object; 409 if the body names another revision than the object has."""
        document = self.body()
        current = self.state.objects.get((kind, name))
        if current is None:
            self.answer(404, {})
            return
        named = document["meta"].get("revision")
        if named is not None and named != current.revision:
            self.answer(409, current.document())
            return
        self.answer(200, self.state.put(kind, name, document["spec"]).document())

    def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        self.answer(200 if self.state.remove(kind, name) else 404, {})


class _PromotionHandler(_Handler):
    """`POST /promotions`."""

    def post(self) -> None:
        """Record a promotion and pass it to `on_promotion`."""
        document = self.body()
        holder = self.request.headers["Duty-Holder"]
        token = int(self.request.headers["Fencing-Token"])
        self.state.promotions.append((document["service"], document["id"], holder, token))
        accepted = self.state.on_promotion(document["service"], document["id"])
        self.answer(200 if accepted else 409, {})


def listen(state: StoreState, host: str, port: int) -> HTTPServer:
    """Serve the store and the promotion service on one address."""
    arguments = {"state": state}
    application = tornado.web.Application(
        [
            (r"/orchidwind/objects/([^/]+)", _KindHandler, arguments),
            (r"/orchidwind/objects/([^/]+)/([^/]+)", _ObjectHandler, arguments),
            (r"/promotions", _PromotionHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
    return application.listen(port, host)
