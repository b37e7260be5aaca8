"""The soak's faults: a schedule drawn from a seed, each fault undone after a while."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from orchidwind_bench.platform.soak.system import (
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


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """What happens at a time, for so many seconds, to one part of the system."""

    at: float
    name: str
    seconds: float
    part: int


def draw_schedule(seed: int, seconds: float) -> list[PlannedFault]:
    """The faults of a run; none begins in its last seconds."""
    drawn = random.Random(seed)
    schedule = []
    at = 1.0
    while at < seconds - _CALM_AT_END_SECONDS:
        lasting = drawn.uniform(_SHORTEST_SECONDS, _LONGEST_SECONDS)
        schedule.append(
            PlannedFault(at, drawn.choice(sorted(FAULTS)), lasting, drawn.randrange(1000))
        )
        at += drawn.uniform(0.1, _LONGEST_GAP_SECONDS)
    return schedule


class FaultPlayer:
    """Carries a schedule out."""

    def __init__(self, system: SoakSystem) -> None:
        self._system = system
        self._busy: set[str] = set()

    async def play(self, schedule: list[PlannedFault]) -> None:
        """Begin and end each fault at its time."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        running = []
        for fault in schedule:
            await asyncio.sleep(max(0.0, began + fault.at - loop.time()))
            running.append(loop.create_task(self._play_one(fault)))
        await asyncio.gather(*running)

    async def _play_one(self, fault: PlannedFault) -> None:
        undo = FAULTS[fault.name](self, fault.part)
        if undo is None:
            return
        await asyncio.sleep(fault.seconds)
        undo()

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

    def _crash(self, name: str) -> Undo:
        alive = [item for item in self._system.group.instances.values() if item.alive]
        if len(alive) < len(self._system.group.instances) or not self._claim("instances"):
            return None
        self._system.crash_instance(name)

        def restart() -> None:
            self._system.restart_instance(name)
            self._release("instances")

        return restart

    def crash_primary(self, part: int) -> Undo:
        """The primary stops."""
        instances = self._system.group.instances.values()
        primaries = [item for item in instances if item.role == "primary"]
        return self._crash(max(primaries, key=lambda item: item.term).name)

    def crash_some_instance(self, part: int) -> Undo:
        """Any instance stops."""
        names = sorted(self._system.group.instances)
        return self._crash(names[part % len(names)])

    def silence_instance(self, part: int) -> Undo:
        """An instance takes what is sent and answers nothing."""
        names = sorted(self._system.group.instances)
        instance = self._system.group.instances[names[part % len(names)]]
        if not self._claim(f"silence {instance.name}"):
            return None
        instance.silent = True

        def speak() -> None:
            instance.silent = False
            self._release(f"silence {instance.name}")
            for stream in list(instance.streams):
                stream.close()

        return speak

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
    "crash_some_instance": FaultPlayer.crash_some_instance,
    "forget_history": FaultPlayer.forget_history,
    "freeze_proxy": FaultPlayer.freeze_proxy,
    "kill_all_proxies": FaultPlayer.kill_all_proxies,
    "kill_proxy": FaultPlayer.kill_proxy,
    "lose_answers_of_store": FaultPlayer.lose_answers_of_store,
    "refuse_at_store": FaultPlayer.refuse_at_store,
    "reload_settings": FaultPlayer.reload_settings,
    "silence_instance": FaultPlayer.silence_instance,
    "silence_store": FaultPlayer.silence_store,
    "stop_proxy": FaultPlayer.stop_proxy,
}


def _all(undone: list[Callable[[], None]]) -> None:
    for undo in undone:
        undo()
