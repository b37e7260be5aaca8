"""What a proxy of the model knows of the directory and the roster.

Owns the proxy's topology and its copy of the roster; relies on the store and its watches.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from msgspec.structs import replace

from orchidwind.promoted.core.configuration import DirectoryEntry, PromotedGroupSettings
from orchidwind.promoted.core.roster import KnownRoster, PromotionRecord, Roster
from orchidwind.promoted.core.store_revision import StoreRevision
from orchidwind.promoted.core.topology import GroupTopology
from orchidwind_bench.promoted.exploration.store import Entry
from orchidwind_bench.promoted.exploration.surroundings import (
    GROUP,
    STORE_RETRY_SECONDS,
    ProxyLife,
    Surroundings,
)
from orchidwind_bench.promoted.exploration.timeline import Process

# A proxy compares the roster with what it knows every so many seconds; chosen near the product's.
ROSTER_SECONDS = 0.6


class ProxyViews:
    """The directory and the roster as one proxy knows them."""

    def __init__(self, life: ProxyLife, around: Surroundings) -> None:
        self.topology = GroupTopology(PromotedGroupSettings(GROUP, 10, 1), "zone")
        # Whether the roster was read since the proxy began.
        self.roster_known = False
        self._life = life
        self._store = around.store
        self._roster = KnownRoster(GROUP)
        # Called when a watch has brought something, after the views have taken it.
        self.on_watched: Callable[[], None] = lambda: None

    def follow(self) -> Process[None]:
        """Read all, then follow the store's watch."""
        while not (yield from self.read_views()):
            yield STORE_RETRY_SECONDS
        self._store.watch(self._life.name, self._changed)

    def _changed(self) -> None:
        if self._life.alive:
            self._life.start(self._take_watched())

    def _take_watched(self) -> Process[None]:
        yield 0.0
        self._life.store_era.saw(self._store.era, "watch")
        removal_unseen = self._store.down_until > self._life.now() - STORE_RETRY_SECONDS
        self._take_views(dict(self._store.entries), self._store.roster, removal_unseen)
        self.on_watched()

    def read_views(self) -> Process[bool]:
        """Read directory and roster anew; False where the store does not answer."""
        read = yield from self._store.call(
            self._life.name,
            "views",
            lambda: (dict(self._store.entries), self._store.roster),
            writes=False,
        )
        if read is None:
            return False
        assert isinstance(read, tuple)
        entries, roster = read
        self._take_views(entries, roster, removal_unseen=True)
        self.roster_known = True
        return True

    def _take_views(
        self, entries: dict[str, Entry], roster: Roster | None, removal_unseen: bool
    ) -> None:
        now = self._life.now()
        for entry in entries.values():
            self.topology.entry_changed(_directory_entry(entry))
        for name, view in self.topology.instances.items():
            if view.listed and name not in entries:
                self.topology.entry_gone(name, now, removal_unseen)
        if roster is not None:
            self._roster.take(roster)
        self._roster.absent(self._life.store_era.current)
        known = self._roster.known
        self.topology.promotion_read(known.last_promotion)
        self.topology.confirming.roster_read(known.members, now)

    def keep_roster(self) -> Process[None]:
        """Write the roster where an instance is missing in it, again and again."""
        while True:
            yield ROSTER_SECONDS
            if not self.roster_known:
                continue
            wanted = self._roster.wanted(self.topology.confirming.roster)
            if wanted is not None:
                yield from self._write_roster(wanted)

    def _write_roster(self, roster: Roster) -> Process[bool]:
        if roster.revision.era < self._life.store_era.current:
            return False
        written = yield from self._store.call(
            self._life.name, "roster", partial(self._store.write_roster, roster), writes=True
        )
        if not isinstance(written, Roster) or written.revision.era != roster.revision.era:
            return False
        self._roster.take(written)
        self.topology.promotion_read(self._roster.known.last_promotion)
        return True

    def record_promotion(self, record: PromotionRecord) -> Process[bool]:
        """Write a promotion into the roster; whether it surely stands there."""
        return self._write_roster(replace(self._roster.known, last_promotion=record))

    def last_promotion(self) -> PromotionRecord | None:
        """The last promotion, as far as this proxy knows the roster."""
        return self._roster.known.last_promotion

    def promotion_called(self, token: StoreRevision) -> bool:
        """Whether a promotion under a token stands in the roster."""
        last = self.last_promotion()
        return last is not None and last.token == token

    def listed(self) -> tuple[str, ...]:
        """The instances that the directory lists, as this proxy knows."""
        return tuple(name for name, view in self.topology.instances.items() if view.listed)

    def stays(self, instance: str) -> bool:
        """Whether an instance is not about to leave, as the directory says."""
        return not self.topology.instances[instance].entry.draining


def _directory_entry(entry: Entry) -> DirectoryEntry:
    return DirectoryEntry(
        instance=entry.instance,
        group=GROUP,
        host="model",
        port=entry.port,
        zone="zone",
        claims_primary=entry.claims_primary,
        draining=entry.draining,
        slots=10,
        revision=entry.revision,
    )
