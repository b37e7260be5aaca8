"""When a proxy of the model tells its caller that a commit is done: the product's rule, replayed.

The product's own guard waits by asyncio, so it is written here again as a process; each part of it
can be left out, to see what it is for.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.failover_choice import holds
from orchidwind.promoted.core.roster import PromotionRecord
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.group.commit_guard import ASK_AGAIN_SECONDS
from orchidwind.shared.core.positions import Position
from orchidwind_bench.promoted.exploration.instances import Commit
from orchidwind_bench.promoted.exploration.timeline import Process


class AcknowledgingProxy(Protocol):
    """What a rule needs of the proxy."""

    def now(self) -> float:
        """The proxy's steady clock, in seconds."""

    def lead_proven(self, instance: str) -> bool:
        """Whether the lead lease covers this moment and the lead was proven under it."""

    def free_revision(self) -> int | None:
        """The promotion lock's revision while it is known to be free."""

    def proven_under(self, instance: str, revision: int | None) -> None:
        """An instance was proven to lead by a query sent while the lock stood at a revision."""

    @property
    def topology(self) -> GroupTopology:
        """What the proxy knows of the group."""

    def covered_now(self) -> bool:
        """Whether nobody can change a primary at this moment, whoever leads."""

    def listed(self) -> tuple[str, ...]:
        """The instances that the directory lists, as this proxy knows."""

    def stays(self, instance: str) -> bool:
        """Whether an instance is not about to leave, as the directory says."""

    def led_term(self) -> int:
        """The newest term in which an instance is known to lead."""

    def last_promotion(self) -> PromotionRecord | None:
        """The last promotion, as far as this proxy knows the roster."""

    def ask_other_listed(self) -> Process[dict[str, InstanceStatus]]:
        """The statuses of all listed instances but the primary; others share the query."""


AcknowledgementRule = Callable[[AcknowledgingProxy, str, Commit, float], Process[bool]]


def at_once(
    proxy: AcknowledgingProxy, primary: str, commit: Commit, give_up: float
) -> Process[bool]:
    """A commit that the primary confirms is told."""
    return True
    yield 0.0


@dataclass(frozen=True, slots=True)
class GuardedCommits:
    """A commit is told under a proven lead, when a listed replica holds it, or by the successor.

    `give_up` of a call is when the caller's time is over, in seconds of the steady clock.
    `asks_fences`: no replica that answers may be fenced or know of a later term. `asks_holder`: a
    listed replica has to hold the commit. `asks_lead`: the lead has to be proven under the lease.
    """

    asks_fences: bool = True
    asks_holder: bool = True
    asks_lead: bool = True

    def __call__(
        self, proxy: AcknowledgingProxy, primary: str, commit: Commit, give_up: float
    ) -> Process[bool]:
        """Whether the commit may be told; returns once that is known."""
        position = Position(commit.term, commit.number)
        while proxy.now() < give_up:
            if self._leased(proxy, primary):
                return True
            outcome = _acknowledged_under_successor(proxy, position)
            if outcome is not None:
                return outcome
            revision = proxy.free_revision()
            told = yield from proxy.ask_other_listed()
            if self._held(proxy, primary, told, position):
                proxy.proven_under(primary, revision)
                return True
            yield ASK_AGAIN_SECONDS
        return False

    def _leased(self, proxy: AcknowledgingProxy, primary: str) -> bool:
        if self.asks_lead:
            return proxy.lead_proven(primary)
        return proxy.free_revision() is not None

    def _held(
        self,
        proxy: AcknowledgingProxy,
        primary: str,
        told: dict[str, InstanceStatus],
        position: Position,
    ) -> bool:
        if self.asks_fences and any(item.newest_term > position.term for item in told.values()):
            return False
        if self.asks_fences and not proxy.covered_now() and _some_unseen(proxy, primary, told):
            return False
        if proxy.topology.superseded(primary, position.term):
            return False
        holding = [
            item
            for item in told.values()
            if item.role is InstanceRole.REPLICA
            and item.instance != primary
            and holds(item.received, position)
            and proxy.stays(item.instance)
        ]
        return bool(holding) or not self.asks_holder


def _some_unseen(proxy: AcknowledgingProxy, primary: str, told: dict[str, InstanceStatus]) -> bool:
    last = proxy.last_promotion()
    replaced = last.replaced if last is not None else ""
    return bool(set(proxy.listed()) - told.keys() - {primary, replaced})


def _acknowledged_under_successor(proxy: AcknowledgingProxy, position: Position) -> bool | None:
    """Whether the next primary's log began with a commit in it; None while not known."""
    last = proxy.last_promotion()
    if last is None or last.term <= position.term:
        return None
    if last.start.term > position.term:
        return None
    if proxy.topology.primary_term(last.instance) < last.term:
        return None
    return holds(last.start, position)
