"""A link to another proxy: multiplexes the commands of many sessions and detects a lost connection.

For: `forwarding` (commands), `views.peer_views` (queries of views), `group.lease_keeper` (queries
of the promotion lock). Owns one connection, reopens it when it is lost, and matches answers to
requests. Relies on `promoted.core.link_silence` for when a link counts as silent and when a lost
link is opened again. `promoted.core.peer_loss` decides the outcome of a command whose link was
lost.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import count

from orchidwind.promoted.core import link_silence
from orchidwind.promoted.core.homes import ProxyMember
from orchidwind.promoted.core.link_silence import LinkSilence, ReopenPause
from orchidwind.promoted.core.peer_messages import (
    Alive,
    CommandAnswer,
    Greeting,
    InstanceDemand,
    InstanceLoan,
    LockQuery,
    LockReport,
    PeerMessage,
    Probe,
    RoomGrant,
    RoomQuery,
    RunCommand,
    TokenGrant,
    TokenQuery,
    ViewQuery,
    ViewReport,
)
from orchidwind.promoted.core.store_revision import NOTHING_HELD, StoreRevision
from orchidwind.promoted.peers.silence_watch import SilenceWatch, WatchedLink
from orchidwind.promoted.ports import PeerConnection, PeerConnector
from orchidwind.shared.core.errors import PeerUnavailable
from orchidwind.shared.logs import log_event
from orchidwind.shared.silence import (
    ConnectionKind,
    OnSilent,
    SilentConnection,
    log_silent_connection,
)

Answer = CommandAnswer | LockReport | ViewReport | TokenGrant | RoomGrant
# Shortest interval between two probes of a link that is to be verified, seconds.
_VERIFY_SECONDS = 0.5
# A proxy that knows `RoomQuery` reports a view of this name as known. Proxies of earlier builds,
# which would drop the link on that message, know no such view.
ROOM_VIEW = "room"


class PeerLink:
    """One link, opened on first use and reopened in the background after it was lost.

    A lost link accepts no requests until the other side has answered on a new connection.
    Otherwise, during a network partition, each pause between attempts would end with requests that
    wait for an attempt to connect.
    """

    def __init__(
        self,
        own: str,
        member: ProxyMember,
        connector: PeerConnector,
        on_silent: OnSilent = log_silent_connection,
        on_lost: Callable[[], None] = lambda: None,
    ) -> None:
        """`on_lost` is called each time the link is found lost, but not when it is closed here."""
        self.member = member
        self._on_silent = on_silent
        self._on_lost = on_lost
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
        # Whether the link was lost and the other side has not answered on a new connection yet.
        self._down = False
        self._closed = False
        self._reopening: asyncio.TimerHandle | None = None
        self._pause = ReopenPause()
        self._verified_at = float("-inf")
        # The connection whose other side was asked whether it knows `RoomQuery`, and its answer.
        # The proxy on another connection may be of another build.
        self._room_asked_on: PeerConnection | None = None
        self._room_known = False

    def usable(self) -> bool:
        """Whether new work may be sent: the link is not lost, the other proxy is not stopping."""
        return not (self.leaving or self._down or self._closed)

    def next_number(self) -> int:
        """Return a new number for a message on this link."""
        return next(self._numbers)

    async def ask(self, message: RunCommand) -> CommandAnswer:
        """Send a command and wait for its answer; raises PeerUnavailable."""
        answer = await self._request(message)
        assert isinstance(answer, CommandAnswer)
        return answer

    async def ask_lock(self) -> LockReport:
        """Ask the other proxy to read the promotion lock; raises PeerUnavailable."""
        answer = await self._request(LockQuery(self.next_number()))
        assert isinstance(answer, LockReport)
        return answer

    async def ask_tokens(self, tenant: str, wanted: float) -> float:
        """Ask for tokens of a tenant's quota; return how many were lent. Raises PeerUnavailable."""
        answer = await self._request(TokenQuery(self.next_number(), tenant, wanted))
        assert isinstance(answer, TokenGrant)
        return answer.granted

    async def ask_room(self, demands: tuple[InstanceDemand, ...]) -> tuple[InstanceLoan, ...]:
        """Report demands; return what the other proxy lends. Raises PeerUnavailable.

        Returns nothing if the other proxy does not know the message. The query does not cause
        probes of the idle link.
        """
        connection = await self._open()
        if self._room_asked_on is not connection:
            query = ViewQuery(self.next_number(), ROOM_VIEW, int(NOTHING_HELD))
            report = await self._request(query, in_use=False)
            assert isinstance(report, ViewReport)
            self._room_asked_on, self._room_known = connection, report.known
        if not self._room_known or self._connection is not connection:
            return ()
        answer = await self._request(RoomQuery(self.next_number(), demands), in_use=False)
        assert isinstance(answer, RoomGrant)
        return answer.loans

    async def ask_view(
        self, view: str, revision: StoreRevision, whole: bool, infrequent: bool = False
    ) -> ViewReport:
        """Ask for a view's content later than a revision; raises PeerUnavailable.

        `whole`: the content is sent however long it is. `infrequent`: such queries are rare, and
        there is time to ask another reader, so this query does not cause probes of the idle link.
        """
        query = ViewQuery(self.next_number(), view, int(revision), whole)
        answer = await self._request(query, in_use=not infrequent)
        assert isinstance(answer, ViewReport)
        return answer

    async def _request(
        self,
        message: RunCommand | LockQuery | ViewQuery | TokenQuery | RoomQuery,
        in_use: bool = True,
    ) -> Answer:
        connection = await self._open()
        answer_future: asyncio.Future[Answer] = self._loop.create_future()
        self._pending[message.number] = answer_future
        connection.send(message)
        self._silence_watch.record_request()
        if in_use:
            self._silence_watch.record_use()
        try:
            return await answer_future
        finally:
            self._pending.pop(message.number, None)

    def notify(self, message: PeerMessage) -> None:
        """Send a message that has no answer; does nothing if the link is not connected."""
        if self._connection is not None:
            self._connection.send(message)

    def heard_since(self, at: float) -> bool:
        """Whether the link is open and the other proxy has sent something since a time."""
        last = self._last_byte_at()
        return last is not None and last >= at

    def verify(self) -> None:
        """Find out whether the other proxy answers: open the link, or probe it if it is open.

        Without an answer, the link counts as lost within a second.
        """
        now = self._loop.time()
        if self._down or self._opening is not None or now - self._verified_at < _VERIFY_SECONDS:
            return
        self._verified_at = now
        if self._connection is None:
            self._begin_opening()
            return
        self.notify(Probe())
        self._silence_watch.record_request()

    def close(self) -> None:
        """Close the link; pending requests fail with PeerUnavailable."""
        self._closed = True
        if self._reopening is not None:
            self._reopening.cancel()
        if self._opening is not None:
            self._opening.cancel()
        if self._connection is not None:
            self._drop_connection("closed by this proxy")

    async def _open(self) -> PeerConnection:
        """Return the connection, opening it if needed; raises PeerUnavailable.

        All requests wait for one shared attempt, which continues when a request is cancelled.
        Otherwise a request with a short time limit would start attempt after attempt, and none
        would last long enough to show that the other proxy is unreachable.
        """
        if self._down:
            raise PeerUnavailable("the home proxy does not answer", sent=False)
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
        attempt.add_done_callback(self._attempt_ended)
        self._opening = attempt
        return attempt

    async def _connect(self) -> PeerConnection:
        try:
            async with asyncio.timeout(link_silence.LINK_CONNECT_SECONDS):
                opened = await self._connector.connect(
                    self.member, self._receive, self._connection_ended
                )
        except (PeerUnavailable, TimeoutError) as error:
            self._mark_lost(str(error) or "the connection attempt timed out")
            raise PeerUnavailable("cannot connect to the home proxy", sent=False) from error
        opened.send(Greeting(self._own))
        self._connection = opened
        self._silence.opened(self._loop.time())
        log_event("home_connected", home=self.member.name)
        return opened

    def _attempt_ended(self, attempt: asyncio.Task[PeerConnection]) -> None:
        self._opening = None
        if not attempt.cancelled():
            # Marks the exception as retrieved: waiting requests raise it, and it was logged.
            attempt.exception()

    def _receive(self, message: PeerMessage) -> None:
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
        self._silence.received(self._loop.time(), more_pending=bool(self._pending))

    def _connection_ended(self, reason: str) -> None:
        if self._connection is not None:
            self._drop_connection(reason)

    def _drop_connection(self, reason: str) -> None:
        connection, self._connection = self._connection, None
        self._silence.ended()
        if connection is not None:
            connection.close()
        # A proxy that stopped may be running again at once, so its announcement is void.
        self.leaving = False
        self._mark_lost(reason)
        pending, self._pending = self._pending, {}
        for waiting in pending.values():
            if not waiting.done():
                waiting.set_exception(PeerUnavailable(reason, sent=True))

    def _mark_lost(self, reason: str) -> None:
        newly_lost = not self._down
        self._down = True
        if self.lost_since is None:
            self.lost_since = self._loop.time()
        if newly_lost:
            log_event("home_lost", home=self.member.name, reason=reason)
            if not self._closed:
                self._on_lost()
        if self._reopening is not None:
            self._reopening.cancel()
        if not self._closed:
            self._reopening = self._loop.call_later(self._pause.next_pause(), self._reopen)

    def _reopen(self) -> None:
        """Reopen the connection; the link is usable again once the other side has answered."""
        self._reopening = None
        if self._opening is None and self._connection is None:
            self._begin_opening().add_done_callback(self._probe_again)

    def _probe_again(self, attempt: asyncio.Task[PeerConnection]) -> None:
        if attempt.cancelled() or attempt.exception() is not None:
            return
        attempt.result().send(Probe())
        wait = link_silence.LINK_SILENT_SECONDS
        self._reopening = self._loop.call_later(wait, self._check_first_answer)

    def _check_first_answer(self) -> None:
        self._reopening = None
        if self._down and self._connection is not None:
            self._give_up(self._silence.open_for(self._loop.time()))

    # --- silence ------------------------------------------------------------------------------

    def _last_byte_at(self) -> float | None:
        return None if self._connection is None else self._connection.last_byte_at

    def _probe(self) -> None:
        self.notify(Probe())

    def _give_up(self, silent_for: float) -> None:
        """Drop the silent connection: pending requests fail, and the link is reopened."""
        pending = len(self._pending)
        self._on_silent(
            SilentConnection(
                ConnectionKind.PEER_LINK,
                self.member.name,
                self._silence.open_for(self._loop.time()),
                silent_for,
                pending,
                "its pending requests fail, it is reopened" if pending else "it is reopened",
            )
        )
        self._drop_connection("silent")
