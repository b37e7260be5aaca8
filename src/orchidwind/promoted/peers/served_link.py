"""The home's side of one link that another proxy opened to this one.

For: `peer_service`. Owns the sessions that have work on the link, and the tasks that answer. Relies
on `remote_session` for commands and on `HomePorts` for the promotion lock and the views.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from orchidwind.promoted.core.peer_messages import (
    Alive,
    CloseChannel,
    Greeting,
    LockQuery,
    PeerMessage,
    Probe,
    RoomGrant,
    RoomQuery,
    RunCommand,
    TokenGrant,
    TokenQuery,
    ViewQuery,
)
from orchidwind.promoted.peers.home_ports import HomePorts, LinkWriter
from orchidwind.promoted.peers.long_sends import LongSendQueue
from orchidwind.promoted.peers.remote_session import RemoteSession
from orchidwind.shared.logs import log_event
from orchidwind.shared.task_set import TaskSet


class ServedLink:
    """Answers the messages of one link.

    `proxy` is the name of the other proxy, empty until its greeting was received.
    """

    def __init__(
        self,
        home: HomePorts,
        writer: LinkWriter,
        long_sends: LongSendQueue,
        leaving: Callable[[], bool],
        on_greeting: Callable[[ServedLink], None],
    ) -> None:
        """`leaving` returns whether this proxy is stopping."""
        self.proxy = ""
        self._home = home
        self._writer = writer
        self._send = writer.send
        self._on_greeting = on_greeting
        self._long_sends = long_sends
        self._sending_whole_view = False
        self._ended = False
        self._leaving = leaving
        # By channel: the number that the front assigned to the session.
        self._sessions: dict[int, RemoteSession] = {}
        self._tasks = TaskSet()

    def handle_message(self, message: PeerMessage) -> None:
        """Handle a message from the other proxy."""
        if isinstance(message, RunCommand):
            self._run(message)
        elif isinstance(message, LockQuery):
            self._tasks.start(self._report_lock(message))
        elif isinstance(message, ViewQuery):
            self._report_view(message)
        elif isinstance(message, TokenQuery):
            lent = self._home.lend_tokens(message.tenant, message.wanted)
            self._send(TokenGrant(message.number, lent))
        elif isinstance(message, RoomQuery):
            loans = self._home.lend_room(self.proxy, message.demands)
            self._send(RoomGrant(message.number, loans))
        elif isinstance(message, Probe):
            self._send(Alive(self._leaving()))
        elif isinstance(message, CloseChannel):
            self._close_session(message.channel)
        elif isinstance(message, Greeting):
            self._greeted(message)

    def _greeted(self, message: Greeting) -> None:
        log_event("peer_connected", peer=message.proxy)
        self.proxy = message.proxy
        self._on_greeting(self)
        if self._leaving():
            self.announce_leaving()

    def announce_leaving(self) -> None:
        """Tell the other proxy that this one is stopping."""
        self._send(Alive(leaving=True))

    # --- views and lock -----------------------------------------------------------------------

    def _report_view(self, query: ViewQuery) -> None:
        """Report a view.

        A long content is omitted while another one is being sent on this link, or while the queue
        of long contents is full.
        """
        if not query.whole or self._sending_whole_view or self._long_sends.full:
            self._send(self._home.report_view(msgspec.structs.replace(query, whole=False)))
            return
        self._sending_whole_view = True
        self._tasks.start(self._report_whole_view(query))

    async def _report_whole_view(self, query: ViewQuery) -> None:
        async def send() -> None:
            if not self._ended:
                self._send(self._home.report_view(query))
                await self._writer.drained()

        try:
            await self._long_sends.send(send)
        finally:
            self._sending_whole_view = False

    async def _report_lock(self, message: LockQuery) -> None:
        self._send(await self._home.read_lock(message.number))

    # --- sessions -----------------------------------------------------------------------------

    @property
    def channels(self) -> int:
        """The number of sessions that have work on this link."""
        return len(self._sessions)

    def close(self) -> None:
        """Reset the link; transactions that are open on it are rolled back."""
        self.end()
        self._writer.close()

    def end(self) -> None:
        """Close all sessions of the link, whose connection has ended."""
        self._ended = True
        for channel in list(self._sessions):
            self._close_session(channel)

    def _close_session(self, channel: int) -> None:
        session = self._sessions.get(channel)
        if session is not None:
            session.close()
            self._drop_if_done(channel)

    def _run(self, message: RunCommand) -> None:
        session = self._sessions.get(message.channel)
        if session is None:
            session = self._sessions[message.channel] = RemoteSession(self._home)
            self._home.registry.sessions.add(session)
        session.begin_work()
        self._tasks.start(self._answer(session, message))

    async def _answer(self, session: RemoteSession, message: RunCommand) -> None:
        answer = await session.run(message, self._home.groups(message.group))
        self._send(answer)
        session.end_work(lambda: self._drop_if_done(message.channel))
        self._drop_if_done(message.channel)

    def _drop_if_done(self, channel: int) -> None:
        """Forget a session that neither runs a command nor has a transaction open."""
        session = self._sessions.get(channel)
        if session is not None and session.idle and not session.in_transaction:
            del self._sessions[channel]
            self._home.registry.sessions.discard(session)
