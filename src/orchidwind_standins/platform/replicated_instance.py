"""The state of one replicating stand-in instance: role, term, fence, log, confirmations.

Source: the users' page PROTOCOL.md, "Instances". No sockets; the log is kept in a journal.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Literal

import msgspec

from orchidwind_standins.platform.line_session import PRIMARY, REPLICA
from orchidwind_standins.platform.replicated_log import (
    Journal,
    LogEntry,
    Runs,
    common_length,
    read_journal_state,
    runs_of,
)

PositionTerm = Literal["last_entry", "followed"]


class InstanceSettings(msgspec.Struct, frozen=True):
    """Settings of one instance. Ports are on loopback; times are in seconds.

    `lag_seconds` is the delay of a replication message, `part_entries` the maximum number of
    entries in one. `position_term` selects the term in reported positions: that of the last log
    entry, or that of the primary that is followed. A replaced primary steps down
    `step_down_seconds` after the new primary contacted it. After a rollback, an instance is busy
    for `rolled_back_seconds`. `newest_term` is the newest term that had a primary when the process
    starts: an instance that was the primary of that term remains it if `may_lead_on` is set.
    A commit fails if it isn't confirmed within `commit_seconds`.
    """

    name: str
    service: str
    port: int
    control_port: int
    journal: str
    newest_term: int
    first_primary: bool = False
    may_lead_on: bool = True
    synchronous_replicas: int = 1
    maximum_connections: int = 34
    lag_seconds: float = 0.002
    part_entries: int = 3
    position_term: PositionTerm = "last_entry"
    step_down_seconds: float = 1.0
    rolled_back_seconds: float = 0.2
    commit_seconds: float = 2.0


class ReplicationMessage(msgspec.Struct, frozen=True):
    """From a primary to a replica: the terms of the whole log, and the entries from `first` on."""

    to: str
    leader: str
    term: int
    runs: Runs
    first: int = 0
    entries: tuple[LogEntry, ...] = ()


class ReplicationAnswer(msgspec.Struct, frozen=True):
    """How many entries of the primary's log the replica holds, or that it refuses the log."""

    term: int
    holds: int = 0
    refused: bool = False


