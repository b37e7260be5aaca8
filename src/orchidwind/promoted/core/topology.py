"""What a proxy knows about one promoted group: its instances and its primary. No I/O, no clock.

Answers which instance leads, which are usable replicas, and whose role is uncertain. Only an
instance's own answer makes it primary: the directory lags, and there a primary that is cut off
still claims to lead.

Owns: the view of each instance (`instance_view`), the newest term (`newest_term`), the proven
floors (`proven_floors`), the instances that may have confirmed commits (`confirming_instances`),
the last promotion in the roster and the share of reads that crosses to another region
(`region_spill`). Relies on: `distances`, and a driver that passes on each entry, status, answer and
failure with its time, in seconds of the monotonic clock.
"""

from __future__ import annotations

from msgspec import Struct
from msgspec.structs import replace

from orchidwind.promoted.core.commands import InstanceRole, InstanceStatus
from orchidwind.promoted.core.configuration import DirectoryEntry, PromotedGroupSettings
from orchidwind.promoted.core.confirming_instances import (
    DEFAULT_ENTRY_OUTLIVES_SECONDS,
    ConfirmingInstances,
)
from orchidwind.promoted.core.distances import Distances, Nearness
from orchidwind.promoted.core.instance_view import InstanceView
from orchidwind.promoted.core.newest_term import NewestTerm
from orchidwind.promoted.core.proven_floors import ProvenFloors
from orchidwind.promoted.core.region_spill import RegionSpill
from orchidwind.promoted.core.roster import PromotionRecord
from orchidwind.shared.core.positions import Position


class PrimaryView(Struct, frozen=True):
    """The instance believed to be primary, and its term (0 while the term is unknown)."""

    instance: str
    term: int


