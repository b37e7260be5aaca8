"""How long a command may run and wait, how much it weighs beside others, how its pauses spread.

For: `promoted.callers` and `promoted.peers`, which hold the timers. No I/O: times come in, in
seconds of one steady clock.
"""

from __future__ import annotations

from msgspec import Struct

from orchidwind.promoted.core.configuration import DatabaseRoute
from orchidwind.promoted.core.peer_messages import RunCommand
from orchidwind.shared.core.admission import NO_TARGET, TrafficClass

# The share of a statement's time for which it may wait unsent. The other half is left to
# run it, or to run it elsewhere.
_HOLD_SHARE = 0.5
# The weight of priority 0; each further step of priority has half of it. Only the ratios
# count, and priorities 0 to 3 get whole numbers.
_HIGHEST_WEIGHT = 8.0
# Requests of one class that wait for an instance at most. A bound of memory; admission
# refuses by the time that the queue takes long before (`shared.core.admission`).
_QUEUE_BOUND = 400
# Pauses last from half to one and a half times as long as the flow says. Commands that were
# refused together must not ask together again.
_SHORTEST_PAUSE_SHARE = 0.5


class TimeLimits(Struct, frozen=True):
    """Until when a command may run, and until when it may wait unsent; steady clock, seconds.

    `target_at` is when its answer is late.
    """

    deadline: float
    hold_until: float
    target_at: float = NO_TARGET

    @classmethod
    def of_new(cls, database: DatabaseRoute, arrived_at: float) -> TimeLimits:
        """For a command that has just arrived."""
        timeout = database.statement_timeout
        target_at = arrived_at + database.target_latency
        return cls(arrived_at + timeout, arrived_at + timeout * _HOLD_SHARE, target_at)

    @classmethod
    def at_home(cls, message: RunCommand, target_latency: float | None, now: float) -> TimeLimits:
        """For a command that a front has sent; the time that it spent there counts."""
        arrived_at = now + message.remaining - message.timeout
        target_at = NO_TARGET if target_latency is None else arrived_at + target_latency
        return cls(now + message.remaining, now + message.hold, target_at)

    def after_lost_home(self, now: float) -> TimeLimits:
        """For a command that was sent in vain: it may wait for half of what is left, at least."""
        halfway = (now + self.deadline) / 2
        return TimeLimits(self.deadline, max(self.hold_until, halfway), self.target_at)


def traffic_class(database: DatabaseRoute) -> TrafficClass:
    """The class of a database's requests: each step of priority halves the weight."""
    weight = _HIGHEST_WEIGHT / 2**database.priority
    return TrafficClass(
        f"priority-{database.priority}", weight, database.statement_timeout, _QUEUE_BOUND
    )


def spread_pause(seconds: float, random_share: float) -> float:
    """A pause as it is made, by a random number from 0 to 1."""
    return seconds * (_SHORTEST_PAUSE_SHARE + random_share)
