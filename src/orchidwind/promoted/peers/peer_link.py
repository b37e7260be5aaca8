"""A link to another proxy: carries the commands of many sessions, and finds out when it is gone.

For: `forwarding` (commands), `views.peer_views` (queries of views), `group.lease_keeper` (queries
of the promotion lock). Owns one connection, opens it anew when it is lost, and matches answers to
what was asked. Relies on `promoted.core.link_silence` for when a link is silent and when it is
tried again. What becomes of a command whose link was lost, `promoted.core.peer_loss` decides.
"""

from __future__ import annotations

import asyncio
from itertools import count

from orchidwind.promoted.core import link_silence
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.link_silence import LinkSilence, ReopenPause
from orchidwind.promoted.core.peer_messages import (
    Alive,
    CommandAnswer,
    Greeting,
    LockQuery,
    LockReport,
    PeerMessage,
    Probe,
    RunCommand,
    TokenGrant,
    TokenQuery,
    ViewQuery,
    ViewReport,
)
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.peers.silence_watch import SilenceWatch, WatchedLink
from orchidwind.promoted.ports import PeerConnection, PeerConnector
from orchidwind.shared.core.errors import PeerUnavailable
from orchidwind.shared.logs import log_event
from orchidwind.shared.silence import ConnectionKind, OnSilent, SilentConnection, log_silent

Answer = CommandAnswer | LockReport | ViewReport | TokenGrant


