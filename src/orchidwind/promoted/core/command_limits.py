"""Time limits of a command, weights of traffic classes, and randomized pauses. No I/O.

`promoted.callers` and `promoted.peers` hold the timers and pass in the times, in seconds of one
monotonic clock.
"""

from __future__ import annotations

from msgspec import Struct

from orchidwind.promoted.core.configuration import DatabaseRoute
from orchidwind.promoted.core.home_choice import PROBE_HOLD_SECONDS
from orchidwind.promoted.core.peer_messages import RunCommand
from orchidwind.shared.core.admission import NO_TARGET, TrafficClass

# The share of its timeout for which a statement may wait before it is sent. The other half is left
# to run it, on another instance if necessary.
_HOLD_SHARE = 0.5
# The weight of priority 0, and how many times that of the next lower priority each weight is. Only
# the ratios matter; with 64, priorities 0 to 3 have integer weights. While all of three priorities
# wait, the lowest gets 1/21 of the time of the slots; of four priorities, 1/85.
_HIGHEST_WEIGHT = 64.0
_WEIGHT_RATIO = 4.0
# Maximum number of requests of one class that wait for an instance. It limits memory only:
# admission refuses requests by their expected waiting time long before (`shared.core.admission`).
_QUEUE_BOUND = 400
# Pauses are randomized to 0.5 to 1.5 times the length that the flow asks for, so that commands that
# were refused at the same time are not sent again at the same time.
_SHORTEST_PAUSE_SHARE = 0.5


class TimeLimits(Struct, frozen=True):
    """The time limits of a command, in seconds of the monotonic clock.

    It must end by `deadline` and be sent to an instance by `hold_until`. After `target_at`, its
    answer misses the database's target latency.
    """

    deadline: float
    hold_until: float
    target_at: float = NO_TARGET

    @classmethod
    def for_new_command(cls, database: DatabaseRoute, arrived_at: float) -> TimeLimits:
        """Returns the limits of a command that has just arrived from a caller."""
        timeout = database.statement_timeout
        target_at = arrived_at + database.target_latency
        return cls(arrived_at + timeout, arrived_at + timeout * _HOLD_SHARE, target_at)

    @classmethod
    def for_forwarded_command(
        cls, message: RunCommand, target_latency: float | None, now: float
    ) -> TimeLimits:
        """Returns the limits, at the home proxy, of a command that a front proxy has sent.

        The time that the command spent at the front proxy counts.
        """
        arrived_at = now + message.remaining - message.timeout
        target_at = NO_TARGET if target_latency is None else arrived_at + target_latency
        return cls(now + message.remaining, now + message.hold, target_at)

    def after_lost_home(self, now: float) -> TimeLimits:
        """Returns the limits of the next attempt after the home proxy was lost or has refused.

        The command may wait for at least half of the time that is left.
        """
        halfway = (now + self.deadline) / 2
        return TimeLimits(self.deadline, max(self.hold_until, halfway), self.target_at)

    def for_probe(self, now: float) -> TimeLimits:
        """Returns the limits at a home that may still be unable to serve the command."""
        hold_until = min(self.hold_until, now + PROBE_HOLD_SECONDS)
        return TimeLimits(self.deadline, hold_until, self.target_at)


def traffic_class(database: DatabaseRoute) -> TrafficClass:
    """Returns the traffic class of a database's requests, by its priority."""
    weight = _HIGHEST_WEIGHT / _WEIGHT_RATIO**database.priority
    return TrafficClass(
        f"priority-{database.priority}", weight, database.statement_timeout, _QUEUE_BOUND
    )


def spread_pause(seconds: float, random_share: float) -> float:
    """Returns the randomized length of a pause; `random_share` is a random number from 0 to 1."""
    return seconds * (_SHORTEST_PAUSE_SHARE + random_share)
