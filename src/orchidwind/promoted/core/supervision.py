"""Decides which instances to ask for their status, and when to change a primary. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace

from orchidwind.promoted.core.failover_steps import (
    FailoverOutcome,
    FailoverPlan,
    FailoverReason,
)
from orchidwind.promoted.core.topology import GroupTopology

ASK_AGAIN_SECONDS = 0.15
LONGEST_ASK_SECONDS = 1.0
NO_PRIMARY_SECONDS = 0.1
NOT_CONFIRMING_SECONDS = 0.6
GONE_SECONDS = 1.0
# Entries that were missing after an outage of the directory are back about 2 s after it; the rest
# is for late ones.
UNSEEN_REMOVAL_SECONDS = 2.3
JITTER_SECONDS = 0.06
# A change of primary ends, or its holder's time does, before replicas count as left fenced.
LEFT_FENCED_SECONDS = 1.0
IDLE_LOOK_SECONDS = 0.5
BUSY_LOOK_SECONDS = 0.03

_MOST_DOUBLINGS = 2
_PAUSE_AFTER: dict[FailoverOutcome, float] = {
    FailoverOutcome.DONE: 0.2,
    FailoverOutcome.NOT_NEEDED: 0.3,
    FailoverOutcome.LOCK_HELD: 0.2,
    FailoverOutcome.LOCK_LOST: 0.3,
    FailoverOutcome.NOT_SAFE: 0.25,
}


@dataclass(frozen=True, slots=True)
class Look:
    """What to do now, and after how many seconds to look again at the latest."""

    ask: tuple[str, ...]
    plan: FailoverPlan | None
    again_after: float


class GroupSupervisor:
    """Watches over one group. Times are in seconds of the steady clock."""

    def __init__(self, topology: GroupTopology) -> None:
        self._topology = topology
        self._asked_at: dict[str, float] = {}
        self._leader = ""
        self._no_primary_since: float | None = None
        self._left_fenced_since: float | None = None
        self._paused_until = 0.0
        self._failures = 0
        self._start_at: float | None = None

    def look(
        self,
        now: float,
        suspects: list[str],
        oldest_write: float,
        random_fraction: float,
        members_known: bool = True,
    ) -> Look:
        """Decide.

        `suspects` may have gone; `oldest_write` is how long a write has waited for the primary.
        `members_known` says that no instance can have left unknown to this proxy.
        """
        ask = self._to_ask(now, suspects)
        reason = self._reason(now, oldest_write)
        plan = None
        if reason is None:
            self._start_at = None
        elif now >= self._paused_until:
            plan = self._plan_when_due(now, reason, random_fraction, members_known)
        restless = bool(suspects) or reason is not None or self._no_primary_since is not None
        again = (
            BUSY_LOOK_SECONDS
            if restless or self._topology.of_uncertain_role()
            else IDLE_LOOK_SECONDS
        )
        return Look(tuple(ask), plan, again)

    def ended(self, now: float, outcome: FailoverOutcome) -> None:
        """A change of primary that this proxy tried has ended."""
        failed = outcome in (FailoverOutcome.NOT_SAFE, FailoverOutcome.LOCK_LOST)
        self._failures = self._failures + 1 if failed else 0
        pause = _PAUSE_AFTER[outcome] * 2 ** min(self._failures, _MOST_DOUBLINGS)
        self._paused_until = now + pause
        self._start_at = None

    def _to_ask(self, now: float, suspects: list[str]) -> list[str]:
        views = self._topology.instances
        wanted = set(self._topology.of_uncertain_role()) | set(suspects)
        wanted |= {name for name, view in views.items() if view.unreachable_since is not None}
        wanted |= set(self._topology.fenced_above(self._topology.newest_led_term))
        due = []
        for name in sorted(wanted):
            if now - self._asked_at.get(name, float("-inf")) >= self._ask_interval(now, name):
                self._asked_at[name] = now
                due.append(name)
        return due

    def _ask_interval(self, now: float, name: str) -> float:
        """An instance that has not answered for long is asked less often."""
        view = self._topology.instances.get(name)
        if view is None or view.unreachable_since is None:
            return ASK_AGAIN_SECONDS
        silent = now - view.unreachable_since
        return min(max(ASK_AGAIN_SECONDS, silent / 2), LONGEST_ASK_SECONDS)

    def _reason(self, now: float, oldest_write: float) -> FailoverReason | None:
        primary = self._topology.primary(now)
        if primary is not None:
            self._leader = primary.instance
            self._no_primary_since = None
            if oldest_write > NOT_CONFIRMING_SECONDS:
                return FailoverReason.NOT_CONFIRMING
            if self._leaves(self._leader, now):
                return FailoverReason.LEAVING
            return FailoverReason.LEFT_FENCED if self._left_fenced(now, primary.term) else None
        leader = self._known_leader()
        if leader and self._leaves(leader, now):
            return FailoverReason.LEAVING
        if self._no_primary_since is None:
            self._no_primary_since = now
        waited = now - self._no_primary_since
        if waited < NO_PRIMARY_SECONDS or not self._some_replica_answers(leader):
            return None
        return FailoverReason.UNREACHABLE

    def _left_fenced(self, now: float, term: int) -> bool:
        """Whether replicas have long been fenced against the very primary that leads.

        A change of primary that lost its lock leaves them so: they follow nobody, and each proof of
        the lead that asks one fails.
        """
        if not self._topology.fenced_above(term):
            self._left_fenced_since = None
            return False
        if self._left_fenced_since is None:
            self._left_fenced_since = now
        return now - self._left_fenced_since > LEFT_FENCED_SECONDS

    def _known_leader(self) -> str:
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
        """Whether an instance announced its end, or left the directory alone of its group."""
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

    def _some_replica_answers(self, leader: str) -> bool:
        """An own cut from everything looks like the loss of the primary, but no replica answers."""
        return any(
            name != leader and view.status is not None and view.unreachable_since is None
            for name, view in self._topology.instances.items()
        )

    def _plan_when_due(
        self, now: float, reason: FailoverReason, random_fraction: float, members_known: bool
    ) -> FailoverPlan | None:
        if self._start_at is None:
            self._start_at = now + random_fraction * JITTER_SECONDS
        if now < self._start_at:
            return None
        self._start_at = None
        return self.plan(now, reason, members_known)

    def plan(self, now: float, reason: FailoverReason, members_known: bool) -> FailoverPlan:
        """A change of primary, by what is known now."""
        views = self._topology.instances
        replacements = self._topology.confirming.replacements()
        leader = self._known_leader()
        last_promotion = self._topology.last_promotion
        if last_promotion is not None:
            promoted = replacements.get(last_promotion.instance, last_promotion.instance)
            last_promotion = replace(last_promotion, instance=promoted)
        leaving = frozenset(
            name for name, view in views.items() if view.entry.draining or not view.listed
        )
        return FailoverPlan(
            group=self._topology.settings.name,
            reason=reason,
            members=tuple(sorted(self._topology.confirming.names())),
            leaving=leaving,
            old_primary=replacements.get(leader, leader),
            synchronous_replicas=self._topology.settings.synchronous_replicas,
            members_known=members_known,
            led_term=self._topology.newest_led_term,
            absent=tuple(sorted(self._topology.confirming.absent(now))),
            unlisted=frozenset(name for name, view in views.items() if not view.listed),
            last_promotion=last_promotion,
        )
