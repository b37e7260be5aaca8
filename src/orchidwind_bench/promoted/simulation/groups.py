"""Simulated groups of instances: who belongs to them, who leads, and what is promised of it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable

from orchidwind.promoted.core.commands import InstanceRole
from orchidwind.promoted.core.configuration import DirectoryEntry, ReadConsistency
from orchidwind.promoted.core.instance_incarnations import identity_of, incarnation_name, start_of
from orchidwind_bench.promoted.simulation.instances import SimulatedInstance
from orchidwind_bench.promoted.simulation.replication import Replication
from orchidwind_bench.promoted.simulation.store import GROUP
from orchidwind_bench.promoted.simulation.world import (
    AcknowledgedCommit,
    ExpectedRequest,
    World,
)

PROMOTE_SECONDS = 0.3
SHORTEST_PROMOTE_SECONDS = 0.2
LONGEST_PROMOTE_SECONDS = 0.5
# An instance that is released ends so long after it has told that it will.
DRAIN_SECONDS = 1.0
# A new instance has the address and the log of one that ended after so long.
ADDRESS_FREE_SECONDS = 0.5
SHIP_AGAIN_SECONDS = 0.05
_PART_ENTRIES = 20
_STEP_DOWN_SECONDS = 1.0
# A started instance writes its entry after so long at most (docs/incidents, the
# one on LOST).
_LISTED_SECONDS = 0.014


class SimulatedGroup:
    """A primary and its replicas."""

    def __init__(self, world: World, zones: tuple[str, ...], seed: int = 0) -> None:
        self.world = world
        self.resets = True
        # Connections that proxies have opened so far, over all instances.
        self.connections_opened = 0
        # Otherwise a position has the term of the last entry.
        self.positions_carry_followed_term = False
        # A promotion takes effect after a time between these.
        self.promote_seconds = (PROMOTE_SECONDS, PROMOTE_SECONDS)
        self.replication = Replication(world.network, seed)
        self.instances: dict[str, SimulatedInstance] = {}
        self._random = random.Random(seed)
        for number, zone in enumerate(zones):
            self._add(InstanceRole.REPLICA if number else InstanceRole.PRIMARY, zone)
        for instance in self.instances.values():
            self.announce(instance)
        self._leader_term = 1
        self._leader = self.instances["i-0"]

    def be_unkind(self) -> None:
        """Commits travel in parts, and a promotion takes a time that nobody knows before."""
        self.replication.part_entries = _PART_ENTRIES
        self.promote_seconds = (SHORTEST_PROMOTE_SECONDS, LONGEST_PROMOTE_SECONDS)

    # --- who belongs to the group -------------------------------------------------------------

    def _add(self, role: InstanceRole, zone: str, port: int | None = None) -> SimulatedInstance:
        number = len(self.instances)
        instance = SimulatedInstance(self, f"i-{number}", role, zone, port or number + 1)
        self.instances[instance.name] = instance
        return instance

    def announce(self, instance: SimulatedInstance, draining: bool = False) -> None:
        """Write the directory's entry."""
        self.world.store.put_entry(
            DirectoryEntry(
                instance=instance.name,
                group=GROUP,
                host="simulated",
                port=instance.port,
                zone=instance.zone,
                claims_primary=instance.role is InstanceRole.PRIMARY,
                draining=draining or instance.draining,
                slots=3,
                revision=self.world.store.revision + 1,
            )
        )

    def join(self, zone: str, announced_after: float = 0.0) -> SimulatedInstance:
        """An instance starts as a replica without a log and receives from the primary at once.

        The directory lists it `announced_after` seconds later, if it runs then.
        """
        instance = self._add(InstanceRole.REPLICA, zone)
        self._start_receiving(instance, announced_after)
        return instance

    def _start_receiving(self, instance: SimulatedInstance, announced_after: float) -> None:
        asyncio.get_running_loop().call_later(announced_after, self._announce_joined, instance)
        for leader in list(self.instances.values()):
            if leader.leads:
                self.ship(leader)

    def _announce_joined(self, instance: SimulatedInstance) -> None:
        if instance.alive:
            self.announce(instance)

    def release(
        self,
        name: str,
        drain_seconds: float = DRAIN_SECONDS,
        address_free_seconds: float = ADDRESS_FREE_SECONDS,
    ) -> SimulatedInstance:
        """Replace an instance: a new one joins, then the old one drains and ends.

        Some seconds after that another new one has the address and the log of the old one.
        """
        old = self.instances[name]
        joined = self.join(old.zone)
        old.draining = True
        self.announce(old)
        loop = asyncio.get_running_loop()
        loop.call_later(drain_seconds, self._end_released, old, address_free_seconds)
        return joined

    def _end_released(self, old: SimulatedInstance, address_free_seconds: float) -> None:
        if old.ended:
            return
        old.crash()
        old.ended = True
        self.world.store.drop_entry(old.name)
        loop = asyncio.get_running_loop()
        loop.call_later(address_free_seconds, self._pass_log_on, old)

    def _pass_log_on(self, old: SimulatedInstance) -> None:
        successor = self._add(InstanceRole.REPLICA, old.zone, old.port)
        successor.term, successor.log = old.term, list(old.log)
        self._start_receiving(successor, announced_after=0.0)

    def start_anew(self, name: str, told: bool = True) -> None:
        """An instance starts again under its identity, at its address, and holds nothing.

        Its entry tells the start of the new life, and so its name; without `told` it does not.
        """
        old = self.instances[name]
        old.crash()
        if not told:
            old.log.clear()
            old.term = 1
            old.role = InstanceRole.REPLICA
            old.restart()
            return
        old.ended = True
        incarnation = incarnation_name(identity_of(name), start_of(name) + 1)
        self.instances[incarnation] = SimulatedInstance(
            self, incarnation, InstanceRole.REPLICA, old.zone, old.port
        )
        self.world.store.entries.pop(name, None)  # the same entry, with another start
        self._start_receiving(self.instances[incarnation], _LISTED_SECONDS)

    # --- replication --------------------------------------------------------------------------

    def ship(self, leader: SimulatedInstance) -> None:
        """Send the log to every replica."""
        self.replication.ship(leader, self.instances.values())

    async def keep_shipping(self) -> None:
        """Replicas that missed something catch up; a replaced primary hears of it."""
        while True:
            await asyncio.sleep(SHIP_AGAIN_SECONDS)
            for leader in list(self.instances.values()):
                if leader.leads and not leader.pause_left:
                    self.ship(leader)
            self._let_old_primaries_hear()

    # --- who leads ----------------------------------------------------------------------------

    def primary(self) -> SimulatedInstance:
        """The instance that led last; it may have been demoted since."""
        return self._leader

    def _let_old_primaries_hear(self) -> None:
        newest = self.primary()
        for item in self.instances.values():
            if item.leads and item.term < newest.term and newest.leads:
                network = self.world.network
                if network.passes(item.name, newest.name):
                    loop = asyncio.get_running_loop()
                    loop.call_later(_STEP_DOWN_SECONDS, self._step_down_if_stale, item)

    def _step_down_if_stale(self, item: SimulatedInstance) -> None:
        if item.pause_left:
            loop = asyncio.get_running_loop()
            loop.call_later(item.pause_left, self._step_down_if_stale, item)
        elif item.role is InstanceRole.PRIMARY and item.term < self.primary().term:
            item.step_down(item.term)

    def silence(self, names: Iterable[str], deaf: bool = False) -> None:
        """All open connections to instances fall silent for good; new ones work.

        With `deaf` what the proxies send still arrives, and only the answers do not.
        """
        for name in names:
            for link in self.instances[name].links:
                link.silent = not deaf
                link.deaf = deaf

    def promote(self, instance: str) -> bool:
        """Make an instance the primary of the next term after a while."""
        chosen = self.instances[instance]
        if not chosen.alive:
            return False
        shortest, longest = self.promote_seconds
        seconds = self._random.uniform(shortest, longest)
        asyncio.get_running_loop().call_later(seconds, self._lead, chosen)
        return True

    def _lead(self, chosen: SimulatedInstance) -> None:
        if chosen.pause_left:
            asyncio.get_running_loop().call_later(chosen.pause_left, self._lead, chosen)
            return
        still_leads = chosen is self._leader and chosen.role is InstanceRole.PRIMARY
        if not chosen.alive or still_leads:
            return
        history = self.world.history
        held = {entry.request_id for entry in chosen.log}
        history.roll_back(self.world.now, chosen.name, held)
        self._leader_term = max(self._leader_term, chosen.term) + 1
        chosen.term = self._leader_term
        self._leader = chosen
        chosen.role = InstanceRole.PRIMARY
        chosen.fence_term = 0
        history.promotions.append((self.world.now, chosen.name, chosen.term))
        self.announce(chosen)
        self.ship(chosen)

    def check_read(self, instance: SimulatedInstance, request_id: str, began: float) -> None:
        """Note whether a read sees what it must see, in case its answer reaches the caller."""
        expected = self.world.history.expected.get(request_id)
        if expected is None:
            self.world.history.blame(self.world.now, f"UNASKED: {request_id}")
            return
        held = {entry.request_id for entry in instance.log}
        rolled_back = self.world.history.rolled_back
        for commit in self.world.history.acknowledged:
            due = _must_be_seen(commit, expected, began)
            if due and commit.request_id not in held and commit.request_id not in rolled_back:
                self.world.history.stale[request_id] = (
                    f"STALE: {request_id} ({expected.consistency.value}) on {instance.name} "
                    f"at {instance.position} lacks {commit}"
                )
                return
        self.world.history.stale.pop(request_id, None)


def _must_be_seen(commit: AcknowledgedCommit, expected: ExpectedRequest, began: float) -> bool:
    if expected.consistency is ReadConsistency.LATEST:
        return commit.at < min(expected.arrived_at, began)
    if commit.at < expected.arrived_at - expected.staleness:
        return True
    own = expected.consistency is ReadConsistency.SESSION
    return own and commit.request_id in expected.session_commits
