"""A group of stand-in instances in one process, served on loopback TCP; replication is immediate.

For tests of one or two proxies on real sockets that don't depend on replication lag or elections.
The group that replicates between processes is in `replicated_instance`. Both use `LineSession`. A
fenced replica receives no commits of primaries below the term of its fence.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from orchidwind_standins.platform.line_session import PRIMARY, REPLICA, LineSession

# Size limit of a line in bytes; tests send statements of half a megabyte.
_LINE_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class MemorySettings:
    """The identity of an instance, and a limit above what the proxies of any test may open."""

    name: str
    service: str
    maximum_connections: int = 34


@dataclass
class MemoryInstance:
    """One instance: its role, data and faults.

    `ran` holds the request id and the text of each executed statement in order, and `ran_for` the
    tenant of the connection by request id. `next_error_code` is returned once, for the next
    statement of a caller. `confirm` replicates a commit and returns whether a replica received it;
    `on_role` is called after a change of role.
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
    next_error_code: str = ""
    sessions: dict[LineSession, asyncio.StreamWriter] = field(default_factory=dict)
    # While cleared, statements are received and executed but no answer is sent.
    answers_enabled: asyncio.Event = field(default_factory=asyncio.Event)
    busy: bool = False
    connections: int = 0

    def __post_init__(self) -> None:
        self.answers_enabled.set()

    @property
    def name(self) -> str:
        """The name of the instance in the directory."""
        return self.settings.name

    @property
    def position(self) -> str:
        """The end of the instance's log as TERM.NUMBER."""
        return f"{self.term}.{self.number}"

    def lacks(self, term: int, number: int) -> bool:
        """Whether the log doesn't reach a position."""
        return (term, number) > (self.term, self.number)

    async def commit(self, writes: Sequence[tuple[str, str]]) -> bool:
        """Commit writes at the next number; return whether a replica received them."""
        self.things.update(writes)
        self.number += 1
        return self.confirm(self)

    def follow(self, leader: MemoryInstance) -> None:
        """Replace data, term and position by those of the primary `leader`, and lift the fence."""
        self.term, self.number = leader.term, leader.number
        self.things = dict(leader.things)
        self.fence = 0

    def pause(self, term: int) -> None:
        """Fence the instance: accept no log from a primary below a term."""
        self.fence = term

    def resume(self) -> None:
        """Lift the fence."""
        self.fence = 0

    def demote(self, term: int) -> None:
        """Become a replica if the instance is a primary of a lower term."""
        if self.role == PRIMARY and self.term < term:
            self.role = REPLICA
            self.on_role(self)

    def status_row(self) -> str:
        """The status row: role, term, position, fence term, lag, busy, connections."""
        return f"{self.role} {self.term} {self.position} {self.fence} 0 0 {self.connections}"

    def silence_connections(self) -> None:
        """Make all open connections silent for good; new ones are served."""
        for session in self.sessions:
            session.discards_statements = True

    def close_all(self) -> None:
        """Close all connections."""
        for writer in self.sessions.values():
            writer.close()

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Start a server on an address and return it."""
        return await asyncio.start_server(self._serve, host, port, limit=_LINE_BYTES)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session = _RecordingSession(self)
        self.sessions[session] = writer
        try:
            await session.serve(await reader.readline(), reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            # The connection was closed, or the test has ended. The cancellation is suppressed since
            # the stream server asks each handler for its exception, which a cancelled one lacks.
            pass
        finally:
            del self.sessions[session]
            writer.close()


class _RecordingSession(LineSession):
    """Records executed statements, and returns the error that the instance was set up with."""

    def __init__(self, instance: MemoryInstance) -> None:
        super().__init__(instance)
        self._memory_instance = instance

    async def _answer(self, line: str) -> str:
        code = self._memory_instance.next_error_code
        if code and line.split(" ")[1] != "-":
            self._memory_instance.next_error_code = ""
            return self._error(code, fails=code != "BUSY")
        return await super()._answer(line)

    def _on_executed(self, request_id: str, text: str) -> None:
        self._memory_instance.ran.append((request_id, text))
        self._memory_instance.ran_for[request_id] = self.tenant


class MemoryGroup:
    """The instances of one group; the first name is the primary.

    `on_role` is called after each change of role.
    """

    def __init__(self, service: str, names: tuple[str, ...]) -> None:
        self.service = service
        self.instances: dict[str, MemoryInstance] = {}
        self.on_role: Callable[[MemoryInstance], None] = lambda instance: None
        for name in names:
            self.add(name)
        self.instances[names[0]].role = PRIMARY

    def add(self, name: str) -> MemoryInstance:
        """Add a replica to the group and return it."""
        instance = MemoryInstance(
            MemorySettings(name, self.service), REPLICA, self.confirm, self._role_changed
        )
        self.instances[name] = instance
        return instance

    def _role_changed(self, instance: MemoryInstance) -> None:
        self.on_role(instance)

    def confirm(self, leader: MemoryInstance) -> bool:
        """Copy the state of `leader` to all replicas that accept it; return whether any did."""
        received = 0
        for item in self.instances.values():
            follows = item.role == REPLICA and max(item.term, item.fence) <= leader.term
            if item is not leader and follows:
                item.follow(leader)
                received += 1
        return received > 0

    def promote(self, name: str) -> bool:
        """Make an instance the primary of the next term; always returns True."""
        promoted = self.instances[name]
        if promoted.role != PRIMARY:
            promoted.term = max(item.term for item in self.instances.values()) + 1
            promoted.role = PRIMARY
            promoted.fence = 0
            self.on_role(promoted)
        return True
