"""How commits travel in a simulated group: whole logs, or parts that arrive in each one's time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable

from orchidwind_bench.promoted.simulation.instances import SimulatedInstance, common_length
from orchidwind_bench.promoted.simulation.network import Network

CONFIRM_SECONDS = 0.0005
# A part takes up to so many times its receiver's usual time.
_LONGEST_PART_FACTOR = 4.0


class Replication:
    """Sends the logs of primaries to all others of their group."""

    def __init__(self, network: Network, seed: int) -> None:
        self._network = network
        # Entries that travel together; None sends all that there is with each commit.
        self.part_entries: int | None = None
        self._random = random.Random(seed)
        self._streams: set[tuple[str, str]] = set()

    def ship(self, leader: SimulatedInstance, instances: Iterable[SimulatedInstance]) -> None:
        """Send the log to every other instance."""
        for replica in instances:
            if replica is leader:
                continue
            if self.part_entries is None:
                work = self._deliver(leader, replica, len(leader.log), replica.receive_seconds)
            elif (leader.name, replica.name) not in self._streams:
                work = self._stream(leader, replica, self.part_entries)
            else:
                continue
            asyncio.get_running_loop().create_task(work)

    async def _stream(
        self, leader: SimulatedInstance, replica: SimulatedInstance, part_entries: int
    ) -> bool:
        """Send part after part until the replica has all, or one has not arrived."""
        pair = (leader.name, replica.name)
        self._streams.add(pair)
        try:
            while leader.leads:
                seconds = replica.receive_seconds * self._random.uniform(1.0, _LONGEST_PART_FACTOR)
                end = min(_next_start(leader, replica) + part_entries, len(leader.log))
                if replica.term < leader.term:
                    # The first message of a term only moves the replica into it.
                    end = _next_start(leader, replica)
                arrived = await self._deliver(leader, replica, end, seconds)
                if not arrived or len(replica.log) >= len(leader.log):
                    return arrived
            return False
        finally:
            self._streams.discard(pair)

    async def _deliver(
        self, leader: SimulatedInstance, replica: SimulatedInstance, end: int, seconds: float
    ) -> bool:
        """Send the log up to its entry number `end`; whether the replica took it."""
        term, log = leader.term, leader.log
        await asyncio.sleep(seconds)
        if not leader.alive or replica.deaf:
            return False
        if not self._network.passes(leader.name, replica.name):
            return False
        if not await replica.while_paused() or not replica.receive(term, log, end):
            return False
        confirming = self._confirm(leader, replica, term, min(end, len(replica.log)))
        asyncio.get_running_loop().create_task(confirming)
        return True

    async def _confirm(
        self, leader: SimulatedInstance, replica: SimulatedInstance, term: int, number: int
    ) -> None:
        await asyncio.sleep(CONFIRM_SECONDS)
        if not self._network.passes(replica.name, leader.name):
            return
        if await leader.while_paused() and leader.leads and leader.term == term:
            leader.confirm(number)


def _next_start(leader: SimulatedInstance, replica: SimulatedInstance) -> int:
    """How many entries of the primary's log the replica has."""
    if replica.term == leader.term:
        return len(replica.log)
    return common_length(replica.log, leader.log, len(leader.log))
