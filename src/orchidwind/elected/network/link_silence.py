"""Finds out that a link of the PostgreSQL edge is silent: when to probe it, when to give it up.

An open link may swallow all that is sent, for good, while a new one works. A statement may run for
long, so its silence shows nothing: the other side answers a probe whatever it runs.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

# Above a round trip between regions, so that most answers come without a probe.
PROBE_AFTER_SECONDS = 0.25
# Two lost packets in a row come again by then, and the shortest deadline of a class is 5 s
# by default.
SILENT_SECONDS = 1.0
# One that was used lately is probed at rest, so that no request finds out first.
REST_PROBE_SECONDS = 1.0
# Bounds the probes of a link that nobody uses any longer.
_IN_USE_SECONDS = 5.0
# A silence is noticed so late at the latest, a tenth of the time that it takes.
_CHECK_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class LinkActions:
    """What is done about a link. `owed` tells how many answers are waited for on it."""

    probe: Callable[[], None]
    give_up: Callable[[float, float], None]
    owed: Callable[[], int]


class LinkSilenceTimer:
    """The silence of one open link. `give_up` gets its age and its silence, in seconds."""

    def __init__(self, actions: LinkActions) -> None:
        self._actions = actions
        self._loop = asyncio.get_running_loop()
        self._opened_at = self._used_at = self._last_bytes_at = self._loop.time()
        # Since when an answer, or that of a probe, is due from the other side; None: none is.
        self._owed_since: float | None = None
        self._probed_at = float("-inf")
        self._timer: asyncio.TimerHandle | None = None

    def used(self) -> None:
        """A message was sent for somebody: an answer is due for it, that of a probe at least."""
        self._used_at = self._loop.time()
        self._owe()

    def bytes_came(self) -> None:
        """The other side is alive: it sent something."""
        self._last_bytes_at = self._loop.time()
        self._owed_since = self._last_bytes_at if self._actions.owed() else None

    def close(self) -> None:
        """The link has ended."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _owe(self) -> None:
        if self._owed_since is None:
            self._owed_since = self._loop.time()
        self._check_in(_CHECK_SECONDS)

    def _check_in(self, seconds: float) -> None:
        if self._timer is None:
            self._timer = self._loop.call_later(seconds, self._check)

    def _check(self) -> None:
        self._timer = None
        now = self._loop.time()
        if self._owed_since is None:
            self._check_at_rest(now)
            return
        silent = now - self._owed_since
        if silent > SILENT_SECONDS:
            self._actions.give_up(now - self._opened_at, silent)
            return
        if silent > PROBE_AFTER_SECONDS and now - self._probed_at > PROBE_AFTER_SECONDS:
            self._probe(now)
        self._check_in(_CHECK_SECONDS)

    def _check_at_rest(self, now: float) -> None:
        if now - self._used_at > _IN_USE_SECONDS:
            return
        if now - self._last_bytes_at >= REST_PROBE_SECONDS:
            self._probe(now)
            self._owe()
        self._check_in(_CHECK_SECONDS)

    def _probe(self, now: float) -> None:
        self._probed_at = now
        self._actions.probe()
