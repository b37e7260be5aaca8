"""Homes, callers and one database group on the simulator.

Homes are the product's `HomeGroup`, callers the product's `CallerSession`; this module only
carries their effects over the simulated network.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import count

from orchidwind.core.admission import TrafficClass
from orchidwind.core.caller_session import CallerSession, Forward
from orchidwind.core.errors import BackendConnectionLost, ErrorKind, Ran, RequestError
from orchidwind.core.group_effects import (
    AbandonConnection,
    CancelConnection,
    Finished,
    GroupEffect,
    GroupOptions,
    PollInstance,
    RunOnConnection,
)
from orchidwind.core.home_group import HomeGroup
from orchidwind.core.link_loss import after_link_loss
from orchidwind.core.pool import CloseConnection, OpenConnection
from orchidwind.core.statements import ChannelKey, Outcome, Statement, StatementRequest
from orchidwind_bench.checkers import History, ReadEvent, Result, WriteEvent
from orchidwind_bench.simulation.database import (
    INSERT_MARK,
    SELECT_MARKS,
    STATEMENT_SECONDS,
    SessionAnswer,
    SimulatedGroup,
    SimulatedInstance,
    SimulatedSession,
)
from orchidwind_bench.simulation.events import EventQueue, Timer
from orchidwind_bench.simulation.network import Network, NetworkSettings
from orchidwind_standins.replication import GroupTimings

_CONNECT_SECONDS = 0.01
_CONNECT_TIMEOUT_SECONDS = 2.0
_CLOSE_RETRY_SECONDS = 0.5
_DEFAULT_CLASS = TrafficClass("default", deadline=4.0)

OnOutcome = Callable[[Outcome, frozenset[int]], None]


@dataclass(slots=True)
class _ServerConnection:
    instance: SimulatedInstance
    session: SimulatedSession


class SimulatedHome:
    """One home proxy of the group on its host; a restart begins without memory."""

    def __init__(self, system: SimulatedSystem, name: str, generation: int) -> None:
        self.system = system
        self.name = name
        self.alive = True
        self.group = system.group_class(
            dict.fromkeys(system.database.instances, system.share), system.options
        )
        self._generation = generation
        self._connections: dict[int, _ServerConnection] = {}
        self._waiting: dict[int, OnOutcome] = {}
        self._marks: dict[int, frozenset[int]] = {}
        events = system.events
        self._timer = Timer(events, lambda: system.network.on_host(name, self._tick))
        self._perform(self.group.tick(events.now))

    @property
    def _now(self) -> float:
        return self.system.events.now

    def stop(self) -> None:
        """The process is killed; its server connections end."""
        self.alive = False
        self._timer.stopped = True
        for connection in self._connections.values():
            connection.instance.close_session(connection.session)

    def submit(self, request: StatementRequest, on_outcome: OnOutcome) -> None:
        """A request came over a link."""
        number = self.system.next_number()
        self._waiting[number] = on_outcome
        remaining = request.expires_at - self._now
        own = replace(request, number=number, expires_at=self._now + remaining)
        self._perform(self.group.submit(self._now, own))

    def close_channel(self, channel: ChannelKey) -> None:
        """A caller has gone."""
        self._perform(self.group.close_channel(self._now, channel))

    def session_ended(self, session: SimulatedSession) -> None:
        """The database ended a connection."""
        for number, connection in list(self._connections.items()):
            if connection.session is session:
                del self._connections[number]
                lost = BackendConnectionLost("ended by the database", sent=True)
                self._perform(self.group.connection_lost(self._now, number, lost))

    def _tick(self) -> None:
        if self.alive:
            self._perform(self.group.tick(self._now))

    def _perform(self, effects: list[GroupEffect]) -> None:
        for effect in effects:
            if isinstance(effect, Finished):
                self._finish(effect)
            elif isinstance(effect, OpenConnection):
                self._open(effect)
            elif isinstance(effect, CloseConnection):
                self._close(effect.connection)
            elif isinstance(effect, RunOnConnection):
                self._run(effect)
            elif isinstance(effect, PollInstance):
                self._poll(effect)
            elif isinstance(effect, AbandonConnection):
                self._abandon(effect.connection)
            elif isinstance(effect, CancelConnection):
                continue
        self._timer.set(self.group.deadline())

    def _finish(self, effect: Finished) -> None:
        on_outcome = self._waiting.pop(effect.request.number, None)
        marks = self._marks.pop(effect.request.number, frozenset())
        if on_outcome is not None:
            on_outcome(effect.outcome, marks)

    def _there(
        self, instance: SimulatedInstance, action: Callable[[], None], delay: float = 0.0
    ) -> bool:
        """Carry something to an instance; its arrival there may find the home gone."""
        network = self.system.network

        def arrive() -> None:
            self.system.events.after(delay, lambda: network.on_host(instance.name, action))

        return network.send(self.name, instance.name, arrive, reliable=True)

    def _back(self, instance: SimulatedInstance, action: Callable[[], None]) -> None:
        def arrive() -> None:
            if self.alive:
                action()

        self.system.network.send(instance.name, self.name, arrive, reliable=True)

    def _open(self, effect: OpenConnection) -> None:
        instance = self.system.database.instances[effect.instance]
        number = effect.connection
        done: list[bool] = []

        def opened(session: SimulatedSession | None) -> None:
            if done:
                return
            done.append(True)
            if session is None:
                self._perform(self.group.connection_failed(self._now, number, limit_met=True))
                return
            self._connections[number] = _ServerConnection(instance, session)
            self._perform(self.group.connection_opened(self._now, number))

        def accept() -> None:
            if instance.name in self.system.network.down:
                return
            session = instance.open_session(self.name)
            self._back(instance, lambda: opened(session))

        def failed() -> None:
            if not done and self.alive:
                done.append(True)
                self._perform(self.group.connection_failed(self._now, number, limit_met=False))

        sent = self._there(instance, accept, _CONNECT_SECONDS)
        refused = instance.name in self.system.network.down
        wait = _CONNECT_SECONDS if refused and not sent else _CONNECT_TIMEOUT_SECONDS
        self.system.events.after(wait, failed)

    def _close(self, number: int) -> None:
        connection = self._connections.pop(number, None)
        if connection is not None:
            self._end_session(connection)

    def _abandon(self, number: int) -> None:
        self._close(number)
        lost = BackendConnectionLost("given up", sent=True)
        self.system.events.after(
            0.0, lambda: self._perform(self.group.connection_lost(self._now, number, lost))
        )

    def _end_session(self, connection: _ServerConnection) -> None:
        """The close reaches the instance once it can, as TCP's retries have it."""
        instance, session = connection.instance, connection.session
        sent = self._there(instance, lambda: instance.close_session(session))
        if not sent and instance.name not in self.system.network.down:
            self.system.events.after(_CLOSE_RETRY_SECONDS, lambda: self._end_session(connection))

    def _run(self, effect: RunOnConnection) -> None:
        connection = self._connections.get(effect.connection)
        if connection is None:
            return
        instance = connection.instance

        def answered(answer: SessionAnswer) -> None:
            if effect.connection not in self._connections:
                return
            if effect.deliver_to is not None:
                self._marks[effect.deliver_to] = answer.marks
            self._perform(self.group.run_finished(self._now, effect.connection, answer.result))

        def execute() -> None:
            if instance.name not in self.system.network.down:
                instance.execute(
                    connection.session,
                    effect.statement,
                    lambda answer: self._back(instance, lambda: answered(answer)),
                )

        self._there(instance, execute, STATEMENT_SECONDS)

    def _poll(self, effect: PollInstance) -> None:
        instance = self.system.database.instances[effect.instance]

        def ask() -> None:
            if instance.name in self.system.network.down:
                return
            report = instance.report(effect.asked_at, self._now)
            self._back(instance, lambda: self._reported(replace(report, answered_at=self._now)))

        self._there(instance, ask)
        if instance.name in self.system.network.down:
            self.system.events.after(_CONNECT_SECONDS, lambda: self._poll_failed(effect.instance))

    def _reported(self, report: object) -> None:
        self._perform(self.group.report(self._now, report))  # type: ignore[arg-type]

    def _poll_failed(self, instance: str) -> None:
        if self.alive:
            self._perform(self.group.poll_failed(self._now, instance))


