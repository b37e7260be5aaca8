"""When an instance, or one server connection to it, counts as silent. No I/O, no clock.

An open connection may accept bytes and deliver none while new connections work, and an instance may
be gone without a connection reset. Both look like a slow answer at first, so the rule has several
steps:

1. If an exchange has no answer after ANSWER_OVERDUE_SECONDS, its connection is in doubt. A new
   connection is opened, and the idle and resting connections to the instance that have delivered
   nothing since the exchange began are probed by a status query.
2. If the new connection answers and a probed one does not, the probed one is silent and is closed.
   If the new connection does not answer either, the instance may be at fault and no connection
   counts as silent.
3. An instance that has meanwhile delivered nothing on any connection is a suspect: the supervisor
   asks for its status. If it does not answer within `status_time_limit`, it is unreachable.
4. A connection that is held by a transaction while its caller is idle is probed once it has
   delivered nothing for HELD_REST_PROBE_SECONDS.

Owns: the times of these steps. Relies on: callers that pass times in seconds of one
monotonic clock.
docs/SILENCE.md, "Connections (promoted groups)", has the effects.
"""

from __future__ import annotations

from msgspec import Struct

# Seconds after which an answer is overdue. Below the shortest statement time-out (0.8 s) it leaves
# enough time to find the silent connection and to run a read elsewhere.
ANSWER_OVERDUE_SECONDS = 0.25

# Shortest pause between two checks for overdue answers, in seconds. Limits how often the proxy
# wakes up.
_SHORTEST_CHECK_PAUSE_SECONDS = 0.01

# Seconds between two probes of an instance's idle connections. A probe is a query on each of them,
# and a busy instance must not be loaded further by probes.
CONNECTION_CHECK_PAUSE_SECONDS = 1.0

# Time limit for opening a new connection to an instance, in seconds. Below the shortest statement
# time-out (0.8 s). Opening takes 12 to 32 ms, more if the instance is in another region
# (docs/DECISIONS.md, "Homes for promoted groups").
INSTANCE_CONNECT_SECONDS = 0.6

# Time limit of a status or control call, in seconds. Longer than a new connection to another region
# takes; the time to detect a lost primary depends on it.
STATUS_SECONDS = 0.2

# The same if a change of primary waits for an instance that did not answer last time. Each such
# instance delays the change by this time.
URGENT_STATUS_SECONDS = 0.07

# The same if the instance has never delivered anything. Silence means little then: all home proxies
# of a fleet that starts connect at once, and an instance accepts them one after the other.
FIRST_STATUS_SECONDS = INSTANCE_CONNECT_SECONDS

# Seconds after which a status call without an answer is repeated on a new connection. Below
# URGENT_STATUS_SECONDS and about twice the time that a new connection takes (12 to 32 ms); in an
# urgent call the second attempt has hardly any time left.
STATUS_HEDGE_SECONDS = 0.06

# Seconds between two hedged status calls to an instance. A new connection occupies a slot of the
# instance for a while.
STATUS_HEDGE_PAUSE_SECONDS = 1.0

# Additional seconds that an idle connection has for its answer, compared with a new one. Both wait
# in the same way for a slot of the instance; only the network path differs.
SILENT_AFTER_NEW_SECONDS = 0.05

# Seconds without data after which a held connection at rest is probed. A busy connection is hardly
# ever probed (docs/SILENCE.md has the cost).
HELD_REST_PROBE_SECONDS = 1.0

# Seconds between two checks of the held connections. Together with HELD_REST_PROBE_SECONDS and
# RESTING_SILENT_SECONDS a silent connection at rest is found within 1.65 s, below the shortest
# time-out of a resting transaction (3 s).
REST_CHECK_SECONDS = 0.25

# Seconds after which a held connection that was probed counts as silent. As for links between
# proxies: a lost packet is sent again after 0.2 s, and closing the connection aborts the
# transaction.
RESTING_SILENT_SECONDS = 0.4


class OverdueCheck(Struct, frozen=True):
    """Whether an answer is overdue, and in how many seconds to check again."""

    overdue: bool
    again_in: float


def answer_overdue(pending_since: float, now: float) -> bool:
    """Whether a connection whose answer has been pending since a time is in doubt."""
    return now - pending_since >= ANSWER_OVERDUE_SECONDS


def instance_suspect(pending_since: float, answered_at: float, now: float) -> bool:
    """Whether an instance with a pending answer has delivered nothing on any connection."""
    return now - max(answered_at, pending_since) > ANSWER_OVERDUE_SECONDS


def overdue_check(oldest_pending_since: float, now: float) -> OverdueCheck:
    """Decide about the exchange whose answer has been pending for longest."""
    due_in = oldest_pending_since + ANSWER_OVERDUE_SECONDS - now
    if due_in <= 0.0:
        return OverdueCheck(overdue=True, again_in=ANSWER_OVERDUE_SECONDS)
    return OverdueCheck(overdue=False, again_in=max(due_in, _SHORTEST_CHECK_PAUSE_SECONDS))


def status_time_limit(ever_answered: bool, unreachable: bool, urgent: bool) -> float:
    """Return how many seconds an instance has for a status or control call.

    `urgent`: a change of primary waits for the answer.
    """
    if not ever_answered:
        return FIRST_STATUS_SECONDS
    return URGENT_STATUS_SECONDS if urgent and unreachable else STATUS_SECONDS


def rest_probe_before(now: float) -> float:
    """Return the time since which a held connection at rest must have delivered something.

    A connection that has not is probed.
    """
    return now - HELD_REST_PROBE_SECONDS


def resting_answer_time_left(asked_at: float, now: float) -> float:
    """Return how many seconds a held connection at rest has left for its answer."""
    return asked_at + RESTING_SILENT_SECONDS - now


class InstancePauses:
    """Limits how often an action is taken for each instance: once in `pause_seconds`."""

    def __init__(self, pause_seconds: float) -> None:
        self._pause = pause_seconds
        self._begun_at: dict[str, float] = {}

    def due(self, instance: str, now: float) -> bool:
        """Whether the action may be taken for an instance again."""
        return now - self._begun_at.get(instance, float("-inf")) >= self._pause

    def begin(self, instance: str, now: float) -> None:
        """Note that the action is taken now."""
        self._begun_at[instance] = now

    def forget(self, instance: str) -> None:
        """Drop the record of an instance that left long ago."""
        self._begun_at.pop(instance, None)
