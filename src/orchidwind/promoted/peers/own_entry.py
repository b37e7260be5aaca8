"""This proxy's own entry in the list of proxies, and the removal of entries of proxies that went.

For: `peer_network` and the start of a proxy. Owns what this proxy writes to that list. Relies on
the member store; a call that fails is repeated after a pause, or left to the next find.
"""

from __future__ import annotations

import asyncio
import random

from orchidwind.promoted.core.homes import OWN_ENTRY_LISTED_AFTER_SECONDS, ProxyMember
from orchidwind.promoted.ports import MemberStore
from orchidwind.shared.core.errors import PlatformError
from orchidwind.shared.logs import log_event
from orchidwind.shared.task_set import TaskSet

# Before the own entry is written again, seconds. The store refuses or is silent, and nobody
# waits for it: others send work here a fraction of a second later.
_WRITE_AGAIN_SECONDS = 0.25
# Seconds over which all proxies list themselves again after a return of the store. Each is
# listed within a second of knowing it, and 200 proxies stay at the 400 writes a second that the
# first users' store takes.
_RELISTING_SPREAD_SECONDS = 0.5


class OwnEntry:
    """Keeps this proxy listed; removes others that it could not reach for long."""

    def __init__(self, own: ProxyMember, store: MemberStore) -> None:
        self._own = own
        self._store = store
        self._write_due = asyncio.Event()
        self._written_at = float("-inf")
        self._removals = TaskSet()
        # Seconds over which many proxies that write at the same time are spread.
        self._spread = 0.0
        self._loop = asyncio.get_running_loop()

    async def write(self) -> bool:
        """Try to have this proxy listed; whether it is and was not before.

        It is listed before it reads the members, as others may start now.
        """
        self._write_due.clear()
        try:
            is_new = await self._store.write(self._own)
        except PlatformError as error:
            log_event("member_not_written", reason=str(error))
            self._write_due.set()
            return False
        self._written_at = self._loop.time()
        log_event("member_written", is_new=is_new)
        return is_new

    async def keep(self) -> None:
        """Have this proxy listed whenever it is not; runs until cancelled."""
        while True:
            await self._write_due.wait()
            await asyncio.sleep(_WRITE_AGAIN_SECONDS + random.random() * self._spread)
            self._spread = 0.0
            await self.write()

    def missing(self) -> None:
        """A whole list does not name this proxy: it was taken off, or is too new."""
        if self._loop.time() - self._written_at > OWN_ENTRY_LISTED_AFTER_SECONDS:
            self._write_due.set()

    def store_came_back(self) -> None:
        """The store came back from a copy, in which this proxy may be missing."""
        self._spread = _RELISTING_SPREAD_SECONDS
        self._write_due.set()

    def removed(self) -> None:
        """Another proxy could not reach this one for long and took it off, but it is here."""
        self._write_due.set()

    def remove_other(self, name: str) -> None:
        """Take a proxy off the list; one that is there after all lists itself again."""
        self._removals.start(self._remove(name))

    async def _remove(self, name: str) -> None:
        try:
            await self._store.remove(name)
        except PlatformError as error:
            log_event("member_not_removed", member=name, reason=str(error))
            return
        log_event("member_removed", member=name)

    def close(self) -> None:
        """Write nothing more."""
        self._removals.cancel()
