"""The process of one replicating stand-in instance.

The first command line argument holds the settings as JSON. The process connects to the control port
of its owner, receives its `Situation` from there as JSON lines, and sends a `RoleReport` after each
change of role. It ends when that connection is closed.
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
    """The ports of all peers, the active faults of the instance, and a promotion if there is one.

    `cut` names the unreachable peers. With `deaf`, the instance receives no log from any peer. With
    `silent`, it executes statements without answering. `lead` is the term to become primary of, 0
    for none.
    """

    peers: dict[str, int]
    cut: tuple[str, ...] = ()
    deaf: bool = False
    silent: bool = False
    lead: int = 0


class RoleReport(msgspec.Struct, frozen=True):
    """The name, role and term of an instance, sent to its owner."""

    name: str
    role: str
    term: int


class InstanceProcess:
    """One instance with its listener, its replication links and the connection to its owner."""

    def __init__(self, settings: InstanceSettings) -> None:
        self._settings = settings
        self._instance = ReplicatedInstance(settings)
        self._links = ReplicationLinks(self._instance)
        self._writers: set[asyncio.StreamWriter] = set()

    async def run(self) -> None:
        """Serve until the connection to the owner ends."""
        settings = self._settings
        await asyncio.start_server(self._serve, HOST, settings.port, limit=LINE_BYTES)
        reader, writer = await asyncio.open_connection(HOST, settings.control_port)

        def report_role() -> None:
            instance = self._instance
            report = RoleReport(settings.name, instance.role, instance.term)
            writer.write(msgspec.json.encode(report) + b"\n")

        self._instance.on_role = report_role
        report_role()
        while line := await reader.readline():
            self._apply(msgspec.json.decode(line, type=Situation))

    def _apply(self, situation: Situation) -> None:
        self._links.cut = frozenset(situation.cut)
        self._links.deaf = situation.deaf
        answers_enabled = self._instance.answers_enabled
        if situation.silent:
            answers_enabled.clear()
        elif not answers_enabled.is_set():
            answers_enabled.set()
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
    """Entry point of the process: `sys.argv[1]` holds the settings as JSON."""
    settings = msgspec.json.decode(sys.argv[1], type=InstanceSettings)

    async def run() -> None:
        await InstanceProcess(settings).run()

    asyncio.run(run())
