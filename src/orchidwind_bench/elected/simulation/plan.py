"""What a simulated system is made of: sizes, habits of its callers, and the logic that is played.

Relies on the product's `HomeGroup` and options; holds no state.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidwind.elected.core.group_effects import GroupOptions
from orchidwind.elected.core.home_group import HomeGroup
from orchidwind.shared.core.admission import TrafficClass
from orchidwind_bench.elected.simulation.network import NetworkSettings
from orchidwind_standins.elected.replication import GroupTimings

_DEFAULT_CLASS = TrafficClass("default", deadline=4.0)


@dataclass(frozen=True, slots=True)
class SystemPlan:
    """One simulated system; each zone has one proxy.

    `share` is a home's connections to each instance. `roaming` is the chance that a caller changes
    its proxy before an operation, `write_share` the chance that this is a write, `think` the mean
    pause between operations in seconds. With `named`, every second caller names its writes. Callers
    take the `classes` in turn. `group_class` may be a variant of the product's: a check then fails.
    """

    seed: int
    zones: list[str]
    instances: int = 3
    share: int = 2
    callers: int = 6
    roaming: float = 0.2
    write_share: float = 0.4
    think: float = 0.05
    named: bool = True
    timings: GroupTimings | None = None
    options: GroupOptions = field(default_factory=GroupOptions)
    network: NetworkSettings | None = None
    group_class: type[HomeGroup] = HomeGroup
    classes: tuple[TrafficClass, ...] = (_DEFAULT_CLASS,)
