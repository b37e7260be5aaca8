"""Which requests are refused at once, as what they rely on is known to fail here. No I/O, no clock.

What for: a request that would only wait until its deadline is refused, and its caller goes
elsewhere. A request relies on up to three things: an instance that serves it, a proof that the
primary still leads, and a primary that confirms commits. Each has a circuit breaker, which opens
when a failure was reported and no success for so many seconds since it began. While it is open one
request is let through each PROBE_SECONDS, and the first success closes it. When the caller may
come back is a matter of the refusal's kind (`shared/core/errors.py`).

Owns: the three breakers of one group, their times, and the kind and text of each refusal.
Relies on: callers that report each success and failure, with times in seconds of one steady clock.
"""

from __future__ import annotations

from enum import Enum, unique

from msgspec import Struct

from orchidwind.promoted.core.change_reasons import NOT_CONFIRMING_SECONDS
from orchidwind.shared.core.errors import ErrorKind

# Seconds between two requests that are let through while a breaker is open. Hardly a caller
# waits in vain, and service is back a quarter of a second after its cause.
PROBE_SECONDS = 0.25

# For how long no instance is found until requests are refused, seconds. A change of primary
# takes about a second (docs/DECISIONS.md); one that takes longer waits for what this proxy does not
# reach.
NOT_FOUND_SECONDS = 1.5

# The same for proofs of the lead, seconds. Reading the lock takes some milliseconds and a
# query of a replica as long as a statement, so a proof that takes longer is not to be had soon.
NOT_PROVEN_SECONDS = 0.4


@unique
class Dependency(Enum):
    """What a request relies on; the values appear in log lines."""

    INSTANCE = "instance found"
    LEAD_PROOF = "lead proven"
    COMMIT = "commit confirmed"


# Seconds for which each may fail before requests that rely on it are refused. For commits it is the
# time after which the primary is replaced (`change_reasons`).
PATIENCE_SECONDS: dict[Dependency, float] = {
    Dependency.INSTANCE: NOT_FOUND_SECONDS,
    Dependency.LEAD_PROOF: NOT_PROVEN_SECONDS,
    Dependency.COMMIT: NOT_CONFIRMING_SECONDS,
}


class CircuitBreaker:
    """Closed until failures have lasted for `patience` seconds without a success."""

    def __init__(self, patience: float) -> None:
        self._patience = patience
        self._failing_since: float | None = None
        self._succeeded_at = float("-inf")
        self._probed_at = float("-inf")

    def failed(self, since: float) -> None:
        """It was tried from a time on, and did not succeed."""
        if self._failing_since is None:
            self._failing_since = max(since, self._succeeded_at)

    def succeeded(self, now: float) -> None:
        """It was tried, and succeeded."""
        self._failing_since = None
        self._succeeded_at = now

    def is_open(self, now: float) -> bool:
        """Whether it is known to fail."""
        return self._failing_since is not None and now - self._failing_since >= self._patience

    def refuses(self, now: float) -> bool:
        """Whether a request is to be refused; while open, one in a while is let through."""
        if not self.is_open(now):
            return False
        if now - self._probed_at < PROBE_SECONDS:
            return True
        self._probed_at = now
        return False


class ImmediateRefusal(Struct, frozen=True):
    """A request is refused before it waits. `reason` is for its caller and the log."""

    missing: Dependency
    kind: ErrorKind
    reason: str


class RequestBreakers:
    """The circuit breakers of one group."""

    def __init__(self) -> None:
        self._breakers = {
            dependency: CircuitBreaker(patience)
            for dependency, patience in PATIENCE_SECONDS.items()
        }

    def failed(self, dependency: Dependency, since: float) -> None:
        """It was tried from a time on, and did not succeed."""
        self._breakers[dependency].failed(since)

    def succeeded(self, dependency: Dependency, now: float) -> None:
        """It was tried, and succeeded."""
        self._breakers[dependency].succeeded(now)

    def commit_waited(self, seconds: float, now: float) -> None:
        """A write waits, or has waited, for its acknowledgement for so many seconds."""
        if seconds > PATIENCE_SECONDS[Dependency.COMMIT]:
            self.failed(Dependency.COMMIT, now - seconds)

    def refuse_without_instance(self, kind: ErrorKind, now: float) -> ImmediateRefusal | None:
        """Whether to refuse a request for which no instance is known at this moment."""
        return self._refuse(Dependency.INSTANCE, kind, "no instance has served for long", now)

    def refuse_unproven_read(self, now: float) -> ImmediateRefusal | None:
        """Whether to refuse a read that goes to the primary with a proof of its lead."""
        return self._refuse_unproven("its lead", now)

    def refuse_at_primary(
        self, lead_proof: bool, oldest_write: float | None, now: float
    ) -> ImmediateRefusal | None:
        """Whether to refuse a request that goes to the primary.

        `oldest_write` is given where it relies on a commit: for how many seconds the oldest write
        there has waited. Each breaker is asked once a request: a second question in the same moment
        would refuse the probe that the first has let through.
        """
        refusal = None
        commits = oldest_write is not None
        if lead_proof or commits:
            refusal = self._refuse_unproven("its lead" if lead_proof else "its commits", now)
        if refusal is not None or oldest_write is None:
            return refusal
        self.commit_waited(oldest_write, now)
        kind = ErrorKind.NO_PRIMARY
        return self._refuse(Dependency.COMMIT, kind, "it confirms no commits", now)

    def _refuse_unproven(self, what: str, now: float) -> ImmediateRefusal | None:
        reason = f"{what} cannot be proven here"
        return self._refuse(Dependency.LEAD_PROOF, ErrorKind.NO_PRIMARY, reason, now)

    def _refuse(
        self, dependency: Dependency, kind: ErrorKind, reason: str, now: float
    ) -> ImmediateRefusal | None:
        if not self._breakers[dependency].refuses(now):
            return None
        return ImmediateRefusal(dependency, kind, reason)
