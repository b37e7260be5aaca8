"""How long a request waits in an outage, and when its caller returns. No I/O, clock, randomness.

The callers refused in an outage return spread over a second after it is expected to end, so that
they do not all meet the new primary's queue at once. Times are in seconds.
"""

from __future__ import annotations

# From the first failure to a usable new primary: to notice it 0.5, to promote 1.0, to learn 0.1.
USUAL_CHANGE_SECONDS = 1.6
# The expected rest of an outage that has lasted longer, whose end nothing tells.
UNKNOWN_REST_SECONDS = 0.2
# A request that the end of the change would come too late for waits this long: other interruptions
# are shorter.
WAIT_IN_CHANGE_SECONDS = 0.2
# Callers return within this time after the expected end.
RETURN_SPREAD_SECONDS = 1.0


def expected_rest(outage: float) -> float:
    """Returns how much longer an outage is expected to last that has lasted for `outage`."""
    return max(USUAL_CHANGE_SECONDS - outage, UNKNOWN_REST_SECONDS)


def return_after(outage: float, random_share: float) -> float:
    """Returns after how long a refused caller is to return.

    `random_share` is a random number from 0 to 1. Two returns told by one home in one outage
    take at most `USUAL_CHANGE_SECONDS` + `UNKNOWN_REST_SECONDS` +
    2 * `RETURN_SPREAD_SECONDS`.
    """
    return expected_rest(outage) + RETURN_SPREAD_SECONDS * random_share


def wait_until(now: float, deadline: float, outage: float) -> float:
    """Returns until when a request waits for an instance in an outage that began `outage` ago.

    A request that may see the end of a usual change waits until its deadline, as does one in an
    outage that has lasted longer, and one before any failure is known (`outage` is 0): the primary
    may be about to be learnt. Any other is refused soon: held, it would meet the new primary
    together with all others.
    """
    if 0.0 < outage < USUAL_CHANGE_SECONDS and deadline - now < USUAL_CHANGE_SECONDS - outage:
        return min(deadline, now + WAIT_IN_CHANGE_SECONDS)
    return deadline
