"""Sockets whose far end is noticed when it goes dark.

For: every TCP connection of both halves. A far end whose machine is gone says nothing; the kernel
finds that out after about 3 s. A path that acknowledges bytes and delivers none is not found here
(docs/SILENCE.md).
"""

from __future__ import annotations

import socket

# At rest: probes after 1 s, each second, two of them unanswered. 3 s, the shortest rest
# that a caller is allowed, and two probes so that one lost packet ends nothing.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
# Sent bytes that stay unacknowledged for so long end the connection. As at rest.
USER_TIMEOUT_MILLISECONDS = 3000


def client_socket() -> socket.socket:
    """A TCP socket for a connection that this process opens."""
    return watchful(socket.socket(socket.AF_INET, socket.SOCK_STREAM))


def watchful(opened: socket.socket) -> socket.socket:
    """Send small writes at once, and end the connection when the far end says nothing."""
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)
    return opened
