"""The HTTP pages of one proxy: whether it is ready, its state, its figures.

For: the platform, which probes readiness, and operators. Owns the paths. Relies on the proxy for
what it shows. It answers nothing but these three pages; another path is 404.
"""

from __future__ import annotations

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from orchidwind.promoted.proxy_runtime import ProxyRuntime

READY_PATH = "/orchidwind/ready"
METRICS_PATH = "/metrics"
STATUS_PATH = "/status"


class OperatorPages:
    """Answers on each address that it listens on."""

    def __init__(self, proxy: ProxyRuntime) -> None:
        self._proxy = proxy

    def listen(self, address: tuple[str, int]) -> None:
        """Listen on (host, port); raises OSError where that is taken."""
        host, port = address
        HTTPServer(self._answer).listen(port, host)

    def _answer(self, request: HTTPServerRequest) -> None:
        if request.path == READY_PATH:
            ready = self._proxy.prepared and not self._proxy.registry.draining
            _respond(request, 200 if ready else 503, b"")
        elif request.path == STATUS_PATH:
            _respond(request, 200, msgspec.json.encode(self._proxy.status()))
        elif request.path == METRICS_PATH:
            _respond(request, 200, self._proxy.metrics.render())
        else:
            _respond(request, 404, b"")


def _respond(request: HTTPServerRequest, status: int, body: bytes) -> None:
    assert request.connection is not None
    headers = HTTPHeaders({"Content-Length": str(len(body)), "Content-Type": "text/plain"})
    line = ResponseStartLine("HTTP/1.1", status, "OK" if status == 200 else "Not OK")
    request.connection.write_headers(line, headers, body)
    request.connection.finish()
