"""Accepts callers' connections and runs a `ServerSession` for each.

Holds the sessions by process id, so that cancel requests find them.
"""

from __future__ import annotations

from collections.abc import Callable

from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from orchidwind.elected.postgres.server_session import ServerSession, encode_error
from orchidwind.elected.postgres.session_host import SessionHost
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.sockets import configure_socket

# Process ids are signed 32-bit integers in the protocol.
MAXIMUM_PROCESS_ID = 2**31 - 1


class PostgresListener(TCPServer):
    """A TCP server whose connections speak the PostgreSQL protocol."""

    def __init__(
        self,
        host: SessionHost,
        *,
        maximum_connections: int,
        on_error: Callable[[RequestError], None] = lambda error: None,
    ) -> None:
        super().__init__()
        self.sessions: dict[int, ServerSession] = {}
        self.maximum_connections = maximum_connections
        self._host = host
        self._on_error = on_error
        self._next_process_id = 1

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve one connection until it closes."""
        configure_socket(stream.socket)
        if len(self.sessions) >= self.maximum_connections:
            error = RequestError(ErrorKind.TOO_MANY_CALLERS, "too many connections to this proxy")
            self._on_error(error)
            await stream.write(encode_error(error))
            stream.close()
            return
        session = ServerSession(stream, self._host, self._allocate_process_id(), self._on_error)
        self.sessions[session.process_id] = session
        try:
            await session.run()
        finally:
            del self.sessions[session.process_id]

    def cancel(self, process_id: int, secret: int) -> None:
        """Cancel the running statement of a session if the secret matches."""
        session = self.sessions.get(process_id)
        if session is None or session.secret != secret or session.executor is None:
            return
        session.executor.cancel()

    def _allocate_process_id(self) -> int:
        while self._next_process_id in self.sessions:
            self._next_process_id += 1
        allocated = self._next_process_id
        self._next_process_id = allocated % MAXIMUM_PROCESS_ID + 1
        return allocated
