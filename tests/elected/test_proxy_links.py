"""Links between proxies that permanently stop delivering bytes without a reset, over sockets.

Guards against requests that wait on such a link until their deadline, and against transactions that
stay open at the home after their front proxy has reconnected. Also checks the keepalive options of
sockets to callers and databases.
"""

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

ANSWER_SECONDS = link_silence.SILENT_SECONDS + 2.0


class Homes:
    """Accepts requests and answers them at once, or never if `answers` is False."""

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
    async with asyncio.timeout(ANSWER_SECONDS):
        part = await pending.parts.get()
    if isinstance(part, PeerUnavailable):
        raise part
    return part


def test_a_link_that_falls_silent_during_a_request_is_closed_and_reopened():
    async def scenario(homes, relay, link):
        assert isinstance(await answer(link, 1), codec.Done)
        relay.silence()
        with pytest.raises(PeerUnavailable) as lost:
            await answer(link, 2)
        assert lost.value.sent
        assert isinstance(await answer(link, 3), codec.Done)
        assert relay.opened == 2

    with_link(scenario)


def test_an_idle_link_that_falls_silent_is_detected_before_the_next_request():
    async def scenario(homes, relay, link):
        await answer(link, 1)
        relay.silence()
        await asyncio.sleep(link_silence.IDLE_PROBE_SECONDS + link_silence.SILENT_SECONDS + 0.5)
        assert isinstance(await answer(link, 2), codec.Done)
        assert relay.opened == 2

    with_link(scenario)


def test_a_long_statement_does_not_close_its_link():
    async def scenario(homes, relay, link):
        homes.answers = False
        pending = await link.execute(execute(1))
        await asyncio.sleep(2 * link_silence.SILENT_SECONDS)
        assert pending.parts.empty()
        assert relay.opened == 1

    with_link(scenario)


def test_a_home_closes_the_channels_of_a_silent_link_when_its_front_reconnects():
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


def test_sockets_to_callers_and_databases_use_keepalives_and_a_user_timeout():
    async def work():
        listener = PostgresListener(None, maximum_connections=10)
        accepted = []
        listener._host = None
        serve = listener.handle_stream

        async def record(stream, address):
            accepted.append(stream)
            await serve(stream, address)

        listener.handle_stream = record
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
    conninfo_text = ConnectionTarget(HOST, 1, "d", "u", "p", "a").conninfo().decode()
    assert f"keepalives_idle='{KEEPALIVE_IDLE_SECONDS}'" in conninfo_text
    assert f"tcp_user_timeout='{USER_TIMEOUT_MILLISECONDS}'" in conninfo_text
