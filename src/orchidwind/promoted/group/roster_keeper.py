"""Keeps, in the store, which instances may hold commits of each group.

A proxy that starts cannot have seen who left before; after the loss of all proxies none can. So
each instance that is listed is written to its group's roster, and taken off only when a proxy has
seen it gone for as long as it may matter (`core/confirming_instances.py`).

Owns: the roster of each group as this proxy knows it (`core/roster.py`). Relies on: a watch that
calls `listed` and `changed`, and a store that writes by compare-and-put.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator, Mapping

from msgspec.structs import replace

from orchidwind.promoted.core.roster import KnownRoster, PromotionRecord, Roster
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.group.group_service import GroupService
from orchidwind.promoted.ports import Changes, Listing, RosterStore
from orchidwind.shared.core.errors import PlatformError, PlatformUncertain
from orchidwind.shared.logs import log_event

# Seconds between two checks of what is to be written. An instance that is listed, confirms
# and leaves in less, while all proxies lose power, is missed (docs/DECISIONS.md).
_CHECK_INTERVAL_SECONDS = 0.5
# A writer waits for a random part of this, in seconds. Proxies see the same change at the
# same time, and the first to write spares the others.
_JITTER_SECONDS = 0.4


class RosterKeeper:
    """Follows the rosters and brings them up to date with what this proxy sees."""

    def __init__(self, groups: Mapping[str, GroupService], store: RosterStore) -> None:
        self.known = False
        self._groups = groups
        self._store = store
        self._rosters: dict[str, KnownRoster] = {}
        # Of the store, as of the last whole reading.
        self._era = 0
        self._loop = asyncio.get_running_loop()

    def listed(self, listing: Listing[Roster]) -> bool:
        """All rosters, read freshly: from now on nobody can have left unknown to this proxy."""
        self._era = listing.revision.era
        for roster in listing.items:
            self._take(roster)
        for known in self._rosters.values():
            known.absent(self._era)
        self.known = True
        return True

    def changed(self, changes: Changes[Roster]) -> None:
        """Rosters that changed."""
        for roster in changes.changed:
            self._take(roster)

    def _take(self, roster: Roster) -> None:
        self._of(roster.group).take(roster)
        self.apply(roster.group)

    def _of(self, group: str) -> KnownRoster:
        known = self._rosters.get(group)
        if known is None:
            known = self._rosters[group] = KnownRoster(group, self._era)
        return known

    def apply(self, group: str) -> None:
        """Pass a roster on to its group, which may be newer than the roster."""
        service = self._groups.get(group)
        if group in self._rosters and service is not None:
            roster = self._rosters[group].known
            service.topology.confirming.roster_read(roster.members, self._loop.time())
            service.topology.promotion_read(roster.last_promotion, self._loop.time())

    def promotion_called(self, token: StoreRevision) -> bool:
        """Whether a promotion may have been called under a fencing token, of any group."""
        return any(record.token == token for record in self._last_promotions())

    def newest_token(self) -> StoreRevision:
        """The fencing token of the last promotion of any group that is known; 0 where none is."""
        tokens = [record.token for record in self._last_promotions()]
        return max(tokens, default=StoreRevision(0))

    def _last_promotions(self) -> Iterator[PromotionRecord]:
        for roster in self._rosters.values():
            record = roster.known.last_promotion
            if record is not None:
                yield record

    async def record_promotion(self, group: str, record: PromotionRecord) -> bool:
        """Write down a promotion before it is called; whether it surely is in the store."""
        wanted = replace(self._of(group).known, last_promotion=record)
        try:
            self._take(await self._store.write(wanted, create=wanted.revision.in_era == 0))
        except PlatformError as error:  # a conflict, too: the caller reads the roster anew
            log_event(
                "promotion_not_recorded",
                group=group,
                instance=record.instance,
                uncertain=isinstance(error, PlatformUncertain),
                reason=str(error),
            )
            return False
        return True

    async def run(self) -> None:
        """Write what differs."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
            if not self.known or not any(self._wanted(name) for name in self._groups):
                continue
            await asyncio.sleep(random.random() * _JITTER_SECONDS)
            for name in list(self._groups):
                wanted = self._wanted(name)
                if wanted is not None:
                    await self._write(wanted)

    def _wanted(self, group: str) -> Roster | None:
        """The roster as it should be, None where it is so."""
        return self._of(group).wanted(self._groups[group].topology.confirming.roster)

    async def _write(self, wanted: Roster) -> None:
        try:
            written = await self._store.write(wanted, create=wanted.revision.in_era == 0)
        except PlatformError as error:  # a conflict, too: the watch brings what is there now
            log_event("roster_not_written", group=wanted.group, reason=str(error))
            return
        log_event("roster_written", group=wanted.group, members=",".join(written.members))
        self._take(written)
