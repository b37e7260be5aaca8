"""Holds a commit's answer back while a change of primary may leave the commit out.

An instance answers a commit as done once a replica has received it. Whether a change of primary
counts that replica is not known to the instance: it may have joined a moment ago, or have lost its
fence in a restart. So a proxy tells its caller only what no change can leave out:

- the lead lease covers this moment: whoever changes a primary waits for its end, and reads
  afterwards who may have confirmed; or
- a replica that the directory lists, and that is not about to leave, holds the commit, and all
  listed ones answer that they are neither fenced nor know of a later term (under the lead lease
  those that answer): whoever fences them afterwards finds the commit there; or
- the change is over, and the new primary's log began with the commit in it.

None of them holds where the roster names a promotion to a later term that may have taken effect
out of this proxy's sight.

With the guard removed ten scripted days of `tests/promoted/test_lost_commits.py` and of
`tests/promoted/test_untold_commits.py` break promises, 4 to 250 times each (one play of each).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.failover_choice import holds
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind.promoted.group.lead_prover import AskStatus, LeadProver
from orchidwind.promoted.group.shared_query import SharedQuery
from orchidwind.shared.core.positions import Position

# A replica receives within some milliseconds; asked more often it would only be kept busy.
ASK_AGAIN_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class _Asked:
    """Whose statuses are wanted, and which came."""

    wanted: frozenset[str]
    statuses: tuple[InstanceStatus, ...]


class CommitGuard:
    """Decides for one group when a commit that its instance answered as done may be told."""

    def __init__(
        self,
        topology: GroupTopology,
        prover: LeadProver,
        ask: AskStatus,
    ) -> None:
        self._topology = topology
        self._prover = prover
        self._ask = ask
        self._loop = asyncio.get_running_loop()
        self._query: SharedQuery[_Asked] = SharedQuery(self._ask_all)

    def leased(self, instance: str) -> bool:
        """Whether the lead lease covers a commit of a primary at this moment."""
        return self._prover.leased(instance, self._loop.time())

    async def may_acknowledge(
        self, instance: str, position: Position, on_unproven: Callable[[], None]
    ) -> bool:
        """Wait until a commit up to a position may be told, False where it is left out.

        Ends when it is cancelled where neither is found. `on_unproven` is called after each attempt
        that proved nothing.
        """
        while not self.leased(instance):
            outcome = self._acknowledged_under_successor(position)
            if outcome is not None:
                return outcome
            if await self._held_by_replica(instance, position):
                return True
            on_unproven()
            await asyncio.sleep(ASK_AGAIN_SECONDS)
        return True

    def _acknowledged_under_successor(self, position: Position) -> bool | None:
        """Whether the next primary's log began with a commit in it; None while not known."""
        last = self._topology.last_promotion
        if last is None or last.term <= position.term or last.start.term > position.term:
            return None
        if self._topology.primary_term(last.instance) < last.term:
            return None  # it was written down; whether it took effect is another matter
        return holds(last.start, position)

    async def _held_by_replica(self, instance: str, position: Position) -> bool:
        lock_revision = self._prover.lock_revision
        query = self._query.join()
        await asyncio.wait({query})
        if query.cancelled():  # this proxy closes its groups
            return False
        asked = query.result()
        if any(status.newest_term > position.term for status in asked.statuses):
            return False
        if not self._prover.covered_now() and self._some_fence_unseen(instance, asked):
            return False
        holding = [
            status
            for status in asked.statuses
            if status.role is InstanceRole.REPLICA
            and status.instance != instance
            and holds(status.received, position)
            and not self._topology.instances[status.instance].entry.draining
        ]
        if len(holding) < max(self._topology.settings.synchronous_replicas, 1):
            return False
        if self._topology.superseded(instance, position.term):
            return False
        self._prover.proven_under(instance, lock_revision)
        return True

    def _some_fence_unseen(self, instance: str, asked: _Asked) -> bool:
        """Whether an instance that a change of primary may have fenced has not answered."""
        answered = {status.instance for status in asked.statuses}
        return bool(asked.wanted - answered - {instance})

    async def _ask_all(self) -> _Asked:
        """The statuses of all listed instances but the primary, if they answer.

        The primary that was replaced last is not needed: the others were fenced against it. Under
        the lead lease nobody waits for one that is known not to answer.
        """
        primary = self._topology.primary(self._loop.time())
        led = primary.instance if primary is not None else ""
        last = self._topology.last_promotion
        replaced = last.replaced if last is not None else ""
        views = {name: view for name, view in self._topology.instances.items() if view.listed}
        wanted = frozenset(views) - {led, replaced}
        silent = {name for name, view in views.items() if view.unreachable_since is not None}
        asked = views.keys() - {led} - (silent if self._prover.covered_now() else silent - wanted)
        answers = await asyncio.gather(*(self._ask(name) for name in sorted(asked)))
        return _Asked(wanted, tuple(item for item in answers if item is not None))

    def close(self) -> None:
        """Give up what is under way."""
        self._query.close()
