"""Compares calls to the platform's store, and the stored objects, with `recorded_store.json`.

Guards against a change of methods, paths or bodies: objects outlive the process that wrote them,
and proxies of other builds read them. Each call goes over a real socket, so that the file holds the
request as the store receives it. Each written body is also read back, by the read calls and by the
watches, and must give the value that it was written from.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import pytest
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.testing import bind_unused_port

from orchidwind.elected.core.configuration import parse_operator_file
from orchidwind.elected.network.object_api_client import (
    ConfigurationObject,
    Metadata,
    ObjectApiClient,
)
from orchidwind.platform.coordination import (
    LeaseObjects,
    LockTranslation,
    MemberObjects,
    MemberTranslation,
    PromotionLockObject,
    QuotaShareObject,
    QuotaShareTranslation,
    RosterObjects,
    RosterTranslation,
)
from orchidwind.platform.promotions import PromotionCall
from orchidwind.platform.published import ConfigurationTranslation, InstanceTranslation
from orchidwind.platform.store import ObjectStore, StoredObject, WatchedKind
from orchidwind.promoted.core.configuration import (
    DatabaseRoute,
    DirectoryEntry,
    PromotedConfiguration,
    PromotedGroupSettings,
    ReadConsistency,
)
from orchidwind.promoted.core.failover_steps import PromotionAnswer
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.promotion_lock import LockRecord
from orchidwind.promoted.core.quota_shares import QuotaShares
from orchidwind.promoted.core.roster import PromotionRecord, Roster
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.ports import Changes, LeaseConfirmation, Listing
from orchidwind.shared.core.positions import Position

RECORDED: dict[str, list[dict[str, Any]]] = json.loads(
    (Path(__file__).parent / "recorded_store.json").read_text()
)
HOST = "127.0.0.1"
SECONDS = 5.0
REVISION = 70_001
OWN_HEADERS = ("Duty-Holder", "Fencing-Token")

Address = tuple[str, int]


class StoreAnswer(NamedTuple):
    """An answer of the store: status and body."""

    status: int
    body: bytes = b"{}"


def object_answer(name: str, spec: bytes, status: int = 200) -> StoreAnswer:
    """Returns an object as the store sends it, including fields that the proxy does not use."""
    meta = b'{"name":%s,"revision":%d,"created":3,"finalizers":[],"deleting":false,"later":{}}' % (
        json.dumps(name).encode(),
        REVISION,
    )
    return StoreAnswer(status, b'{"meta":%s,"spec":%s,"status":null}' % (meta, spec))


def list_answer(*objects: StoreAnswer, more: bool = False) -> StoreAnswer:
    items = b",".join(item.body for item in objects)
    return StoreAnswer(
        200, b'{"items":[%s],"has_more":%s,"at":9}' % (items, json.dumps(more).encode())
    )


class RecordingStore:
    """Records each call; answers with the given answers, then with the object in the call."""

    def __init__(self, answers: tuple[StoreAnswer, ...] = ()) -> None:
        self.calls: list[dict[str, Any]] = []
        self._answers = list(answers)

    def handle(self, request: HTTPServerRequest) -> None:
        """Records a call and answers it."""
        call: dict[str, Any] = {"method": request.method, "uri": request.uri}
        headers = {name: request.headers[name] for name in OWN_HEADERS if name in request.headers}
        if headers:
            call["headers"] = headers
        if request.body:
            call["body"] = request.body.decode()
        self.calls.append(call)
        self._answer(request, self._answers.pop(0) if self._answers else self._echo(request))

    def _echo(self, request: HTTPServerRequest) -> StoreAnswer:
        if b'"meta":' not in request.body:
            return StoreAnswer(200, request.body)
        written = msgspec.json.decode(request.body, type=StoredObject)
        return object_answer(written.meta.name, bytes(written.spec))

    def _answer(self, request: HTTPServerRequest, given: StoreAnswer) -> None:
        assert request.connection is not None
        headers = HTTPHeaders({"Content-Length": str(len(given.body))})
        line = ResponseStartLine("HTTP/1.1", given.status, "told")
        request.connection.write_headers(line, headers, given.body)
        request.connection.finish()


@contextmanager
def listening(store: RecordingStore) -> Iterator[Address]:
    socket, port = bind_unused_port(address=HOST)
    server = HTTPServer(store.handle)
    server.add_socket(socket)
    try:
        yield HOST, port
    finally:
        server.stop()


Act = Callable[[Address], Awaitable[Any]]


def run_recorded(act: Act, *answers: StoreAnswer) -> tuple[list[dict[str, Any]], Any]:
    """Runs `act` against a recording store; returns the recorded calls and the result."""
    store = RecordingStore(answers)

    async def work() -> Any:
        with listening(store) as address:
            async with asyncio.timeout(SECONDS):
                return await act(address)

    result = asyncio.run(work())
    return store.calls, result


def objects(address: Address) -> ObjectStore:
    return ObjectStore(address, lambda method, kind: None)


# --- writes ---------------------------------------------------------------------------------------

LATER = StoreRevision(70_000)
HELD_LOCK = LockRecord("front-1", "front-1/a7", False, LATER)
FREE_LOCK = LockRecord("", "", True, StoreRevision(0))
RELEASED_LOCK = LockRecord("front-é", "a8", True, LATER)
PROMOTION = PromotionRecord("i-1", 4, Position(3, 1209), LATER, "i-0")
FIRST_PROMOTION = PromotionRecord("i-0", 1, Position(0, 0), StoreRevision(7))
NEW_ROSTER = Roster("svc1", (), StoreRevision(0), None)
LISTED_ROSTER = Roster("svc 1/é", ("i-0", "i-1"), LATER, None)
PROMOTED_ROSTER = Roster("svc1", ("i-0", "i-1", "i-2"), LATER, PROMOTION)
FIRST_ROSTER = Roster("svc1", ("i-0",), LATER, FIRST_PROMOTION)
FIRST_SHARES = QuotaShares(("front-1", "front-2"), (), StoreRevision(0))
CHANGING_SHARES = QuotaShares(("front-1",), ("front-2", "front-é"), LATER)
PASSED_SHARES = QuotaShares(("front-1",), ("front-2",), LATER, True, StoreRevision(69_998))
RETURNED_SHARES = QuotaShares(("front-2",), ("front-1",), LATER, late_kept=True)
LEASE = LeaseConfirmation(
    "front-1", LATER, StoreRevision(69_000), {"svc1": Position(3, 1209), "svc2": Position(0, 0)}
)
BARE_LEASE = LeaseConfirmation("front-1", StoreRevision(0))
LEFT_LEASE = LeaseConfirmation(
    "front é", LATER, StoreRevision(69_000), {"svc1": Position(3, 1209)}, True
)
MEMBER = ProxyMember("front-1", "z1", "10.0.0.1", 7400, 0.25)
BARE_MEMBER = ProxyMember("front é", "", "::1", 1)
OPERATORS = parse_operator_file(
    b"""
