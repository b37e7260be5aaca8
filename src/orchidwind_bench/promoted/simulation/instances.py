"""Simulated instances of a promoted group: logs, terms, fences, crashes and pauses."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.shared.core.positions import Position
from orchidwind_bench.promoted.simulation.instance_slots import InstanceSlots

RECEIVE_SECONDS = 0.001
# What a statement takes on an instance without slots.
WORK_SECONDS = 0.004
PAUSE_LOOK_SECONDS = 0.01
# What an instance sends so soon after a pause, it may have decided before.
THAW_SLACK_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One commit in a log."""

    position: Position
    request_id: str


class InstanceLink(Protocol):
    """What an instance asks of a connection to it."""

    # Neither end is told: what is sent is taken and never arrives, here or (`deaf`) there.
    silent: bool
    deaf: bool

    def break_off(self, silently: bool) -> None:
        """End the connection; silently where the machine went dark."""


class InstanceGroup(Protocol):
    """What an instance asks of the group that it belongs to.

    `resets`: a crashed machine resets its connections, otherwise it goes dark.
    `positions_carry_followed_term`: otherwise a position has the term of the last entry.
    """

    resets: bool
    positions_carry_followed_term: bool
    instances: dict[str, SimulatedInstance]

    def announce(self, instance: SimulatedInstance) -> None:
        """Write the directory's entry."""

    def ship(self, leader: SimulatedInstance) -> None:
        """Send the log to every replica."""


