"""Faults of the soak's store, and changes that operators make in it.

Each takes the number of a part and returns what undoes it. Relies on the claims.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from orchidwind_bench.platform.soak.fault_claims import FaultClaims
from orchidwind_bench.platform.soak.planned_fault import Undo
from orchidwind_bench.platform.soak.system import STORE, SoakSystem

# How many changes of the configuration come in quick succession, and the seconds between two;
# chosen.
_MOST_CHANGES_IN_SERIES = 4
_SERIES_GAP_SECONDS = 0.05


class StoreFaults:
    """Makes the store fail, forget and change."""

    def __init__(self, system: SoakSystem, claims: FaultClaims) -> None:
        self._system = system
        self._claims = claims

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

    def refuse_at_store(self, part: int) -> Undo:
        """The store answers 503 or 429."""
        if not self._claims.claim("store refuses"):
            return None
        self._system.store.refuse_with = (503, 429)[part % 2]

        def serve() -> None:
            self._system.store.refuse_with = 0
            self._claims.release("store refuses")

        return serve

    def lose_answers_of_store(self, part: int) -> Undo:
        """Changes are done and not answered."""
        if not self._claims.claim("store loses"):
            return None
        self._system.store.lose_answers = True

        def answer() -> None:
            self._system.store.lose_answers = False
            self._claims.release("store loses")

        return answer

    def forget_history(self, part: int) -> Undo:
        """The store drops its history."""
        now = time.monotonic()
        self._system.disturbed(STORE, now, now)
        self._system.store.forget_history()
        return None

    def return_store(self, part: int) -> Undo:
        """The store comes back as it was when the fault began: what was written since is lost."""
        if not self._claims.claim("store returns"):
            return None
        copy = self._system.store.copy()

        def come_back() -> None:
            self._system.restore_from(copy)
            self._claims.release("store returns")

        return come_back

    def silence_store(self, part: int) -> Undo:
        """The store takes calls and never answers them, not even when it is back."""
        if not self._claims.claim("store silent"):
            return None
        self._system.store.stop_answering()

        def speak() -> None:
            self._system.store.resume_answering()
            self._claims.release("store silent")

        return speak

    def change_configuration(self, part: int) -> Undo:
        """One change, or several in quick succession."""
        loop = asyncio.get_running_loop()
        for number in range(1 + part % _MOST_CHANGES_IN_SERIES):
            loop.call_later(number * _SERIES_GAP_SECONDS, self._system.change_configuration)
        return None


STORE_FAULTS: dict[str, Callable[[StoreFaults, int], Undo]] = {
    "change_configuration": StoreFaults.change_configuration,
    "forget_history": StoreFaults.forget_history,
    "lapse_directory": StoreFaults.lapse_directory,
    "lose_answers_of_store": StoreFaults.lose_answers_of_store,
    "refuse_at_store": StoreFaults.refuse_at_store,
    "return_store": StoreFaults.return_store,
    "silence_store": StoreFaults.silence_store,
}