zones = [{ name = "z1", region = "r1" }, { name = "z2" }]
users = [{ name = "station", password = "one" }]
[[classes]]
name = "ingest"
weight = 2.5
deadline_ms = 750
queue_bound = 64
users = ["station"]
application_names = ["web"]
tags = ["pm"]
[[classes]]
name = "rest"
[[databases]]
name = "air"
slots = 5
instances = [
    { name = "air-a", host = "10.0.0.3", port = 5432, zone = "z1" },
    { name = "air-b", host = "10.0.0.4", port = 5433, zone = "z2", leaving = true },
]
server_user = "server"
server_password = "two"
status_user = "status"
status_password = "three"
zone_slots = { z1 = 3, z2 = 2 }
acknowledge = "confirmed"
replica_wait_ms = 50
[[databases]]
name = "bare"
slots = 1
instances = [{ name = "bare-a", host = "10.0.0.5", port = 5432, zone = "z1" }]
server_user = "server"
server_password = "two"
""",
    "operators.toml",
)


class Write(NamedTuple):
    """A write to the store, its expected result, and the answers to its calls."""

    act: Act
    result: Any
    answers: tuple[StoreAnswer, ...] = ()


def lock_write(record: LockRecord, create: bool) -> Write:
    written = LockRecord(record.holder, record.attempt, record.released, REVISION)
    return Write(lambda at: PromotionLockObject(objects(at)).write(record, create), written)


def roster_write(roster: Roster, create: bool) -> Write:
    written = Roster(roster.group, roster.members, REVISION, roster.last_promotion)
    return Write(lambda at: RosterObjects(objects(at)).write(roster, create), written)


def quota_shares_write(shares: QuotaShares, create: bool) -> Write:
    written = msgspec.structs.replace(shares, revision=REVISION)
    return Write(lambda at: QuotaShareObject(objects(at)).write(shares, create), written)


def lease_write(lease: LeaseConfirmation, *answers: StoreAnswer) -> Write:
    return Write(lambda at: LeaseObjects(objects(at)).confirm(lease), REVISION, answers)


def member_write(member: ProxyMember, created: bool, *answers: StoreAnswer) -> Write:
    return Write(lambda at: MemberObjects(objects(at)).write(member), created, answers)


async def apply_configuration(address: Address) -> Any:
    """Applies the operators' file to the object API; returns the object that is read back."""
    host, port = address
    item = ConfigurationObject(Metadata(resource_version="41"), OPERATORS, "attempt-1")
    return await ObjectApiClient(f"http://{host}:{port}").write(item)


