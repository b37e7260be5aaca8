"""Membership over UDP: drives `core/membership.py` with a socket and a timer.

Owns: the socket and the timer. Relies on: `core/membership.py` for every decision. A datagram that
can't be decoded is treated as lost.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import cast

from orchidwind.elected.core.membership import Membership
from orchidwind.elected.core.membership_messages import (
    MembershipEffect,
    PeerVersion,
    SendDatagram,
    ViewChanged,
)
from orchidwind.elected.network import codec
from orchidwind.shared.logs import log_event

# The minimum delay of a timer, so that other tasks run before an expired deadline is handled.
_MINIMUM_TIMER_SECONDS = 0.001
# Undecodable datagrams are logged at most once in this time, since any host may send them.
_LOG_DROPPED_SECONDS = 60.0


class MembershipService(asyncio.DatagramProtocol):
    """Drives `Membership` on the event loop.

    `on_view` is called when the members have changed, `on_version` with the name of a peer and the
    configuration version that it announced.
    """

    def __init__(
        self,
        membership: Membership,
        on_view: Callable[[], None],
        on_version: Callable[[str, int], None],
    ) -> None:
        self.membership = membership
        self._on_view = on_view
        self._on_version = on_version
        self._transport: asyncio.DatagramTransport | None = None
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self.sent_bytes = 0
        self.received_bytes = 0
        self._dropped = 0
        self._log_dropped_at = self._loop.time()

    async def start(self, host: str, port: int) -> None:
        """Open the socket and contact the seeds."""
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self.perform(self.membership.start(self._loop.time()))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the opened socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        """Decode a datagram and pass it to the membership; drop it if it can't be decoded."""
        self.received_bytes += len(data)
        try:
            message = codec.decode_datagram(data)
        except codec.DecodeError as error:
            self._record_dropped(addr, error)
            return
        self.perform(self.membership.receive(self._loop.time(), message))

    def error_received(self, exc: Exception) -> None:
        """Ignore a closed port without a log line: the unanswered probe leads to a suspicion."""

    def _record_dropped(self, sender: tuple[str | object, int], error: codec.DecodeError) -> None:
        self._dropped += 1
        now = self._loop.time()
        if now >= self._log_dropped_at:
            self._log_dropped_at = now + _LOG_DROPPED_SECONDS
            log_event(
                "datagram_not_understood", sender=sender[0], reason=error, dropped=self._dropped
            )

    def perform(self, effects: Iterable[MembershipEffect]) -> None:
        """Carry out effects of the membership and set the timer."""
        view_changed = False
        versions: list[PeerVersion] = []
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._send(effect)
            elif isinstance(effect, ViewChanged):
                view_changed = True
            else:
                versions.append(effect)
        self._set_timer()
        if view_changed:
            self._on_view()
        for item in versions:
            self._on_version(item.peer, item.version)

    def close(self) -> None:
        """Stop the timer and close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def _send(self, effect: SendDatagram) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        data = codec.encode_datagram(effect.message)
        self.sent_bytes += len(data)
        self._transport.sendto(data, (effect.host, effect.port))

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        due = max(self.membership.deadline(), self._loop.time() + _MINIMUM_TIMER_SECONDS)
        self._timer = self._loop.call_at(due, self._on_timer)

    def _on_timer(self) -> None:
        self.perform(self.membership.tick(self._loop.time()))
