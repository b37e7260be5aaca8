"""Links between proxies: encoding of their messages, and behaviour on real sockets."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidwind.promoted.callers.session_registry import SessionRegistry
from orchidwind.promoted.core import peer_messages
from orchidwind.promoted.core.commands import PreparedStatement
from orchidwind.promoted.core.configuration import (
    DatabaseRoute,
    DirectoryEntry,
    PromotedGroupSettings,
    ReadConsistency,
)
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.peer_messages import (
    Alive,
    CloseChannel,
    CommandAnswer,
    ConfigurationView,
    DirectoryView,
    Greeting,
    LockQuery,
    LockReport,
    Probe,
    RunCommand,
    SettingValue,
    ViewQuery,
    ViewReport,
)
from orchidwind.promoted.peers.home_ports import HomePorts
from orchidwind.promoted.peers.peer_codec import DecodeError, FrameCutter, decode_peer, encode_peer
from orchidwind.promoted.peers.peer_service import PeerService
from orchidwind.promoted.peers.peer_streams import PeerListener, PeerStreamConnector
from orchidwind.shared.core.positions import Position
from orchidwind_bench.processes import free_ports

numbers = st.integers(0, 2**62)
texts = st.text(max_size=30)
positions = st.none() | st.builds(Position, numbers, numbers)
small = st.integers(0, 2**31 - 1)
configurations = st.builds(
    ConfigurationView,
    numbers,
    st.lists(
        st.builds(
            DatabaseRoute,
            texts,
            texts,
            st.sampled_from(ReadConsistency),
            st.floats(0, 9),
            st.floats(0, 9),
            st.floats(0, 9),
            small,
        ),
        max_size=2,
    ).map(tuple),
    st.lists(st.builds(PromotedGroupSettings, texts, small, small), max_size=2).map(tuple),
    st.floats(0, 9),
)
entries = st.builds(
    DirectoryEntry,
    texts,
    texts,
    texts,
    small,
    texts,
    st.booleans(),
    st.booleans(),
    small,
    numbers,
)
directories = st.builds(DirectoryView, st.lists(entries, max_size=2).map(tuple))
messages = st.one_of(
    st.builds(Greeting, texts),
    st.builds(
        RunCommand,
        number=numbers,
        channel=numbers,
        group=texts,
        database=texts,
        consistency=texts,
        staleness=st.floats(0, 100),
        priority=st.integers(0, 9),
        timeout=st.floats(0, 100),
        kind=texts,
        request_id=texts,
        text=texts,
        argument=texts,
        prepared=st.none() | st.builds(PreparedStatement, st.booleans(), texts),
        settings=st.lists(st.builds(SettingValue, texts, texts), max_size=3).map(tuple),
        floor=positions,
        transaction=texts,
        read_only=st.booleans(),
        remaining=st.floats(-1, 100),
        hold=st.floats(-1, 100),
    ),
    st.builds(
        CommandAnswer,
        number=numbers,
        error=texts,
        message=texts,
        retry_after_milliseconds=st.none() | st.integers(0, 10**6),
        rows=st.lists(texts, max_size=3).map(tuple),
        signature=texts,
        floor=positions,
        sent_to=texts,
        attempts=texts,
    ),
    st.builds(CloseChannel, numbers),
    st.just(Probe()),
    st.builds(Alive, st.booleans()),
    st.builds(LockQuery, numbers),
    st.builds(LockReport, numbers, st.booleans(), st.floats(0, 9), numbers, st.booleans()),
    st.builds(ViewQuery, numbers, texts, st.integers(-1, 2**62), st.booleans()),
    st.builds(
        ViewReport,
        numbers,
        st.booleans(),
        st.floats(0, 9),
        st.integers(-1, 2**62),
        st.booleans(),
        st.none() | configurations,
        st.none() | directories,
    ),
)


@given(st.lists(messages, max_size=5), st.integers(1, 40))
def test_messages_survive_any_cut_of_the_stream(sent, step):
    data = b"".join(encode_peer(message) for message in sent)
    frames = FrameCutter()
    got = []
    for start in range(0, len(data), step):
        frames.feed(data[start : start + step])
        while (body := frames.next_body()) is not None:
            got.append(decode_peer(body))
    assert got == sent


@given(st.binary(max_size=60))
def test_garbage_is_refused(data):
    try:
        message = decode_peer(data)
    except DecodeError:
        return
    assert isinstance(message, peer_messages.PeerMessage)


def test_a_frame_beyond_the_limit_is_refused():
    frames = FrameCutter(maximum=100)
    frames.feed(b"\0\0\1\0")
    with pytest.raises(DecodeError):
        frames.next_body()


async def no_lock(number):
    return LockReport(number, False, 0.0, 0, False)


def no_view(query):
    return ViewReport(query.number, known=False, age=0.0, revision=-1)


HOME = HomePorts(lambda group: None, SessionRegistry(), no_lock, lambda: 3.0, no_view)


def with_listener(scenario):
    async def work():
        port = free_ports(1)[0]
        listener = PeerListener(PeerService(HOME))
        listener.listen(port, "127.0.0.1")
        got, lost = asyncio.Queue(), asyncio.Queue()
        member = ProxyMember("home", "z", "127.0.0.1", port)
        connection = await PeerStreamConnector().connect(member, got.put_nowait, lost.put_nowait)
        async with asyncio.timeout(5):
            await scenario(listener, connection, got, lost)
        connection.close()
        listener.stop()
        listener.close_links()

    asyncio.run(work())


def test_probe_is_answered_and_the_link_stays_open():
    async def scenario(listener, connection, got, lost):
        connection.send(Greeting("front"))
        for _ in range(3):
            connection.send(Probe())
            assert await got.get() == Alive(False)
        assert lost.empty()

    with_listener(scenario)


def test_end_of_a_link_is_reported():
    async def scenario(listener, connection, got, lost):
        connection.send(Probe())
        await got.get()
        listener.close_links()
        assert await lost.get()

    with_listener(scenario)


def test_messages_on_a_link_closed_by_the_sender_are_not_handled():
    """A home that was frozen must not run commands whose sender has closed the link meanwhile."""

    async def scenario(listener, connection, got, lost):
        connection.send(Probe())
        await got.get()
        taken = []
        served = next(iter(listener._service._links))
        served.handle_message = taken.append
        stream = next(iter(listener._streams))
        stream._stream._handle_read, handle = (lambda: None), stream._stream._handle_read
        connection.send(Probe())
        await asyncio.sleep(0.05)
        connection._stream.socket.shutdown(1)
        await asyncio.sleep(0.05)
        stream._stream._handle_read = handle
        await asyncio.sleep(0.05)
        assert taken == []

    with_listener(scenario)
