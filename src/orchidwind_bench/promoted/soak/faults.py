"""The soak's faults: a schedule drawn from a seed, each fault undone after a while."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from orchidwind_bench.promoted.soak.instances import InstanceGroup, SoakInstance
from orchidwind_bench.promoted.soak.system import (
    CONTACT_SECONDS,
    STORE,
    ProxyProcess,
    SoakSystem,
)

_LONGEST_GAP_SECONDS = 1.2
_SHORTEST_SECONDS = 0.3
_LONGEST_SECONDS = 4.0
# The last faults end 4 s before the end or sooner: then the bounds on the configuration hold again.
_CALM_AT_END_SECONDS = _LONGEST_SECONDS + CONTACT_SECONDS + 1.0
_MOST_CHANGES_IN_SERIES = 4
_SERIES_GAP_SECONDS = 0.05
# A group grows by releases up to this size; then instances leave without a successor.
_MOST_INSTANCES = 4
# Parts that are equal modulo this name the same group.
PART_STEP = 60
PARTS = 16 * PART_STEP


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """What happens at a time, for so many seconds, to one part of the system.

    `at` counts from the start of traffic, or, where `promotion` is not 0, from the call of the
    promotion of that number, and then the fault is played in the group that is promoted in.
    """

    at: float
    name: str
    seconds: float
    part: int
    promotion: int = 0


def draw_schedule(seed: int, seconds: float) -> list[PlannedFault]:
    """The faults of a run; none begins in its last seconds."""
    drawn = random.Random(seed)
    schedule = []
    at = 1.0
    while at < seconds - _CALM_AT_END_SECONDS:
        lasting = drawn.uniform(_SHORTEST_SECONDS, _LONGEST_SECONDS)
        schedule.append(
            PlannedFault(at, drawn.choice(sorted(FAULTS)), lasting, drawn.randrange(PARTS))
        )
        at += drawn.uniform(0.1, _LONGEST_GAP_SECONDS)
    return schedule


class FaultPlayer:
    """Carries a schedule out."""

    def __init__(self, system: SoakSystem, least_undisturbed: int = 2) -> None:
        """No instance is made to fail where fewer others of its group would be undisturbed."""
        self._system = system
        self._least_undisturbed = least_undisturbed
        self._busy: set[str] = set()
        self._promotions = 0
        self._running: list[asyncio.Task[None]] = []

    async def play(self, schedule: list[PlannedFault]) -> None:
        """Begin and end each fault at its time; those that wait for a promotion may never begin."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self._system.on_promotion = partial(self._promotion_called, schedule)
        for fault in schedule:
            if not fault.promotion:
                await asyncio.sleep(max(0.0, began + fault.at - loop.time()))
                self._running.append(loop.create_task(self._play_one(fault)))
        await asyncio.gather(*self._running)

    def _promotion_called(self, schedule: list[PlannedFault], service: str) -> None:
        self._promotions += 1
        group = list(self._system.groups).index(service)
        for fault in schedule:
            if fault.promotion == self._promotions:
                part = fault.part - fault.part % PART_STEP + group
                task = asyncio.get_running_loop().create_task(self._play_one(fault, fault.at, part))
                self._running.append(task)

    async def _play_one(
        self, fault: PlannedFault, wait: float = 0.0, part: int | None = None
    ) -> None:
        await asyncio.sleep(wait)
        undo = FAULTS[fault.name](self, fault.part if part is None else part)
        self._system.note(f"fault {fault.name}" + ("" if undo else " (at once or not at all)"))
        if undo is None:
            return
        await asyncio.sleep(fault.seconds)
        undo()
        self._system.note(f"end of fault {fault.name}")

    # --- proxies ------------------------------------------------------------------------------

    def _proxy(self, part: int) -> ProxyProcess:
        return self._system.proxies[part % len(self._system.proxies)]

    def _claim(self, name: str) -> bool:
        if name in self._busy:
            return False
        self._busy.add(name)
        self._system.disturbed(self._part(name), time.monotonic(), float("inf"))
        return True

    def _release(self, name: str) -> None:
        self._busy.discard(name)
        part = self._part(name)
        if not any(self._part(other) == part for other in self._busy):
            self._system.settled(part)

    @staticmethod
    def _part(name: str) -> str:
        """The part that a claim disturbs: all faults of the store disturb the same."""
        return STORE if name.startswith(STORE) else name

    def _restart(self, proxy: ProxyProcess) -> None:
        if proxy.program is not None and proxy.program.running:
            proxy.program.kill()
        self._system.start_proxy(proxy)
        self._release(proxy.name)

    def kill_proxy(self, part: int) -> Undo:
        """SIGKILL."""
        proxy = self._proxy(part)
        if proxy.program is None or not self._claim(proxy.name):
            return None
        proxy.program.kill()
        return lambda: self._restart(proxy)

    def _promoter(self) -> int:
        """The part that names the proxy which called the last promotion."""
        called = self._system.store.promotions
        names = [proxy.name for proxy in self._system.proxies]
        return names.index(called[-1][2]) if called and called[-1][2] in names else 0

    def kill_promoter(self, part: int) -> Undo:
        """SIGKILL to the proxy that called the last promotion."""
        return self.kill_proxy(self._promoter())

    def freeze_promoter(self, part: int) -> Undo:
        """SIGSTOP to the proxy that called the last promotion."""
        return self.freeze_proxy(self._promoter())

    def kill_all_proxies(self, part: int) -> Undo:
        """SIGKILL to every process that runs undisturbed."""
        undone = [self.kill_proxy(number) for number in range(len(self._system.proxies))]
        return lambda: _all([undo for undo in undone if undo is not None])

    def freeze_proxy(self, part: int) -> Undo:
        """SIGSTOP, then SIGCONT."""
        proxy = self._proxy(part)
        if proxy.program is None or not self._claim(proxy.name):
            return None
        program = proxy.program
        program.freeze()

        def thaw() -> None:
            program.thaw()
            self._release(proxy.name)

        return thaw

    def stop_proxy(self, part: int) -> Undo:
        """SIGTERM; what has not ended by then is killed and started again."""
        proxy = self._proxy(part)
        if proxy.program is None or not self._claim(proxy.name):
            return None
        proxy.program.terminate()
        return lambda: self._restart(proxy)

    # --- instances ----------------------------------------------------------------------------

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

    def lapse_directory(self, part: int) -> Undo:
        """The entries of all instances go, and come back later."""
        now = time.monotonic()
        self._system.disturbed(STORE, now, now)
        self._system.directory.lapse()

        def come_back() -> None:
            for group in self._system.groups.values():
                for instance in group.present():
                    group.on_entry(instance, 0.0)

        return come_back

    # --- store --------------------------------------------------------------------------------

    def refuse_at_store(self, part: int) -> Undo:
        """The store answers 503 or 429."""
        if not self._claim("store refuses"):
            return None
        self._system.store.refuse_with = (503, 429)[part % 2]

        def serve() -> None:
            self._system.store.refuse_with = 0
            self._release("store refuses")

        return serve

    def lose_answers_of_store(self, part: int) -> Undo:
        """Changes are done and not answered."""
        if not self._claim("store loses"):
            return None
        self._system.store.lose_answers = True

        def answer() -> None:
            self._system.store.lose_answers = False
            self._release("store loses")

        return answer

    def forget_history(self, part: int) -> Undo:
        """The store drops its history."""
        now = time.monotonic()
        self._system.disturbed(STORE, now, now)
        self._system.store.forget_history()
        return None

    def silence_store(self, part: int) -> Undo:
        """The store takes calls and never answers them, not even when it is back."""
        if not self._claim("store silent"):
            return None
        self._system.store.fall_silent()

        def speak() -> None:
            self._system.store.speak_again()
            self._release("store silent")

        return speak

    # --- operators ----------------------------------------------------------------------------

    def change_configuration(self, part: int) -> Undo:
        """One change, or several in quick succession."""
        loop = asyncio.get_running_loop()
        for number in range(1 + part % _MOST_CHANGES_IN_SERIES):
            loop.call_later(number * _SERIES_GAP_SECONDS, self._system.change_configuration)
        return None

    def reload_settings(self, part: int) -> Undo:
        """SIGHUP."""
        proxy = self._proxy(part)
        if proxy.program is not None and proxy.name not in self._busy and proxy.program.running:
            proxy.program.reload()
        return None


