"""What makes a proxy look into a change of primary. No I/O, no clock.

The rule, in this order:

1. A primary leads, as far as this proxy knows.
   - NOT_CONFIRMING: its oldest write has waited for longer than `NOT_CONFIRMING_SECONDS`.
   - LEAVING: it announced its end, or its entry has been gone for `GONE_SECONDS`
     (`UNSEEN_REMOVAL_SECONDS` where nobody saw it go), and another listed instance stays.
   - LEFT_FENCED: replicas have been fenced against it for `LEFT_FENCED_SECONDS`: a change of
     primary lost its lock. They follow nobody, and each proof of the lead that asks one fails.
2. None leads: LEAVING as above for the one known last, else UNREACHABLE after
   `NO_PRIMARY_SECONDS`, if some replica answers: an own cut from everything looks the same.

A reason is no proof. `failover` asks the instances first, and changes nothing where a primary stays
(`failover_primary`).

Owns: the last known primary, and since when a state has lasted. Relies on: `topology` for what is
known; a caller that asks often. Times are in seconds of the steady clock.
"""

from __future__ import annotations

from orchidwind.promoted.core.failover_steps import FailoverReason
from orchidwind.promoted.core.topology import GroupTopology

# With less, an answer that comes late would begin a change of primary.
NO_PRIMARY_SECONDS = 0.1
# Below the first users' statement timeouts of 0.8 s, so that a caller's write can still
# be answered. The circuit breaker of commits opens after the same time.
NOT_CONFIRMING_SECONDS = 0.6
# With less an entry that is taken off and put back at once would cost a change of primary.
GONE_SECONDS = 1.0
# Entries that were missing after an outage of the directory are back about 2 s after it; the rest
# is for late ones (docs/DECISIONS.md).
UNSEEN_REMOVAL_SECONDS = 2.3
# A change of primary ends, or its holder's time does, before replicas count as left fenced.
LEFT_FENCED_SECONDS = 1.0

assert GONE_SECONDS < UNSEEN_REMOVAL_SECONDS, "who was seen to go is gone with less doubt"


class ChangeReasons:
    """Finds the reason for a change of primary of one group."""

    def __init__(self, topology: GroupTopology) -> None:
        self._topology = topology
        self._leader = ""
        self._no_primary_since: float | None = None
        self._left_fenced_since: float | None = None

    @property
    def no_primary(self) -> bool:
        """Whether none was known when a reason was last looked for."""
        return self._no_primary_since is not None

    def reason(self, now: float, oldest_write: float) -> FailoverReason | None:
        """Why to look into a change; `oldest_write`: how long a write has waited, in seconds."""
        primary = self._topology.primary(now)
        if primary is None:
            return self._reason_without_primary(now)
        self._leader = primary.instance
        self._no_primary_since = None
        if oldest_write > NOT_CONFIRMING_SECONDS:
            return FailoverReason.NOT_CONFIRMING
        if self._leaves(self._leader, now):
            return FailoverReason.LEAVING
        return FailoverReason.LEFT_FENCED if self._left_fenced(now, primary.term) else None

    def _reason_without_primary(self, now: float) -> FailoverReason | None:
        leader = self.known_leader()
        if leader and self._leaves(leader, now):
            return FailoverReason.LEAVING
        if self._no_primary_since is None:
            self._no_primary_since = now
        waited = now - self._no_primary_since
        if waited < NO_PRIMARY_SECONDS or not self._some_replica_answers(leader):
            return None
        return FailoverReason.UNREACHABLE

    def known_leader(self) -> str:
        """The last known primary; before one was known, the only instance that claims to be it."""
        if self._leader in self._topology.instances:
            return self._leader
        claiming = [
            name
            for name, view in self._topology.instances.items()
            if view.entry.claims_primary and view.listed
        ]
        return claiming[0] if len(claiming) == 1 else ""

    def _leaves(self, instance: str, now: float) -> bool:
        """Whether an instance announced its end or left the directory, with another that stays."""
        view = self._topology.instances.get(instance)
        if view is None:
            return False
        others = [item for name, item in self._topology.instances.items() if name != instance]
        if not any(item.listed and not item.entry.draining for item in others):
            return False
        if view.entry.draining:
            return True
        patience = UNSEEN_REMOVAL_SECONDS if view.removal_unseen else GONE_SECONDS
        return not view.listed and now - view.gone_at > patience

    def _left_fenced(self, now: float, term: int) -> bool:
        """Whether replicas have long been fenced against the very primary that leads."""
        if not self._topology.fenced_above(term):
            self._left_fenced_since = None
            return False
        if self._left_fenced_since is None:
            self._left_fenced_since = now
        return now - self._left_fenced_since > LEFT_FENCED_SECONDS

    def _some_replica_answers(self, leader: str) -> bool:
        return any(
            name != leader and view.status is not None and view.reachable
            for name, view in self._topology.instances.items()
        )
