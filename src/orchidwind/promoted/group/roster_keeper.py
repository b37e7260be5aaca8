"""Keeps each group's roster in the store: the instances that may hold acknowledged commits.

A proxy that has just started cannot know which instances left earlier, and after the loss of all
proxies none can. Therefore each listed instance is written to its group's roster, and removed only
after a proxy has seen it gone for long enough (`core/confirming_instances.py`).

The keeper owns this proxy's copy of the rosters (`core/roster.py`). It depends on a watch that
calls `listed` and `changed`, and on a store that writes by compare-and-put.
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

# Seconds between two checks for roster changes to write. An instance that is listed, confirms a
# commit and leaves within this time, while all proxies lose power, is missed (docs/DECISIONS.md).
_CHECK_INTERVAL_SECONDS = 0.5
# A proxy waits for a random part of this many seconds before it writes. All proxies see a change
# at the same time, and once the first has written it, the others need not.
_JITTER_SECONDS = 0.4


class RosterKeeper:
    """Follows the rosters in the store and updates them from this proxy's views."""

    def __init__(self, groups: Mapping[str, GroupService], store: RosterStore) -> None:
        self.known = False
        self._groups = groups
        self._store = store
        self._rosters: dict[str, KnownRoster] = {}
        # The store era of the last full listing.
        self._era = 0
        self._loop = asyncio.get_running_loop()

    def listed(self, listing: Listing[Roster]) -> bool:
        """Apply a full listing of all rosters. Always returns True.

        From now on no instance can leave without this proxy knowing of it.
        """
        self._era = listing.revision.era
        for roster in listing.items:
            self._apply_roster(roster)
        for known in self._rosters.values():
            known.absent(self._era)
        self.known = True
        return True

    def changed(self, changes: Changes[Roster]) -> None:
        """Apply changed rosters."""
        for roster in changes.changed:
            self._apply_roster(roster)

    def _apply_roster(self, roster: Roster) -> None:
        self._known_roster(roster.group).take(roster)
        self.apply(roster.group)

    def _known_roster(self, group: str) -> KnownRoster:
        known = self._rosters.get(group)
        if known is None:
            known = self._rosters[group] = KnownRoster(group, self._era)
        return known

    def apply(self, group: str) -> None:
        """Pass a roster on to its group, which may have been created after the roster was read."""
        service = self._groups.get(group)
        if group in self._rosters and service is not None:
            roster = self._rosters[group].known
            service.topology.confirming.roster_read(roster.members, self._loop.time())
            if service.topology.promotion_read(roster.last_promotion):
                _log_promotion(roster)

    def promotion_called(self, token: StoreRevision) -> bool:
        """Whether a promotion of any group may have been called under a fencing token."""
        return any(record.token == token for record in self._last_promotions())

    def newest_token(self) -> StoreRevision:
        """The fencing token of the last known promotion of any group; 0 if there is none."""
        tokens = [record.token for record in self._last_promotions()]
        return max(tokens, default=StoreRevision(0))

    def _last_promotions(self) -> Iterator[PromotionRecord]:
        for roster in self._rosters.values():
            record = roster.known.last_promotion
            if record is not None:
                yield record

    async def record_promotion(self, group: str, record: PromotionRecord) -> bool:
        """Record a promotion before it is called; returns whether it is certainly in the store."""
        wanted = replace(self._known_roster(group).known, last_promotion=record)
        try:
            self._apply_roster(await self._store.write(wanted, create=wanted.revision.in_era == 0))
        except PlatformError as error:  # also on a conflict: the caller reads the roster again
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
        """Write rosters that differ from this proxy's views, until cancelled."""
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
        """The roster to write, or None if the stored one is up to date."""
        return self._known_roster(group).wanted(self._groups[group].topology.confirming.roster)

    async def _write(self, wanted: Roster) -> None:
        try:
            written = await self._store.write(wanted, create=wanted.revision.in_era == 0)
        except PlatformError as error:  # also on a conflict: the watch delivers the new roster
            log_event("roster_not_written", group=wanted.group, reason=str(error))
            return
        log_event("roster_written", group=wanted.group, members=",".join(written.members))
        self._apply_roster(written)


def _log_promotion(roster: Roster) -> None:
    """Log a promotion that the roster names: no earlier primary is used from now on."""
    record = roster.last_promotion
    if record is None:
        return
    log_event(
        "promotion_known",
        group=roster.group,
        instance=record.instance,
        term=record.term,
        replaced=record.replaced,
        token=record.token,
        revision=roster.revision,
    )
