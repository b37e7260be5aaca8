"""The process of one replicating stand-in instance.

Its first argument is its settings as JSON. It connects to whoever started it: from there it is
told its situation, as JSON lines, and there it tells its role. It ends with that connection.
"""

from __future__ import annotations

import asyncio
import sys
from contextlib import suppress

import msgspec

from orchidwind_standins.platform.line_session import LineSession
from orchidwind_standins.platform.replicated_instance import InstanceSettings, ReplicatedInstance
from orchidwind_standins.platform.replication_links import HOST, LINE_BYTES, ReplicationLinks


class Situation(msgspec.Struct, frozen=True, omit_defaults=True):
    """What an instance is told: all peers with their ports, its faults, a term to lead now.

    `cut` names the peers that it cannot reach, `deaf` that it receives nothing of any, `silent`
    that it takes statements and answers none. `lead` is 0 where it is not promoted.
    """

    peers: dict[str, int]
    cut: tuple[str, ...] = ()
    deaf: bool = False
    silent: bool = False
    lead: int = 0


class RoleReport(msgspec.Struct, frozen=True):
    """What an instance tells: its name, its role, and the term that it is in."""

    name: str
    role: str
    term: int


class InstanceProcess:
    """One instance with its listener, its links and the connection to its owner."""

    def __init__(self, settings: InstanceSettings) -> None:
        self._settings = settings
        self._instance = ReplicatedInstance(settings)
        self._links = ReplicationLinks(self._instance)
        self._writers: set[asyncio.StreamWriter] = set()

    async def run(self) -> None:
        """Serve until the owner's connection ends."""
        settings = self._settings
        await asyncio.start_server(self._serve, HOST, settings.port, limit=LINE_BYTES)
        reader, writer = await asyncio.open_connection(HOST, settings.control_port)

        def tell() -> None:
            instance = self._instance
            report = RoleReport(settings.name, instance.role, instance.term)
            writer.write(msgspec.json.encode(report) + b"\n")

        self._instance.on_role = tell
        tell()
        while line := await reader.readline():
            self._take(msgspec.json.decode(line, type=Situation))

    def _take(self, situation: Situation) -> None:
        self._links.cut = frozenset(situation.cut)
        self._links.deaf = situation.deaf
        speaks = self._instance.speaks
        if situation.silent:
            speaks.clear()
        elif not speaks.is_set():
            speaks.set()
            for writer in list(self._writers):
                writer.close()
        self._links.set_peers(situation.peers)
        if situation.lead:
            self._instance.lead(situation.lead)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            with suppress(OSError, asyncio.IncompleteReadError):
                first = await reader.readline()
                if first.startswith(b"{"):
                    await self._links.receive(first, reader, writer)
                elif first:
                    await LineSession(self._instance).serve(first, reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()


def main() -> None:
    """Entry point of the process."""
    settings = msgspec.json.decode(sys.argv[1], type=InstanceSettings)

    async def run() -> None:
        await InstanceProcess(settings).run()

    asyncio.run(run())
