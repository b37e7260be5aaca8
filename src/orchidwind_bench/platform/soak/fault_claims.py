"""Which parts of the soak's system are under a fault now, so that no other one hits them.

Owns the claims; tells the system when a part begins and ends to be disturbed, which excuses what
the checks would count against it.
"""

from __future__ import annotations

import time

from orchidwind_bench.platform.soak.system import STORE, SoakSystem


class FaultClaims:
    """The claimed parts by name."""

    def __init__(self, system: SoakSystem) -> None:
        self._system = system
        self._claimed: set[str] = set()

    def claim(self, name: str) -> bool:
        """Claim a part until its release; whether it was free."""
        if name in self._claimed:
            return False
        self._claimed.add(name)
        self._system.disturbed(_part(name), time.monotonic(), float("inf"))
        return True

    def claimed(self, name: str) -> bool:
        """Whether a part is under a fault."""
        return name in self._claimed

    def release(self, name: str) -> None:
        """The fault of a part is undone."""
        self._claimed.discard(name)
        part = _part(name)
        if not any(_part(other) == part for other in self._claimed):
            self._system.settled(part)


def _part(name: str) -> str:
    """The part that a claim disturbs: all faults of the store disturb the same."""
    return STORE if name.startswith(STORE) else name
