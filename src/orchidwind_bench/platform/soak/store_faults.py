"""Faults of the soak's store, and changes that operators make in it.

Each fault takes the number of a part and returns a function that undoes the fault, or None. A
claimed fault is not begun again before it is undone.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from orchidwind_bench.platform.soak.fault_claims import FaultClaims
from orchidwind_bench.platform.soak.planned_fault import Undo
from orchidwind_bench.platform.soak.system import STORE, SoakSystem

# The maximum number of configuration changes in quick succession, and the seconds between two.
_MAX_CHANGES_IN_SERIES = 4
_SERIES_GAP_SECONDS = 0.05


class StoreFaults:
    """Makes the store fail, drop its history and change its contents."""

    def __init__(self, system: SoakSystem, claims: FaultClaims) -> None:
        self._system = system
        self._claims = claims

    def lapse_directory(self, part: int) -> Undo:
        """Remove the entries of all instances; the instances write them again later."""
        now = time.monotonic()
        self._system.record_disturbance(STORE, now, now)
        self._system.directory.lapse()

        def come_back() -> None:
            for group in self._system.groups.values():
                for instance in group.present():
                    group.on_entry(instance, 0.0)

        return come_back

    def refuse_at_store(self, part: int) -> Undo:
        """Let the store answer every call with 503 or 429."""
        if not self._claims.claim("store refuses"):
            return None
        self._system.store.refuse_with = (503, 429)[part % 2]

        def serve() -> None:
            self._system.store.refuse_with = 0
            self._claims.release("store refuses")

        return serve

    def lose_answers_of_store(self, part: int) -> Undo:
        """Let the store apply changes without answering them."""
        if not self._claims.claim("store loses"):
            return None
        self._system.store.lose_answers = True

        def answer() -> None:
            self._system.store.lose_answers = False
            self._claims.release("store loses")

        return answer

    def forget_history(self, part: int) -> Undo:
        """Let the store drop its history of changes."""
        now = time.monotonic()
        self._system.record_disturbance(STORE, now, now)
        self._system.store.forget_history()
        return None

    def return_store(self, part: int) -> Undo:
        """Later restore the store to its present state: writes made until then are lost."""
        if not self._claims.claim("store returns"):
            return None
        copy = self._system.store.copy()

        def come_back() -> None:
            self._system.restore_from(copy)
            self._claims.release("store returns")

        return come_back

    def silence_store(self, part: int) -> Undo:
        """Let the store accept calls and never answer them, not even after the fault is undone."""
        if not self._claims.claim("store silent"):
            return None
        self._system.store.stop_answering()

        def speak() -> None:
            self._system.store.resume_answering()
            self._claims.release("store silent")

        return speak

    def change_configuration(self, part: int) -> Undo:
        """Write one new version of the configuration, or several in quick succession."""
        loop = asyncio.get_running_loop()
        for number in range(1 + part % _MAX_CHANGES_IN_SERIES):
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
