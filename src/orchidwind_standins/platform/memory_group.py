"""A group of stand-in instances in memory: replicas receive each commit at once, on loopback TCP.

For tests of one or two proxies on sockets, where lag and elections are not the subject; the group
that replicates between processes is in `replicated_instance`. Both answer by the same
`LineSession`. A fenced replica receives nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from orchidwind_standins.platform.line_session import PRIMARY, REPLICA, LineSession

# The longest line that is read, in bytes. Chosen: tests send statements of half a megabyte.
_LINE_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class MemorySettings:
    """Who an instance is. Chosen: more connections than any test's proxies may open."""

    name: str
    service: str
    maximum_connections: int = 34


@dataclass
class MemoryInstance:
    """One instance: its role, data and faults.

    `ran` has the request ids and texts that were run, in their order, `ran_for` the tenant of each
    request id's connection. `answer_with` is an error
    code that the next statement of a caller is answered with, once.
    """

    settings: MemorySettings
    role: str
    confirm: Callable[[MemoryInstance], bool]
    on_role: Callable[[MemoryInstance], None]
    term: int = 1
    number: int = 0
    fence: int = 0
    things: dict[str, str] = field(default_factory=dict)
    ran: list[tuple[str, str]] = field(default_factory=list)
    ran_for: dict[str, str] = field(default_factory=dict)
    answer_with: str = ""
    sessions: dict[LineSession, asyncio.StreamWriter] = field(default_factory=dict)
    # While this is not set, statements are taken and run, and no answer is sent.
    speaks: asyncio.Event = field(default_factory=asyncio.Event)
    busy: bool = False
    connections: int = 0

    def __post_init__(self) -> None:
        self.speaks.set()

    @property
    def name(self) -> str:
        """Its name in the directory."""
        return self.settings.name

    @property
    def position(self) -> str:
        """TERM.NUMBER."""
        return f"{self.term}.{self.number}"

    def lacks(self, term: int, number: int) -> bool:
        """Whether a position was not reached."""
        return (term, number) > (self.term, self.number)

    async def commit(self, writes: Sequence[tuple[str, str]]) -> bool:
        """Commit writes as the next number; whether a replica received them."""
        self.things.update(writes)
        self.number += 1
        return self.confirm(self)

    def follow(self, leader: MemoryInstance) -> None:
        """Hold what the leader holds, and nothing else."""
        self.term, self.number = leader.term, leader.number
        self.things = dict(leader.things)
        self.fence = 0

    def pause(self, term: int) -> None:
        """Receive from no primary below a term."""
        self.fence = term

    def resume(self) -> None:
        """Receive again."""
        self.fence = 0

    def demote(self, term: int) -> None:
        """Turn a primary of a lower term into a replica."""
        if self.role == PRIMARY and self.term < term:
            self.role = REPLICA
            self.on_role(self)

    def status_row(self) -> str:
        """Role, term, position, term held, lag, busy, connections."""
        return f"{self.role} {self.term} {self.position} {self.fence} 0 0 {self.connections}"

    def silence_open(self) -> None:
        """All open connections fall silent for good; new ones work."""
        for session in self.sessions:
            session.swallows = True

    def close_all(self) -> None:
        """End all connections."""
        for writer in self.sessions.values():
            writer.close()

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Serve on a port until the server is closed."""
        return await asyncio.start_server(self._serve, host, port, limit=_LINE_BYTES)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session = _RecordingSession(self)
        self.sessions[session] = writer
        try:
            await session.serve(await reader.readline(), reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            # The connection was closed, or the test has ended; the stream server asks each handler
            # for its exception, and a cancelled one has none.
            pass
        finally:
            del self.sessions[session]
            writer.close()


class _RecordingSession(LineSession):
    """Notes what runs, and answers as the instance's faults say."""

    def __init__(self, instance: MemoryInstance) -> None:
        super().__init__(instance)
        self._faulty = instance

    async def _answer(self, line: str) -> str:
        code = self._faulty.answer_with
        if code and line.split(" ")[1] != "-":
            self._faulty.answer_with = ""
            return self._error(code, fails=code != "BUSY")
        return await super()._answer(line)

    def _note_run(self, request_id: str, text: str) -> None:
        self._faulty.ran.append((request_id, text))
        self._faulty.ran_for[request_id] = self.tenant


class MemoryGroup:
    """The instances of one group. `on_role` is called after each change of role."""

    def __init__(self, service: str, names: tuple[str, ...]) -> None:
        self.service = service
        self.instances: dict[str, MemoryInstance] = {}
        self.on_role: Callable[[MemoryInstance], None] = lambda instance: None
        for name in names:
            self.add(name)
        self.instances[names[0]].role = PRIMARY

    def add(self, name: str) -> MemoryInstance:
        """One more replica."""
        instance = MemoryInstance(
            MemorySettings(name, self.service), REPLICA, self.confirm, self._role_changed
        )
        self.instances[name] = instance
        return instance

    def _role_changed(self, instance: MemoryInstance) -> None:
        self.on_role(instance)

    def confirm(self, leader: MemoryInstance) -> bool:
        """Ship a commit; whether one replica received it."""
        received = 0
        for item in self.instances.values():
            follows = item.role == REPLICA and max(item.term, item.fence) <= leader.term
            if item is not leader and follows:
                item.follow(leader)
                received += 1
        return received > 0

    def promote(self, name: str) -> bool:
        """An instance leads the next term."""
        chosen = self.instances[name]
        if chosen.role != PRIMARY:
            chosen.term = max(item.term for item in self.instances.values()) + 1
            chosen.role = PRIMARY
            chosen.fence = 0
            self.on_role(chosen)
        return True
