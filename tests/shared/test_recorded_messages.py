"""Compares the bytes of every message between proxies with `recorded_messages.json`.

Guards against a change of the wire format: during a rolling upgrade, proxies of two builds exchange
messages. The file is keyed by the union in the schema, the name of the record and the variant,
because names of Python classes are not sent. For a new message, copy its bytes from the failing
comparison into the file by hand.
"""

import asyncio
import json
from collections.abc import Callable, Iterable, Iterator
from dataclasses import fields as dataclass_fields
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import pytest

from orchidwind.elected.core.member_table import Member, MemberState
from orchidwind.elected.core.membership_messages import Exchange, ProbeAnswer, ProbeRequest
from orchidwind.elected.core.membership_messages import Probe as MembershipProbe
from orchidwind.elected.core.statements import (
    TRANSACTION_FAILED,
    TRANSACTION_IDLE,
    TRANSACTION_OPEN,
    ChannelKey,
    Column,
    Description,
    Floor,
    FloorMode,
    Outcome,
    RequestKind,
    SessionSetting,
    Statement,
    StatementRequest,
)
from orchidwind.elected.network.codec import (
    Cancel,
    ConfigurationReply,
    ConfigurationRequest,
    Credit,
    Done,
    Execute,
    Failed,
    Hello,
    LeaseAsk,
    LeaseReply,
    LinkAlive,
    LinkProbe,
    ResultColumns,
    ResultRows,
    ResultTag,
    StillRunning,
    decode_datagram,
    decode_link,
    encode_datagram,
    encode_frame,
)
from orchidwind.elected.network.codec import CloseChannel as LinkCloseChannel
from orchidwind.elected.network.link_messages import (
    from_answer,
    from_execute,
    from_records,
    to_answer,
    to_execute,
    to_records,
)
from orchidwind.promoted.callers.command_runner import TimeLimits
from orchidwind.promoted.core.commands import Command, CommandKind, PreparedStatement
from orchidwind.promoted.core.configuration import (
    DatabaseRoute,
    DirectoryEntry,
    PromotedGroupSettings,
    ReadConsistency,
)
from orchidwind.promoted.core.flow_parts import CommandContext
from orchidwind.promoted.core.home_choice import HomeRefusal
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.peer_messages import (
    Alive,
    CommandAnswer,
    ConfigurationView,
    DirectoryView,
    Greeting,
    InstanceDemand,
    InstanceLoan,
    LockQuery,
    LockReport,
    MembersView,
    QuotaSharesView,
    RoomGrant,
    RoomQuery,
    RunCommand,
    SettingValue,
    TokenGrant,
    TokenQuery,
    ViewQuery,
    ViewReport,
)
from orchidwind.promoted.core.peer_messages import CloseChannel as PeerCloseChannel
from orchidwind.promoted.core.peer_messages import Probe as PeerProbe
from orchidwind.promoted.core.session import OpenTransaction, Session
from orchidwind.promoted.peers.forwarding import CommandForwarder
from orchidwind.promoted.peers.home_selection import SelectedHome
from orchidwind.promoted.peers.peer_codec import decode_peer, encode_peer
from orchidwind.promoted.views.peer_views import CONFIGURATION, DIRECTORY, MEMBERS
from orchidwind.shared.avro_records import FrameCutter, load_schema, read_record
from orchidwind.shared.core.admission import TrafficClass
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.core.positions import Position
from orchidwind.shared.core.tenants import Tenant

RECORDED: dict[str, dict[str, dict[str, str]]] = json.loads(
    (Path(__file__).parent / "recorded_messages.json").read_text()
)
UNIONS = ("link", "datagram", "peer")
ALL = "all fields"
ABSENT = "optional fields absent"


class Case(NamedTuple):
    """A message and the record of the schema that encodes it."""

    union: str
    record: str
    variant: str
    message: Any

    @property
    def name(self) -> str:
        return f"{self.union}/{self.record}/{self.variant}"


def frame_body(data: bytes) -> bytes:
    """Returns the body of the only frame in the bytes."""
    cutter = FrameCutter()
    cutter.feed(data)
    body = cutter.next_body()
    assert body is not None
    assert cutter.next_body() is None
    return body


def unchanged(data: bytes) -> bytes:
    return data


