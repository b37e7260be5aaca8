"""Replication between stand-in instances: JSON lines on TCP, over links that can be cut."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from contextlib import suppress

import msgspec

from orchidwind_standins.platform.replicated_instance import (
    PRIMARY,
    ReplicatedInstance,
    ReplicationAnswer,
    ReplicationMessage,
)
from orchidwind_standins.platform.replicated_log import runs_of

HOST = "127.0.0.1"
# Size limit of a line in bytes; a message holds some log entries and the runs of all terms.
LINE_BYTES = 4 * 1024 * 1024
_ANSWER_SECONDS = 0.5
_HEARTBEAT_SECONDS = 0.05
_PAUSE_SECONDS = 0.03


class ReplicationLinks:
    """Sends an instance's log to its peers while it is primary, and receives that of a primary.

    `cut` names the peers whose links are cut; with `deaf`, nothing is received from any peer.
    """

    def __init__(self, instance: ReplicatedInstance) -> None:
        self._instance = instance
        self._senders: dict[str, tuple[int, asyncio.Task[None]]] = {}
        self.cut: frozenset[str] = frozenset()
        self.deaf = False

    def set_peers(self, peers: Mapping[str, int]) -> None:
        """Set the instances of the group with their ports, and replicate to the others."""
        for name, (port, task) in list(self._senders.items()):
            if peers.get(name) != port:
                task.cancel()
                del self._senders[name]
        for name, port in peers.items():
            if name != self._instance.settings.name and name not in self._senders:
                task = asyncio.get_running_loop().create_task(self._replicate_to(name, port))
                self._senders[name] = (port, task)

    # --- sending --------------------------------------------------------------------------------

    async def _replicate_to(self, peer: str, port: int) -> None:
        while True:
            await self._instance.leads.wait()
            with suppress(OSError, TimeoutError, ValueError, msgspec.DecodeError):
                reader, writer = await asyncio.open_connection(HOST, port, limit=LINE_BYTES)
                try:
                    await self._replicate_over(peer, reader, writer)
                finally:
                    writer.close()
            await asyncio.sleep(_PAUSE_SECONDS)

    async def _replicate_over(
        self, peer: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        instance = self._instance
        held: int | None = None
        while instance.role == PRIMARY and peer not in self.cut:
            term, log_extended = instance.term, instance.log_extended
            message = self._message(peer, held)
            writer.write(msgspec.json.encode(message) + b"\n")
            async with asyncio.timeout(_ANSWER_SECONDS + instance.settings.lag_seconds):
                line = await reader.readline()
            if not line or peer in self.cut:
                return
            answer = msgspec.json.decode(line, type=ReplicationAnswer)
            if answer.refused:
                held = None
                await asyncio.sleep(_HEARTBEAT_SECONDS)
                continue
            held = answer.holds
            instance.confirm(peer, term, held)
            if held >= len(instance.log):
                with suppress(TimeoutError):
                    async with asyncio.timeout(_HEARTBEAT_SECONDS):
                        await log_extended.wait()

    def _message(self, peer: str, held: int | None) -> ReplicationMessage:
        instance = self._instance
        settings = instance.settings
        first = held or 0
        part = [] if held is None else instance.log[first : first + settings.part_entries]
        return ReplicationMessage(
            peer, settings.name, instance.term, runs_of(instance.log), first, tuple(part)
        )

    # --- receiving ------------------------------------------------------------------------------

    async def receive(
        self, first: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection of a primary; `first` is its first line, which was already read."""
        settings = self._instance.settings
        line = first
        while line:
            message = msgspec.json.decode(line, type=ReplicationMessage)
            if message.to != settings.name:
                return
            await asyncio.sleep(settings.lag_seconds)
            if not self.deaf and message.leader not in self.cut:
                answer = self._instance.receive(message)
                writer.write(msgspec.json.encode(answer) + b"\n")
            line = await reader.readline()
