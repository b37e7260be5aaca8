"""A stand-in of the users' database instances: the line protocol on TCP, one group in memory.

Source: the users' page PROTOCOL.md, "The wire" and "Instances". Replicas receive at once; a fenced
one does not. Rows are the data last written to a thing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

_READY_STATES = {None: "I", False: "T", True: "E"}


@dataclass(frozen=True, slots=True)
class LoggedWrite:
    """A write that was committed."""

    thing: str
    data: str


@dataclass(slots=True)
class StandinInstance:
    """One instance: its role, log and faults."""

    name: str
    role: str
    term: int = 1
    number: int = 0
    fence: int = 0
    things: dict[str, str] = field(default_factory=dict)
    log: list[LoggedWrite] = field(default_factory=list)
    alive: bool = True
    ran: list[tuple[str, str]] = field(default_factory=list)
    streams: set[IOStream] = field(default_factory=set)
    silent: bool = False
    # Connections that have fallen silent for good: what comes is taken, not run and not answered.
    swallowed: set[IOStream] = field(default_factory=set)
    answer_with: str = ""
    maximum_connections: int = 34

    @property
    def position(self) -> str:
        """TERM.NUMBER."""
        return f"{self.term}.{self.number}"

    def take(self, writes: list[LoggedWrite]) -> None:
        """Commit writes as the next number."""
        for write in writes:
            self.things[write.thing] = write.data
        self.log.extend(writes)
        self.number += 1

    def follow(self, leader: StandinInstance) -> None:
        """Hold what the leader holds, and nothing else."""
        self.term, self.number = leader.term, leader.number
        self.things = dict(leader.things)
        self.log = list(leader.log)

    def silence_open(self) -> None:
        """All open connections fall silent for good; new ones work."""
        self.swallowed |= self.streams

    def status_row(self) -> str:
        """Role, term, position, term held, lag, busy, connections."""
        busy, connections = 0, len(self.streams)
        return f"{self.role} {self.term} {self.position} {self.fence} 0 {busy} {connections}"


class StandinGroup:
    """The instances of one group."""

    def __init__(self, service: str, names: tuple[str, ...]) -> None:
        self.service = service
        self.instances = {
            name: StandinInstance(name, "replica" if index else "primary")
            for index, name in enumerate(names)
        }
        self.on_role: Callable[[StandinInstance], None] = lambda instance: None

    def add(self, name: str) -> StandinInstance:
        """One more replica."""
        self.instances[name] = StandinInstance(name, "replica")
        return self.instances[name]

    def confirm(self, leader: StandinInstance) -> bool:
        """Ship a commit; whether one replica received it."""
        received = 0
        for item in self.instances.values():
            follows = item.alive and item.role == "replica" and item.term <= leader.term
            if item is not leader and follows and item.fence <= leader.term:
                item.follow(leader)
                item.fence = 0
                received += 1
        return received > 0

    def crash(self, name: str) -> None:
        """An instance stops at once; its log stays, its fence and connections do not."""
        instance = self.instances[name]
        instance.alive = False
        instance.fence = 0
        for stream in list(instance.streams):
            stream.close()

    def restart(self, name: str) -> None:
        """A crashed instance returns, as a replica where another leads a later term."""
        instance = self.instances[name]
        instance.alive = True
        newest = max(item.term for item in self.instances.values())
        if instance.term < newest:
            instance.role = "replica"
        self.on_role(instance)

    def promote(self, name: str) -> bool:
        """An instance leads the next term."""
        chosen = self.instances[name]
        if not chosen.alive:
            return False
        if chosen.role == "primary":
            return True
        chosen.term = max(item.term for item in self.instances.values()) + 1
        chosen.role = "primary"
        chosen.fence = 0
        self.on_role(chosen)
        return True


@dataclass(slots=True)
class _Session:
    settings: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)
    transaction: list[LoggedWrite] | None = None
    read_only: bool = False
    failed: bool = False


class StandinServer(TCPServer):
    """Listens for one instance."""

    def __init__(self, group: StandinGroup, instance: StandinInstance) -> None:
        super().__init__()
        self._group = group
        self._instance = instance

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve one connection."""
        instance = self._instance
        try:
            if not instance.alive or not await self._start(stream):
                stream.close()
                return
            instance.streams.add(stream)
            session = _Session()
            while True:
                line = (await stream.read_until(b"\r\n"))[:-2].decode("latin-1")
                if stream in instance.swallowed:
                    continue
                if line == "TERMINATE":
                    break
                answer = self._answer(session, line)
                if instance.silent:
                    await asyncio.Event().wait()
                await stream.write(answer.encode("latin-1"))
        except StreamClosedError:
            return
        finally:
            instance.streams.discard(stream)
            instance.swallowed.discard(stream)
            stream.close()

    async def _start(self, stream: IOStream) -> bool:
        line = (await stream.read_until(b"\r\n"))[:-2].decode("latin-1")
        words = line.split(" ")
        instance = self._instance
        wrong = words[1] != self._group.service or words[3:] not in ([], [instance.name])
        if words[0] != "STARTUP" or wrong:
            await stream.write(b"ERROR WRONGNODE not here\r\n")
            return False
        if len(instance.streams) >= instance.maximum_connections:
            await stream.write(b"ERROR TOOMANYCON full\r\n")
            return False
        await stream.write(f"READY I {instance.position}\r\n".encode())
        return True

    def _answer(self, session: _Session, line: str) -> str:
        _, request_id, text = line.split(" ", 2)
        if self._instance.answer_with and request_id != "-":
            code, self._instance.answer_with = self._instance.answer_with, ""
            return self._error(session, code)
        if text.startswith("AFTER "):
            _, floor, text = text.split(" ", 2)
            if _position(floor) > _position(self._instance.position):
                return self._error(session, "LAGGING", fails=False)
        return self._run(session, request_id, text)

    def _error(self, session: _Session, code: str, fails: bool = True) -> str:
        if session.transaction is not None and fails and code != "BUSY":
            session.failed = True
        return f"ERROR {code} {self._instance.name}\r\n" + self._ready(session)

    def _ready(self, session: _Session) -> str:
        state = _READY_STATES[session.failed if session.transaction is not None else None]
        return f"READY {state} {self._instance.position}\r\n"

    def _done(self, session: _Session, rows: tuple[str, ...] = (), signature: str = "-") -> str:
        lines = [f"DATAROW {row}\r\n" for row in rows]
        return "".join([*lines, f"COMPLETE {signature}\r\n", self._ready(session)])

    def _run(self, session: _Session, request_id: str, text: str) -> str:
        word, _, rest = text.partition(" ")
        if word in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            return self._control(session, word, rest)
        if word == "RESET":
            session.settings.clear()
            session.prepared.clear()
            return self._done(session)
        if word == "SET":
            name, _, value = rest.partition(" ")
            session.settings[name] = value
            return self._done(session)
        if word == "PREPARE":
            name, access, _ = rest.split(" ", 2)
            session.prepared[name] = access
            return self._done(session)
        if word in ("BEGIN", "COMMIT", "ROLLBACK"):
            return self._transaction(session, request_id, word, rest)
        return self._statement(session, request_id, word, rest)

    def _control(self, session: _Session, word: str, rest: str) -> str:
        instance = self._instance
        if word == "PAUSE":
            instance.fence = int(rest)
        elif word == "RESUME":
            instance.fence = 0
        elif word == "DEMOTE" and instance.role == "primary" and instance.term < int(rest):
            instance.role = "replica"
            self._group.on_role(instance)
        return self._done(session, (instance.status_row(),))

    def _transaction(self, session: _Session, request_id: str, word: str, rest: str) -> str:
        if word == "BEGIN":
            session.read_only = rest == "READ"
            if not session.read_only and self._instance.role != "primary":
                return self._error(session, "READONLY")
            session.transaction = []
            session.failed = False
            return self._done(session)
        writes, session.transaction = session.transaction, None
        if word == "ROLLBACK" or session.failed:
            return self._done(session)
        if writes:
            if self._instance.role != "primary":
                return self._error(session, "READONLY")
            self._instance.take(writes)
            if not self._group.confirm(self._instance):
                return self._error(session, "TIMEOUT")
        self._instance.ran.append((request_id, "COMMIT"))
        return self._done(session, (), f"signed-{request_id}")

    def _statement(self, session: _Session, request_id: str, word: str, rest: str) -> str:
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session.prepared:
                return self._error(session, "NOSTMT")
            word = session.prepared[name]
        thing, _, data = rest.partition(" ")
        if word == "READ":
            self._instance.ran.append((request_id, f"READ {rest}"))
            row = self._instance.things.get(thing, "none")
            return self._done(session, (row,), f"signed-{request_id}")
        if self._instance.role != "primary":
            return self._error(session, "READONLY")
        self._instance.ran.append((request_id, f"WRITE {rest}"))
        if session.transaction is not None:
            session.transaction.append(LoggedWrite(thing, data))
            return self._done(session, (), f"signed-{request_id}")
        self._instance.take([LoggedWrite(thing, data)])
        if not self._group.confirm(self._instance):
            return self._error(session, "TIMEOUT")
        return self._done(session, (), f"signed-{request_id}")


def _position(text: str) -> tuple[int, int]:
    term, _, number = text.partition(".")
    return int(term), int(number)
