"""The state of one instance of the soak, and the ranges from which its times are drawn.

`InstanceGroup` starts, ends and disturbs instances.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from pathlib import Path

from orchidwind_bench.processes import Program
from orchidwind_standins.platform.line_session import REPLICA
from orchidwind_standins.platform.replicated_instance import PositionTerm

HOST = "127.0.0.1"
ZONES = ("zone-a", "zone-b", "zone-c")


@dataclass(frozen=True, slots=True)
class InstanceTimes:
    """Ranges from which times are drawn for each instance or event, in seconds.

    `part` is the maximum number of log entries sent at a time.
    """

    lag: tuple[float, float] = (0.001, 0.02)
    part: tuple[int, int] = (1, 5)
    promotion: tuple[float, float] = (0.2, 0.5)
    entry_follows: tuple[float, float] = (0.005, 0.03)
    before_draining: tuple[float, float] = (0.0, 0.3)
    draining: tuple[float, float] = (0.6, 2.5)
    before_successor: tuple[float, float] = (0.05, 0.5)
    step_down: float = 1.0
    position_term: PositionTerm = "last_entry"


@dataclass(slots=True)
class SoakInstance:
    """One instance: its address, its last reported role and term, and its active faults."""

    name: str
    port: int
    zone: str
    journal: Path
    program: Program | None = None
    role: str = REPLICA
    term: int = 1
    # Whether a restarted instance may stay primary if its journal says that it was; false until it
    # has itself reported the role of a primary.
    may_lead_on: bool = False
    draining: bool = False
    ended: bool = False
    paused: bool = False
    cut_from_store: bool = False
    deaf: bool = False
    silent: bool = False
    cut: set[str] = field(default_factory=set)
    # Whether its entry in the store shows that it drains.
    listed_draining: bool = False
    control: asyncio.StreamWriter | None = None

    @property
    def alive(self) -> bool:
        """Whether its process runs, paused or not."""
        return self.program is not None and self.program.running
