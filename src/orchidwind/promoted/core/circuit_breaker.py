"""Circuit breakers, which refuse requests whose dependencies are failing. No I/O, no clock.

Without a breaker such a request would wait until its deadline; refused early, the caller can try
another proxy. A request depends on up to three things: an instance that serves it (for a write, the
primary), a proof that the primary still leads, and a primary that confirms commits. Each has a
circuit breaker of its own, which opens when failures have lasted for a given time without a
success. While it is open, one request every PROBE_SECONDS is let through as a probe, and the first
success closes it. How long failures have lasted determines the retry time that the caller is told
(`return_times`).

Callers of this module report each success and failure, with times in seconds of one monotonic
clock.
"""

from __future__ import annotations

from enum import Enum, unique

from msgspec import Struct

from orchidwind.promoted.core.change_reasons import NOT_CONFIRMING_SECONDS
from orchidwind.shared.core.errors import ErrorKind, RequestError

# Seconds between two probes while a breaker is open. Few callers wait for a failure, and requests
# are accepted again at most a quarter of a second after the fault is gone.
PROBE_SECONDS = 0.25

# Seconds without a usable instance until requests are refused. A change of primary takes about a
# second (docs/DECISIONS.md); one that takes longer depends on something that this proxy cannot
# reach.
NOT_FOUND_SECONDS = 1.5

# Seconds without a proof of leadership until requests that need one are refused. Reading the
# promotion lock takes a few milliseconds and querying a replica as long as a statement, so a proof
# that takes longer is unlikely to succeed soon.
NOT_PROVEN_SECONDS = 0.4


# The reason of a refusal while no instance is found; home proxies pass it on to fronts.
_NOT_FOUND_REASON = "no instance has served for long"


def found_none(refusal: RequestError) -> bool:
    """Whether a request was refused because no instance was found for it.

    Requests that waited in vain are refused with the error kind alone as their message.
    """
    return refusal.message in (refusal.kind.value, _NOT_FOUND_REASON)


@unique
class Dependency(Enum):
    """Something that a request depends on; the values appear in log lines."""

    INSTANCE = "instance found"
    PRIMARY = "primary found"
    LEAD_PROOF = "lead proven"
    COMMIT = "commit confirmed"


# Seconds for which each dependency may fail before its breaker opens. For commits it is the time
# after which the primary is replaced (`change_reasons`).
OPEN_AFTER_SECONDS: dict[Dependency, float] = {
    Dependency.INSTANCE: NOT_FOUND_SECONDS,
    Dependency.PRIMARY: NOT_FOUND_SECONDS,
    Dependency.LEAD_PROOF: NOT_PROVEN_SECONDS,
    Dependency.COMMIT: NOT_CONFIRMING_SECONDS,
}


def missing_instance(kind: ErrorKind) -> Dependency:
    """Returns what is missing for a request that is refused with this kind, as it found none."""
    return Dependency.PRIMARY if kind is ErrorKind.NO_PRIMARY else Dependency.INSTANCE


class CircuitBreaker:
    """A breaker that opens when failures have lasted for some time without a success."""

    def __init__(self, open_after: float) -> None:
        """`open_after` is the duration of failures, in seconds, after which the breaker opens."""
        self._open_after = open_after
        self._failing_since: float | None = None
        self._succeeded_at = float("-inf")
        self._probed_at = float("-inf")

    def failed(self, since: float) -> None:
        """Records a failed attempt that began at `since`."""
        if self._failing_since is None:
            self._failing_since = max(since, self._succeeded_at)

    def succeeded(self, now: float) -> None:
        """Records a successful attempt."""
        self._failing_since = None
        self._succeeded_at = now

    def is_open(self, now: float) -> bool:
        """Whether failures have lasted long enough for the breaker to be open."""
        return self._failing_since is not None and now - self._failing_since >= self._open_after

    def failing_for(self, now: float) -> float:
        """For how many seconds attempts have failed without a success; 0 if they have not."""
        return 0.0 if self._failing_since is None else now - self._failing_since

    def refuses(self, now: float) -> bool:
        """Whether to refuse a request; while open, lets one through every PROBE_SECONDS."""
        if not self.is_open(now):
            return False
        if now - self._probed_at < PROBE_SECONDS:
            return True
        self._probed_at = now
        return False


class ImmediateRefusal(Struct, frozen=True):
    """The refusal of a request before it waits; `reason` goes to the caller and to the log."""

    missing: Dependency
    kind: ErrorKind
    reason: str


class RequestBreakers:
    """The circuit breakers of one group."""

    def __init__(self) -> None:
        self._breakers = {
            dependency: CircuitBreaker(open_after)
            for dependency, open_after in OPEN_AFTER_SECONDS.items()
        }

    def failed(self, dependency: Dependency, since: float) -> None:
        """Records a failed use of a dependency that began at `since`."""
        self._breakers[dependency].failed(since)

    def succeeded(self, dependency: Dependency, now: float) -> None:
        """Records a successful use of a dependency."""
        self._breakers[dependency].succeeded(now)

    def commit_waited(self, seconds: float, now: float) -> None:
        """Records for how many seconds a write has waited for its acknowledgement so far."""
        if seconds > OPEN_AFTER_SECONDS[Dependency.COMMIT]:
            self.failed(Dependency.COMMIT, now - seconds)

    def refuse_without_instance(self, kind: ErrorKind, now: float) -> ImmediateRefusal | None:
        """Returns the refusal of a request for which no instance is known now, if any."""
        return self._refuse(missing_instance(kind), kind, _NOT_FOUND_REASON, now)

    def failing_for(self, dependency: Dependency, now: float) -> float:
        """Returns for how many seconds the uses of a dependency have failed."""
        return self._breakers[dependency].failing_for(now)

    def refuse_unproven_read(self, now: float) -> ImmediateRefusal | None:
        """Returns the refusal of a read that needs a proof of leadership, if any."""
        return self._refuse_unproven("its lead", now)

    def refuse_at_primary(
        self, leadership_proof: bool, oldest_write: float | None, now: float
    ) -> ImmediateRefusal | None:
        """Returns the refusal of a request that goes to the primary, if any.

        `oldest_write` is None if the request needs no commit; otherwise it is how many seconds the
        oldest write on the primary has waited. Each breaker is consulted only once per request: a
        second call at the same time would refuse the probe that the first call let through.
        """
        refusal = None
        commits = oldest_write is not None
        if leadership_proof or commits:
            refusal = self._refuse_unproven("its lead" if leadership_proof else "its commits", now)
        if refusal is not None or oldest_write is None:
            return refusal
        self.commit_waited(oldest_write, now)
        kind = ErrorKind.NO_PRIMARY
        return self._refuse(Dependency.COMMIT, kind, "it confirms no commits", now)

    def _refuse_unproven(self, subject: str, now: float) -> ImmediateRefusal | None:
        reason = f"{subject} cannot be proven here"
        return self._refuse(Dependency.LEAD_PROOF, ErrorKind.NO_PRIMARY, reason, now)

    def _refuse(
        self, dependency: Dependency, kind: ErrorKind, reason: str, now: float
    ) -> ImmediateRefusal | None:
        if not self._breakers[dependency].refuses(now):
            return None
        return ImmediateRefusal(dependency, kind, reason)