class SimulatedCaller:
    """One session that writes and reads marks, and roams between proxies."""

    def __init__(
        self,
        system: SimulatedSystem,
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
        self._random = random.Random(f"{system.seed}/{identity}")
        self._proxy = self._random.choice(system.proxies)
        self._session = self._new_session()
        self._channel = system.next_number()
        self._token = ""

    def _new_session(self) -> CallerSession:
        return CallerSession({"orchidwind.session": self.identity})

    def start(self) -> None:
        """Begin after a short while."""
        self.system.events.after(self._random.uniform(0, 0.2), self._step)

    def _step(self) -> None:
        if self.system.stopped or self.ended:
            return
        if self._random.random() < self.system.roaming:
            self._roam()
        key = f"{self.identity}/{self._random.randrange(2)}"
        if self._random.random() < self.system.write_share:
            self._write(key)
        else:
            self._read(key)

    def _roam(self) -> None:
        """Go on through another proxy, with nothing but the session's name."""
        self._proxy = self._random.choice(self.system.proxies)
        self._session = self._new_session()
        self._channel = self.system.next_number()

    def _pause(self) -> None:
        self.system.events.after(self._random.expovariate(1 / self.system.think), self._step)

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


class SimulatedSystem:
    """Proxies in zones before one group, with callers."""

    def __init__(
        self,
        *,
        seed: int,
        zones: list[str],
        proxies_a_zone: int = 1,
        instances: int = 3,
        share: int = 2,
        callers: int = 6,
        roaming: float = 0.2,
        write_share: float = 0.4,
        think: float = 0.05,
        named: bool = True,
        timings: GroupTimings | None = None,
        options: GroupOptions | None = None,
        network: NetworkSettings | None = None,
        group_class: type[HomeGroup] = HomeGroup,
        classes: tuple[TrafficClass, ...] = (_DEFAULT_CLASS,),
    ) -> None:
        """Callers take the classes in turn."""
        self.seed = seed
        self.classes = classes
        self.group_class = group_class
        self.share = share
        self.roaming = roaming
        self.write_share = write_share
        self.think = think
        self.options = options or GroupOptions()
        self.events = EventQueue()
        self.network = Network(self.events, random.Random(f"network/{seed}"), network)
        self.database = SimulatedGroup(
            self.events, self.network, zones, seed=seed, count=instances, timings=timings
        )
        self.database.on_session_ended = self._session_ended
        self.history = History(promotions=self.database.promotions)
        self.stopped = False
        self._numbers = count(1)
        self._marks = count(1)
        self._generations = count(1)
        self.proxies: list[str] = []
        self.homes: dict[str, SimulatedHome] = {}
        self._in_flight: dict[str, dict[int, Callable[[], None]]] = {}
        for zone in zones:
            for index in range(proxies_a_zone):
                name = f"proxy-{zone}-{index}"
                self.proxies.append(name)
                self.network.zone_of[name] = zone
                self.start_home(name)
        self._named = named
        self.callers: list[SimulatedCaller] = []
        self.add_callers(callers)

    def add_callers(self, count: int) -> None:
        """More callers come."""
        first = len(self.callers)
        for number in range(first, first + count):
            caller = SimulatedCaller(
                self,
                f"session-{number}",
                named=self._named and number % 2 == 0,
                traffic_class=self.classes[number % len(self.classes)],
            )
            self.callers.append(caller)
            caller.start()

    def remove_callers(self, kept: int) -> None:
        """All callers but the first ones end after their next answer."""
        for caller in self.callers[kept:]:
            caller.ended = True

    def next_number(self) -> int:
        """A number for a request or a channel."""
        return next(self._numbers)

    def next_mark(self) -> int:
        """A value that no other write uses."""
        return next(self._marks)

    def start_home(self, name: str) -> None:
        """Start a home, or start it again without memory."""
        self.network.down.discard(name)
        self.network.resume(name)
        self.homes[name] = SimulatedHome(self, name, next(self._generations))

    def kill_home(self, name: str) -> None:
        """A proxy's machine is gone; the links to it break."""
        if not self.homes[name].alive:
            return
        self.homes[name].stop()
        self.network.down.add(name)
        for broken in list(self._in_flight.pop(name, {}).values()):
            self.events.after(self.network.delay(), broken)

    def _session_ended(self, instance: SimulatedInstance, session: SimulatedSession) -> None:
        home = self.homes.get(session.home)
        if home is None:
            return

        def told() -> None:
            if home.alive:
                home.session_ended(session)

        self.network.send(instance.name, home.name, told, reliable=True)

    def send(self, proxy: str, request: StatementRequest, on_outcome: OnOutcome) -> None:
        """Carry a request to the home at a proxy, and its outcome back to the caller."""
        key = self.next_number()
        flights = self._in_flight.setdefault(proxy, {})
        finished: list[bool] = []

        def finish(outcome: Outcome, marks: frozenset[int]) -> None:
            if not finished:
                finished.append(True)
                flights.pop(key, None)
                on_outcome(outcome, marks)

        def broken(sent: bool = True) -> None:
            outcome = after_link_loss(request, sent=sent, delivered=False, now=self.events.now)
            if outcome is None:
                expired = RequestError(ErrorKind.NO_HOME, "no proxy serves this database now")
                outcome = Outcome(request.number, error=expired)
            finish(outcome, frozenset())

        def arrive() -> None:
            home = self.homes[proxy]
            if home.alive:
                home.submit(request, answered)

        def answered(outcome: Outcome, marks: frozenset[int]) -> None:
            self.events.after(self.network.delay(), lambda: finish(outcome, marks))

        if not self.homes[proxy].alive:
            self.events.after(self.network.delay(), lambda: broken(sent=False))
            return
        flights[key] = broken
        self.events.after(self.network.delay(), lambda: self.network.on_host(proxy, arrive))
        self.events.at(request.expires_at + 0.25, broken)

    def settle(self, seconds: float = 15.0) -> None:
        """End all faults, stop the callers, and let everything finish."""
        self.stopped = True
        self.network.heal()
        for name in [*self.proxies, *self.database.instances]:
            self.network.resume(name)
        for name in list(self.database.instances):
            self.database.restart(name)
        for instance in self.database.instances.values():
            instance.instance.set_replay_lag(0.0)
        self.events.run_until(self.events.now + seconds)