class Codec(NamedTuple):
    """Functions that encode a message of a union, strip its frame, and decode its body."""

    encode: Callable[[Any], bytes]
    body: Callable[[bytes], bytes]
    decode: Callable[[bytes], Any]


CODECS: dict[str, Codec] = {
    "link": Codec(encode_frame, frame_body, decode_link),
    "datagram": Codec(encode_datagram, unchanged, decode_datagram),
    "peer": Codec(encode_peer, frame_body, decode_peer),
}

# --- the link of proxies for elected groups -------------------------------------------------------

NOW = 1000.0
COLUMNS = (
    Column("station", 25, -1, -1, 16_384, 1),
    Column("größe", 1700, 16, 655_366, 4_294_967_295, 32_767),
)


def request(
    kind: RequestKind = RequestKind.READ, mode: FloorMode = FloorMode.KNOWN
) -> StatementRequest:
    """Returns a request with every field set."""
    return StatementRequest(
        number=300,
        channel=ChannelKey("proxy-a", 70_000),
        database="air",
        kind=kind,
        statement=Statement(
            "select $1, 'é'", True, (23, 4_294_967_295), (b"\x00\xff7", None, b""), (1, 0, 1), 1
        ),
        floor=Floor(mode, Position(9, 1 << 40), "air-b"),
        traffic_class=TrafficClass("ingest", 2.5, 0.75, 64),
        expires_at=NOW + 1.25,
        in_transaction=True,
        request_id="r-1",
        settings=(SessionSetting("search_path", "a, b"), SessionSetting("empty", "")),
    )


def bare_request() -> StatementRequest:
    """Returns a request with only its required fields set."""
    return StatementRequest(
        number=1,
        channel=ChannelKey("proxy-a", 2),
        database="air",
        kind=RequestKind.WRITE,
        statement=Statement("commit"),
        floor=Floor(FloorMode.QUORUM),
        traffic_class=TrafficClass("default"),
        expires_at=NOW,
    )


def failed(kind: ErrorKind) -> Outcome:
    """Returns the outcome of a request that failed with this kind of error."""
    return Outcome(7, RequestError(kind, "it ended"), transaction_status=TRANSACTION_IDLE)


OUTCOMES: dict[str, Outcome] = {
    ALL: Outcome(
        300,
        tag="SELECT 2",
        transaction_status=TRANSACTION_OPEN,
        instance="air-b",
        is_replica=True,
        position=Position(9, 1 << 40),
        description=Description((23, 25), COLUMNS),
    ),
    ABSENT: Outcome(1),
    "empty description": Outcome(2, description=Description()),
    "transaction_status=T": Outcome(3, transaction_status=TRANSACTION_OPEN),
    "transaction_status=E": Outcome(4, transaction_status=TRANSACTION_FAILED),
}
FAILURES: dict[str, Outcome] = {
    ALL: Outcome(
        300,
        RequestError(
            ErrorKind.STATEMENT_FAILED,
            "duplicate key",
            retry_after_milliseconds=1500,
            sqlstate="23505",
            detail="Key (a)=(1) already exists.",
        ),
        transaction_status=TRANSACTION_FAILED,
    ),
    ABSENT: Outcome(1, RequestError(ErrorKind.CANCELLED, "")),
} | {f"kind={kind.value}": failed(kind) for kind in ErrorKind}
REQUESTS: dict[str, StatementRequest] = (
    {ALL: request(), ABSENT: bare_request()}
    | {f"kind={kind.value}": request(kind) for kind in RequestKind}
    | {f"floor_mode={mode.value}": request(mode=mode) for mode in FloorMode}
)
SHORT_ANSWER = Done(
    number=300,
    tag="SELECT 1",
    transaction_status=TRANSACTION_IDLE,
    instance="air-a",
    is_replica=False,
    term=3,
    lsn=4096,
    described=False,
    parameter_types=(),
    columns=to_records(COLUMNS),
    has_rows=True,
    encoded=b"D\x00\x00\x00\x0a\x00\x01\xff\xff\xff\xff",
    count=1,
)


