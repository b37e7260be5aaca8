"""Carries out the effects of a `HomeGroup`: server connections, status queries, timers."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Protocol

from orchidwind.elected.core.configuration import DatabaseSettings
from orchidwind.elected.core.group_effects import (
    AbandonConnection,
    CancelConnection,
    Finished,
    GroupEffect,
    GroupOptions,
    PollInstance,
    ResetObserver,
    RunOnConnection,
    StillRunning,
)
from orchidwind.elected.core.group_view import InstanceReport
from orchidwind.elected.core.home_group import HomeGroup
from orchidwind.elected.core.routing import RoutingSettings
from orchidwind.elected.core.slot_leases import LeaseAnswer, SlotLeases
from orchidwind.elected.core.statements import ChannelKey, Column, Outcome, StatementRequest
from orchidwind.elected.network.backend import AnswerPort, BackendConnection, ConnectionTarget
from orchidwind.elected.network.backend_state import still_runs
from orchidwind.elected.network.observer import Observer
from orchidwind.shared.core.errors import BackendConnectionLost, BackendRefused
from orchidwind.shared.core.pool import CloseConnection, OpenConnection
from orchidwind.shared.logs import log_event
from orchidwind.shared.silence import ConnectionKind, SilentConnection, log_silent

# Chosen: a new connection to an instance, with its login.
_INSTANCE_CONNECT_SECONDS = 2.0
# Chosen: a caller that takes no rows for this time is given up; eight such callers held all replica
# connections of a home (docs/DECISIONS.md, "A caller that does not read for 2 s is given up").
_STALLED_SECONDS = 2.0
# Chosen: requests that wait for longer let the home borrow connections (docs/DECISIONS.md,
# "Slots are lent between homes").
_SHORT_OF_SLOTS_SECONDS = 0.1
# Chosen: connections asked of each lender; it lends what it can spare.
_WANTED_SLOTS = 4
# SQLSTATE too_many_connections.
_LIMIT_MET = "53300"
# Chosen: a deadline that has passed is served this much later, so that other work runs in between.
_SHORTEST_TIMER_SECONDS = 0.0005
# Chosen: the end of an answer may be on its way while the database already rests.
_ANSWER_ON_ITS_WAY_SECONDS = 0.25

OnFinished = Callable[[Outcome], None]


def group_options(database: DatabaseSettings) -> GroupOptions:
    """The options of a group from the operators' file."""
    routing = RoutingSettings(longest_replica_wait=database.replica_wait_ms / 1000.0)
    return GroupOptions(acknowledge=database.acknowledge, routing=routing)


class LeasePort(Protocol):
    """How a home reaches the other homes of a database."""

    def other_homes(self, database: DatabaseSettings) -> list[str]:
        """The homes of the other zones."""

    def ask(self, lender: str, database: str, wanted: int) -> None:
        """Send a request for a lease; the answer comes by `take_lease`."""


class _ImpatientPort(AnswerPort):
    """Gives a caller that stops reading up, since it holds a scarce server connection."""

    def __init__(self, port: AnswerPort) -> None:
        self._port = port

    async def columns(self, columns: tuple[Column, ...]) -> None:
        """Pass the columns on."""
        await self._port.columns(columns)

    async def rows(self, encoded: bytes, count: int) -> None:
        """Pass rows on; raises TimeoutError where the caller takes none for too long."""
        async with asyncio.timeout(_STALLED_SECONDS):
            await self._port.rows(encoded, count)

    async def tag(self, command_tag: str) -> None:
        """Pass a tag on."""
        await self._port.tag(command_tag)

    def still_running(self) -> None:
        """Pass the word on."""
        self._port.still_running()


