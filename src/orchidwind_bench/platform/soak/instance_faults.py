"""Faults of the soak's instances: crash, pause, silence, deafness, cuts, releases and joins.

Each fault takes the number of a part, which selects a group and one of its instances, and returns a
function that undoes the fault, or None. An instance fails only if enough others of its group are
undisturbed. A deaf instance receives nothing from its peers; a silent one answers nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from orchidwind_bench.platform.soak.instance_state import SoakInstance
from orchidwind_bench.platform.soak.instances import InstanceGroup
from orchidwind_bench.platform.soak.planned_fault import PART_STEP, Undo
from orchidwind_bench.platform.soak.system import SoakSystem

# Releases let a group grow to this size; from then on, instances leave without a replacement. It
# is one more than the default initial number of instances.
_MAX_INSTANCES = 4


class InstanceFaults:
    """Makes instances fail, leave and join."""

    def __init__(self, system: SoakSystem, min_undisturbed: int) -> None:
        """An instance fails only if `min_undisturbed` others of its group are undisturbed."""
        self._system = system
        self._least_undisturbed = min_undisturbed

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

    def _if_disturbable(self, part: int, instance: SoakInstance | None) -> SoakInstance | None:
        """The instance if it may be disturbed now, with enough others undisturbed; else None."""
        others = [item for item in self._group(part).undisturbed() if item is not instance]
        if instance is None or len(others) < self._least_undisturbed:
            return None
        usable = instance.alive and not (instance.paused or instance.silent or instance.draining)
        return instance if usable else None

    def _crash(self, part: int, chosen: SoakInstance | None) -> Undo:
        instance, group = self._if_disturbable(part, chosen), self._group(part)
        if instance is None:
            return None
        group.crash(instance)
        return lambda: group.restart(instance)

    def crash_primary(self, part: int) -> Undo:
        """Kill the primary; it restarts with its log."""
        return self._crash(part, self._primary(part))

    def crash_replica(self, part: int) -> Undo:
        """Kill a replica; it restarts with its log and without its fence."""
        return self._crash(part, self._replica(part))

    def crash_some_instance(self, part: int) -> Undo:
        """Kill any instance; it restarts with its log."""
        return self._crash(part, self._some_instance(part))

    def _pause(self, part: int, chosen: SoakInstance | None) -> Undo:
        instance, group = self._if_disturbable(part, chosen), self._group(part)
        if instance is None:
            return None
        group.pause(instance)
        return lambda: group.resume(instance)

    def pause_primary(self, part: int) -> Undo:
        """Pause the primary, and resume it later."""
        return self._pause(part, self._primary(part))

    def pause_some_instance(self, part: int) -> Undo:
        """Pause any instance, and resume it later."""
        return self._pause(part, self._some_instance(part))

    def return_instances(self, part: int) -> Undo:
        """Resume or restart all instances of a group that are paused or down."""
        group = self._group(part)
        for instance in group.present():
            group.resume(instance)
            group.restart(instance)
        return None

    def silence_instance(self, part: int) -> Undo:
        """Let an instance accept statements and answer none."""
        instance, group = self._if_disturbable(part, self._some_instance(part)), self._group(part)
        if instance is None:
            return None
        group.set_silent(instance, True)
        return lambda: group.set_silent(instance, False)

    def deafen_replica(self, part: int) -> Undo:
        """Let a replica receive nothing from its peers for a while."""
        instance, group = self._replica(part), self._group(part)
        if instance is None or instance.deaf:
            return None
        group.set_deaf(instance, True)
        return lambda: group.set_deaf(instance, False)

    def end_deafness(self, part: int) -> Undo:
        """Let all instances of a group receive from their peers again."""
        group = self._group(part)
        for instance in group.present():
            if instance.deaf:
                group.set_deaf(instance, False)
        return None

    def cut_replication(self, part: int) -> Undo:
        """Cut the replication between the primary and one replica."""
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
        """Cut an instance from the store: its entry is not updated, and expires later."""
        instance, group = self._some_instance(part), self._group(part)
        if instance is None or instance.cut_from_store:
            return None
        group.set_cut_from_store(instance, True)
        return lambda: group.set_cut_from_store(instance, False)

    def _release_instance(self, part: int, instance: SoakInstance | None) -> Undo:
        group = self._group(part)
        if instance is None or instance.draining or not instance.alive:
            return None
        if any(item.draining for item in group.present()):
            return None
        if len(group.present()) >= _MAX_INSTANCES:
            group.spawn(group.leave(instance))
            return None
        # Every other release hands the log to a successor, and so leaves one more instance.
        group.spawn(group.release(instance, hand_over_log=part // PART_STEP % 2 == 0))
        return None

    def release_primary(self, part: int) -> Undo:
        """Let a new instance join, then drain and end the primary."""
        return self._release_instance(part, self._primary(part))

    def release_replica(self, part: int) -> Undo:
        """Let a new instance join, then drain and end a replica."""
        return self._release_instance(part, self._replica(part))

    def join(self, part: int) -> Undo:
        """Let a new instance join; in a large group, an instance that is not the primary leaves."""
        group = self._group(part)
        present = group.present()
        if len(present) >= _MAX_INSTANCES:
            primary = group.primary()
            leaving = [item for item in present if not item.draining and item is not primary]
            if leaving and not any(item.draining for item in present):
                group.spawn(group.leave(leaving[-1]))
        if len(present) <= _MAX_INSTANCES:
            group.spawn(group.join())
        return None


def _choose(instances: list[SoakInstance], part: int) -> SoakInstance | None:
    """Select an instance by a fault's part; parts of one group differ by `PART_STEP`."""
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