MEMBER_SPEC = b'{"zone":"z1","host":"10.0.0.1","port":7400,"capacity":0.25}'
WRITES: dict[str, Write] = {
    "lock created": lock_write(HELD_LOCK, True),
    "lock taken": lock_write(HELD_LOCK, False),
    "lock released": lock_write(RELEASED_LOCK, False),
    "lock free": lock_write(FREE_LOCK, True),
    "quota shares created": quota_shares_write(FIRST_SHARES, True),
    "quota shares that change": quota_shares_write(CHANGING_SHARES, False),
    "quota shares of which the early part has passed": quota_shares_write(PASSED_SHARES, False),
    "quota shares that return": quota_shares_write(RETURNED_SHARES, False),
    "roster created": roster_write(NEW_ROSTER, True),
    "roster of a name to be quoted": roster_write(LISTED_ROSTER, False),
    "roster with a promotion": roster_write(PROMOTED_ROSTER, False),
    "roster with a promotion that replaces nobody": roster_write(FIRST_ROSTER, False),
    "lease": lease_write(LEASE),
    "lease that is not there": lease_write(BARE_LEASE, StoreAnswer(404)),
    "lease left": Write(lambda at: LeaseObjects(objects(at)).leave(LEFT_LEASE, LATER), None),
    "member created": member_write(MEMBER, True, StoreAnswer(201)),
    "member that is there": member_write(
        MEMBER, False, object_answer("front-1", MEMBER_SPEC, status=409)
    ),
    "member that differs": member_write(
        BARE_MEMBER, False, object_answer("front é", MEMBER_SPEC, status=409)
    ),
    "member removed": Write(lambda at: MemberObjects(objects(at)).remove("front é"), None),
    "promotion": Write(
        lambda at: PromotionCall(at, "front-1").promote("svc1", "i-1", 70_000, 1.0),
        PromotionAnswer.ACCEPTED,
    ),
    "operators' file": Write(
        apply_configuration,
        ConfigurationObject(Metadata(resource_version="41"), OPERATORS, "attempt-1"),
    ),
}


@pytest.mark.parametrize("name", list(WRITES))
def test_a_change_makes_the_recorded_calls(name: str) -> None:
    write = WRITES[name]
    calls, result = run_recorded(write.act, *write.answers)
    assert calls == RECORDED.get(name)
    assert result == write.result


def test_the_tables_and_the_file_hold_the_same() -> None:
    assert set(RECORDED) == set(WRITES) | set(READS)


# --- reads ----------------------------------------------------------------------------------------


def recorded_object(name: str) -> StoreAnswer:
    """Returns the object that the store holds after a recorded write."""
    written = msgspec.json.decode(RECORDED[name][-1]["body"], type=StoredObject)
    return object_answer(written.meta.name, bytes(written.spec))


def stored(answer: StoreAnswer) -> StoredObject:
    return msgspec.json.decode(answer.body, type=StoredObject)


def at_revision(roster: Roster) -> Roster:
    return Roster(roster.group, roster.members, REVISION, roster.last_promotion)


