"""The timers that ask `promoted.core.link_silence` what is to be done about one open link.

For: `PeerLink`. Owns two timers: one runs while an answer is owed, one while the link is in use.
Relies on the core for every decision, and on the link to probe and to give up.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec import Struct

from orchidwind.promoted.core import link_silence
from orchidwind.promoted.core.link_silence import LinkCheck, LinkSilence


class WatchedLink(Struct, frozen=True):
    """What the watch needs of its link.

    `last_byte_at`: when bytes came last, in seconds of the steady clock; None: it is not open.
    `give_up` takes for how many seconds the link was silent.
    """

    last_byte_at: Callable[[], float | None]
    probe: Callable[[], None]
    give_up: Callable[[float], None]


class SilenceWatch:
    """Has a link probed, or given up, as its silence asks for it."""

    def __init__(self, silence: LinkSilence, link: WatchedLink) -> None:
        self._silence = silence
        self._link = link
        self._loop = asyncio.get_running_loop()
        self._answer_timer: asyncio.TimerHandle | None = None
        self._rest_timer: asyncio.TimerHandle | None = None

    def asked(self) -> None:
        """Something was sent that is answered."""
        self._silence.asked(self._loop.time())
        if self._answer_timer is None:
            self._check_answer_in(link_silence.LINK_PROBE_AFTER_SECONDS)

    def used(self) -> None:
        """Something was sent that a request waits for."""
        self._silence.used(self._loop.time())
        self._check_rest_later()

    def _check_answer_in(self, seconds: float) -> None:
        self._answer_timer = self._loop.call_later(seconds, self._check_answer)

    def _check_answer(self) -> None:
        self._answer_timer = None
        now = self._loop.time()
        last_byte_at = self._link.last_byte_at()
        if last_byte_at is None or not self._silence.owed:
            return
        due = self._silence.check(now, last_byte_at)
        if due is LinkCheck.GIVE_UP:
            self._link.give_up(self._silence.silent_for(now, last_byte_at))
            return
        if due is LinkCheck.PROBE:
            self._link.probe()
        self._check_answer_in(link_silence.LINK_CHECK_SECONDS)

    def _check_rest_later(self) -> None:
        if self._rest_timer is None:
            seconds = link_silence.LINK_REST_PROBE_SECONDS
            self._rest_timer = self._loop.call_later(seconds, self._check_rest)

    def _check_rest(self) -> None:
        self._rest_timer = None
        now = self._loop.time()
        if self._link.last_byte_at() is None or not self._silence.in_use(now):
            return
        if self._silence.rest_probe_due(now):
            self._link.probe()
            self.asked()
        self._check_rest_later()
