"""One HTTP/1.1 call on a connection of its own, for the platform's store and promotion service.

For: calls whose failure says how far they came (`HttpCallFailed`), and answers on slow links, which
are waited for as long as they are arriving. Owns the connection of the call. Relies on
`shared.sockets` to notice a far end that goes dark. It repeats nothing: its callers do.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec import Struct, field
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from orchidwind.promoted.core.call_limits import ANSWER_STALL_SECONDS, LONGEST_ANSWER_SECONDS
from orchidwind.shared.core.errors import OrchidwindError
from orchidwind.shared.sockets import client_socket

# 64 times the longest object of the first users' store, so no listing of it is cut.
_MAXIMUM_BODY_BYTES = 64 * 1024 * 1024


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


class HttpRequest(Struct, frozen=True):
    """A call. `address` is (host, port)."""

    address: tuple[str, int]
    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


class HttpAnswer(Struct, frozen=True):
    """A whole answer."""

    status: int
    body: bytes
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)


class _AnswerCollector(HTTPMessageDelegate):
    """Takes the parts of an answer as they come; `on_body` is called for each part of its body."""

    def __init__(self, on_body: Callable[[], None]) -> None:
        self._on_body = on_body
        self._loop = asyncio.get_running_loop()
        self.status = 0
        self.headers = HTTPHeaders()
        self.body = bytearray()
        self.finished = False
        # When bytes came last, in seconds of the steady clock; None: none came.
        self.last_byte_at: float | None = None

    def headers_received(
        self, start_line: ResponseStartLine | RequestStartLine, headers: HTTPHeaders
    ) -> None:
        self.last_byte_at = self._loop.time()
        if isinstance(start_line, ResponseStartLine):
            self.status = start_line.code
            self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        self.last_byte_at = self._loop.time()
        self.body += chunk
        self._on_body()

    def finish(self) -> None:
        self.finished = True


class _Call:
    """One call under way: its time limit, and how far it has come."""

    def __init__(self, request: HttpRequest, on_arrival: Callable[[], None] | None) -> None:
        self._request = request
        self._on_arrival = on_arrival
        self._answer = _AnswerCollector(self._body_arrived)
        self._limit: asyncio.Timeout | None = None
        self._loop = asyncio.get_running_loop()
        # Seconds of the steady clock; None: the connection is not open yet.
        self._started_at = self._loop.time()
        self._connected_at: float | None = None

    async def run(self, seconds: float) -> HttpAnswer:
        """Connect, send and wait for the whole answer; raises HttpCallFailed."""
        stream = IOStream(client_socket())
        try:
            async with asyncio.timeout(seconds) as self._limit:
                await stream.connect(self._request.address)
                self._connected_at = self._loop.time()
                return await _exchange(stream, self._request, self._answer)
        except TimeoutError as error:
            raise self._failure("time out", self._silent_for()) from error
        except (StreamClosedError, OSError, HTTPInputError) as error:
            raise self._failure(str(error) or "closed", None) from error
        finally:
            stream.close()

    def _body_arrived(self) -> None:
        """Part of the body has come: the caller may allow more time for the rest."""
        due = self._limit.when() if self._limit is not None else None
        if self._limit is None or self._on_arrival is None or due is None:
            return
        self._on_arrival()
        next_part_due = self._loop.time() + ANSWER_STALL_SECONDS
        latest = self._started_at + LONGEST_ANSWER_SECONDS
        self._limit.reschedule(max(due, min(next_part_due, latest)))

    def _silent_for(self) -> float | None:
        """Seconds without a byte on the open connection; None where it is not open."""
        if self._connected_at is None:
            return None
        return self._loop.time() - (self._answer.last_byte_at or self._connected_at)

    def _failure(self, reason: str, silent_for: float | None) -> HttpCallFailed:
        now = self._loop.time()
        sent = self._connected_at is not None
        stage = "waiting for the answer" if sent else "connecting"
        received = len(self._answer.body)
        arrived = f" and {received} bytes of it" if received else ""
        text = f"{reason} while {stage}, after {now - self._started_at:.3f} s{arrived}"
        open_for = None if self._connected_at is None else now - self._connected_at
        return HttpCallFailed(text, sent=sent, silent_for=silent_for, open_for=open_for)


async def http_call(
    request: HttpRequest, seconds: float, on_arrival: Callable[[], None] | None = None
) -> HttpAnswer:
    """Make a call; raises HttpCallFailed.

    With `on_arrival`, which is called as bytes of the answer's body come, an answer that is
    arriving is waited for beyond `seconds`; without, the call ends then in any case.
    """
    return await _Call(request, on_arrival).run(seconds)


async def _exchange(stream: IOStream, request: HttpRequest, answer: _AnswerCollector) -> HttpAnswer:
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
    await connection.read_response(answer)
    if not answer.finished:
        raise StreamClosedError
    return HttpAnswer(answer.status, bytes(answer.body), answer.headers)
