"""Carries out the commands that other proxies send to this one as the home of their groups."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import msgspec

from orchidwind.promoted.callers.command_runner import CommandRunner, TimeLimits
from orchidwind.promoted.callers.session_registry import SessionRegistry
from orchidwind.promoted.core.answers import transaction_lost
from orchidwind.promoted.core.commands import (
    Command,
    CommandKind,
    CommandResult,
    TransactionState,
)
from orchidwind.promoted.core.configuration import DatabaseRoute, ReadConsistency
from orchidwind.promoted.core.flow_parts import CommandContext
from orchidwind.promoted.core.peer_messages import (
    Alive,
    CloseChannel,
    CommandAnswer,
    Greeting,
    LockQuery,
    LockReport,
    PeerMessage,
    Probe,
    RunCommand,
    ViewQuery,
    ViewReport,
)
from orchidwind.promoted.core.session import OpenTransaction, Session
from orchidwind.promoted.group.group_service import GroupService
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.logs import log_event

_PREPARED_NAME = "forwarded"
_LOGGED_ATTEMPTS = 4
_FRONT_MARGIN_SECONDS = 1.0
# So many long contents wait to be sent. One of 2,855 databases has 146 KB, which take 0.12 s of a
# link of 10 Mbit/s: with more, the last ones would come after their askers had given up.
MOST_WAITING_LONG = 4

SendBack = Callable[[PeerMessage], None]
GroupLookup = Callable[[str], GroupService | None]
ReadLock = Callable[[int], Awaitable[LockReport]]
ReportView = Callable[[ViewQuery], ViewReport]


@dataclass(frozen=True, slots=True)
class HomePorts:
    """What the service needs of its proxy. `transaction_idle` tells seconds."""

    groups: GroupLookup
    registry: SessionRegistry
    read_lock: ReadLock
    transaction_idle: Callable[[], float]
    report_view: ReportView


@dataclass(frozen=True, slots=True)
class LinkWriter:
    """The way back on a link; `drained` waits until what was sent has left, `close` resets."""

    send: SendBack
    drained: Callable[[], Awaitable[None]]
    close: Callable[[], None]


class LongSends:
    """Long contents leave one after the other: together they would fill this proxy's link."""

    def __init__(self) -> None:
        self._lock = asyncio.Lock()
        self._waiting = 0

    @property
    def full(self) -> bool:
        """Whether one more would wait for longer than its asker."""
        return self._waiting >= MOST_WAITING_LONG

    async def send(self, work: Callable[[], Awaitable[None]]) -> None:
        """Send one, after those that came before."""
        self._waiting += 1
        try:
            async with self._lock:
                await work()
        finally:
            self._waiting -= 1


class PeerService:
    """All links that other proxies opened to this one."""

    def __init__(self, home: HomePorts) -> None:
        self.leaving = False
        self._home = home
        self._links: set[ServedLink] = set()
        self._by_proxy: dict[str, ServedLink] = {}
        self._long_sends = LongSends()

    def link(self, writer: LinkWriter) -> ServedLink:
        """A link was opened."""
        served = ServedLink(
            self._home, writer, self._long_sends, lambda: self.leaving, self._greeted
        )
        self._links.add(served)
        return served

    def ended(self, served: ServedLink) -> None:
        """A link has gone: what was open on it is rolled back."""
        self._links.discard(served)
        if self._by_proxy.get(served.proxy) is served:
            del self._by_proxy[served.proxy]
        served.end()

    def _greeted(self, served: ServedLink) -> None:
        """A proxy opens a link anew once it has given the last one up.

        That one may be silent for good, without an end: what is open on it is rolled back now.
        """
        older = self._by_proxy.get(served.proxy)
        self._by_proxy[served.proxy] = served
        if older is not None and older is not served:
            log_event("peer_link_replaced", peer=served.proxy, channels=older.channels)
            older.close()

    def leave(self) -> None:
        """This proxy stops: others send their next transactions and statements elsewhere."""
        self.leaving = True
        for served in self._links:
            served.announce_leaving()


class ServedLink:
    """One link at the home's side."""

    def __init__(
        self,
        home: HomePorts,
        writer: LinkWriter,
        long_sends: LongSends,
        leaving: Callable[[], bool],
        on_greeting: Callable[[ServedLink], None],
    ) -> None:
        self.proxy = ""
        self._home = home
        self._writer = writer
        self._send = writer.send
        self._on_greeting = on_greeting
        self._long_sends = long_sends
        self._reporting_whole = False
        self._ended = False
        self._leaving = leaving
        self._channels: dict[int, _Channel] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    def take(self, message: PeerMessage) -> None:
        """A message came."""
        if isinstance(message, RunCommand):
            self._run(message)
        elif isinstance(message, LockQuery):
            self._spawn(self._report_lock(message))
        elif isinstance(message, ViewQuery):
            self._report_view(message)
        elif isinstance(message, Probe):
            self._send(Alive(self._leaving()))
        elif isinstance(message, CloseChannel):
            channel = self._channels.get(message.channel)
            if channel is not None:
                channel.close()
                self._drop_if_done(message.channel)
        elif isinstance(message, Greeting):
            log_event("peer_connected", peer=message.proxy)
            self.proxy = message.proxy
            self._on_greeting(self)
            if self._leaving():
                self.announce_leaving()

    def announce_leaving(self) -> None:
        """Tell the other side that this proxy stops."""
        self._send(Alive(leaving=True))

    def _report_view(self, query: ViewQuery) -> None:
        """Tell a view; one that is still being sent on this link is not sent a second time."""
        if not query.whole or self._reporting_whole or self._long_sends.full:
            self._send(self._home.report_view(msgspec.structs.replace(query, whole=False)))
            return
        self._reporting_whole = True
        self._spawn(self._report_whole(query))

    async def _report_whole(self, query: ViewQuery) -> None:
        async def send() -> None:
            if not self._ended:
                self._send(self._home.report_view(query))
                await self._writer.drained()

        try:
            await self._long_sends.send(send)
        finally:
            self._reporting_whole = False

    @property
    def channels(self) -> int:
        """How many sessions have work here."""
        return len(self._channels)

    def close(self) -> None:
        """Reset the link; what is open on it is rolled back."""
        self.end()
        self._writer.close()

    def end(self) -> None:
        """The link is gone, and so are its sessions."""
        self._ended = True
        for number, channel in list(self._channels.items()):
            channel.close()
            self._drop_if_done(number)

    def _run(self, message: RunCommand) -> None:
        channel = self._channels.get(message.channel)
        if channel is None:
            channel = self._channels[message.channel] = _Channel(self._home)
            self._home.registry.sessions.add(channel)
        channel.work()
        self._spawn(self._answer(channel, message))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report_lock(self, message: LockQuery) -> None:
        self._send(await self._home.read_lock(message.number))

    async def _answer(self, channel: _Channel, message: RunCommand) -> None:
        answer = await channel.run(message, self._home.groups(message.group))
        self._send(answer)
        channel.rest(lambda: self._drop_if_done(message.channel))
        self._drop_if_done(message.channel)

    def _drop_if_done(self, number: int) -> None:
        """A channel is kept only while it runs a command or a transaction is open on it."""
        channel = self._channels.get(number)
        if channel is not None and channel.resting and not channel.in_transaction:
            del self._channels[number]
            self._home.registry.sessions.discard(channel)


