"""One HTTP/1.1 call on a connection of its own, whose far end is noticed when it goes dark."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
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

from orchidwind.shared.core.errors import OrchidwindError
from orchidwind.shared.sockets import client_socket

_MAXIMUM_BODY_BYTES = 64 * 1024 * 1024
# An answer that is arriving is waited for until nothing came for so long. A window of 64 KB takes
# 0.1 s on a link of 5 Mbit/s, and a lost packet some tenths more.
ARRIVING_SECONDS = 1.0
# An answer of 1 MB, the longest object of the first users' store, takes 8 s at 1 Mbit/s.
LONGEST_ANSWER_SECONDS = 10.0


class HttpCallFailed(OrchidwindError):
    """No whole answer came; `sent` tells whether the request had begun to leave.

    `silent_for`: seconds without a byte of the answer on an open connection, None where the call
    ended otherwise; `open_for`: seconds since the connection was open.
    """

    def __init__(
        self,
        reason: str,
        *,
        sent: bool,
        silent_for: float | None = None,
        open_for: float | None = None,
    ) -> None:
        super().__init__(reason)
        self.sent = sent
        self.open_for = open_for
        self.silent_for = silent_for


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
    def __init__(self, on_bytes: Callable[[], None]) -> None:
        self._on_bytes = on_bytes
        self.status = 0
        self.body = bytearray()
        self.finished = False
        # When bytes came last, in seconds of the steady clock; None: none came.
        self.heard_at: float | None = None

    def headers_received(
        self, start_line: ResponseStartLine | RequestStartLine, headers: HTTPHeaders
    ) -> None:
        self.heard_at = asyncio.get_running_loop().time()
        if isinstance(start_line, ResponseStartLine):
            self.status = start_line.code

    def data_received(self, chunk: bytes) -> None:
        self.heard_at = asyncio.get_running_loop().time()
        self.body += chunk
        self._on_bytes()

    def finish(self) -> None:
        self.finished = True


async def http_call(
    request: HttpRequest, seconds: float, on_arrival: Callable[[], None] | None = None
) -> HttpAnswer:
    """Make a call; raises HttpCallFailed.

    With `on_arrival`, which is called as bytes of the answer's body come, an answer that is
    arriving is waited for beyond `seconds`; without, the call ends then in any case.
    """
    stream = IOStream(client_socket())
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    sent = False
    sent_at = started_at

    def extend() -> None:
        due = limit.when()
        if on_arrival is None or due is None:
            return
        on_arrival()
        patience = min(loop.time() + ARRIVING_SECONDS, started_at + LONGEST_ANSWER_SECONDS)
        limit.reschedule(max(due, patience))

    collector = _Collector(extend)

    def failed(reason: str, silent_for: float | None = None) -> HttpCallFailed:
        stage = "waiting for the answer" if sent else "connecting"
        spent = loop.time() - started_at
        arrived = f" and {len(collector.body)} bytes of it" if collector.body else ""
        told = f"{reason} while {stage}, after {spent:.3f} s{arrived}"
        open_for = loop.time() - sent_at if sent else None
        return HttpCallFailed(told, sent=sent, silent_for=silent_for, open_for=open_for)

    try:
        async with asyncio.timeout(seconds) as limit:
            await stream.connect(request.address)
            sent = True
            sent_at = loop.time()
            return await _exchange(stream, request, collector)
    except TimeoutError as error:
        silent_for = loop.time() - (collector.heard_at or sent_at) if sent else None
        raise failed("time out", silent_for) from error
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