class GroupRunner:
    """One database at its home: the core class, and the sockets round it."""

    def __init__(
        self, database: DatabaseSettings, share: int, zone: str, leases: LeasePort
    ) -> None:
        self.database = database
        # Milliseconds of the wall clock rise across restarts, and no lease takes one millisecond.
        self.leases = SlotLeases(share, first_number=time.time_ns() // 1_000_000)
        self._lease_port = leases
        self._lease_timer: asyncio.TimerHandle | None = None
        self._zone = zone
        shares = {instance.name: share for instance in database.instances}
        self.group = HomeGroup(shares, group_options(database))
        self._addresses = {instance.name: instance for instance in database.instances}
        self._loop = asyncio.get_running_loop()
        self._connections: dict[int, BackendConnection] = {}
        self._observers: dict[str, Observer] = {}
        self._ports: dict[int, tuple[AnswerPort, OnFinished]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = float("inf")
        self._closed = False
        self._asked_for_backends: set[str] = set()
        self.reconfigure(database)
        self._perform(self.group.tick(self._loop.time()))

    def submit(self, request: StatementRequest, port: AnswerPort, on_finished: OnFinished) -> None:
        """Take a request; `on_finished` is called once."""
        self._ports[request.number] = (port, on_finished)
        self._perform(self.group.submit(self._loop.time(), request))

    def cancel(self, channel: ChannelKey) -> None:
        """The caller asks to cancel."""
        self._perform(self.group.cancel(self._loop.time(), channel))

    def close_channel(self, channel: ChannelKey) -> None:
        """The caller has gone."""
        self._perform(self.group.close_channel(self._loop.time(), channel))

    def set_share(self, share: int) -> None:
        """The share that placement gives this home; leases come on top or off."""
        self.leases.base_share = share
        self._apply_share()

    def _apply_share(self) -> None:
        now = self._loop.time()
        shares = dict.fromkeys(self.group.connections.pools, self.leases.share(now))
        self._perform(self.group.set_shares(now, shares))

    def lend(self, borrower: str, wanted: int) -> LeaseAnswer:
        """Another home asks for connections; they are given up here before the answer leaves."""
        now = self._loop.time()
        answer = self.leases.on_ask(now, borrower, wanted, self.group.connections.spare)
        self._apply_share()
        self._set_lease_timer(self.leases.deadline())
        return answer

    def take_lease(self, lender: str, answer: LeaseAnswer) -> None:
        """Another home answered."""
        self.leases.on_answer(self._loop.time(), lender, answer)
        self._apply_share()
        self._set_lease_timer(self.leases.deadline())

    def _look_for_leases(self) -> None:
        """Requests wait: look again shortly, and borrow if they still do."""
        if self._lease_timer is None:
            self._set_lease_timer(self._loop.time() + _SHORT_OF_SLOTS_SECONDS)

    def _set_lease_timer(self, due: float) -> None:
        if self._closed or due == float("inf"):
            return
        if self._lease_timer is not None:
            if self._lease_timer.when() <= due:
                return
            self._lease_timer.cancel()
        self._lease_timer = self._loop.call_at(due, self._on_lease_timer)

    def _on_lease_timer(self) -> None:
        self._lease_timer = None
        now = self._loop.time()
        if self.group.connections.queued > 0 and self.leases.base_share > 0:
            lenders = self._lease_port.other_homes(self.database)
            for ask in self.leases.asks(now, lenders, _WANTED_SLOTS):
                self._lease_port.ask(ask.lender, self.database.name, ask.wanted)
            self._set_lease_timer(now + _SHORT_OF_SLOTS_SECONDS)
        self._apply_share()
        self._set_lease_timer(self.leases.deadline())

    def reconfigure(self, database: DatabaseSettings) -> None:
        """Take what may change while the group runs: its options, and which instances leave."""
        self.database = database
        leaving = {instance.name for instance in database.instances if instance.leaving}
        now = self._loop.time()
        self._perform(self.group.reconfigure(now, group_options(database), leaving))

    def close(self) -> None:
        """Close every connection."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        for task in self._tasks:
            task.cancel()
        for connection in self._connections.values():
            connection.close()
        for observer in self._observers.values():
            observer.close()

    def _perform(self, effects: Iterable[GroupEffect]) -> None:
        for effect in effects:
            self._perform_one(effect)
        self._set_timer()
        if self._lease_timer is None and self.group.connections.queued > 0:
            self._look_for_leases()

    def _perform_one(self, effect: GroupEffect) -> None:
        if isinstance(effect, RunOnConnection):
            self._spawn(self._run(effect))
        elif isinstance(effect, Finished):
            _, on_finished = self._ports.pop(effect.request.number)
            on_finished(effect.outcome)
        elif isinstance(effect, PollInstance):
            self._spawn(self._poll(effect))
        elif isinstance(effect, StillRunning):
            if effect.number in self._ports:
                self._ports[effect.number][0].still_running()
            self._spawn(self._look_at_backend(effect.connection))
        else:
            self._perform_on_connection(effect)

    def _perform_on_connection(
        self,
        effect: OpenConnection
        | CloseConnection
        | AbandonConnection
        | CancelConnection
        | ResetObserver,
    ) -> None:
        if isinstance(effect, OpenConnection):
            self._spawn(self._open(effect))
        elif isinstance(effect, CloseConnection):
            connection = self._connections.pop(effect.connection, None)
            if connection is not None:
                connection.close()
        elif isinstance(effect, AbandonConnection):
            connection = self._connections.get(effect.connection)
            if connection is not None:
                connection.close()
        elif isinstance(effect, CancelConnection):
            connection = self._connections.get(effect.connection)
            if connection is not None:
                self._spawn(connection.cancel())
        else:
            observer = self._observers.pop(effect.instance, None)
            if observer is not None:
                observer.close()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _set_timer(self) -> None:
        """Set an earlier timer; a later deadline waits for the timer that stands."""
        due = self.group.deadline()
        if self._closed or due >= self._timer_due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due = max(due, self._loop.time() + _SHORTEST_TIMER_SECONDS)
        self._timer = self._loop.call_at(self._timer_due, self._on_timer)

    def _on_timer(self) -> None:
        self._timer_due = float("inf")
        self._perform(self.group.tick(self._loop.time()))

    def _target(self, instance: str, observer: bool) -> ConnectionTarget:
        address = self._addresses[instance]
        database = self.database
        return ConnectionTarget(
            host=address.host,
            port=address.port,
            database=database.name,
            user=(observer and database.status_user) or database.server_user,
            password=(observer and database.status_password) or database.server_password,
            application_name=f"orchidwind/{self._zone}",
        )

    async def _open(self, effect: OpenConnection) -> None:
        number = effect.connection
        try:
            async with asyncio.timeout(_INSTANCE_CONNECT_SECONDS):
                connection = await BackendConnection.open(
                    self._target(effect.instance, observer=False), lambda: self._idle_lost(number)
                )
        except (BackendRefused, TimeoutError, OSError) as error:
            limit_met = isinstance(error, BackendRefused) and error.sqlstate == _LIMIT_MET
            now = self._loop.time()
            self._perform(self.group.connection_failed(now, number, limit_met))
            return
        self._connections[number] = connection
        self._perform(self.group.connection_opened(self._loop.time(), number))

    def _idle_lost(self, number: int) -> None:
        self._lost(number, BackendConnectionLost("the server connection was closed", sent=False))

    def _lost(self, number: int, lost: BackendConnectionLost) -> None:
        connection = self._connections.pop(number, None)
        if connection is None:
            return
        connection.close()
        self._perform(self.group.connection_lost(self._loop.time(), number, lost))

    async def _run(self, effect: RunOnConnection) -> None:
        connection = self._connections.get(effect.connection)
        if connection is None:
            return
        port = None
        if effect.deliver_to is not None and effect.deliver_to in self._ports:
            port = _ImpatientPort(self._ports[effect.deliver_to][0])
        try:
            if effect.describe:
                result = await connection.describe(effect.statement)
            else:
                result = await connection.run(effect.statement, port)
        except BackendConnectionLost as lost:
            self._lost(effect.connection, lost)
            return
        except TimeoutError:
            stalled = BackendConnectionLost("the caller stopped reading", sent=True, delivered=True)
            self._lost(effect.connection, stalled)
            return
        except Exception as error:
            log_event("statement_failed_unexpectedly", level=logging.ERROR, reason=repr(error))
            failed = BackendConnectionLost(str(error), sent=True, delivered=True)
            self._lost(effect.connection, failed)
            return
        now = self._loop.time()
        self._perform(self.group.run_finished(now, effect.connection, result))

    async def _look_at_backend(self, number: int) -> None:
        """Give a connection up whose statement the database does not run, or no more."""
        connection = self._connections.get(number)
        instance = self.group.connections.instance_of(number)
        if connection is None or instance is None or instance in self._asked_for_backends:
            return
        self._asked_for_backends.add(instance)
        heard_at = connection.heard_at
        try:
            target = self._target(instance, observer=True)
            if await still_runs(target, connection.backend):
                return
        except (BackendConnectionLost, BackendRefused, TimeoutError, OSError) as error:
            log_event("backend_state_not_read", instance=instance, reason=repr(error))
            return
        finally:
            self._asked_for_backends.discard(instance)
        await asyncio.sleep(_ANSWER_ON_ITS_WAY_SECONDS)
        if self._connections.get(number) is connection and connection.heard_at == heard_at:
            self._found_silent(instance, number, connection)

    def _found_silent(self, instance: str, number: int, connection: BackendConnection) -> None:
        """Close it, and those at rest: they cost little, and a statement each if silent, too."""
        now = self._loop.time()
        log_silent(
            SilentConnection(
                ConnectionKind.INSTANCE_RUNNING,
                instance,
                now - connection.opened_at,
                now - connection.heard_at,
                1,
                "it is closed, and so are those at rest",
                self.database.name,
            )
        )
        self._lost(number, BackendConnectionLost("the connection is silent", sent=True))
        for idle in list(self.group.connections.pools[instance].idle):
            self._idle_lost(idle)

    async def _poll(self, effect: PollInstance) -> None:
        instance = effect.instance
        try:
            observer = self._observers.get(instance)
            if observer is None or observer.broken:
                async with asyncio.timeout(_INSTANCE_CONNECT_SECONDS):
                    observer = await Observer.open(self._target(instance, observer=True))
                self._observers[instance] = observer
            status = await observer.ask()
        except TimeoutError:
            # The group has counted the query as overdue long ago, and asked again.
            log_event("observer_not_opened", instance=instance, seconds=_INSTANCE_CONNECT_SECONDS)
            return
        except (BackendConnectionLost, BackendRefused, OSError):
            self._poll_failed(instance)
            return
        now = self._loop.time()
        report = InstanceReport(
            instance=instance,
            asked_at=effect.asked_at,
            answered_at=now,
            in_recovery=status.in_recovery,
            term=status.term,
            received=status.received,
            replayed_lsn=status.replayed_lsn,
        )
        self._perform(self.group.report(now, report))

    def _poll_failed(self, instance: str) -> None:
        if self._closed:
            return
        observer = self._observers.pop(instance, None)
        if observer is not None:
            observer.close()
        self._perform(self.group.poll_failed(self._loop.time(), instance))
