"""One HTTP/1.1 call on a connection of its own, whose far end is noticed when it goes dark."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from orchidwind.core.errors import OrchidwindError
from orchidwind.network.sockets import client_socket

_MAXIMUM_BODY_BYTES = 64 * 1024 * 1024


class HttpCallFailed(OrchidwindError):
    """No whole answer came; `sent` tells whether the request had begun to leave."""

    def __init__(self, reason: str, *, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A call. `address` is (host, port)."""

    address: tuple[str, int]
    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole answer."""

    status: int
    body: bytes


class _Collector(HTTPMessageDelegate):
    def __init__(self) -> None:
        self.status = 0
        self.body = bytearray()
        self.finished = False

    def headers_received(
        self, start_line: ResponseStartLine | RequestStartLine, headers: HTTPHeaders
    ) -> None:
        if isinstance(start_line, ResponseStartLine):
            self.status = start_line.code

    def data_received(self, chunk: bytes) -> None:
        self.body += chunk

    def finish(self) -> None:
        self.finished = True


async def http_call(request: HttpRequest, seconds: float) -> HttpAnswer:
    """Make a call; raises HttpCallFailed."""
    stream = IOStream(client_socket())
    started_at = asyncio.get_running_loop().time()
    sent = False
    collector = _Collector()

    def failed(reason: str) -> HttpCallFailed:
        stage = "waiting for the answer" if sent else "connecting"
        spent = asyncio.get_running_loop().time() - started_at
        arrived = f" and {len(collector.body)} bytes of it" if collector.body else ""
        return HttpCallFailed(f"{reason} while {stage}, after {spent:.3f} s{arrived}", sent=sent)

    try:
        async with asyncio.timeout(seconds):
            await stream.connect(request.address)
            sent = True
            return await _exchange(stream, request, collector)
    except TimeoutError as error:
        raise failed("time out") from error
    except (StreamClosedError, OSError, HTTPInputError) as error:
        raise failed(str(error) or "closed") from error
    finally:
        stream.close()


async def _exchange(stream: IOStream, request: HttpRequest, collector: _Collector) -> HttpAnswer:
    parameters = HTTP1ConnectionParameters(
        no_keep_alive=True, max_body_size=_MAXIMUM_BODY_BYTES, decompress=False
    )
    connection = HTTP1Connection(stream, True, parameters)
    host, port = request.address
    headers = HTTPHeaders({"Host": f"{host}:{port}", "Connection": "close", **request.headers})
    if request.body:
        headers["Content-Type"] = "application/json"
    headers["Content-Length"] = str(len(request.body))
    line = RequestStartLine(request.method, request.path, "HTTP/1.1")
    connection.write_headers(line, headers, request.body or None)
    connection.finish()
    await connection.read_response(collector)
    if not collector.finished:
        raise StreamClosedError
    return HttpAnswer(collector.status, bytes(collector.body))
