"""The soak's callers, and the checks of what they were told.

Each caller alone writes to one thing, with rising numbers, so that a read can be judged by the
number that it shows.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field

from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from orchidwind_bench.platform.soak.system import HOST, STALENESS_MILLISECONDS, SoakSystem

_ANSWER_SECONDS = 4.0
_THINK_SECONDS = 0.03
_RECONNECT_SECONDS = 0.05
_SHARE_OF_WRITES = 0.4
_SHARE_OF_TRANSACTIONS = 0.3
_SHARE_OF_NEW_SESSIONS = 0.04
# Told for an attempt, these promise that nothing of it is kept.
PROMISES = frozenset(("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANYCON"))


@dataclass(slots=True)
class Record:
    """All that callers were told, and which promises were broken."""

    acknowledged: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    refused: set[tuple[str, int]] = field(default_factory=set)
    broken: list[str] = field(default_factory=list)
    answers: dict[str, int] = field(default_factory=dict)

    def newest(self, thing: str, before: float) -> int:
        """The greatest number acknowledged for a thing before a time."""
        return max((n for at, n in self.acknowledged.get(thing, []) if at < before), default=0)

    def count(self, answer: str) -> None:
        """An attempt ended so."""
        self.answers[answer] = self.answers.get(answer, 0) + 1


class Caller:
    """One caller on one proxy after another."""

    def __init__(
        self, system: SoakSystem, record: Record, number: int, database: str, seed: int
    ) -> None:
        self._system = system
        self._record = record
        self._database = database
        self._thing = f"t{number}"
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
            try:
                await self._session(until)
            except (StreamClosedError, TimeoutError, OSError):
                self._record.count("broken connection")
            finally:
                stream.close()

    async def _session(self, until: float) -> None:
        self._own = 0
        await self._stream.write(f"STARTUP {self._database} soak\r\n".encode())
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
        told = self._record.acknowledged.setdefault(self._thing, [])
        told.append((time.monotonic(), number))
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
        await self._ask("BEGIN")
        request_id, lines = await self._ask(f"WRITE {self._thing} {number}")
        if not self._succeeded(request_id, lines):
            self._refuse(number, lines)
            _, lines = await self._ask("ROLLBACK")
            return lines[-1].startswith("READY I")
        await asyncio.sleep(self._random.random() * _THINK_SECONDS)
        if self._random.random() < 0.2:
            await self._ask("ROLLBACK")
            self._record.refused.add((self._thing, number))
            return True
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
        least = self._least(thing, began)
        if number < least:
            self._record.broken.append(
                f"STALE: {request_id} on {self._database} shows {number} of {thing}, not {least}"
            )

    def _least(self, thing: str, began: float) -> int:
        """The number that a read begun at a time must at least show."""
        if self._database == "latest":
            return self._record.newest(thing, began)
        old = self._record.newest(thing, began - STALENESS_MILLISECONDS / 1000.0)
        if self._database == "own" and thing == self._thing:
            return max(old, self._own)
        return old


def check(record: Record, system: SoakSystem) -> None:
    """Compare what callers were told with the log of the last primary."""
    primaries = [item for item in system.group.instances.values() if item.role == "primary"]
    last = max(primaries, key=lambda item: item.term)
    logged: dict[tuple[str, int], int] = {}
    for write in last.log:
        key = (write.thing, int(write.data))
        logged[key] = logged.get(key, 0) + 1
    for key, times in logged.items():
        if times > 1:
            record.broken.append(f"TWICE: {key}")
    for thing, told in record.acknowledged.items():
        for _, number in told:
            if (thing, number) not in logged:
                record.broken.append(f"LOST: {thing} {number}")
    for key in record.refused:
        if key in logged:
            record.broken.append(f"REFUSED: {key}")
    _check_tokens(record, system)


def _check_tokens(record: Record, system: SoakSystem) -> None:
    greatest, holder = 0, ""
    for _, _, sender, token in system.store.promotions:
        if token < greatest or (token == greatest and sender != holder):
            record.broken.append(f"ONE: {sender} promotes with {token} after {holder} {greatest}")
        greatest, holder = token, sender