class SimulatedInstance:
    """One instance. Its log survives a crash; its fence and its connections do not."""

    def __init__(
        self, group: InstanceGroup, name: str, role: InstanceRole, zone: str, port: int
    ) -> None:
        self.group = group
        self.name = name
        self.role = role
        self.zone = zone
        self.port = port
        self.alive = True
        # It has left for good: it does not come back, and another may have its address.
        self.ended = False
        # It has told that it will end; with each further entry, too.
        self.draining = False
        self.term = 1
        self.fence_term = 0
        self.log: list[LogEntry] = []
        self.receive_seconds = RECEIVE_SECONDS
        # It receives from no primary; the proxies reach it.
        self.deaf = False
        self.lose_answers = 0.0
        self.links: set[InstanceLink] = set()
        self.confirmations: list[tuple[int, asyncio.Future[bool]]] = []
        # Runs any number of statements at once where there are none.
        self.slots: InstanceSlots | None = None
        # Reads see what was received so many seconds ago.
        self.apply_seconds = 0.0
        self._received: list[tuple[float, int]] = []
        self._paused_until = 0.0
        self._incarnations = 1

    @property
    def position(self) -> Position:
        """The end of the log, as the instance tells it."""
        number = self.log[-1].position.lsn if self.log else 0
        if self.group.positions_carry_followed_term:
            return Position(self.term, number)
        return Position(self.log[-1].position.term, number) if self.log else Position(1, 0)

    def holds(self, floor: Position) -> bool:
        """Whether what reads see has reached a position."""
        if self.apply_seconds and self._applied() < floor.lsn:
            return False
        return self.position >= floor and (
            not self.group.positions_carry_followed_term or self.position.lsn >= floor.lsn
        )

    def _applied(self) -> int:
        """The number of the last entry that reads see."""
        until = asyncio.get_running_loop().time() - self.apply_seconds
        applied = [length for at, length in self._received if at <= until]
        return applied[-1] if applied else 0

    async def work(self, request_id: str, given_up: asyncio.Future[None]) -> bool:
        """Carry out one statement; False where the instance has no room for it."""
        if self.slots is None:
            await asyncio.sleep(WORK_SECONDS)
            return True
        return await self.slots.run_statement(request_id, given_up)

    def status(self) -> InstanceStatus:
        """What the instance tells of itself."""
        return InstanceStatus(self.name, self.role, self.term, self.position, self.fence_term, 0)

    # --- faults -------------------------------------------------------------------------------

    def crash(self) -> None:
        """Stop at once; open transactions and the fence are lost."""
        self.alive = False
        self._incarnations += 1
        self.fence_term = 0
        self._paused_until = 0.0
        self._fail_confirmations()
        for link in list(self.links):
            link.break_off(silently=not self.group.resets)

    def restart(self) -> None:
        """Come back with the log; as a replica where another leads a later term."""
        if self.ended:
            return
        self.alive = True
        newest = max(item.term for item in self.group.instances.values() if item.alive)
        if newest > self.term and self.role is InstanceRole.PRIMARY:
            self.role = InstanceRole.REPLICA
        self.group.announce(self)

    def pause(self, seconds: float) -> None:
        """Do nothing for some seconds; what arrives meanwhile is taken afterwards."""
        now = asyncio.get_running_loop().time()
        self._paused_until = max(self._paused_until, now + seconds)

    def resume(self) -> None:
        """A pause ends now; work that waited goes on within `PAUSE_LOOK_SECONDS`."""
        self._paused_until = min(self._paused_until, asyncio.get_running_loop().time())

    @property
    def pause_left(self) -> float:
        """Seconds for which the instance does nothing yet."""
        return max(0.0, self._paused_until - asyncio.get_running_loop().time())

    @property
    def just_resumed(self) -> bool:
        """Whether it has gone on for a moment only, so that it may not know what happened."""
        running_for = asyncio.get_running_loop().time() - self._paused_until
        return self._paused_until > 0.0 and running_for < THAW_SLACK_SECONDS

    async def while_paused(self) -> bool:
        """Wait until the instance runs; whether it has not crashed meanwhile."""
        incarnations = self._incarnations
        while (left := self.pause_left) > 0.0:
            await asyncio.sleep(min(left, PAUSE_LOOK_SECONDS))
        return self._incarnations == incarnations

    # --- lead ---------------------------------------------------------------------------------

    @property
    def leads(self) -> bool:
        """Whether it runs and takes itself for the primary."""
        return self.alive and self.role is InstanceRole.PRIMARY

    def step_down(self, term: int) -> None:
        """Turn into a replica."""
        self.role = InstanceRole.REPLICA
        self._fail_confirmations()
        self.group.announce(self)

    def _fail_confirmations(self) -> None:
        waiting, self.confirmations = self.confirmations, []
        for _, confirmed in waiting:
            if not confirmed.done():
                confirmed.set_result(False)

    async def commit(self, request_ids: list[str]) -> Position | None:
        """Append and wait for a replica; None where the lead was lost meanwhile."""
        number = self.log[-1].position.lsn if self.log else 0
        for request_id in request_ids:
            number += 1
            self.log.append(LogEntry(Position(self.term, number), request_id))
        position = self.log[-1].position
        confirmed: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.confirmations.append((position.lsn, confirmed))
        self.group.ship(self)
        if not await confirmed:
            return None
        return position

    def confirm(self, number: int) -> None:
        """A replica has received up to a number."""
        remaining = []
        for wanted, confirmed in self.confirmations:
            if wanted <= number and not confirmed.done():
                confirmed.set_result(True)
            elif not confirmed.done():
                remaining.append((wanted, confirmed))
        self.confirmations = remaining

    # --- replication --------------------------------------------------------------------------

    def receive(self, term: int, log: list[LogEntry], end: int) -> bool:
        """Take a primary's log up to its entry number `end`; whether it was taken.

        With the first message of a new term, what the new primary lacks is rolled back.
        """
        if not self.alive or self.role is InstanceRole.PRIMARY:
            return False
        if term < self.term or term < self.fence_term:
            return False
        if term > self.term:
            self.term = term
            self.fence_term = 0
            self.log = self.log[: common_length(self.log, log, end)]
        if end > len(self.log):
            self.log = [*self.log, *log[len(self.log) : end]]
        if self.slots is not None:
            self._received.append((asyncio.get_running_loop().time(), len(self.log)))
        return True


def common_length(log: list[LogEntry], other: list[LogEntry], end: int) -> int:
    """How many entries two logs share from their start on, of the first `end` of the other."""
    shared = 0
    while shared < min(len(log), len(other), end) and log[shared] == other[shared]:
        shared += 1
    return shared
