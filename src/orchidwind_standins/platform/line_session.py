"""The server side of the line protocol: one connection to a stand-in instance.

Source: the users' page PROTOCOL.md, "The wire" and "Instances". A READ returns one row: the data
last written to the given key (a "thing" in the protocol's terms). Owns the prepared statements and
the transaction of the connection; relies on the instance for the rest.
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
    """The identity of an instance and its limit of connections."""

    @property
    def name(self) -> str:
        """The name of the instance, which a startup message may contain."""

    @property
    def service(self) -> str:
        """The service (group) of the instance, which a startup message must contain."""

    @property
    def maximum_connections(self) -> int:
        """The number of open connections from which on new ones are refused."""


class LineInstance(Protocol):
    """The instance as a connection uses it. Log positions are a term and a number."""

    connections: int

    @property
    def settings(self) -> LineSettings:
        """The identity and limits of the instance."""

    @property
    def role(self) -> str:
        """`PRIMARY` or `REPLICA`."""

    @property
    def position(self) -> str:
        """The end of the instance's log as TERM.NUMBER."""

    @property
    def busy(self) -> bool:
        """Whether the instance currently rejects all statements with BUSY."""

    @property
    def things(self) -> Mapping[str, str]:
        """The data last written, by key."""

    @property
    def answers_enabled(self) -> asyncio.Event:
        """While cleared, statements are received and executed but no answer is sent."""

    def lacks(self, term: int, number: int) -> bool:
        """Whether the log doesn't reach a position."""

    async def commit(self, writes: Sequence[tuple[str, str]]) -> bool:
        """Commit (key, data) pairs; return whether the commit was replicated."""

    def pause(self, term: int) -> None:
        """Fence the instance: accept no log from a primary below a term."""

    def resume(self) -> None:
        """Lift the fence."""

    def demote(self, term: int) -> None:
        """Become a replica if the instance is a primary of a lower term."""

    def status_row(self) -> str:
        """The status row: role, term, position, fence term, lag, busy, connections."""


class LineSession:
    """Answers the statements of one connection, one after the other."""

    def __init__(self, instance: LineInstance) -> None:
        self._instance = instance
        # While set, statements are received but neither executed nor answered.
        self.discards_statements = False
        # The tenant of the connection, from its startup message.
        self.tenant = ""
        self._prepared: dict[str, str] = {}
        self._transaction: list[tuple[str, str]] | None = None
        self._read_only = False
        self._failed = False

    async def serve(
        self, first: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection until it ends; `first` is its first line, which was already read."""
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
                if self.discards_statements:
                    continue
                if line == "TERMINATE":
                    return
                answer = await self._answer(line)
                await instance.answers_enabled.wait()
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
            return self._complete()
        if word == "SET":
            return self._complete()
        if word == "PREPARE":
            name, access, _ = rest.split(" ", 2)
            self._prepared[name] = access
            return self._complete()
        if word == "BEGIN":
            return self._begin_transaction(rest == "READ")
        if word in ("COMMIT", "ROLLBACK"):
            return await self._end_transaction(request_id, word)
        return await self._statement(request_id, word, rest)

    def _error(self, code: str, fails: bool = True) -> str:
        if self._transaction is not None and fails:
            self._failed = True
        return f"ERROR {code} {self._instance.settings.name}\r\n" + self._ready()

    def _ready(self) -> str:
        state = _READY_STATES[self._failed if self._transaction is not None else None]
        return f"READY {state} {self._instance.position}\r\n"

    def _complete(self, rows: tuple[str, ...] = (), signature: str = "-") -> str:
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
        return self._complete((instance.status_row(),))

    def _begin_transaction(self, read_only: bool) -> str:
        if not read_only and self._instance.role != PRIMARY:
            return self._error("READONLY")
        self._transaction, self._read_only, self._failed = [], read_only, False
        return self._complete()

    async def _end_transaction(self, request_id: str, word: str) -> str:
        writes, self._transaction = self._transaction, None
        if word == "ROLLBACK" or self._failed:
            return self._complete()
        if writes:
            if self._instance.role != PRIMARY:
                return self._error("READONLY")
            if not await self._instance.commit(writes):
                return self._error("TIMEOUT")
        self._on_executed(request_id, word)
        return self._complete((), f"signed-{request_id}")

    def _on_executed(self, request_id: str, text: str) -> None:
        """Hook for subclasses: a statement is executed, or a transaction was committed."""

    async def _statement(self, request_id: str, word: str, rest: str) -> str:
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self._prepared:
                return self._error("NOSTMT")
            word = self._prepared[name]
        needs_primary = self._transaction is not None and not self._read_only
        if (word != "READ" or needs_primary) and self._instance.role != PRIMARY:
            return self._error("READONLY")
        key, _, data = rest.partition(" ")
        self._on_executed(request_id, f"{word} {rest}")
        if word == "READ":
            row = self._instance.things.get(key, "none")
            return self._complete((row,), f"signed-{request_id}")
        if self._transaction is not None:
            self._transaction.append((key, data))
            return self._complete((), f"signed-{request_id}")
        if not await self._instance.commit([(key, data)]):
            return self._error("TIMEOUT")
        return self._complete((), f"signed-{request_id}")