class PeerLink:
    """One link, opened when it is first needed, and anew in the background once it was lost.

    A lost link takes nothing until the other side has answered on a new one: else, during a cut,
    each pause would end with requests that wait for an attempt to connect.
    """

    def __init__(
        self,
        own: str,
        member: ProxyMember,
        connector: PeerConnector,
        on_silent: OnSilent = log_silent,
    ) -> None:
        self.member = member
        self._on_silent = on_silent
        self.leaving = False
        self.lost_since: float | None = None
        self._own = own
        self._connector = connector
        self._loop = asyncio.get_running_loop()
        self._connection: PeerConnection | None = None
        self._opening: asyncio.Task[PeerConnection] | None = None
        self._pending: dict[int, asyncio.Future[Answer]] = {}
        self._numbers = count(1)
        self._silence = LinkSilence()
        self._silence_watch = SilenceWatch(
            self._silence, WatchedLink(self._last_byte_at, self._probe, self._give_up)
        )
        # Lost, and not answered on a new connection yet.
        self._down = False
        self._closed = False
        self._reopening: asyncio.TimerHandle | None = None
        self._pause = ReopenPause()

    def usable(self) -> bool:
        """Whether new work may go there."""
        return not self.leaving and not self._down

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

    async def ask_tokens(self, tenant: str, wanted: float) -> float:
        """Ask for tokens of a tenant's quota; how many were lent. Raises PeerUnavailable."""
        answer = await self._ask(TokenQuery(self.next_number(), tenant, wanted))
        assert isinstance(answer, TokenGrant)
        return answer.granted

    async def ask_view(
        self, view: str, revision: StoreRevision, whole: bool, seldom: bool = False
    ) -> ViewReport:
        """Ask what is later than a revision in a view; raises PeerUnavailable.

        `seldom`: another reader is asked as well in time, so for this query the link is not probed
        at rest.
        """
        query = ViewQuery(self.next_number(), view, int(revision), whole)
        answer = await self._ask(query, in_use=not seldom)
        assert isinstance(answer, ViewReport)
        return answer

    async def _ask(
        self, message: RunCommand | LockQuery | ViewQuery | TokenQuery, in_use: bool = True
    ) -> Answer:
        connection = await self._open()
        answered: asyncio.Future[Answer] = self._loop.create_future()
        self._pending[message.number] = answered
        connection.send(message)
        self._silence_watch.asked()
        if in_use:
            self._silence_watch.used()
        try:
            return await answered
        finally:
            self._pending.pop(message.number, None)

    def notify(self, message: PeerMessage) -> None:
        """Send what wants no answer, if the link is up."""
        if self._connection is not None:
            self._connection.send(message)

    def close(self) -> None:
        """Cut the link; waiting commands fail."""
        self._closed = True
        if self._reopening is not None:
            self._reopening.cancel()
        if self._opening is not None:
            self._opening.cancel()
        if self._connection is not None:
            self._lost("closed by this proxy")

    async def _open(self) -> PeerConnection:
        """The connection; raises PeerUnavailable.

        All that ask wait for one attempt, which goes on to its end when one of them gives up: else
        one with little patience would try again and again, and nobody learn that the way is cut.
        """
        if self._down:
            raise PeerUnavailable("the home does not answer", sent=False)
        if self._connection is not None:
            return self._connection
        attempt = self._opening or self._begin_opening()
        try:
            return await asyncio.shield(attempt)
        except asyncio.CancelledError:
            own_task = asyncio.current_task()
            if attempt.cancelled() and own_task is not None and not own_task.cancelling():
                raise PeerUnavailable("closed by this proxy", sent=False) from None
            raise

    def _begin_opening(self) -> asyncio.Task[PeerConnection]:
        attempt = self._loop.create_task(self._connect())
        attempt.add_done_callback(self._opening_ended)
        self._opening = attempt
        return attempt

    async def _connect(self) -> PeerConnection:
        try:
            async with asyncio.timeout(link_silence.LINK_CONNECT_SECONDS):
                opened = await self._connector.connect(self.member, self._take, self._broken)
        except (PeerUnavailable, TimeoutError) as error:
            self._note_lost(str(error) or "no answer to a new link")
            raise PeerUnavailable("the home cannot be reached", sent=False) from error
        opened.send(Greeting(self._own))
        self._connection = opened
        self._silence.opened(self._loop.time())
        log_event("home_connected", home=self.member.name)
        return opened

    def _opening_ended(self, attempt: asyncio.Task[PeerConnection]) -> None:
        self._opening = None
        if not attempt.cancelled():
            # Those that wait raise it; where nobody waits any more it has been logged.
            attempt.exception()

    def _take(self, message: PeerMessage) -> None:
        self._pause.reset()
        self.lost_since = None
        self._down = False
        if isinstance(message, Answer):
            waiting = self._pending.pop(message.number, None)
            if waiting is not None and not waiting.done():
                waiting.set_result(message)
        elif isinstance(message, Alive):
            if message.leaving != self.leaving:
                log_event("home_leaving", home=self.member.name, leaving=message.leaving)
            self.leaving = message.leaving
        self._silence.received(self._loop.time(), more_owed=bool(self._pending))

    def _broken(self, reason: str) -> None:
        if self._connection is not None:
            self._lost(reason)

    def _lost(self, reason: str) -> None:
        connection, self._connection = self._connection, None
        self._silence.ended()
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
        if not self._down:
            log_event("home_lost", home=self.member.name, reason=reason)
        self._down = True
        if self.lost_since is None:
            self.lost_since = self._loop.time()
        if self._reopening is not None:
            self._reopening.cancel()
        if not self._closed:
            self._reopening = self._loop.call_later(self._pause.take(), self._reopen)

    def _reopen(self) -> None:
        """Open the link anew; it counts once the other side has answered."""
        self._reopening = None
        if self._opening is None and self._connection is None:
            self._begin_opening().add_done_callback(self._probe_again)

    def _probe_again(self, attempt: asyncio.Task[PeerConnection]) -> None:
        if attempt.cancelled() or attempt.exception() is not None:
            return
        attempt.result().send(Probe())
        wait = link_silence.LINK_SILENT_SECONDS
        self._reopening = self._loop.call_later(wait, self._expect_first_answer)

    def _expect_first_answer(self) -> None:
        self._reopening = None
        if self._down and self._connection is not None:
            self._give_up(self._silence.open_for(self._loop.time()))

    # --- silence ------------------------------------------------------------------------------

    def _last_byte_at(self) -> float | None:
        return None if self._connection is None else self._connection.last_byte_at

    def _probe(self) -> None:
        self.notify(Probe())

    def _give_up(self, silent_for: float) -> None:
        """The link is silent: waiting commands fail, and it is opened anew."""
        pending = len(self._pending)
        self._on_silent(
            SilentConnection(
                ConnectionKind.PEER_LINK,
                self.member.name,
                self._silence.open_for(self._loop.time()),
                silent_for,
                pending,
                "its commands fail here, it is opened anew" if pending else "it is opened anew",
            )
        )
        self._lost("silent")
