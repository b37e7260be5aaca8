"""What the soak knows of one of its instances, and the ranges of its times.

Holds no process of its own; `InstanceGroup` starts, ends and disturbs instances.
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
    """Ranges from which each instance or each event draws, in seconds; parts in entries."""

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
    """One instance: where it runs, what it reported last, and the faults that are on."""

    name: str
    port: int
    zone: str
    journal: Path
    program: Program | None = None
    role: str = REPLICA
    term: int = 1
    # Whether it leads on if its log says that it led: not before it was promoted itself.
    may_lead_on: bool = False
    draining: bool = False
    ended: bool = False
    paused: bool = False
    away: bool = False
    deaf: bool = False
    silent: bool = False
    cut: set[str] = field(default_factory=set)
    # Whether the directory shows that it drains.
    listed_draining: bool = False
    control: asyncio.StreamWriter | None = None

    @property
    def alive(self) -> bool:
        """Whether its process runs, paused or not."""
        return self.program is not None and self.program.running
