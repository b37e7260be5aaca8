"""HTTP calls whose responses arrive slowly: when the time limit is extended, and when it isn't."""

import asyncio

import pytest

from orchidwind.platform import http_call as calls
from orchidwind.platform.http_call import HttpCallFailed, HttpRequest, http_call

PARTS = 5
PART = b"x" * 1000
# The time limit of a call and the time between two parts; the whole response exceeds the limit.
LIMIT_SECONDS = 0.3
GAP_SECONDS = 0.15


async def serve(parts, stop_after=PARTS):
    """Start a server that sends its response in parts and sends nothing after `stop_after` parts.

    Returns the server and a request to it.
    """

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (parts * len(PART)))
        for number in range(parts):
            if number == stop_after:
                await asyncio.sleep(60)
            writer.write(PART)
            await writer.drain()
            await asyncio.sleep(GAP_SECONDS)
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    return server, HttpRequest(server.sockets[0].getsockname()[:2], "GET", "/")


def test_limit_is_extended_while_response_arrives():
    async def work():
        server, request = await serve(PARTS)
        arrivals = []
        answer = await http_call(request, LIMIT_SECONDS, lambda: arrivals.append(1))
        assert answer.body == PART * PARTS
        assert len(arrivals) >= 2
        server.close()

    asyncio.run(work())


def test_limit_is_not_extended_without_on_arrival():
    async def work():
        server, request = await serve(PARTS)
        with pytest.raises(HttpCallFailed, match="bytes of it"):
            await http_call(request, LIMIT_SECONDS)
        server.close()

    asyncio.run(work())


def test_response_that_stops_arriving_ends_the_call(monkeypatch):
    monkeypatch.setattr(calls, "ANSWER_STALL_SECONDS", 2 * GAP_SECONDS)

    async def work():
        server, request = await serve(PARTS, stop_after=3)
        with pytest.raises(HttpCallFailed, match="and 3000 bytes of it"):
            await http_call(request, LIMIT_SECONDS, lambda: None)
        server.close()

    asyncio.run(work())


def test_response_that_takes_too_long_ends_the_call(monkeypatch):
    monkeypatch.setattr(calls, "LONGEST_ANSWER_SECONDS", 2 * LIMIT_SECONDS)

    async def work():
        server, request = await serve(100)
        with pytest.raises(HttpCallFailed, match="time out"):
            await http_call(request, LIMIT_SECONDS, lambda: None)
        server.close()

    asyncio.run(work())
