"""One HTTP/1.1 request on a connection of its own, for the platform's store and promotion service.

A failed call reports how far it got (`HttpCallFailed`), and a response over a slow link may take
longer than the limit while it is arriving. Owns the connection of the call. Relies on
`shared.sockets` to detect an unreachable server. It retries nothing; that is left to its callers.
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

# 64 times the size limit of an object in the first users' store, so that every listing fits.
_MAXIMUM_BODY_BYTES = 64 * 1024 * 1024


class HttpCallFailed(OrchidwindError):
    """A call that ended without a complete response.

    `sent` is whether sending may have begun, so that the request may have taken effect.
    `silent_for` is the time since the last byte of the response (or since the connection was
    opened) if the call timed out on an open connection, else None. `open_for` is the time since the
    connection was opened, None if it wasn't. Both are in seconds.
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
    """An HTTP request. `address` is (host, port)."""

    address: tuple[str, int]
    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


class HttpResponse(Struct, frozen=True):
    """A complete HTTP response."""

    status: int
    body: bytes
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)


class _ResponseCollector(HTTPMessageDelegate):
    """Collects a response as it arrives; `on_body` is called for each chunk of the body."""

    def __init__(self, on_body: Callable[[], None]) -> None:
        self._on_body = on_body
        self._loop = asyncio.get_running_loop()
        self.status = 0
        self.headers = HTTPHeaders()
        self.body = bytearray()
        self.finished = False
        # Monotonic time in seconds at which the last byte arrived; None if none did.
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
    """A call in progress: its time limit, and how far it got."""

    def __init__(self, request: HttpRequest, on_arrival: Callable[[], None] | None) -> None:
        self._request = request
        self._on_arrival = on_arrival
        self._response = _ResponseCollector(self._on_body_chunk)
        self._limit: asyncio.Timeout | None = None
        self._loop = asyncio.get_running_loop()
        # Monotonic times in seconds. `_connected_at` is None until the connection is open.
        self._started_at = self._loop.time()
        self._connected_at: float | None = None

    async def run(self, seconds: float) -> HttpResponse:
        """Connect, send the request and return the complete response; raises HttpCallFailed."""
        stream = IOStream(client_socket())
        try:
            async with asyncio.timeout(seconds) as self._limit:
                await stream.connect(self._request.address)
                self._connected_at = self._loop.time()
                return await _exchange(stream, self._request, self._response)
        except TimeoutError as error:
            raise self._failure("time out", self._silent_for()) from error
        except (StreamClosedError, OSError, HTTPInputError) as error:
            raise self._failure(str(error) or "closed", None) from error
        finally:
            stream.close()

    def _on_body_chunk(self) -> None:
        """Extend the time limit after a chunk of the body, if the call has an `on_arrival`."""
        deadline = self._limit.when() if self._limit is not None else None
        if self._limit is None or self._on_arrival is None or deadline is None:
            return
        self._on_arrival()
        next_chunk_deadline = self._loop.time() + ANSWER_STALL_SECONDS
        latest = self._started_at + LONGEST_ANSWER_SECONDS
        self._limit.reschedule(max(deadline, min(next_chunk_deadline, latest)))

    def _silent_for(self) -> float | None:
        """Seconds without a byte on the open connection; None if it isn't open."""
        if self._connected_at is None:
            return None
        return self._loop.time() - (self._response.last_byte_at or self._connected_at)

    def _failure(self, reason: str, silent_for: float | None) -> HttpCallFailed:
        now = self._loop.time()
        sent = self._connected_at is not None
        stage = "waiting for the answer" if sent else "connecting"
        received = len(self._response.body)
        received_text = f" and {received} bytes of it" if received else ""
        text = f"{reason} while {stage}, after {now - self._started_at:.3f} s{received_text}"
        open_for = None if self._connected_at is None else now - self._connected_at
        return HttpCallFailed(text, sent=sent, silent_for=silent_for, open_for=open_for)


async def http_call(
    request: HttpRequest, seconds: float, on_arrival: Callable[[], None] | None = None
) -> HttpResponse:
    """Send a request and return its response; raises HttpCallFailed.

    `on_arrival` is called for each chunk of the response's body, and lets a response that is
    arriving take longer than `seconds`. Without it, the call ends after `seconds` in any case.
    """
    return await _Call(request, on_arrival).run(seconds)


async def _exchange(
    stream: IOStream, request: HttpRequest, response: _ResponseCollector
) -> HttpResponse:
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
    await connection.read_response(response)
    if not response.finished:
        raise StreamClosedError
    return HttpResponse(response.status, bytes(response.body), response.headers)