Undo = Callable[[], None] | None
Fault = Callable[[FaultPlayer, int], Undo]
FAULTS: dict[str, Fault] = {
    "change_configuration": FaultPlayer.change_configuration,
    "crash_primary": FaultPlayer.crash_primary,
    "crash_replica": FaultPlayer.crash_replica,
    "crash_some_instance": FaultPlayer.crash_some_instance,
    "cut_instance_from_store": FaultPlayer.cut_instance_from_store,
    "cut_primary_from_replicas": FaultPlayer.cut_primary_from_replicas,
    "cut_replication": FaultPlayer.cut_replication,
    "deafen_replica": FaultPlayer.deafen_replica,
    "end_deafness": FaultPlayer.end_deafness,
    "forget_history": FaultPlayer.forget_history,
    "freeze_proxy": FaultPlayer.freeze_proxy,
    "kill_all_proxies": FaultPlayer.kill_all_proxies,
    "kill_promoter": FaultPlayer.kill_promoter,
    "kill_proxy": FaultPlayer.kill_proxy,
    "freeze_promoter": FaultPlayer.freeze_promoter,
    "join": FaultPlayer.join,
    "lapse_directory": FaultPlayer.lapse_directory,
    "lose_answers_of_store": FaultPlayer.lose_answers_of_store,
    "pause_primary": FaultPlayer.pause_primary,
    "pause_some_instance": FaultPlayer.pause_some_instance,
    "refuse_at_store": FaultPlayer.refuse_at_store,
    "release_primary": FaultPlayer.release_primary,
    "release_replica": FaultPlayer.release_replica,
    "reload_settings": FaultPlayer.reload_settings,
    "return_instances": FaultPlayer.return_instances,
    "silence_instance": FaultPlayer.silence_instance,
    "silence_store": FaultPlayer.silence_store,
    "stop_proxy": FaultPlayer.stop_proxy,
}


def _choose(instances: list[SoakInstance], part: int) -> SoakInstance | None:
    """One of them by a fault's part; parts of one group differ by `PART_STEP`."""
    return instances[part // PART_STEP % len(instances)] if instances else None


def _all(undone: list[Callable[[], None]]) -> None:
    for undo in undone:
        undo()
