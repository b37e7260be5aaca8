"""Keeps this proxy's entry in the stored list of proxies, and removes entries of lost proxies.

For: `peer_network` and the start of a proxy. Owns all writes of this proxy to that list. Relies on
the member store. A failed write of the own entry is retried after a pause; a failed removal is
retried when the proxy is next found unreachable.
"""

from __future__ import annotations

import asyncio
import random

from orchidwind.promoted.core.homes import OWN_ENTRY_GRACE_SECONDS, ProxyMember
from orchidwind.promoted.ports import MemberStore
from orchidwind.shared.core.errors import PlatformError
from orchidwind.shared.logs import log_event
from orchidwind.shared.task_set import TaskSet

# Pause before the own entry is written again, seconds. No operation waits for the write: other
# proxies send work here a fraction of a second later.
_WRITE_AGAIN_SECONDS = 0.25
# Period over which all proxies spread their registration after a restore of the store, seconds.
# Each proxy is listed within a second of learning of the restore, and 200 proxies stay at the 400
# writes a second that the first users' store accepts.
_RELISTING_SPREAD_SECONDS = 0.5


class MemberRegistration:
    """Keeps this proxy in the list; removes proxies that it could not reach for too long."""

    def __init__(self, own: ProxyMember, store: MemberStore) -> None:
        self._own = own
        self._store = store
        self._write_due = asyncio.Event()
        self._written_at = float("-inf")
        self._removals = TaskSet()
        # Upper bound of the next write's random delay, seconds, to spread many proxies' writes.
        self._spread = 0.0
        self._loop = asyncio.get_running_loop()

    async def write(self) -> bool:
        """Try to write this proxy's entry; return whether the entry was created.

        A failed write is logged and retried by `keep_listed`. A starting proxy writes its entry
        before it reads the list, as other proxies may be starting at the same time.
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

    async def keep_listed(self) -> None:
        """Write this proxy's entry whenever it is found missing; runs until cancelled."""
        while True:
            await self._write_due.wait()
            await asyncio.sleep(_WRITE_AGAIN_SECONDS + random.random() * self._spread)
            self._spread = 0.0
            await self.write()

    def on_missing(self) -> None:
        """Write the entry, as a full list lacks this proxy; ignored if it was written recently."""
        if self._loop.time() - self._written_at > OWN_ENTRY_GRACE_SECONDS:
            self._write_due.set()

    def on_store_restored(self) -> None:
        """Write the entry again: the store was restored from a copy that may lack it."""
        self._spread = _RELISTING_SPREAD_SECONDS
        self._write_due.set()

    def on_removed(self) -> None:
        """Write the entry again: another proxy could not reach this one and removed the entry."""
        self._write_due.set()

    def remove_other(self, name: str) -> None:
        """Remove a proxy from the list; if it is running after all, it registers again."""
        self._removals.start(self._remove(name))

    async def _remove(self, name: str) -> None:
        try:
            await self._store.remove(name)
        except PlatformError as error:
            log_event("member_not_removed", member=name, reason=str(error))
            return
        log_event("member_removed", member=name)

    def close(self) -> None:
        """Cancel the removals in progress."""
        self._removals.cancel()
