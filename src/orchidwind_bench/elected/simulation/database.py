"""Simulated database instances: the stand-in's replication class over a store of marks."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from orchidwind.elected.core.group_view import InstanceReport
from orchidwind.elected.core.statements import (
    TRANSACTION_FAILED,
    TRANSACTION_IDLE,
    TRANSACTION_OPEN,
    RunResult,
    Statement,
)
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind_bench.elected.checkers import Promotion
from orchidwind_bench.elected.simulation.events import EventQueue, Timer
from orchidwind_bench.elected.simulation.network import Network
from orchidwind_standins.elected.replication import (
    Change,
    GroupTimings,
    Instance,
    LogRecord,
    Outgoing,
)

INSERT_MARK = "INSERT INTO marks (mark, k) VALUES ($1, $2)"
SELECT_MARKS = "SELECT mark FROM marks WHERE k = $1"
_MARK = "mark"
_CLAIM = "claim"
_TAG = "tag"
_REQUEST = re.compile(r"'([^']*)'")
STATEMENT_SECONDS = 0.001


class MarkStore:
    """Marks by key, and the ledger."""

    def __init__(self, on_reset: Callable[[], None]) -> None:
        self.marks: dict[str, list[int]] = {}
        self.ledger: dict[str, str] = {}
        self._on_reset = on_reset

    def apply(self, record: LogRecord) -> None:
        """Replay a record."""
        for change in record.changes:
            if change.statement == _MARK:
                mark, key = change.parameters
                self.marks.setdefault(key, []).append(mark)
            else:
                request_id, tag = change.parameters
                self.ledger[request_id] = tag

    def reset(self) -> None:
        """Drop everything."""
        self.marks.clear()
        self.ledger.clear()
        self._on_reset()


@dataclass(slots=True, eq=False)
class SimulatedSession:
    """One server connection."""

    home: str
    status: bytes = TRANSACTION_IDLE
    changes: list[Change] = field(default_factory=list)
    closed: bool = False

    def claims(self) -> set[str]:
        """Ledger rows that the open transaction inserted."""
        return {change.parameters[0] for change in self.changes if change.statement == _CLAIM}


@dataclass(frozen=True, slots=True)
class SessionAnswer:
    """What a session answered: the result, and the marks that a read saw."""

    result: RunResult
    marks: frozenset[int] = frozenset()


class SimulatedInstance:
    """One instance on its host; its log outlives a restart, its sessions do not."""

    def __init__(
        self,
        group: SimulatedGroup,
        name: str,
        members: list[str],
        seed: int,
        timings: GroupTimings,
    ) -> None:
        self.name = name
        self.group = group
        self.store = MarkStore(self.drop_sessions)
        self.instance = Instance(
            name, members, self.store, seed=seed, timings=timings, first_primary=members[0]
        )
        self.sessions: dict[SimulatedSession, None] = {}  # in order, so that runs repeat
        self.connection_limit = 1000
        self._was_primary = self.instance.is_primary
        self._timer = Timer(group.events, lambda: group.network.on_host(name, self._tick))
        self._waiting: list[Callable[[], None]] = []

    def start(self) -> None:
        """Set the timers."""
        self.instance.start(self.group.events.now)
        self._timer.set(self.instance.deadline())

    def _tick(self) -> None:
        if self.name in self.group.network.down:
            self._timer.set(self.group.events.now + 0.1)
            return
        self._send(self.instance.tick(self.group.events.now))
        self._after_step()

    def receive(self, outgoing: Outgoing) -> None:
        """A replication message came."""
        self._send(self.instance.receive(self.group.events.now, outgoing.message))
        self._after_step()

    def _send(self, outgoing: list[Outgoing]) -> None:
        for item in outgoing:
            self._send_one(item)

    def _send_one(self, item: Outgoing) -> None:
        target = self.group.instances[item.recipient]
        self.group.network.send(self.name, target.name, lambda: target.receive(item))

    def _after_step(self) -> None:
        if self._was_primary and not self.instance.is_primary:
            self.drop_sessions()
        if self.instance.is_primary and not self._was_primary:
            promotion = Promotion(self.group.events.now, self.instance.term)
            self.group.promotions.append(promotion)
        self._was_primary = self.instance.is_primary
        self._timer.set(self.instance.deadline())

    def switch_over(self) -> None:
        """Planned change of primary to this instance."""
        self._send(self.instance.force_election(self.group.events.now))
        self._after_step()

    # --- sessions -----------------------------------------------------------------------------

    def open_session(self, home: str) -> SimulatedSession | None:
        """A new connection, None where the limit is met."""
        if len(self.sessions) >= self.connection_limit:
            return None
        session = SimulatedSession(home)
        self.sessions[session] = None
        return session

    def drop_sessions(self) -> None:
        """All connections end, as at a demotion or a restart."""
        for session in list(self.sessions):
            self.close_session(session)
            self.group.session_ended(self, session)

    def close_session(self, session: SimulatedSession) -> None:
        """Roll back and forget."""
        session.closed = True
        session.changes.clear()
        self.sessions.pop(session, None)
        self._wake()

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, []
        for retry in waiting:
            self.group.events.after(0.0, retry)

    def execute(
        self,
        session: SimulatedSession,
        statement: Statement,
        answer: Callable[[SessionAnswer], None],
    ) -> None:
        """Run a statement; a claim of a row that another transaction holds waits for its end."""
        if session.closed:
            return
        if self._must_wait(session, statement.sql):
            self._waiting.append(lambda: self.execute(session, statement, answer))
            return
        answer(self._execute(session, statement))

    def _must_wait(self, session: SimulatedSession, sql: str) -> bool:
        if "ON CONFLICT" not in sql:
            return False
        request_id = _request_in(sql)
        others = (other for other in self.sessions if other is not session)
        return any(request_id in other.claims() for other in others)

    def _execute(self, session: SimulatedSession, statement: Statement) -> SessionAnswer:
        marks: frozenset[int] = frozenset()
        result = RunResult(transaction_status=session.status)
        for part in statement.sql.split("; "):
            seen = self._run_part(session, part, statement, result)
            if seen is not None:
                marks = seen
            if result.error is not None:
                break
        result.transaction_status = session.status
        return SessionAnswer(result, marks)

    def _run_part(
        self, session: SimulatedSession, sql: str, statement: Statement, result: RunResult
    ) -> frozenset[int] | None:
        word = sql.split(" ", 1)[0]
        if word == "BEGIN":
            session.status = TRANSACTION_OPEN
        elif word == "COMMIT":
            self._commit(session, result)
            return None
        elif word == "ROLLBACK":
            session.status = TRANSACTION_IDLE
            session.changes.clear()
            self._wake()
        elif word == "SELECT":
            return self._select(sql, statement, result)
        elif word in ("INSERT", "UPDATE"):
            self._change(session, sql, statement, result)
            return None
        result.tag = word
        return None

    def _select(self, sql: str, statement: Statement, result: RunResult) -> frozenset[int] | None:
        result.tag = "SELECT 1"
        if sql == SELECT_MARKS:
            key = (statement.parameters[0] or b"").decode()
            result.delivered = True
            return frozenset(self.store.marks.get(key, ()))
        tag = self.store.ledger.get(_request_in(sql), "")
        result.first_row = (tag.encode(),)
        return None

    def _change(
        self, session: SimulatedSession, sql: str, statement: Statement, result: RunResult
    ) -> None:
        if not self.instance.is_primary:
            self._fail(session, result, "25006", "read-only")
            return
        change = self._change_of(session, sql, statement)
        if change is None:
            result.tag = "INSERT 0 0"
            return
        result.tag = f"{sql.split(' ', 1)[0]} 0 1" if sql.startswith("INSERT") else "UPDATE 1"
        session.changes.append(change)
        if session.status == TRANSACTION_IDLE:
            self._commit(session, RunResult())

    def _change_of(
        self, session: SimulatedSession, sql: str, statement: Statement
    ) -> Change | None:
        if sql == INSERT_MARK:
            mark, key = statement.parameters
            return Change(_MARK, (int(mark or b"0"), (key or b"").decode()))
        values = _REQUEST.findall(sql)
        if sql.startswith("INSERT"):
            known = values[0] in self.store.ledger or values[0] in session.claims()
            return None if known else Change(_CLAIM, (values[0], ""))
        return Change(_TAG, (values[1], values[0]))

    def _fail(
        self, session: SimulatedSession, result: RunResult, sqlstate: str, message: str
    ) -> None:
        if session.status == TRANSACTION_OPEN:
            session.status = TRANSACTION_FAILED
        result.error = RequestError(ErrorKind.STATEMENT_FAILED, message, sqlstate=sqlstate)

    def _commit(self, session: SimulatedSession, result: RunResult) -> None:
        failed = session.status == TRANSACTION_FAILED
        session.status = TRANSACTION_IDLE
        changes, session.changes = session.changes, []
        result.tag = "ROLLBACK" if failed else "COMMIT"
        if changes and not failed:
            record = LogRecord(0, 0, 0, tuple(changes))
            self.store.apply(record)
            self._send(self.instance.commit(self.instance.next_transaction(), changes))
            self._timer.set(self.instance.deadline())
        self._wake()

    def report(self, asked_at: float, now: float) -> InstanceReport:
        """The answer to a status query, as the instance is now."""
        instance = self.instance
        return InstanceReport(
            self.name,
            asked_at,
            now,
            not instance.is_primary,
            instance.term,
            instance.received,
            instance.replayed.lsn,
        )


def _request_in(sql: str) -> str:
    found = _REQUEST.findall(sql)
    if not found:
        return ""
    return str(found[-1] if sql.startswith("SELECT") else found[0])


class SimulatedGroup:
    """All instances of one database."""

    def __init__(
        self,
        events: EventQueue,
        network: Network,
        zones: list[str],
        *,
        seed: int,
        count: int = 3,
        timings: GroupTimings | None = None,
    ) -> None:
        self.events = events
        self.network = network
        self.promotions: list[Promotion] = []
        names = [f"db-{chr(ord('a') + index)}" for index in range(count)]
        self.instances = {
            name: SimulatedInstance(self, name, names, seed, timings or GroupTimings())
            for name in names
        }
        self.on_session_ended: Callable[[SimulatedInstance, SimulatedSession], None] = (
            lambda instance, session: None
        )
        for index, name in enumerate(names):
            network.zone_of[name] = zones[index % len(zones)]
        for instance in self.instances.values():
            instance.start()

    def session_ended(self, instance: SimulatedInstance, session: SimulatedSession) -> None:
        """Tell the home at the other end."""
        self.on_session_ended(instance, session)

    def primary(self) -> SimulatedInstance | None:
        """The primary of the highest term that is up."""
        up = [
            item
            for item in self.instances.values()
            if item.instance.is_primary and item.name not in self.network.down
        ]
        return max(up, key=lambda item: item.instance.term, default=None)

    def kill(self, name: str) -> None:
        """The process of an instance ends."""
        if name not in self.network.down:
            self.instances[name].drop_sessions()
            self.network.down.add(name)

    def restart(self, name: str) -> None:
        """It comes back with its log."""
        if name in self.network.down:
            self.network.down.discard(name)
            self.instances[name].start()

    def marks_in_logs(self) -> dict[str, Counter[int]]:
        """How often each mark stands in each instance's log."""
        return {name: _marks(item.instance.log.records) for name, item in self.instances.items()}


def _marks(records: list[LogRecord]) -> Counter[int]:
    counted: Counter[int] = Counter()
    for record in records:
        for change in record.changes:
            if change.statement == _MARK:
                counted[change.parameters[0]] += 1
    return counted
