"""The soak's callers, and the checks of the answers that they receive.

Each thing (a key) is written by only one caller, with increasing numbers, so that the number that a
read returns shows which commits the read has seen.
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
# Error codes which promise that nothing of the failed attempt takes effect.
NOT_APPLIED_CODES = frozenset(("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANYCON"))


@dataclass(frozen=True, slots=True)
class ReadObservation:
    """The number that a read returned for a thing, and what decides which number is required.

    The read must see the commits acknowledged `before` a time of the monotonic clock, and the
    session's `own` last number (0 if it has none).
    """

    request_id: str
    database: str
    thing: str
    number: int
    before: float
    own: int


@dataclass(slots=True)
class Record:
    """The answers that the callers of one group received, and the violations found.

    `acknowledged` has the time and number of each acknowledged write, by thing; `acknowledged_by`
    the time and proxy of each acknowledgement. `excused` holds the writes acknowledged by a proxy
    that was disturbed shortly before. `refused` holds the writes that must not take effect.
    `old_reads` are reads that returned too low a number, unless the missing writes were lost.
    """

    acknowledged: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    refused: set[tuple[str, int]] = field(default_factory=set)
    broken: list[str] = field(default_factory=list)
    answers: dict[str, int] = field(default_factory=dict)
    acknowledged_by: dict[tuple[str, int], tuple[float, str]] = field(default_factory=dict)
    excused: set[tuple[str, int]] = field(default_factory=set)
    old_reads: list[ReadObservation] = field(default_factory=list)

    def newest(
        self, thing: str, before: float, without: frozenset[tuple[str, int]] = frozenset()
    ) -> int:
        """The greatest number acknowledged for a thing before a time, not counting `without`."""
        commits = self.acknowledged.get(thing, [])
        return max((n for at, n in commits if at < before and (thing, n) not in without), default=0)

    def required_number(
        self, read: ReadObservation, without: frozenset[tuple[str, int]] = frozenset()
    ) -> int:
        """The lowest number that a read may return; ignores the writes in `without`."""
        own = 0 if (read.thing, read.own) in without else read.own
        return max(self.newest(read.thing, read.before, without), own)

    def check_reads(self, lost: set[tuple[str, int]], order: Mapping[tuple[str, int], int]) -> None:
        """Add a STALE violation for each read that returned too low a number.

        Commits in `lost` are ignored, as each already counts as a LOST violation. `order` gives the
        position of each write in the final log. A write whose outcome was unknown may take effect
        after later writes of its thing: a read that returns it has seen all writes that precede it
        in the log.
        """
        without = frozenset(lost)
        for read in self.old_reads:
            required_number = self.required_number(read, without)
            if read.number < required_number and not self._saw_all_required(read, without, order):
                self.broken.append(
                    f"STALE: {read.request_id} on {read.database} shows {read.number} of"
                    f" {read.thing}, not {required_number}"
                )

    def _saw_all_required(
        self,
        read: ReadObservation,
        without: frozenset[tuple[str, int]],
        order: Mapping[tuple[str, int], int],
    ) -> bool:
        """Whether all writes that a read must see precede, in the log, the write it returned."""
        shown_at = order.get((read.thing, read.number))
        if shown_at is None:
            return False
        commits = self.acknowledged.get(read.thing, [])
        required = {(read.thing, n) for at, n in commits if at < read.before} | {
            (read.thing, read.own)
        }
        required -= without | {(read.thing, 0)}
        return all(write in order and order[write] <= shown_at for write in required)

    def count(self, answer: str) -> None:
        """Count an attempt that ended with this answer."""
        self.answers[answer] = self.answers.get(answer, 0) + 1


class Caller:
    """One caller, which opens its sessions on randomly chosen proxies."""

    def __init__(
        self,
        system: SoakSystem,
        record: Record,
        number: int,
        kind: str,
        service: str,
        seed: int,
    ) -> None:
        """`kind` is a key of `DATABASES`; `number` selects the thing, API key and random seed."""
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
        self._statement_count = 0

    async def run(self, until: float) -> None:
        """Open sessions and send statements until a time of the monotonic clock."""
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

    async def _execute(self, text: str) -> tuple[str, list[str]]:
        """Send one statement; returns its request id and the lines of its answer."""
        self._statement_count += 1
        request_id = f"{self._thing}-{self._statement_count}"
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

    def _next_number(self) -> int:
        self._next += 1
        return self._next

    def _acknowledge(self, number: int) -> None:
        self._own = number
        now = time.monotonic()
        commits = self._record.acknowledged.setdefault(self._thing, [])
        commits.append((now, number))
        self._record.acknowledged_by[(self._thing, number)] = (now, self._proxy)
        if self._system.proxy_undisturbed_seconds(self._proxy, now) < THAW_SLACK_SECONDS:
            self._record.excused.add((self._thing, number))
        self._record.count("ok")

    def _record_failure(self, number: int, lines: list[str]) -> None:
        code = lines[0].split(" ")[1] if lines[0].startswith("ERROR ") else "none"
        self._record.count(code)
        if code in NOT_APPLIED_CODES:
            self._record.refused.add((self._thing, number))

    async def _write(self) -> None:
        number = self._next_number()
        request_id, lines = await self._execute(f"WRITE {self._thing} {number}")
        if self._succeeded(request_id, lines):
            self._acknowledge(number)
        else:
            self._record_failure(number, lines)

    async def _transaction(self) -> bool:
        """Write in a transaction; returns whether the session can be used further."""
        number = self._next_number()
        _, lines = await self._execute("BEGIN")
        if not lines[-1].startswith("READY T"):
            self._record.count("BEGIN refused")
            return False
        request_id, lines = await self._execute(f"WRITE {self._thing} {number}")
        if not self._succeeded(request_id, lines):
            self._record_failure(number, lines)
            _, lines = await self._execute("ROLLBACK")
            return lines[-1].startswith("READY I")
        await asyncio.sleep(self._random.random() * _THINK_SECONDS)
        if self._random.random() < 0.2:
            _, lines = await self._execute("ROLLBACK")
            self._record.refused.add((self._thing, number))
            return lines[-1].startswith("READY I")
        request_id, lines = await self._execute("COMMIT")
        if self._succeeded(request_id, lines):
            self._acknowledge(number)
        else:
            self._record_failure(number, lines)
        return lines[-1].startswith("READY I")

    async def _read(self) -> None:
        things = list(self._record.acknowledged) or [self._thing]
        thing = self._thing if self._random.random() < 0.5 else self._random.choice(things)
        began = time.monotonic()
        request_id, lines = await self._execute(f"READ {thing}")
        if not self._succeeded(request_id, lines):
            self._record.count(f"read: {lines[0].split(' ')[1]}")
            return
        self._record.count("read: ok")
        shown = lines[0].removeprefix("DATAROW ")
        number = int(shown) if shown.isdigit() else 0
        before, own = self._required_commits(thing, began)
        read = ReadObservation(request_id, self._database, thing, number, before, own)
        if number < self._record.required_number(read):
            self._record.old_reads.append(read)

    def _required_commits(self, thing: str, began: float) -> tuple[float, int]:
        """The commits that a read begun at a time must see.

        Returns the time up to which acknowledged commits must be visible, and the session's own
        last number where the database guarantees it (otherwise 0).
        """
        if self._kind == "latest":
            return began, 0
        own = self._own if self._kind == "own" and thing == self._thing else 0
        return began - STALENESS_MILLISECONDS / 1000.0, own
