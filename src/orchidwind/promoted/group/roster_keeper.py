"""Keeps, in the store, which instances may hold commits of each group.

A proxy that starts cannot have seen who left before; after the loss of all proxies none can. So
each instance that is listed is written to its group's roster, and taken off only when a proxy has
seen it gone for as long as it may matter (`core/confirming_instances.py`).

The store may come back from an older copy, whose rosters name fewer. What a proxy knew of before is
carried over: it counts, and is written again, so that the store soon says no less than the union of
its copy and of what any proxy knew.

Owns: the newest roster of each group that this proxy has seen. Relies on: a watch that calls
`listed` and `changed`, and a store that writes by compare-and-put.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from dataclasses import replace

from orchidwind.promoted.core.roster import PromotionRecord, Roster
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.group.group_service import GroupService
from orchidwind.promoted.ports import Changes, Listing, RosterStore
from orchidwind.shared.core.errors import PlatformError, PlatformUncertain
from orchidwind.shared.logs import log_event

# Seconds between two checks of what is to be written. Chosen: an instance that is listed, confirms
# and leaves in less, while all proxies lose power, is missed (docs/DECISIONS.md).
_CHECK_INTERVAL_SECONDS = 0.5
# A writer waits for a random part of this, in seconds. Chosen: proxies see the same change at the
# same time, and the first to write spares the others.
_JITTER_SECONDS = 0.4


class RosterKeeper:
    """Follows the rosters and brings them up to date with what this proxy sees."""

    def __init__(self, groups: Mapping[str, GroupService], store: RosterStore) -> None:
        self.known = False
        self._groups = groups
        self._store = store
        # As the store holds them.
        self._rosters: dict[str, Roster] = {}
        # Known from before the store came back, where its copy does not say as much.
        self._carried: dict[str, Roster] = {}
        self._era_began = StoreRevision(0)
        self._loop = asyncio.get_running_loop()

    def listed(self, listing: Listing[Roster]) -> bool:
        """All rosters, read freshly: from now on nobody can have left unknown to this proxy."""
        self._era_began = StoreRevision.of(listing.revision.era, 0)
        for group in self._rosters.keys() - {roster.group for roster in listing.items}:
            self._take(Roster(group, (), self._era_began))
        for roster in listing.items:
            self._take(roster)
        self.known = True
        return True

    def changed(self, changes: Changes[Roster]) -> None:
        """Rosters that changed."""
        for roster in changes.changed:
            self._take(roster)

    def _take(self, roster: Roster) -> None:
        held = self._rosters.get(roster.group)
        if held is None or held.revision < roster.revision:
            if held is not None and held.revision.era < roster.revision.era:
                self._carried[roster.group] = self._known(roster.group)
            self._rosters[roster.group] = roster
        self.apply(roster.group)

    def _held(self, group: str) -> Roster:
        """The roster as the store holds it."""
        return self._rosters.get(group, Roster(group, (), self._era_began))

    def _known(self, group: str) -> Roster:
        """What the store holds, and what it lost in a return: its revision is the store's."""
        held = self._held(group)
        carried = self._carried.get(group)
        return held if carried is None else held.united_with(carried)

    def apply(self, group: str) -> None:
        """Pass a roster on to its group, which may be newer than the roster."""
        service = self._groups.get(group)
        if group in self._rosters and service is not None:
            roster = self._known(group)
            service.topology.confirming.roster_read(roster.members, self._loop.time())
            service.topology.promotion_read(roster.last_promotion, self._loop.time())

    def promotion_called(self, token: StoreRevision) -> bool:
        """Whether a promotion may have been called under a fencing token, of any group."""
        records = (self._known(group).last_promotion for group in self._rosters)
        return any(record is not None and record.token == token for record in records)

    def newest_token(self) -> StoreRevision:
        """The fencing token of the last promotion of any group that is known; 0 where none is."""
        records = [self._known(group).last_promotion for group in self._rosters]
        tokens = (record.token for record in records if record is not None)
        return max(tokens, default=StoreRevision(0))

    async def record_promotion(self, group: str, record: PromotionRecord) -> bool:
        """Write down a promotion before it is called; whether it surely is in the store."""
        wanted = replace(self._known(group), last_promotion=record)
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
        held, known = self._held(group), self._known(group)
        members = self._groups[group].topology.confirming.roster(known.members)
        wanted = replace(known, members=members)
        if wanted != held:
            return wanted
        self._carried.pop(group, None)
        return None

    async def _write(self, wanted: Roster) -> None:
        try:
            written = await self._store.write(wanted, create=wanted.revision.in_era == 0)
        except PlatformError as error:  # a conflict, too: the watch brings what is there now
            log_event("roster_not_written", group=wanted.group, reason=str(error))
            return
        log_event("roster_written", group=wanted.group, members=",".join(written.members))
        self._take(written)
