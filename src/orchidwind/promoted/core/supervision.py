"""When a proxy asks instances for their status, and when it tries to change a primary. No I/O.

An instance is asked while its role is uncertain, a connection to it broke or has an answer pending,
it is unreachable, or it is fenced above the newest term: at once, then every
`STATUS_RETRY_SECONDS`, and less often the longer it has been silent. A change of primary is tried
while there is a reason (`change_reasons`): after a random part of `JITTER_SECONDS`, and again after
a pause that depends on how the last try ended and doubles with each failure.

Owns: when each instance was asked, and until when no change is tried. Relies on: a driver that
sends the queries as decided, makes one change at a time, and reports its end. Times are in seconds
of the monotonic clock.
"""

from __future__ import annotations

from msgspec import Struct
from msgspec.structs import replace

from orchidwind.promoted.core.change_reasons import ChangeReasons
from orchidwind.promoted.core.failover_steps import (
    FailoverOutcome,
    FailoverPlan,
    FailoverReason,
)
from orchidwind.promoted.core.topology import GroupTopology

# Seconds between two status queries of one instance. Each query has a cost, and a change of primary
# takes about a second.
STATUS_RETRY_SECONDS = 0.15
# The longest interval for an instance that stays silent. By then other instances have long taken
# over its work.
LONGEST_STATUS_RETRY_SECONDS = 1.0
# Longest random delay in seconds, so that proxies that see the same loss do not all try to take the
# promotion lock at once.
JITTER_SECONDS = 0.06
# Longest time to the next decision in seconds, without and with a problem; a fraction of the times
# that the decisions wait for (`change_reasons`).
IDLE_INTERVAL_SECONDS = 0.5
PROBLEM_INTERVAL_SECONDS = 0.03
# Seconds before the next try, by how the last one ended. After a failure (NOT_SAFE, LOCK_LOST) they
# are doubled at once, to 0.5 or 0.6 s, then to 1.0 or 1.2 s. Longer than the news of the last try's
# end takes to arrive, and much shorter than a change.
_PAUSE_AFTER: dict[FailoverOutcome, float] = {
    FailoverOutcome.DONE: 0.2,
    FailoverOutcome.NOT_NEEDED: 0.3,
    FailoverOutcome.LOCK_HELD: 0.2,
    FailoverOutcome.LOCK_LOST: 0.3,
    FailoverOutcome.NOT_SAFE: 0.25,
}
# How often the pause doubles while tries fail: a change that cannot be made now is considered about
# once a second.
_MOST_DOUBLINGS = 2

assert STATUS_RETRY_SECONDS < LONGEST_STATUS_RETRY_SECONDS
assert PROBLEM_INTERVAL_SECONDS < JITTER_SECONDS < IDLE_INTERVAL_SECONDS


class SupervisionDecision(Struct, frozen=True):
    """The instances to ask for their status now, and the plan for a change of primary, if any.

    `again_after`: seconds to the next decision at the latest.
    """

    ask: tuple[str, ...]
    plan: FailoverPlan | None
    again_after: float


class GroupSupervisor:
    """Decides when to ask instances and when to change the primary of one group."""

    def __init__(self, topology: GroupTopology) -> None:
        self._topology = topology
        self._reasons = ChangeReasons(topology)
        self._asked_at: dict[str, float] = {}
        self._paused_until = 0.0
        self._failures = 0
        self._start_at: float | None = None

    def decide(
        self,
        now: float,
        suspects: list[str],
        oldest_write: float,
        random_fraction: float,
        members_known: bool = True,
    ) -> SupervisionDecision:
        """Decide what to do now.

        `suspects` are instances that may have gone; `oldest_write` is the time for which a write
        has waited for the primary. `random_fraction`, from 0 to 1, spreads the proxies.
        `members_known`: no instance can have left without this proxy knowing of it.
        """
        ask = self._instances_to_ask(now, suspects)
        reason = self._reasons.reason(now, oldest_write)
        plan = None
        if reason is None:
            self._start_at = None
        elif now >= self._paused_until:
            plan = self._plan_after_jitter(now, reason, random_fraction, members_known)
        has_problem = bool(suspects) or reason is not None or self._reasons.no_primary
        if has_problem or self._topology.with_uncertain_role():
            return SupervisionDecision(tuple(ask), plan, PROBLEM_INTERVAL_SECONDS)
        return SupervisionDecision(tuple(ask), plan, IDLE_INTERVAL_SECONDS)

    def ended(self, now: float, outcome: FailoverOutcome) -> None:
        """Note how a change of primary that this proxy tried has ended."""
        failed = outcome in (FailoverOutcome.NOT_SAFE, FailoverOutcome.LOCK_LOST)
        self._failures = self._failures + 1 if failed else 0
        pause = _PAUSE_AFTER[outcome] * 2 ** min(self._failures, _MOST_DOUBLINGS)
        self._paused_until = now + pause
        self._start_at = None

    def _instances_to_ask(self, now: float, suspects: list[str]) -> list[str]:
        views = self._topology.instances
        wanted = set(self._topology.with_uncertain_role()) | set(suspects)
        wanted |= {name for name, view in views.items() if view.unreachable_since is not None}
        wanted |= set(self._topology.fenced_above(self._topology.newest_led_term))
        due = []
        for name in sorted(wanted):
            if now - self._asked_at.get(name, float("-inf")) >= self._ask_interval(now, name):
                self._asked_at[name] = now
                due.append(name)
        return due

    def _ask_interval(self, now: float, name: str) -> float:
        """Return the seconds between two queries; longer if the instance has long been silent."""
        view = self._topology.instances.get(name)
        if view is None or view.unreachable_since is None:
            return STATUS_RETRY_SECONDS
        silent = now - view.unreachable_since
        return min(max(STATUS_RETRY_SECONDS, silent / 2), LONGEST_STATUS_RETRY_SECONDS)

    def _plan_after_jitter(
        self, now: float, reason: FailoverReason, random_fraction: float, members_known: bool
    ) -> FailoverPlan | None:
        if self._start_at is None:
            self._start_at = now + random_fraction * JITTER_SECONDS
        if now < self._start_at:
            return None
        self._start_at = None
        return self.plan(now, reason, members_known)

    def plan(self, now: float, reason: FailoverReason, members_known: bool) -> FailoverPlan:
        """Return the plan for a change of primary, from what is known now."""
        views = self._topology.instances
        replacements = self._topology.confirming.replacements()
        leader = self._reasons.last_known_primary()
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
            near_old_primary=self._topology.in_region_of(leader),
        )
