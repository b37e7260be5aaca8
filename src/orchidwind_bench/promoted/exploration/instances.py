"""The instances of the model: logs, terms, fences, synchronous replication, promotions.

A crash loses the fence and keeps the log. A commit is confirmed once one replica has received it.
A promoted instance leads with what it has received; replicas that were ahead roll back when they
first hear of it, and then take the rest in parts. A replaced primary goes on until it is demoted,
or until a while after it reaches its successor.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.shared.core.positions import Position
from orchidwind_bench.promoted.exploration.choices import Choices
from orchidwind_bench.promoted.exploration.network import WAY_SECONDS, ModelNetwork
from orchidwind_bench.promoted.exploration.timeline import Timeline

# How often a primary sends its log again to those that lack something, in seconds.
CATCH_UP_SECONDS = 0.05
# How many commits a replica takes in one part, where it takes its log in parts.
PART_COMMITS = 3
# How long a replaced primary goes on after it has reached its successor, in seconds.
STEP_DOWN_SECONDS = 1.0
# A replica that was rolled back answers nobody for this long, in seconds.
ROLL_BACK_SECONDS = 0.1


@unique
class PositionTerm(Enum):
    """Which term an instance tells with the end of its log."""

    LAST_ENTRY = "last entry"
    FOLLOWED = "term that is followed"


@dataclass(frozen=True, slots=True)
class Commit:
    """An entry of a log."""

    term: int
    number: int
    name: str


class DirectoryListener(Protocol):
    """Where instances write their entries."""

    def tell(self, instance: ModelInstance) -> None:
        """An instance writes what it is."""


class ModelInstance:
    """One instance."""

    def __init__(self, name: str, role: InstanceRole, port: int) -> None:
        """`port` stands for the instance's address."""
        self.name = name
        self.port = port
        self.role = role
        self.alive = True
        self.joined = True
        self.draining = False
        self.term = 1
        self.fence_term = 0
        self.log: list[Commit] = []
        # What this primary's replicas have received, up to which number.
        self.confirmed = 0
        self.on_confirmed: dict[int, Callable[[Commit], None]] = {}
        self.lag_seconds = WAY_SECONDS
        self.lag_until = 0.0
        self.busy_until = 0.0
        self.in_parts = False
        self.steps_down = False

    @property
    def runs(self) -> bool:
        """Whether the instance is there."""
        return self.alive and self.joined

    def status(self, kind: PositionTerm) -> InstanceStatus:
        """What the instance tells of itself."""
        term = self.term if kind is PositionTerm.FOLLOWED or not self.log else self.log[-1].term
        received = Position(term, len(self.log))
        return InstanceStatus(self.name, self.role, self.term, received, self.fence_term, 0)

    def fence(self, term: int) -> None:
        """Receive nothing of primaries below a term; one that knows a later term refuses."""
        if self.role is InstanceRole.REPLICA and term > max(self.term, self.fence_term):
            self.fence_term = term

    def unfence(self) -> None:
        """Receive again."""
        self.fence_term = 0

    def demote(self, term: int) -> None:
        """Turn from a primary of a lower term into a replica."""
        if self.role is InstanceRole.PRIMARY and self.term < term:
            self.become_replica()

    def become_replica(self) -> None:
        """Lead no longer: what is not confirmed stays so."""
        self.role = InstanceRole.REPLICA
        self.on_confirmed.clear()

    def crash(self) -> None:
        """Stop at once."""
        self.alive = False
        self.fence_term = 0
        self.on_confirmed.clear()