class GroupTopology:
    """The instances of one group as this proxy knows them."""

    def __init__(
        self,
        settings: PromotedGroupSettings,
        zone: str,
        entry_outlives: float = DEFAULT_ENTRY_OUTLIVES_SECONDS,
        distances: Distances | None = None,
    ) -> None:
        """`entry_outlives` is how long an entry stays after its instance's last heartbeat.

        `distances` are those from `zone`; without them, all zones are in one region.
        """
        self.settings = settings
        self.instances: dict[str, InstanceView] = {}
        self.floors = ProvenFloors()
        self._newest_term = NewestTerm()
        self.confirming = ConfirmingInstances(
            self.instances, self._newest_term, self.floors, entry_outlives
        )
        self.distances = distances or Distances(zone)
        self.region_spill = RegionSpill()
        self.last_promotion: PromotionRecord | None = None

    # --- directory and roster -----------------------------------------------------------------

    def entry_changed(self, entry: DirectoryEntry) -> bool:
        """Note that an instance is listed; returns whether its claim to be primary has changed.

        Also returns True for an instance that was not listed before.
        """
        self.confirming.listed(entry.instance)
        view = self.instances.get(entry.instance)
        if view is None:
            self.instances[entry.instance] = InstanceView(entry)
            return True
        changed = view.entry.claims_primary != entry.claims_primary or not view.listed
        view.entry = entry
        view.listed = True
        view.removal_unseen = False
        return changed

    def entry_gone(self, instance: str, now: float, removal_unseen: bool = False) -> None:
        """Note that an instance is no longer listed; it may still run for a while.

        `removal_unseen`: the removal of the entry was not observed, so the entry may come back when
        the directory does.
        """
        view = self.instances.get(instance)
        if view is not None and view.listed:
            view.listed = False
            view.removal_unseen = removal_unseen
            view.gone_at = now

    def incarnation_ended(self, instance: str, now: float) -> None:
        """Note that an instance was restarted as a new incarnation, so that this one's log is gone.

        The old incarnation counts as an instance that left and took its log with it. It is sent no
        more requests: the process at its address would answer for the new incarnation.
        """
        self.entry_gone(instance, now)
        view = self.instances.get(instance)
        if view is not None:
            view.ended = True

    def promotion_read(self, record: PromotionRecord | None) -> bool:
        """Note the last promotion that the roster names; returns whether it was not known."""
        changed = record != self.last_promotion
        self.last_promotion = record
        return changed

    # --- answers of instances -----------------------------------------------------------------

    def take_status(self, status: InstanceStatus) -> None:
        """Note an instance's answer to a status query or control call."""
        view = self.instances.get(status.instance)
        if view is None:
            return
        view.note_status(status)
        self._newest_term.seen(status.term, self.floors.last_proof_at)

    def answered(self, instance: str, now: float) -> None:
        """Note that an instance answered a request of any kind."""
        view = self.instances.get(instance)
        if view is not None:
            view.note_answer(now)

    def unreachable(self, instance: str, now: float) -> None:
        """Note that an instance did not answer or that its connection broke."""
        view = self.instances.get(instance)
        if view is not None:
            view.note_unreachable(now)

    def behind(self, instance: str, floor: Position, now: float) -> None:
        """Note that a replica's log did not reach a floor, so that it gets time to catch up."""
        view = self.instances.get(instance)
        if view is not None:
            view.note_behind(floor, now)

    def busy(self, instance: str, now: float) -> None:
        """Note that an instance refused a request because its queue was full."""
        view = self.instances.get(instance)
        if view is not None:
            view.note_busy(now)

    def not_primary(self, instance: str, now: float) -> None:
        """Note that an instance refused a write and so leads no longer."""
        view = self.instances.get(instance)
        if view is not None and view.status is not None:
            view.status = replace(view.status, role=InstanceRole.REPLICA, asked_at=now)

    # --- primary ------------------------------------------------------------------------------

    @property
    def newest_led_term(self) -> int:
        """The highest term that some instance was ever in; a fence alone starts no term."""
        return self._newest_term.term

    def primary_term(self, instance: str) -> int:
        """Return the term in which an instance leads, 0 if it is not known to lead."""
        view = self.instances.get(instance)
        return 0 if view is None else view.led_term

    def primary(self, now: float) -> PrimaryView | None:
        """Return the usable and reachable instance that leads in the newest term, else None.

        An instance does not count if the roster names a later promotion (`is_replaced`).
        """
        best: PrimaryView | None = None
        for name, view in self.instances.items():
            term = view.led_term
            if not term or not view.reachable or not view.usable(now):
                continue
            if best is None or term > best.term:
                best = PrimaryView(name, term)
        if best is None or best.term < self.newest_led_term:
            return None
        return None if self.is_replaced(best.instance, best.term) else best

    def is_replaced(self, instance: str, term: int) -> bool:
        """Whether the roster names a promotion that replaces an instance leading in a term.

        Guards against an old primary that does not know of its successor, while this proxy does not
        see the successor either.
        """
        last = self.last_promotion
        return last is not None and last.replaces(instance, term)

    # --- replicas and roles -------------------------------------------------------------------

    def replicas(self, now: float) -> list[str]:
        """Return the usable instances other than the primary, the preferred ones first.

        Reachable instances come first, then those that are not to be avoided, then the near ones.
        """
        primary = self.primary(now)
        led = primary.instance if primary else ""
        names = [name for name, view in self.instances.items() if name != led and view.usable(now)]
        return sorted(names, key=lambda name: self._preference(name, now))

    def is_near(self, name: str) -> bool:
        """Whether an instance runs in this proxy's zone."""
        return self.distances.same_zone(self.instances[name].entry.zone)

    def crosses_region(self, name: str) -> bool:
        """Whether requests to an instance leave this proxy's region."""
        return self.distances.crosses_region(self.instances[name].entry.zone)

    def round_trip(self, name: str, now: float) -> float:
        """Return the expected round trip to an instance, in seconds."""
        return self.distances.round_trip(self.instances[name].entry.zone, now)

    def way_in_answers(self, name: str, now: float) -> float:
        """Return the part of an instance's response times that `round_trip` stands for, in seconds.

        0 with one region, where round trips are penalties and not measured.
        """
        return self.round_trip(name, now) if self.distances.several_regions else 0.0

    def in_region_of(self, name: str) -> frozenset[str]:
        """Return the instances in an instance's region; empty if there is only one region."""
        regions = self.distances.regions
        view = self.instances.get(name)
        if view is None or not self.distances.several_regions:
            return frozenset()
        region = regions.region_of(view.entry.zone)
        return frozenset(
            other
            for other, item in self.instances.items()
            if regions.region_of(item.entry.zone) == region
        )

    def to_measure(self, now: float) -> list[str]:
        """Return one reachable instance in each zone whose distance should be measured again.

        Each call notes tries. The instances of a zone take turns, as one may be full.
        """
        by_zone: dict[str, list[str]] = {}
        for name, view in self.instances.items():
            zone = view.entry.zone
            if view.listed and view.reachable and self.distances.due(zone, now):
                by_zone.setdefault(zone, []).append(name)
        return [self.distances.next_to_try(zone, names, now) for zone, names in by_zone.items()]

    def _preference(self, name: str, now: float) -> tuple[bool, bool, Nearness]:
        view = self.instances[name]
        nearness = self.distances.nearness(view.entry.zone)
        return (not view.reachable, view.avoid_until > now, nearness)

    def with_uncertain_role(self) -> list[str]:
        """Return listed instances whose role in the directory differs from their last answer.

        An instance that has not answered yet is included.
        """
        return [
            name
            for name, view in self.instances.items()
            if view.listed
            and (view.status is None or (view.led_term > 0) != view.entry.claims_primary)
        ]

    def fenced_above(self, term: int) -> list[str]:
        """Return listed instances whose last known fence is above a term."""
        return [
            name
            for name, view in self.instances.items()
            if view.listed and view.status is not None and view.status.fence_term > term
        ]