def link_cases() -> Iterator[Case]:
    """Yields the cases of the union `link`."""

    def case(record: str, message: Any, variant: str = ALL) -> Case:
        return Case("link", record, variant, message)

    yield case("Hello", Hello("proxy-a"))
    for variant, item in REQUESTS.items():
        yield case("Execute", to_execute(item, NOW), variant)
    yield case("ResultColumns", ResultColumns(300, to_records(COLUMNS)))
    yield case("ResultColumns", ResultColumns(1, ()), ABSENT)
    yield case("ResultRows", ResultRows(300, b"D\x00\x00\x00\x06\x00\x00", 1))
    yield case("ResultRows", ResultRows(1, b"", 0), ABSENT)
    yield case("ResultTag", ResultTag(300, "INSERT 0 1"))
    for variant, outcome in OUTCOMES.items():
        yield case("Done", to_answer(outcome, outcome.number), variant)
    yield case("Done", SHORT_ANSWER, "short answer")
    for variant, outcome in FAILURES.items():
        yield case("Failed", to_answer(outcome, outcome.number), variant)
    yield case("Credit", Credit(300, 65_536))
    yield case("Cancel", Cancel(70_000))
    yield case("CloseChannel", LinkCloseChannel(70_000))
    yield case("ConfigurationRequest", ConfigurationRequest(41))
    yield case("ConfigurationReply", ConfigurationReply(42, b'{"zones":[]}'))
    yield case("StillRunning", StillRunning(300))
    yield case("LeaseAsk", LeaseAsk("air", 3))
    yield case("LeaseReply", LeaseReply("air", 2, 17, 0.75))
    yield case("LinkProbe", LinkProbe())
    yield case("LinkAlive", LinkAlive())


# --- membership -----------------------------------------------------------------------------------


def member(state: MemberState = MemberState.ALIVE) -> Member:
    """Returns a member with every field set."""
    return Member("proxy-b", "zone-b", "10.0.0.2", 6433, 6434, state, 12, True)


SENDER = Member("proxy-a", "zone-a", "10.0.0.1", 7433, 7434)
UPDATES = tuple(member(state) for state in MemberState)


def datagram_cases() -> Iterator[Case]:
    """Yields the cases of the union `datagram`."""

    def case(record: str, message: Any, variant: str = ALL) -> Case:
        return Case("datagram", record, variant, message)

    yield case("ProbeRecord", MembershipProbe(300, SENDER, "proxy-c", 41, UPDATES))
    yield case("ProbeRecord", MembershipProbe(1, member(), "", 0, ()), ABSENT)
    yield case("ProbeAnswerRecord", ProbeAnswer(300, SENDER, "proxy-b", 41, UPDATES))
    yield case("ProbeAnswerRecord", ProbeAnswer(1, member(), "", 0, ()), ABSENT)
    yield case("ProbeRequestRecord", ProbeRequest(300, SENDER, "proxy-b", 41, UPDATES))
    yield case("ProbeRequestRecord", ProbeRequest(1, member(), "", 0, ()), ABSENT)
    yield case("ExchangeRecord", Exchange(SENDER, True, 41, UPDATES))
    yield case("ExchangeRecord", Exchange(member(), False, 0, ()), ABSENT)
    for state in MemberState:
        message = Exchange(SENDER, False, 41, (member(state),))
        yield case("ExchangeRecord", message, f"state={int(state)}")


# --- the link of proxies for promoted groups ------------------------------------------------------

VIEWS = {"configuration": CONFIGURATION, "directory": DIRECTORY, "members": MEMBERS}
PROGRESS = ("none", "begins", "continues")
PREPARED = PreparedStatement(True, "q2c")
POSITION = Position(3, 1209)


def run_command(
    consistency: ReadConsistency = ReadConsistency.SESSION,
    kind: CommandKind = CommandKind.EXECUTE,
    transaction: str = "begins",
) -> RunCommand:
    """Returns a command with every field set."""
    return RunCommand(
        number=300,
        channel=70_000,
        group="svc1",
        database="air",
        consistency=consistency.value,
        staleness=1.5,
        priority=2,
        timeout=0.75,
        kind=kind.value,
        request_id="a1",
        text="EXECUTE s1 1a4 é",
        argument="1a4 é",
        prepared=PREPARED,
        settings=(SettingValue("k", "v w"), SettingValue("empty", "")),
        floor=POSITION,
        transaction=transaction,
        read_only=True,
        remaining=0.5,
        hold=0.25,
    )


