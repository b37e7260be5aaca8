"""Encoding and decoding of the line protocol: all messages, fragments, limits, invalid input."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidwind.platform import caller_lines, instance_lines, line_format
from orchidwind.promoted.core.commands import (
    Command,
    CommandKind,
    CommandResult,
    InstanceMessage,
    InstanceRole,
    InstanceStatus,
    MessageKind,
    PreparedStatement,
    ReplyCode,
    TransactionState,
)
from orchidwind.shared.core.errors import ANSWERS, ErrorKind, Ran, RequestError
from orchidwind.shared.core.positions import Position
from orchidwind.shared.core.tenants import key_digest

PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANYCON"}
NO_PROMISES = {"INDOUBT", "TIMEOUT", "FAILED"}


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("STARTUP lepu270 u3f1", caller_lines.Startup("lepu270", key_digest("u3f1"))),
        ("TERMINATE", caller_lines.Terminate()),
        ("QUERY a1 BEGIN", Command("a1", CommandKind.BEGIN, "BEGIN")),
        ("QUERY a1 BEGIN READ", Command("a1", CommandKind.BEGIN_READ_ONLY, "BEGIN READ")),
        ("QUERY a1 COMMIT", Command("a1", CommandKind.COMMIT, "COMMIT")),
        ("QUERY a1 ROLLBACK", Command("a1", CommandKind.ROLLBACK, "ROLLBACK")),
        ("QUERY a1 READ 1a4", Command("a1", CommandKind.READ, "READ 1a4")),
        ("QUERY a1 WRITE 1a4 x y", Command("a1", CommandKind.WRITE, "WRITE 1a4 x y")),
        ("QUERY a1 SET k v w", Command("a1", CommandKind.SET, "SET k v w", "k", "v w")),
        (
            "QUERY a1 PREPARE s1 WRITE q2c",
            Command(
                "a1", CommandKind.PREPARE, "PREPARE s1 WRITE q2c", "s1", writes=True, shape="q2c"
            ),
        ),
        (
            "QUERY a1 EXECUTE s1 1a4 data",
            Command("a1", CommandKind.EXECUTE, "EXECUTE s1 1a4 data", "s1", "1a4 data"),
        ),
        ("QUERY a1 DEALLOC s1", Command("a1", CommandKind.DEALLOCATE, "DEALLOC s1", "s1")),
        ("QUERY a1 AFTER 3.1 READ x", Command("a1", CommandKind.UNKNOWN, "AFTER 3.1 READ x")),
        ("QUERY a1 PREPARE s1 MAYBE q", Command("a1", CommandKind.UNKNOWN, "PREPARE s1 MAYBE q")),
        ("QUERY a1 WRITE 1a4", Command("a1", CommandKind.UNKNOWN, "WRITE 1a4")),
        ("QUERY a1 STATUS", Command("a1", CommandKind.UNKNOWN, "STATUS")),
    ],
)
def test_caller_messages_are_decoded(line, message):
    assert caller_lines.parse_caller_line(line) == message


@pytest.mark.parametrize("line", ["", "HELLO", "QUERY", "QUERY a1", "STARTUP db", "TERMINATE now"])
def test_invalid_caller_message_raises(line):
    with pytest.raises(line_format.WireError):
        caller_lines.parse_caller_line(line)


def test_messages_to_instances():
    prepared = PreparedStatement(True, "q2c")
    messages = [
        InstanceMessage(MessageKind.STATEMENT, "a1", "READ 1a4", floor=Position(3, 1207)),
        InstanceMessage(MessageKind.BEGIN),
        InstanceMessage(MessageKind.BEGIN_READ_ONLY, floor=Position(3, 7)),
        InstanceMessage(MessageKind.ROLLBACK),
        InstanceMessage(MessageKind.RESET),
        InstanceMessage(MessageKind.SET, name="k", text="v w"),
        InstanceMessage(MessageKind.PREPARE, name="w_q2c", prepared=prepared),
        InstanceMessage(MessageKind.EXECUTE, "a1", "1a4 x", "w_q2c", prepared),
    ]
    assert [instance_lines.message_line(message) for message in messages] == [
        b"QUERY a1 AFTER 3.1207 READ 1a4\r\n",
        b"QUERY - BEGIN\r\n",
        b"QUERY - AFTER 3.7 BEGIN READ\r\n",
        b"QUERY - ROLLBACK\r\n",
        b"QUERY - RESET\r\n",
        b"QUERY - SET k v w\r\n",
        b"QUERY - PREPARE w_q2c WRITE q2c\r\n",
        b"QUERY a1 EXECUTE w_q2c 1a4 x\r\n",
    ]
    own = instance_lines.startup_line("huvo11a", "", "i-7")
    assert own == b"STARTUP huvo11a orchidwind i-7\r\n"
    of_tenant = instance_lines.startup_line("huvo11a", "bode960", "i-7")
    assert of_tenant == b"STARTUP huvo11a bode960 i-7\r\n"


@pytest.mark.parametrize(
    ("code", "expected"),
    [
        ("BUSY", ReplyCode.BUSY),
        ("LAGGING", ReplyCode.BEHIND),
        ("READONLY", ReplyCode.READ_ONLY),
        ("NOSTMT", ReplyCode.UNKNOWN_STATEMENT),
        ("FAILED", ReplyCode.FAILED),
        ("TIMEOUT", ReplyCode.TIMED_OUT),
        ("SOMETHING", ReplyCode.REFUSED),
    ],
)
def test_replies_of_instances(code, expected):
    reader = instance_lines.ReplyReader()
    assert reader.feed_line("DATAROW a b") is None
    assert reader.feed_line(f"ERROR {code} i-7") is None
    reply = reader.feed_line("READY E 3.1209")
    assert (reply.code, reply.state, reply.position) == (
        expected,
        TransactionState.FAILED,
        Position(3, 1209),
    )
    assert reader.feed_line("COMPLETE 7.1f3") is None
    done = reader.feed_line("READY I -")
    assert (done.code, done.signature, done.rows, done.position) == (
        ReplyCode.DONE,
        "7.1f3",
        (),
        None,
    )


@pytest.mark.parametrize("line", ["HELLO", "READY X 1.1", "READY I 1", "READY I a.b"])
def test_invalid_reply_line_raises(line):
    with pytest.raises(line_format.WireError):
        instance_lines.ReplyReader().feed_line(line)


def test_status_of_an_instance():
    status = instance_lines.parse_status("i-7", "replica 3 3.1209 4 12 2 17")
    assert status == InstanceStatus("i-7", InstanceRole.REPLICA, 3, Position(3, 1209), 4, 12)
    for row in ("", "replica 3", "queen 3 3.1 0 1 2 3", "replica x 3.1 0 1 2 3"):
        with pytest.raises(line_format.WireError):
            instance_lines.parse_status("i-7", row)


def test_answers_to_callers():
    result = CommandResult(("a b", "c"), "7.1f3")
    assert caller_lines.result_lines(result) == b"DATAROW a b\r\nDATAROW c\r\nCOMPLETE 7.1f3\r\n"
    assert caller_lines.result_lines(CommandResult()) == b"COMPLETE -\r\n"
    assert caller_lines.ready_line(TransactionState.OPEN) == b"READY T -\r\n"
    refusal = RequestError(ErrorKind.OVERLOADED, "full", retry_after_milliseconds=120)
    assert caller_lines.error_line(refusal) == b"ERROR BUSY overloaded retry_after_ms=120\r\n"


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_a_promise_is_only_made_where_nothing_ran(kind):
    code = caller_lines.error_line(RequestError(kind, "x")).split(b" ")[1].strip().decode()
    if code in PROMISES:
        assert ANSWERS[kind].ran is Ran.NO
    if ANSWERS[kind].ran is Ran.UNKNOWN:
        assert code in NO_PROMISES


lines_of_text = st.lists(
    st.text(st.characters(codec="latin-1", exclude_characters="\r\n"), min_size=0, max_size=40),
    max_size=12,
)


@given(lines_of_text, st.lists(st.integers(1, 30), max_size=40))
def test_fragments_make_the_same_lines(lines, cuts):
    data = "".join(f"{line}\r\n" for line in lines).encode("latin-1")
    reader = line_format.LineReader()
    found = []
    position = 0
    for size in [*cuts, len(data)]:
        reader.feed(data[position : position + size])
        position += size
        while (line := reader.next_line()) is not None:
            found.append(line)
    assert found == lines


@given(st.binary(max_size=400))
def test_any_bytes_end_in_messages_or_an_error(data):
    reader = line_format.LineReader(maximum_bytes=100)
    reader.feed(data)
    try:
        while (line := reader.next_line()) is not None:
            caller_lines.parse_caller_line(line)
    except line_format.WireError:
        return
    assert b"\n" not in data.rpartition(b"\n")[2]


def test_limits_of_a_line():
    reader = line_format.LineReader(maximum_bytes=10)
    reader.feed(b"12345678\r\n")
    assert reader.next_line() == "12345678"
    reader.feed(b"12345678901")
    with pytest.raises(line_format.MessageTooLarge):
        reader.next_line()
    bare = line_format.LineReader()
    bare.feed(b"READ x\n")
    with pytest.raises(line_format.WireError):
        bare.next_line()


def test_a_message_of_a_mebibyte_passes():
    text = "WRITE 1a4 " + "x" * (line_format.MAXIMUM_MESSAGE_BYTES - 30)
    line = f"QUERY a1 {text}\r\n".encode()
    reader = line_format.LineReader()
    for start in range(0, len(line), 65536):
        reader.feed(line[start : start + 65536])
    command = caller_lines.parse_caller_line(reader.next_line())
    assert command.text == text