WATCHED: dict[str, tuple[Any, Any]] = {
    "lock created": (LockTranslation(), LockRecord("front-1", "front-1/a7", False, REVISION)),
    "lock released": (LockTranslation(), LockRecord("front-é", "a8", True, REVISION)),
    "roster created": (RosterTranslation(), at_revision(NEW_ROSTER)),
    "roster of a name to be quoted": (RosterTranslation(), at_revision(LISTED_ROSTER)),
    "roster with a promotion": (RosterTranslation(), at_revision(PROMOTED_ROSTER)),
    "roster with a promotion that replaces nobody": (
        RosterTranslation(),
        at_revision(FIRST_ROSTER),
    ),
    "quota shares created": (
        QuotaShareTranslation(),
        QuotaShares(FIRST_SHARES.holders, (), REVISION),
    ),
    "quota shares that change": (
        QuotaShareTranslation(),
        QuotaShares(CHANGING_SHARES.holders, CHANGING_SHARES.following, REVISION),
    ),
    "quota shares of which the early part has passed": (
        QuotaShareTranslation(),
        msgspec.structs.replace(PASSED_SHARES, revision=REVISION),
    ),
    "quota shares that return": (
        QuotaShareTranslation(),
        msgspec.structs.replace(RETURNED_SHARES, revision=REVISION),
    ),
    "member created": (MemberTranslation(), MEMBER),
    "member that differs": (MemberTranslation(), BARE_MEMBER),
}


@pytest.mark.parametrize("name", list(WATCHED))
def test_a_recorded_object_is_read_as_what_was_written(name: str) -> None:
    translation, value = WATCHED[name]
    assert translation.item(stored(recorded_object(name)), era=0) == value


def lease_listing() -> tuple[StoreAnswer, ...]:
    """Returns two pages of recorded leases."""
    return (
        list_answer(recorded_object("lease"), more=True),
        list_answer(recorded_object("lease left")),
    )


def ignore_answer() -> None:
    """Callback for an arriving answer that does nothing."""


def listed(translation: Any) -> Act:
    return lambda at: WatchedKind(objects(at), translation).list(SECONDS, ignore_answer)


def watched(translation: Any) -> Act:
    return lambda at: WatchedKind(objects(at), translation).watch(
        StoreRevision(7), 1.5, SECONDS, ignore_answer
    )


def event_answer(*events: tuple[StoreAnswer, bool]) -> StoreAnswer:
    encoded_events = b",".join(
        b'{"object":%s,"gone":%s}' % (item.body, json.dumps(gone).encode()) for item, gone in events
    )
    return StoreAnswer(200, b'{"events":[%s],"at":11}' % encoded_events)


NO_ITEMS = list_answer()
GONE_MEMBER = object_answer("front-9", MEMBER_SPEC)


class Read(NamedTuple):
    """A read from the store, the answers to its calls, and the expected result."""

    act: Act
    answers: Callable[[], tuple[StoreAnswer, ...]]
    result: Any


def empty_list(translation: Any) -> Read:
    return Read(listed(translation), lambda: (NO_ITEMS,), Listing((), 9))


READS: dict[str, Read] = {
    "read the lock": Read(
        lambda at: PromotionLockObject(objects(at)).read(),
        lambda: (recorded_object("lock taken"),),
        LockRecord("front-1", "front-1/a7", False, REVISION),
    ),
    "read no lock": Read(
        lambda at: PromotionLockObject(objects(at)).read(),
        lambda: (StoreAnswer(404),),
        LockRecord.absent(0),
    ),
    "read the leases": Read(
        lambda at: LeaseObjects(objects(at)).confirmations(),
        lease_listing,
        Listing((LEASE, LEFT_LEASE), 9),
    ),
    "list locks": empty_list(LockTranslation()),
    "list rosters": empty_list(RosterTranslation()),
    "list instances": empty_list(InstanceTranslation()),
    "list configurations": empty_list(ConfigurationTranslation()),
    "list members": Read(
        listed(MemberTranslation()),
        lambda: (list_answer(recorded_object("member created")),),
        Listing((MEMBER,), 9),
    ),
    "watch members": Read(
        watched(MemberTranslation()),
        lambda: (event_answer((recorded_object("member created"), False), (GONE_MEMBER, True)),),
        Changes((MEMBER,), ("front-9",), 11),
    ),
}


@pytest.mark.parametrize("name", list(READS))
def test_a_read_makes_the_recorded_calls(name: str) -> None:
    read = READS[name]
    calls, result = run_recorded(read.act, *read.answers())
    assert calls == RECORDED.get(name)
    assert result == read.result


