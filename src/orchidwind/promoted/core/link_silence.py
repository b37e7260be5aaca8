"""Decides when a link to another proxy is probed, counts as silent, and is reopened. No I/O.

The drivers in `promoted.peers` hold the sockets and timers and call this module with times in
seconds of one monotonic clock.

An open connection may accept all bytes and deliver none, without ever ending, while a new
connection works. The other side answers a probe at once, whatever else it does. A link on which an
answer is pending and no byte arrives is therefore silent, not busy. docs/SILENCE.md, "Connections
(promoted groups)", describes the cost in a large fleet.
"""

from __future__ import annotations

from enum import Enum, auto

# Timeout for opening a connection. The same as for a silent connection, because the same commands
# wait for either.
LINK_CONNECT_SECONDS = 0.4
# While an answer is pending, a link is probed after this many seconds without a byte. Answers
# within a site take milliseconds, and a lost probe is repeated before the link is given up.
LINK_PROBE_AFTER_SECONDS = 0.15
# While an answer is pending, a link is given up after this many seconds without a byte. Half of the
# first users' shortest statement timeout of 0.8 s, so that a read has time left to run at another
# home proxy.
LINK_SILENT_SECONDS = 0.4
# Interval of the checks while an answer is pending. It adds at most an eighth to the time above.
LINK_CHECK_SECONDS = 0.05
# A recently used link is probed after this many seconds without a message, so that a silent link is
# found before a request uses it. A busy link is rarely probed (docs/SILENCE.md describes the cost).
LINK_IDLE_PROBE_SECONDS = 1.0
# Seconds after its last use for which an idle link is probed. Probing rarely used links would cost
# the fleet more than the next request on such a link loses.
LINK_IN_USE_SECONDS = 5.0
# Pauses between attempts to reopen a lost link. No request waits for these attempts, so noticing a
# restored network within a second is enough; each attempt costs a packet if the machine is gone.
FIRST_REOPEN_PAUSE_SECONDS = 0.25
LONGEST_REOPEN_PAUSE_SECONDS = 1.0


class LinkCheck(Enum):
    """The action on a link on which an answer is pending."""

    WAIT = auto()
    PROBE = auto()
    GIVE_UP = auto()


class LinkSilence:
    """The times of the last events on one link, and whether an answer is pending."""

    def __init__(self) -> None:
        self._opened_at = 0.0
        self._received_at = 0.0
        self._used_at = float("-inf")
        # Since when an answer has been pending without a message from the other side; None if no
        # answer is pending. An answer that no request waits for any more is also pending.
        self._pending_since: float | None = None

    def opened(self, now: float) -> None:
        """Records that a connection was opened."""
        self._opened_at = self._received_at = now
        self._pending_since = None

    def ended(self) -> None:
        """Records that the connection has ended, and with it any pending answer."""
        self._pending_since = None

    def request_sent(self, now: float) -> None:
        """Records that a message was sent that the other side answers."""
        if self._pending_since is None:
            self._pending_since = now

    def used(self, now: float) -> None:
        """Records that a message was sent for a request or for a view that requests need."""
        self._used_at = now

    def received(self, now: float, more_pending: bool) -> None:
        """Records a complete message; `more_pending` tells whether further answers are pending."""
        self._received_at = now
        self._pending_since = now if more_pending else None

    @property
    def answer_pending(self) -> bool:
        """Whether an answer of the other side is pending."""
        return self._pending_since is not None

    def open_for(self, now: float) -> float:
        """Returns the seconds since the connection was opened."""
        return now - self._opened_at

    def silent_for(self, now: float, last_byte_at: float) -> float:
        """Returns the seconds without a byte while an answer is pending, 0 if none is.

        `last_byte_at` includes incomplete messages: a long answer that is still arriving shows that
        the link works.
        """
        if self._pending_since is None:
            return 0.0
        return now - max(self._pending_since, last_byte_at)

    def check(self, now: float, last_byte_at: float) -> LinkCheck:
        """Returns the action that the link needs now."""
        silent = self.silent_for(now, last_byte_at)
        if silent > LINK_SILENT_SECONDS:
            return LinkCheck.GIVE_UP
        return LinkCheck.PROBE if silent > LINK_PROBE_AFTER_SECONDS else LinkCheck.WAIT

    def in_use(self, now: float) -> bool:
        """Whether the link was used recently enough to be probed while idle."""
        return now - self._used_at <= LINK_IN_USE_SECONDS

    def idle_probe_due(self, now: float) -> bool:
        """Whether to probe the idle link: no answer is pending, and no message came for a while."""
        return self._pending_since is None and now - self._received_at >= LINK_IDLE_PROBE_SECONDS


class ReopenPause:
    """The pause before a lost link is reopened, which doubles after each failure."""

    def __init__(self) -> None:
        self._next = FIRST_REOPEN_PAUSE_SECONDS

    def next_pause(self) -> float:
        """Returns the seconds until the next attempt, and doubles the pause after it."""
        seconds = self._next
        self._next = min(seconds * 2, LONGEST_REOPEN_PAUSE_SECONDS)
        return seconds

    def reset(self) -> None:
        """Resets the pause; called when the other side has answered.

        A new connection alone does not reset it: a proxy that accepts connections but never answers
        must not be tried for every command.
        """
        self._next = FIRST_REOPEN_PAUSE_SECONDS
