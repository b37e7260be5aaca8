"""When an instance, or one server connection to it, counts as silent. No I/O, no clock.

What for: an open connection may take bytes and deliver none while new ones work, and an instance
may be gone without a reset. Both look like a slow answer at first, so the rule goes by steps:

1. An exchange that has no answer after ANSWER_OVERDUE_SECONDS puts its connection in doubt. Idle
   and resting connections to the instance that have delivered nothing since the exchange began are
   asked for the status, beside a new connection.
2. Where the new connection answers and an asked one does not, the asked one is silent: it is
   closed. Where the new one does not answer either, the instance may be at fault and no connection
   counts as silent.
3. An instance that has delivered nothing on any connection meanwhile is a suspect: the supervisor
   asks for its status. One that does not answer within `status_time_limit` is unreachable.
4. A connection that a transaction holds while its caller thinks is asked once it has delivered
   nothing for HELD_REST_PROBE_SECONDS.

Owns: the times of these steps. Relies on: callers that pass times in seconds of one steady clock.
docs/SILENCE.md, "Connections (promoted groups)", has the effects.
"""

from __future__ import annotations

from msgspec import Struct

# Seconds after which an answer is overdue. Within the shortest statement time-out (0.8 s)
# it leaves the time to find the silent connection and to run a read elsewhere.
ANSWER_OVERDUE_SECONDS = 0.25

# Shortest pause between two checks for overdue answers, seconds. Bounds the wake-ups.
_SHORTEST_CHECK_PAUSE_SECONDS = 0.01

# An instance's idle connections are asked at most once in so many seconds. Each check is a
# query on each of them, and a full instance must not be kept busy by checks.
CONNECTION_CHECK_PAUSE_SECONDS = 1.0

# Time that a new connection to an instance has to open, seconds. Below the shortest
# statement time-out (0.8 s); one takes 12 to 32 ms, more where the instance is in another region
# (docs/DECISIONS.md, "Homes for promoted groups").
INSTANCE_CONNECT_SECONDS = 0.6

# Time that a status or control call has, seconds. More than a new connection in another
# region takes; how soon a lost primary is noticed depends on it.
STATUS_SECONDS = 0.2

# The same where a change of primary waits for an instance that did not answer last time.
# Each such instance delays the change by as much.
HURRIED_STATUS_SECONDS = 0.07

# The same where nothing was ever delivered by an instance: silence is no sign yet, as all homes of
# a fleet that starts connect at once and an instance takes them one after the other.
FIRST_STATUS_SECONDS = INSTANCE_CONNECT_SECONDS

# A status call without an answer for so many seconds is repeated on a new connection.
# Below HURRIED_STATUS_SECONDS and about twice the time that a new connection takes (12 to 32 ms);
# in a hurried call the second one has hardly time left.
STATUS_HEDGE_SECONDS = 0.06

# A status call to an instance is hedged at most once in so many seconds. A new connection
# costs the instance a slot for a while.
STATUS_HEDGE_PAUSE_SECONDS = 1.0

# So many seconds longer than a new connection an idle one has for its answer. Both wait
# alike for a slot of the instance, and what differs is the way.
SILENT_AFTER_NEW_SECONDS = 0.05

# A held connection at rest is asked once it has delivered nothing for so many seconds.
# A busy connection is hardly ever asked (docs/SILENCE.md has what it costs).
HELD_REST_PROBE_SECONDS = 1.0

# Held connections are looked through each so many seconds. With the two times beside it,
# a silent one at rest is found within 1.65 s, below the shortest rest of a transaction (3 s).
REST_CHECK_SECONDS = 0.25

# A held connection that is asked counts as silent after so many seconds. As for links
# between proxies: a lost packet is sent again after 0.2 s, and closing costs the transaction.
RESTING_SILENT_SECONDS = 0.4


class OverdueCheck(Struct, frozen=True):
    """Whether an answer is overdue, and in how many seconds to check again."""

    overdue: bool
    again_in: float


def answer_overdue(owed_since: float, now: float) -> bool:
    """Whether a connection that has owed an answer since a time is in doubt."""
    return now - owed_since >= ANSWER_OVERDUE_SECONDS


def instance_suspect(owed_since: float, answered_at: float, now: float) -> bool:
    """Whether an instance that owes an answer has delivered nothing on any connection."""
    return now - max(answered_at, owed_since) > ANSWER_OVERDUE_SECONDS


def overdue_check(oldest_owed_since: float, now: float) -> OverdueCheck:
    """What to do for the exchange that has waited for longest."""
    due_in = oldest_owed_since + ANSWER_OVERDUE_SECONDS - now
    if due_in <= 0.0:
        return OverdueCheck(overdue=True, again_in=ANSWER_OVERDUE_SECONDS)
    return OverdueCheck(overdue=False, again_in=max(due_in, _SHORTEST_CHECK_PAUSE_SECONDS))


def status_time_limit(ever_answered: bool, unreachable: bool, hurried: bool) -> float:
    """How many seconds an instance has for a status or control call.

    `hurried` tells that a change of primary waits for the answer.
    """
    if not ever_answered:
        return FIRST_STATUS_SECONDS
    return HURRIED_STATUS_SECONDS if hurried and unreachable else STATUS_SECONDS


def rest_probe_before(now: float) -> float:
    """A held connection at rest is asked where it has delivered nothing since this time."""
    return now - HELD_REST_PROBE_SECONDS


def resting_answer_time_left(asked_at: float, now: float) -> float:
    """How many seconds a held connection at rest has left for its answer."""
    return asked_at + RESTING_SILENT_SECONDS - now


class InstancePauses:
    """Bounds how often something is done at each instance: once in `pause_seconds`."""

    def __init__(self, pause_seconds: float) -> None:
        self._pause = pause_seconds
        self._begun_at: dict[str, float] = {}

    def due(self, instance: str, now: float) -> bool:
        """Whether it may be done at an instance again."""
        return now - self._begun_at.get(instance, float("-inf")) >= self._pause

    def begin(self, instance: str, now: float) -> None:
        """It is done now."""
        self._begun_at[instance] = now

    def forget(self, instance: str) -> None:
        """An instance left long ago."""
        self._begun_at.pop(instance, None)