# --- objects with missing fields, and objects that other programs write ---------------------------

FULL_INSTANCE = (
    b'{"service":"svc1","address":"10.0.0.3:5432","zone":"z1","slots":3,"state":"draining",'
    b'"db_role":"primary","call_seq":1}'
)
FULL_CONFIGURATION = (
    b'{"version":9,"routes":['
    b'{"name":"a","hostname":"latest","service":"svc1","route_type":"primary","timeout_ms":750,'
    b'"target_latency_ms":125,"max_staleness_ms":1500,"priority":2},'
    b'{"hostname":"bounded","service":"svc1","route_type":"bounded_staleness"},'
    b'{"hostname":"own","service":"svc1","route_type":"read_own_writes"},'
    b'{"hostname":"unknown","service":"svc1","route_type":"something"}],'
    b'"services":[{"name":"svc1","max_connections":34,"sync_replicas":2},{"name":"svc2"}],'
    b'"limits":{"tx_idle_ms":60500}}'
)


def default_route(name: str, consistency: ReadConsistency) -> DatabaseRoute:
    """Returns a database route with the default time limits."""
    return DatabaseRoute(name, "svc1", consistency, 1.0, 1.0, 0.25, 0)


CONFIGURATION = PromotedConfiguration(
    9,
    {
        "latest": DatabaseRoute("latest", "svc1", ReadConsistency.LATEST, 1.5, 0.75, 0.125, 2),
        "bounded": default_route("bounded", ReadConsistency.BOUNDED),
        "own": default_route("own", ReadConsistency.SESSION),
        "unknown": default_route("unknown", ReadConsistency.LATEST),
    },
    {"svc1": PromotedGroupSettings("svc1", 34, 2), "svc2": PromotedGroupSettings("svc2", 20, 1)},
    60.5,
)
FOREIGN_OBJECTS: dict[str, tuple[Any, str, bytes, Any]] = {
    "lock without fields": (
        LockTranslation(),
        "promotions",
        b"{}",
        LockRecord("", "", True, REVISION),
    ),
    "roster without fields": (RosterTranslation(), "svc1", b"{}", at_revision(NEW_ROSTER)),
    "roster whose promotion names no replaced instance": (
        RosterTranslation(),
        "svc1",
        b'{"members":["i-0"],"last_promotion":{"instance":"i-0","term":1,"start_term":0,'
        b'"start_number":0,"token":7}}',
        at_revision(FIRST_ROSTER),
    ),
    "member without capacity": (
        MemberTranslation(),
        "front é",
        b'{"zone":"","host":"::1","port":1}',
        BARE_MEMBER,
    ),
    "instance": (
        InstanceTranslation(),
        "i-0",
        FULL_INSTANCE,
        DirectoryEntry("i-0", "svc1", "10.0.0.3", 5432, "z1", True, True, 3, REVISION),
    ),
    "instance that is ready": (
        InstanceTranslation(),
        "i-1",
        b'{"service":"svc1","address":"10.0.0.4:5432","zone":"","slots":1,"state":"ready",'
        b'"db_role":"replica"}',
        DirectoryEntry("i-1", "svc1", "10.0.0.4", 5432, "", False, False, 1, REVISION),
    ),
    "configuration": (ConfigurationTranslation(), "main", FULL_CONFIGURATION, CONFIGURATION),
    "configuration by default": (
        ConfigurationTranslation(),
        "main",
        b'{"version":1}',
        PromotedConfiguration(1, {}, {}, 30.0),
    ),
    "another object of the configuration's kind": (
        ConfigurationTranslation(),
        "other",
        FULL_CONFIGURATION,
        None,
    ),
}


@pytest.mark.parametrize("name", list(FOREIGN_OBJECTS))
def test_an_object_that_another_wrote_is_read(name: str) -> None:
    translation, object_name, spec, value = FOREIGN_OBJECTS[name]
    assert translation.item(stored(object_answer(object_name, spec)), era=0) == value


def test_a_lease_without_fields_is_read() -> None:
    answer = list_answer(object_answer("front-1", b"{}"))
    _, found = run_recorded(lambda at: LeaseObjects(objects(at)).confirmations(), answer)
    assert found == Listing((BARE_LEASE,), 9)
