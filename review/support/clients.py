"""Clients: their sessions, and writers that keep what became of each of their writes."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from dataclasses import dataclass

from support.common import HOST, CannotRun, Record
from support.deployment import Deployment, Proxy
from support.instances import Instance
from support.journals import appended, held

_CONNECT_SECONDS = 2.0
_ANSWER_SECONDS = 3.0
_PAUSE_SECONDS = 0.05
_READ_ATTEMPTS = 20
_READ_AGAIN_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one statement; `code` is OK, an error code, or LOST without an answer."""

    request_id: str
    code: str
    rows: tuple[str, ...]
    signature: str
    sent_at: float
    at: float


class Session:
    """One session of a client at one proxy."""

    _count = 0

    def __init__(self, proxy: Proxy, database: str, record: Record) -> None:
        self._proxy = proxy
        self._database = database
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def _connect(self) -> bool:
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(_CONNECT_SECONDS):
                self._reader, self._writer = await asyncio.open_connection(HOST, self._proxy.front)
                self._writer.write(f"STARTUP {self._database} client\r\n".encode())
                if (await self._reader.readline()).startswith(b"READY"):
                    return True
        self.close()
        return False

    def close(self) -> None:
        """Close the session."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def ask(self, text: str) -> Answer | None:
        """Send one statement and wait for its answer; None if no session could be opened."""
        if self._writer is None and not await self._connect():
            return None
        assert self._reader is not None and self._writer is not None
        Session._count += 1
        request_id = f"{Session._count:016x}"
        sent_at = time.monotonic()
        lines: list[str] = []
        try:
            self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
            async with asyncio.timeout(_ANSWER_SECONDS):
                while not lines or not lines[-1].startswith("READY"):
                    line = await self._reader.readline()
                    if not line:
                        break
                    lines.append(line.decode().rstrip("\r\n"))
        except (OSError, TimeoutError):
            lines = []
        answer = self._answer(request_id, lines, sent_at)
        shown = " ".join((answer.code, *answer.rows, answer.signature)).strip()
        self._record.write(
            f"via {self._proxy.name}/{self._database} {request_id} {text}, "
            f"sent {self._record.seconds(sent_at):.3f}: {shown}",
            answer.at,
        )
        if answer.code == "LOST" or not lines[-1].startswith("READY I"):
            self.close()
        return answer

    @staticmethod
    def _answer(request_id: str, lines: list[str], sent_at: float) -> Answer:
        now = time.monotonic()
        if not lines or not lines[-1].startswith("READY"):
            return Answer(request_id, "LOST", (), "", sent_at, now)
        rows = tuple(line.removeprefix("DATAROW ") for line in lines if line.startswith("DATAROW"))
        for line in lines:
            if line.startswith("ERROR "):
                return Answer(request_id, line.split(" ")[1], rows, "", sent_at, now)
            if line.startswith("COMPLETE "):
                return Answer(request_id, "OK", rows, line.split(" ")[1], sent_at, now)
        return Answer(request_id, "LOST", rows, "", sent_at, now)


@dataclass(frozen=True, slots=True)
class Written:
    """One write of a client and its answer."""

    proxy: str
    thing: str
    data: str
    answer: Answer


class Writers:
    """Clients that write, each write to a thing of its own, and what became of their writes."""

    def __init__(self, system: Deployment, record: Record, database: str) -> None:
        self.written: list[Written] = []
        self._system = system
        self._record = record
        self._database = database
        self._stopped = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, proxy: str, count: int) -> None:
        """Start some clients at a proxy."""
        self._tasks += [
            asyncio.get_running_loop().create_task(self._write(proxy)) for _ in range(count)
        ]

    async def end(self) -> None:
        """Stop all clients and wait for their last answers."""
        self._stopped = True
        await asyncio.gather(*self._tasks)

    @property
    def acknowledged(self) -> list[Written]:
        """The writes that were acknowledged."""
        return [item for item in self.written if item.answer.code == "OK"]

    async def _write(self, proxy: str) -> None:
        session = Session(self._system.proxies[proxy], self._database, self._record)
        while not self._stopped:
            number = len(self.written)
            thing = f"{proxy}-{number}-{id(session) % 997}"
            answer = await session.ask(f"WRITE {thing} d{number}")
            if answer is not None:
                self.written.append(Written(proxy, thing, f"d{number}", answer))
            await asyncio.sleep(_PAUSE_SECONDS)
        session.close()

    async def missing(self, proxy: str) -> list[Written]:
        """Read every acknowledged write again; returns those that are not there."""
        session = Session(self._system.proxies[proxy], self._database, self._record)
        missing = []
        for written in self.acknowledged:
            for _ in range(_READ_ATTEMPTS):
                answer = await session.ask(f"READ {written.thing}")
                if answer is not None and answer.code == "OK":
                    break
                await asyncio.sleep(_READ_AGAIN_SECONDS)
            else:
                raise CannotRun("the system serves no reads at the end")
            if answer.rows != (written.data,):
                missing.append(written)
        session.close()
        return missing

    def committed_by_replaced(self, old: Instance, proxy: str, since: float) -> list[Written]:
        """Acknowledged writes via a proxy that a replaced primary committed after a time.

        They are in the log of `old` in a term below that of the first promotion, and not in the log
        of the instance that was promoted.
        """
        promotion = self._system.group.first_promotion()
        if promotion is None:
            return []
        kept = appended(old.journal)
        there = held(self._system.group.instances[promotion.instance].journal)
        late = []
        for item in self.acknowledged:
            entry = kept.get((item.thing, item.data))
            if item.proxy != proxy or entry is None or entry.term >= promotion.term:
                continue
            if entry.at > max(promotion.at, since) and (item.thing, item.data) not in there:
                late.append(item)
        return late
