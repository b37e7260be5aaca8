"""One connection to a stand-in instance: the line protocol.

Source: the users' page PROTOCOL.md, "The wire" and "Instances". Rows are the data last written to a
thing. Owns a connection's prepared statements and transaction; relies on an instance for the rest.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from typing import Protocol

PRIMARY = "primary"
REPLICA = "replica"

_READY_STATES = {None: "I", False: "T", True: "E"}
_CONTROL = ("STATUS", "PAUSE", "RESUME", "DEMOTE")


class LineSettings(Protocol):
    """Who an instance is, and how many connections it takes."""

    @property
    def name(self) -> str:
        """Its name, which a caller may give."""

    @property
    def service(self) -> str:
        """The service that it belongs to, which a caller has to give."""

    @property
    def maximum_connections(self) -> int:
        """More connections are refused."""


class LineInstance(Protocol):
    """What a connection asks of its instance; positions are a term and a number."""

    connections: int

    @property
    def settings(self) -> LineSettings:
        """Who it is."""

    @property
    def role(self) -> str:
        """`PRIMARY` or `REPLICA`."""

    @property
    def position(self) -> str:
        """TERM.NUMBER."""

    @property
    def busy(self) -> bool:
        """Whether it refuses all statements now."""

    @property
    def things(self) -> Mapping[str, str]:
        """The data last written, by thing."""

    @property
    def speaks(self) -> asyncio.Event:
        """While this is not set, statements are taken and run, and no answer is sent."""

    def lacks(self, term: int, number: int) -> bool:
        """Whether it lacks a position."""

    async def commit(self, writes: Sequence[tuple[str, str]]) -> bool:
        """Commit writes; whether they were replicated."""

    def pause(self, term: int) -> None:
        """Receive from no primary below a term."""

    def resume(self) -> None:
        """Receive again."""

    def demote(self, term: int) -> None:
        """Turn a primary of a lower term into a replica."""

    def status_row(self) -> str:
        """Role, term, position, term held, lag, busy, connections."""


class LineSession:
    """Answers the statements of one connection in order."""

    def __init__(self, instance: LineInstance) -> None:
        self._instance = instance
        # While this is set, what comes is taken, and neither run nor answered.
        self.swallows = False
        # Who the connection belongs to, as its first line said.
        self.tenant = ""
        self._prepared: dict[str, str] = {}
        self._transaction: list[tuple[str, str]] | None = None
        self._read_only = False
        self._failed = False

    async def serve(
        self, first: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection whose first line was read; it ends with the connection."""
        instance = self._instance
        words = first.rstrip(b"\r\n").decode("latin-1").split(" ")
        self.tenant = " ".join(words[2:3])
        refusal = self._refusal(words)
        if refusal:
            writer.write(f"ERROR {refusal}\r\n".encode())
            return
        instance.connections += 1
        try:
            writer.write(f"READY I {instance.position}\r\n".encode())
            while line := (await reader.readline()).rstrip(b"\r\n").decode("latin-1"):
                if self.swallows:
                    continue
                if line == "TERMINATE":
                    return
                answer = await self._answer(line)
                await instance.speaks.wait()
                writer.write(answer.encode("latin-1"))
        finally:
            instance.connections -= 1

    def _refusal(self, words: list[str]) -> str:
        settings = self._instance.settings
        named = words[3:] in ([], [settings.name])
        if words[0] != "STARTUP" or words[1:2] != [settings.service] or not named:
            return "WRONGNODE not here"
        if self._instance.connections >= settings.maximum_connections:
            return "TOOMANYCON full"
        return ""

    async def _answer(self, line: str) -> str:
        _, request_id, text = line.split(" ", 2)
        if self._instance.busy:
            return self._error("BUSY", fails=False)
        if text.startswith("AFTER "):
            _, floor, text = text.split(" ", 2)
            term, _, number = floor.partition(".")
            if self._instance.lacks(int(term), int(number)):
                return self._error("LAGGING", fails=False)
        word, _, rest = text.partition(" ")
        if word in _CONTROL:
            return self._control(word, rest)
        if word == "RESET":
            self._prepared.clear()
            return self._done()
        if word == "SET":
            return self._done()
        if word == "PREPARE":
            name, access, _ = rest.split(" ", 2)
            self._prepared[name] = access
            return self._done()
        if word == "BEGIN":
            return self._begin(rest == "READ")
        if word in ("COMMIT", "ROLLBACK"):
            return await self._end(request_id, word)
        return await self._statement(request_id, word, rest)

    def _error(self, code: str, fails: bool = True) -> str:
        if self._transaction is not None and fails:
            self._failed = True
        return f"ERROR {code} {self._instance.settings.name}\r\n" + self._ready()

    def _ready(self) -> str:
        state = _READY_STATES[self._failed if self._transaction is not None else None]
        return f"READY {state} {self._instance.position}\r\n"

    def _done(self, rows: tuple[str, ...] = (), signature: str = "-") -> str:
        lines = [f"DATAROW {row}\r\n" for row in rows]
        return "".join([*lines, f"COMPLETE {signature}\r\n", self._ready()])

    def _control(self, word: str, rest: str) -> str:
        instance = self._instance
        if word == "PAUSE":
            instance.pause(int(rest))
        elif word == "RESUME":
            instance.resume()
        elif word == "DEMOTE":
            instance.demote(int(rest))
        return self._done((instance.status_row(),))

    def _begin(self, read_only: bool) -> str:
        if not read_only and self._instance.role != PRIMARY:
            return self._error("READONLY")
        self._transaction, self._read_only, self._failed = [], read_only, False
        return self._done()

    async def _end(self, request_id: str, word: str) -> str:
        writes, self._transaction = self._transaction, None
        if word == "ROLLBACK" or self._failed:
            return self._done()
        if writes:
            if self._instance.role != PRIMARY:
                return self._error("READONLY")
            if not await self._instance.commit(writes):
                return self._error("TIMEOUT")
        self._note_run(request_id, word)
        return self._done((), f"signed-{request_id}")

    def _note_run(self, request_id: str, text: str) -> None:
        """A statement runs, or a transaction was committed; for those who record it."""

    async def _statement(self, request_id: str, word: str, rest: str) -> str:
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self._prepared:
                return self._error("NOSTMT")
            word = self._prepared[name]
        lost = self._transaction is not None and not self._read_only
        if (word != "READ" or lost) and self._instance.role != PRIMARY:
            return self._error("READONLY")
        thing, _, data = rest.partition(" ")
        self._note_run(request_id, f"{word} {rest}")
        if word == "READ":
            row = self._instance.things.get(thing, "none")
            return self._done((row,), f"signed-{request_id}")
        if self._transaction is not None:
            self._transaction.append((thing, data))
            return self._done((), f"signed-{request_id}")
        if not await self._instance.commit([(thing, data)]):
            return self._error("TIMEOUT")
        return self._done((), f"signed-{request_id}")
