"""Callers of a running system: they write marks and read them back, and keep a history."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

import psycopg

from orchidwind_bench.elected.checkers import History, ReadEvent, Result, WriteEvent

CREATE_MARKS = "CREATE TABLE marks (mark bigint, k text, writer text)"
CREATE_INDEX = "CREATE INDEX marks_by_key ON marks (k)"
_INSERT = "INSERT INTO marks (mark, k, writer) VALUES (%s, %s, %s)"
_SELECT = "SELECT mark FROM marks WHERE k = %s"
_UNKNOWN_STATES = ("08007", "08006", "XX000")
_CONNECT_SECONDS = 5
_PAUSE_AFTER_ERROR_SECONDS = 0.02


@dataclass
class CallerOptions:
    """How a caller behaves.

    `identity` names the session for all proxies; `roams` moves it to another proxy at random;
    `names_requests` repeats a write whose outcome is unknown under the same request id.
    `settles_token` asks for the session's token once after connecting and goes on with it, which
    a session may do that uses one connection at a time. `primary_seconds` reads on the primary for
    this long after each write, by a transaction: the usual way without a session-aware proxy.
    `load` scales the pause between requests over time.
    """

    identity: str
    database: str
    write_share: float
    think_seconds: float
    client_latency: float = 0.0
    roams: float = 0.0
    names_requests: bool = False
    traffic_class: str = ""
    own_keys: int = 4
    settles_token: bool = False
    primary_seconds: float = 0.0
    load: Callable[[], float] = lambda: 1.0


@dataclass
class Tally:
    """What callers have done together."""

    history: History = field(default_factory=History)
    marks: count[int] = field(default_factory=lambda: count(1))
    errors: dict[str, int] = field(default_factory=dict)
    latencies: Callable[[str, float], None] = lambda kind, seconds: None

    def error(self, sqlstate: str) -> None:
        """Count an error."""
        self.errors[sqlstate] = self.errors.get(sqlstate, 0) + 1


class Caller:
    """One session that may roam between proxies."""

    def __init__(
        self, options: CallerOptions, dsns: Callable[[], list[str]], tally: Tally, seed: int
    ) -> None:
        self.options = options
        self._dsns = dsns
        self._tally = tally
        self._random = random.Random(f"{seed}/{options.identity}")
        self._connection: psycopg.AsyncConnection | None = None
        self._wrote_at = float("-inf")

    async def run(self, until: Callable[[], bool]) -> None:
        """Write and read until told to stop."""
        try:
            while not until():
                await self._step()
                pause = self.options.think_seconds / max(self.options.load(), 0.01)
                await asyncio.sleep(self._random.expovariate(1 / pause))
        finally:
            await self._disconnect()

    async def _step(self) -> None:
        if self._connection is not None and self._random.random() < self.options.roams:
            await self._disconnect()
        try:
            connection = await self._connect()
        except (psycopg.Error, OSError):
            self._tally.error("connect")
            await asyncio.sleep(_PAUSE_AFTER_ERROR_SECONDS)
            return
        key = f"{self.options.identity}/{self._random.randrange(self.options.own_keys)}"
        if self._random.random() < self.options.write_share:
            await self._write(connection, key)
        else:
            await self._read(connection, key)

    async def _connect(self) -> psycopg.AsyncConnection:
        if self._connection is None or self._connection.closed:
            dsn = self._random.choice(self._dsns())
            self._connection = await psycopg.AsyncConnection.connect(
                dsn,
                autocommit=True,
                connect_timeout=_CONNECT_SECONDS,
                options=f"-c orchidwind.session={self.options.identity}",
            )
            if self.options.settles_token:
                await self._settle_token(self._connection)
        return self._connection

    async def _settle_token(self, connection: psycopg.AsyncConnection) -> None:
        cursor = await connection.execute("SHOW orchidwind.session_token")
        row = await cursor.fetchone()
        assert row is not None
        await connection.execute(f"SET orchidwind.session_token = '{row[0]}'")

    async def _disconnect(self) -> None:
        if self._connection is not None:
            await self._connection.close()
            self._connection = None

    async def _write(self, connection: psycopg.AsyncConnection, key: str) -> None:
        mark = next(self._tally.marks)
        request_id = f"{self.options.identity}-{mark}" if self.options.names_requests else ""
        started = time.monotonic()
        result = await self._send_write(connection, mark, key, request_id)
        if result is Result.UNKNOWN and request_id:
            result = await self._repeat_write(mark, key, request_id)
        event = WriteEvent(
            self.options.identity, key, mark, started, time.monotonic(), result, request_id
        )
        self._tally.history.writes.append(event)
        self._wrote_at = event.ended

    async def _repeat_write(self, mark: int, key: str, request_id: str) -> Result:
        """The request is named, so repeating it is safe: it runs once at most."""
        for _ in range(5):
            await self._disconnect()
            try:
                connection = await self._connect()
            except (psycopg.Error, OSError):
                await asyncio.sleep(_PAUSE_AFTER_ERROR_SECONDS)
                continue
            result = await self._send_write(connection, mark, key, request_id)
            if result is Result.OK:
                return result
            await asyncio.sleep(_PAUSE_AFTER_ERROR_SECONDS)
        return Result.UNKNOWN

    async def _send_write(
        self, connection: psycopg.AsyncConnection, mark: int, key: str, request_id: str
    ) -> Result:
        sql = _INSERT + self._comment(request_id)
        started = time.monotonic()
        try:
            await self._latency()
            await connection.execute(sql, (mark, key, self.options.identity))
            await self._latency()
        except psycopg.Error as error:
            return await self._failed(error)
        self._tally.latencies("write", time.monotonic() - started)
        return Result.OK

    async def _read(self, connection: psycopg.AsyncConnection, key: str) -> None:
        started = time.monotonic()
        try:
            await self._latency()
            rows = await self._select(connection, key)
            await self._latency()
        except psycopg.Error as error:
            result = await self._failed(error)
            event = ReadEvent(self.options.identity, key, started, time.monotonic(), result)
            self._tally.history.reads.append(event)
            return
        ended = time.monotonic()
        self._tally.latencies("read", ended - started)
        marks = frozenset(row[0] for row in rows)
        event = ReadEvent(self.options.identity, key, started, ended, Result.OK, marks)
        self._tally.history.reads.append(event)

    async def _select(self, connection: psycopg.AsyncConnection, key: str) -> list[tuple[int]]:
        sql = _SELECT + self._comment("")
        if time.monotonic() - self._wrote_at < self.options.primary_seconds:
            async with connection.transaction():
                cursor = await connection.execute(sql, (key,))
                return await cursor.fetchall()
        cursor = await connection.execute(sql, (key,))
        return await cursor.fetchall()

    def _comment(self, request_id: str) -> str:
        tags = []
        if request_id:
            tags.append(f"request_id='{request_id}'")
        if self.options.traffic_class:
            tags.append(f"traffic_class='{self.options.traffic_class}'")
        return f" /*{','.join(tags)}*/" if tags else ""

    async def _latency(self) -> None:
        if self.options.client_latency:
            await asyncio.sleep(self.options.client_latency)

    async def _failed(self, error: psycopg.Error) -> Result:
        """Read the answer: the hint says whether the request ran."""
        state = error.sqlstate or "connection"
        self._tally.error(state)
        hint = error.diag.message_hint or ""
        if state == "connection" or error.sqlstate is None:
            await self._disconnect()
            return Result.UNKNOWN
        if "ran=no" in hint:
            return Result.NOT_RUN
        if "ran=unknown" in hint or state in _UNKNOWN_STATES:
            return Result.UNKNOWN
        return Result.NOT_RUN
