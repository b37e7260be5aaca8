"""The timers that detect silence of one open link, by the rules of `promoted.core.link_silence`.

For: `PeerLink`. Owns two timers: one runs while an answer is pending, one while the link is in use.
Relies on the core for every decision, and on the link to send probes and to drop the connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec import Struct

from orchidwind.promoted.core import link_silence
from orchidwind.promoted.core.link_silence import LinkCheck, LinkSilence


class WatchedLink(Struct, frozen=True):
    """The functions of a link that the watch calls.

    `last_byte_at`: when bytes were last received, in seconds of the monotonic clock; None: not
    connected. `probe` sends a probe. `give_up` drops the connection; its argument is for how many
    seconds the link was silent.
    """

    last_byte_at: Callable[[], float | None]
    probe: Callable[[], None]
    give_up: Callable[[float], None]


class SilenceWatch:
    """Probes a link that is silent, and drops its connection if it stays silent."""

    def __init__(self, silence: LinkSilence, link: WatchedLink) -> None:
        self._silence = silence
        self._link = link
        self._loop = asyncio.get_running_loop()
        self._answer_timer: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None

    def record_request(self) -> None:
        """Record that a message was sent that the other side must answer."""
        self._silence.request_sent(self._loop.time())
        if self._answer_timer is None:
            self._check_answer_in(link_silence.LINK_PROBE_AFTER_SECONDS)

    def record_use(self) -> None:
        """Record that a message was sent for a request: the link is probed while idle."""
        self._silence.used(self._loop.time())
        self._check_idle_later()

    def _check_answer_in(self, seconds: float) -> None:
        self._answer_timer = self._loop.call_later(seconds, self._check_answer)

    def _check_answer(self) -> None:
        self._answer_timer = None
        now = self._loop.time()
        last_byte_at = self._link.last_byte_at()
        if last_byte_at is None or not self._silence.answer_pending:
            return
        due = self._silence.check(now, last_byte_at)
        if due is LinkCheck.GIVE_UP:
            self._link.give_up(self._silence.silent_for(now, last_byte_at))
            return
        if due is LinkCheck.PROBE:
            self._link.probe()
        self._check_answer_in(link_silence.LINK_CHECK_SECONDS)

    def _check_idle_later(self) -> None:
        if self._idle_timer is None:
            seconds = link_silence.LINK_IDLE_PROBE_SECONDS
            self._idle_timer = self._loop.call_later(seconds, self._check_idle)

    def _check_idle(self) -> None:
        self._idle_timer = None
        now = self._loop.time()
        if self._link.last_byte_at() is None or not self._silence.in_use(now):
            return
        if self._silence.idle_probe_due(now):
            self._link.probe()
            self.record_request()
        self._check_idle_later()
