"""Named scenarios of load and faults, and the figures of each.

Used by `orchidwind-bench laboratory` and the load tests. Faults last from `FAULT_FROM` to
`FAULT_UNTIL`, in seconds from the start of the load; the figures cover the same period.
"""

from __future__ import annotations

from collections.abc import Callable

from orchidwind_bench.promoted.laboratory.load import KINDS
from orchidwind_bench.promoted.laboratory.play import (
    INSTANCES,
    PROXIES,
    Fault,
    Figures,
    LoadPlan,
    ProxyWeights,
    play_load,
    slots,
)
from orchidwind_bench.promoted.simulation.fleet import FleetSystem
from orchidwind_bench.promoted.simulation.store import STORE

FAULT_FROM = 1.0
FAULT_UNTIL = 6.0
# The part of all demand that comes to one proxy where demand is uneven.
HOT_SHARE = 0.75
# Seconds after which a wave of demand has moved on to the next proxy.
WAVE_STEP_SECONDS = 2.0
PRIMARY, REPLICA = INSTANCES[0], INSTANCES[1]


def hang(hung: bool) -> Fault:
    """Return a fault: a replica accepts connections, answers status queries, ends no statement.

    With `hung` false, the replica works normally again.
    """

    def fault(system: FleetSystem) -> None:
        slots(system, REPLICA).hung = hung

    return fault


def slow(factor: float) -> Fault:
    """Return a fault that multiplies the execution times of a replica by `factor`."""

    def fault(system: FleetSystem) -> None:
        slots(system, REPLICA).slowness = factor

    return fault


def lose_answers(share: float) -> Fault:
    """Return a fault that loses the given fraction of the primary's answers."""

    def fault(system: FleetSystem) -> None:
        system.sides["group"].group.instances[PRIMARY].lose_answers = share

    return fault


def lag(seconds: float) -> Fault:
    """Return a fault that delays the replay of received log entries on both replicas."""

    def fault(system: FleetSystem) -> None:
        for name in INSTANCES[1:]:
            system.sides["group"].group.instances[name].apply_seconds = seconds

    return fault


def dark(system: FleetSystem) -> None:
    """Cut all proxies off from the primary, and from the store, so that it is not replaced."""
    for proxy in PROXIES:
        system.world.network.cut(proxy, PRIMARY)
        system.world.network.cut(proxy, STORE)


def heal(system: FleetSystem) -> None:
    """End all cuts."""
    system.world.network.heal()


def at_one_proxy(seconds: float) -> list[float]:
    """Return weights of the proxies: three quarters of all demand come to one."""
    return _hot(0)


def wave(seconds: float) -> list[float]:
    """Return weights of the proxies: three quarters of all demand move from one to the next."""
    return _hot(int(seconds / WAVE_STEP_SECONDS) % len(PROXIES))


def _hot(chosen: int) -> list[float]:
    rest = (1.0 - HOT_SHARE) / (len(PROXIES) - 1)
    return [HOT_SHARE if number == chosen else rest for number in range(len(PROXIES))]


def between(begin: Fault, end: Fault) -> tuple[tuple[float, Fault], ...]:
    """Schedule `begin` at `FAULT_FROM` and `end` at `FAULT_UNTIL`."""
    return ((FAULT_FROM, begin), (FAULT_UNTIL, end))


def _faulty(load: float, begin: Fault, end: Fault) -> Callable[[int], LoadPlan]:
    """Return a factory of plans by seed, with a constant load and one fault."""
    return lambda seed: LoadPlan(load, faults=between(begin, end), seed=seed)


def _loaded(load: float) -> Callable[[int], LoadPlan]:
    """Return a factory of plans by seed, with a constant load and no faults."""
    return lambda seed: LoadPlan(load, seed=seed)


def _uneven(load: float, weights: ProxyWeights) -> Callable[[int], LoadPlan]:
    """Return a factory of plans by seed, with demand that differs between the proxies."""
    return lambda seed: LoadPlan(load, seed=seed, proxy_weights=weights)


SCENARIOS: dict[str, Callable[[int], LoadPlan]] = {
    "calm": _loaded(0.5),
    "near": _loaded(0.8),
    "full": _loaded(1.1),
    "over": _loaded(1.5),
    "double": _loaded(2.0),
    "fourfold": _loaded(4.0),
    "one proxy": _uneven(0.8, at_one_proxy),
    "wave": _uneven(0.8, wave),
    "hang": _faulty(0.5, hang(True), hang(False)),
    "slow": _faulty(0.5, slow(5.0), slow(1.0)),
    "lost": _faulty(0.5, lose_answers(0.2), lose_answers(0.0)),
    "lag": _faulty(0.55, lag(4.0), lag(0.0)),
}


def figures_of(scenario: str, seed: int) -> tuple[Figures, list[Figures]]:
    """Run one scenario; return the figures of all operations and those of each kind of request."""
    played = play_load(SCENARIOS[scenario](seed))
    assert not played.broken, played.broken
    by_kind = [played.figures(FAULT_FROM, FAULT_UNTIL, kind) for kind in KINDS]
    return played.figures(FAULT_FROM, FAULT_UNTIL), by_kind
