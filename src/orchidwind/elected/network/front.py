"""Sends requests to home proxies, in this process or over a link, and returns their outcomes.

Owns the numbers of requests and channels; `front_session.py` decides which request goes to which
home.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from itertools import count
from typing import Protocol

from orchidwind.elected.core.request_deadlines import STILL_RUNNING_SECONDS
from orchidwind.elected.core.statements import ChannelKey, Outcome, RequestKind, StatementRequest
from orchidwind.elected.network import codec
from orchidwind.elected.network.home_service import HomeService
from orchidwind.elected.network.link_messages import from_answer, from_records, to_execute
from orchidwind.elected.network.peer_link import PeerLink
from orchidwind.elected.network.sink_port import SinkPort
from orchidwind.shared.core.admission import TrafficClass
from orchidwind.shared.core.errors import PeerUnavailable

# The home has this time after a deadline to send its own error, which gives more detail.
_ANSWER_GRACE_SECONDS = 0.25
# The time that a home may take after its last notice that a statement still runs: exceeds
# CONFIRM_SECONDS of `core/commit_barrier.py`, for which it may still wait to confirm the commit.
_CONFIRM_GRACE_SECONDS = 2.5
# The origin of channels whose home is this proxy.
LOCAL_ORIGIN = "local"
# A quarter of the window of `link_answer.py`, so that credits arrive before the window is full.
_CREDIT_BYTES = 128 * 1024


@dataclass(frozen=True, slots=True)
class Home:
    """The home of a database: this proxy if `link` is None, else the proxy at the link."""

    name: str
    link: PeerLink | None


class Router(Protocol):
    """Provides the cluster state that the front needs."""

    def home(self, database: str) -> Home | None:
        """Return the home of a database for this node's zone, or None if there is none."""

    def traffic_class(self, user: str, application_name: str, tag: str) -> TrafficClass:
        """Return the traffic class of a request."""


class RequestObserver(Protocol):
    """Records measurements of finished requests."""

    def finished(
        self, kind: RequestKind, traffic_class: str, outcome: Outcome, seconds: float
    ) -> None:
        """Record a finished request and its duration in seconds."""


class FrontService:
    """Sends requests to homes; shared by all callers' sessions of this node."""

    def __init__(
        self, router: Router, homes: HomeService, observer: RequestObserver | None = None
    ) -> None:
        self.router = router
        self.observer = observer
        self._homes = homes
        self._channels = count(1)
        self._numbers = count(1)

    def next_channel(self) -> int:
        """Return an unused channel number, for a new session or one that gives up its channel."""
        return next(self._channels)

    def next_number(self) -> int:
        """Return an unused request number."""
        return next(self._numbers)

    async def send(self, request: StatementRequest, home: Home, port: SinkPort) -> Outcome:
        """Send a request to a home and return its outcome; raises PeerUnavailable."""
        if home.link is None:
            return await self._send_here(request, port)
        return await self._send_over(request, home.link, port)

    async def _send_here(self, request: StatementRequest, port: SinkPort) -> Outcome:
        loop = asyncio.get_running_loop()
        done: asyncio.Future[Outcome] = loop.create_future()

        def finished(outcome: Outcome) -> None:
            if not done.done():
                done.set_result(outcome)

        local = replace(request, number=next(self._homes.numbers))
        self._homes.submit(local, port, finished)
        return await done

    async def _send_over(
        self, request: StatementRequest, link: PeerLink, port: SinkPort
    ) -> Outcome:
        loop = asyncio.get_running_loop()
        pending = await link.execute(to_execute(request, loop.time()))
        try:
            async with asyncio.timeout_at(request.expires_at + _ANSWER_GRACE_SECONDS) as bound:
                while True:
                    part = await pending.parts.get()
                    if isinstance(part, PeerUnavailable):
                        raise part
                    if isinstance(part, codec.Done) and part.has_rows:
                        await port.columns(from_records(part.columns))
                        if part.count:
                            await port.rows(part.encoded, part.count)
                    if isinstance(part, codec.Done | codec.Failed):
                        return from_answer(part)
                    if isinstance(part, codec.StillRunning):
                        later = loop.time() + STILL_RUNNING_SECONDS + _CONFIRM_GRACE_SECONDS
                        bound.reschedule(later)
                        continue
                    await self._pass_on(part, link, port)
        except TimeoutError as error:
            link.send(codec.CloseChannel(request.channel.number))
            raise PeerUnavailable("the home proxy does not answer", sent=True) from error
        finally:
            link.forget(request.number)

    async def _pass_on(
        self,
        part: codec.ResultColumns | codec.ResultRows | codec.ResultTag,
        link: PeerLink,
        port: SinkPort,
    ) -> None:
        if isinstance(part, codec.ResultRows):
            await port.rows(part.encoded, part.count)
            port.uncredited_bytes += len(part.encoded)
            if port.uncredited_bytes >= _CREDIT_BYTES:
                link.send(codec.Credit(part.number, port.uncredited_bytes))
                port.uncredited_bytes = 0
        elif isinstance(part, codec.ResultColumns):
            await port.columns(from_records(part.columns))
        else:
            await port.tag(part.tag)

    def cancel(self, home: Home, channel: int) -> None:
        """Cancel the request that runs on a channel."""
        if home.link is None:
            self._homes.cancel(ChannelKey(LOCAL_ORIGIN, channel))
        else:
            home.link.send(codec.Cancel(channel))

    def close_channel(self, home: Home, channel: int) -> None:
        """Tell the home that the caller of a channel has disconnected."""
        if home.link is None:
            self._homes.close_channel(ChannelKey(LOCAL_ORIGIN, channel))
        else:
            home.link.send(codec.CloseChannel(channel))
