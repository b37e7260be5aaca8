"""When a proxy asks instances for their status, and when it tries to change a primary. No I/O.

The rule. An instance is asked while its role is uncertain, a connection to it broke or owes an
answer, it is unreachable, or it is fenced above the newest term: at once, then each
`STATUS_RETRY_SECONDS`, and less and less often the longer it has been silent. A change of primary
is tried while there is a reason (`change_reasons`), after a random part of `JITTER_SECONDS`, and
again after a pause that depends on how the last one ended and doubles while they fail.

Owns: when each instance was asked, and until when no change is tried. Relies on: a driver that asks
as decided, makes one change at a time, and reports its end. Times are in seconds of the steady
clock.
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

# Seconds between two status queries of one instance. Each query has its price, and a change
# of primary takes about a second.
STATUS_RETRY_SECONDS = 0.15
# The longest interval of one that stays silent. By then others have long taken its work.
LONGEST_STATUS_RETRY_SECONDS = 1.0
# Proxies that see the same loss do not all reach for the promotion lock at once.
JITTER_SECONDS = 0.06
# Seconds to the next decision at the latest. The first where nothing is wrong, the second
# while something is; a part of the times that it watches for (`change_reasons`).
CALM_INTERVAL_SECONDS = 0.5
TROUBLED_INTERVAL_SECONDS = 0.03
# Seconds before the next try, by how the last one ended; after a failure (NOT_SAFE, LOCK_LOST) they
# are doubled at once, to 0.5 or 0.6 s, then to 1.0 or 1.2 s. Longer than the news of its
# end take, and much shorter than a change.
_PAUSE_AFTER: dict[FailoverOutcome, float] = {
    FailoverOutcome.DONE: 0.2,
    FailoverOutcome.NOT_NEEDED: 0.3,
    FailoverOutcome.LOCK_HELD: 0.2,
    FailoverOutcome.LOCK_LOST: 0.3,
    FailoverOutcome.NOT_SAFE: 0.25,
}
# How often the pause doubles while tries fail. A change that cannot be made now is looked
# into about once a second.
_MOST_DOUBLINGS = 2

assert STATUS_RETRY_SECONDS < LONGEST_STATUS_RETRY_SECONDS
assert TROUBLED_INTERVAL_SECONDS < JITTER_SECONDS < CALM_INTERVAL_SECONDS


class SupervisionDecision(Struct, frozen=True):
    """What to do now: whose status to ask for, and by which plan to change the primary, if at all.

    `again_after`: seconds to the next decision at the latest.
    """

    ask: tuple[str, ...]
    plan: FailoverPlan | None
    again_after: float


class GroupSupervisor:
    """Decides for one group."""

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
        """What to do now.

        `suspects` may have gone; `oldest_write` is how long a write has waited for the primary.
        `random_fraction`, 0 to 1, spreads the proxies. `members_known` says that no instance can
        have left unknown to this proxy.
        """
        ask = self._to_ask(now, suspects)
        reason = self._reasons.reason(now, oldest_write)
        plan = None
        if reason is None:
            self._start_at = None
        elif now >= self._paused_until:
            plan = self._plan_when_due(now, reason, random_fraction, members_known)
        troubled = bool(suspects) or reason is not None or self._reasons.no_primary
        if troubled or self._topology.of_uncertain_role():
            return SupervisionDecision(tuple(ask), plan, TROUBLED_INTERVAL_SECONDS)
        return SupervisionDecision(tuple(ask), plan, CALM_INTERVAL_SECONDS)

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
            return STATUS_RETRY_SECONDS
        silent = now - view.unreachable_since
        return min(max(STATUS_RETRY_SECONDS, silent / 2), LONGEST_STATUS_RETRY_SECONDS)

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
        leader = self._reasons.known_leader()
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
