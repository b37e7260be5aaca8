"""A simulated network: seeded delay, loss and reordering, cuts between zones, pauses of a host."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from orchidwind_bench.elected.simulation.events import EventQueue


@dataclass(frozen=True, slots=True)
class NetworkSettings:
    """Delays in seconds; each message takes `delay` plus up to `jitter`, so that some overtake."""

    delay: float = 0.0015
    jitter: float = 0.001
    loss: float = 0.0


class Network:
    """Delivers messages between named hosts that sit in zones."""

    def __init__(
        self, events: EventQueue, generator: random.Random, settings: NetworkSettings | None = None
    ) -> None:
        self.settings = settings or NetworkSettings()
        self.zone_of: dict[str, str] = {}
        self.cut_zones: set[frozenset[str]] = set()
        self.cut_hosts: set[str] = set()
        self.down: set[str] = set()
        self._paused: dict[str, list[Callable[[], None]]] = {}
        self._events = events
        self._random = generator

    def connected(self, source: str, target: str) -> bool:
        """Whether messages pass between two hosts."""
        if source in self.cut_hosts or target in self.cut_hosts:
            return source == target
        zones = frozenset((self.zone_of.get(source, ""), self.zone_of.get(target, "")))
        return len(zones) == 1 or zones not in self.cut_zones

    def delay(self) -> float:
        """The time that one message takes."""
        return self.settings.delay + self._random.uniform(0, self.settings.jitter)

    def send(
        self, source: str, target: str, deliver: Callable[[], None], *, reliable: bool = False
    ) -> bool:
        """Send a message; whether it will arrive. A reliable one is not lost by chance."""
        if not self.connected(source, target) or target in self.down:
            return False
        if not reliable and self._random.random() < self.settings.loss:
            return False
        self._events.after(self.delay(), lambda: self._arrive(source, target, deliver))
        return True

    def _arrive(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        if target in self.down or not self.connected(source, target):
            return
        self.on_host(target, deliver)

    def on_host(self, host: str, action: Callable[[], None]) -> None:
        """Run an action on a host now, or when its pause ends."""
        if host in self._paused:
            self._paused[host].append(action)
        else:
            action()

    def pause(self, host: str) -> None:
        """The host stops; what reaches it waits."""
        self._paused.setdefault(host, [])

    def resume(self, host: str) -> None:
        """The host goes on with what waited."""
        for action in self._paused.pop(host, []):
            self._events.after(0.0, action)

    def cut(self, zone: str, other: str) -> None:
        """Cut two zones off from each other."""
        self.cut_zones.add(frozenset((zone, other)))

    def heal(self) -> None:
        """All cuts end."""
        self.cut_zones.clear()
        self.cut_hosts.clear()
