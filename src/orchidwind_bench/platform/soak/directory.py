"""Keeps the entries of the soak's instances in the store, with a delay."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from typing import Any

from orchidwind_bench.platform.soak.instance_state import HOST, SoakInstance
from orchidwind_standins.platform.object_store import StoreState

# An entry expires after three heartbeats of 1.2 s without a write.
ENTRY_OUTLIVES_SECONDS = 3.6
_KIND = "servers"
_RETRY_SECONDS = 0.03
_SLOTS = 3


class Directory:
    """Writes each instance's entry in the store on behalf of the instance.

    The entry of an instance that is paused, down or cut from the store is not written, and expires.
    No entry is written while the store refuses calls or is silent.
    """

    def __init__(self, store: StoreState) -> None:
        self._store = store
        self._written: dict[str, dict[str, Any]] = {}
        self._silent_since: dict[str, float] = {}
        self._pending: set[str] = set()

    def follow(self, service: str, instance: SoakInstance, seconds: float) -> None:
        """Update an entry after `seconds`, or later when the instance and the store allow it."""
        if instance.name in self._pending:
            return
        self._pending.add(instance.name)
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, self._write, service, instance)

    def _write(self, service: str, instance: SoakInstance) -> None:
        self._pending.discard(instance.name)
        if instance.ended:
            self._remove(instance.name)
            return
        if not instance.alive or instance.paused or instance.cut_from_store:
            self._expire_or_retry(service, instance)
            return
        if self._store.refuse_with or self._store.silent or instance.control is None:
            self.follow(service, instance, _RETRY_SECONDS)
            return
        self._silent_since.pop(instance.name, None)
        spec = {
            "service": service,
            "address": f"{HOST}:{instance.port}",
            "zone": instance.zone,
            "slots": _SLOTS,
            "state": "draining" if instance.draining else "ready",
            "db_role": instance.role,
        }
        instance.listed_draining = instance.draining
        if self._written.get(instance.name) != spec:
            self._written[instance.name] = spec
            self._store.put(_KIND, instance.name, spec)

    def _expire_or_retry(self, service: str, instance: SoakInstance) -> None:
        now = time.monotonic()
        since = self._silent_since.setdefault(instance.name, now)
        if now - since >= ENTRY_OUTLIVES_SECONDS:
            self._remove(instance.name)
        self.follow(service, instance, _RETRY_SECONDS)

    def _remove(self, name: str) -> None:
        if self._written.pop(name, None) is not None:
            self._store.remove(_KIND, name)

    def entries_restored(self, held: dict[str, dict[str, Any]], present: Iterable[str]) -> None:
        """Take over the entries that the store holds after it was restored from a copy.

        Entries of instances that have ended expire; `follow` writes the others again.
        """
        self._written = held
        loop = asyncio.get_running_loop()
        for name in held.keys() - set(present):
            loop.call_later(ENTRY_OUTLIVES_SECONDS, self._remove, name)

    def lapse(self) -> None:
        """Remove all entries at once, as may happen after the store was down."""
        for name in list(self._written):
            self._remove(name)
