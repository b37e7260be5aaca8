"""The PostgreSQL edge: open connections that fall silent for good, without a reset, on sockets."""

import asyncio
import socket
from itertools import count

import pytest
from support.relay import HOST, Relay

from orchidwind.elected.core.statements import Outcome
from orchidwind.elected.network import codec, link_silence
from orchidwind.elected.network.connection_target import ConnectionTarget
from orchidwind.elected.network.link_server import LinkServer
from orchidwind.elected.network.peer_link import PeerLink
from orchidwind.elected.postgres.listener import PostgresListener
from orchidwind.shared.core.errors import PeerUnavailable
from orchidwind.shared.core.positions import Position
from orchidwind.shared.sockets import KEEPALIVE_IDLE_SECONDS, USER_TIMEOUT_MILLISECONDS

PATIENCE_SECONDS = link_silence.SILENT_SECONDS + 2.0


class Homes:
    """Takes requests; answers them at once, or never."""

    def __init__(self):
        self.numbers = count(1)
        self.answers = True
        self.closed = []

    def submit(self, request, port, finished):
        if self.answers:
            finished(Outcome(request.number, tag="SELECT 1", position=Position(1, 1)))

    def close_channel(self, channel):
        self.closed.append(channel.number)


def execute(number, channel=1):
    return codec.Execute(
        number=number,
        channel=channel,
        database="d",
        kind="read",
        sql="SELECT 1",
        simple=True,
        parameter_types=(),
        parameters=(),
        parameter_formats=(),
        result_format=0,
        floor_mode="known",
        floor_term=0,
        floor_lsn=0,
        last_read_instance="",
        class_name="c",
        class_weight=1.0,
        class_deadline=5.0,
        class_queue_bound=10,
        remaining=5.0,
        in_transaction=False,
        request_id="",
        settings=(),
    )


def with_link(scenario):
    async def work():
        homes = Homes()
        server = LinkServer(homes, lambda: None)
        server.listen(0, HOST)
        port = next(iter(server._sockets.values())).getsockname()[1]
        relay = Relay(port)
        link = PeerLink("front", HOST, await relay.start(), lambda notice: None)
        await scenario(homes, relay, link)
        link.close()
        server.stop()
        server.close_links()
        relay.stop()

    asyncio.run(work())


async def answer(link, number, channel=1):
    pending = await link.execute(execute(number, channel))
    async with asyncio.timeout(PATIENCE_SECONDS):
        part = await pending.parts.get()
    if isinstance(part, PeerUnavailable):
        raise part
    return part


def test_a_link_that_fell_silent_under_a_request_is_given_up_and_opened_anew():
    async def scenario(homes, relay, link):
        assert isinstance(await answer(link, 1), codec.Done)
        relay.silence()
        with pytest.raises(PeerUnavailable) as lost:
            await answer(link, 2)
        assert lost.value.sent
        assert isinstance(await answer(link, 3), codec.Done)
        assert relay.opened == 2

    with_link(scenario)


def test_a_link_that_fell_silent_at_rest_is_found_before_the_next_request():
    async def scenario(homes, relay, link):
        await answer(link, 1)
        relay.silence()
        await asyncio.sleep(link_silence.REST_PROBE_SECONDS + link_silence.SILENT_SECONDS + 0.5)
        assert isinstance(await answer(link, 2), codec.Done)
        assert relay.opened == 2

    with_link(scenario)


def test_a_statement_that_runs_for_long_does_not_end_its_link():
    async def scenario(homes, relay, link):
        homes.answers = False
        pending = await link.execute(execute(1))
        await asyncio.sleep(2 * link_silence.SILENT_SECONDS)
        assert pending.parts.empty()
        assert relay.opened == 1

    with_link(scenario)


def test_a_home_closes_what_is_open_on_a_silent_link_when_its_front_comes_anew():
    async def scenario(homes, relay, link):
        homes.answers = False
        await link.execute(execute(1, channel=7))
        await asyncio.sleep(0.2)
        relay.silence()
        link.close()
        homes.answers = True
        await asyncio.sleep(0.1)
        assert homes.closed == []
        await answer(link, 2, channel=8)
        assert homes.closed == [7]

    with_link(scenario)


def test_the_far_ends_of_callers_and_databases_are_watched():
    async def work():
        listener = PostgresListener(None, maximum_connections=10)
        accepted = []
        listener._host = None
        serve = listener.handle_stream

        async def note(stream, address):
            accepted.append(stream)
            await serve(stream, address)

        listener.handle_stream = note
        listener.listen(0, HOST)
        port = next(iter(listener._sockets.values())).getsockname()[1]
        _, writer = await asyncio.open_connection(HOST, port)
        await asyncio.sleep(0.1)
        (stream,) = accepted
        idle = stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        timeout = stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert (idle, timeout) == (KEEPALIVE_IDLE_SECONDS, USER_TIMEOUT_MILLISECONDS)
        writer.close()
        listener.stop()

    asyncio.run(work())
    told = ConnectionTarget(HOST, 1, "d", "u", "p", "a").conninfo().decode()
    assert f"keepalives_idle='{KEEPALIVE_IDLE_SECONDS}'" in told
    assert f"tcp_user_timeout='{USER_TIMEOUT_MILLISECONDS}'" in told
