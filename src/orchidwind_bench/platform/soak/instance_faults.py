"""Faults of the soak's instances: crashed, paused, silent, deaf, cut off, released and joined.

Each takes the number of a part, which says the group and one of several instances, and returns what
undoes it. An instance fails only where enough others of its group are undisturbed.
"""

from __future__ import annotations

from collections.abc import Callable

from orchidwind_bench.platform.soak.instance_state import SoakInstance
from orchidwind_bench.platform.soak.instances import InstanceGroup
from orchidwind_bench.platform.soak.planned_fault import PART_STEP, Undo
from orchidwind_bench.platform.soak.system import SoakSystem

# A group grows by releases up to this size; then instances leave without a successor. Chosen: one
# more than a run starts with unless it is given another number.
_MOST_INSTANCES = 4


class InstanceFaults:
    """Makes instances fail, leave and join."""

    def __init__(self, system: SoakSystem, least_undisturbed: int) -> None:
        """No instance is made to fail where fewer others of its group would be undisturbed."""
        self._system = system
        self._least_undisturbed = least_undisturbed

    def _group(self, part: int) -> InstanceGroup:
        groups = list(self._system.groups.values())
        return groups[part % len(groups)]

    def _primary(self, part: int) -> SoakInstance | None:
        return self._group(part).primary()

    def _replica(self, part: int) -> SoakInstance | None:
        group = self._group(part)
        primary = group.primary()
        return _choose([item for item in group.undisturbed() if item is not primary], part)

    def _some_instance(self, part: int) -> SoakInstance | None:
        return _choose(self._group(part).undisturbed(), part)

    def _may_fall(self, part: int, instance: SoakInstance | None) -> SoakInstance | None:
        """An instance that may be disturbed now: enough others stay."""
        others = [item for item in self._group(part).undisturbed() if item is not instance]
        if instance is None or len(others) < self._least_undisturbed:
            return None
        usable = instance.alive and not (instance.paused or instance.silent or instance.draining)
        return instance if usable else None

    def _crash(self, part: int, chosen: SoakInstance | None) -> Undo:
        instance, group = self._may_fall(part, chosen), self._group(part)
        if instance is None:
            return None
        group.crash(instance)
        return lambda: group.restart(instance)

    def crash_primary(self, part: int) -> Undo:
        """The primary is killed; it returns with its log."""
        return self._crash(part, self._primary(part))

    def crash_replica(self, part: int) -> Undo:
        """A replica is killed; it returns with its log and without its fence."""
        return self._crash(part, self._replica(part))

    def crash_some_instance(self, part: int) -> Undo:
        """Any instance is killed."""
        return self._crash(part, self._some_instance(part))

    def _pause(self, part: int, chosen: SoakInstance | None) -> Undo:
        instance, group = self._may_fall(part, chosen), self._group(part)
        if instance is None:
            return None
        group.pause(instance)
        return lambda: group.resume(instance)

    def pause_primary(self, part: int) -> Undo:
        """The primary is stopped and runs again later."""
        return self._pause(part, self._primary(part))

    def pause_some_instance(self, part: int) -> Undo:
        """Any instance is stopped and runs again later."""
        return self._pause(part, self._some_instance(part))

    def return_instances(self, part: int) -> Undo:
        """All instances of a group that are stopped or down return now."""
        group = self._group(part)
        for instance in group.present():
            group.resume(instance)
            group.restart(instance)
        return None

    def silence_instance(self, part: int) -> Undo:
        """An instance takes what is sent and answers nothing."""
        instance, group = self._may_fall(part, self._some_instance(part)), self._group(part)
        if instance is None:
            return None
        group.set_silent(instance, True)
        return lambda: group.set_silent(instance, False)

    def deafen_replica(self, part: int) -> Undo:
        """A replica receives nothing for a while."""
        instance, group = self._replica(part), self._group(part)
        if instance is None or instance.deaf:
            return None
        group.set_deaf(instance, True)
        return lambda: group.set_deaf(instance, False)

    def end_deafness(self, part: int) -> Undo:
        """All instances of a group receive again."""
        group = self._group(part)
        for instance in group.present():
            if instance.deaf:
                group.set_deaf(instance, False)
        return None

    def cut_replication(self, part: int) -> Undo:
        """The primary and one replica are cut from one another."""
        primary, replica, group = self._primary(part), self._replica(part), self._group(part)
        if primary is None or replica is None or replica.name in primary.cut:
            return None
        group.set_cut(primary, replica, True)
        return lambda: group.set_cut(primary, replica, False)

    def cut_primary_from_replicas(self, part: int) -> Undo:
        """The primary reaches no replica, and is reached by all proxies."""
        primary, group = self._primary(part), self._group(part)
        if primary is None or primary.cut:
            return None
        others = [item for item in group.present() if item is not primary]
        for item in others:
            group.set_cut(primary, item, True)

        def join() -> None:
            for item in others:
                group.set_cut(primary, item, False)

        return join

    def cut_instance_from_store(self, part: int) -> Undo:
        """An instance's entry stays as it is, and goes at last."""
        instance, group = self._some_instance(part), self._group(part)
        if instance is None or instance.away:
            return None
        group.set_away(instance, True)
        return lambda: group.set_away(instance, False)

    def _release_instance(self, part: int, instance: SoakInstance | None) -> Undo:
        group = self._group(part)
        if instance is None or instance.draining or not instance.alive:
            return None
        if any(item.draining for item in group.present()):
            return None
        if len(group.present()) >= _MOST_INSTANCES:
            group.spawn(group.leave(instance))
            return None
        # Every other release passes the log on, and so leaves one instance more.
        group.spawn(group.release(instance, passes_on=part // PART_STEP % 2 == 0))
        return None

    def release_primary(self, part: int) -> Undo:
        """A new instance joins, then the primary drains and ends."""
        return self._release_instance(part, self._primary(part))

    def release_replica(self, part: int) -> Undo:
        """A new instance joins, then a replica drains and ends."""
        return self._release_instance(part, self._replica(part))

    def join(self, part: int) -> Undo:
        """A new instance joins; where the group is large, one that joined before leaves."""
        group = self._group(part)
        present = group.present()
        if len(present) >= _MOST_INSTANCES:
            primary = group.primary()
            leaving = [item for item in present if not item.draining and item is not primary]
            if leaving and not any(item.draining for item in present):
                group.spawn(group.leave(leaving[-1]))
        if len(present) <= _MOST_INSTANCES:
            group.spawn(group.join())
        return None


def _choose(instances: list[SoakInstance], part: int) -> SoakInstance | None:
    """One of them by a fault's part; parts of one group differ by `PART_STEP`."""
    return instances[part // PART_STEP % len(instances)] if instances else None


INSTANCE_FAULTS: dict[str, Callable[[InstanceFaults, int], Undo]] = {
    "crash_primary": InstanceFaults.crash_primary,
    "crash_replica": InstanceFaults.crash_replica,
    "crash_some_instance": InstanceFaults.crash_some_instance,
    "cut_instance_from_store": InstanceFaults.cut_instance_from_store,
    "cut_primary_from_replicas": InstanceFaults.cut_primary_from_replicas,
    "cut_replication": InstanceFaults.cut_replication,
    "deafen_replica": InstanceFaults.deafen_replica,
    "end_deafness": InstanceFaults.end_deafness,
    "join": InstanceFaults.join,
    "pause_primary": InstanceFaults.pause_primary,
    "pause_some_instance": InstanceFaults.pause_some_instance,
    "release_primary": InstanceFaults.release_primary,
    "release_replica": InstanceFaults.release_replica,
    "return_instances": InstanceFaults.return_instances,
    "silence_instance": InstanceFaults.silence_instance,
}
