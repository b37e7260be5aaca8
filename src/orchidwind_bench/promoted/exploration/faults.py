"""What may be inflicted on the model, at fixed times and before steps of a change of primary."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from orchidwind.promoted.core.promotion_lock import TAKE_OVER_SECONDS
from orchidwind_bench.promoted.exploration.instances import ModelGroup, ModelInstance
from orchidwind_bench.promoted.exploration.network import STORE, ModelNetwork
from orchidwind_bench.promoted.exploration.store import ENTRY_OUTLIVES_SECONDS, ModelStore
from orchidwind_bench.promoted.exploration.timeline import Timeline
from orchidwind_bench.promoted.exploration.trace import Trace

# A leaving instance ends so long after it has announced that, in seconds.
LEAVING_SECONDS = 2.0
# With fewer, no commit can be confirmed: nobody leaves then.
FEWEST_MEMBERS = 2
SHORT_SECONDS = 0.15
MIDDLE_SECONDS = 1.5
# Longer than the promotion lock is held, than others wait before they take it over, and than an
# entry outlives its instance's last heartbeat.
LONG_SECONDS = 4.6
# A replica that lags receives so much later, in seconds.
LAG_SECONDS = 0.4
# The store comes back as it was so long before, in seconds.
RETURN_AGES = {"a moment": 0.1, "a second": 1.0, "three seconds": 3.0}


class Proxies(Protocol):
    """The proxies, as far as faults concern them."""

    @property
    def names(self) -> tuple[str, ...]:
        """The names of all."""

    def pause(self, name: str, seconds: float) -> None:
        """Have a proxy do nothing for a while."""

    def kill(self, name: str, back_after: float) -> None:
        """End a proxy, and begin it again under its name after a while."""


@dataclass(frozen=True, slots=True)
class Fault:
    """Something to inflict; `name` tells it in traces."""

    name: str
    inflict: Callable[[], None]


class Faults:
    """All faults by name, and by whom they concern."""

    def __init__(
        self,
        timeline: Timeline,
        network: ModelNetwork,
        store: ModelStore,
        group: ModelGroup,
        proxies: Proxies,
        trace: Trace,
    ) -> None:
        self._timeline = timeline
        self._network = network
        self._store = store
        self._group = group
        self._proxies = proxies
        self._trace = trace
        # When the last fault that was inflicted is mended, in seconds.
        self.mended_at = 0.0
        self._all = {fault.name: fault for fault in self._list()}
        self.names = tuple(self._all)

    def inflict(self, fault: Fault) -> None:
        """Have it happen now."""
        self._trace.note(f"FAULT {fault.name}")
        fault.inflict()

    def named(self, name: str) -> Fault:
        """The fault of a name."""
        return self._all[name]

    def _list(self) -> list[Fault]:
        faults: list[Fault] = []
        add = faults.append
        for item in self._group.instances.values():
            add(Fault(f"restart {item.name}", partial(self._crash, item, SHORT_SECONDS)))
            add(Fault(f"crash {item.name}", partial(self._crash, item, MIDDLE_SECONDS)))
            add(Fault(f"crash {item.name} for long", partial(self._crash, item, LONG_SECONDS)))
            add(Fault(f"lag {item.name}", partial(self._lag, item)))
            add(Fault(f"deaf {item.name}", partial(self._deafen, item)))
            add(Fault(f"leave {item.name}", partial(self._leave, item)))
            if not item.joined:
                add(Fault(f"join {item.name}", partial(self._join, item, False)))
                add(Fault(f"join {item.name} in parts", partial(self._join, item, True)))
        names = tuple(self._group.instances)
        for place, one in enumerate(names):
            for other in names[place + 1 :]:
                add(self._cut(one, other))
        for proxy in self._proxies.names:
            add(Fault(f"pause {proxy}", partial(self._pause, proxy, MIDDLE_SECONDS)))
            add(Fault(f"pause {proxy} for long", partial(self._pause, proxy, LONG_SECONDS)))
            add(Fault(f"restart {proxy}", partial(self._kill, proxy, SHORT_SECONDS)))
            add(Fault(f"kill {proxy}", partial(self._kill, proxy, MIDDLE_SECONDS)))
            add(self._cut(proxy, STORE))
            add(self._cut(proxy, STORE, LONG_SECONDS, " for long"))
            for name in names:
                add(self._cut(proxy, name))
                add(self._cut(proxy, name, LONG_SECONDS, " for long"))
        add(Fault("store down", lambda: self._store_down(())))
        add(Fault("store down, entries lapse", lambda: self._store_down(names)))
        for text, age in RETURN_AGES.items():
            add(Fault(f"store returns, {text} older", partial(self._store_returns, age)))
        add(Fault("cut primary off", self._cut_primary_off))
        return faults

    def _until(self, seconds: float) -> None:
        self.mended_at = max(self.mended_at, self._timeline.now + seconds)

    def _cut(
        self, one: str, other: str, seconds: float = MIDDLE_SECONDS, how_long: str = ""
    ) -> Fault:
        def cut() -> None:
            self._until(seconds)
            self._network.cut(one, other, seconds)

        return Fault(f"cut {one} {other}{how_long}", cut)

    def _cut_primary_off(self) -> None:
        """The primary loses its replicas, and not its callers; one that joins reaches it."""
        self._until(LONG_SECONDS)
        for name, item in self._group.instances.items():
            if item.joined and item is not self._group.leader:
                self._network.cut(name, self._group.leader.name, LONG_SECONDS)

    def _crash(self, instance: ModelInstance, seconds: float) -> None:
        if not instance.runs:
            return
        self._until(seconds)
        self._group.crash(instance)
        self._store.drop_silent(instance, ENTRY_OUTLIVES_SECONDS)
        self._timeline.after(seconds, lambda: self._group.come_back(instance))

    def _lag(self, instance: ModelInstance) -> None:
        self._until(MIDDLE_SECONDS)
        instance.lag_seconds = LAG_SECONDS
        instance.lag_until = self._timeline.now + MIDDLE_SECONDS

    def _deafen(self, instance: ModelInstance) -> None:
        self._until(MIDDLE_SECONDS)
        self._network.deafen(instance.name, MIDDLE_SECONDS)

    def _leave(self, instance: ModelInstance) -> None:
        """It announces its end, serves and receives on for a while, and goes with its log."""
        members = self._group.instances.values()
        staying = sum(1 for item in members if item.joined and not item.draining)
        if not instance.runs or instance.draining or staying <= FEWEST_MEMBERS:
            return
        self._until(LEAVING_SECONDS + SHORT_SECONDS)
        instance.draining = True
        self._store.tell(instance)
        self._timeline.after(LEAVING_SECONDS, lambda: self._end(instance))

    def _end(self, instance: ModelInstance) -> None:
        instance.crash()
        instance.joined = False
        self._store.drop_silent(instance, 0.0)
        self._timeline.after(SHORT_SECONDS, partial(self._succeed, instance))

    def _succeed(self, instance: ModelInstance) -> None:
        """The log of one that has left passes to a new instance at its address."""
        successor = self._group.succeed(instance)
        self._trace.note(
            f"{successor.name} begins with the {len(successor.log)} of {instance.name}"
        )
        self._store.list_later(successor)

    def _join(self, instance: ModelInstance, parts: bool) -> None:
        if instance.joined or instance.draining:
            return
        instance.in_parts = parts
        self._group.join(instance)
        self._store.list_later(instance)

    def _pause(self, proxy: str, seconds: float) -> None:
        self._until(seconds)
        self._proxies.pause(proxy, seconds)

    def _kill(self, proxy: str, seconds: float) -> None:
        self._until(seconds)
        self._proxies.kill(proxy, seconds)

    def _store_returns(self, age_seconds: float) -> None:
        """From an older copy; a primary can be changed again when old rights have run out."""
        self._until(TAKE_OVER_SECONDS)
        self._store.come_back(age_seconds, tuple(self._group.instances.values()))

    def _store_down(self, lapsing: tuple[str, ...]) -> None:
        self._until(MIDDLE_SECONDS + 2.0)
        items = tuple(self._group.instances[name] for name in lapsing)
        self._store.go_down(MIDDLE_SECONDS, items)
