"""Detects a silent link between proxies: decides when to probe it and when to give it up.

An open TCP connection may permanently lose everything that is sent on it while a new connection to
the same address works. A missing answer alone does not show this, since a statement may run for a
long time. The other proxy therefore answers a probe at once, whatever statements it runs.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

# Exceeds a round trip between regions, so that most answers arrive before a probe is sent.
PROBE_AFTER_SECONDS = 0.25
# A link on which an answer is expected is given up after this time without received bytes. TCP has
# retransmitted two packets lost in a row by then, and the shortest default deadline of a traffic
# class is 5 s.
SILENT_SECONDS = 1.0
# A recently used link is probed after this time without received bytes, so that a silent link is
# detected before the next request is sent on it.
IDLE_PROBE_SECONDS = 1.0
# An idle link is probed only for this time after its last use.
_IN_USE_SECONDS = 5.0
# Bounds the delay of detection: a tenth of SILENT_SECONDS.
_CHECK_INTERVAL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class LinkActions:
    """Callbacks of the timer for one link.

    `give_up` receives the age of the link and the duration of its silence, in seconds.
    `pending_answers` returns the number of requests on the link that wait for an answer.
    """

    probe: Callable[[], None]
    give_up: Callable[[float, float], None]
    pending_answers: Callable[[], int]


class LinkSilenceTimer:
    """Detects the silence of one open link and calls `LinkActions`."""

    def __init__(self, actions: LinkActions) -> None:
        self._actions = actions
        self._loop = asyncio.get_running_loop()
        self._opened_at = self._used_at = self._last_bytes_at = self._loop.time()
        # Since when an answer to a request or a probe is expected; None if none is.
        self._waiting_since: float | None = None
        self._probed_at = float("-inf")
        self._timer: asyncio.TimerHandle | None = None

    def message_sent(self) -> None:
        """Record that a message was sent on the link.

        The other side is now expected to send something, if only the answer to a probe.
        """
        self._used_at = self._loop.time()
        self._expect_answer()

    def bytes_received(self) -> None:
        """Record that the other side sent something, so that the link is not silent."""
        self._last_bytes_at = self._loop.time()
        self._waiting_since = self._last_bytes_at if self._actions.pending_answers() else None

    def close(self) -> None:
        """Stop the timer; called when the link has closed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _expect_answer(self) -> None:
        if self._waiting_since is None:
            self._waiting_since = self._loop.time()
        self._check_in(_CHECK_INTERVAL_SECONDS)

    def _check_in(self, seconds: float) -> None:
        if self._timer is None:
            self._timer = self._loop.call_later(seconds, self._check)

    def _check(self) -> None:
        self._timer = None
        now = self._loop.time()
        if self._waiting_since is None:
            self._check_idle(now)
            return
        silent = now - self._waiting_since
        if silent > SILENT_SECONDS:
            self._actions.give_up(now - self._opened_at, silent)
            return
        if silent > PROBE_AFTER_SECONDS and now - self._probed_at > PROBE_AFTER_SECONDS:
            self._probe(now)
        self._check_in(_CHECK_INTERVAL_SECONDS)

    def _check_idle(self, now: float) -> None:
        if now - self._used_at > _IN_USE_SECONDS:
            return
        if now - self._last_bytes_at >= IDLE_PROBE_SECONDS:
            self._probe(now)
            self._expect_answer()
        self._check_in(_CHECK_INTERVAL_SECONDS)

    def _probe(self, now: float) -> None:
        self._probed_at = now
        self._actions.probe()