class ReplicatedInstance:
    """One instance. `on_role` is called after each change of role.

    `leads` is set while the instance is the primary. When the log was extended, `log_extended` is
    set, which wakes the tasks that replicate the log, and replaced by a new event.
    """

    def __init__(self, settings: InstanceSettings) -> None:
        self.settings = settings
        self.on_role: Callable[[], None] = lambda: None
        self.leads = asyncio.Event()
        self.log_extended = asyncio.Event()
        # While cleared, statements are received and executed but no answer is sent.
        self.answers_enabled = asyncio.Event()
        self.answers_enabled.set()
        self.fence = 0
        self.connections = 0
        self._busy_until = float("-inf")
        self._stepping_down = False
        self._loop = asyncio.get_running_loop()
        self._confirmed: dict[str, int] = {}
        self._waiting: list[tuple[int, asyncio.Future[bool]]] = []
        path = Path(settings.journal)
        saved = read_journal_state(path)
        self._journal = Journal(path)
        self.log = saved.log
        self.things: dict[str, str] = {}
        self._rebuild_data()
        self.term = saved.term or 1
        led = saved.role == PRIMARY and saved.term == settings.newest_term
        self.role = PRIMARY if settings.first_primary or (led and settings.may_lead_on) else REPLICA
        self._journal.write(term=self.term, role=self.role, note=f"started as {settings.name}")
        if self.role == PRIMARY:
            self.leads.set()

    # --- status ---------------------------------------------------------------------------------

    @property
    def position(self) -> str:
        """The end of the log as TERM.NUMBER."""
        return "{}.{}".format(*self.position_pair)

    @property
    def position_pair(self) -> tuple[int, int]:
        """The end of the log as term and number, which can be compared."""
        return self._position_term(), len(self.log)

    def _position_term(self) -> int:
        return self._last_term() if self.settings.position_term == "last_entry" else self.term

    def _last_term(self) -> int:
        return self.log[-1].term if self.log else 1

    def lacks(self, term: int, number: int) -> bool:
        """Whether the log doesn't reach a position that a primary of `term` or earlier reported."""
        if self._last_term() > term:
            return False  # the log holds all surviving entries of earlier terms
        return self._position_term() < term or len(self.log) < number

    @property
    def busy(self) -> bool:
        """Whether the instance is still rolling back log entries."""
        return self._loop.time() < self._busy_until

    def status_row(self) -> str:
        """The status row: role, term, position, fence term, lag, busy, connections."""
        return f"{self.role} {self.term} {self.position} {self.fence} 0 0 {self.connections}"

    # --- control --------------------------------------------------------------------------------

    def pause(self, term: int) -> None:
        """Fence the instance: accept no log from a primary below a term."""
        if self.role == REPLICA and term > self.term:
            self.fence = max(self.fence, term)
        self._journal.write(note=f"PAUSE {term}: fence {self.fence}")

    def resume(self) -> None:
        """Lift the fence."""
        self.fence = 0
        self._journal.write(note="RESUME")

    def demote(self, term: int) -> None:
        """Become a replica if the instance is a primary of a lower term."""
        if self.role == PRIMARY and self.term < term:
            self._step_down(f"DEMOTE {term}")

    def lead(self, term: int) -> None:
        """Become the primary of a term with the log received so far; ignored for an old term."""
        if term <= self.term:
            self._journal.write(note=f"no lead of {term}")
            return
        self._fail_waiting()
        self._confirmed.clear()
        self.term, self.role, self.fence = term, PRIMARY, 0
        self._stepping_down = False
        self._journal.write(
            term=term, role=PRIMARY, led=True, note=f"leads {term} with {self.position}"
        )
        self.leads.set()
        self._notify_log_extended()
        self.on_role()

    def _step_down(self, reason: str) -> None:
        self.role = REPLICA
        self._stepping_down = False
        self.leads.clear()
        self._journal.write(role=REPLICA, note=f"{reason}: replica at {self.position}")
        self._fail_waiting()
        self.on_role()

    def _fail_waiting(self) -> None:
        waiting, self._waiting = self._waiting, []
        for _, confirmed in waiting:
            if not confirmed.done():
                confirmed.set_result(False)

    # --- as primary -----------------------------------------------------------------------------

    async def commit(self, writes: Sequence[tuple[str, str]]) -> bool:
        """Append a commit; return whether it was confirmed.

        It is confirmed when `synchronous_replicas` replicas received it while the instance was the
        primary. The entry stays in the log in any case.
        """
        entry = LogEntry(self.term, tuple(writes))
        self._append([entry])
        number = len(self.log)
        if self.settings.synchronous_replicas:
            confirmed: asyncio.Future[bool] = self._loop.create_future()
            self._waiting.append((number, confirmed))
            self._notify_log_extended()
            try:
                async with asyncio.timeout(self.settings.commit_seconds):
                    if not await confirmed:
                        return False
            except TimeoutError:
                return False
        self._journal.write(acknowledged=number)
        return True

    def confirm(self, replica: str, term: int, number: int) -> None:
        """Record that a replica holds the log of `term` up to `number`; resolve commits."""
        if self.role != PRIMARY or self.term != term:
            return
        self._confirmed[replica] = number
        held = sorted(self._confirmed.values(), reverse=True)
        required = self.settings.synchronous_replicas
        if len(held) < required:
            return
        confirmed_number = held[required - 1]
        remaining = []
        for item in self._waiting:
            if item[1].done():
                continue
            if item[0] <= confirmed_number:
                item[1].set_result(True)
            else:
                remaining.append(item)
        self._waiting = remaining

    def _append(self, entries: Sequence[LogEntry]) -> None:
        self.log.extend(entries)
        self._journal.write(entries=entries)
        for entry in entries:
            self.things.update(entry.writes)

    def _notify_log_extended(self) -> None:
        self.log_extended.set()
        self.log_extended = asyncio.Event()

    # --- as replica -----------------------------------------------------------------------------

    def receive(self, message: ReplicationMessage) -> ReplicationAnswer:
        """Append entries of a primary; refuse them if it is fenced or of an earlier term.

        Entries that the primary doesn't have are rolled back first.
        """
        if self.role == PRIMARY and message.term > self.term:
            self._schedule_step_down(message.leader)
        refused = message.term < self.term or message.term < self.fence
        if self.role == PRIMARY or refused:
            return ReplicationAnswer(self.term, refused=True)
        shared = common_length(runs_of(self.log), message.runs)
        if message.term > self.term:
            self.term, self.fence = message.term, 0
            self._journal.write(term=self.term, note=f"follows {message.leader}")
            self._truncate_log(shared)
        elif shared < min(len(self.log), sum(count for _, count in message.runs)):
            self._truncate_log(shared)
        missing = message.entries[max(0, len(self.log) - message.first) :]
        if missing and message.first <= len(self.log):
            self._append(missing)
        return ReplicationAnswer(self.term, common_length(runs_of(self.log), message.runs))

    def _truncate_log(self, count: int) -> None:
        """Roll back all entries after the first `count`."""
        if count >= len(self.log):
            return
        self._journal.write(keep=count, note=f"rolled back {len(self.log) - count}")
        del self.log[count:]
        self._rebuild_data()
        self._busy_until = self._loop.time() + self.settings.rolled_back_seconds

    def _rebuild_data(self) -> None:
        self.things = {thing: data for entry in self.log for thing, data in entry.writes}

    def _schedule_step_down(self, leader: str) -> None:
        if self._stepping_down:
            return
        self._stepping_down = True
        term = self.term
        self._loop.call_later(
            self.settings.step_down_seconds, self._step_down_if_replaced, term, leader
        )

    def _step_down_if_replaced(self, term: int, leader: str) -> None:
        if self._stepping_down and self.role == PRIMARY and self.term == term:
            self._step_down(f"replaced by {leader}")
