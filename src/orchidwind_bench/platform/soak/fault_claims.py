"""Records which parts of the system are under a fault, so that no second fault hits them.

Reports to the system when the disturbance of a part begins and ends; the checks make allowance for
disturbed parts.
"""

from __future__ import annotations

import time

from orchidwind_bench.platform.soak.system import STORE, SoakSystem


class FaultClaims:
    """The names of the claimed parts."""

    def __init__(self, system: SoakSystem) -> None:
        self._system = system
        self._claimed: set[str] = set()

    def claim(self, name: str) -> bool:
        """Claim a part until its release; returns whether it was free."""
        if name in self._claimed:
            return False
        self._claimed.add(name)
        self._system.record_disturbance(_part(name), time.monotonic(), float("inf"))
        return True

    def claimed(self, name: str) -> bool:
        """Whether a part is under a fault."""
        return name in self._claimed

    def release(self, name: str) -> None:
        """Release a claim after its fault was undone."""
        self._claimed.discard(name)
        part = _part(name)
        if not any(_part(other) == part for other in self._claimed):
            self._system.end_disturbances(part)


def _part(name: str) -> str:
    """The part that a claim disturbs: all claims on the store disturb the same part."""
    return STORE if name.startswith(STORE) else name
