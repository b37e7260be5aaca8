"""A link to another proxy: carries the commands of many sessions, and finds out when it is gone."""

from __future__ import annotations

import asyncio
from itertools import count

from orchidwind.core.errors import PeerUnavailable
from orchidwind.core.managed.homes import ProxyMember
from orchidwind.core.managed.peer_messages import (
    Alive,
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
from orchidwind.logs import log_event
from orchidwind.managed.ports import PeerConnection, PeerConnector

CONNECT_SECONDS = 0.4
PROBE_AFTER_SECONDS = 0.15
SILENT_SECONDS = 0.4
_LOOK_SECONDS = 0.05
_FIRST_PAUSE_SECONDS = 0.25
_LONGEST_PAUSE_SECONDS = 4.0


Answer = CommandAnswer | LockReport | ViewReport


class PeerLink:
    """One link, opened when it is first needed."""

    def __init__(self, own: str, member: ProxyMember, connector: PeerConnector) -> None:
        self.member = member
        self.leaving = False
        self.lost_since: float | None = None
        self._own = own
        self._connector = connector
        self._loop = asyncio.get_running_loop()
        self._connection: PeerConnection | None = None
        self._opening: asyncio.Task[PeerConnection] | None = None
        self._pending: dict[int, asyncio.Future[Answer]] = {}
        self._numbers = count(1)
        self._heard_at = 0.0
        self._asked_at = 0.0
        self._avoid_until = 0.0
        self._pause = _FIRST_PAUSE_SECONDS
        self._watching: asyncio.TimerHandle | None = None

    def usable(self) -> bool:
        """Whether new work may go there."""
        return not self.leaving and self._loop.time() >= self._avoid_until

    def next_number(self) -> int:
        """A number for a command on this link."""
        return next(self._numbers)

    async def ask(self, message: RunCommand) -> CommandAnswer:
        """Send a command and wait for its answer; raises PeerUnavailable."""
        answer = await self._ask(message)
        assert isinstance(answer, CommandAnswer)
        return answer

    async def ask_lock(self) -> LockReport:
        """Ask what the promotion lock is; raises PeerUnavailable."""
        answer = await self._ask(LockQuery(self.next_number()))
        assert isinstance(answer, LockReport)
        return answer

    async def ask_view(self, view: str, revision: int) -> ViewReport:
        """Ask what is later than a revision in a view; raises PeerUnavailable."""
        answer = await self._ask(ViewQuery(self.next_number(), view, revision))
        assert isinstance(answer, ViewReport)
        return answer

    async def _ask(self, message: RunCommand | LockQuery | ViewQuery) -> Answer:
        connection = await self._open()
        answered: asyncio.Future[Answer] = self._loop.create_future()
        if not self._pending:
            self._asked_at = self._loop.time()
        self._pending[message.number] = answered
        connection.send(message)
        self._watch()
        try:
            return await answered
        finally:
            self._pending.pop(message.number, None)

    def tell(self, message: PeerMessage) -> None:
        """Send what wants no answer, if the link is up."""
        if self._connection is not None:
            self._connection.send(message)

    def close(self) -> None:
        """Cut the link; who waits is told."""
        if self._opening is not None:
            self._opening.cancel()
        if self._connection is not None:
            self._lost("closed by this proxy")

    async def _open(self) -> PeerConnection:
        """The connection; raises PeerUnavailable.

        All that ask wait for one attempt, which goes on to its end when one of them gives up: else
        one with little patience would try again and again, and nobody learn that the way is cut.
        """
        if self._connection is not None:
            return self._connection
        if self._opening is None:
            if not self.usable():
                raise PeerUnavailable("the home does not answer", sent=False)
            self._opening = self._loop.create_task(self._connect())
            self._opening.add_done_callback(self._opened)
        attempt = self._opening
        try:
            return await asyncio.shield(attempt)
        except asyncio.CancelledError:
            own_task = asyncio.current_task()
            if attempt.cancelled() and own_task is not None and not own_task.cancelling():
                raise PeerUnavailable("closed by this proxy", sent=False) from None
            raise

    async def _connect(self) -> PeerConnection:
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                opened = await self._connector.connect(self.member, self._take, self._broken)
        except (PeerUnavailable, TimeoutError) as error:
            self._note_lost(str(error) or "no answer to a new link")
            raise PeerUnavailable("the home cannot be reached", sent=False) from error
        opened.send(Greeting(self._own))
        self._connection = opened
        self._heard_at = self._loop.time()
        log_event("home_connected", home=self.member.name)
        return opened

    def _opened(self, attempt: asyncio.Task[PeerConnection]) -> None:
        self._opening = None
        if not attempt.cancelled():
            # Those that wait raise it; where nobody waits any more it has been logged.
            attempt.exception()

    def _take(self, message: PeerMessage) -> None:
        self._heard_at = self._loop.time()
        # One that takes links but never answers must not be tried at every command.
        self._pause = _FIRST_PAUSE_SECONDS
        self.lost_since = None
        if isinstance(message, Answer):
            waiting = self._pending.get(message.number)
            if waiting is not None and not waiting.done():
                waiting.set_result(message)
        elif isinstance(message, Alive):
            if message.leaving != self.leaving:
                log_event("home_leaving", home=self.member.name, leaving=message.leaving)
            self.leaving = message.leaving

    def _broken(self, reason: str) -> None:
        if self._connection is not None:
            self._lost(reason)

    def _lost(self, reason: str) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()
        # A proxy that stopped may be back at once: it is not leaving any more.
        self.leaving = False
        self._note_lost(reason)
        pending, self._pending = self._pending, {}
        for waiting in pending.values():
            if not waiting.done():
                waiting.set_exception(PeerUnavailable(reason, sent=True))

    def _note_lost(self, reason: str) -> None:
        now = self._loop.time()
        if self.lost_since is None:
            self.lost_since = now
        self._avoid_until = now + self._pause
        self._pause = min(self._pause * 2, _LONGEST_PAUSE_SECONDS)
        log_event("home_lost", home=self.member.name, reason=reason)

    # --- silence ------------------------------------------------------------------------------

    def _watch(self) -> None:
        if self._watching is None:
            self._watching = self._loop.call_later(PROBE_AFTER_SECONDS, self._look)

    def _look(self) -> None:
        """While answers are owed: probe a silent home, and give it up when it stays silent."""
        self._watching = None
        if not self._pending or self._connection is None:
            return
        silent = self._loop.time() - max(self._heard_at, self._asked_at)
        if silent > SILENT_SECONDS:
            self._lost("silent")
            return
        if silent > PROBE_AFTER_SECONDS:
            self._connection.send(Probe())
        self._watching = self._loop.call_later(_LOOK_SECONDS, self._look)
