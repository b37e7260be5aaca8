"""Membership over UDP: the socket and the timer round the core class.

Owns: the socket, and the time of the next call. Relies on: `core/membership.py` for every
decision; a datagram that is lost or not understood is as one that was never sent.
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

# A deadline that has passed is served this much later, so that other work runs in between.
_SHORTEST_TIMER_SECONDS = 0.001
# Datagrams that are not understood are logged at most this often; anybody may send them.
_LOG_DROPPED_SECONDS = 60.0


class MembershipService(asyncio.DatagramProtocol):
    """Drives `Membership` on the event loop."""

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
        """Open the socket and ask the seeds."""
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self.perform(self.membership.start(self._loop.time()))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        """Take a datagram; what is no message is dropped."""
        self.received_bytes += len(data)
        try:
            message = codec.decode_datagram(data)
        except codec.DecodeError as error:
            self._note_dropped(addr, error)
            return
        self.perform(self.membership.receive(self._loop.time(), message))

    def error_received(self, exc: Exception) -> None:
        """A port is closed; not logged, since the probe without an answer leads to a suspicion."""

    def _note_dropped(self, sender: tuple[str | object, int], error: codec.DecodeError) -> None:
        self._dropped += 1
        now = self._loop.time()
        if now >= self._log_dropped_at:
            self._log_dropped_at = now + _LOG_DROPPED_SECONDS
            log_event(
                "datagram_not_understood", sender=sender[0], reason=error, dropped=self._dropped
            )

    def perform(self, effects: Iterable[MembershipEffect]) -> None:
        """Carry out effects and set the timer."""
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
        """Close the socket."""
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
        due = max(self.membership.deadline(), self._loop.time() + _SHORTEST_TIMER_SECONDS)
        self._timer = self._loop.call_at(due, self._on_timer)

    def _on_timer(self) -> None:
        self.perform(self.membership.tick(self._loop.time()))