def bare_command() -> RunCommand:
    """Returns a command with only its required fields set."""
    return RunCommand(
        number=1,
        channel=2,
        group="svc1",
        database="air",
        consistency=ReadConsistency.LATEST.value,
        staleness=0.0,
        priority=0,
        timeout=1.0,
        kind=CommandKind.READ.value,
        request_id="",
        text="",
        argument="",
        prepared=None,
        settings=(),
        floor=None,
        transaction="none",
        read_only=False,
        remaining=1.0,
        hold=0.0,
    )


def answer_with(kind: ErrorKind) -> CommandAnswer:
    """Returns the answer to a command that failed with this kind of error."""
    return CommandAnswer(7, kind.value, "it ended", None, (), "", None, "", "")


def database(consistency: ReadConsistency) -> DatabaseRoute:
    """Returns a database with every field set."""
    return DatabaseRoute(f"air-{consistency.value}", "svc1", consistency, 1.5, 0.75, 0.25, 2)


CONFIGURATION_VIEW = ConfigurationView(
    9,
    tuple(database(consistency) for consistency in ReadConsistency),
    (PromotedGroupSettings("svc1", 34, 1),),
    30.5,
)
DIRECTORY_VIEW = DirectoryView(
    (
        DirectoryEntry("i-0", "svc1", "10.0.0.3", 5432, "z1", True, False, 3, 70_000),
        DirectoryEntry("i-1", "svc1", "10.0.0.4", 65_535, "", False, True, 1, 7),
    )
)
MEMBERS_VIEW = MembersView(
    (
        ProxyMember("front-1", "z1", "10.0.0.1", 7400, 0.5),
        ProxyMember("front-2", "z2", "10.0.0.2", 7401),
    )
)


def view_report_cases() -> Iterator[tuple[str, ViewReport]]:
    """Yields reports of each view, with and without items, and a report without a view."""
    yield (
        ALL,
        ViewReport(300, True, 0.25, 9, True, CONFIGURATION_VIEW, DIRECTORY_VIEW, MEMBERS_VIEW),
    )
    yield ABSENT, ViewReport(1, known=False, age=0.0, revision=-1)
    yield "view=configuration", ViewReport(2, True, 0.5, 9, configuration=CONFIGURATION_VIEW)
    yield "view=directory", ViewReport(3, True, 0.5, 9, directory=DIRECTORY_VIEW)
    yield "view=members", ViewReport(4, True, 0.5, 9, members=MEMBERS_VIEW)
    empty = ConfigurationView(0, (), (), 30.0)
    yield (
        "empty views",
        ViewReport(5, True, 0.5, 9, False, empty, DirectoryView(()), MembersView(())),
    )
    for consistency in ReadConsistency:
        encoded_fields = ConfigurationView(9, (database(consistency),), (), 30.0)
        yield (
            f"consistency={consistency.value}",
            ViewReport(6, True, 0.5, 9, configuration=encoded_fields),
        )


def tenant_report_cases() -> Iterator[tuple[str, ViewReport]]:
    """Yields reports of a configuration with tenants, with and without items."""
    tenants = (Tenant("bode960", (b"0123456789abcdef", b"fedcba9876543210"), 98.0, 49.0),)
    encoded_fields = msgspec.structs.replace(
        CONFIGURATION_VIEW, tenants=tenants, public=("open-data",)
    )
    yield ALL, ViewReport(300, True, 0.25, 9, True, encoded_fields)
    bare = ConfigurationView(0, (), (), 0.0, tenants=())
    yield ABSENT, ViewReport(1, known=False, age=0.0, revision=-1, configuration=bare)
    keyless = ConfigurationView(0, (), (), 0.0, tenants=(Tenant("", (), 0.0, 0.0),))
    yield "no keys", ViewReport(2, True, 0.5, 9, configuration=keyless)


def run_command_cases() -> Iterator[tuple[str, RunCommand]]:
    """Yields a command for each consistency, kind and progress of a transaction."""
    yield ALL, run_command()
    yield ABSENT, bare_command()
    for consistency in ReadConsistency:
        yield f"consistency={consistency.value}", run_command(consistency)
    for kind in CommandKind:
        yield f"kind={kind.value}", run_command(kind=kind)
    for progress in PROGRESS:
        yield f"transaction={progress}", run_command(transaction=progress)


