"""A caller on the simulator: the product's `CallerSession`, and what the caller was told."""

from __future__ import annotations

import random
from typing import Protocol

from orchidwind.elected.core.caller_session import CallerSession, Forward
from orchidwind.elected.core.statements import ChannelKey, Outcome, Statement, StatementRequest
from orchidwind.shared.core.admission import TrafficClass
from orchidwind.shared.core.errors import Ran
from orchidwind_bench.elected.checkers import History, ReadEvent, Result, WriteEvent
from orchidwind_bench.elected.simulation.database import INSERT_MARK, SELECT_MARKS
from orchidwind_bench.elected.simulation.events import EventQueue
from orchidwind_bench.elected.simulation.home import OnOutcome
from orchidwind_bench.elected.simulation.plan import SystemPlan


class CallersSystem(Protocol):
    """What a caller asks of the system; callers begin nothing new once it is `stopped`."""

    plan: SystemPlan
    events: EventQueue
    history: History
    proxies: list[str]
    stopped: bool

    def next_number(self) -> int:
        """A number for a request or a channel."""

    def next_mark(self) -> int:
        """A value that no other write uses."""

    def send(self, proxy: str, request: StatementRequest, on_outcome: OnOutcome) -> None:
        """Carry a request to the home at a proxy, and its outcome back."""


class SimulatedCaller:
    """One session that writes and reads marks, and roams between proxies."""

    def __init__(
        self,
        system: CallersSystem,
        identity: str,
        *,
        named: bool,
        traffic_class: TrafficClass,
    ) -> None:
        self.system = system
        self.identity = identity
        self.traffic_class = traffic_class
        self.ended = False
        self._named = named
        self._random = random.Random(f"{system.plan.seed}/{identity}")
        self._proxy = self._random.choice(system.proxies)
        self._session = self._new_session()
        self._channel = system.next_number()

    def _new_session(self) -> CallerSession:
        return CallerSession({"orchidwind.session": self.identity})

    def start(self) -> None:
        """Begin after a short while."""
        self.system.events.after(self._random.uniform(0, 0.2), self._step)

    def _step(self) -> None:
        if self.system.stopped or self.ended:
            return
        if self._random.random() < self.system.plan.roaming:
            self._roam()
        key = f"{self.identity}/{self._random.randrange(2)}"
        if self._random.random() < self.system.plan.write_share:
            self._write(key)
        else:
            self._read(key)

    def _roam(self) -> None:
        """Go on through another proxy, with nothing but the session's name."""
        self._proxy = self._random.choice(self.system.proxies)
        self._session = self._new_session()
        self._channel = self.system.next_number()

    def _pause(self) -> None:
        self.system.events.after(self._random.expovariate(1 / self.system.plan.think), self._step)

    def _write(self, key: str) -> None:
        mark = self.system.next_mark()
        request_id = f"{self.identity}-{mark}" if self._named else ""
        started = self.system.events.now
        statement = Statement(INSERT_MARK, parameters=(str(mark).encode(), key.encode()))
        comment = f" /*request_id='{request_id}'*/" if request_id else ""
        attempts = iter(range(4))
        unknown: list[bool] = []

        def done(outcome: Outcome, _: frozenset[int]) -> None:
            result = _result(outcome)
            if result is Result.UNKNOWN:
                unknown.append(True)
            if unknown and result is Result.NOT_RUN:
                result = Result.UNKNOWN  # this repeat did not run, an earlier attempt may have
            if result is Result.UNKNOWN and request_id and next(attempts, None) is not None:
                self._roam()
                self.system.events.after(
                    0.1, lambda: self._send(INSERT_MARK + comment, statement, done)
                )
                return
            now = self.system.events.now
            event = WriteEvent(
                self.identity,
                key,
                mark,
                started,
                now,
                result,
                request_id,
                outcome.position.term,
            )
            self.system.history.writes.append(event)
            self._pause()

        self._send(INSERT_MARK + comment, statement, done)

    def _read(self, key: str) -> None:
        started = self.system.events.now
        statement = Statement(SELECT_MARKS, parameters=(key.encode(),))

        def done(outcome: Outcome, marks: frozenset[int]) -> None:
            event = ReadEvent(
                self.identity,
                key,
                started,
                self.system.events.now,
                _result(outcome),
                marks,
                outcome.is_replica,
            )
            self.system.history.reads.append(event)
            self._pause()

        self._send(SELECT_MARKS, statement, done)

    def _send(self, sql: str, statement: Statement, done: OnOutcome) -> None:
        plan = self._session.plan(sql)
        assert isinstance(plan, Forward)
        request = StatementRequest(
            number=0,
            channel=ChannelKey(self._proxy, self._channel),
            database="marks",
            kind=plan.kind,
            statement=statement,
            floor=self._session.floor,
            traffic_class=self.traffic_class,
            expires_at=self.system.events.now + self.traffic_class.deadline,
            request_id=plan.request_id,
        )
        session = self._session

        def finished(outcome: Outcome, marks: frozenset[int]) -> None:
            session.finished(outcome)
            done(outcome, marks)

        self.system.send(self._proxy, request, finished)


def _result(outcome: Outcome) -> Result:
    if outcome.error is None:
        return Result.OK
    return Result.UNKNOWN if outcome.error.ran is Ran.UNKNOWN else Result.NOT_RUN
