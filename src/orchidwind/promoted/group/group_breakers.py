"""Circuit breakers of one group: refuse requests at once if a dependency is known to fail.

`core/circuit_breaker` has the rules and their times, `core/return_times` when refused callers come
back. This module supplies the clock and randomness, and logs one line when a dependency's breaker
opens and one when it closes again.
"""

from __future__ import annotations

import asyncio
import random

from orchidwind.promoted.core.circuit_breaker import (
    Dependency,
    ImmediateRefusal,
    RequestBreakers,
)
from orchidwind.promoted.core.return_times import return_after, wait_until
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.logs import log_event


class GroupBreakers:
    """The breakers of one group. Times are in seconds of the running loop's clock.

    The `check_` methods raise RequestError if a breaker is open; the others record results.
    """

    def __init__(self, group: str) -> None:
        """`group` is the group's name, for the log."""
        self._group = group
        self._breakers = RequestBreakers()
        self._logged_open: set[Dependency] = set()
        self._loop = asyncio.get_running_loop()

    def check_without_instance(self, kind: ErrorKind) -> None:
        """Check a request that has no instance now; `kind` is the kind of the error if refused."""
        self._raise_refusal(self._breakers.refuse_without_instance(kind, self._loop.time()))

    def check_unproven_read(self) -> None:
        """Check a read that is sent to the primary and needs a proof of its leadership."""
        self._raise_refusal(self._breakers.refuse_unproven_read(self._loop.time()))

    def check_at_primary(self, leadership_proof: bool, oldest_write: float | None) -> None:
        """Check a request to the primary that depends on a proof of leadership or on a commit.

        `oldest_write` is set for a commit: the seconds that the oldest write there has waited.
        """
        now = self._loop.time()
        self._raise_refusal(self._breakers.refuse_at_primary(leadership_proof, oldest_write, now))

    def _raise_refusal(self, refusal: ImmediateRefusal | None) -> None:
        if refusal is None:
            return
        if refusal.missing not in self._logged_open:
            self._logged_open.add(refusal.missing)
            log_event(
                "circuit_opened",
                group=self._group,
                missing=refusal.missing.value,
                reason=refusal.reason,
            )
        raise self.refusal(refusal.missing, refusal.kind, refusal.reason)

    def refusal(self, missing: Dependency, kind: ErrorKind, reason: str) -> RequestError:
        """The error for a request whose dependency fails, with the time to come back.

        A missing replica tells of a change of primary only while the primary is missing as well.
        """
        now = self._loop.time()
        if kind is ErrorKind.NO_REPLICA and not self._primary_outage(now):
            return RequestError(kind, reason)
        outage = self._breakers.failing_for(missing, now)
        seconds = return_after(outage, random.random())
        return RequestError(kind, reason, retry_after_milliseconds=int(seconds * 1000))

    def wait_until(self, kind: ErrorKind, deadline: float) -> float:
        """Until when a request waits that has no instance now and would be refused with `kind`.

        A read without an eligible replica waits until its deadline, unless the primary is missing.
        """
        now = self._loop.time()
        outage = self._primary_outage(now)
        if kind is not ErrorKind.NO_PRIMARY and outage == 0.0:
            return deadline
        return wait_until(now, deadline, outage)

    def _primary_outage(self, now: float) -> float:
        return self._breakers.failing_for(Dependency.PRIMARY, now)

    def failed(self, dependency: Dependency, since: float) -> None:
        """Record that an attempt to use a dependency, started at `since`, failed."""
        self._breakers.failed(dependency, since)

    def succeeded(self, *dependencies: Dependency) -> None:
        """Record that attempts to use these dependencies succeeded."""
        for dependency in dependencies:
            self._breakers.succeeded(dependency, self._loop.time())
            if dependency in self._logged_open:
                self._logged_open.discard(dependency)
                log_event("circuit_closed", group=self._group, found=dependency.value)

    def commit_waited(self, seconds: float) -> None:
        """Record for how many seconds a write has waited for its confirmation."""
        self._breakers.commit_waited(seconds, self._loop.time())
