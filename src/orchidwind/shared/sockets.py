"""TCP sockets that detect an unreachable peer.

Used for every TCP connection of all proxies. A peer whose machine is gone sends nothing; the
kernel detects this after about 3 s. A path that acknowledges bytes and delivers none is not
detected here (docs/SILENCE.md).
"""

from __future__ import annotations

import socket

# On an idle connection, the first probe is sent after 1 s, then one per second; the connection ends
# after two unanswered probes. The total of 3 s is the shortest idle time that callers are allowed.
# Two probes are used so that the loss of one packet does not end the connection.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
# Time after which unacknowledged data ends the connection; the same as for an idle connection.
USER_TIMEOUT_MILLISECONDS = 3000


def client_socket() -> socket.socket:
    """Create a TCP socket for an outgoing connection, with unreachable peers detected."""
    return configure_socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))


def configure_socket(tcp_socket: socket.socket) -> socket.socket:
    """Configure and return a socket.

    Small writes are sent at once (no Nagle's algorithm), and the connection ends when the peer is
    unreachable.
    """
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)
    return tcp_socket