class ModelGroup:
    """The instances, and the platform's promotion of one of them."""

    def __init__(
        self,
        timeline: Timeline,
        network: ModelNetwork,
        choices: Choices,
        directory: DirectoryListener,
        names: tuple[str, ...],
        joining: tuple[str, ...],
        positions: PositionTerm,
    ) -> None:
        """`joining` are not there yet; `positions` is how all instances tell their log's end."""
        self._timeline = timeline
        self._network = network
        self._choices = choices
        self._directory = directory
        self.positions = positions
        self.instances: dict[str, ModelInstance] = {}
        for port, name in enumerate((*names, *joining), start=1):
            role = InstanceRole.PRIMARY if name == names[0] else InstanceRole.REPLICA
            self.instances[name] = ModelInstance(name, role, port)
        for name in joining:
            self.instances[name].joined = False
        self.leader = self.instances[names[0]]
        self.newest_term = 1
        self.on_lead: list[Callable[[ModelInstance, ModelInstance], None]] = []
        timeline.after(CATCH_UP_SECONDS, self._catch_up)

    # --- commits ------------------------------------------------------------------------------

    def commit(
        self, instance: ModelInstance, name: str, on_confirmed: Callable[[Commit], None]
    ) -> Commit | None:
        """Append a commit at a primary; None where the instance does not lead."""
        if instance.role is not InstanceRole.PRIMARY:
            return None
        commit = Commit(instance.term, len(instance.log) + 1, name)
        instance.log.append(commit)
        instance.on_confirmed[commit.number] = on_confirmed
        self._ship_to_all(instance)
        return commit

    def _ship_to_all(self, leader: ModelInstance) -> None:
        for replica in self.instances.values():
            if replica is not leader and replica.runs:
                self._ship(leader, replica)

    def _ship(self, leader: ModelInstance, replica: ModelInstance) -> None:
        term, length = leader.term, len(leader.log)
        lagging = replica.lag_until > self._timeline.now
        way = replica.lag_seconds if lagging else WAY_SECONDS
        self._timeline.after(way, lambda: self._arrive(leader, replica, term, length))

    def _arrive(
        self, leader: ModelInstance, replica: ModelInstance, term: int, length: int
    ) -> None:
        if not leader.runs or leader.term != term or leader.role is not InstanceRole.PRIMARY:
            return
        if not self._network.passes(leader.name, replica.name):
            return
        if not self._receive(replica, leader, length):
            return
        received = len(replica.log)
        self._timeline.after(WAY_SECONDS, lambda: self._confirm(leader, replica, term, received))

    def _receive(self, replica: ModelInstance, leader: ModelInstance, length: int) -> bool:
        """Take the log of a primary; whether it was taken."""
        if not replica.runs or replica.role is InstanceRole.PRIMARY:
            return False
        if leader.term < replica.term or leader.term < replica.fence_term:
            return False
        if leader.term > replica.term:
            self._follow(replica, leader)
        held = len(replica.log)
        if length <= held:
            return True
        if replica.in_parts:
            length = min(length, held + PART_COMMITS)
        replica.log.extend(leader.log[held:length])
        return True

    def _follow(self, replica: ModelInstance, leader: ModelInstance) -> None:
        """Follow a new primary: what it lacks is rolled back."""
        replica.term = leader.term
        replica.fence_term = 0
        common = 0
        for own, other in zip(replica.log, leader.log, strict=False):
            if own != other:
                break
            common += 1
        if common < len(replica.log):
            replica.busy_until = self._timeline.now + ROLL_BACK_SECONDS
        del replica.log[common:]

    def _confirm(
        self, leader: ModelInstance, replica: ModelInstance, term: int, received: int
    ) -> None:
        if not leader.runs or leader.term != term or leader.role is not InstanceRole.PRIMARY:
            return
        if not self._network.passes(leader.name, replica.name):
            return
        for number in [number for number in leader.on_confirmed if number <= received]:
            leader.on_confirmed.pop(number)(leader.log[number - 1])

    def _catch_up(self) -> None:
        for leader in self.instances.values():
            if leader.runs and leader.role is InstanceRole.PRIMARY:
                self._ship_to_all(leader)
                self._hear_of_successor(leader)
        self._timeline.after(CATCH_UP_SECONDS, self._catch_up)

    def _hear_of_successor(self, leader: ModelInstance) -> None:
        successor = self.leader
        if leader.term >= successor.term or leader.steps_down or not successor.runs:
            return
        if not self._network.passes(leader.name, successor.name):
            return
        leader.steps_down = True
        self._timeline.after(STEP_DOWN_SECONDS, lambda: self._step_down(leader))

    def _step_down(self, leader: ModelInstance) -> None:
        leader.steps_down = False
        if leader.role is InstanceRole.PRIMARY and leader.term < self.leader.term:
            leader.become_replica()
            self._directory.tell(leader)

    # --- life of an instance ------------------------------------------------------------------

    def crash(self, instance: ModelInstance) -> None:
        """An instance stops at once."""
        instance.crash()

    def come_back(self, instance: ModelInstance) -> None:
        """A crashed instance runs again, with its log."""
        if instance.alive:
            return
        instance.alive = True
        if instance is not self.leader:
            instance.role = InstanceRole.REPLICA
        self._directory.tell(instance)

    def join(self, instance: ModelInstance) -> None:
        """An instance begins, with no log; its entry follows."""
        instance.joined = True
        instance.term = 1

    def succeed(self, left: ModelInstance) -> ModelInstance:
        """A new instance, a replica, begins at the address and with the log of one that left."""
        successor = ModelInstance(f"{left.name}-successor", InstanceRole.REPLICA, left.port)
        successor.term = left.term
        successor.log = list(left.log)
        self.instances[successor.name] = successor
        return successor

    # --- promotion ----------------------------------------------------------------------------

    def promote(self, name: str, effect_seconds: float) -> bool:
        """Have an instance lead the next term after a while; False where it does not run."""
        instance = self.instances[name]
        if not instance.runs:
            return False
        self._timeline.after(effect_seconds, lambda: self._lead(instance))
        return True

    def _lead(self, instance: ModelInstance) -> None:
        if not instance.runs:
            return
        if instance is self.leader and instance.role is InstanceRole.PRIMARY:
            return
        replaced, self.leader = self.leader, instance
        self.newest_term = max(self.newest_term, instance.term) + 1
        instance.term = self.newest_term
        instance.role = InstanceRole.PRIMARY
        instance.fence_term = 0
        instance.steps_down = False
        instance.on_confirmed.clear()
        for listener in self.on_lead:
            listener(instance, replaced)
        self._directory.tell(instance)
        self._ship_to_all(instance)
