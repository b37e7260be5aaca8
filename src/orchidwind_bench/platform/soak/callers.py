"""The soak's callers, and the checks of what they were told.

Each caller alone writes to one thing, with rising numbers, so that a read can be judged by the
number that it shows.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Mapping
from dataclasses import dataclass, field

from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from orchidwind_bench.platform.soak.system import (
    HOST,
    STALENESS_MILLISECONDS,
    THAW_SLACK_SECONDS,
    SoakSystem,
    api_key,
    database_name,
)

_ANSWER_SECONDS = 4.0
_THINK_SECONDS = 0.03
_RECONNECT_SECONDS = 0.05
_SHARE_OF_WRITES = 0.4
_SHARE_OF_TRANSACTIONS = 0.3
_SHARE_OF_NEW_SESSIONS = 0.04
# Told for an attempt, these promise that nothing of it is kept.
PROMISES = frozenset(("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANYCON"))


@dataclass(frozen=True, slots=True)
class ShownNumber:
    """What a read showed of a thing, and the least that it may show.

    `least` is of the commits acknowledged `before` a time of the steady clock, and of the session's
    `own` number.
    """

    request_id: str
    database: str
    thing: str
    number: int
    before: float
    own: int


@dataclass(slots=True)
class Record:
    """All that the callers of one group were told, and which promises were broken.

    `acknowledged_by` has the time and the proxy of each acknowledgement; `excused` are those of a
    proxy that was disturbed a moment before. `old_reads` are reads that showed too little, unless
    what they should have shown was lost.
    """

    acknowledged: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    refused: set[tuple[str, int]] = field(default_factory=set)
    broken: list[str] = field(default_factory=list)
    answers: dict[str, int] = field(default_factory=dict)
    acknowledged_by: dict[tuple[str, int], tuple[float, str]] = field(default_factory=dict)
    excused: set[tuple[str, int]] = field(default_factory=set)
    old_reads: list[ShownNumber] = field(default_factory=list)

    def newest(
        self, thing: str, before: float, without: frozenset[tuple[str, int]] = frozenset()
    ) -> int:
        """The greatest number acknowledged for a thing before a time, `without` some writes."""
        told = self.acknowledged.get(thing, [])
        return max((n for at, n in told if at < before and (thing, n) not in without), default=0)

    def least(self, read: ShownNumber, without: frozenset[tuple[str, int]] = frozenset()) -> int:
        """The number that a read must at least show."""
        own = 0 if (read.thing, read.own) in without else read.own
        return max(self.newest(read.thing, read.before, without), own)

    def judge_reads(self, lost: set[tuple[str, int]], order: Mapping[tuple[str, int], int]) -> None:
        """Reads that showed too little are broken promises; lost commits count once, as lost.

        `order` is that of the last log. A write whose outcome was unknown may take effect after
        later ones of its thing: a read that shows it has seen what comes before it in the log.
        """
        without = frozenset(lost)
        for read in self.old_reads:
            least = self.least(read, without)
            if read.number < least and not self._overtaken(read, without, order):
                self.broken.append(
                    f"STALE: {read.request_id} on {read.database} shows {read.number} of"
                    f" {read.thing}, not {least}"
                )

    def _overtaken(
        self,
        read: ShownNumber,
        without: frozenset[tuple[str, int]],
        order: Mapping[tuple[str, int], int],
    ) -> bool:
        """Whether all that a read has to show comes before what it shows."""
        shown_at = order.get((read.thing, read.number))
        if shown_at is None:
            return False
        told = self.acknowledged.get(read.thing, [])
        due = {(read.thing, n) for at, n in told if at < read.before} | {(read.thing, read.own)}
        due -= without | {(read.thing, 0)}
        return all(write in order and order[write] <= shown_at for write in due)

    def count(self, answer: str) -> None:
        """An attempt ended so."""
        self.answers[answer] = self.answers.get(answer, 0) + 1


class Caller:
    """One caller on one proxy after another."""

    def __init__(
        self,
        system: SoakSystem,
        record: Record,
        number: int,
        kind: str,
        service: str,
        seed: int,
    ) -> None:
        """`kind` is one of the databases that each group has."""
        self._system = system
        self._record = record
        self._kind = kind
        self._database = database_name(kind, service)
        self._proxy = ""
        self._thing = f"t{number}"
        self._api_key = api_key(number)
        self._random = random.Random(f"{seed}/{number}")
        self._next = 0
        self._own = 0
        self._asked = 0

    async def run(self, until: float) -> None:
        """Ask until a time of the steady clock."""
        while time.monotonic() < until:
            proxy = self._random.choice(self._system.proxies)
            try:
                async with asyncio.timeout(_ANSWER_SECONDS):
                    stream = await TCPClient().connect(HOST, proxy.front)
            except (OSError, StreamClosedError, TimeoutError):
                await asyncio.sleep(_RECONNECT_SECONDS)
                continue
            self._stream = stream
            self._proxy = proxy.name
            try:
                await self._session(until)
            except (StreamClosedError, TimeoutError, OSError):
                self._record.count("broken connection")
            finally:
                stream.close()

    async def _session(self, until: float) -> None:
        self._own = 0
        await self._stream.write(f"STARTUP {self._database} {self._api_key}\r\n".encode())
        if not (await self._line()).startswith("READY"):
            await asyncio.sleep(_RECONNECT_SECONDS)
            return
        while time.monotonic() < until:
            await asyncio.sleep(self._random.random() * 2 * _THINK_SECONDS)
            choice = self._random.random()
            if choice < _SHARE_OF_WRITES:
                await self._write()
            elif choice < _SHARE_OF_WRITES + _SHARE_OF_TRANSACTIONS:
                if not await self._transaction():
                    return
            else:
                await self._read()
            if self._random.random() < _SHARE_OF_NEW_SESSIONS:
                return

    async def _line(self) -> str:
        async with asyncio.timeout(_ANSWER_SECONDS):
            return (await self._stream.read_until(b"\r\n"))[:-2].decode("latin-1")

    async def _ask(self, text: str) -> tuple[str, list[str]]:
        """Send one statement; its request id and the lines of its answer."""
        self._asked += 1
        request_id = f"{self._thing}-{self._asked}"
        await self._stream.write(f"QUERY {request_id} {text}\r\n".encode())
        lines: list[str] = []
        while not lines or not lines[-1].startswith("READY"):
            lines.append(await self._line())
        return request_id, lines

    def _succeeded(self, request_id: str, lines: list[str]) -> bool:
        complete = [line for line in lines if line.startswith("COMPLETE ")]
        if not complete:
            return False
        if complete[0] != f"COMPLETE signed-{request_id}":
            self._record.broken.append(f"MIXED: {request_id} got {complete[0]}")
        return True

    def _number(self) -> int:
        self._next += 1
        return self._next

    def _acknowledge(self, number: int) -> None:
        self._own = number
        now = time.monotonic()
        told = self._record.acknowledged.setdefault(self._thing, [])
        told.append((now, number))
        self._record.acknowledged_by[(self._thing, number)] = (now, self._proxy)
        if self._system.quiet_seconds(self._proxy, now) < THAW_SLACK_SECONDS:
            self._record.excused.add((self._thing, number))
        self._record.count("ok")

    def _refuse(self, number: int, lines: list[str]) -> None:
        code = lines[0].split(" ")[1] if lines[0].startswith("ERROR ") else "none"
        self._record.count(code)
        if code in PROMISES:
            self._record.refused.add((self._thing, number))

    async def _write(self) -> None:
        number = self._number()
        request_id, lines = await self._ask(f"WRITE {self._thing} {number}")
        if self._succeeded(request_id, lines):
            self._acknowledge(number)
        else:
            self._refuse(number, lines)

    async def _transaction(self) -> bool:
        """Whether the session may go on."""
        number = self._number()
        _, lines = await self._ask("BEGIN")
        if not lines[-1].startswith("READY T"):
            self._record.count("BEGIN refused")
            return False
        request_id, lines = await self._ask(f"WRITE {self._thing} {number}")
        if not self._succeeded(request_id, lines):
            self._refuse(number, lines)
            _, lines = await self._ask("ROLLBACK")
            return lines[-1].startswith("READY I")
        await asyncio.sleep(self._random.random() * _THINK_SECONDS)
        if self._random.random() < 0.2:
            _, lines = await self._ask("ROLLBACK")
            self._record.refused.add((self._thing, number))
            return lines[-1].startswith("READY I")
        request_id, lines = await self._ask("COMMIT")
        if self._succeeded(request_id, lines):
            self._acknowledge(number)
        else:
            self._refuse(number, lines)
        return lines[-1].startswith("READY I")

    async def _read(self) -> None:
        things = list(self._record.acknowledged) or [self._thing]
        thing = self._thing if self._random.random() < 0.5 else self._random.choice(things)
        began = time.monotonic()
        request_id, lines = await self._ask(f"READ {thing}")
        if not self._succeeded(request_id, lines):
            self._record.count(f"read: {lines[0].split(' ')[1]}")
            return
        self._record.count("read: ok")
        shown = lines[0].removeprefix("DATAROW ")
        number = int(shown) if shown.isdigit() else 0
        before, own = self._due(thing, began)
        read = ShownNumber(request_id, self._database, thing, number, before, own)
        if number < self._record.least(read):
            self._record.old_reads.append(read)

    def _due(self, thing: str, began: float) -> tuple[float, int]:
        """Until when commits have to be seen by a read begun at a time; the session's own one."""
        if self._kind == "latest":
            return began, 0
        own = self._own if self._kind == "own" and thing == self._thing else 0
        return began - STALENESS_MILLISECONDS / 1000.0, own
