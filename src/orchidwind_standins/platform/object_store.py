"""A stand-in of the users' object store and promotion service: HTTP, objects in memory.

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

# Kinds that operators and instances write; they write again what a return of the store has lost.
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

    def form(self) -> dict[str, Any]:
        """The object as it goes over the wire."""
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
    form: dict[str, Any]
    gone: bool


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What the store held at some time."""

    revision: int
    objects: dict[ObjectKey, _Object]


@dataclass(slots=True)
class StoreState:
    """All objects, the history, and the faults that are on.

    `era`: how often the store has come back from a copy. `on_listed` is called with the kind after
    each page of a listing was sent.
    """

    revision: int = 1
    era: int = 0
    on_listed: Callable[[str], None] = lambda kind: None
    objects: dict[ObjectKey, _Object] = field(default_factory=dict)
    history: deque[_Event] = field(default_factory=lambda: deque(maxlen=_HISTORY_EVENTS))
    forgotten: int = 0
    refuse_with: int = 0
    lose_answers: bool = False
    silent: bool = False
    silences: int = 0
    promotions: list[tuple[str, str, str, int]] = field(default_factory=list)
    on_promotion: OnPromotion = lambda group, instance: True
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def fall_silent(self) -> None:
        """Take calls, answer none; those taken by then or meanwhile are never answered."""
        self.silent = True
        self.silences += 1

    def speak_again(self) -> None:
        """Answer calls that come from now on."""
        self.silent = False

    def put(self, kind: str, name: str, spec: Any) -> _Object:
        """Create or replace an object."""
        self.revision += 1
        held = self.objects.get((kind, name))
        created = held.created if held else self.revision
        item = _Object(name, self.revision, created, spec)
        self.objects[(kind, name)] = item
        self._note(_Event(self.revision, kind, item.form(), gone=False))
        return item

    def remove(self, kind: str, name: str) -> bool:
        """Delete an object; whether it was there."""
        item = self.objects.pop((kind, name), None)
        if item is None:
            return False
        self.revision += 1
        self._note(_Event(self.revision, kind, item.form(), gone=True))
        return True

    def forget_history(self) -> None:
        """Drop the history: older watches get 410."""
        self.history.clear()
        self.forgotten = self.revision
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self) -> StoreCopy:
        """What the store holds now; objects are never changed in place."""
        return StoreCopy(self.revision, dict(self.objects))

    def come_back_from(self, copy: StoreCopy) -> dict[ObjectKey, Any]:
        """Hold what a copy held: later changes are lost, and their revisions given out again.

        Waiting calls are cut. Returns what operators and instances wrote since, for them to write
        again.
        """
        lost = {
            key: held.spec
            for key, held in self.objects.items()
            if key[0] in _PUBLISHED_KINDS and copy.objects.get(key) != held
        }
        self.era += 1
        self.revision = copy.revision
        self.objects = dict(copy.objects)
        kept = [event for event in self.history if event.revision <= copy.revision]
        self.history = deque(kept, maxlen=_HISTORY_EVENTS)
        self.changed.set()
        self.changed = asyncio.Event()
        return lost

    def _note(self, event: _Event) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def events_after(self, kind: str, revision: int) -> list[_Event]:
        """Events of a kind after a revision."""
        return [item for item in self.history if item.revision > revision and item.kind == kind]


class _Handler(tornado.web.RequestHandler):
    state: StoreState

    def initialize(self, state: StoreState) -> None:
        """Take the store."""
        self.state = state

    def prepare(self) -> None:
        """Refuse everything while that fault is on."""
        self._silences_before = self.state.silences
        self._taken_in_silence = self.state.silent
        self._era_before = self.state.era
        if self.state.refuse_with:
            self.set_status(self.state.refuse_with)
            self.set_header(_ERA_HEADER, str(self.state.era))
            self.finish()

    def answer(self, status: int, form: object) -> None:
        """End with a body, or break off where answers are lost, or say nothing at all."""
        if self._taken_in_silence or self._silences_before != self.state.silences:
            self._auto_finish = False
            return
        returned = self._era_before != self.state.era
        if returned or (self.state.lose_answers and self.request.method != "GET"):
            self.detach().close()
            return
        self.set_status(status)
        self.set_header(_ERA_HEADER, str(self.state.era))
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(form))

    def body(self) -> dict[str, Any]:
        """The call's body."""
        form = msgspec.json.decode(self.request.body)
        assert isinstance(form, dict)
        return form


class _KindHandler(_Handler):
    """`/orchidwind/objects/KIND`: list, watch, create."""

    async def get(self, kind: str) -> None:
        """List, or wait for changes."""
        watch = self.get_query_argument("watch", "")
        if watch:
            await self._watch(kind, int(watch))
            return
        after = self.get_query_argument("after", "")
        names = sorted(name for key, name in self.state.objects if key == kind and name > after)
        page = names[:_PAGE_ITEMS]
        items = [self.state.objects[(kind, name)].form() for name in page]
        more = len(names) > len(page)
        self.answer(200, {"items": items, "has_more": more, "at": self.state.revision})
        self.state.on_listed(kind)

    async def _watch(self, kind: str, revision: int) -> None:
        state = self.state
        if not state.forgotten <= revision <= state.revision:
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
            if not state.forgotten <= revision <= state.revision:
                self.answer(410, {})
                return
        # Looked for anew: `at` must not be later than what is told, and something may have been
        # written since the wait has ended.
        events = state.events_after(kind, revision)
        forms = [{"object": event.form, "gone": event.gone} for event in events]
        self.answer(200, {"events": forms, "at": state.revision})

    def post(self, kind: str) -> None:
        """Create an object."""
        form = self.body()
        name = form["meta"]["name"]
        held = self.state.objects.get((kind, name))
        if held is not None:
            self.answer(409, held.form())
            return
        self.answer(201, self.state.put(kind, name, form["spec"]).form())


class _ObjectHandler(_Handler):
    """`/orchidwind/objects/KIND/NAME`: read, replace, delete."""

    def get(self, kind: str, name: str) -> None:
        """Read one object."""
        held = self.state.objects.get((kind, name))
        self.answer(404 if held is None else 200, {} if held is None else held.form())

    def put(self, kind: str, name: str) -> None:
        """Replace one, if the revision named is the object's."""
        form = self.body()
        held = self.state.objects.get((kind, name))
        if held is None:
            self.answer(404, {})
            return
        named = form["meta"].get("revision")
        if named is not None and named != held.revision:
            self.answer(409, held.form())
            return
        self.answer(200, self.state.put(kind, name, form["spec"]).form())

    def delete(self, kind: str, name: str) -> None:
        """Delete one."""
        self.answer(200 if self.state.remove(kind, name) else 404, {})


class _PromotionHandler(_Handler):
    """`POST /promotions`."""

    def post(self) -> None:
        """Take a promotion."""
        form = self.body()
        holder = self.request.headers["Duty-Holder"]
        token = int(self.request.headers["Fencing-Token"])
        self.state.promotions.append((form["service"], form["id"], holder, token))
        taken = self.state.on_promotion(form["service"], form["id"])
        self.answer(200 if taken else 409, {})


def listen(state: StoreState, host: str, port: int) -> HTTPServer:
    """Open the store and the promotion service on one address."""
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
