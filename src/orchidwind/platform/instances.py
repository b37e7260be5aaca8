"""Connections to instances: the line protocol on a socket, behind the port `InstanceLink`.

For: `promoted.group`, which chooses the instance, the messages and the time limits. Each link owns
one socket and the queue of expected replies: messages carry no sequence numbers, so replies are
matched by order. Relies on `instance_lines` for the encoding. It sets no time limit and retries
nothing.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

from orchidwind.platform import instance_lines, line_format
from orchidwind.promoted.core.commands import InstanceMessage, InstanceStatus, Reply, ReplyCode
from orchidwind.promoted.core.configuration import DirectoryEntry
from orchidwind.promoted.core.instance_incarnations import identity_of
from orchidwind.promoted.group.connection_opener import TOO_MANY_CONNECTIONS, UNEXPECTED_INSTANCE
from orchidwind.promoted.traffic import Counterpart, Traffic, ZoneTraffic
from orchidwind.shared.core.errors import BackendConnectionLost, BackendRefused
from orchidwind.shared.sockets import client_socket

# Bytes per read of a socket: one TCP window. Longer replies take several reads.
_READ_BYTES = 65536
# SQLSTATEs of refused connections, as `BackendRefused` carries them.
_CONNECTION_REJECTED = "08004"
_BUSY = "53000"


class LineLink:
    """One connection to an instance; replies arrive in the order of the messages."""

    def __init__(
        self, stream: IOStream, instance: str, on_lost: Callable[[], None], traffic: ZoneTraffic
    ) -> None:
        """`traffic` counts what is exchanged."""
        self._traffic = traffic
        self._stream = stream
        self._instance = instance
        self._on_lost = on_lost
        self._lines = line_format.LineReader()
        self._replies = instance_lines.ReplyReader()
        self._pending: deque[asyncio.Future[Reply]] = deque()
        self._reader: asyncio.Task[None] | None = None
        self._lost = False
        self._started = False

    async def start(self, group: str, tenant: str) -> None:
        """Send the startup message with instance and tenant, and wait for the reply.

        Raises BackendRefused or BackendConnectionLost.
        """
        self._reader = asyncio.get_running_loop().create_task(self._read())
        line = instance_lines.startup_line(group, tenant, identity_of(self._instance))
        waiting = self._send(line, 1)
        reply = await waiting[0]
        self._started = True
        if reply.code is not ReplyCode.DONE:
            self.close()
            raise _refusal(reply)

    def _send(self, data: bytes, replies: int) -> list[asyncio.Future[Reply]]:
        if self._lost or self._stream.closed():
            raise BackendConnectionLost("the connection is closed", sent=False)
        loop = asyncio.get_running_loop()
        waiting: list[asyncio.Future[Reply]] = [loop.create_future() for _ in range(replies)]
        self._pending.extend(waiting)
        self._traffic.sent(len(data), replies)
        self._stream.write(data)
        return waiting

    async def exchange(self, messages: tuple[InstanceMessage, ...]) -> tuple[Reply, ...]:
        """Send messages and return all replies; raises BackendConnectionLost."""
        data = b"".join(instance_lines.message_line(message) for message in messages)
        waiting = self._send(data, len(messages))
        return tuple([await item for item in waiting])

    async def _read(self) -> None:
        try:
            while True:
                data = await self._stream.read_bytes(_READ_BYTES, partial=True)
                self._traffic.received(len(data))
                self._lines.feed(data)
                self._process_lines()
        except (StreamClosedError, line_format.WireError) as error:
            self._fail(str(error) or "closed")

    def _process_lines(self) -> None:
        while (line := self._lines.next_line()) is not None:
            if not self._pending:
                raise line_format.WireError("line from the instance without a pending request")
            reply = self._replies.feed_line(line) or self._refused_startup_reply(line)
            if reply is not None:
                waiting = self._pending.popleft()
                if not waiting.done():
                    waiting.set_result(reply)

    def _refused_startup_reply(self, line: str) -> Reply | None:
        """The reply to a refused startup: the instance sends ERROR and closes, without READY."""
        if not self._started and line.startswith("ERROR "):
            return self._replies.feed_line("READY I -")
        return None

    def _fail(self, reason: str) -> None:
        if self._lost:
            return
        self._lost = True
        self._stream.close()
        pending, self._pending = self._pending, deque()
        for waiting in pending:
            if not waiting.done():
                waiting.set_exception(BackendConnectionLost(reason, sent=True))
                waiting.exception()
        self._on_lost()

    async def status(self) -> InstanceStatus:
        """Query the status. Raises as `_control`, like the three commands below."""
        return await self._control(instance_lines.status_line())

    async def fence(self, term: int) -> InstanceStatus:
        """Make the instance accept no log from primaries of terms below `term`."""
        return await self._control(instance_lines.fence_line(term))

    async def unfence(self) -> InstanceStatus:
        """Make the instance accept log from any primary again."""
        return await self._control(instance_lines.unfence_line())

    async def demote(self, term: int) -> InstanceStatus:
        """Make the instance a replica if it is a primary of a term below `term`."""
        return await self._control(instance_lines.demote_line(term))

    async def _control(self, line: bytes) -> InstanceStatus:
        """Send a control command and return the status that the instance replies with.

        Raises BackendRefused if the instance reports an error, BackendConnectionLost otherwise.
        """
        reply = await self._send(line, 1)[0]
        if reply.code is not ReplyCode.DONE or not reply.rows:
            raise _refusal(reply)
        try:
            return instance_lines.parse_status(self._instance, reply.rows[0])
        except line_format.WireError as error:
            raise BackendConnectionLost(str(error), sent=True) from error

    def close(self) -> None:
        """Close the connection at once; pending requests fail with BackendConnectionLost."""
        if self._reader is not None:
            self._reader.cancel()
        self._fail("closed by this proxy")


def _refusal(reply: Reply) -> BackendRefused:
    code, _, _ = reply.text.partition(" ")
    if code == "TOOMANYCON":
        return BackendRefused(reply.text, TOO_MANY_CONNECTIONS)
    if code == "WRONGNODE":
        return BackendRefused(reply.text, UNEXPECTED_INSTANCE)
    if reply.code is ReplyCode.BUSY:
        return BackendRefused(reply.text, _BUSY)
    return BackendRefused(reply.text, _CONNECTION_REJECTED)


class LineConnector:
    """Opens connections to instances."""

    def __init__(self, traffic: Traffic) -> None:
        """`traffic` counts what is exchanged on the connections."""
        self._traffic = traffic

    async def connect(
        self, entry: DirectoryEntry, on_lost: Callable[[], None], tenant: str
    ) -> LineLink:
        """Open a connection for a tenant; raises BackendRefused or BackendConnectionLost."""
        stream = IOStream(client_socket())
        try:
            await stream.connect((entry.host, entry.port))
            traffic = self._traffic.of(Counterpart.INSTANCE, entry.zone)
            link = LineLink(stream, entry.instance, on_lost, traffic)
            await link.start(entry.group, tenant)
        except (StreamClosedError, OSError) as error:
            stream.close()
            raise BackendConnectionLost(str(error), sent=False) from error
        except asyncio.CancelledError:
            stream.close()
            raise
        return link
