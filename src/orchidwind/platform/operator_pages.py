"""The HTTP pages of one proxy: readiness, status and metrics.

For: the platform, which probes readiness, and operators. Owns the paths. Relies on the proxy for
the content. Any other path is answered with 404.
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
    """Serves the pages on one or more addresses."""

    def __init__(self, proxy: ProxyRuntime) -> None:
        self._proxy = proxy

    def listen(self, address: tuple[str, int]) -> None:
        """Listen on (host, port); raises OSError if the address is in use."""
        host, port = address
        HTTPServer(self._handle_request).listen(port, host)

    def _handle_request(self, request: HTTPServerRequest) -> None:
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
