"""A replicated group of database instances, without input or output.

One `Instance` holds the log of one stand-in database instance. The primary sends its log to the
replicas asynchronously, as PostgreSQL does by default. When the replicas receive no heartbeat, a
majority elects an instance whose log is at least as advanced as theirs, in a higher term. A
partitioned primary continues to accept commits until it receives a message of the higher term;
it then drops the part of its log that the new primary does not have.

`postgres_main` runs this class with sockets and SQLite; the simulator runs it with a virtual clock.
"""

from __future__ import annotations

import random
from bisect import bisect_right
from collections import deque
from collections.abc import Sequence
from typing import Any, Protocol

import msgspec

from orchidwind.shared.core.positions import ORIGIN, Position


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One statement of a committed transaction, in the SQL dialect of the store.

    Parameters are SQLite values: None, int, float, str or bytes. The codec cannot distinguish str
    from bytes in a declared union, so they are declared as Any.
    """

    statement: str
    parameters: tuple[Any, ...] = ()


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """One committed transaction: the log position at its end, and its changes."""

    term: int
    lsn: int
    transaction: int
    changes: tuple[Change, ...] = ()

    @property
    def position(self) -> Position:
        """The log position at the end of this record."""
        return Position(self.term, self.lsn)


class HistoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """The last log position of one term."""

    term: int
    lsn: int


class Append(msgspec.Struct, frozen=True, tag="append"):
    """Log records from the primary that follow `previous`; a heartbeat if there are none."""

    sender: str
    term: int
    previous: HistoryEntry
    records: tuple[LogRecord, ...]


class AppendAnswer(msgspec.Struct, frozen=True, tag="append_answer"):
    """The reply to Append, with the last position of each term in the replica's log.

    `matched` is False if the records were not accepted: the replica's log does not contain
    `previous`, or its term is higher.
    """

    sender: str
    term: int
    matched: bool
    history: tuple[HistoryEntry, ...]


class VoteRequest(msgspec.Struct, frozen=True, tag="vote_request"):
    """A candidate's request for a vote in `term`; `last` is the end of its log."""

    sender: str
    term: int
    last: HistoryEntry


class Vote(msgspec.Struct, frozen=True, tag="vote"):
    """The reply to a vote request."""

    sender: str
    term: int
    granted: bool


GroupMessage = Append | AppendAnswer | VoteRequest | Vote


class Outgoing(msgspec.Struct, frozen=True):
    """A message and the name of its recipient."""

    recipient: str
    message: GroupMessage


class Store(Protocol):
    """The tables to which committed records are applied."""

    def apply(self, record: LogRecord) -> None:
        """Make the changes of one record visible to readers."""

    def reset(self) -> None:
        """Delete all contents; the log is then applied again from its start."""


class GroupTimings(msgspec.Struct, frozen=True):
    """Durations in seconds."""

    heartbeat: float = 0.1
    election_minimum: float = 0.6
    election_maximum: float = 0.9
    replay_lag: float = 0.0


_RECORD_OVERHEAD_BYTES = 48
_MAXIMUM_RECORDS_PER_MESSAGE = 500


def _record_size(changes: Sequence[Change]) -> int:
    return _RECORD_OVERHEAD_BYTES + sum(len(change.statement) for change in changes)


class Log:
    """Committed records in order, indexed by log sequence number."""

    def __init__(self) -> None:
        self.records: list[LogRecord] = []
        self._lsns: list[int] = []
        self._history: list[HistoryEntry] = []

    @property
    def last(self) -> Position:
        """The position at the end of the log."""
        return self.records[-1].position if self.records else ORIGIN

    def append(self, record: LogRecord) -> None:
        """Append a record."""
        self.records.append(record)
        self._lsns.append(record.lsn)
        entry = HistoryEntry(record.term, record.lsn)
        if self._history and self._history[-1].term == record.term:
            self._history[-1] = entry
        else:
            self._history.append(entry)

    def truncate(self, lsn: int) -> None:
        """Drop all records that end after `lsn`."""
        kept = self.records[: self.index_after(lsn)]
        self.records, self._lsns, self._history = [], [], []
        for record in kept:
            self.append(record)

    def index_after(self, lsn: int) -> int:
        """Return the index of the first record that ends after `lsn`."""
        return bisect_right(self._lsns, lsn)

    def contains(self, position: Position) -> bool:
        """Whether a record ends exactly at `position`."""
        if position == ORIGIN:
            return True
        index = self.index_after(position.lsn) - 1
        return index >= 0 and self.records[index].position == position

    def history(self) -> tuple[HistoryEntry, ...]:
        """Return the last position of each term in this log."""
        return tuple(self._history)

    def last_common_position(self, other: Sequence[HistoryEntry]) -> Position:
        """Return the end of the longest prefix that both logs share."""
        ends = {entry.term: entry.lsn for entry in other}
        for entry in reversed(self._history):
            if entry.term not in ends:
                continue
            lsn = min(entry.lsn, ends[entry.term])
            index = self.index_after(lsn) - 1
            return self.records[index].position if index >= 0 else ORIGIN
        return ORIGIN


