"""A home proxy on the simulator: `HomeGroup`, its effects carried over the network."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from orchidwind.elected.core.group_effects import (
    AbandonConnection,
    CancelConnection,
    Finished,
    GroupEffect,
    PollInstance,
    RunOnConnection,
)
from orchidwind.elected.core.group_view import InstanceReport
from orchidwind.elected.core.statements import ChannelKey, Outcome, StatementRequest
from orchidwind.shared.core.errors import BackendConnectionLost
from orchidwind.shared.core.pool import CloseConnection, OpenConnection
from orchidwind_bench.elected.simulation.database import (
    STATEMENT_SECONDS,
    SessionAnswer,
    SimulatedGroup,
    SimulatedInstance,
    SimulatedSession,
)
from orchidwind_bench.elected.simulation.events import EventQueue, Timer
from orchidwind_bench.elected.simulation.network import Network
from orchidwind_bench.elected.simulation.plan import SystemPlan

_CONNECT_SECONDS = 0.01
_CONNECT_TIMEOUT_SECONDS = 2.0
_CLOSE_RETRY_SECONDS = 0.5

OnOutcome = Callable[[Outcome, frozenset[int]], None]


@dataclass(slots=True)
class _ServerConnection:
    instance: SimulatedInstance
    session: SimulatedSession


class HomeSystem(Protocol):
    """What a home asks of the system that it belongs to."""

    plan: SystemPlan
    events: EventQueue
    network: Network
    database: SimulatedGroup

    def next_number(self) -> int:
        """A number for a request or a channel."""


class SimulatedHome:
    """One home proxy of the group on its host; a restart begins without memory."""

    def __init__(self, system: HomeSystem, name: str) -> None:
        self.system = system
        self.name = name
        self.alive = True
        plan = system.plan
        self.group = plan.group_class(
            dict.fromkeys(system.database.instances, plan.share), plan.options
        )
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

    def _reported(self, report: InstanceReport) -> None:
        self._perform(self.group.report(self._now, report))

    def _poll_failed(self, instance: str) -> None:
        if self.alive:
            self._perform(self.group.poll_failed(self._now, instance))