class _Channel:
    """One session of another proxy's caller, while it has work here."""

    def __init__(self, home: HomePorts) -> None:
        self.resting = True
        self._home = home
        self._rest_timer: asyncio.TimerHandle | None = None
        self._session = Session()
        self._runner = CommandRunner(self._session)
        self._group: GroupService | None = None
        self._loop = asyncio.get_running_loop()

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._session.state is TransactionState.OPEN

    def rest(self, on_expired: Callable[[], None]) -> None:
        """A command has ended. The front ends a transaction that rests; if it does not, this does.

        A front that stands still would else hold the connection.
        """

        def expire() -> None:
            self.close()
            on_expired()

        self.resting = True
        if self.in_transaction:
            wait = self._home.transaction_idle() + _FRONT_MARGIN_SECONDS
            self._rest_timer = self._loop.call_later(wait, expire)

    def work(self) -> None:
        """A command begins."""
        self.resting = False
        if self._rest_timer is not None:
            self._rest_timer.cancel()
            self._rest_timer = None

    def close(self) -> None:
        """Begin nothing more; a transaction that is open is rolled back."""
        self._runner.caller_gone = True
        if self.resting:
            self._fail_transaction()
            self._home.registry.sessions.discard(self)

    def _fail_transaction(self) -> None:
        transaction = self._session.transaction
        if transaction is not None and transaction.connection and self._group is not None:
            self._group.release(transaction.connection, False)
        self._session.end_transaction()

    async def run(self, message: RunCommand, group: GroupService | None) -> CommandAnswer:
        """Carry a command out."""
        context: CommandContext | None = None
        try:
            if group is None:
                raise RequestError(ErrorKind.NO_HOME, "the home does not know the group yet")
            context = self._context(message, group)
            now = self._loop.time()
            limits = TimeLimits(now + message.remaining, now + message.hold)
            result = await self._runner.run(context, group, limits)
        except RequestError as error:
            self._fail_transaction()
            return self._answer(message, context, error=error)
        except Exception as error:  # a fault of this program ends one command, not all
            log_event("peer_command_failed", level=logging.ERROR, reason=repr(error))
            self._fail_transaction()
            unknown = RequestError(ErrorKind.OUTCOME_UNKNOWN, "the home failed")
            return self._answer(message, context, error=unknown)
        if self._runner.caller_gone:
            self._fail_transaction()
        return self._answer(message, context, result)

    def _context(self, message: RunCommand, group: GroupService) -> CommandContext:
        session = self._session
        database = DatabaseRoute(
            name=message.database,
            group=message.group,
            consistency=ReadConsistency(message.consistency),
            staleness=message.staleness,
            statement_timeout=message.timeout,
            target_latency=message.timeout,
            priority=message.priority,
        )
        session.settings = {item.name: item.value for item in message.settings}
        session.raise_floor(message.floor)
        if message.prepared is not None:
            session.prepared = {_PREPARED_NAME: message.prepared}
        if message.transaction == "continues" and session.transaction is None:
            raise transaction_lost()
        if message.transaction == "begins" and session.transaction is None:
            session.transaction = OpenTransaction(database, message.read_only)
        self._group = group
        command = Command(
            message.request_id,
            CommandKind(message.kind),
            message.text,
            _PREPARED_NAME if message.prepared is not None else "",
            message.argument,
        )
        return CommandContext(session, group.state, database, command, self._loop.time())

    def _answer(
        self,
        message: RunCommand,
        context: CommandContext | None,
        result: CommandResult | None = None,
        error: RequestError | None = None,
    ) -> CommandAnswer:
        """The answer with a result, or with an error."""
        told = result or CommandResult()
        return CommandAnswer(
            number=message.number,
            error=error.kind.value if error else "",
            message=error.message if error else "",
            retry_after_milliseconds=error.retry_after_milliseconds if error else None,
            rows=told.rows,
            signature=told.signature,
            floor=self._session.floor,
            sent_to=context.sent_to if context else "",
            attempts=_attempts(context),
        )


def _attempts(context: CommandContext | None) -> str:
    return "" if context is None else " ".join(context.attempts[-_LOGGED_ATTEMPTS:])