def command_answer_cases() -> Iterator[tuple[str, CommandAnswer]]:
    """Yields an answer for each kind of error."""
    yield (
        ALL,
        CommandAnswer(
            300, "overloaded", "full", 120, ("a b", ""), "7.1f3", POSITION, "i-0", "i-0:busy"
        ),
    )
    yield ABSENT, CommandAnswer(1, "", "", None, (), "", None, "", "")
    for kind in ErrorKind:
        yield f"error={kind.value}", answer_with(kind)


def peer_cases() -> Iterator[Case]:
    """Yields the cases of the union `peer`."""

    def case(record: str, message: Any, variant: str = ALL) -> Case:
        return Case("peer", record, variant, message)

    yield case("Greeting", Greeting("front-1"))
    for variant, command in run_command_cases():
        yield case("RunCommand", command, variant)
    for variant, answer in command_answer_cases():
        yield case("CommandAnswer", answer, variant)
    yield case("CloseChannel", PeerCloseChannel(70_000))
    yield case("Probe", PeerProbe())
    yield case("Alive", Alive(leaving=True))
    yield case("Alive", Alive(leaving=False), "not leaving")
    yield case("LockQuery", LockQuery(300))
    yield case("LockReport", LockReport(300, True, 0.25, 70_000, True))
    yield case("LockReport", LockReport(1, False, 0.0, 0, False), ABSENT)
    yield case("ViewQuery", ViewQuery(300, CONFIGURATION, 70_000, True))
    yield case("ViewQuery", ViewQuery(1, DIRECTORY, -1), ABSENT)
    for view, name in VIEWS.items():
        yield case("ViewQuery", ViewQuery(2, name, 9), f"view={view}")
    for variant, report in view_report_cases():
        yield case("ViewReport", report, variant)
    yield case("RunTenantCommand", msgspec.structs.replace(run_command(), tenant="bode960"))
    yield case(
        "RunTenantCommand", msgspec.structs.replace(bare_command(), tenant="bode960"), ABSENT
    )
    for variant, report in tenant_report_cases():
        yield case("TenantViewReport", report, variant)
    yield case("TokenQuery", TokenQuery(300, "bode960", 0.75))
    yield case("TokenGrant", TokenGrant(300, 0.5))
    shares = QuotaSharesView(("front-1", "front-2"), ("front-3",), 70_000)
    yield case("QuotaSharesReport", ViewReport(300, True, 0.25, 9, quota_shares=shares))
    no_holders = QuotaSharesView((), (), 0)
    yield case("QuotaSharesReport", ViewReport(1, False, 0.0, -1, quota_shares=no_holders), ABSENT)
    yield case("RoomQuery", RoomQuery(300, (InstanceDemand("svc1", "i-0", 7.25),)))
    yield case("RoomQuery", RoomQuery(1, ()), ABSENT)
    yield case("RoomGrant", RoomGrant(300, (InstanceLoan("svc1", "i-0", 0.75),)))
    yield case("RoomGrant", RoomGrant(1, ()), ABSENT)


CASES: tuple[Case, ...] = (*link_cases(), *datagram_cases(), *peer_cases())
each_case = pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)


def recorded(case: Case) -> bytes:
    return bytes.fromhex(RECORDED[case.union][case.record][case.variant])


@each_case
def test_a_message_has_the_recorded_bytes(case: Case) -> None:
    encoded = CODECS[case.union].encode(case.message).hex()
    assert encoded == RECORDED.get(case.union, {}).get(case.record, {}).get(case.variant)


@each_case
def test_the_recorded_bytes_are_read_as_the_message(case: Case) -> None:
    codec = CODECS[case.union]
    found = codec.decode(codec.body(recorded(case)))
    assert found == case.message
    assert type(found) is type(case.message)


@each_case
def test_the_recorded_bytes_are_of_the_record_named(case: Case) -> None:
    body = CODECS[case.union].body(recorded(case))
    assert read_record(body, load_schema(case.union))[0] == case.record


def test_the_table_and_the_file_hold_the_same() -> None:
    in_file = {
        f"{union}/{record}/{variant}"
        for union, records in RECORDED.items()
        for record, variants in records.items()
        for variant in variants
    }
    assert len({case.name for case in CASES}) == len(CASES)
    assert {case.name for case in CASES} == in_file


# --- completeness of the table --------------------------------------------------------------------


