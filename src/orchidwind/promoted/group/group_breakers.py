"""Refuses requests of one group at once where what they rely on is known to fail here.

Owns: the clock and the log lines of `core/circuit_breaker`, which has the rule and its times: one
line when a dependency begins to be refused, one when it is found again.
"""

from __future__ import annotations

import asyncio

from orchidwind.promoted.core.circuit_breaker import (
    Dependency,
    ImmediateRefusal,
    RequestBreakers,
)
from orchidwind.shared.core.errors import ErrorKind, RequestError
from orchidwind.shared.logs import log_event


class GroupBreakers:
    """The `check_` methods raise RequestError, the others report what was seen.

    Times are in seconds of the running loop's clock.
    """

    def __init__(self, group: str) -> None:
        """`group` is the group's name, for the log."""
        self._group = group
        self._breakers = RequestBreakers()
        self._logged_open: set[Dependency] = set()
        self._loop = asyncio.get_running_loop()

    def check_without_instance(self, kind: ErrorKind) -> None:
        """A request finds no instance at this moment; `kind` is the error of its refusal."""
        self._raise(self._breakers.refuse_without_instance(kind, self._loop.time()))

    def check_unproven_read(self) -> None:
        """A read goes to the primary with a proof of its lead."""
        self._raise(self._breakers.refuse_unproven_read(self._loop.time()))

    def check_at_primary(self, lead_proof: bool, oldest_write: float | None) -> None:
        """A request goes to the primary, and relies on a proof of its lead or on a commit.

        `oldest_write` is given for a commit: how many seconds the oldest write there has waited.
        """
        now = self._loop.time()
        self._raise(self._breakers.refuse_at_primary(lead_proof, oldest_write, now))

    def _raise(self, refusal: ImmediateRefusal | None) -> None:
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
        raise RequestError(refusal.kind, refusal.reason)

    def failed(self, dependency: Dependency, since: float) -> None:
        """Something was tried from a time on, and did not succeed."""
        self._breakers.failed(dependency, since)

    def succeeded(self, *dependencies: Dependency) -> None:
        """They were tried, and succeeded."""
        for dependency in dependencies:
            self._breakers.succeeded(dependency, self._loop.time())
            if dependency in self._logged_open:
                self._logged_open.discard(dependency)
                log_event("circuit_closed", group=self._group, found=dependency.value)

    def commit_waited(self, seconds: float) -> None:
        """A write waits, or has waited, for its acknowledgement for so many seconds."""
        self._breakers.commit_waited(seconds, self._loop.time())
