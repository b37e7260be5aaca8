"""Finds reasons to consider a change of primary. No I/O, no clock.

The conditions, in order:

1. This proxy knows a primary.
   - NOT_CONFIRMING: the oldest write on it has waited for longer than `NOT_CONFIRMING_SECONDS`.
   - LEAVING: it announced its shutdown, or its entry has been missing for longer than
     `REMOVED_ENTRY_SECONDS` (`UNSEEN_REMOVAL_SECONDS` if the removal itself was not observed), and
     another listed instance stays.
   - LEFT_FENCED: replicas have been fenced against it for longer than `LEFT_FENCED_SECONDS`,
     because a change of primary lost its promotion lock midway. Such replicas follow no primary,
     and a proof of leadership that asks one of them fails.
2. This proxy knows no primary: LEAVING as above for the last known primary, otherwise UNREACHABLE
   after `NO_PRIMARY_SECONDS`, provided that some replica answers. If none answers, this proxy
   itself may be disconnected from the group.

A reason proves nothing. `failover` first asks the instances, and changes nothing if the primary can
stay (`failover_primary`).

`ChangeReasons` remembers the last known primary and since when a condition has lasted, so it must
be called regularly. Times are in seconds of the monotonic clock.
"""

from __future__ import annotations

from orchidwind.promoted.core.failover_steps import FailoverReason
from orchidwind.promoted.core.topology import GroupTopology

# With a shorter time, a single late answer would start a change of primary.
NO_PRIMARY_SECONDS = 0.1
# Shorter than the first users' statement timeout of 0.8 s, so that a caller's write can still be
# answered. The circuit breaker for commits opens after the same time.
NOT_CONFIRMING_SECONDS = 0.6
# With a shorter time, an entry that is removed and written again at once would cause a change of
# primary.
REMOVED_ENTRY_SECONDS = 1.0
# Entries that are missing after an outage of the directory are back about 2 s later; the rest
# allows for late ones (docs/DECISIONS.md).
UNSEEN_REMOVAL_SECONDS = 2.3
# Long enough for a change of primary to finish, or for its promotion lock to expire, before its
# replicas count as left fenced.
LEFT_FENCED_SECONDS = 1.0

assert REMOVED_ENTRY_SECONDS < UNSEEN_REMOVAL_SECONDS, (
    "an observed removal needs less time than an unobserved one"
)


class ChangeReasons:
    """Finds the reason for a change of primary of one group."""

    def __init__(self, topology: GroupTopology) -> None:
        self._topology = topology
        self._leader = ""
        self._no_primary_since: float | None = None
        self._left_fenced_since: float | None = None

    @property
    def no_primary(self) -> bool:
        """Whether no primary was known at the last call of `reason`."""
        return self._no_primary_since is not None

    def reason(self, now: float, oldest_write: float) -> FailoverReason | None:
        """Returns a reason to consider a change of primary, or None.

        `oldest_write` is how long the oldest write on the primary has waited, in seconds.
        """
        primary = self._topology.primary(now)
        if primary is None:
            return self._reason_without_primary(now)
        self._leader = primary.instance
        self._no_primary_since = None
        if oldest_write > NOT_CONFIRMING_SECONDS:
            return FailoverReason.NOT_CONFIRMING
        if self._is_leaving(self._leader, now):
            return FailoverReason.LEAVING
        return FailoverReason.LEFT_FENCED if self._left_fenced(now, primary.term) else None

    def _reason_without_primary(self, now: float) -> FailoverReason | None:
        """Returns a reason to consider a change while no primary is known, or None."""
        leader = self.last_known_primary()
        if leader and self._is_leaving(leader, now):
            return FailoverReason.LEAVING
        if self._no_primary_since is None:
            self._no_primary_since = now
        waited = now - self._no_primary_since
        if waited < NO_PRIMARY_SECONDS or not self._some_replica_answers(leader):
            return None
        return FailoverReason.UNREACHABLE

    def last_known_primary(self) -> str:
        """Returns the last known primary, or an empty string.

        Before any primary was known, this is the only listed instance that claims to be primary.
        """
        if self._leader in self._topology.instances:
            return self._leader
        claiming = [
            name
            for name, view in self._topology.instances.items()
            if view.entry.claims_primary and view.listed
        ]
        return claiming[0] if len(claiming) == 1 else ""

    def _is_leaving(self, instance: str, now: float) -> bool:
        """Whether an instance is shutting down or left the directory while another one stays."""
        view = self._topology.instances.get(instance)
        if view is None:
            return False
        others = [item for name, item in self._topology.instances.items() if name != instance]
        if not any(item.listed and not item.entry.draining for item in others):
            return False
        if view.entry.draining:
            return True
        seconds = UNSEEN_REMOVAL_SECONDS if view.removal_unseen else REMOVED_ENTRY_SECONDS
        return not view.listed and now - view.gone_at > seconds

    def _left_fenced(self, now: float, term: int) -> bool:
        """Whether replicas have been fenced against the current primary for too long."""
        if not self._topology.fenced_above(term):
            self._left_fenced_since = None
            return False
        if self._left_fenced_since is None:
            self._left_fenced_since = now
        return now - self._left_fenced_since > LEFT_FENCED_SECONDS

    def _some_replica_answers(self, leader: str) -> bool:
        """Whether an instance other than the last known primary has answered and is reachable."""
        return any(
            name != leader and view.status is not None and view.reachable
            for name, view in self._topology.instances.items()
        )