@pytest.mark.parametrize("union", UNIONS)
def test_each_record_of_the_schema_is_in_the_table(union: str) -> None:
    in_schema = [record["name"] for record in load_schema(union)]
    in_table = {case.record for case in CASES if case.union == union}
    assert set(in_schema) == in_table


Records = dict[str, Any]


def named_records(schema: Any) -> Iterator[tuple[str, Any]]:
    """Yields all records of a schema with their names, including nested records."""
    if isinstance(schema, list):
        for branch in schema:
            yield from named_records(branch)
    elif isinstance(schema, dict) and schema["type"] == "array":
        yield from named_records(schema["items"])
    elif isinstance(schema, dict) and schema["type"] == "record":
        yield schema["name"], schema
        for field in schema["fields"]:
            yield from named_records(field["type"])


def is_array(schema: Any) -> bool:
    return isinstance(schema, dict) and schema["type"] == "array"


def may_be_empty(schema: Any) -> bool:
    """Returns whether a value of this type can be empty or null."""
    return is_array(schema) or (isinstance(schema, list) and "null" in schema)


def required_fills(records: Records) -> set[tuple[str, str, bool]]:
    """Returns the required (record, field, filled) combinations.

    Each field must occur filled, and each field that may be empty must also occur empty.
    """
    return {
        (name, field["name"], filled)
        for name, schema in records.items()
        for field in schema["fields"]
        for filled in ((True, False) if may_be_empty(field["type"]) else (True,))
    }


def found_fills(
    records: Records, name: str, value: dict[str, Any]
) -> Iterator[tuple[str, str, bool]]:
    """Yields (record, field, filled) for a value of a record and the records nested in it."""
    for field in records[name]["fields"]:
        held, schema = value[field["name"]], field["type"]
        yield name, field["name"], bool(held) or not may_be_empty(schema)
        inner = record_name(records, schema)
        if inner is not None:
            for item in held if is_array(schema) else [held]:
                if item is not None:
                    yield from found_fills(records, inner, item)


def record_name(records: Records, schema: Any) -> str | None:
    """Returns the name of the record that a type or its items refer to; None if there is none."""
    if is_array(schema):
        return record_name(records, schema["items"])
    branches = schema if isinstance(schema, list) else [schema]
    for branch in branches:
        name = branch["name"] if isinstance(branch, dict) and "name" in branch else branch
        if isinstance(name, str) and name in records:
            return name
    return None


@pytest.mark.parametrize("union", UNIONS)
def test_each_field_is_recorded_filled_and_absent(union: str) -> None:
    schema = load_schema(union)
    records = dict(named_records(schema))
    found: set[tuple[str, str, bool]] = set()
    for case in CASES:
        if case.union == union:
            name, value = read_record(CODECS[union].body(recorded(case)), schema)
            found.update(found_fills(records, name, without_names(value)))
    assert required_fills(records) - found == set()


def without_names(value: Any) -> Any:
    """Returns a value without the record names that the reader adds to values of a union."""
    if isinstance(value, tuple) and len(value) == 2 and isinstance(value[1], dict):
        return without_names(value[1])
    if isinstance(value, dict):
        return {name: without_names(item) for name, item in value.items()}
    return [without_names(item) for item in value] if isinstance(value, list) else value


# --- requests and outcomes: conversion from messages ----------------------------------------------


def link_message(record: str, variant: str) -> Any:
    """Decodes the recorded bytes of a message of the union `link`."""
    return decode_link(frame_body(bytes.fromhex(RECORDED["link"][record][variant])))


@pytest.mark.parametrize("variant", list(REQUESTS))
def test_a_recorded_request_comes_back(variant: str) -> None:
    message: Execute = link_message("Execute", variant)
    sent = REQUESTS[variant]
    assert from_execute(message, "proxy-a", sent.number, NOW) == sent


@pytest.mark.parametrize("variant", list(OUTCOMES))
def test_a_recorded_outcome_comes_back(variant: str) -> None:
    assert from_answer(link_message("Done", variant)) == OUTCOMES[variant]


@pytest.mark.parametrize("variant", list(FAILURES))
def test_a_recorded_failure_comes_back(variant: str) -> None:
    message: Failed = link_message("Failed", variant)
    found, sent = from_answer(message), FAILURES[variant]
    assert outcome_fields(found) == outcome_fields(sent)
    assert found.error is not None
    assert sent.error is not None
    assert vars(found.error) == vars(sent.error)


