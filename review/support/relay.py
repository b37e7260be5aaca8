"""Relays between the proxies and a server, with which a case cuts some proxies off from it.

By the kernel's table of sockets a relay tells which of the processes that the case started holds
the other end of a connection, so that it can treat the proxies differently.
"""

from __future__ import annotations

import asyncio
import os
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from support.common import HOST, READ_BYTES, Record

EVERYBODY = "*"
_CHANGES = ("PAUSE", "RESUME", "DEMOTE")
_POLL_SECONDS = 0.005


def _inode_of(local_port: int, remote_port: int) -> str:
    """The inode of a loopback socket, from the kernel's table of sockets."""
    wanted = [f"0100007F:{port:04X}" for port in (local_port, remote_port)]
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        columns = line.split()
        if columns[1:3] == wanted:
            return columns[9]
    return ""


def _holds_socket(pid: int, inode: str) -> bool:
    """Whether a process that this test started holds a socket."""
    with suppress(OSError):
        for link in Path(f"/proc/{pid}/fd").iterdir():
            with suppress(OSError):
                if os.readlink(link) == f"socket:[{inode}]":
                    return True
    return False


class Tap:
    """Writes down the statements that an instance got from one connection, and its answers.

    The statements that a proxy sends of its own accord (with the id `-`) are left out, but for
    those that change the instance. An answer is what the instance sent, passed on or not.
    """

    def __init__(self, record: Record, instance: str, caller: str) -> None:
        self._record = record
        self._instance = instance
        self._caller = caller
        self._rests = {True: b"", False: b""}
        self._waiting: deque[tuple[str, float]] = deque()
        self._answer: list[str] = []

    def passed(self, data: bytes, to_instance: bool) -> None:
        """Note bytes that the relay passed to the instance, or got from it."""
        *lines, self._rests[to_instance] = (self._rests[to_instance] + data).split(b"\n")
        for line in lines:
            text = line.rstrip(b"\r").decode("latin-1")
            if not to_instance:
                self._answered(text)
            elif text.startswith("QUERY "):
                self._waiting.append((text.removeprefix("QUERY "), self._record.seconds()))

    def _answered(self, line: str) -> None:
        self._answer.append(line)
        if not line.startswith("READY"):
            return
        if self._waiting:
            self._write(*self._waiting.popleft(), " | ".join(self._answer))
        self._answer = []

    def ended(self) -> None:
        """Note the statements without an answer at the end of the connection."""
        while self._waiting:
            self._write(*self._waiting.popleft(), "no answer")

    def _write(self, statement: str, got: float, answer: str) -> None:
        request_id, _, text = statement.partition(" ")
        if request_id != "-" or text.startswith(_CHANGES):
            self._record.write(
                f"at {self._instance} from {self._caller} {statement}, got {got:.3f}: {answer}"
            )


class Relay:
    """Forwards connections to a server; callers in `cut` reach it no more, and hear nothing.

    While a caller is cut off, its bytes are held in both directions, and new connections hang. What
    is held is dropped if its sender has closed the connection by the end of the cut.
    """

    def __init__(
        self,
        port: int,
        target: int,
        pids: Callable[[], dict[str, int]],
        tap: Callable[[str], Tap] | None = None,
    ) -> None:
        self.port = port
        # By the caller of a connection: what writes down its statements.
        self._tap = tap
        self.cut: set[str] = set()
        self._target = target
        self._pids = pids
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, backlog=256)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def _caller(self, writer: asyncio.StreamWriter) -> str:
        inode = _inode_of(writer.get_extra_info("peername")[1], self.port)
        for name, pid in self._pids().items():
            if inode and _holds_socket(pid, inode):
                return name
        return "other"

    def _is_cut(self, caller: str) -> bool:
        return EVERYBODY in self.cut or caller in self.cut

    async def _open(self, caller: str, reader: asyncio.StreamReader) -> bool:
        """Wait while a caller is cut off; returns False if its connection has ended meanwhile."""
        while self._is_cut(caller):
            if reader.at_eof():
                return False
            await asyncio.sleep(_POLL_SECONDS)
        return not reader.at_eof()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            # Cancelled at the end of the case: the stream server asks each handler for its error.
            with suppress(OSError, asyncio.CancelledError):
                await self._forward(self._caller(writer), reader, writer)
        finally:
            writer.close()

    async def _forward(
        self, caller: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not await self._open(caller, reader):
            return
        far_reader, far_writer = await asyncio.open_connection(HOST, self._target)
        tap = None if self._tap is None else self._tap(caller)
        pumps = (
            asyncio.ensure_future(self._pump(caller, reader, far_writer, tap, True)),
            asyncio.ensure_future(self._pump(caller, far_reader, writer, tap, False)),
        )
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            far_writer.close()
            if tap is not None:
                tap.ended()

    async def _pump(
        self,
        caller: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        tap: Tap | None,
        to_server: bool,
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if tap is not None and not to_server:
                    tap.passed(data, False)
                while self._is_cut(caller):
                    if reader.at_eof():
                        return
                    await asyncio.sleep(_POLL_SECONDS)
                writer.write(data)
                if tap is not None and to_server:
                    tap.passed(data, True)
                await writer.drain()
            # The end of a connection is a packet too.
            while self._is_cut(caller):
                await asyncio.sleep(_POLL_SECONDS)
