"""Holds back the acknowledgement of a group's commits until they are proven to survive.

`commit_guard` decides when a commit is proven. This module also remembers the last acknowledged
commits and logs them when the primary changes, so that a lost commit can be traced.
"""

from __future__ import annotations

import asyncio
from collections import deque

from msgspec import Struct

from orchidwind.promoted.core.circuit_breaker import Dependency
from orchidwind.promoted.core.commands import InstanceMessage, Reply
from orchidwind.promoted.core.commit_acknowledgement import ConfirmedCommit
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.group.commit_guard import CommitGuard
from orchidwind.promoted.group.group_breakers import GroupBreakers
from orchidwind.promoted.group.lease_keeper import LeaseKeeper
from orchidwind.shared.core.errors import BackendConnectionLost
from orchidwind.shared.core.positions import Position
from orchidwind.shared.logs import log_event

# A commit that waits for more than this many seconds is logged. A proof by a replica takes some
# milliseconds.
_WAIT_LOGGED_SECONDS = 0.1
# Number of acknowledged commits that are remembered and logged at a change of primary: about 3 s of
# a busy group's commits at one proxy, which is what a change of primary could lose.
_COMMITS_REMEMBERED = 64


class _AcknowledgedCommit(Struct, frozen=True):
    request_id: str
    position: Position

    def __str__(self) -> str:
        return f"{self.request_id}@{self.position.term}.{self.position.lsn}"


class HeldCommits:
    """Holds back commits until no change of primary can lose them."""

    def __init__(
        self,
        topology: GroupTopology,
        guard: CommitGuard,
        leases: LeaseKeeper,
        breakers: GroupBreakers,
    ) -> None:
        self._topology = topology
        self._guard = guard
        self._leases = leases
        self._breakers = breakers
        self._loop = asyncio.get_running_loop()
        self._remembered: deque[_AcknowledgedCommit] = deque(maxlen=_COMMITS_REMEMBERED)

    async def wait(self, instance: str, asked: InstanceMessage, reply: Reply) -> None:
        """Wait until a commit may be acknowledged; raises BackendConnectionLost if it was lost."""
        position = reply.position or Position(self._topology.primary_term(instance), 0)
        commit = ConfirmedCommit(instance, position)
        if not self._guard.lease_allows_acknowledgement(commit):
            await self._wait_for_proof(commit, asked.request_id)
        self._leases.note_acknowledged(self._topology.settings.name, position)
        self._remembered.append(_AcknowledgedCommit(asked.request_id, position))
        self._breakers.succeeded(Dependency.LEAD_PROOF)

    async def _wait_for_proof(self, commit: ConfirmedCommit, request_id: str) -> None:
        began = self._loop.time()
        outcome = "out_of_time"
        try:
            proven = await self._guard.may_acknowledge(
                commit, lambda: self._breakers.failed(Dependency.LEAD_PROOF, began)
            )
            outcome = "acknowledged" if proven else "left_out"
        finally:
            self._log_wait(commit, request_id, outcome, self._loop.time() - began)
        if outcome != "acknowledged":
            raise BackendConnectionLost("the commit was lost in a change of primary", sent=True)

    def _log_wait(
        self, commit: ConfirmedCommit, request_id: str, outcome: str, seconds: float
    ) -> None:
        if outcome == "acknowledged" and seconds <= _WAIT_LOGGED_SECONDS:
            return
        log_event(
            "commit_held",
            request_id=request_id,
            group=self._topology.settings.name,
            instance=commit.primary,
            position=f"{commit.position.term}.{commit.position.lsn}",
            outcome=outcome,
            milliseconds=int(seconds * 1000),
        )

    def log_commits_before(self, term: int) -> None:
        """Log the last acknowledged commits of terms before a new primary's term.

        Forgets all remembered commits.
        """
        remembered = list(self._remembered)
        self._remembered.clear()
        older = [commit for commit in remembered if commit.position.term < term]
        if older:
            log_event(
                "commits_acknowledged",
                group=self._topology.settings.name,
                before_term=term,
                commits=" ".join(map(str, older)),
            )
