"""When an open link to another proxy is probed, when it counts as silent, when a lost one is tried.

For: `promoted.peers`, whose drivers hold the sockets and timers and ask here. Owns the times of a
link. No I/O: times come in, in seconds of one steady clock.

An open connection may swallow all that is sent, for good and without an end, while a new one works.
The other side answers a probe at once whatever else it does, so a link on which an answer is owed
and no byte comes is silent, not busy. docs/SILENCE.md, "Connections (promoted groups)", has what
that comes to in a large fleet.
"""

from __future__ import annotations

from enum import Enum, auto

# A new connection that is not open after so long has failed. As long as silence of an open
# one, since the same commands wait for either.
LINK_CONNECT_SECONDS = 0.4
# While an answer is owed, a link without a byte for so long is probed. Answers on one site
# take milliseconds, and a probe that is lost once comes again before the link is given up.
LINK_PROBE_AFTER_SECONDS = 0.15
# While an answer is owed, a link without a byte for longer is given up. Half of 0.8 s, the
# shortest statement time-out of the first users, so that a read has time left at another home.
LINK_SILENT_SECONDS = 0.4
# How often an owed answer is checked. It adds at most an eighth to the time above.
LINK_CHECK_SECONDS = 0.05
# One that was used lately is probed when nothing came for so long, so that no request finds the
# silence first. A busy link is hardly ever probed (docs/SILENCE.md has what it costs).
LINK_REST_PROBE_SECONDS = 1.0
# For so long after its last use a link is probed at rest. What is used seldom costs the
# fleet more in probes than its next user loses.
LINK_IN_USE_SECONDS = 5.0
# Pauses between attempts to open a lost link anew. No request waits for them, so a cut that
# has healed may be noticed within a second; a machine that is gone costs a packet each.
FIRST_REOPEN_PAUSE_SECONDS = 0.25
LONGEST_REOPEN_PAUSE_SECONDS = 1.0


class LinkCheck(Enum):
    """What is to be done about a link on which an answer is owed."""

    WAIT = auto()
    PROBE = auto()
    GIVE_UP = auto()


class LinkSilence:
    """What is known of one link: what was sent and received, and whether an answer is owed."""

    def __init__(self) -> None:
        self._opened_at = 0.0
        self._received_at = 0.0
        self._used_at = float("-inf")
        # Since when the other side owes an answer and has sent nothing; None: it owes none. Also an
        # answer that nobody waits for any more is owed.
        self._owed_since: float | None = None

    def opened(self, now: float) -> None:
        """A connection was opened."""
        self._opened_at = self._received_at = now
        self._owed_since = None

    def ended(self) -> None:
        """The connection has ended: nothing is owed on it any more."""
        self._owed_since = None

    def asked(self, now: float) -> None:
        """Something was sent that is answered: an answer is owed from now on, if not before."""
        if self._owed_since is None:
            self._owed_since = now

    def used(self, now: float) -> None:
        """Something was sent that a request, or a view that it needs, waits for."""
        self._used_at = now

    def received(self, now: float, more_owed: bool) -> None:
        """A whole message came; `more_owed`: others are still waited for."""
        self._received_at = now
        self._owed_since = now if more_owed else None

    @property
    def owed(self) -> bool:
        """Whether the other side owes an answer."""
        return self._owed_since is not None

    def open_for(self, now: float) -> float:
        """Seconds since the connection was opened."""
        return now - self._opened_at

    def silent_for(self, now: float, last_byte_at: float) -> float:
        """Seconds without a byte while an answer is owed, 0 where none is.

        `last_byte_at` counts also parts of a message: a long answer that is arriving is a sign of
        life before it is whole.
        """
        if self._owed_since is None:
            return 0.0
        return now - max(self._owed_since, last_byte_at)

    def check(self, now: float, last_byte_at: float) -> LinkCheck:
        """What is to be done while an answer is owed."""
        silent = self.silent_for(now, last_byte_at)
        if silent > LINK_SILENT_SECONDS:
            return LinkCheck.GIVE_UP
        return LinkCheck.PROBE if silent > LINK_PROBE_AFTER_SECONDS else LinkCheck.WAIT

    def in_use(self, now: float) -> bool:
        """Whether the link was used lately, so that it is probed at rest."""
        return now - self._used_at <= LINK_IN_USE_SECONDS

    def rest_probe_due(self, now: float) -> bool:
        """Whether the link is to be probed at rest: nothing is owed, and nothing came for long."""
        return self._owed_since is None and now - self._received_at >= LINK_REST_PROBE_SECONDS


class ReopenPause:
    """How long a lost link rests before it is opened anew: twice as long after each failure."""

    def __init__(self) -> None:
        self._next = FIRST_REOPEN_PAUSE_SECONDS

    def take(self) -> float:
        """Seconds until the next attempt, which counts as one more."""
        seconds = self._next
        self._next = min(seconds * 2, LONGEST_REOPEN_PAUSE_SECONDS)
        return seconds

    def reset(self) -> None:
        """The other side has answered.

        Only then, not at a new connection: one that takes connections but never answers must not be
        tried at every command.
        """
        self._next = FIRST_REOPEN_PAUSE_SECONDS