def outcome_fields(outcome: Outcome) -> dict[str, Any]:
    """Returns all fields except the error, which compares by identity."""
    names: Iterable[str] = (field.name for field in dataclass_fields(outcome))
    return {name: getattr(outcome, name) for name in names if name != "error"}


def test_recorded_columns_come_back() -> None:
    message: ResultColumns = link_message("ResultColumns", ALL)
    assert from_records(message.columns) == COLUMNS


# --- forwarded commands ---------------------------------------------------------------------------


class HomeLink:
    """A link to a home proxy that records each command and answers it with success."""

    def __init__(self) -> None:
        self.member = ProxyMember("front-2", "z2", "10.0.0.2", 7401)
        self.asked: list[RunCommand] = []

    def next_number(self) -> int:
        return len(self.asked) + 1

    async def ask(self, message: RunCommand) -> CommandAnswer:
        self.asked.append(message)
        return CommandAnswer(message.number, "", "", None, (), "", POSITION, "", "")


class OneHome:
    """Routes every group to the same home proxy."""

    def __init__(self, link: HomeLink) -> None:
        self._link = link

    def first_home(self, context: CommandContext) -> SelectedHome:
        return SelectedHome(self._link.member.name, self._link)  # type: ignore[arg-type]

    def second_home(self, context: CommandContext, refusal: HomeRefusal) -> SelectedHome | None:
        return None

    def own_home(self) -> SelectedHome:
        return SelectedHome("front-1", None)

    def served(self, context: CommandContext, home: str) -> None:
        return None

    def next_channel(self) -> int:
        return 70_000


async def forward(commands: Iterable[Command], in_transaction: bool) -> list[RunCommand]:
    """Returns the messages that a front proxy sends to a home proxy for one session."""
    rules = database(ReadConsistency.BOUNDED)
    session, link = Session(), HomeLink()
    session.settings = {"k": "v w"}
    session.prepared = {"s1": PREPARED}
    if in_transaction:
        session.transaction = OpenTransaction(rules, True)
    forwarder = CommandForwarder(session, OneHome(link))
    loop = asyncio.get_running_loop()
    for command in commands:
        context = CommandContext(session, None, rules, command, loop.time())  # type: ignore[arg-type]
        home = forwarder.select(context)
        await forwarder.run(context, TimeLimits(loop.time() + 5, loop.time() + 5), home)
    return link.asked


def encoded_fields(message: RunCommand) -> dict[str, Any]:
    """Returns the encoded fields of a command, without those that depend on the clock."""
    fields = read_record(frame_body(encode_peer(message)), load_schema("peer"))[1]
    del fields["remaining"], fields["hold"]
    return without_names(fields)


EXECUTE = Command("a1", CommandKind.EXECUTE, "EXECUTE s1 1a4 x", "s1", "1a4 x")
READ = Command("a2", CommandKind.READ, "READ 1a4")
FORWARDED_EXECUTE = {
    "number": 1,
    "channel": 70_000,
    "group": "svc1",
    "database": "air-bounded",
    "consistency": "bounded",
    "staleness": 1.5,
    "priority": 2,
    "timeout": 0.75,
    "kind": "execute",
    "request_id": "a1",
    # Empty: the argument is sent in its place, and no instance gets the text of an EXECUTE.
    "text": "",
    "argument": "1a4 x",
    "prepared": {"writes": True, "shape": "q2c"},
    "settings": [{"name": "k", "value": "v w"}],
    "floor": None,
    "transaction": "none",
    "read_only": False,
}


def test_a_forwarded_command_carries_the_session_state() -> None:
    first, second = asyncio.run(forward((EXECUTE, READ), in_transaction=False))
    assert encoded_fields(first) == FORWARDED_EXECUTE
    assert encoded_fields(second) == FORWARDED_EXECUTE | {
        "number": 2,
        "kind": "read",
        "request_id": "a2",
        "text": "READ 1a4",
        "argument": "",
        "prepared": None,
        "floor": {"term": 3, "lsn": 1209},
    }


def test_forwarded_commands_carry_the_transaction_progress() -> None:
    messages = asyncio.run(forward((READ, READ), in_transaction=True))
    assert [message.transaction for message in messages] == ["begins", "continues"]
    assert [message.read_only for message in messages] == [True, True]
