"""One connection to a replicating stand-in instance: the line protocol.

Source: the users' page PROTOCOL.md, "The wire" and "Instances". Rows are the data last written to a
thing.
"""

from __future__ import annotations

import asyncio

from orchidwind_standins.promoted.replicated_instance import PRIMARY, ReplicatedInstance

_READY_STATES = {None: "I", False: "T", True: "E"}
_CONTROL = ("STATUS", "PAUSE", "RESUME", "DEMOTE")


class LineSession:
    """Answers the statements of one connection in order."""

    def __init__(self, instance: ReplicatedInstance) -> None:
        self._instance = instance
        self._prepared: dict[str, str] = {}
        self._transaction: list[tuple[str, str]] | None = None
        self._read_only = False
        self._failed = False

    async def serve(
        self, first: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection whose first line was read; it ends with the connection."""
        instance = self._instance
        refusal = self._refusal(first.rstrip(b"\r\n").decode("latin-1").split(" "))
        if refusal:
            writer.write(f"ERROR {refusal}\r\n".encode())
            return
        instance.connections += 1
        try:
            writer.write(f"READY I {instance.position}\r\n".encode())
            while line := (await reader.readline()).rstrip(b"\r\n").decode("latin-1"):
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
        return await self._commit(request_id, writes or [])

    async def _commit(self, request_id: str, writes: list[tuple[str, str]]) -> str:
        if writes:
            if self._instance.role != PRIMARY:
                return self._error("READONLY")
            if not await self._instance.commit(writes):
                return self._error("TIMEOUT")
        return self._done((), f"signed-{request_id}")

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
        if word == "READ":
            row = self._instance.things.get(thing, "none")
            return self._done((row,), f"signed-{request_id}")
        if self._transaction is not None:
            self._transaction.append((thing, data))
            return self._done((), f"signed-{request_id}")
        return await self._commit(request_id, [(thing, data)])