class Instance:
    """One member of a group: its log, its term and its election state."""

    def __init__(
        self,
        name: str,
        members: Sequence[str],
        store: Store,
        *,
        seed: int,
        timings: GroupTimings | None = None,
        first_primary: str | None = None,
        may_vote: bool = True,
    ) -> None:
        self.name = name
        self.peers = [member for member in members if member != name]
        self.majority = len(members) // 2 + 1
        self.store = store
        self.timings = timings or GroupTimings()
        self.log = Log()
        self.replayed = ORIGIN
        self.term = 1 if first_primary else 0
        self.primary: str | None = first_primary
        self.may_vote = may_vote
        self.committed_transactions: dict[int, LogRecord] = {}
        self._random = random.Random(f"{seed}/{name}")
        self._next_transaction = 1
        self._last_voted_term = self.term
        self._votes: set[str] = set()
        self._replay_queue: deque[tuple[float, LogRecord]] = deque()
        self._sent_positions: dict[str, Position] = {}
        self._election_time = 0.0
        self._heartbeat_time = 0.0
        if self.is_primary:
            self._append_local(())

    @property
    def is_primary(self) -> bool:
        """Whether this instance considers itself the primary of its term."""
        return self.primary == self.name

    @property
    def received(self) -> Position:
        """The position at the end of this instance's log."""
        return self.log.last

    def start(self, now: float) -> None:
        """Start the election and heartbeat timers."""
        self._reset_election_timer(now)
        self._heartbeat_time = now

    def next_transaction(self) -> int:
        """Allocate a transaction identifier."""
        identifier = (self.term << 32) | self._next_transaction
        self._next_transaction += 1
        return identifier

    def commit(self, transaction: int, changes: Sequence[Change]) -> list[Outgoing]:
        """Append a transaction to the primary's log; returns the messages for the replicas."""
        self._append_local(changes, transaction)
        return self._ship_all()

    def deadline(self) -> float:
        """Return when `tick` must be called next, in seconds of the caller's clock."""
        next_time = self._heartbeat_time if self.is_primary else self._election_time
        if self._replay_queue:
            next_time = min(next_time, self._replay_queue[0][0])
        return next_time

    def tick(self, now: float) -> list[Outgoing]:
        """Apply records whose replay lag has passed; send heartbeats or start an election.

        Returns the messages to send.
        """
        self._apply_due_records(now)
        if self.is_primary:
            if now < self._heartbeat_time:
                return []
            self._heartbeat_time = now + self.timings.heartbeat
            return self._ship_all(heartbeat=True)
        if now < self._election_time:
            return []
        return self._start_election(now)

    def receive(self, now: float, message: GroupMessage) -> list[Outgoing]:
        """Handle a message of another instance; returns the messages to send."""
        if message.term > self.term:
            self._step_down(message.term, now)
        if isinstance(message, Append):
            return self._on_append(now, message)
        if isinstance(message, AppendAnswer):
            return self._on_append_answer(message)
        if isinstance(message, VoteRequest):
            return self._on_vote_request(now, message)
        return self._on_vote(now, message)

    def set_replay_lag(self, seconds: float) -> None:
        """Set the replay delay of records that arrive from now on."""
        self.timings = msgspec.structs.replace(self.timings, replay_lag=seconds)

    def force_election(self, now: float) -> list[Outgoing]:
        """Start an election at once, for a planned change of primary."""
        return self._start_election(now)

    def _append_local(self, changes: Sequence[Change], transaction: int = 0) -> None:
        lsn = self.log.last.lsn + _record_size(changes)
        record = LogRecord(self.term, lsn, transaction, tuple(changes))
        self.log.append(record)
        self.replayed = record.position
        if transaction:
            self.committed_transactions[transaction] = record

    def _ship_all(self, heartbeat: bool = False) -> list[Outgoing]:
        return [
            self._ship(peer) for peer in self.peers if heartbeat or self._has_unsent_records(peer)
        ]

    def _has_unsent_records(self, peer: str) -> bool:
        return self._sent_positions.get(peer, ORIGIN) != self.log.last

    def _ship(self, peer: str) -> Outgoing:
        previous = self._sent_positions.get(peer, ORIGIN)
        if not self.log.contains(previous):
            previous = ORIGIN
        start = self.log.index_after(previous.lsn)
        records = tuple(self.log.records[start : start + _MAXIMUM_RECORDS_PER_MESSAGE])
        if records:
            self._sent_positions[peer] = records[-1].position
        entry = HistoryEntry(previous.term, previous.lsn)
        return Outgoing(peer, Append(self.name, self.term, entry, records))

    def _on_append(self, now: float, message: Append) -> list[Outgoing]:
        if message.term < self.term:
            return [self._append_answer(message.sender, matched=False)]
        self.primary = message.sender
        self.may_vote = True
        self._reset_election_timer(now)
        previous = Position(message.previous.term, message.previous.lsn)
        if not self.log.contains(previous):
            return [self._append_answer(message.sender, matched=False)]
        for record in message.records:
            self._accept_record(now, record, previous)
            previous = record.position
        return [self._append_answer(message.sender, matched=True)]

    def _accept_record(self, now: float, record: LogRecord, previous: Position) -> None:
        if self.log.contains(record.position):
            return
        if self.log.last != previous:
            self._truncate_log(previous.lsn)
        self.log.append(record)
        if record.transaction:
            self.committed_transactions[record.transaction] = record
        self._replay_queue.append((now + self.timings.replay_lag, record))
        self._apply_due_records(now)

    def _truncate_log(self, lsn: int) -> None:
        """Drop the log after `lsn` and rebuild the store from the remaining records."""
        self.log.truncate(lsn)
        self._replay_queue.clear()
        self.store.reset()
        self.committed_transactions.clear()
        for record in self.log.records:
            self.store.apply(record)
            if record.transaction:
                self.committed_transactions[record.transaction] = record
        self.replayed = self.log.last

    def _append_answer(self, recipient: str, matched: bool) -> Outgoing:
        answer = AppendAnswer(self.name, self.term, matched, self.log.history())
        return Outgoing(recipient, answer)

    def _on_append_answer(self, message: AppendAnswer) -> list[Outgoing]:
        if not self.is_primary or message.term != self.term:
            return []
        if message.matched:
            return [self._ship(message.sender)] if self._has_unsent_records(message.sender) else []
        self._sent_positions[message.sender] = self.log.last_common_position(message.history)
        return [self._ship(message.sender)]

    def _apply_due_records(self, now: float) -> None:
        while self._replay_queue and self._replay_queue[0][0] <= now:
            _, record = self._replay_queue.popleft()
            self.store.apply(record)
            self.replayed = record.position

    def _reset_election_timer(self, now: float) -> None:
        delay = self._random.uniform(self.timings.election_minimum, self.timings.election_maximum)
        self._election_time = now + delay

    def _step_down(self, term: int, now: float) -> None:
        self.term = term
        if self.is_primary:
            self._reset_election_timer(now)
        self.primary = None
        self._votes.clear()

    def _start_election(self, now: float) -> list[Outgoing]:
        self._reset_election_timer(now)
        if not self.may_vote:
            return []
        self.term += 1
        self.primary = None
        self._last_voted_term = self.term
        self._votes = {self.name}
        if len(self._votes) >= self.majority:
            return self._become_primary(now)
        last = HistoryEntry(self.log.last.term, self.log.last.lsn)
        request = VoteRequest(self.name, self.term, last)
        return [Outgoing(peer, request) for peer in self.peers]

    def _on_vote_request(self, now: float, message: VoteRequest) -> list[Outgoing]:
        last = Position(message.last.term, message.last.lsn)
        granted = (
            self.may_vote
            and message.term == self.term
            and self._last_voted_term < message.term
            and last >= self.log.last
        )
        if granted:
            self._last_voted_term = message.term
            self._reset_election_timer(now)
        return [Outgoing(message.sender, Vote(self.name, self.term, granted))]

    def _on_vote(self, now: float, message: Vote) -> list[Outgoing]:
        if message.term != self.term or self.primary is not None or not message.granted:
            return []
        self._votes.add(message.sender)
        if len(self._votes) < self.majority:
            return []
        return self._become_primary(now)

    def _become_primary(self, now: float) -> list[Outgoing]:
        """Become primary; applies the whole log first, so that every commit in it is visible."""
        for _, record in self._replay_queue:
            self.store.apply(record)
        self._replay_queue.clear()
        self.primary = self.name
        self._sent_positions = {peer: self.log.last for peer in self.peers}
        self._append_local(())
        self._heartbeat_time = now
        return self._ship_all(heartbeat=True)
